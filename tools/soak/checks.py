"""Check the promises of the pages against what callers and workers have seen."""

import collections
from collections.abc import Iterator

FINISH_SECONDS = 40.0
"""Time after the last fault in which all accepted jobs have to be completed: two leases of 6 s, a
takeover, and the work of the jobs."""


def find_broken(
    runs: list[dict], accepted: set[str], refused: set[str], states: dict[str, list[str]]
) -> Iterator[str]:
    """Yield each broken promise.

    ``refused`` are jobs of which every attempt was told that it has not run; ``states`` are the
    states that callers were told of each job, in order.
    """
    by_task: dict[str, list[dict]] = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run["begin"]):
        by_task[run["task"]].append(run)
    for task, found in by_task.items():
        yield from _check_task(task, found)
    started = {task.partition(".")[0] for task in by_task}
    yield from (f"REFUSED: {job} has run" for job in sorted(started & refused))
    for job in sorted(accepted):
        yield from _check_job(job, states[job], by_task)


def _check_task(task: str, runs: list[dict]) -> Iterator[str]:
    for earlier, later in zip(runs, runs[1:], strict=False):
        if earlier["end"] is None or earlier["end"] > later["begin"]:
            yield f"TWICE: {task} runs {earlier['run']} and {later['run']} at the same time"
        if later["run"] <= earlier["run"]:
            yield f"ORDER: {task} run {later['run']} follows {earlier['run']}"


def _check_job(job: str, states: list[str], by_task: dict[str, list[dict]]) -> Iterator[str]:
    if not states or states[-1] != "completed":
        yield f"LOST: {job} was told as {states[-1:] or 'nothing'} at the end"
    if "unknown" in states:
        yield f"LOST: {job} was told to be unknown"
    if "completed" in states and set(states[states.index("completed") :]) != {"completed"}:
        yield f"MIXED: {job} was completed, and then {states[-1]}"
    done = {
        task
        for task, runs in by_task.items()
        if task.startswith(f"{job}.") and any(run["how"] == "done" for run in runs)
    }
    first = max((_get_done(by_task[task]) for task in done if ".0.0." in task), default=0.0)
    second = [runs[0]["begin"] for task, runs in by_task.items() if f"{job}.0.1." in task]
    if second and min(second) < first:
        yield f"ORDER: {job} began its second stage before the first was done"


def _get_done(runs: list[dict]) -> float:
    return min(run["end"] for run in runs if run["how"] == "done")
