"""Read the configuration from the table service."""

import enum

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.records import errors
from crocusrudder.records import rows
from crocusrudder.records import schema
from crocusrudder.records import state

POLL_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 5.0
"""A read without a response is abandoned after this time, and the head is read again."""
MAX_REVISIONS_PER_READ = 64
"""Beyond this number, scanning all records is cheaper than reading each change."""


class Step(enum.Enum):
    """Purpose of the outstanding read."""

    HEAD = "head"
    CHANGES = "changes"
    SCAN = "scan"
    RECHECK_HEAD = "settle"
    """Second read of the head, which shows whether the records changed during the scan."""
    REPLAY = "replay"
    """Read of the changes that were accepted during the scan."""


class _Read(msgspec.Struct):
    operation: ids.OperationId
    step: Step
    started: float
    base: int = 0
    head: int = 0
    records: dict[schema.RecordKey, state.StoredRecord] = {}


class StoreReader:
    """Bring a configuration up to the table's revision."""

    def __init__(
        self, configuration: state.Configuration, operations: components.OperationIds
    ) -> None:
        self._configuration = configuration
        self._operations = operations
        self._read: _Read | None = None
        self._next_poll = 0.0
        self._confirmed: int | None = None
        self._responded_at: float | None = None

    @property
    def confirmed(self) -> int | None:
        """Return the highest revision read since the start, None before the first response."""
        return self._confirmed

    def is_unresponsive(self, now: float, seconds: float) -> bool:
        """Return whether the table has not responded for more than ``seconds``."""
        return self._responded_at is None or now - self._responded_at > seconds

    def request_poll(self, now: float) -> None:
        """Make the next tick read the head, because a higher revision is known to exist."""
        self._next_poll = min(self._next_poll, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Start the next poll when it is due."""
        if self._read and now - self._read.started > READ_TIMEOUT_SECONDS:
            self._read = None
        if self._read or now < self._next_poll:
            return []
        self._next_poll = now + POLL_SECONDS
        return self._read_head(Step.HEAD, now)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle the result of the outstanding read and start the next; ignore late results."""
        read = self._read
        if read is None or event.operation != read.operation:
            return []
        self._read = None
        if not isinstance(event, events.RowsRead):
            return [effects.Count("configuration_reads_failed")]
        self._responded_at = now
        try:
            return self._advance(read, event.rows, now)
        except errors.StoredRecordError as error:
            fields = error.to_dict()
            return [
                effects.Count("configuration_rows_malformed"),
                effects.LogChange("configuration_row_malformed", fields),
            ]

    def _advance(
        self, read: _Read, found: dict[str, effects.Row], now: float
    ) -> list[effects.Effect]:
        if read.step is Step.HEAD:
            return self._handle_head(found, now)
        if read.step is Step.CHANGES:
            return self._handle_changes(read, found, now)
        if read.step is Step.SCAN:
            return self._handle_scan(read, found, now)
        if read.step is Step.RECHECK_HEAD:
            return self._handle_rechecked_head(read, found, now)
        return self._handle_replay(read, found)

    def _handle_head(self, found: dict[str, effects.Row], now: float) -> list[effects.Effect]:
        revision = self._read_revision(found)
        gap = revision - self._configuration.revision
        if gap <= 0:
            return []
        if gap > MAX_REVISIONS_PER_READ:
            return self._scan(revision, now)
        return self._read_changes(Step.CHANGES, self._configuration.revision, revision, now)

    def _handle_changes(
        self, read: _Read, found: dict[str, effects.Row], now: float
    ) -> list[effects.Effect]:
        self._configuration.apply(_sort_changes(found))
        if self._configuration.revision < read.head:
            return self._scan(read.head, now)
        return []

    def _handle_scan(
        self, read: _Read, found: dict[str, effects.Row], now: float
    ) -> list[effects.Effect]:
        records = {rows.read_record_key(key): _read_stored(row) for key, row in found.items()}
        produced = self._read_head(Step.RECHECK_HEAD, now)
        self._read.head = read.head
        self._read.records = records
        return produced

    def _handle_rechecked_head(
        self, read: _Read, found: dict[str, effects.Row], now: float
    ) -> list[effects.Effect]:
        revision = self._read_revision(found)
        if revision == read.head:
            self._configuration.load(read.records, revision)
            return []
        if revision - read.head > MAX_REVISIONS_PER_READ:
            return self._scan(revision, now)
        produced = self._read_changes(Step.REPLAY, read.head, revision, now)
        self._read.records = read.records
        return produced

    def _handle_replay(self, read: _Read, found: dict[str, effects.Row]) -> list[effects.Effect]:
        changes = _sort_changes(found)
        expected = list(range(read.base + 1, read.head + 1))
        if [change.revision for change in changes] != expected:
            return [effects.Count("configuration_rows_missing")]
        for change in changes:
            key = state.get_change_key(change)
            read.records.pop(key, None)
            if change.record is not None:
                read.records[key] = state.make_stored_record(change.record, change.revision)
        self._configuration.load(read.records, read.head)
        return []

    def _read_revision(self, found: dict[str, effects.Row]) -> int:
        head: rows.Head | None = rows.read(found.get(rows.HEAD_KEY), rows.Head)
        revision = head.revision if head else 0
        self._confirmed = max(self._confirmed or 0, revision)
        return revision

    def _start(self, step: Step, now: float, base: int = 0, head: int = 0) -> ids.OperationId:
        operation = self._operations.next()
        self._read = _Read(operation, step, now, base, head)
        return operation

    def _read_head(self, step: Step, now: float) -> list[effects.Effect]:
        return [effects.ReadRows(self._start(step, now), (rows.HEAD_KEY,))]

    def _scan(self, head: int, now: float) -> list[effects.Effect]:
        return [effects.ScanRows(self._start(Step.SCAN, now, head=head), rows.RECORD_PREFIX)]

    def _read_changes(self, step: Step, base: int, head: int, now: float) -> list[effects.Effect]:
        operation = self._start(step, now, base, head)
        keys = tuple(rows.get_revision_key(number) for number in range(base + 1, head + 1))
        return [effects.ReadRows(operation, keys)]


def _sort_changes(found: dict[str, effects.Row]) -> list:
    changes = [rows.read_change(row) for row in found.values()]
    return sorted(changes, key=lambda change: change.revision)


def _read_stored(row: effects.Row) -> state.StoredRecord:
    value: rows.RecordRow = rows.read(row, rows.RecordRow)
    return state.make_stored_record(value.record, value.revision)
