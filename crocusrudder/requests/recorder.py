"""Writes of outcomes to the ledger, retried until they are stored.

The caller is answered as soon as the response is known; the write follows. Until it is committed,
the response is retained here, within bounds, and served to repeats through this entry.
"""

import collections

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.requests import ledger
from crocusrudder.requests import limits as limits_module


class _Pending(msgspec.Struct, eq=False):
    """An outcome that is not known to be stored."""

    entry: ledger.Entry
    version: int
    operation: ids.OperationId | None = None
    retry_at: float = float("inf")


class OutcomeRecorder:
    """Record outcomes of requests in their ledger rows."""

    def __init__(
        self, operations: components.OperationIds, limits: limits_module.RequestLimits
    ) -> None:
        self._operations = operations
        self._limits = limits
        self._pending: collections.OrderedDict[str, _Pending] = collections.OrderedDict()
        self._by_operation: dict[ids.OperationId, str] = {}
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def bytes(self) -> int:
        """Return the size of the outcomes that are not stored yet."""
        return self._bytes

    def find(self, row_key: str) -> ledger.Entry | None:
        """Return the outcome of a request that is not stored yet, or None."""
        pending = self._pending.get(row_key)
        return None if pending is None else pending.entry

    def owns(self, operation: ids.OperationId) -> bool:
        """Return whether the recorder started an operation."""
        return operation in self._by_operation

    def record(self, row_key: str, entry: ledger.Entry, version: int) -> list[effects.Effect]:
        """Write the outcome over the claim with this row version, retrying until it is stored."""
        self._remove(row_key)
        pending = self._pending[row_key] = _Pending(entry, version)
        self._bytes += _measure(entry)
        return [*self._drop_oldest(), self._commit(row_key, pending)]

    def release(self, row_key: str, entry: ledger.Entry, version: int) -> effects.Effect:
        """Write, without retries, that an attempt never ran.

        If the write is lost, a repeat queries the agent instead.
        """
        write = effects.RowWrite(row_key, ledger.encode(entry), version)
        return effects.Commit(self._operations.next(), (write,))

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle the reply to one of the recorder's operations."""
        row_key = self._by_operation.pop(event.operation)
        pending = self._pending.get(row_key)
        if pending is None or pending.operation != event.operation:
            return []
        pending.operation = None
        if isinstance(event, events.StoreUnavailable | events.CommitUnknown):
            # If the commit took effect, its retry conflicts with it; _check_conflict handles that.
            pending.retry_at = now + self._limits.record_retry_seconds
            return []
        self._remove(row_key)
        if isinstance(event, events.CommitConflicted):
            return self._check_conflict(event.rows.get(row_key), pending.entry)
        return []

    def tick(self, now: float) -> list[effects.Effect]:
        """Retry the writes that are due, up to the limit per tick."""
        due = [key for key, pending in self._pending.items() if pending.retry_at <= now]
        batch = due[: self._limits.record_retries_per_tick]
        return [self._commit(key, self._pending[key]) for key in batch]

    def _check_conflict(self, row: effects.Row | None, entry: ledger.Entry) -> list[effects.Effect]:
        if row is not None:
            stored = ledger.decode(row)
            if stored.state is ledger.RowState.DONE and stored.attempt == entry.attempt:
                return []
        return [effects.Count("request_outcomes_superseded")]

    def _commit(self, row_key: str, pending: _Pending) -> effects.Effect:
        pending.operation = self._operations.next()
        pending.retry_at = float("inf")
        self._by_operation[pending.operation] = row_key
        write = effects.RowWrite(row_key, ledger.encode(pending.entry), pending.version)
        return effects.Commit(pending.operation, (write,))

    def _drop_oldest(self) -> list[effects.Effect]:
        dropped = 0
        while (
            len(self._pending) > self._limits.max_pending_records
            or self._bytes > self._limits.max_pending_bytes
        ) and len(self._pending) > 1:
            # The agent retains the outcome, so a repeat can query it.
            self._remove(next(iter(self._pending)))
            dropped += 1
        return [effects.Count("request_outcomes_dropped", dropped)] if dropped else []

    def _remove(self, row_key: str) -> None:
        pending = self._pending.pop(row_key, None)
        if pending is not None:
            self._bytes -= _measure(pending.entry)


def _measure(entry: ledger.Entry) -> int:
    answer = entry.answer
    if answer is None:
        return 0
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
