"""Propagation of configuration changes by the distribution tree, a flat push and polling.

The flat push is the production code with one entry and one cell that contains all agents. The
polling daemons read ``config/head`` from the table at an interval. Lags are in simulated time
(links 1 to 5 ms, store 2 to 10 ms), which excludes processor time; that of the entry that accepts
the change is reported separately.
"""

import random
import statistics

import click

from benchmarks import figures
from benchmarks import world
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from tests.support import simulation

CHANGES = 3
SPACING_SECONDS = 2.0
TREE_SIZES = ((4, 10), (8, 20), (32, 35))
"""Number of entries, each owning one cell, and number of workers per cell."""
FLAT_SIZES = (40, 280, 1_120)
POLL_SIZES = (40, 280, 1_120)
POLL_SECONDS = 2.0
"""Half of the 4 s within which a change must be in force, which tolerates one lost poll."""
ISOLATION_SECONDS = 6.0


class PollingCore:
    """Poll the configuration head and read the revisions that are missing."""

    def __init__(self, randomness: random.Random) -> None:
        self._due = randomness.uniform(0, POLL_SECONDS)
        self._started: float | None = None
        self.revision = 0

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        if not isinstance(event, events.RowsRead):
            return []
        head = event.rows.get("config/head")
        if head is None:
            self.revision += len(event.rows)
            return []
        missing = range(self.revision + 1, head.value["revision"] + 1)
        keys = tuple(f"config/revision/{number}" for number in missing)
        return [effects.ReadRows(ids.OperationId("poll:2"), keys)] if keys else []

    def tick(self, now: float) -> list[effects.Effect]:
        if self._started is None:
            self._started = now
        if now - self._started < self._due:
            return []
        self._due += POLL_SECONDS
        return [effects.ReadRows(ids.OperationId("poll:1"), ("config/head",))]

    def dump(self) -> dict[str, object]:
        return {}


class PollingDaemons(simulation.Simulation):
    """Simulate daemons that poll a table to which an operator writes changes."""

    def __init__(self, daemons: int) -> None:
        super().__init__(1)
        self.table = world.CountingTable()
        for number in range(daemons):
            self.start(f"daemon-{number}", lambda _: PollingCore(self.random))
        self.head = 0

    def submit(self) -> None:
        self.head += 1
        writes = (
            effects.RowWrite("config/head", {"revision": self.head}, None),
            effects.RowWrite(f"config/revision/{self.head}", {"change": "c" * 200}, None),
        )
        self.table.perform(effects.Commit(ids.OperationId("poll:0"), writes, ()))

    def is_in_force(self) -> bool:
        """Return whether all daemons have adopted the latest revision."""
        return all(process.core.revision == self.head for process in self.processes.values())


def make_record(number: int) -> dict:
    return {**world.RECORDS[2], "name": f"rounds-{number}"}


def measure_product(kind: str, entries: int, workers: int) -> dict[str, float]:
    """Return the lag and the costs of changes distributed by the production code."""
    cells = {f"cell-{n}": (f"centre-{n // 4}", workers) for n in range(entries)}
    region = world.World(cells, {f"entry-{n}": f"centre-{n // 4}" for n in range(entries)})
    region.prepare()
    region.run(2)
    region.reset()
    region.run(CHANGES * SPACING_SECONDS)
    idle = summarise(region)
    region.reset()
    lags = []
    for number in range(CHANGES):
        end = region.now + SPACING_SECONDS
        accepted = region.now
        operation = region.submit_record("entry-0", make_record(number))
        while operation not in region.operator_answers:
            region.run(0.005)
        answer = region.operator_answers[operation]
        assert answer.status < 300, answer
        lags.append(region.now - accepted + region.run_until(region.is_in_force, 30))
        region.run(max(0.0, end - region.now))
    busy = summarise(region)
    catch_up_seconds = measure_catch_up(region)
    return {
        "kind": kind,
        "daemons": entries * (workers + 1),
        "lag s (median)": statistics.median(lags),
        "lag s (max)": max(lags),
        "accepting entry ms/change": (busy["accepting"] - idle["accepting"]) / CHANGES,
        "accepting entry B/change": (busy["accepting B"] - idle["accepting B"]) / CHANGES,
        "agent B/change": (busy["agent B"] - idle["agent B"]) / CHANGES,
        "reads/s at rest": idle["reads"] / (CHANGES * SPACING_SECONDS),
        "recovery s": catch_up_seconds,
    }


def summarise(region: world.World) -> dict[str, float]:
    """Return the totals since the last reset: ms of processor time, bytes and store reads."""
    accepting = region.meters["entry-0"]
    agents = [meter for name, meter in region.meters.items() if name.startswith("agent-")]
    return {
        "accepting": accepting.cpu_ns / 1e6,
        "accepting B": accepting.wire_bytes,
        "agent B": sum(meter.wire_bytes for meter in agents) / len(agents),
        "reads": region.table.reads["config"],
    }


def measure_catch_up(region: world.World) -> float:
    """Return the seconds until an agent that missed changes while isolated has caught up."""
    isolated = "agent-cell-0-1"
    region.faults.isolated = {isolated}
    for number in range(CHANGES):
        region.submit_record("entry-0", make_record(100 + number))
        region.run(ISOLATION_SECONDS / CHANGES)
    region.faults.isolated = set()
    return region.run_until(region.is_in_force, 60)


def measure_polling(kind: str, daemons: int, _: int) -> dict[str, float]:
    """Return the lag and the costs of changes distributed by polling."""
    system = PollingDaemons(daemons)
    system.run(5)
    system.table.reads.clear()
    system.run(CHANGES * SPACING_SECONDS)
    reads = system.table.reads["config"]
    lags = []
    for _ in range(CHANGES):
        end = system.now + SPACING_SECONDS
        system.submit()
        lags.append(system.run_until(system.is_in_force, 30))
        system.run(max(0.0, end - system.now))
    isolated = next(iter(system.processes))
    system.faults.store_down = {isolated}
    for _ in range(CHANGES):
        system.submit()
        system.run(ISOLATION_SECONDS / CHANGES)
    system.faults.store_down = set()
    return {
        "kind": kind,
        "daemons": daemons,
        "lag s (median)": statistics.median(lags),
        "lag s (max)": max(lags),
        "accepting entry ms/change": 0.0,
        "accepting entry B/change": 0,
        "agent B/change": 0,
        "reads/s at rest": reads / (CHANGES * SPACING_SECONDS),
        "recovery s": system.run_until(system.is_in_force, 60),
    }


def measure(kind: str, first: int, second: int) -> dict[str, float]:
    """Measure one kind of distribution at one size.

    The sizes are entries and workers per cell, or for polling the number of daemons and 0.
    """
    if kind == "polling":
        return measure_polling(kind, first, second)
    return measure_product(kind, first, second)


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Compare the distribution tree with a flat push and with polling."""
    sizes = [("tree", *size) for size in reversed(TREE_SIZES)]
    sizes += [("flat push", 1, size) for size in reversed(FLAT_SIZES)]
    sizes += [("polling", size, 0) for size in POLL_SIZES]
    rows = figures.run_all(measure, sizes)
    rows.sort(key=lambda row: (row["kind"], row["daemons"]))
    figures.print_table("Configuration changes until they are in force everywhere", rows)
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
