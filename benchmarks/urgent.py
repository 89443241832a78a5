"""Time from the submission of an urgent job to the start of its tasks, by load of the cell."""

import click

from benchmarks import figures
from benchmarks import world

BATCH_LOADS = (0.0, 4.0, 9.0, 17.2)
"""Starts per second of ordinary batch tasks in jobs of 64; 17.2 is a cell's share of 550/s."""
URGENT_TASKS = (1, 3, 16)
PROBES = 5
SPACING_SECONDS = 3.0
WARM_UP_SECONDS = 40.0
LIMIT_SECONDS = 60.0
BATCH_TASKS = 64


def measure(load: float, tasks: int) -> dict[str, float]:
    """Return the maximum times until the first and the last task of urgent jobs run."""
    cell = world.World.from_cell(figures.CELL_WORKERS)
    cell.prepare()
    cell.run_seconds = (3.0, 9.0)
    submitted = 0

    def submit() -> None:
        nonlocal submitted
        submitted += 1
        cell.submit_job("entry-1", f"job-{submitted}", "rounds", BATCH_TASKS, world.DRAWN_COMMAND)
        cell.schedule(BATCH_TASKS / load, submit)

    if load:
        submit()
    cell.run(WARM_UP_SECONDS if load else 1.0)
    firsts, lasts = [], []
    for probe in range(PROBES):
        first, last = time_job(cell, f"urgent-{probe}", tasks)
        firsts.append(first)
        lasts.append(last)
        cell.run(SPACING_SECONDS)
    return {
        "batch starts offered/s": load,
        "urgent tasks": tasks,
        "first task s (max)": max(firsts),
        "last task s (max)": max(lasts),
    }


def time_job(cell: world.World, job: str, tasks: int) -> tuple[float, float]:
    """Submit an urgent job; return the seconds until its first and its last task start.

    Each wait ends after ``LIMIT_SECONDS``.
    """
    cell.submit_job("entry-1", job, "urgent-rounds", tasks, "sleep 60")
    start = cell.now
    earlier_runs = len(cell.audit.runs)

    def count_started() -> int:
        return len(
            {run.task for run in cell.audit.runs[earlier_runs:] if run.task.startswith(f"{job}.")}
        )

    first = cell.run_until(lambda: count_started() >= 1, LIMIT_SECONDS)
    cell.run_until(lambda: count_started() >= tasks, LIMIT_SECONDS)
    return first, cell.now - start


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Measure urgent jobs of several sizes in a cell of 35 workers."""
    cases = [(load, tasks) for load in reversed(BATCH_LOADS) for tasks in URGENT_TASKS]
    rows = figures.run_all(measure, cases)
    rows.sort(key=lambda row: (row["urgent tasks"], row["batch starts offered/s"]))
    figures.print_table("Urgent jobs", rows)
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
