"""Cost of lost VMs, restarted agents and lost racks in one cell: messages, store and time."""

import click

from benchmarks import figures
from benchmarks import world

WORKERS = figures.CELL_WORKERS
JOB_TASKS = 60
BUSY_LIMIT_SECONDS = 90.0
REPLACEMENT_SECONDS = 30.0
AFTER_SECONDS = 40.0
LEASE_LIMIT_SECONDS = 420.0
CASES = (
    ("agent restarts", 1),
    ("agent restarts", 3),
    ("agent restarts", 10),
    ("VM fails, replaced after 30 s", 1),
    ("VM fails, replaced after 30 s", 3),
    ("VM fails, replaced after 30 s", 10),
    ("VM fails, not replaced", 1),
    ("VM fails, not replaced", 3),
    ("VM fails, not replaced", 10),
)


def count_busy(cell: world.World) -> int:
    """Return the number of active runs on workers that are not lost."""
    return sum(
        run.active
        for name, runtime in cell.runtimes.items()
        if name not in cell.lost_workers
        for run in runtime.listed_runs.values()
    )


def make_busy_cell(workers: int) -> world.World:
    """Return a cell whose workers run the design load of tasks."""
    cell = world.World.from_cell(workers)
    cell.prepare()
    task_count = workers * figures.TASKS_PER_WORKER
    for number in range(task_count // JOB_TASKS):
        cell.submit_job("entry-1", f"job-{number}", "urgent-rounds", JOB_TASKS, "sleep 100000")
    cell.run_until(lambda: count_busy(cell) >= task_count, BUSY_LIMIT_SECONDS)
    cell.run(5)
    return cell


def read_totals(cell: world.World) -> dict[str, float]:
    """Return the totals of the owner and the store since the last reset."""
    owner = cell.meters["entry-1"]
    return {
        "owner messages": owner.sent + owner.received,
        "owner kB": owner.wire_bytes / 1e3,
        "owner CPU ms": owner.cpu_ns / 1e6,
        "store reads": sum(cell.table.reads.values()),
        "row writes": sum(cell.table.writes.values()),
        "starts": cell.counts["sent_StartTask"],
    }


def measure(case: str, count: int) -> dict[str, float]:
    """Return the costs of a failure of ``count`` workers at once in excess of idle operation."""
    cell = make_busy_cell(WORKERS)
    cell.reset()
    cell.run(AFTER_SECONDS)
    idle = {name: value / AFTER_SECONDS for name, value in read_totals(cell).items()}
    busy = count_busy(cell)
    chosen = list(cell.cell_of)[:count]
    cell.reset()
    start = cell.now
    if case == "agent restarts":
        for worker in chosen:
            cell.start_agent(worker)
        cell.run(AFTER_SECONDS)
        recovery_seconds = 0.0
    else:
        recovery_seconds = lose_workers(cell, chosen, busy, "not" not in case)
    seconds = cell.now - start
    totals = read_totals(cell)
    extra = {name: totals[name] - idle[name] * seconds for name in totals}
    return {"case": case, "workers": count, "all tasks run again s": recovery_seconds, **extra}


def lose_workers(cell: world.World, chosen: list[str], busy: int, is_replaced: bool) -> float:
    """Lose workers and return the seconds until at least ``busy`` tasks run again."""
    start = cell.now
    for worker in chosen:
        cell.lose_worker(worker)
    if is_replaced:
        cell.run(REPLACEMENT_SECONDS)
        for worker in chosen:
            cell.replace_worker(worker)
    cell.run_until(lambda: count_busy(cell) >= busy, LEASE_LIMIT_SECONDS)
    recovery_seconds = cell.now - start
    cell.run(5)
    return recovery_seconds


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Measure failures in a cell of 35 workers with 12 tasks each."""
    rows = figures.run_all(measure, list(reversed(CASES)))
    rows.reverse()
    figures.print_table(
        "Additional cost of a failure (idle cost over the same time subtracted)", rows
    )
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
