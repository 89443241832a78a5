"""Cost of the digests between entries by number of entries and size of cells."""

import click

from benchmarks import figures
from benchmarks import world

DEPLOYMENT_SIZES = ((8, 35), (16, 10), (8, 20), (8, 10), (4, 10))
"""Number of entries, each owning one cell, and number of workers per cell."""
ENTRIES_PER_CENTRE = 4
MEASURED_SECONDS = 30.0
"""One interval between full digests."""


def measure(entries: int, workers: int, endpoints: int) -> dict[str, float]:
    """Return the mean rates per entry while its agents are idle."""
    centres = [f"centre-{number // ENTRIES_PER_CENTRE}" for number in range(entries)]
    cells = {f"cell-{number}": (centre, workers) for number, centre in enumerate(centres)}
    names = {f"entry-{number}": centre for number, centre in enumerate(centres)}
    region = world.World(cells, names)
    region.prepare()
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
    """Measure entries that own one cell each while all agents are idle."""
    rows = figures.run_all(measure, [(*size, endpoints) for size in DEPLOYMENT_SIZES])
    figures.print_table("Mean entry with idle agents", rows)
    products = [(row["entries"] - 1) * row["endpoints/cell"] for row in rows]
    line = figures.LinearFit(products, [row["kB/s"] for row in rows])
    design = (figures.ENTRIES - 1) * figures.CELL_WORKERS * endpoints
    click.echo(f"kB/s: {line.constant:.2f} + {line.per_unit:.5f} per peer and endpoint")
    click.echo(
        f"at {figures.ENTRIES} entries, {figures.CELL_WORKERS} workers: {line.predict(design):.1f}"
    )
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
