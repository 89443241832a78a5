"""Cost of the cores of an owner and its agents by size of the cell, in simulated time."""

import click

from benchmarks import failures
from benchmarks import figures

SIZES = (10, 20, 35, 70)
MEASURED_SECONDS = 60.0


def measure(workers: int) -> dict[str, float]:
    """Return the rates of the owner and the mean rates per agent, with tasks and endpoints."""
    cell = failures.make_busy_cell(workers)
    cell.add_endpoints(figures.ENDPOINTS_PER_WORKER)
    cell.run(5)
    cell.reset()
    cell.run(MEASURED_SECONDS)
    owner = cell.meters["entry-1"]
    agents = [meter for name, meter in cell.meters.items() if name.startswith("agent-")]
    count = MEASURED_SECONDS * len(agents)
    return {
        "workers": workers,
        "owner core CPU %": owner.cpu_ns / 1e7 / MEASURED_SECONDS,
        "owner msg/s": (owner.sent + owner.received) / MEASURED_SECONDS,
        "owner B/s": owner.wire_bytes / MEASURED_SECONDS,
        "agent core CPU %": sum(meter.cpu_ns for meter in agents) / 1e7 / count,
        "agent msg/s": sum(meter.sent + meter.received for meter in agents) / count,
        "agent B/s": sum(meter.wire_bytes for meter in agents) / count,
    }


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Measure cells of several sizes with 12 tasks and 7 endpoints per worker."""
    rows = figures.run_all(measure, [(size,) for size in reversed(SIZES)])
    rows.reverse()
    figures.print_table("Owner and agents, cores only", rows)
    for column in ("owner core CPU %", "owner B/s"):
        line = figures.fit_line(rows, "workers", column)
        click.echo(f"{column}: {line.constant:.3f} + {line.per_unit:.4f} per worker")
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
