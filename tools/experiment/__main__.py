"""Compare the placement policy with baselines and an oracle: ``python -m tools.experiment``."""

import concurrent.futures
import pathlib

import click
import msgspec

from tools.experiment import driver
from tools.experiment import loads
from tools.experiment import policies
from tools.experiment import report

MAX_PROCESSES = 3


def run_cell(profile: str, scale: str, seed: int, cell: int, name: str) -> report.CellOutcome:
    """Run one policy on one cell and return its measures."""
    experiment = driver.Driver(
        name, loads.LOAD_PROFILES[profile], loads.SCALES[scale], f"{seed}.{cell}"
    )
    result, latencies = experiment.run()
    return report.CellOutcome(name, seed, result, report.summarise_latencies(latencies))


def run_all(
    profile: str, scale: str, seeds: int, names: tuple[str, ...], processes: int
) -> dict[str, list[report.Measures]]:
    """Run all policies on all cells and seeds; return the measures per policy, by seed."""
    cells = range(loads.SCALES[scale].sampled)
    tasks = [
        (profile, scale, seed, cell, name)
        for name in names
        for seed in range(1, seeds + 1)
        for cell in cells
    ]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        outcomes = list(pool.map(run_cell, *zip(*tasks, strict=True)))
    return {
        name: [
            report.measure_seed(
                [outcome for outcome in outcomes if outcome.policy == name and outcome.seed == seed]
            )
            for seed in range(1, seeds + 1)
        ]
        for name in names
    }


@click.command()
@click.option("--load", "profile", type=click.Choice(sorted(loads.LOAD_PROFILES)), required=True)
@click.option("--scale", type=click.Choice(list(loads.SCALES)), default="today")
@click.option("--seeds", type=click.IntRange(1), default=3, help="Number of seeds, from 1.")
@click.option("--json", "json_path", type=click.Path(path_type=pathlib.Path))
@click.option("--plot", "plot_path", type=click.Path(path_type=pathlib.Path))
@click.option("--processes", type=click.IntRange(1, MAX_PROCESSES), default=1)
def main(
    profile: str,
    scale: str,
    seeds: int,
    json_path: pathlib.Path | None,
    plot_path: pathlib.Path | None,
    processes: int,
) -> None:
    """Run all policies on the same seeds and print the tables."""
    chosen_scale = loads.SCALES[scale]
    measures = run_all(profile, scale, seeds, policies.NAMES, processes)
    spreads = {name: report.compute_spread(per_seed) for name, per_seed in measures.items()}
    aims = report.check_aims(measures)
    click.echo(
        f"load {profile}, scale {scale}: {chosen_scale.workers} workers in "
        f"{chosen_scale.cells} cells, {chosen_scale.sampled} cells of "
        f"{chosen_scale.cell_workers} workers simulated for "
        f"{loads.SIMULATED_SECONDS} s, seeds 1 to {seeds}: mean (minimum-maximum)\n"
    )
    click.echo(report.format_tables(spreads, aims))
    if json_path is not None:
        document = {
            "load": profile,
            "scale": msgspec.to_builtins(chosen_scale),
            "seeds": seeds,
            "measures": measures,
            "spread": msgspec.to_builtins(spreads),
            "aims": msgspec.to_builtins(aims),
        }
        json_path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1))
    if plot_path is not None:
        report.plot(spreads, f"{profile}, {scale}, {seeds} seeds", plot_path)


if __name__ == "__main__":
    main()
