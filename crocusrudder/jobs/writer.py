"""Commit changed chunk rows in batches, and resolve the outcome of each commit."""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.jobs import cell_state
from crocusrudder.jobs import model

ROWS_PER_TRANSACTION = 16

STORE_RETRY_SECONDS = 0.5
"""Delay before the next request after the store was unavailable."""

Change = tuple[cell_state.TrackedChunk, model.ChunkRow | None]
"""A chunk and its new row; None deletes the row."""


class ChangeObserver(Protocol):
    """Receiver of the outcome of each change."""

    def record_commit(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        old: model.ChunkRow,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a commit by which ``chunk.row`` replaced ``old`` in the table."""
        ...

    def record_commit_failure(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        proposed: model.ChunkRow | None,
    ) -> None:
        """Handle a change that certainly had no effect."""
        ...


class _Batch:
    """Changes that are committed in one transaction."""

    def __init__(self, cell: cell_state.OwnedCell, changes: Sequence[Change]) -> None:
        self.cell = cell
        self.changes = tuple(changes)
        self.is_outcome_unknown = False
        """Whether an answer was lost, so that an earlier commit may still take effect."""
        self.check: effects.RowCheck | None = None

    @property
    def keys(self) -> tuple[str, ...]:
        return tuple(chunk.key for chunk, _ in self.changes)


class ChunkWriter:
    """Commit changes of chunk rows, with a check of the epoch of their cell.

    A chunk has at most one commit in flight. After a lost answer the rows are read; if the commit
    has not taken effect, the same rows are committed again, because it may still do so.
    """

    def __init__(
        self,
        operations: components.OperationIds,
        ownership: Any,
        incarnation: ids.Incarnation,
        observer: ChangeObserver,
    ) -> None:
        self._operations = operations
        self._ownership = ownership
        self._incarnation = incarnation
        self._observer = observer
        self._sequence = 0
        self._waiting: dict[ids.OperationId, _Batch] = {}
        self._unresolved: list[tuple[float, _Batch]] = []

    @property
    def count(self) -> int:
        """Return the number of batches whose outcome is not known yet."""
        return len(self._waiting) + len(self._unresolved)

    def expects(self, operation: ids.OperationId) -> bool:
        """Return whether this writer waits for the answer to an operation."""
        return operation in self._waiting

    def write(self, cell: cell_state.OwnedCell, changes: Sequence[Change]) -> list[effects.Effect]:
        """Commit changes; none of the chunks may have a commit in flight."""
        produced: list[effects.Effect] = []
        for start in range(0, len(changes), ROWS_PER_TRANSACTION):
            part = changes[start : start + ROWS_PER_TRANSACTION]
            batch = _Batch(cell, [(chunk, self._stamp(row)) for chunk, row in part])
            for chunk, row in batch.changes:
                chunk.is_in_flight = True
                chunk.proposed = row
            produced += self._commit(batch)
        return produced

    def drop_cell(self, cell: cell_state.OwnedCell) -> None:
        """Ignore the answers to all commits and reads of a cell."""
        waiting = self._waiting.items()
        self._waiting = {key: batch for key, batch in waiting if batch.cell is not cell}
        self._unresolved = [found for found in self._unresolved if found[1].cell is not cell]

    def tick(self, now: float) -> list[effects.Effect]:
        """Read the rows of commits whose outcome is unknown, where a read is due."""
        due = [batch for at, batch in self._unresolved if at <= now]
        self._unresolved = [found for found in self._unresolved if found[0] > now]
        return [self._read(batch) for batch in due]

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle the answer to a commit or to a read that resolves one."""
        batch = self._waiting.pop(event.operation)
        match event:
            case events.Committed():
                return self._apply(batch, event.versions, now)
            case events.CommitConflicted():
                return self._resolve(batch, event.rows, True, now)
            case events.RowsRead():
                return self._resolve(batch, event.rows, False, now)
            case events.CommitUnknown():
                batch.is_outcome_unknown = True
                return [effects.Count("chunk_commits_unknown"), self._read(batch)]
        return self._postpone(batch, now)

    def _stamp(self, row: model.ChunkRow | None) -> model.ChunkRow | None:
        if row is None:
            return None
        self._sequence += 1
        return msgspec.structs.replace(row, write=model.WriteId(self._incarnation, self._sequence))

    def _commit(self, batch: _Batch) -> list[effects.Effect]:
        batch.check = self._ownership.make_epoch_check(batch.cell.cell)
        writes = tuple(
            effects.RowWrite(chunk.key, model.dump_row(row) if row else None, chunk.version)
            for chunk, row in batch.changes
        )
        operation = self._register(batch)
        rows = effects.Count("chunk_rows_written", len(writes))
        return [effects.Commit(operation, writes, (batch.check,)), rows]

    def _read(self, batch: _Batch) -> effects.Effect:
        return effects.ReadRows(self._register(batch), batch.keys)

    def _register(self, batch: _Batch) -> ids.OperationId:
        operation = self._operations.next()
        self._waiting[operation] = batch
        return operation

    def _postpone(self, batch: _Batch, now: float) -> list[effects.Effect]:
        """Undo a commit that had no effect; read later after one that may have taken effect."""
        batch.cell.next_commit_at = now + STORE_RETRY_SECONDS
        if batch.is_outcome_unknown:
            self._unresolved.append((now + STORE_RETRY_SECONDS, batch))
        else:
            for chunk, row in batch.changes:
                self._undo(batch.cell, chunk, row)
        return [effects.Count("chunk_commits_unavailable")]

    def _apply(self, batch: _Batch, versions: dict[str, int], now: float) -> list[effects.Effect]:
        produced: list[effects.Effect] = []
        for chunk, row in batch.changes:
            produced += self._record_committed(
                batch.cell, chunk, row, versions.get(chunk.key, 0), now
            )
        return produced

    def _resolve(
        self, batch: _Batch, rows: dict[str, effects.Row | None], conflict: bool, now: float
    ) -> list[effects.Effect]:
        """Compare the current rows with the changes, and commit the undecided ones again."""
        produced: list[effects.Effect] = []
        if conflict:
            produced.append(effects.Count("chunk_commits_conflicted"))
            produced += self._check_fence(batch, rows)
        undecided: list[Change] = []
        for chunk, row in batch.changes:
            current = rows.get(chunk.key)
            if _has_taken_effect(row, current):
                version = current.version if current else 0
                produced += self._record_committed(batch.cell, chunk, row, version, now)
            elif current is None or current.version != chunk.version:
                self._reload(batch.cell, chunk, row, current)
            else:
                undecided.append((chunk, row))
        if conflict and len(batch.changes) == len(undecided) == 1:
            # The row has the expected version, so the check of the epoch must have failed.
            batch.cell.is_fenced = True
        if batch.cell.is_fenced:
            return produced
        return produced + self._repeat(batch, undecided, conflict)

    def _check_fence(
        self, batch: _Batch, rows: dict[str, effects.Row | None]
    ) -> list[effects.Effect]:
        check = batch.check
        if check.key not in rows:
            return []
        current = rows[check.key]
        if current is not None and current.version == check.expected_version:
            return []
        batch.cell.is_fenced = True
        return [effects.LogChange("cell_fenced", {"cell": batch.cell.cell})]

    def _repeat(
        self, batch: _Batch, undecided: list[Change], conflict: bool
    ) -> list[effects.Effect]:
        """Commit undecided changes again; after a conflict each in its own transaction.

        One conflicting row then does not block the others.
        """
        size = 1 if conflict else ROWS_PER_TRANSACTION
        produced: list[effects.Effect] = []
        for start in range(0, len(undecided), size):
            part = _Batch(batch.cell, undecided[start : start + size])
            part.is_outcome_unknown = batch.is_outcome_unknown
            produced += self._commit(part)
        return produced

    def _record_committed(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        row: model.ChunkRow | None,
        version: int,
        now: float,
    ) -> list[effects.Effect]:
        chunk.is_in_flight = False
        chunk.proposed = None
        if row is None:
            cell.drop(chunk)
            return []
        old = chunk.row
        chunk.set_row(row, version)
        return self._observer.record_commit(cell, chunk, old, now)

    def _reload(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        row: model.ChunkRow | None,
        current: effects.Row | None,
    ) -> None:
        self._undo(cell, chunk, row)
        if current is None:
            cell.drop(chunk)
        else:
            chunk.set_row(model.load_chunk(current), current.version)

    def _undo(
        self, cell: cell_state.OwnedCell, chunk: cell_state.TrackedChunk, row: model.ChunkRow | None
    ) -> None:
        chunk.is_in_flight = False
        chunk.proposed = None
        chunk.is_due = True
        self._observer.record_commit_failure(cell, chunk, row)


def _has_taken_effect(row: model.ChunkRow | None, current: effects.Row | None) -> bool:
    if row is None or current is None:
        return row is None and current is None
    return model.load_chunk(current).write == row.write
