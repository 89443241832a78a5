"""Replicas of the configuration in entries and agents.

An entry reads the table and pushes changes to the other entries and to the agents of its cells;
a push is repeated until the receiver reports the revision. A ``ConfigurationRequest`` requests the
missing changes and also reports the sender's revision.
"""

import functools
import random
from collections.abc import Iterable
from typing import Any
from typing import Protocol

from crocusrudder.conf import settings
from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.records import reader
from crocusrudder.records import receivers
from crocusrudder.records import status
from crocusrudder.records import view
from crocusrudder.wire import messages

PREFIX = "config"
REQUEST_INTERVAL_SECONDS = 1.0
MAX_PUSHED_CHANGES = 16
"""Maximum number of changes in the first push of a revision."""
STORE_TIMEOUT_SECONDS = 3.0
"""If the table does not respond for this long, entries request changes from each other."""


class ChangeAccepted(events.Event, frozen=True):
    """A change that this entry committed has taken effect."""

    change: messages.ConfigurationChange


class Ownership(Protocol):
    """The part of ``membership.cells.CellOwnership`` that a replica uses."""

    def owned(self, now: float) -> dict[ids.CellId, ids.CellEpoch]:
        """Return the cells that this entry owns now."""
        ...


class Replica(view.RecordView):
    """The configuration of an entry."""

    def __init__(
        self,
        process: ids.ProcessId,
        data_centre: ids.DataCentre,
        peers: Iterable[settings.Peer],
        cells: Iterable[settings.CellSettings],
        ownership: Ownership,
        randomness: random.Random,
    ) -> None:
        super().__init__()
        self._process = process
        self._data_centre = data_centre
        self._cells = {cell.cell: cell.data_centre for cell in cells}
        self._ownership = ownership
        self._random = randomness
        self._receivers = receivers.Receivers(
            receivers.Receiver(peer.process, peer.data_centre) for peer in peers
        )
        operations = components.OperationIds(PREFIX)
        self._reader = reader.StoreReader(self._configuration, operations)
        self._accepted_revision = 0
        self._accepted_changes: dict[int, messages.ConfigurationChange] = {}
        self._next_request = 0.0
        self._confirmations: set[ids.ProcessId] = set()

    @classmethod
    def from_settings(
        cls, document: settings.EntrySettings, ownership: Ownership, randomness: random.Random
    ) -> "Replica":
        return cls(
            ids.ProcessId(document.process),
            ids.DataCentre(document.data_centre),
            document.peers,
            document.cells,
            ownership,
            randomness,
        )

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle a message, the result of a table operation or an accepted change."""
        before = self.revision
        produced = self._handle(event, now)
        return produced + self._finish(before, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Poll the table, repeat pushes and request missing changes."""
        self._receivers.retain_cells(self._ownership.owned(now))
        produced = self._reader.tick(now)
        produced += self._push(now)
        if now >= self._next_request:
            self._next_request = now + REQUEST_INTERVAL_SECONDS
            produced += [
                self._request_update(process) for process in self._choose_request_targets(now)
            ]
        return produced

    def status(self, now: float) -> dict[str, Any]:
        """Return the revision in force per data centre and the processes that are behind."""
        own = receivers.Receiver(
            self._process, self._data_centre, revision=self.revision, heard_at=now
        )
        return status.build_status(
            own, self._receivers, self._cells, self._ownership.owned(now), now
        )

    def summarise_cell(self, cell: ids.CellId) -> tuple[ids.Revision, tuple[ids.ProcessId, ...]]:
        """Return the lowest revision in an owned cell and which agents are behind, for digests."""
        return status.summarise_cell(cell, self._receivers, self.revision)

    def dump(self) -> dict[str, object]:
        return {
            "revision": self.revision,
            "verified": self._verified,
            "ready": self._ready,
            "records": len(self._configuration.records),
            "bytes": self._configuration.size_bytes,
            "log_start": self._configuration.log_start,
            "store_revision": self._reader.confirmed,
            "accepted_here": self._accepted_revision,
            "reported": {
                receiver.process: receiver.revision
                for receiver in self._receivers.entries + self._receivers.agents
            },
        }

    def _finish(self, before: ids.Revision, now: float) -> list[effects.Effect]:
        """Apply accepted changes, update ``ready`` and ``verified``, and push a new revision."""
        self._apply_accepted()
        confirmed = self._reader.confirmed
        if confirmed is not None and confirmed <= self.revision:
            self._ready = True
            self._verified = True
        produced = self._record_adoption(before)
        if self.revision > before:
            produced += self._push(now)
        return produced

    def _apply_accepted(self) -> None:
        """Apply the changes that this entry accepted once all earlier changes are known.

        The table may have become unavailable before this entry could read those of other entries.
        """
        while self.revision + 1 in self._accepted_changes:
            self._configuration.apply((self._accepted_changes[self.revision + 1],))
        self._accepted_changes = {
            revision: change
            for revision, change in self._accepted_changes.items()
            if revision > self.revision
        }

    def _push(self, now: float) -> list[effects.Effect]:
        if not self._ready:
            return []
        accepted_revision = min(self._accepted_revision, self.revision)
        due = list(self._receivers.iterate_due(self.revision, accepted_revision, now))
        return [self._push_to(receiver, now) for receiver in due]

    def _push_to(self, receiver: receivers.Receiver, now: float) -> effects.Effect:
        base = self._choose_base(receiver)
        receiver.record_push(self.revision, now)
        update = self._configuration.make_update(base, self._verified)
        return effects.Send(receiver.process, update)

    def _choose_base(self, receiver: receivers.Receiver) -> ids.Revision:
        """Return the base revision of a push; a receiver that lacks earlier changes requests them.

        A repeated push contains one change only, to cost little while a receiver is unreachable.
        """
        repeated = receiver.pushed_revision >= self.revision
        lowest = max(self.revision - (1 if repeated else MAX_PUSHED_CHANGES), 0)
        reported = self.revision - 1 if receiver.revision is None else receiver.revision
        return ids.Revision(max(lowest, min(reported, self.revision)))

    def _choose_request_targets(self, now: float) -> list[ids.ProcessId]:
        entries = [entry.process for entry in self._receivers.entries]
        if not self._ready or not self._verified:
            return entries
        if entries and self._reader.is_unresponsive(now, STORE_TIMEOUT_SECONDS):
            return [self._random.choice(entries)]
        return []

    @functools.singledispatchmethod
    def _handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        return self._reader.handle(event, now) if hasattr(event, "operation") else []

    @_handle.register
    def _(self, event: ChangeAccepted, now: float) -> list[effects.Effect]:
        self._accepted_revision = max(self._accepted_revision, event.change.revision)
        self._accepted_changes[event.change.revision] = event.change
        self._reader.request_poll(now)
        return []

    @_handle.register
    def _(self, event: events.Received, now: float) -> list[effects.Effect]:
        return self._receive(event.message, event, now)

    @functools.singledispatchmethod
    def _receive(
        self, message: messages.Message, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return []

    @_receive.register
    def _(
        self, message: messages.ConfigurationUpdate, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if self._receivers.get_entry(event.sender) is None:
            return []
        self._record_report(event, message.revision, now)
        self._adopt(message)
        if view.is_complete(message) and message.revision <= self.revision:
            self._ready = True
            self._record_confirmation(event.sender, message.verified)
        return [] if view.is_confirmation(message) else [self._request_update(event.sender)]

    @_receive.register
    def _(
        self, message: messages.ConfigurationRequest, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if self._receivers.get(event.sender) is not None:
            self._record_report(event, message.revision, now)
        return self._respond(event.sender, message.revision, now)

    @_receive.register
    def _(
        self, message: messages.EntryDigest, event: events.Received, now: float
    ) -> list[effects.Effect]:
        entry = self._receivers.get_entry(event.sender)
        if entry is None:
            return []
        self._record_report(event, message.revision, now)
        entry.cells = message.cells
        return [self._request_update(event.sender)] if message.revision > self.revision else []

    @_receive.register
    def _(
        self, message: messages.Heartbeat, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if message.cell not in self._ownership.owned(now):
            return []
        data_centre = ids.DataCentre(self._cells.get(message.cell, self._data_centre))
        agent = self._receivers.add_agent(event.sender, message.cell, data_centre)
        self._record_report(event, message.revision, now)
        if message.revision > self.revision:
            return self._refresh(now)
        if self._ready and agent.needs_push(self.revision, now):
            return [self._push_to(agent, now)]
        return []

    @_receive.register
    def _(
        self, message: messages.RequestAnswer, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return self._refresh(now) if message.revision > self.revision else []

    def _record_report(self, event: events.Received, revision: ids.Revision, now: float) -> None:
        receiver = self._receivers.get(event.sender)
        if receiver is not None:
            receiver.record_report(event.incarnation, revision, now)

    def _respond(
        self, sender: ids.ProcessId, revision: ids.Revision, now: float
    ) -> list[effects.Effect]:
        if not self._ready:
            return []
        if revision > self.revision:
            return (
                [] if self._receivers.get_entry(sender) is None else [self._request_update(sender)]
            )
        receiver = self._receivers.get(sender)
        if receiver is not None:
            receiver.record_push(self.revision, now)
        update = self._configuration.make_update(revision, self._verified)
        return [effects.Send(sender, update)]

    def _record_confirmation(self, process: ids.ProcessId, verified: bool) -> None:
        """Count a verified entry whose revision this entry has reached.

        Unverified entries do not count, because all of them may have their revision from a single
        entry. This entry itself does not count, because it has no state from before its start.
        """
        if self._verified or not verified:
            return
        self._confirmations.add(process)
        known = len(self._receivers.entries) + 1
        if 2 * len(self._confirmations) > known:
            self._verified = True

    def _refresh(self, now: float) -> list[effects.Effect]:
        """Poll the table and request an update from another entry: a higher revision exists."""
        self._reader.request_poll(now)
        entries = [entry.process for entry in self._receivers.entries]
        return [self._request_update(self._random.choice(entries))] if entries else []


class AgentReplica(view.RecordView):
    """The configuration of an agent, which receives it from the entries."""

    def __init__(self, entries: Iterable[ids.ProcessId], randomness: random.Random) -> None:
        super().__init__()
        self._entries = tuple(entries)
        self._random = randomness
        self._next_request = 0.0
        self._known_revision = 0

    @classmethod
    def from_settings(
        cls, document: settings.AgentSettings, randomness: random.Random
    ) -> "AgentReplica":
        return cls((entry.process for entry in document.entries), randomness)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle an update, or record the higher revision that a forwarded request carries."""
        if not isinstance(event, events.Received):
            return []
        before = self.revision
        produced = self._receive(event.message, event, now)
        return produced + self._record_adoption(before)

    def tick(self, now: float) -> list[effects.Effect]:
        """Request an update from an entry while the configuration is not verified or is behind."""
        behind = not self._ready or not self._verified or self._known_revision > self.revision
        if not behind or now < self._next_request or not self._entries:
            return []
        self._next_request = now + REQUEST_INTERVAL_SECONDS
        return [self._request_update(self._random.choice(self._entries))]

    def dump(self) -> dict[str, object]:
        return {
            "revision": self.revision,
            "verified": self._verified,
            "ready": self._ready,
            "records": len(self._configuration.records),
            "known_revision": self._known_revision,
        }

    @functools.singledispatchmethod
    def _receive(
        self, message: messages.Message, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return []

    @_receive.register
    def _(
        self, message: messages.ConfigurationUpdate, event: events.Received, now: float
    ) -> list[effects.Effect]:
        self._known_revision = max(self._known_revision, message.revision)
        self._adopt(message)
        if view.is_complete(message) and message.revision <= self.revision:
            self._ready = True
            self._verified = self._verified or message.verified
        return [] if view.is_confirmation(message) else [self._request_update(event.sender)]

    @_receive.register
    def _(
        self, message: messages.ForwardRequest, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if message.revision <= self.revision:
            return []
        self._known_revision = max(self._known_revision, message.revision)
        return [self._request_update(event.sender)]
