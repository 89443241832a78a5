"""Core of an agent: its components and the state that they share."""

from __future__ import annotations

import random

from crocusrudder.agent import endpoints
from crocusrudder.conf import settings
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.hosting import inspection
from crocusrudder.jobs import capacity
from crocusrudder.jobs import runner
from crocusrudder.membership import announcer
from crocusrudder.records import replica
from crocusrudder.requests import gate
from crocusrudder.wire import messages

OPERATOR_PATHS = {"endpoints": "endpoint"}


class _HeartbeatSource:
    """Contents of heartbeats, read from the components of the agent."""

    def __init__(self, core: AgentCore) -> None:
        self._core = core

    def get_revision(self) -> ids.Revision:
        return self._core.replica.revision

    def is_ready(self) -> bool:
        return self._core.runner.ready

    def is_draining(self) -> bool:
        return self._core.is_stopping

    def get_capacity(self) -> messages.Resources:
        return self._core.reservations.capacity

    def get_reserved(self) -> messages.Resources:
        return self._core.reservations.reserved

    def list_endpoints(self) -> tuple[messages.EndpointStatus, ...]:
        return tuple(self._core.gate.list_endpoints())

    def list_runs(self) -> tuple[messages.TaskStatus, ...]:
        return self._core.runner.list_statuses()

    def drain_changed_runs(self) -> tuple[messages.TaskStatus, ...]:
        return self._core.runner.drain_changed_runs()

    def list_latencies(self) -> tuple[tuple[ids.ServiceName, float], ...]:
        return ()


class AgentCore(inspection.Inspectable):
    """Register a worker, admit work within its capacity, run tasks and forward requests."""

    def __init__(
        self,
        document: settings.AgentSettings,
        incarnation: ids.Incarnation,
        randomness: random.Random,
    ) -> None:
        worker = ids.WorkerId(document.worker)
        self._stopping = False
        self._now = 0.0
        self._reservations = capacity.CapacityReservations(
            messages.Resources(
                document.capacity.millicores,
                document.capacity.memory_mb,
                document.capacity.accelerators,
            )
        )
        self._replica = replica.AgentReplica.from_settings(document, randomness)
        entries = [ids.ProcessId(entry.process) for entry in document.entries]
        randomness.shuffle(entries)
        self._announcer = announcer.Announcer(
            worker, ids.CellId(document.cell), entries, _HeartbeatSource(self)
        )
        self._runner = runner.TaskRunner(
            self._announcer, self._reservations, worker, document.drain_seconds
        )
        self._gate = gate.RequestGate(self._replica, lambda: self.is_ready)
        components = {
            "config": self._replica,
            "announce": self._announcer,
            "run": self._runner,
            "gate": self._gate,
            "endpoint": endpoints.EndpointRegistry(self._gate, self._replica, self._reservations),
        }
        super().__init__(ids.ProcessId(document.process), incarnation, components, OPERATOR_PATHS)

    @property
    def is_ready(self) -> bool:
        """Return whether requests and task starts are admitted."""
        return self._runner.ready and self._replica.ready

    @property
    def is_finished(self) -> bool:
        """Return whether a planned stop is complete."""
        return self._stopping and self._runner.drained and self._gate.is_drained(self._now)

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has been requested."""
        return self._stopping

    @property
    def reservations(self) -> capacity.CapacityReservations:
        """Return the capacity reserved for tasks and endpoints on the worker."""
        return self._reservations

    @property
    def replica(self) -> replica.AgentReplica:
        """Return the agent's replica of the configuration."""
        return self._replica

    @property
    def announcer(self) -> announcer.Announcer:
        return self._announcer

    @property
    def runner(self) -> runner.TaskRunner:
        return self._runner

    @property
    def gate(self) -> gate.RequestGate:
        return self._gate

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to perform."""
        self._now = now
        if isinstance(event, events.StopRequested):
            self._stopping = True
        return super().handle(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Check the deadlines of all components and return the effects to perform."""
        self._now = now
        return super().tick(now)
