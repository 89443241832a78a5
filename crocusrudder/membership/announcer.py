"""Register a worker with the owner of its cell and track the lease that the owner grants."""

import functools
import itertools
from collections.abc import Iterable
from typing import Protocol

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.wire import messages

HEARTBEAT_SECONDS = 5.0
HELLO_SECONDS = 1.0
ACKNOWLEDGED_HELLO_SECONDS = 5.0
"""Interval while an owner acknowledges heartbeats without granting leases.

This happens during an outage of the store.
"""
MIN_SPACING_SECONDS = 0.2
"""Minimum interval between heartbeats that report changes."""
OWNER_TIMEOUT_SECONDS = 8.0
"""Time without a lease grant or ``Welcome`` after which the agent searches for the owner."""
FULL_HEARTBEAT_SECONDS = 60.0
MAX_SENT_TIMES = 256


class HeartbeatSource(Protocol):
    """State of the agent that heartbeats report; implemented by the agent's core."""

    def get_revision(self) -> ids.Revision:
        """Return the active configuration revision."""
        ...

    def is_ready(self) -> bool:
        """Return whether the agent knows which runs exist on the worker."""
        ...

    def is_draining(self) -> bool:
        """Return whether the worker refuses new work."""
        ...

    def get_capacity(self) -> messages.Resources: ...

    def get_reserved(self) -> messages.Resources:
        """Return the total reservations of the tasks and endpoints on the worker."""
        ...

    def list_endpoints(self) -> tuple[messages.EndpointStatus, ...]: ...

    def list_runs(self) -> tuple[messages.TaskStatus, ...]: ...

    def drain_changed_runs(self) -> tuple[messages.TaskStatus, ...]:
        """Return and clear the runs that changed since the last call."""
        ...

    def list_latencies(self) -> tuple[tuple[ids.ServiceName, float], ...]:
        """Return the latest p99 latency, in milliseconds, of each service on the worker."""
        ...


