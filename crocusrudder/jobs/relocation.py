"""Move the chunks of a cell that has lost its workers to other cells.

Chunk rows bind jobs to cells, so otherwise the jobs of a failed data centre would wait until it
recovers. A chunk moves only if none of its tasks is assigned; the owner has then waited until every
lease of the cell's workers has expired.
"""

import random as random_module
from collections.abc import Iterable
from typing import Any
from typing import Protocol

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.jobs import errors
from crocusrudder.jobs import model
from crocusrudder.jobs import submission
from crocusrudder.wire import messages

PREFIX = "move"
CHECK_SECONDS = 5.0
GRACE_PERIOD_SECONDS = 30.0
"""Time after the expiry of all leases before the chunks of a cell without workers move.

If a rack or data centre restarts within this time, its workers return and can resume from their
checkpoints.
"""
MOVES_PER_CHECK = 4
"""Limits the row writes per cell after the loss of a data centre to about 2.4 a second."""
UNKNOWN_WORKER = ids.WorkerId("")


class Ownership(Protocol):
    """The part of ``CellOwnership`` that the relocator uses."""

    def owned(self, now: float) -> dict[ids.CellId, ids.CellEpoch]:
        """Return the epoch of each cell that this entry owns."""
        ...

    def make_epoch_check(self, cell: ids.CellId) -> effects.RowCheck:
        """Return the check by which a commit fails once another entry owns the cell."""
        ...


class _Move(msgspec.Struct):
    """A move in progress: its job's row is read first, then all three rows are committed."""

    chunk: model.ChunkRow
    version: int
    target: ids.CellId = ids.CellId("")


class ChunkRelocator:
    """Find owned cells without workers and move a few of their chunks per check."""

    def __init__(
        self,
        ownership: Ownership,
        workers: Any,
        directory: Any,
        random: random_module.Random,
        process: ids.ProcessId,
    ) -> None:
        self._ownership = ownership
        self._workers = workers
        self._directory = directory
        self._random = random
        self._process = process
        self._operations = components.OperationIds(PREFIX)
        self._scans: dict[ids.OperationId, ids.CellId] = {}
        self._moves: dict[ids.OperationId, _Move] = {}
        self._checked_at = float("-inf")

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle the answer to a scan, a read or a commit.

        If the answer to a commit is lost, the next scan shows whether the chunk has moved.
        """
        operation = getattr(event, "operation", None)
        cell = self._scans.pop(operation, None)
        if cell is not None and isinstance(event, events.RowsRead):
            return self._choose_chunks(cell, event.rows.values(), now)
        move = self._moves.pop(operation, None)
        if move is None:
            return []
        if isinstance(event, events.RowsRead):
            return self._commit(move, event.rows, now)
        if isinstance(event, events.Committed):
            return self._announce(move)
        return []

    def tick(self, now: float) -> list[effects.Effect]:
        """Scan the chunks of cells that have had no workers for longer than the grace period."""
        if now - self._checked_at < CHECK_SECONDS or self._scans or self._moves:
            return []
        self._checked_at = now
        cells = [cell for cell in self._ownership.owned(now) if self._has_no_workers(cell, now)]
        return [self._scan(cell) for cell in cells]

    def dump(self) -> dict[str, object]:
        return {
            "scans": list(self._scans.values()),
            "moves": [f"{move.chunk.key} to {move.target}" for move in self._moves.values()],
        }

    def _has_no_workers(self, cell: ids.CellId, now: float) -> bool:
        views = self._workers.list_workers(cell)
        if any(not view.is_unresponsive(now) for view in views):
            return False
        workers = [view.worker for view in views]
        waits = (self._workers.lease_expiry(cell, worker) for worker in (*workers, UNKNOWN_WORKER))
        return now > max(waits) + GRACE_PERIOD_SECONDS

    def _scan(self, cell: ids.CellId) -> effects.Effect:
        operation = self._operations.next()
        self._scans[operation] = cell
        return effects.ScanRows(operation, model.make_cell_prefix(cell))

    def _choose_chunks(
        self, cell: ids.CellId, rows: Iterable[effects.Row], now: float
    ) -> list[effects.Effect]:
        if cell not in self._ownership.owned(now):
            return []
        loaded = ((model.load_chunk(row), row.version) for row in rows)
        movable = [_Move(chunk, version) for chunk, version in loaded if _is_movable(chunk)]
        return [self._read_job(move) for move in movable[:MOVES_PER_CHECK]]

    def _read_job(self, move: _Move) -> effects.Effect:
        operation = self._operations.next()
        self._moves[operation] = move
        return effects.ReadRows(operation, (model.make_job_key(move.chunk.job),))

    def _commit(
        self, move: _Move, rows: dict[str, effects.Row], now: float
    ) -> list[effects.Effect]:
        job_row = rows.get(model.make_job_key(move.chunk.job))
        if job_row is None or move.chunk.cell not in self._ownership.owned(now):
            return []
        job = model.load_job(job_row)
        target = self._choose_target(job, move.chunk.cell)
        if target is None or job.state is not model.JobState.ACCEPTED:
            return [effects.Count("chunk_moves_without_target")]
        move.target = target
        operation = self._operations.next()
        self._moves[operation] = move
        check = self._ownership.make_epoch_check(move.chunk.cell)
        return [effects.Commit(operation, _make_writes(move, job, job_row), (check,))]

    def _choose_target(self, job: model.JobRow, source: ids.CellId) -> ids.CellId | None:
        others = [digest for digest in self._directory.digests() if digest.cell != source]
        one_chunk = msgspec.structs.replace(job.specification, tasks=1)
        try:
            return submission.choose_cells(one_chunk, others, self._random)[0]
        except errors.JobError:
            return None

    def _announce(self, move: _Move) -> list[effects.Effect]:
        fields = {"chunk": move.chunk.key, "target": move.target}
        processes = [entry.process for entry in self._directory.list_entries()]
        message = messages.ChunkAssigned(move.target, move.chunk.job)
        return [
            effects.Count("chunks_moved"),
            effects.LogChange("chunk_moved", fields),
            *(effects.Send(process, message) for process in (self._process, *processes)),
        ]


def _is_movable(chunk: model.ChunkRow) -> bool:
    has_assigned = any(task.state is messages.TaskState.ASSIGNED for task in chunk.tasks)
    return not chunk.has_ended and not has_assigned


def _make_writes(
    move: _Move, job: model.JobRow, job_row: effects.Row
) -> tuple[effects.RowWrite, ...]:
    """Return the writes that delete the chunk, insert it in the target cell and update the job."""
    chunk = msgspec.structs.replace(move.chunk, cell=move.target)
    cells = list(job.cells)
    cells[chunk.number] = move.target
    moved_job = msgspec.structs.replace(job, cells=tuple(cells))
    return (
        effects.RowWrite(move.chunk.key, None, move.version),
        effects.RowWrite(chunk.key, model.dump_row(chunk), 0),
        effects.RowWrite(job_row.key, model.dump_row(moved_job), job_row.version),
    )
