"""Accept or refuse operators' changes to the placement records.

Each change reads the rows it depends on, checks them, and commits on condition that
``config/head`` has not changed. If the result of a commit is lost, the rows are read again; the
row of the change id shows whether the change took effect. Every commit requires that this row does
not exist, so a change takes effect at most once.
"""

import functools
import random
from typing import Any

import msgspec

from crocusrudder.core import checks as core_checks
from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.records import calls
from crocusrudder.records import errors
from crocusrudder.records import replica as replicas
from crocusrudder.records import transactions

PREFIX = "change"
CALL_TIMEOUT_SECONDS = 8.0
"""Shorter than the 12 s that the operators' commands wait for a response."""
RETRY_DELAY_SECONDS = 0.25
MAX_CALLS = 256


class _PendingCall(msgspec.Struct):
    """A call in progress. ``is_in_doubt`` once the result of a commit was lost."""

    request_id: ids.OperationId
    call: calls.ChangeCall | calls.LookUpCall
    deadline: float
    operation: ids.OperationId | None = None
    """The outstanding operation of the table."""
    retry_at: float | None = None
    transaction: transactions.Transaction | None = None
    is_in_doubt: bool = False
    is_answered: bool = False
    """Whether the operator has been answered while a commit is still outstanding."""


class ChangeCoordinator:
    """Serve operators' calls about records and changes.

    ``entry_incarnation`` is recorded with each change, to distinguish the changes of this process
    from those of an earlier incarnation of the entry.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        randomness: random.Random,
        entry_incarnation: ids.Incarnation,
    ) -> None:
        self._replica = replica
        self._random = randomness
        self._incarnation = entry_incarnation
        self._operations = components.OperationIds(PREFIX)
        self._pending_calls: list[_PendingCall] = []

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle an operator's call or the result of a table operation."""
        return self._handle(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Retry calls whose table operation failed, and answer calls that have timed out."""
        produced = []
        for pending in list(self._pending_calls):
            if not pending.is_answered and now >= pending.deadline:
                produced += self._abandon(pending)
            elif pending.retry_at is not None and now >= pending.retry_at:
                produced += self._read(pending)
        return produced

    def dump(self) -> dict[str, object]:
        """Return the calls in progress for the state dump."""
        return {
            "calls": [
                {
                    "change": pending.call.change,
                    "in_doubt": pending.is_in_doubt,
                    "answered": pending.is_answered,
                    "waiting_for": pending.operation or "",
                }
                for pending in self._pending_calls
            ]
        }

    @functools.singledispatchmethod
    def _handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_handle.register
    def _(self, event: events.OperatorAsked, now: float) -> list[effects.Effect]:
        try:
            call = calls.parse(event)
            return self._start(call, event.operation, now)
        except (errors.RecordError, core_checks.CheckFailedError) as error:
            body = calls.describe_error(error, calls.State.NOT_ACCEPTED, _find_change_id(event))
            return [_respond_with_error(event.operation, error, body)]

    @_handle.register
    def _(self, event: events.RowsRead, now: float) -> list[effects.Effect]:
        pending = self._complete_operation(event.operation)
        if pending is None or pending.is_answered:
            return self._discard(pending)
        try:
            return self._evaluate(pending, event.rows, now)
        except errors.StoredRecordError as error:
            return self._report_unreadable_rows(pending, error)
        except errors.RecordError as error:
            return self._refuse(pending, error)

    @_handle.register
    def _(self, event: events.Committed, now: float) -> list[effects.Effect]:
        pending = self._complete_operation(event.operation)
        if pending is None:
            return []
        revision = pending.transaction.revision
        if pending.is_answered:
            return self._notify_replica(pending, revision, now) + self._discard(pending)
        if revision is None:
            return self._refuse(pending, _make_withdrawn_error(pending.call.change))
        return self._accept(pending, revision, now)

    @_handle.register
    def _(self, event: events.CommitConflicted, now: float) -> list[effects.Effect]:
        pending = self._complete_operation(event.operation)
        if pending is None or pending.is_answered:
            return self._discard(pending)
        return [effects.Count("change_conflicts"), *self._retry(pending, now)]

    @_handle.register
    def _(self, event: events.CommitUnknown, now: float) -> list[effects.Effect]:
        pending = self._complete_operation(event.operation)
        if pending is None or pending.is_answered:
            return self._discard(pending)
        if pending.transaction is None:
            return self._retry(pending, now)
        pending.is_in_doubt = True
        return [effects.Count("change_commits_in_doubt"), *self._read(pending)]

    @_handle.register
    def _(self, event: events.StoreUnavailable, now: float) -> list[effects.Effect]:
        pending = self._complete_operation(event.operation)
        if pending is None or pending.is_answered:
            return self._discard(pending)
        return self._retry(pending, now)

    def _start(
        self, call: calls.Call, request_id: ids.OperationId, now: float
    ) -> list[effects.Effect]:
        if isinstance(call, calls.ListCall):
            return [effects.AnswerOperator(request_id, 200, self._list(call))]
        if isinstance(call, calls.StatusCall):
            return [effects.AnswerOperator(request_id, 200, self._describe_status(now))]
        if len(self._pending_calls) >= MAX_CALLS:
            raise errors.TooManyChangesError(
                f"the entry already has {MAX_CALLS} calls in progress", "try again"
            )
        pending = _PendingCall(request_id, call, now + CALL_TIMEOUT_SECONDS)
        self._pending_calls.append(pending)
        return self._read(pending)

    def _list(self, call: calls.ListCall) -> dict[str, Any]:
        if not self._replica.ready:
            raise errors.NotReadyError(
                "the configuration has not been loaded yet", "try another entry"
            )
        records = self._replica.configuration.records
        return {
            "revision": self._replica.revision,
            "verified": self._replica.verified,
            "records": [
                {
                    "kind": key.kind,
                    "name": key.name,
                    "schema_version": key.schema_version,
                    "revision": stored.revision,
                    "record": stored.document,
                }
                for key, stored in sorted(records.items())
                if call.kind in ("", key.kind)
            ],
        }

    def _describe_status(self, now: float) -> dict[str, Any]:
        own = {"verified": self._replica.verified, "ready": self._replica.ready}
        return self._replica.status(now) | own

    def _read(self, pending: _PendingCall) -> list[effects.Effect]:
        pending.retry_at = None
        pending.transaction = None
        pending.operation = self._operations.next()
        return [effects.ReadRows(pending.operation, transactions.list_keys(pending.call))]

    def _evaluate(
        self, pending: _PendingCall, found: dict[str, effects.Row], now: float
    ) -> list[effects.Effect]:
        """Answer the call from the rows, or commit its transaction."""
        call = pending.call
        revision = transactions.find_outcome(call, found)
        if revision is not None:
            return self._accept(pending, revision, now)
        if isinstance(call, calls.LookUpCall):
            transaction = transactions.build_withdrawal(call)
        else:
            if not pending.is_in_doubt:
                # The earlier commit of a call in doubt passed this check. Until the head has
                # changed, that commit may still take effect, so the call is not refused here.
                transactions.check_capacity(self._replica.configuration, call)
            transaction = transactions.build_transaction(call, found, self._incarnation)
        pending.operation = self._operations.next()
        pending.transaction = transaction
        return [effects.Commit(pending.operation, transaction.writes, transaction.checks)]

    def _accept(self, pending: _PendingCall, revision: int, now: float) -> list[effects.Effect]:
        self._pending_calls.remove(pending)
        body = calls.describe_accepted(pending.call.change, revision)
        produced = [effects.AnswerOperator(pending.request_id, 200, body)]
        if isinstance(pending.call, calls.ChangeCall):
            fields = {"key": str(pending.call.key), "action": pending.call.action.value}
            produced += [
                effects.Count("changes_accepted"),
                effects.LogChange("change_accepted", body | fields),
            ]
        return produced + self._notify_replica(pending, revision, now)

    def _notify_replica(
        self, pending: _PendingCall, revision: int | None, now: float
    ) -> list[effects.Effect]:
        """Let the replica adopt and push a change, also if a read showed that it was accepted."""
        if revision is None or not isinstance(pending.call, calls.ChangeCall):
            return []
        change = transactions.make_change(pending.call, revision)
        return self._replica.handle(replicas.ChangeAccepted(change), now)

    def _refuse(self, pending: _PendingCall, error: errors.RecordError) -> list[effects.Effect]:
        self._pending_calls.remove(pending)
        more = {}
        if isinstance(error, errors.ConflictError):
            more = {"record": error.record, "revision": error.revision}
        state = calls.State.NOT_ACCEPTED
        body = calls.describe_error(error, state, pending.call.change, **more)
        if isinstance(pending.call, calls.LookUpCall):
            return [effects.AnswerOperator(pending.request_id, 200, body)]
        return [
            effects.Count("changes_refused"),
            _respond_with_error(pending.request_id, error, body),
        ]

    def _abandon(self, pending: _PendingCall) -> list[effects.Effect]:
        """Answer a call that has timed out with what is certain about it.

        The call stays pending while its commit is outstanding, because the replica must be notified
        if the change takes effect.
        """
        pending.is_answered = True
        is_committing = pending.transaction is not None and pending.operation is not None
        if not is_committing:
            self._pending_calls.remove(pending)
        pending.is_in_doubt = pending.is_in_doubt or is_committing
        error = errors.StoreUnavailableError(
            f"the table service did not complete the call within {CALL_TIMEOUT_SECONDS:g} s",
            "the change has no effect; try again later",
        )
        return self._report_unresolved(pending, error)

    def _report_unreadable_rows(
        self, pending: _PendingCall, error: errors.RecordError
    ) -> list[effects.Effect]:
        """Answer a call whose rows are malformed."""
        self._pending_calls.remove(pending)
        return self._report_unresolved(pending, error)

    def _report_unresolved(
        self, pending: _PendingCall, error: errors.RecordError
    ) -> list[effects.Effect]:
        """Answer "unknown" if the change may have taken effect, otherwise "not accepted"."""
        state = calls.State.NOT_ACCEPTED
        if pending.is_in_doubt or isinstance(pending.call, calls.LookUpCall):
            state = calls.State.UNKNOWN
            hint = f"query the outcome later: crocusrudder change show {pending.call.change}"
            error = errors.OutcomeUnknownError(error.message, hint)
        body = calls.describe_error(error, state, pending.call.change)
        return [
            effects.Count("changes_unsettled"),
            _respond_with_error(pending.request_id, error, body),
        ]

    def _retry(self, pending: _PendingCall, now: float) -> list[effects.Effect]:
        """Read again after a random delay, so that competing changes do not conflict again."""
        pending.transaction = None
        pending.retry_at = now + RETRY_DELAY_SECONDS * (0.2 + self._random.random())
        return []

    def _complete_operation(self, operation: ids.OperationId) -> _PendingCall | None:
        """Clear a table operation and return the call that waited for it, None if there is none."""
        for pending in self._pending_calls:
            if pending.operation == operation:
                pending.operation = None
                return pending
        return None

    def _discard(self, pending: _PendingCall | None) -> list[effects.Effect]:
        if pending is not None and pending in self._pending_calls:
            self._pending_calls.remove(pending)
        return []


def _find_change_id(event: events.OperatorAsked) -> str:
    body = event.body if isinstance(event.body, dict) else {}
    change = body.get("change", event.query.get("change", ""))
    return change if isinstance(change, str) else ""


def _respond_with_error(
    request_id: ids.OperationId, error: Exception, body: dict[str, Any]
) -> effects.Effect:
    return effects.AnswerOperator(request_id, getattr(error, "status", 400), body)


def _make_withdrawn_error(change: ids.ChangeId) -> errors.RecordError:
    hint = "submit it again under a new change id"
    return errors.ChangeWithdrawnError(f"the change {change} has not been accepted", hint)
