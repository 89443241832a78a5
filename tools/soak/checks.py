"""Check the documented guarantees against what callers and workers have observed."""

import collections
import math
import pathlib
import types
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from typing import NamedTuple

COMPLETION_TIMEOUT_SECONDS = 40.0
"""Time after the last fault within which all accepted jobs must be completed: two leases of 6 s, a
takeover, and the work of the jobs."""

TASK_MILLICORES = 500
MAX_DEADLY_STARTS = 5
"""Starts of a task that crashes each of its workers. The users' pages forbid three further starts
after three crashes."""
EVACUATION_SECONDS = 5.0
"""Time after its evacuation was stored from which no task may start in a data centre."""
PAUSE_SECONDS = 5.0
"""Longest pause of a process; an agent may be paused between its check of an order and the start,
which the users' rule leaves out as the machine is not in touch."""
CONTACT_SECONDS = 3.0
"""Time without a fault after which a deployment counts as calm: ``contactMs`` of the users."""
CANCEL_SECONDS = 3.0
"""Time after an acknowledged cancellation from which no task may start: ``cancel_ms``."""
RESTART_SECONDS = 3.0
"""Time from the crash of a worker to its next incarnation."""
STOP_SECONDS = 0.2
"""Longest time that a worker takes for a stop: ``stopTimeoutMs``."""


class Span(NamedTuple):
    """A time, on the clock of the runs."""

    begins_at: float
    ends_at: float


class Evacuation(NamedTuple):
    """An evacuation, with times on the clock of the runs."""

    data_centre: str
    acknowledged_at: float
    taken_back_at: float


def find_violations(
    runs: list[dict],
    accepted: set[str],
    refused: set[str],
    states: dict[str, list[str]],
    deadly: Set[str] = frozenset(),
    evacuations: Sequence[Evacuation] = (),
    cancellations: Mapping[str, float | None] = types.MappingProxyType({}),
    disturbances: Iterable[Span] = (),
    observed_at: float = math.inf,
) -> Iterator[str]:
    """Yield a description of each violated guarantee.

    ``refused`` are the jobs of which every submission was reported as not run. ``states`` are the
    states reported to callers for each job, in order. ``deadly`` are the jobs whose tasks crash the
    workers that start them. ``evacuations`` are the times in which no task may start somewhere.
    ``cancellations`` are the times at which cancellations were acknowledged, None if one was not.
    ``disturbances`` are the times of faults; ``runs`` were read at ``observed_at``.
    """
    by_task: dict[str, list[dict]] = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run["begin"]):
        by_task[run["task"]].append(run)
    for task, found in by_task.items():
        yield from _check_task(task, found)
        if task.partition(".")[0] in deadly and len(found) > MAX_DEADLY_STARTS:
            yield f"BUDGET: deadly {task} was started {len(found)} times"
    yield from (text for run in runs for text in _check_evacuations(run, evacuations))
    crashes = [
        Span(run["end"], run["end"] + RESTART_SECONDS) for run in runs if run["how"] == "crashed"
    ]
    calm = list(_list_calm_spans([*disturbances, *crashes], observed_at))
    for run in runs:
        acknowledged_at = cancellations.get(run["task"].partition(".")[0])
        if acknowledged_at is not None:
            yield from _check_cancelled_run(run, acknowledged_at, calm)
    started = {task.partition(".")[0] for task in by_task}
    yield from (f"REFUSED: {job} has run" for job in sorted(started & refused))
    for job in sorted(accepted):
        final_states = list_final_states(job, deadly, cancellations)
        yield from _check_job(job, states[job], by_task, final_states)
    for job in sorted(job for job, acknowledged_at in cancellations.items() if not acknowledged_at):
        yield f"LOST: the cancellation of {job} was not acknowledged"


def find_caught_errors(folder: pathlib.Path) -> Iterator[str]:
    """Yield the lines of unexpected errors after which a process went on or ended."""
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if '"step_failed"' in line or '"process_failed"' in line:
                yield f"FAULT: {path.stem}: {line}"


