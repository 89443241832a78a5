"""Row writes, bytes and processor time per task start in the production cores of one cell."""

import click

from benchmarks import figures
from benchmarks import world

WORKERS = figures.CELL_WORKERS
LOADS = (4.0, 9.0, 17.2, 26.0)
"""Task starts per second of one cell; 17.2 is its share of 550/s."""
CHUNK_TASKS = 64
JOB_SIZES = (1, 8, 64)
"""Tasks per job."""
WARM_UP_SECONDS = 14.0
MEASURED_SECONDS = 20.0
TASK_SECONDS = (3.0, 9.0)
"""Range of run times, so that the tasks of a job end one by one as in production."""


def measure(rate: float, tasks: int) -> dict[str, float]:
    """Return the costs per task start at ``rate`` starts per second in jobs of ``tasks`` tasks."""
    cell = world.World.from_cell(WORKERS)
    cell.prepare()
    cell.run_seconds = TASK_SECONDS
    interval = tasks / rate
    submitted = 0

    def submit() -> None:
        nonlocal submitted
        submitted += 1
        cell.submit_job("entry-1", f"job-{submitted}", "urgent-rounds", tasks, world.DRAWN_COMMAND)
        cell.schedule(interval, submit)

    cell.schedule(0.1, submit)
    cell.run(WARM_UP_SECONDS)
    cell.reset()
    cell.run(MEASURED_SECONDS)
    starts = cell.counts["sent_StartTask"]
    writes = cell.table.writes
    owner = cell.meters["entry-1"]
    per_start = 1 / max(1, starts)
    return {
        "tasks/job": tasks,
        "offered/s": rate,
        "starts/s": starts / MEASURED_SECONDS,
        "pending": cell.processes["entry-1"].core._scheduler.count_pending("cell-1"),
        "chunk writes/s": writes["chunk"] / MEASURED_SECONDS,
        "job writes/s": writes["job"] / MEASURED_SECONDS,
        "chunk writes/start": writes["chunk"] * per_start,
        "job writes/start": writes["job"] * per_start,
        "delete writes/start": 1 / min(tasks, CHUNK_TASKS),
        "reads/s": sum(cell.table.reads.values()) / MEASURED_SECONDS,
        "owner ms/start": owner.cpu_ns / 1e6 * per_start,
        "owner CPU %": owner.cpu_ns / 1e7 / MEASURED_SECONDS,
        "owner kB/s": owner.wire_bytes / 1e3 / MEASURED_SECONDS,
    }


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Measure task starts at several loads and job sizes."""
    rows = figures.run_all(measure, [(rate, tasks) for tasks in JOB_SIZES for rate in LOADS])
    figures.print_table(f"Task starts in one cell of {WORKERS} workers", rows)
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
