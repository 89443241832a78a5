"""Messages, bytes and processor time between entries, by their number and the size of cells."""

import click

from benchmarks import figures
from benchmarks import world

SWEEPS = ((8, 35), (16, 10), (8, 20), (8, 10), (4, 10))
"""Entries (with a cell each) and workers a cell."""
ENTRIES_PER_CENTRE = 4
MEASURED_SECONDS = 30.0
"""One period of full digests."""


def measure(entries: int, workers: int, endpoints: int) -> dict[str, float]:
    """Return the rates of the mean entry, with its agents at rest."""
    centres = [f"centre-{number // ENTRIES_PER_CENTRE}" for number in range(entries)]
    cells = {f"cell-{number}": (centre, workers) for number, centre in enumerate(centres)}
    names = {f"entry-{number}": centre for number, centre in enumerate(centres)}
    region = world.World(cells, names)
    region.settle()
    region.add_endpoints(endpoints)
    region.run(5)
    region.reset()
    region.run(MEASURED_SECONDS)
    meters = [region.meters[name] for name in names]
    per_second = 1 / MEASURED_SECONDS / entries
    digests = region.counts["sent_EntryDigest"]
    return {
        "entries": entries,
        "workers/cell": workers,
        "endpoints/cell": workers * endpoints,
        "digests sent/s": digests * per_second,
        "kB/s": sum(meter.wire_bytes for meter in meters) / 1e3 * per_second,
        "core CPU %": sum(meter.cpu_ns for meter in meters) / 1e7 * per_second,
        "reads/s": sum(region.table.reads.values()) * per_second,
        "row writes/s": sum(region.table.writes.values()) * per_second,
    }


@click.command()
@click.option("--endpoints", default=figures.ENDPOINTS_PER_WORKER, help="Endpoints of each worker.")
@figures.json_option
def main(endpoints: int, json_path) -> None:
    """Measure entries that own one cell each, all agents at rest."""
    rows = figures.run_all(measure, [(*sweep, endpoints) for sweep in SWEEPS])
    figures.print_table("An entry among others, agents at rest", rows)
    products = [(row["entries"] - 1) * row["endpoints/cell"] for row in rows]
    line = figures.Slope(products, [row["kB/s"] for row in rows])
    design = (figures.ENTRIES - 1) * figures.CELL_WORKERS * endpoints
    click.echo(f"kB/s: {line.constant:.2f} + {line.per_unit:.5f} per peer and endpoint")
    click.echo(
        f"at {figures.ENTRIES} entries, {figures.CELL_WORKERS} workers: {line.at(design):.1f}"
    )
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
