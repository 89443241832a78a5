"""Load the chunk rows of owned cells by scans."""

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.jobs import cell_state
from crocusrudder.jobs import model

SCAN_SECONDS = 30.0
"""Interval at which chunk rows are read again, in case a ``ChunkAssigned`` was lost."""

SCAN_RETRY_SECONDS = 1.0


class CellLoader:
    """Scan a cell when its ownership begins and periodically, and single jobs on request."""

    def __init__(self, operations: components.OperationIds) -> None:
        self._operations = operations
        self._scans: dict[ids.OperationId, tuple[cell_state.OwnedCell, bool]] = {}

    def expects(self, operation: ids.OperationId) -> bool:
        """Return whether this loader waits for the answer to an operation."""
        return operation in self._scans

    def scan_if_due(self, cell: cell_state.OwnedCell, now: float) -> list[effects.Effect]:
        """Scan the whole cell if its next scan is due and none is in flight."""
        if cell.is_scanning or now < cell.next_scan_at:
            return []
        cell.is_scanning = True
        return self._scan(cell, model.make_cell_prefix(cell.cell), True)

    def scan_job(self, cell: cell_state.OwnedCell, job: ids.JobId) -> list[effects.Effect]:
        return self._scan(cell, model.make_job_prefix(cell.cell, job), False)

    def drop_cell(self, cell: cell_state.OwnedCell) -> None:
        """Ignore the answers to the scans of a cell that are in flight."""
        scans = self._scans.items()
        self._scans = {key: scan for key, scan in scans if scan[0] is not cell}

    def handle(self, event: events.Event, now: float) -> None:
        """Handle the answer to a scan: add new chunks and replace those with older versions."""
        cell, full = self._scans.pop(event.operation)
        cell.is_scanning = cell.is_scanning and not full
        if not isinstance(event, events.RowsRead):
            cell.next_scan_at = min(cell.next_scan_at, now + SCAN_RETRY_SECONDS)
            if full:
                cell.next_scan_at = now + SCAN_RETRY_SECONDS
            return
        if full:
            cell.is_loaded = True
            cell.next_scan_at = now + SCAN_SECONDS
        for row in event.rows.values():
            _merge(cell, row)

    def _scan(self, cell: cell_state.OwnedCell, prefix: str, full: bool) -> list[effects.Effect]:
        operation = self._operations.next()
        self._scans[operation] = (cell, full)
        return [effects.ScanRows(operation, prefix)]


def _merge(cell: cell_state.OwnedCell, row: effects.Row) -> None:
    chunk = cell.chunks.get(ids.ChunkKey(row.key))
    if chunk is None:
        cell.add(cell_state.TrackedChunk(model.load_chunk(row), row.version))
    elif not chunk.is_in_flight and row.version > chunk.version:
        chunk.set_row(model.load_chunk(row), row.version)
