"""Directory of the endpoints and cells of the region, exchanged between entries by digests."""

import functools
import itertools
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.membership import catalogue
from crocusrudder.membership import cells
from crocusrudder.membership import workers
from crocusrudder.wire import messages

DIGEST_SECONDS = 5.0
REMOTE_DIGEST_SECONDS = 30.0
NO_GENERATION = -1
"""Generation of an entry whose endpoints are not known."""
ALIVE_TIMEOUT_SECONDS = 15.0
MAX_BEHIND = 8
"""Maximum number of agents with an old revision that a cell digest lists."""


class Peer(msgspec.Struct, frozen=True):
    """Another entry as listed in the settings."""

    process: ids.ProcessId
    address: str
    data_centre: ids.DataCentre
    same_region: bool = True


class EntryView(msgspec.Struct):
    """State of another entry according to its latest digest."""

    process: ids.ProcessId
    data_centre: ids.DataCentre
    revision: ids.Revision
    sequence: int
    incarnation: ids.Incarnation
    alive_since: float
    heard_at: float
    generation: int
    """Generation of the latest endpoints received from this entry."""
    stopping: bool = False


class _RemoteCell(msgspec.Struct):
    """Latest digest of a cell that another entry owns or holds."""

    digest: messages.CellDigest
    owner: ids.ProcessId
    heard_at: float


