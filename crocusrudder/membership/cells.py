"""Ownership of cells: which entry schedules the workers of a cell.

The owner renews the row ``cell/<id>/lease``. It acts as owner only while its last confirmed
renewal, counted from the time it was sent, is younger than the cell lease. A challenger takes over
a cell by raising the epoch in ``cell/<id>/epoch`` after the lease row has stayed unchanged for
longer than the lease on the challenger's clock. Commits of an owner check the version of the epoch
row.

An owner whose lease has expired, for example during a store outage, still holds the cell: it
accepts heartbeats and reports endpoints, but grants no leases and schedules nothing. To own the
cell again it raises the epoch itself, so that commands sent before the expiry are refused.
"""

import functools
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from crocusrudder.core import clocks
from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.membership import errors
from crocusrudder.membership import tracking
from crocusrudder.wire import messages

Purpose = tracking.Purpose

CELL_LEASE_SECONDS = 6.0
RENEW_SECONDS = 2.0
RETRY_SECONDS = 0.5
CHECK_SECONDS = 1.0
REMOTE_CHECK_SECONDS = 10.0
TAKEOVER_MARGIN_SECONDS = 1.0
REMOTE_TAKEOVER_SECONDS = 20.0
"""Extra delay before a cell of another data centre is claimed, so that local entries go first."""
OWNED_CELL_DELAY_SECONDS = 1.0
"""Delay before a claim per cell already owned, so that cells spread over the entries."""
HANDOVER_SECONDS = 30.0
"""How long another entry must have been alive before a surplus cell is released to it."""


