"""Summaries of the experiment: measures per seed, spread over seeds, aims, tables and plots."""

import math
import pathlib
import statistics
from collections.abc import Callable
from collections.abc import Sequence

import msgspec
import numpy

from tools.experiment import driver

Measures = dict[str, float]

P99_OVER_ORACLE = 1.3
P99_OVER_BEST_FIT = 0.5
THROUGHPUT_OF_ORACLE = 0.9
EVICTIONS_OF_REACTIVE = 1.0 / 3.0
BAD_WORKER_STARTS = 9
NEVER_STARTS = 6


class CellOutcome(msgspec.Struct):
    """Measures of one cell; percentiles are geometric means over its services, in ms."""

    policy: str
    seed: int
    result: driver.Result
    percentiles: tuple[float, float, float]


class Spread(msgspec.Struct):
    """Mean and range of a measure over the seeds."""

    mean: float
    minimum: float
    maximum: float


class Aim(msgspec.Struct):
    """A target for the policy: its bound and the values over all seeds and of the worst seed."""

    name: str
    bound: float
    measured: float
    worst_seed: float
    met: bool


def summarise_latencies(latencies: Sequence[numpy.ndarray]) -> tuple[float, float, float]:
    """Return p50, p99 and p99.9 as geometric means over the services."""
    p50, p99, p999 = (
        math.exp(statistics.fmean(math.log(numpy.percentile(samples, q)) for samples in latencies))
        for q in (50.0, 99.0, 99.9)
    )
    return p50, p99, p999


def _compute_geometric_mean(values: Sequence[float]) -> float:
    return math.exp(statistics.fmean(math.log(value) for value in values))


def measure_seed(outcomes: Sequence[CellOutcome]) -> Measures:
    """Return the measures of one policy and seed over its cells."""
    results = [outcome.result for outcome in outcomes]

    def total(name: str) -> float:
        return float(sum(getattr(result, name) for result in results))

    def largest(name: str) -> float:
        return float(max((max(getattr(result, name), default=0) for result in results), default=0))

    delays = [delay for result in results for delay in result.urgent_delays]
    waits = [wait for result in results for wait in result.first_waits]
    columns = list(zip(*(outcome.percentiles for outcome in outcomes), strict=True))
    return {
        "p50_ms": _compute_geometric_mean(columns[0]),
        "p99_ms": _compute_geometric_mean(columns[1]),
        "p999_ms": _compute_geometric_mean(columns[2]),
        "jobs_finished": total("jobs_finished"),
        "tasks_finished": total("tasks_finished"),
        "core_hours": total("progress") / 3600.0,
        "hours_lost": total("lost_seconds") / 3600.0,
        "hours_repeated": total("repeated_seconds") / 3600.0,
        "evictions": total("evictions") + total("moves") + total("preemptions"),
        "stops": total("evictions"),
        "moves": total("moves"),
        "preemptions": total("preemptions"),
        "throttles": total("throttles"),
        "violations": total("violations"),
        "refusals": total("refusals"),
        "urgent_p99_s": float(numpy.percentile(delays, 99)) if delays else 0.0,
        "urgent_late_share": sum(d > driver.URGENT_TARGET_SECONDS for d in delays)
        / max(len(delays), 1),
        "first_wait_p50_s": float(numpy.percentile(waits, 50)),
        "first_wait_p99_s": float(numpy.percentile(waits, 99)),
        "waiting_tasks": total("waiting_tasks"),
        "bad_worker_starts": largest("bad_worker_starts"),
        "probe_starts": total("probe_starts"),
        "never_runs_starts": largest("never_starts"),
        "never_runs_reported": total("never_reported"),
        "never_runs_jobs": float(sum(len(result.never_starts) for result in results)),
        "false_verdicts": total("false_verdicts"),
        "false_quarantines": total("false_quarantines"),
    }


def compute_spread(per_seed: Sequence[Measures]) -> dict[str, Spread]:
    """Return mean, minimum and maximum of each measure over the seeds."""
    return {
        name: Spread(
            statistics.fmean(values),
            min(values),
            max(values),
        )
        for name in per_seed[0]
        for values in [[measures[name] for measures in per_seed]]
    }


