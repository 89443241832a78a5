"""A transactional table in memory, without input or output.

Tests also use ``Table`` as a fake of the table service.
"""

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events


class TableStats(msgspec.Struct):
    """Operations counted since the start."""

    commits: int = 0
    conflicts: int = 0
    row_writes: int = 0
    reads: int = 0
    scans: int = 0
    rows_read: int = 0


class Table:
    """Versioned rows with atomic commits.

    The version of a key also grows across deletions, so that a re-created row never has the
    version of a deleted one.
    """

    def __init__(self) -> None:
        self._rows: dict[str, effects.Row] = {}
        self._last_versions: dict[str, int] = {}
        self._stats = TableStats()

    @property
    def stats(self) -> TableStats:
        return self._stats

    def perform(
        self, effect: effects.Commit | effects.ReadRows | effects.ScanRows
    ) -> events.Committed | events.CommitConflicted | events.RowsRead:
        """Perform an effect and return the resulting event."""
        if isinstance(effect, effects.Commit):
            return self._commit(effect)
        if isinstance(effect, effects.ReadRows):
            return events.RowsRead(effect.operation, self.read(effect.keys))
        return events.RowsRead(effect.operation, self.scan(effect.prefix))

    def read(self, keys: tuple[str, ...]) -> dict[str, effects.Row]:
        """Return the rows of those ``keys`` that exist."""
        found = {key: self._rows[key] for key in keys if key in self._rows}
        self._stats.reads += 1
        self._stats.rows_read += len(found)
        return found

    def scan(self, prefix: str) -> dict[str, effects.Row]:
        """Return the rows whose key starts with ``prefix``, in key order."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        self._stats.scans += 1
        self._stats.rows_read += len(keys)
        return {key: self._rows[key] for key in keys}

    def get_version(self, key: str) -> int:
        """Return the version of a row, 0 if it is absent."""
        row = self._rows.get(key)
        return row.version if row is not None else 0

    def _commit(self, effect: effects.Commit) -> events.Committed | events.CommitConflicted:
        written = [write.key for write in effect.writes]
        if len(set(written)) != len(written):
            raise ValueError(f"a transaction writes a row twice: {written}")
        if self._has_conflict(effect):
            self._stats.conflicts += 1
            keys = dict.fromkeys(written + [check.key for check in effect.checks])
            rows = {key: self._rows.get(key) for key in keys}
            return events.CommitConflicted(effect.operation, rows)
        self._stats.commits += 1
        self._stats.row_writes += len(written)
        versions = {write.key: self._write(write) for write in effect.writes}
        return events.Committed(effect.operation, versions)

    def _has_conflict(self, effect: effects.Commit) -> bool:
        expected = [
            (item.key, item.expected_version)
            for item in (*effect.writes, *effect.checks)
            if item.expected_version is not None
        ]
        return any(self.get_version(key) != version for key, version in expected)

    def _write(self, write: effects.RowWrite) -> int:
        """Write or delete one row and return its new version, 0 if deleted."""
        if write.value is None:
            self._rows.pop(write.key, None)
            return 0
        version = self._last_versions.get(write.key, 0) + 1
        self._last_versions[write.key] = version
        # Copied because callers may change their value later; the real service stores JSON too.
        value = msgspec.json.decode(msgspec.json.encode(write.value))
        self._rows[write.key] = effects.Row(write.key, value, version)
        return version