class Directory:
    """Exchange digests with the other entries and look up endpoints.

    ``count_pending`` returns the number of pending tasks in a cell that this process owns.
    """

    def __init__(
        self,
        data_centre: ids.DataCentre,
        peers: Iterable[Peer],
        ownership: cells.CellOwnership,
        worker_table: workers.WorkerTable,
        get_revision: Callable[[], ids.Revision],
        count_pending: Callable[[ids.CellId], int] = lambda cell: 0,
    ) -> None:
        self._data_centre = data_centre
        self._peers = {peer.process: peer for peer in peers}
        self._ownership = ownership
        self._workers = worker_table
        self._get_revision = get_revision
        self._count_pending = count_pending
        self._entries: dict[ids.ProcessId, EntryView] = {}
        self._remote: dict[ids.CellId, _RemoteCell] = {}
        self._catalogue = catalogue.EndpointCatalogue()
        self._sent_generation = -1
        self._sent_revisions: list[ids.Revision] = []
        self._sent_at: dict[ids.ProcessId, float] = {}
        self._sequence = itertools.count(1)
        self._stopping = False
        self._now = 0.0

    def find_endpoints(
        self, service: ids.ServiceName, schema_version: int
    ) -> list[messages.EndpointAt]:
        """Return the endpoints of a service that are not draining, in arbitrary order."""
        return self._catalogue.find(service, schema_version)

    def list_entries(self) -> list[EntryView]:
        """Return the other entries that are alive."""
        return [entry for entry in self._entries.values() if self._is_alive(entry, self._now)]

    def count_alive(self, now: float, at_least_seconds: float) -> int:
        """Return how many other entries of this data centre have been alive for that long.

        Entries in a planned stop are not counted.
        """
        return sum(
            entry.data_centre == self._data_centre
            and not entry.stopping
            and self._is_alive(entry, now)
            and now - entry.alive_since >= at_least_seconds
            for entry in self._entries.values()
        )

    def digests(self) -> list[messages.CellDigest]:
        """Return the digests of all known cells, those held by this process first."""
        own = [self._digest_cell(cell) for cell in self._ownership.held(self._now)]
        names = {digest.cell for digest in own}
        return own + [remote.digest for cell, remote in self._remote.items() if cell not in names]

    def get_cell_owner(self, cell: ids.CellId) -> ids.ProcessId | None:
        """Return the entry that last reported a cell; None for unknown or locally held cells."""
        remote = self._remote.get(cell)
        return remote.owner if remote else None

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to execute."""
        self._now = now
        return self._dispatch(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Send the digests that are due and remove cells that are no longer reported."""
        self._now = now
        self._expire_remote_cells(now)
        changed = self._sent_generation != self._workers.generation
        self._sent_generation = self._workers.generation
        self._catalogue_own_cells(changed, now)
        revisions = self._list_revisions(now)
        urgent = changed or revisions != self._sent_revisions
        self._sent_revisions = revisions
        due = [peer for peer in self._peers.values() if urgent or self._is_due(peer, now)]
        return [self._send_digest(peer, changed, now) for peer in due]

    def dump(self) -> dict[str, object]:
        return {
            "entries": {
                name: {"alive": self._is_alive(entry, self._now), "revision": entry.revision}
                for name, entry in self._entries.items()
            },
            "cells": [msgspec.to_builtins(digest) for digest in self.digests()],
            "endpoints": self._catalogue.dump(),
        }

    def _list_revisions(self, now: float) -> list[ids.Revision]:
        """Return the active revision of this process and the lowest one in each held cell.

        A change is sent at once because operators wait for it.
        """
        views_by_cell = map(self._workers.list_workers, self._ownership.held(now))
        return [
            self._get_revision(),
            *(min(view.revision for view in views) for views in views_by_cell if views),
        ]

    def _is_alive(self, entry: EntryView, now: float) -> bool:
        timeout = ALIVE_TIMEOUT_SECONDS
        peer = self._peers.get(entry.process)
        if peer is not None and not peer.same_region:
            timeout += REMOTE_DIGEST_SECONDS
        return now - entry.heard_at <= timeout

    def _is_due(self, peer: Peer, now: float) -> bool:
        interval = DIGEST_SECONDS if peer.same_region else REMOTE_DIGEST_SECONDS
        return now - self._sent_at.get(peer.process, float("-inf")) >= interval

    def _send_digest(self, peer: Peer, full: bool, now: float) -> effects.Effect:
        self._sent_at[peer.process] = now
        held = self._ownership.held(now)
        digest = messages.EntryDigest(
            data_centre=self._data_centre,
            revision=self._get_revision(),
            sequence=next(self._sequence),
            stopping=self._stopping,
            cells=tuple(self._digest_cell(cell) for cell in held),
            full_cells=tuple(held) if full else (),
            endpoints=tuple(itertools.chain.from_iterable(map(self._list_endpoints, held)))
            if full
            else (),
            generation=self._sent_generation,
        )
        return effects.Send(peer.process, digest)

    def _digest_cell(self, cell: ids.CellId) -> messages.CellDigest:
        views = self._workers.list_workers(cell)
        usable = [
            view for view in views if not view.draining and not view.is_unresponsive(self._now)
        ]
        free = [subtract(view.capacity, view.reserved) for view in usable]
        revision = self._get_revision()
        behind = [view.agent for view in views if view.revision < revision]
        return messages.CellDigest(
            cell=cell,
            data_centre=self._data_centre,
            cell_epoch=self._ownership.get_epoch(cell),
            workers=len(views),
            free=functools.reduce(add, free, messages.Resources()),
            largest_free=functools.reduce(_compute_maximum, free, messages.Resources()),
            pending_tasks=self._count_pending(cell),
            lowest_revision=min((view.revision for view in views), default=revision),
            behind=tuple(behind[:MAX_BEHIND]),
            shapes=self._workers.list_shapes(cell, self._now),
        )

    def _list_endpoints(self, cell: ids.CellId) -> Iterable[messages.EndpointAt]:
        for view in self._workers.list_workers(cell):
            yield from self._describe_endpoints(view)

    def _describe_endpoints(self, view: workers.WorkerView) -> Iterable[messages.EndpointAt]:
        for status in view.endpoints:
            draining = status.draining or view.draining
            yield messages.EndpointAt(
                status=msgspec.structs.replace(status, draining=draining),
                agent=view.agent,
                incarnation=view.incarnation,
                address=view.address,
                data_centre=self._data_centre,
                cell=view.cell,
            )

    def _catalogue_own_cells(self, changed: bool, now: float) -> None:
        for cell, epoch in self._ownership.held(now).items():
            if changed:
                listed = catalogue.group_by_agent(self._list_endpoints(cell))
                self._catalogue.update_cell(cell, epoch, listed, now)
            else:
                self._catalogue.refresh_cell(cell, epoch, now)
        self._catalogue.expire(now)

    def _expire_remote_cells(self, now: float) -> None:
        held = self._ownership.held(now)
        expired = [
            name
            for name, cell in self._remote.items()
            if name in held or now - cell.heard_at > catalogue.RETENTION_SECONDS
        ]
        for name in expired:
            del self._remote[name]

    @functools.singledispatchmethod
    def _dispatch(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_dispatch.register
    def _on_stop(self, event: events.StopRequested, now: float) -> list[effects.Effect]:
        self._stopping = True
        return [self._send_digest(peer, True, now) for peer in self._peers.values()]

    @_dispatch.register
    def _on_received(self, event: events.Received, now: float) -> list[effects.Effect]:
        if isinstance(event.message, messages.Hello):
            return self._record_unowned_agent(event, event.message, now)
        if isinstance(event.message, messages.EndpointsRequest):
            return self._reply_to_endpoints_request(event, now)
        if not isinstance(event.message, messages.EntryDigest):
            return []
        digest = event.message
        known = self._entries.get(event.sender)
        is_new = known is None or known.incarnation != event.incarnation
        if not self._record_entry(event, digest, now):
            return [effects.Count("digests_out_of_order")]
        for summary in digest.cells:
            self._record_cell(event.sender, summary, digest, now)
        produced: list[effects.Effect] = [
            effects.UpdateAddress(found.agent, found.address) for found in digest.endpoints
        ]
        if self._lacks_endpoints(event.sender, digest):
            produced.append(effects.Send(event.sender, messages.EndpointsRequest()))
        peer = self._peers.get(event.sender)
        if is_new and peer is not None:
            # A new entry knows no endpoints until the owners of all cells have reported.
            produced.append(self._send_digest(peer, True, now))
        return produced

    def _lacks_endpoints(self, sender: ids.ProcessId, digest: messages.EntryDigest) -> bool:
        return bool(digest.cells) and self._entries[sender].generation != digest.generation

    def _reply_to_endpoints_request(
        self, event: events.Received, now: float
    ) -> list[effects.Effect]:
        peer = self._peers.get(event.sender)
        return [] if peer is None else [self._send_digest(peer, True, now)]

    def _record_unowned_agent(
        self, event: events.Received, message: messages.Hello, now: float
    ) -> list[effects.Effect]:
        """Record the endpoints of an agent without an owner, as during a store outage."""
        endpoints = tuple(
            messages.EndpointAt(
                status=status,
                agent=event.sender,
                incarnation=event.incarnation,
                address=event.address,
                data_centre=self._ownership.get_data_centre(message.cell),
                cell=message.cell,
            )
            for status in message.endpoints
        )
        self._catalogue.update_agent(event.sender, message.cell, endpoints, now)
        return [effects.UpdateAddress(event.sender, event.address)]

    def _record_entry(
        self, event: events.Received, digest: messages.EntryDigest, now: float
    ) -> bool:
        known = self._entries.get(event.sender)
        same = known is not None and known.incarnation == event.incarnation
        if same and digest.sequence <= known.sequence:
            return False
        alive = same and self._is_alive(known, now)
        # The sender's endpoints may have expired here while it was unresponsive.
        generation = known.generation if alive else NO_GENERATION
        if digest.full_cells:
            generation = digest.generation
        self._entries[event.sender] = EntryView(
            process=event.sender,
            data_centre=digest.data_centre,
            revision=digest.revision,
            sequence=digest.sequence,
            incarnation=event.incarnation,
            alive_since=known.alive_since if alive else now,
            heard_at=now,
            generation=generation,
            stopping=digest.stopping,
        )
        return True

    def _record_cell(
        self,
        sender: ids.ProcessId,
        summary: messages.CellDigest,
        digest: messages.EntryDigest,
        now: float,
    ) -> None:
        known = self._remote.get(summary.cell)
        if known is not None and known.digest.cell_epoch > summary.cell_epoch:
            return
        if summary.cell in digest.full_cells:
            listed = (found for found in digest.endpoints if found.cell == summary.cell)
            reported = catalogue.group_by_agent(listed)
            self._catalogue.update_cell(summary.cell, summary.cell_epoch, reported, now)
        else:
            self._catalogue.refresh_cell(summary.cell, summary.cell_epoch, now)
        self._remote[summary.cell] = _RemoteCell(summary, sender, now)


def add(first: messages.Resources, second: messages.Resources) -> messages.Resources:
    return messages.Resources(
        first.millicores + second.millicores,
        first.memory_mb + second.memory_mb,
        first.accelerators + second.accelerators,
    )


def subtract(first: messages.Resources, second: messages.Resources) -> messages.Resources:
    """Return the difference of two amounts, with each resource at least 0."""
    return messages.Resources(
        max(0, first.millicores - second.millicores),
        max(0, first.memory_mb - second.memory_mb),
        max(0, first.accelerators - second.accelerators),
    )


def _compute_maximum(first: messages.Resources, second: messages.Resources) -> messages.Resources:
    return messages.Resources(
        max(first.millicores, second.millicores),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
    )
