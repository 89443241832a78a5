"""The configuration that a process holds: records, revision and the latest changes."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import msgspec

from crocusrudder.core import ids
from crocusrudder.records import migrations
from crocusrudder.records import schema
from crocusrudder.wire import messages

LOG_CHANGES = 1_024
LOG_BYTES = 2 * 1024 * 1024
"""Bounds the memory of the log when records are large."""
UPDATE_BYTES = 1024 * 1024
"""A larger update is split; the receiver requests the rest once it has applied the first part."""
MAX_RECORDS = 4_000
MAX_CONFIGURATION_BYTES = 2 * 1024 * 1024
"""Half of the largest message, so that a snapshot always fits into one."""


class StoredRecord(msgspec.Struct, frozen=True):
    """A record in force: ``document`` as submitted, ``newest`` with the newest schema's fields."""

    document: dict[str, Any]
    newest: dict[str, Any]
    revision: ids.Revision
    length: int
    """Length of the document in bytes of JSON."""


def make_stored_record(document: dict[str, Any], revision: ids.Revision) -> StoredRecord:
    """Return the stored form of a document.

    A document that this version of the program cannot read is stored unchanged, so that it is not
    lost and can be sent to other processes.
    """
    try:
        upgraded = migrations.upgrade_document(document)
        # Most records are of the newest version; sharing the document halves their memory.
        newest = document if upgraded == document else upgraded
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        newest = document
    return StoredRecord(document, newest, revision, len(msgspec.json.encode(document)))


def get_change_key(change: messages.ConfigurationChange) -> schema.RecordKey:
    """Return the identity of the record that a change concerns."""
    return schema.RecordKey(change.kind, change.name, change.schema_version)


def is_contiguous(update: messages.ConfigurationUpdate) -> bool:
    """Return whether an update that is not a snapshot holds every revision after its base."""
    expected = range(update.base + 1, update.revision + 1)
    return [change.revision for change in update.changes] == list(expected)


class Configuration:
    """The records at one revision, which never decreases."""

    def __init__(self) -> None:
        self._revision = ids.Revision(0)
        self._records: dict[schema.RecordKey, StoredRecord] = {}
        self._size_bytes = 0
        self._log: collections.deque[tuple[messages.ConfigurationChange, int]] = collections.deque()
        self._log_bytes = 0

    @property
    def revision(self) -> ids.Revision:
        """Return the revision in force in this process."""
        return self._revision

    @property
    def records(self) -> Mapping[schema.RecordKey, StoredRecord]:
        return self._records

    @property
    def size_bytes(self) -> int:
        """Return the total length of all documents in bytes of JSON."""
        return self._size_bytes

    @property
    def log_start(self) -> ids.Revision:
        """Return the lowest revision after which the log contains every change."""
        return ids.Revision(self._log[0][0].revision - 1) if self._log else self._revision

    def apply(self, changes: Iterable[messages.ConfigurationChange]) -> bool:
        """Apply the changes that directly follow the current revision; return whether any did."""
        before = self._revision
        for change in changes:
            if change.revision == self._revision + 1:
                self._apply_one(change)
        return self._revision > before

    def load(self, records: Mapping[schema.RecordKey, StoredRecord], revision: int) -> bool:
        """Adopt a snapshot if its revision is higher; return whether it was adopted."""
        if revision <= self._revision:
            return False
        self._records = dict(records)
        self._size_bytes = sum(stored.length for stored in records.values())
        self._revision = ids.Revision(revision)
        self._log.clear()
        self._log_bytes = 0
        return True

    def make_update(self, base: ids.Revision, verified: bool) -> messages.ConfigurationUpdate:
        """Return the update for a process at revision ``base``: logged changes, or a snapshot."""
        if self.log_start <= base <= self._revision:
            return self._make_changes(base, verified)
        changes = tuple(
            messages.ConfigurationChange(
                stored.revision,
                ids.ChangeId(""),
                key.kind,
                key.name,
                key.schema_version,
                stored.document,
            )
            for key, stored in self._records.items()
        )
        return messages.ConfigurationUpdate(
            ids.Revision(0), self._revision, True, changes, verified
        )

    def _make_changes(self, base: ids.Revision, verified: bool) -> messages.ConfigurationUpdate:
        changes = []
        total = 0
        for change, length in self._log:
            if change.revision <= base:
                continue
            total += length
            if changes and total > UPDATE_BYTES:
                break
            changes.append(change)
        last = changes[-1].revision if changes else base
        return messages.ConfigurationUpdate(base, last, False, tuple(changes), verified)

    def _apply_one(self, change: messages.ConfigurationChange) -> None:
        key = get_change_key(change)
        previous = self._records.pop(key, None)
        self._size_bytes -= previous.length if previous else 0
        length = 0
        if change.record is not None:
            stored = self._records[key] = make_stored_record(change.record, change.revision)
            length = stored.length
            self._size_bytes += length
        self._revision = change.revision
        self._append(change, length)

    def _append(self, change: messages.ConfigurationChange, length: int) -> None:
        self._log.append((change, length))
        self._log_bytes += length
        while len(self._log) > LOG_CHANGES or (len(self._log) > 1 and self._log_bytes > LOG_BYTES):
            _, dropped = self._log.popleft()
            self._log_bytes -= dropped


def read_snapshot(
    update: messages.ConfigurationUpdate,
) -> dict[schema.RecordKey, StoredRecord]:
    return {
        get_change_key(change): make_stored_record(change.record, change.revision)
        for change in update.changes
        if change.record is not None
    }