def list_final_states(
    job: str, deadly: Set[str], cancellations: Mapping[str, float | None]
) -> Set[str]:
    """Return the states in which a job may end."""
    state = "failed" if job in deadly else "completed"
    return {state, "cancelled"} if job in cancellations else {state}


def _list_calm_spans(disturbances: Iterable[Span], observed_at: float) -> Iterator[Span]:
    begins_at = -math.inf
    for disturbance in sorted(disturbances):
        if begins_at < disturbance.begins_at:
            yield Span(begins_at, disturbance.begins_at)
        begins_at = max(begins_at, disturbance.ends_at + CONTACT_SECONDS)
    if begins_at < observed_at:
        yield Span(begins_at, observed_at)


def _check_cancelled_run(run: dict, acknowledged_at: float, calm: Sequence[Span]) -> Iterator[str]:
    name = f"{run['task']} run {run['run']}"
    # A run that a worker has started late has to be found in the worker's list first.
    is_late = run["begin"] > acknowledged_at
    counts_from = run["begin"] + CONTACT_SECONDS if is_late else acknowledged_at
    for span in calm:
        limit = max(counts_from, span.begins_at) + CANCEL_SECONDS + STOP_SECONDS
        if limit < min(span.ends_at, run["end"] or math.inf):
            late = limit - acknowledged_at
            yield f"UNASKED: {name} runs {late:.1f} s after its job was cancelled"
            break
    if run["begin"] > acknowledged_at + CANCEL_SECONDS and any(
        span.begins_at <= run["begin"] <= span.ends_at for span in calm
    ):
        late = run["begin"] - acknowledged_at
        yield f"UNASKED: {name} started {late:.1f} s after its job was cancelled"


def _check_task(task: str, runs: list[dict]) -> Iterator[str]:
    for run in runs:
        if run["running"] * TASK_MILLICORES > run["capacity"]:
            yield f"LIMIT: {task} run {run['run']} is one of {run['running']} on {run['worker']}"
    for earlier, later in zip(runs, runs[1:], strict=False):
        if earlier["end"] is None or earlier["end"] > later["begin"]:
            yield f"TWICE: {task} runs {earlier['run']} and {later['run']} at the same time"
        if later["run"] <= earlier["run"]:
            yield f"ORDER: {task} run {later['run']} follows {earlier['run']}"


def _check_evacuations(run: dict, evacuations: Sequence[Evacuation]) -> Iterator[str]:
    for evacuation in evacuations:
        begins_at = evacuation.acknowledged_at + EVACUATION_SECONDS + PAUSE_SECONDS
        if (
            run["data_centre"] == evacuation.data_centre
            and begins_at < run["begin"] < evacuation.taken_back_at
        ):
            late = run["begin"] - evacuation.acknowledged_at
            yield f"EVAC: {run['task']} run {run['run']} started {late:.1f} s after the evacuation"


def _check_job(
    job: str, states: list[str], by_task: dict[str, list[dict]], final_states: Set[str]
) -> Iterator[str]:
    if not states or states[-1] not in final_states:
        yield f"LOST: {job} was last reported as {states[-1:] or 'nothing'}"
    if "unknown" in states:
        yield f"LOST: {job} was reported as unknown"
    for state in {"completed", "failed", "cancelled"} & set(states):
        if state not in final_states:
            expected = " or ".join(sorted(final_states))
            yield f"MIXED: {job} was reported as {state}, not as {expected}"
        if set(states[states.index(state) :]) != {state}:
            yield f"MIXED: {job} was reported as {state}, and later as {states[-1]}"
    done = {
        task
        for task, runs in by_task.items()
        if task.startswith(f"{job}.") and any(run["how"] == "done" for run in runs)
    }
    first_done_at = max(
        (_find_first_completion(by_task[task]) for task in done if ".0.0." in task), default=0.0
    )
    second_starts = [runs[0]["begin"] for task, runs in by_task.items() if f"{job}.0.1." in task]
    if second_starts and min(second_starts) < first_done_at:
        yield f"ORDER: {job} started its second stage before the first was done"


def _find_first_completion(runs: list[dict]) -> float:
    return min(run["end"] for run in runs if run["how"] == "done")
