"""Production cores in simulated time with metered processor time, messages, bytes and rows."""

import collections
import gc
import time
from typing import Any

import msgspec

from benchmarks import figures
from crocusrudder.conf import settings
from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.platform import runtime_calls
from crocusrudder.wire import codec
from tests.support import simulation
from tests.support import system
from tools.standin import table

DATA_CENTRE = "bilbao"
TASK_LEASE_SECONDS = 300.0
ANNOUNCE_SECONDS = 2.0
TASK_SIZE = {"millicores": 300, "memory_mb": 500}
DRAWN_COMMAND = "sleep 6"

RECORDS = (
    {"kind": "team", "schema_version": 2, "name": system.TEAM, "quota": TASK_SIZE},
    {
        "kind": "service",
        "schema_version": 2,
        "name": system.SERVICE,
        "team": system.TEAM,
        "size": {"millicores": 100, "memory_mb": 100},
    },
    {
        "kind": "batch",
        "schema_version": 2,
        "name": "rounds",
        "team": system.TEAM,
        "size": TASK_SIZE,
        "command": "sleep 600",
        "urgent": False,
    },
    {
        "kind": "batch",
        "schema_version": 2,
        "name": "urgent-rounds",
        "team": system.TEAM,
        "size": TASK_SIZE,
        "command": "sleep 600",
        "urgent": True,
    },
)


class Meter(msgspec.Struct):
    """Processor time, messages and bytes of one process."""

    cpu_ns: int = 0
    handled: int = 0
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0

    @property
    def wire_bytes(self) -> int:
        """Return the bytes in both directions, with the headers of one packet per envelope."""
        packets = self.sent + self.received
        return self.sent_bytes + self.received_bytes + packets * figures.PACKET_HEADER_BYTES


class MeteredCore:
    """Wrap a core and add its processor time to a meter."""

    def __init__(self, core: components.Component, meter: Meter) -> None:
        self._core = core
        self._meter = meter

    def __getattr__(self, name: str) -> Any:
        return getattr(self._core, name)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        start = time.thread_time_ns()
        produced = self._core.handle(event, now)
        self._meter.cpu_ns += time.thread_time_ns() - start
        self._meter.handled += 1
        return produced

    def tick(self, now: float) -> list[effects.Effect]:
        start = time.thread_time_ns()
        produced = self._core.tick(now)
        self._meter.cpu_ns += time.thread_time_ns() - start
        return produced


class CountingTable(table.Table):
    """Count the row writes and reads per category of key."""

    def __init__(self) -> None:
        super().__init__()
        self.writes: collections.Counter[str] = collections.Counter()
        self.reads: collections.Counter[str] = collections.Counter()

    def perform(self, effect):
        answer = super().perform(effect)
        if isinstance(answer, events.Committed):
            for write in effect.writes:
                self.writes[get_key_category(write.key)] += 1
        elif isinstance(effect, effects.ReadRows):
            self.reads[get_key_category(effect.keys[0])] += 1
        elif isinstance(effect, effects.ScanRows):
            self.reads[f"{get_key_category(effect.prefix)} (scan)"] += 1
        return answer


def get_key_category(key: str) -> str:
    """Return the first part of a key; for cells, append the last part."""
    parts = key.split("/")
    return f"cell/{parts[-1]}" if parts[0] == "cell" else parts[0]


