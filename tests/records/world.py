"""Simulated entries and agents with an in-memory table, and faults that tests inject."""

import random

import msgspec

from crocusrudder.conf import settings
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.records import core
from crocusrudder.records import replica
from crocusrudder.wire import messages

CELL = ids.CellId("cell-1")
MAX_IDLE_ROUNDS = 50
"""Rounds of delivery after which messages without changes must have ended."""


class Table:
    """Simulate the table service: rows with versions, and faults.

    ``up`` is whether it responds. ``lose_commit_results`` and ``delay_commits`` count the next
    commits whose result is lost and that are carried out only by ``release_delayed``.
    """

    def __init__(self):
        self.rows = {}
        self.up = True
        self.lose_commit_results = 0
        self.refuse_commits = 0
        self.delayed = []
        self.delay_commits = 0

    def find(self, keys):
        return {key: self.rows[key] for key in keys if key in self.rows}

    def commit(self, effect):
        """Apply a transaction and return its actual result."""
        expected = {write.key: write.expected_version for write in effect.writes}
        expected |= {check.key: check.expected_version for check in effect.checks}
        for key, version in expected.items():
            row = self.rows.get(key)
            if version is not None and version != (row.version if row else 0):
                current = {name: self.rows.get(name) for name in expected}
                return events.CommitConflicted(effect.operation, current)
        versions = {}
        for write in effect.writes:
            row = self.rows.pop(write.key, None)
            if write.value is not None:
                version = (row.version if row else 0) + 1
                # Copied, because a component must not be able to change a row after writing it.
                value = msgspec.json.decode(msgspec.json.encode(write.value))
                self.rows[write.key] = effects.Row(write.key, value, version)
                versions[write.key] = version
        return events.Committed(effect.operation, versions)

    def respond(self, effect):
        """Return the event that results from an effect, with the injected faults."""
        if not self.up:
            return events.StoreUnavailable(effect.operation)
        if isinstance(effect, effects.ReadRows):
            return events.RowsRead(effect.operation, self.find(effect.keys))
        if isinstance(effect, effects.ScanRows):
            keys = [key for key in self.rows if key.startswith(effect.prefix)]
            return events.RowsRead(effect.operation, self.find(keys))
        return self._respond_to_commit(effect)

    def _respond_to_commit(self, effect):
        if self.refuse_commits:
            self.refuse_commits -= 1
            return events.StoreUnavailable(effect.operation)
        if self.delay_commits:
            self.delay_commits -= 1
            self.delayed.append(effect)
            return events.CommitUnknown(effect.operation)
        result = self.commit(effect)
        if self.lose_commit_results:
            self.lose_commit_results -= 1
            return events.CommitUnknown(effect.operation)
        return result

    def release_delayed(self):
        """Carry out the delayed transactions."""
        for effect in self.delayed:
            self.commit(effect)
        self.delayed.clear()


class FixedOwnership:
    """Simulate the ownership of a fixed set of cells."""

    def __init__(self, *cells):
        self.cells = cells

    def owned(self, now):
        return {cell: ids.CellEpoch(1) for cell in self.cells}


class Entry:
    """Simulate the process of an entry with a replica and a coordinator."""

    def __init__(self, name, others, owned, incarnation):
        peers = [settings.Peer(other, "127.0.0.1:29700", "dc-1") for other in others]
        cells = [settings.CellSettings(CELL, "dc-1")]
        source = random.Random(f"{name}{incarnation}")
        self.replica = replica.Replica(name, "dc-1", peers, cells, FixedOwnership(*owned), source)
        self.coordinator = core.ChangeCoordinator(self.replica, source, incarnation)

    def handle(self, event, now):
        operation = getattr(event, "operation", "")
        if isinstance(event, events.OperatorAsked) or operation.startswith("change:"):
            return self.coordinator.handle(event, now)
        return self.replica.handle(event, now)

    def tick(self, now):
        return self.replica.tick(now) + self.coordinator.tick(now)


class Agent:
    """Simulate the process of an agent that reports its revision to the owner of its cell."""

    def __init__(self, name, entries, incarnation):
        self.replica = replica.AgentReplica(entries, random.Random(f"{name}{incarnation}"))
        self.owner = entries[0]

    def handle(self, event, now):
        return self.replica.handle(event, now)

    def tick(self, now):
        return self.replica.tick(now) + [effects.Send(self.owner, self.make_heartbeat())]

    def make_heartbeat(self):
        size = messages.Resources()
        return messages.Heartbeat(
            1, CELL, "worker", 1, self.replica.revision, True, False, size, size
        )