class Announcer:
    """Send ``Hello`` and ``Heartbeat`` and convert acknowledgements to lease deadlines."""

    def __init__(
        self,
        worker: ids.WorkerId,
        cell: ids.CellId,
        entries: Iterable[ids.ProcessId],
        source: HeartbeatSource,
    ) -> None:
        self._worker = worker
        self._cell = cell
        self._entries = itertools.cycle(tuple(entries))
        self._source = source
        self._owner: ids.ProcessId | None = None
        self._cell_epoch = ids.CellEpoch(0)
        self._sequence = 0
        self._sent_times: dict[int, float] = {}
        self._last_sent = float("-inf")
        self._last_hello = float("-inf")
        self._last_ack = float("-inf")
        self._last_lease = float("-inf")
        self._welcomed_at = float("-inf")
        self._full_acked_at = float("-inf")
        self._full_sequence = 0
        self._is_full_due = True
        self._changed: dict[tuple[ids.TaskId, ids.TaskEpoch], tuple[int, messages.TaskStatus]] = {}
        self._acknowledged_endpoints: tuple[messages.EndpointStatus, ...] | None = None
        self._sent_endpoints: dict[int, tuple[messages.EndpointStatus, ...]] = {}
        self._reported_state: tuple[object, ...] = ()

    @property
    def owner(self) -> ids.ProcessId | None:
        """Return the last known owner of the cell, or None before the first ``Welcome``."""
        return self._owner

    @property
    def cell_epoch(self) -> ids.CellEpoch:
        """Return the cell epoch of the last accepted ``Welcome``; 0 before the first."""
        return self._cell_epoch

    @property
    def cell(self) -> ids.CellId:
        return self._cell

    def accepts(self, sender: ids.ProcessId, cell_epoch: ids.CellEpoch) -> bool:
        """Return whether a command from this sender under this epoch may be executed."""
        return sender == self._owner and cell_epoch == self._cell_epoch

    def lease_deadline(self, heartbeat: int, lease_seconds: float) -> float | None:
        """Return the deadline of a lease grant that refers to this heartbeat.

        The lease counts from the send time of the heartbeat. Return None if the heartbeat is too
        old or the lease is 0 seconds, which an owner sends while its own lease has expired.
        """
        sent = self._sent_times.get(heartbeat)
        if sent is None or lease_seconds <= 0:
            return None
        return sent + lease_seconds

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to execute."""
        if isinstance(event, events.Received):
            return self._receive(event.message, event, now)
        return []

    def tick(self, now: float) -> list[effects.Effect]:
        """Send the ``Hello`` and the heartbeat if they are due."""
        for status in self._source.drain_changed_runs():
            self._changed[(status.task, status.epoch)] = (self._sequence + 1, status)
        produced: list[effects.Effect] = []
        if self._is_seeking_owner(now):
            produced += self._send_hello(now)
        if self._owner is not None and self._is_heartbeat_due(now):
            produced += self._send_heartbeat(now)
        return produced

    def dump(self) -> dict[str, object]:
        return {
            "cell": self._cell,
            "owner": self._owner,
            "cell_epoch": self._cell_epoch,
            "sequence": self._sequence,
            "last_acknowledged_at": self._last_ack,
        }

    def _is_seeking_owner(self, now: float) -> bool:
        """Return whether the owner is unknown, unresponsive or not granting leases."""
        granted_at = max(self._last_lease, self._welcomed_at)
        return self._owner is None or now - granted_at > OWNER_TIMEOUT_SECONDS

    def _send_hello(self, now: float) -> list[effects.Effect]:
        acknowledged = now - self._last_ack <= OWNER_TIMEOUT_SECONDS
        interval = ACKNOWLEDGED_HELLO_SECONDS if acknowledged else HELLO_SECONDS
        if now - self._last_hello < interval:
            return []
        self._last_hello = now
        return [effects.Send(next(self._entries), self._make_hello())]

    def _make_hello(self) -> messages.Hello:
        endpoints = self._source.list_endpoints()
        return messages.Hello(self._cell, self._worker, self._cell_epoch, endpoints)

    def _is_heartbeat_due(self, now: float) -> bool:
        if not self._source.is_ready():
            return False
        elapsed = now - self._last_sent
        if elapsed >= HEARTBEAT_SECONDS:
            return True
        if elapsed < MIN_SPACING_SECONDS:
            return False
        return self._is_full_due or self._has_updates()

    def _has_updates(self) -> bool:
        unsent = any(added > self._sequence for added, _ in self._changed.values())
        return unsent or self._reported_state != self._get_current_state()

    def _get_current_state(self) -> tuple[object, ...]:
        return (
            self._source.get_revision(),
            self._source.is_draining(),
            self._source.list_endpoints(),
        )

    def _send_heartbeat(self, now: float) -> list[effects.Effect]:
        full = self._is_full_due or now - self._full_acked_at >= FULL_HEARTBEAT_SECONDS
        self._sequence += 1
        self._last_sent = now
        self._record_sent(now)
        self._reported_state = self._get_current_state()
        endpoints = self._source.list_endpoints()
        has_endpoints = full or endpoints != self._acknowledged_endpoints
        if has_endpoints:
            self._sent_endpoints[self._sequence] = endpoints
        if full:
            self._is_full_due = False
            self._full_sequence = self._sequence
        heartbeat = messages.Heartbeat(
            sequence=self._sequence,
            cell=self._cell,
            worker=self._worker,
            cell_epoch=self._cell_epoch,
            revision=self._source.get_revision(),
            full=full,
            draining=self._source.is_draining(),
            capacity=self._source.get_capacity(),
            reserved=self._source.get_reserved(),
            endpoints=endpoints if has_endpoints else (),
            tasks=self._select_runs(full),
            latencies=self._source.list_latencies(),
            has_endpoints=has_endpoints,
        )
        return [effects.Send(self._owner, heartbeat)]

    def _select_runs(self, full: bool) -> tuple[messages.TaskStatus, ...]:
        if full:
            return self._source.list_runs()
        return tuple(status for _, status in self._changed.values())

    def _record_sent(self, now: float) -> None:
        self._sent_times[self._sequence] = now
        expired = self._sequence - MAX_SENT_TIMES
        self._sent_times.pop(expired, None)
        self._sent_endpoints.pop(expired, None)

    def _set_owner(self, owner: ids.ProcessId, epoch: ids.CellEpoch) -> list[effects.Effect]:
        changed = owner != self._owner or epoch != self._cell_epoch
        self._owner = owner
        self._cell_epoch = epoch
        self._is_full_due = True
        if not changed:
            return []
        # Leases that the former owner has granted stay valid. Clearing the send times makes sure
        # that its later starts and acknowledgements grant none.
        self._sent_times.clear()
        fields = {"owner": owner, "cell_epoch": epoch}
        return [effects.Count("owner_changes"), effects.LogChange("owner_changed", fields)]

    @functools.singledispatchmethod
    def _receive(
        self, message: messages.Message, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return []

    @_receive.register
    def _on_owner_is(
        self, message: messages.OwnerIs, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if message.cell != self._cell:
            return []
        if not message.owner and self.accepts(event.sender, message.cell_epoch):
            self._last_ack = self._last_lease = self._welcomed_at = float("-inf")
        if (
            not message.owner
            or message.cell_epoch < self._cell_epoch
            or message.owner == event.sender
        ):
            return []
        return [
            effects.UpdateAddress(message.owner, message.address),
            effects.Send(message.owner, self._make_hello()),
        ]

    @_receive.register
    def _on_welcome(
        self, message: messages.Welcome, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if message.cell != self._cell or message.cell_epoch < self._cell_epoch:
            return [effects.Count("welcomes_refused")]
        if message.cell_epoch == self._cell_epoch and event.sender != self._owner:
            return [effects.Count("welcomes_refused")]
        self._welcomed_at = now
        return self._set_owner(event.sender, message.cell_epoch)

    @_receive.register
    def _on_ack(
        self, message: messages.HeartbeatAck, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if not self.accepts(event.sender, message.cell_epoch):
            return [effects.Count("acknowledgements_refused")]
        self._last_ack = now
        if message.lease_seconds > 0:
            self._last_lease = now
        sequence = message.sequence
        if self._full_sequence and sequence >= self._full_sequence:
            self._full_acked_at = self._sent_times.get(self._full_sequence, now)
        if sequence in self._sent_endpoints:
            self._acknowledged_endpoints = self._sent_endpoints[sequence]
        self._changed = {
            run: (added, status)
            for run, (added, status) in self._changed.items()
            if added > sequence
        }
        return []