def _compute_ratios(
    seeds: dict[str, list[Measures]], name: str, other: str
) -> tuple[float, list[float]]:
    evaluated, reference = seeds["ours"], seeds[other]
    each = [
        measures[name] / max(reference_measures[name], 1e-9)
        for measures, reference_measures in zip(evaluated, reference, strict=True)
    ]
    total = sum(measures[name] for measures in evaluated) / max(
        sum(reference_measures[name] for reference_measures in reference), 1e-9
    )
    return total, each


def _find_largest(seeds: dict[str, list[Measures]], name: str) -> tuple[float, list[float]]:
    values = [measures[name] for measures in seeds["ours"]]
    return max(values), values


def check_aims(seeds: dict[str, list[Measures]]) -> list[Aim]:
    """Check the aims of the policy "ours" against its measures; ``seeds`` is keyed by policy."""

    def aim(
        name: str, bound: float, values: tuple[float, list[float]], worst: Callable = max
    ) -> Aim:
        measured, per_seed = values
        met = measured <= bound if worst is max else measured >= bound
        return Aim(name, bound, measured, worst(per_seed), met)

    return [
        aim("p99 / oracle, at most", P99_OVER_ORACLE, _compute_ratios(seeds, "p99_ms", "oracle")),
        aim(
            "p99 / best fit, at most",
            P99_OVER_BEST_FIT,
            _compute_ratios(seeds, "p99_ms", "best-fit"),
        ),
        aim(
            "batch core hours / oracle, at least",
            THROUGHPUT_OF_ORACLE,
            _compute_ratios(seeds, "core_hours", "oracle"),
            min,
        ),
        aim(
            "jobs finished / oracle, at least",
            THROUGHPUT_OF_ORACLE,
            _compute_ratios(seeds, "jobs_finished", "oracle"),
            min,
        ),
        aim(
            "evictions / reactive, at most",
            EVICTIONS_OF_REACTIVE,
            _compute_ratios(seeds, "evictions", "reactive"),
        ),
        aim(
            "starts on a bad worker, at most",
            BAD_WORKER_STARTS,
            _find_largest(seeds, "bad_worker_starts"),
        ),
        aim(
            "starts of a job that never runs, at most",
            NEVER_STARTS,
            _find_largest(seeds, "never_runs_starts"),
        ),
        aim(
            "urgent start p99 in s, at most",
            driver.URGENT_TARGET_SECONDS,
            _find_largest(seeds, "urgent_p99_s"),
        ),
        aim("capacity violations, at most", 0, _find_largest(seeds, "violations")),
    ]


def format_tables(spreads: dict[str, dict[str, Spread]], aims: Sequence[Aim]) -> str:
    """Return the measures per policy and the aims as Markdown tables."""
    names = list(spreads)
    lines = ["| measure | " + " | ".join(names) + " |", "|---" * (len(names) + 1) + "|"]
    for measure in spreads[names[0]]:
        cells = [spreads[name][measure] for name in names]
        texts = [f"{cell.mean:.4g} ({cell.minimum:.4g}-{cell.maximum:.4g})" for cell in cells]
        lines.append(f"| {measure} | " + " | ".join(texts) + " |")
    lines += ["", "| aim | bound | measured | worst seed | |", "|---|---|---|---|---|"]
    for aim in aims:
        verdict = "met" if aim.met else "missed"
        lines.append(
            f"| {aim.name} | {aim.bound:.3g} | {aim.measured:.3g} | {aim.worst_seed:.3g} | "
            f"{verdict} |"
        )
    return "\n".join(lines)


def plot(spreads: dict[str, dict[str, Spread]], title: str, path: pathlib.Path) -> None:
    """Plot p99, core hours and evictions of each policy with their ranges over the seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(spreads)
    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    for axis, measure in zip(axes, ("p99_ms", "core_hours", "evictions"), strict=True):
        cells = [spreads[name][measure] for name in names]
        means = [cell.mean for cell in cells]
        below = [cell.mean - cell.minimum for cell in cells]
        above = [cell.maximum - cell.mean for cell in cells]
        axis.bar(names, means, yerr=[below, above], capsize=3)
        axis.set_title(measure)
        axis.tick_params(axis="x", rotation=60)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