class World(system.System):
    """Simulate the entries and agents of a deployment with any number of cells per data centre.

    ``cells`` maps each cell to its data centre and its number of workers. Invariants are not
    checked.
    """

    def __init__(
        self, cells: dict[str, tuple[str, int]], entries: dict[str, str], seed: int = 1
    ) -> None:
        self.cells = cells
        self.meters: dict[str, Meter] = collections.defaultdict(Meter)
        self.run_seconds: tuple[float, float] | None = None
        """Range from which the run time of each task with ``DRAWN_COMMAND`` is drawn."""
        self.cell_of = {
            f"{cell}-{number}": cell
            for cell, (_, count) in cells.items()
            for number in range(1, count + 1)
        }
        workers = {worker: cells[cell][0] for worker, cell in self.cell_of.items()}
        super().__init__(seed, entries, workers)
        self.table = CountingTable()
        self.invariants = []
        self.senders = {}

    @classmethod
    def from_cell(cls, workers: int, seed: int = 1) -> "World":
        """Return a simulation of one entry that owns one cell."""
        return cls({"cell-1": (DATA_CENTRE, workers)}, {"entry-1": DATA_CENTRE}, seed)

    def start(self, name, make_core) -> simulation.Process:
        """Start a process with a metered core."""
        return super().start(
            name, lambda incarnation: MeteredCore(make_core(incarnation), self.meters[name])
        )

    def prepare(self) -> None:
        """Run until every owner has heard from its agents, then put the records in force."""
        self.run_until(self.is_populated, 60)
        entry = next(iter(self.entries))
        for record in RECORDS:
            self.submit_record(entry, record)
            self.run(1)
        self.run_until(self.is_in_force, 30)

    def is_populated(self) -> bool:
        """Return whether the owners of the cells know all workers that are not lost."""
        known_workers = sum(
            len(self.processes[name].core.workers.list_workers(cell))
            for name in self.entries
            if self.processes[name].core is not None
            for cell in self.cells
        )
        return known_workers >= len(self.cell_of) - len(self.lost_workers)

    def add_endpoints(self, per_worker: int) -> None:
        """Start ``per_worker`` endpoints of the service on every worker."""
        for worker in self.cell_of:
            for number in range(per_worker):
                port = 30_000 + next(self._numbers)
                name = f"{system.SERVICE}-{worker}-{number}"
                self.endpoints[port] = system.Endpoint(name, worker, 2, 0.02)
                self.schedule(self.random.uniform(0, 1), lambda port=port: self._announce(port))

    def find_owner(self, cell: str) -> str:
        """Return the entry that owns a cell; raise `LookupError` if none does."""
        for name in self.entries:
            process = self.processes[name]
            if process.core is None:
                continue
            if cell in process.core.ownership.owned(process.local(self.now)):
                return name
        raise LookupError(cell)

    def reset(self) -> None:
        """Reset all counters, and collect garbage so that its cost is not measured."""
        gc.collect()
        for meter in self.meters.values():
            meter.cpu_ns = meter.handled = meter.sent = meter.received = 0
            meter.sent_bytes = meter.received_bytes = 0
        self.table.writes.clear()
        self.table.reads.clear()
        self.counts.clear()

    def _send(self, effect: effects.Send, process: simulation.Process) -> None:
        size = len(self._encode(effect, process))
        meter = self.meters[process.name]
        meter.sent += 1
        meter.sent_bytes += size
        receiver = self.meters[effect.to]
        receiver.received += 1
        receiver.received_bytes += size

    def _call_runtime(self, process: simulation.Process, effect: effects.CallRuntime) -> None:
        is_start = isinstance(effect.call, runtime_calls.StartRun)
        if self.run_seconds and is_start and effect.call.command == DRAWN_COMMAND:
            command = f"sleep {self.random.uniform(*self.run_seconds):.2f}"
            call = msgspec.structs.replace(effect.call, command=command)
            effect = msgspec.structs.replace(effect, call=call)
        super()._call_runtime(process, effect)

    def _perform_all(self, process: simulation.Process, produced: list) -> None:
        for effect in produced:
            if isinstance(effect, effects.Send):
                self._send(effect, process)
        super()._perform_all(process, produced)

    def _encode(self, effect: effects.Send, process: simulation.Process) -> bytes:
        key = (process.name, process.incarnation)
        if key not in self.senders:
            self.senders[key] = codec.Sender(
                ids.ProcessId(process.name), ids.Incarnation(process.incarnation), "127.0.0.1:27000"
            )
        return self.senders[key].encode(effect.message, effect.incarnation)

    def _make_entry_settings(self, name: str) -> settings.EntrySettings:
        document = msgspec.to_builtins(super()._make_entry_settings(name))
        document["cells"] = [
            {"cell": cell, "data_centre": data_centre}
            for cell, (data_centre, _) in self.cells.items()
        ]
        document["leases"] = {"task_lease_seconds": TASK_LEASE_SECONDS}
        return msgspec.convert(document, settings.EntrySettings)

    def _make_agent_settings(self, worker: str) -> settings.AgentSettings:
        document = msgspec.to_builtins(super()._make_agent_settings(worker))
        document["cell"] = self.cell_of[worker]
        document["task_lease_seconds"] = TASK_LEASE_SECONDS
        return msgspec.convert(document, settings.AgentSettings)