class CellOwnership:
    """Claim, renew, release and watch the cells of the region.

    ``count_alive(now)`` returns how many other entries of this data centre have been alive for at
    least ``HANDOVER_SECONDS``.
    """

    def __init__(
        self,
        process: ids.ProcessId,
        incarnation: ids.Incarnation,
        address: str,
        data_centre: ids.DataCentre,
        cells: Iterable[tracking.CellConfig],
        count_alive: Callable[[float], int] = lambda now: 0,
        lease_seconds: float = CELL_LEASE_SECONDS,
    ) -> None:
        self._process = process
        self._incarnation = incarnation
        self._address = address
        self._data_centre = data_centre
        self._count_alive = count_alive
        self._lease_seconds = lease_seconds
        self._cells = {config.cell: tracking.TrackedCell(config) for config in cells}
        self._operations = components.OperationIds("cell")
        self._pending: dict[ids.OperationId, tuple[Purpose, ids.CellId]] = {}
        self._stopping = False

    @property
    def is_stopping(self) -> bool:
        """Return whether the process is releasing its cells for a planned stop."""
        return self._stopping

    @property
    def has_released_all(self) -> bool:
        """Return whether no cell is owned or being claimed."""
        return all(cell.state is tracking.CellState.WATCHING for cell in self._cells.values())

    def owned(self, now: float) -> dict[ids.CellId, ids.CellEpoch]:
        """Return the cells that this process owns at ``now``, with their epochs."""
        return {
            name: cell.epoch
            for name, cell in self._cells.items()
            if cell.state is tracking.CellState.OWNED
            and now < cell.valid_until
            and not cell.is_releasing
        }

    def held(self, now: float) -> dict[ids.CellId, ids.CellEpoch]:
        """Return the owned cells and those whose lease expired without a known claim by another."""
        return {
            name: cell.epoch
            for name, cell in self._cells.items()
            if cell.is_held and not cell.is_releasing
        }

    def make_epoch_check(self, cell: ids.CellId) -> effects.RowCheck:
        """Return the check that makes a commit fail once another process has claimed the cell.

        Raise ``NotOwnerError`` if this process does not hold the cell.
        """
        known = self._cells[cell]
        if not known.is_held:
            raise errors.NotOwnerError(f"this process does not hold cell {cell}")
        return effects.RowCheck(known.epoch_key, known.epoch_version)

    def get_owner(self, cell: ids.CellId) -> tuple[ids.ProcessId, str] | None:
        """Return the process and address of the owner in the last lease row that was read.

        Return None for an unknown cell, a missing row or a released lease.
        """
        known = self._cells.get(cell)
        if known is None or known.lease is None or known.lease.value["released"]:
            return None
        value = known.lease.value
        return ids.ProcessId(value["owner"]), value["address"]

    def get_data_centre(self, cell: ids.CellId) -> ids.DataCentre:
        """Return the data centre of a cell, or an empty string if it is not in the settings."""
        known = self._cells.get(cell)
        return known.config.data_centre if known else ids.DataCentre("")

    def get_epoch(self, cell: ids.CellId) -> ids.CellEpoch:
        """Return the highest known epoch of the cell; 0 if none."""
        known = self._cells.get(cell)
        if known is None:
            return ids.CellEpoch(0)
        stored = known.lease.value["epoch"] if known.lease else 0
        return ids.CellEpoch(max(stored, known.epoch))

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to execute."""
        return self._dispatch(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Start the renewals, checks and claims that are due."""
        produced: list[effects.Effect] = []
        for cell in self._cells.values():
            if cell.is_busy:
                continue
            if cell.state is tracking.CellState.OWNED:
                produced += self._tick_owned(cell, now)
            elif cell.state is tracking.CellState.RESOLVING_CLAIM:
                produced += self._tick_resolving(cell, now)
            else:
                produced += self._tick_watched(cell, now)
        return produced

    def dump(self) -> dict[str, object]:
        return {
            name: {
                "state": cell.state.value,
                "epoch": self.get_epoch(name),
                "owner": cell.lease.value["owner"] if cell.lease else None,
                "valid_until": cell.valid_until if cell.state is tracking.CellState.OWNED else None,
            }
            for name, cell in self._cells.items()
        }

    def release_surplus(self, now: float) -> list[effects.Effect]:
        """Release one cell if this process owns more than its share of the data centre's cells.

        Cells of other data centres do not count. Otherwise an owner of remote cells would release a
        local cell that no other entry here can claim, and claim it again, indefinitely.
        """
        owned = self._list_owned_here(now)
        here = sum(cell.config.data_centre == self._data_centre for cell in self._cells.values())
        share = -(-here // (1 + self._count_alive(now)))
        if len(owned) <= share:
            return []
        owned[-1].is_releasing = True
        return [effects.Count("cells_released")]

    def _list_owned_here(self, now: float) -> list[tracking.TrackedCell]:
        owned = [self._cells[name] for name in self.owned(now)]
        return [cell for cell in owned if cell.config.data_centre == self._data_centre]

    def _tick_owned(self, cell: tracking.TrackedCell, now: float) -> list[effects.Effect]:
        cell.is_releasing = cell.is_releasing or self._stopping
        expired = now >= cell.valid_until
        if expired and cell.is_releasing:
            # No release is needed after the expiry. A stop must not wait for the store to recover.
            return self._end_ownership(cell)
        due = RETRY_SECONDS if expired else RENEW_SECONDS
        if cell.is_releasing:
            due = RETRY_SECONDS if cell.is_release_sent else 0.0
        if now - cell.sent_at < due:
            return []
        if expired and cell.was_owned and not cell.is_releasing:
            cell.sent_at = now
            return self._read(cell, Purpose.RECLAIM, now)
        cell.is_release_sent = cell.is_releasing
        return self._renew(cell, now)

    def _tick_resolving(self, cell: tracking.TrackedCell, now: float) -> list[effects.Effect]:
        if self._stopping and now >= cell.valid_until:
            return self._end_ownership(cell)
        return self._read(cell, Purpose.RESOLVE, now)

    def _renew(self, cell: tracking.TrackedCell, now: float) -> list[effects.Effect]:
        cell.sent_at = now
        cell.counter += 1
        value = self._make_lease_value(cell, cell.is_releasing)
        write = effects.RowWrite(cell.lease_key, value, cell.lease_version)
        return [self._commit(cell, Purpose.RENEW, (write,))]

    def _tick_watched(self, cell: tracking.TrackedCell, now: float) -> list[effects.Effect]:
        if self._stopping:
            return []
        if cell.is_lease_read and self._may_claim(cell, now):
            return self._read(cell, Purpose.CLAIM, now)
        local = cell.config.data_centre == self._data_centre
        interval = CHECK_SECONDS if local else REMOTE_CHECK_SECONDS
        if now - cell.checked_at < interval:
            return []
        return self._read(cell, Purpose.CHECK, now)

    def _may_claim(self, cell: tracking.TrackedCell, now: float) -> bool:
        if now - cell.sent_at < RETRY_SECONDS:
            return False
        owned = sum(
            other.state is not tracking.CellState.WATCHING for other in self._cells.values()
        )
        delay = OWNED_CELL_DELAY_SECONDS * owned
        if cell.config.data_centre != self._data_centre:
            delay += REMOTE_TAKEOVER_SECONDS
        if cell.lease is not None and not cell.lease.value["released"]:
            delay += clocks.compute_remote_wait(self._lease_seconds) + TAKEOVER_MARGIN_SECONDS
        return now - cell.changed_at >= delay

    def _make_lease_value(self, cell: tracking.TrackedCell, released: bool) -> dict[str, Any]:
        return {
            "owner": self._process,
            "incarnation": self._incarnation,
            "address": self._address,
            "epoch": cell.epoch,
            "counter": cell.counter,
            "released": released,
        }

    def _commit(
        self, cell: tracking.TrackedCell, purpose: Purpose, writes: tuple[effects.RowWrite, ...]
    ) -> effects.Commit:
        cell.is_busy = True
        operation = self._operations.next()
        self._pending[operation] = (purpose, cell.config.cell)
        return effects.Commit(operation, writes)

    def _read(
        self, cell: tracking.TrackedCell, purpose: Purpose, now: float
    ) -> list[effects.Effect]:
        cell.is_busy = True
        cell.checked_at = now
        operation = self._operations.next()
        self._pending[operation] = (purpose, cell.config.cell)
        keys = (cell.lease_key,) if purpose is Purpose.CHECK else (cell.lease_key, cell.epoch_key)
        return [effects.ReadRows(operation, keys)]

    def _finish_operation(
        self, operation: ids.OperationId
    ) -> tuple[Purpose, tracking.TrackedCell] | None:
        purpose, name = self._pending.pop(operation, (None, None))
        if name is None:
            return None
        cell = self._cells[name]
        cell.is_busy = False
        return purpose, cell

    @functools.singledispatchmethod
    def _dispatch(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_dispatch.register
    def _on_stop(self, event: events.StopRequested, now: float) -> list[effects.Effect]:
        self._stopping = True
        return []

    @_dispatch.register
    def _on_received(self, event: events.Received, now: float) -> list[effects.Effect]:
        """Stop holding an expired cell that another entry reports under a higher epoch."""
        if not isinstance(event.message, messages.EntryDigest):
            return []
        produced: list[effects.Effect] = []
        for digest in event.message.cells:
            cell = self._cells.get(digest.cell)
            if cell is None or not cell.is_held or cell.is_busy or now < cell.valid_until:
                continue
            if digest.cell_epoch > cell.epoch:
                produced += self._end_ownership(cell)
        return produced

    @_dispatch.register
    def _on_read(self, event: events.RowsRead, now: float) -> list[effects.Effect]:
        finished = self._finish_operation(event.operation)
        if finished is None:
            return []
        purpose, cell = finished
        cell.observe_lease(event.rows.get(cell.lease_key), now)
        epoch_row = event.rows.get(cell.epoch_key)
        if purpose is Purpose.CLAIM and self._may_claim(cell, now):
            return self._claim(cell, epoch_row, now)
        if purpose is Purpose.RECLAIM:
            return self._reclaim(cell, epoch_row, now)
        if purpose is Purpose.RESOLVE:
            return self._resolve(cell, epoch_row, now)
        return []

    def _claim(
        self, cell: tracking.TrackedCell, epoch_row: effects.Row | None, now: float
    ) -> list[effects.Effect]:
        previous = epoch_row.value["epoch"] if epoch_row else 0
        cell.state = tracking.CellState.CLAIMING
        cell.claimed_epoch = ids.CellEpoch(previous + 1)
        cell.counter = 0
        cell.sent_at = now
        owner = {
            "owner": self._process,
            "incarnation": self._incarnation,
            "epoch": cell.claimed_epoch,
        }
        writes = (
            effects.RowWrite(cell.epoch_key, owner, epoch_row.version if epoch_row else 0),
            effects.RowWrite(
                cell.lease_key,
                self._make_lease_value(cell, False) | {"epoch": cell.claimed_epoch},
                cell.lease_version,
            ),
        )
        return [self._commit(cell, Purpose.CLAIM, writes)]

    def _reclaim(
        self, cell: tracking.TrackedCell, epoch_row: effects.Row | None, now: float
    ) -> list[effects.Effect]:
        """Claim a held cell again after its lease expired, unless another process claimed it."""
        if not self._is_own_claim(epoch_row, cell.epoch) or cell.lease is None:
            return self._end_ownership(cell)
        return self._claim(cell, epoch_row, now)

    def _is_own_claim(self, epoch_row: effects.Row | None, epoch: ids.CellEpoch) -> bool:
        return (
            epoch_row is not None
            and epoch_row.value["incarnation"] == self._incarnation
            and epoch_row.value["epoch"] == epoch
        )

    def _resolve(
        self, cell: tracking.TrackedCell, epoch_row: effects.Row | None, now: float
    ) -> list[effects.Effect]:
        """Determine from the rows whether a claim or renewal of unknown outcome took effect."""
        released = cell.lease is None or cell.lease.value["released"]
        if not released and cell.is_held and self._is_own_claim(epoch_row, cell.epoch):
            # The claim after the expiry has not taken effect.
            cell.state = tracking.CellState.OWNED
            return []
        if released or not self._is_own_claim(epoch_row, cell.claimed_epoch):
            return self._end_ownership(cell)
        cell.apply_claim(epoch_row.version)
        # The time at which the write took effect is unknown, so only the next confirmed renewal
        # extends the validity.
        cell.state = tracking.CellState.OWNED
        return []

    def _confirm_ownership(self, cell: tracking.TrackedCell) -> list[effects.Effect]:
        cell.state = tracking.CellState.OWNED
        cell.was_owned = True
        cell.valid_until = cell.sent_at + self._lease_seconds
        if cell.logged_epoch == cell.epoch:
            return []
        cell.logged_epoch = cell.epoch
        fields = {"cell": cell.config.cell, "epoch": cell.epoch}
        return [effects.Count("cells_claimed"), effects.LogChange("cell_owned", fields)]

    def _end_ownership(self, cell: tracking.TrackedCell) -> list[effects.Effect]:
        was_held = cell.is_held
        cell.stop_holding()
        if not was_held:
            return [effects.Count("cell_claims_lost")]
        fields = {"cell": cell.config.cell, "epoch": cell.epoch}
        return [effects.Count("cells_lost"), effects.LogChange("cell_lost", fields)]

    @_dispatch.register
    def _on_committed(self, event: events.Committed, now: float) -> list[effects.Effect]:
        finished = self._finish_operation(event.operation)
        if finished is None:
            return []
        purpose, cell = finished
        released = purpose is Purpose.RENEW and cell.is_releasing
        value = self._make_lease_value(cell, released)
        version = event.versions[cell.lease_key]
        if purpose is Purpose.CLAIM:
            cell.apply_claim(event.versions[cell.epoch_key])
            value = self._make_lease_value(cell, released)
        cell.observe_lease(effects.Row(cell.lease_key, value, version), now)
        if released:
            return self._end_ownership(cell)
        return self._confirm_ownership(cell)

    @_dispatch.register
    def _on_conflict(self, event: events.CommitConflicted, now: float) -> list[effects.Effect]:
        finished = self._finish_operation(event.operation)
        if finished is None:
            return []
        _, cell = finished
        row = event.rows.get(cell.lease_key)
        cell.observe_lease(row, now)
        if row is not None and row.value["incarnation"] == self._incarnation:
            # An earlier write of this process took effect after its outcome was reported unknown.
            cell.state = tracking.CellState.RESOLVING_CLAIM
            return []
        return self._end_ownership(cell)

    @_dispatch.register
    def _on_unknown(self, event: events.CommitUnknown, now: float) -> list[effects.Effect]:
        finished = self._finish_operation(event.operation)
        if finished is None:
            return []
        _, cell = finished
        if cell.state is tracking.CellState.CLAIMING:
            cell.state = tracking.CellState.RESOLVING_CLAIM
            return []
        return self._read(cell, Purpose.RESOLVE, now)

    @_dispatch.register
    def _on_unavailable(self, event: events.StoreUnavailable, now: float) -> list[effects.Effect]:
        finished = self._finish_operation(event.operation)
        if finished is None:
            return []
        _, cell = finished
        if cell.state is tracking.CellState.CLAIMING:
            cell.state = tracking.CellState.OWNED if cell.is_held else tracking.CellState.WATCHING
        # After a store outage every lease row looks unchanged for too long. Restarting the wait
        # lets the owners renew first.
        cell.changed_at = now
        return []