class World:
    """Simulate a deployment of entries and agents with a table, a network and operators.

    ``in_flight`` contains the messages that are not delivered yet. With ``defer``, operations of
    the table stay in ``pending_operations``. Events for paused processes stay in
    ``deferred_events`` until the processes resume.
    """

    def __init__(self, entries=("e1", "e2"), agents=("a1",), table=None):
        self.table = table or Table()
        self.now = 100.0
        self.in_flight = []
        self.answers = {}
        self.delivered = []
        self.paused = set()
        self.deferred_events = []
        self.defer = False
        self.pending_operations = []
        self.entry_names = tuple(entries)
        self.agent_names = tuple(agents)
        self.processes = {}
        self.incarnations = {}
        self.request_count = 0
        for name in (*entries, *agents):
            self.start(name)

    def start(self, name):
        """Start a process, or restart it under a new incarnation."""
        number = self.incarnations[name] = self.incarnations.get(name, 0) + 1
        incarnation = ids.Incarnation(str(number))
        self.paused.discard(name)
        if name in self.agent_names:
            self.processes[name] = Agent(name, self.entry_names, incarnation)
        else:
            others = [other for other in self.entry_names if other != name]
            owned = [CELL] if name == self.entry_names[0] else []
            self.processes[name] = Entry(name, others, owned, incarnation)

    def replica(self, name):
        return self.processes[name].replica

    def request(self, name, method, path, body=None, **query):
        """Send an operator's call to an entry and return the operation of the request."""
        self.request_count += 1
        operation = ids.OperationId(f"http:{self.request_count}")
        parts = tuple(path.strip("/").split("/"))
        event = events.OperatorAsked(operation, method, parts, query, body)
        self.dispatch(name, self.incarnations[name], event)
        return operation

    def dispatch(self, name, incarnation, event):
        """Pass an event to a process, unless it has been restarted since."""
        if self.incarnations[name] != incarnation:
            return
        if name in self.paused:
            self.deferred_events.append((name, incarnation, event))
            return
        self.execute(name, self.processes[name].handle(event, self.now))

    def execute(self, name, produced):
        for effect in produced:
            if isinstance(effect, effects.Send):
                self.in_flight.append((name, self.incarnations[name], effect))
            elif isinstance(effect, effects.AnswerOperator):
                self.answers[effect.operation] = effect
            elif hasattr(effect, "operation"):
                self.pending_operations.append((name, self.incarnations[name], effect))
                if not self.defer:
                    self.execute_operation()

    def execute_operation(self, index=-1):
        """Execute a pending operation of the table and pass on its result."""
        name, incarnation, effect = self.pending_operations.pop(index)
        self.dispatch(name, incarnation, self.table.respond(effect))

    def resume(self, name):
        """Resume a paused process and pass it the deferred events."""
        self.paused.discard(name)
        deferred_events, self.deferred_events = self.deferred_events, []
        for item in deferred_events:
            self.dispatch(*item)

    def deliver(self, envelope):
        sender, incarnation, effect = envelope
        self.delivered.append(envelope)
        if effect.to not in self.processes:
            return
        # Encoded and decoded, so that processes cannot share mutable state.
        data = msgspec.msgpack.encode(effect.message)
        message = msgspec.msgpack.decode(data, type=type(effect.message))
        event = events.Received(sender, ids.Incarnation(str(incarnation)), message)
        self.dispatch(effect.to, self.incarnations[effect.to], event)

    def deliver_all(self):
        """Deliver until no message is in flight; an exchange without an end is an error."""
        # A process that is behind may need a round for every other revision (test_histories).
        revisions = sum(key.startswith("config/revision/") for key in self.table.rows)
        rounds = MAX_IDLE_ROUNDS + revisions // 2
        for _ in range(rounds):
            if not self.in_flight:
                return
            envelopes, self.in_flight = self.in_flight, []
            for envelope in envelopes:
                self.deliver(envelope)
            while self.pending_operations:
                self.execute_operation(0)
        raise AssertionError(
            f"messages are still in flight after {rounds} rounds: {self.in_flight[:4]}"
        )

    def tick(self, seconds=0.1):
        """Advance the clock and call ``tick`` of every process that is not paused."""
        self.now += seconds
        for name, process in list(self.processes.items()):
            if name not in self.paused:
                self.execute(name, process.tick(self.now))

    def run(self, seconds):
        """Advance the clock in steps of 0.1 s and deliver all messages after each step."""
        for _ in range(round(seconds / 0.1)):
            self.tick()
            self.deliver_all()

    def run_until_answered(self, operation, seconds=12):
        """Run until an operator's call is answered and return the answer.

        Raises ``KeyError`` if there is no answer within ``seconds`` of simulated time.
        """
        for _ in range(round(seconds / 0.1)):
            if operation in self.answers:
                return self.answers[operation]
            self.tick()
            self.deliver_all()
        return self.answers[operation]

    def revisions(self):
        return {name: process.replica.revision for name, process in self.processes.items()}


def make_service(version=2, **fields):
    """Return a service record; ``fields`` replace its defaults."""
    size = {"processors": 1.5, "memory_gb": 2.0}
    if version == 2:
        size = {"millicores": 1500, "memory_mb": 2000}
    record = {"kind": "service", "schema_version": version, "name": "dispatch", "team": "arriola"}
    return record | {"size": size} | fields


def make_cutover(**order_kinds):
    """Return a cutover record that maps each order kind to a schema version."""
    return {
        "kind": "cutover",
        "schema_version": 2,
        "service": "dispatch",
        "order_kinds": {
            name: {"schema_version": version, "signed_off_by": "dispatch lead"}
            for name, version in order_kinds.items()
        },
    }
