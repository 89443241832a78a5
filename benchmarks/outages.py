"""Message, byte and store rates before, during and after an outage.

The outage is either that of the store or the loss of connectivity of a data centre.
"""

import click

from benchmarks import figures
from benchmarks import world

SIZES = (10, 20, 35)
ENTRIES = 4
IDLE_SECONDS = 20.0
LEASE_EXPIRY_SECONDS = 15.0
"""Delay from the start of the outage to the measurement, in which cell leases expire."""
OUTAGE_SECONDS = 60.0
RETURN_LIMIT_SECONDS = 60.0
KINDS = ("store down", "data centre cut off")


def make_region(workers: int) -> world.World:
    """Return a simulation of two data centres with two entries and two cells each."""
    centres = ["centre-0", "centre-0", "centre-1", "centre-1"]
    cells = {f"cell-{n}": (centre, workers) for n, centre in enumerate(centres)}
    region = world.World(cells, {f"entry-{n}": centre for n, centre in enumerate(centres)})
    region.prepare()
    region.add_endpoints(figures.ENDPOINTS_PER_WORKER)
    region.run(10)
    return region


def read_rates(region: world.World, seconds: float) -> dict[str, float]:
    """Run for ``seconds`` and return the mean rates per entry and per agent."""
    region.reset()
    region.run(seconds)
    entries = [region.meters[name] for name in region.entries]
    agents = [meter for name, meter in region.meters.items() if name.startswith("agent-")]
    return {
        "entry msg/s": sum(m.sent + m.received for m in entries) / seconds / len(entries),
        "entry kB/s": sum(m.wire_bytes for m in entries) / 1e3 / seconds / len(entries),
        "entry core CPU %": sum(m.cpu_ns for m in entries) / 1e7 / seconds / len(entries),
        "agent msg/s": sum(m.sent + m.received for m in agents) / seconds / len(agents),
        "agent B/s": sum(m.wire_bytes for m in agents) / seconds / len(agents),
        "agent core CPU %": sum(m.cpu_ns for m in agents) / 1e7 / seconds / len(agents),
        "reads/s": sum(region.table.reads.values()) / seconds,
        "row writes/s": sum(region.table.writes.values()) / seconds,
    }


def is_owned(region: world.World) -> bool:
    """Return whether every cell has an owner that has heard from all of its agents."""
    owned = set()
    for name in region.entries:
        process = region.processes[name]
        owned |= set(process.core.ownership.owned(process.local(region.now)))
    return owned == set(region.cells) and region.is_populated()


def measure(kind: str, workers: int) -> list[dict[str, float]]:
    """Return the rates before and during an outage and after it, with the seconds to recover."""
    region = make_region(workers)
    idle = read_rates(region, IDLE_SECONDS)
    if kind == "store down":
        region.faults.store_down = {"*"}
    else:
        agents = {f"agent-{w}" for w, centre in region.workers.items() if centre == "centre-0"}
        cut = agents | {name for name, centre in region.entries.items() if centre == "centre-0"}
        others = set(region.processes) - cut
        region.faults.cut = {frozenset((a, b)) for a in cut for b in others}
        region.faults.store_down = {n for n in cut if n.startswith("entry")}
    region.run(LEASE_EXPIRY_SECONDS)
    outage = read_rates(region, OUTAGE_SECONDS)
    region.faults.store_down = set()
    region.faults.cut = set()
    recovery_seconds = region.run_until(lambda: is_owned(region), RETURN_LIMIT_SECONDS)
    after_return = read_rates(region, IDLE_SECONDS)
    phases = (
        ("at rest", idle, 0.0),
        ("meanwhile", outage, 0.0),
        ("after", after_return, recovery_seconds),
    )
    return [
        {"kind": kind, "phase": phase, "workers/cell": workers, "return s": seconds, **rates}
        for phase, rates, seconds in phases
    ]


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Measure outages with 4 entries and 4 cells of several sizes."""
    cases = [(kind, workers) for workers in reversed(SIZES) for kind in KINDS]
    rows = [row for part in figures.run_all(measure, cases) for row in part]
    rows.sort(key=lambda row: (row["kind"], row["workers/cell"]))
    figures.print_table("Outages", rows)
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
