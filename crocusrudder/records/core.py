"""Accept or refuse operators' changes to the placement records.

A change is read, checked and committed against ``config/head``. When the answer to a commit is
lost, the rows are read again; the row of the change id tells whether the change took effect.
Because that row must be absent at each commit, a change takes effect at most once.
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
CALL_SECONDS = 8.0
"""Time to settle a call, below the 10 s that the operators' commands wait."""
RETRY_SECONDS = 0.25
MAX_CALLS = 256


class _Pending(msgspec.Struct):
    """A call in progress. ``in_doubt`` once the answer to a commit was lost."""

    asked: ids.OperationId
    call: calls.ChangeCall | calls.LookUpCall
    deadline: float
    operation: ids.OperationId | None = None
    retry_at: float | None = None
    committing: transactions.Transaction | None = None
    in_doubt: bool = False
    answered: bool = False


class ChangeCoordinator:
    """Serve operators' calls about records and changes.

    ``entry_incarnation`` is recorded with each change, so that an entry's changes can be told
    apart from those of its predecessor.
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
        self._pending: list[_Pending] = []

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Take an operator's call or an answer of the table."""
        return self._handle(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Retry what was refused by the table, and answer calls whose time is over."""
        produced = []
        for pending in list(self._pending):
            if not pending.answered and now >= pending.deadline:
                produced += self._give_up(pending)
            elif pending.retry_at is not None and now >= pending.retry_at:
                produced += self._read(pending)
        return produced

    def dump(self) -> dict[str, object]:
        """Return the calls in progress for the state dump."""
        return {
            "calls": [
                {
                    "change": pending.call.change,
                    "in_doubt": pending.in_doubt,
                    "answered": pending.answered,
                    "waiting_for": pending.operation or "",
                }
                for pending in self._pending
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
            body = calls.describe_error(error, calls.State.NOT_ACCEPTED, _find_change(event))
            return [_answer_error(event.operation, error, body)]

    @_handle.register
    def _(self, event: events.RowsRead, now: float) -> list[effects.Effect]:
        pending = self._take(event.operation)
        if pending is None or pending.answered:
            return self._forget(pending)
        try:
            return self._evaluate(pending, event.rows, now)
        except errors.StoredRecordError as error:
            return self._leave_unsettled(pending, error)
        except errors.RecordError as error:
            return self._refuse(pending, error)

    @_handle.register
    def _(self, event: events.Committed, now: float) -> list[effects.Effect]:
        pending = self._take(event.operation)
        if pending is None:
            return []
        revision = pending.committing.revision
        if pending.answered:
            return self._tell_replica(pending, revision, now) + self._forget(pending)
        if revision is None:
            return self._refuse(pending, _make_not_accepted(pending.call.change))
        return self._accept(pending, revision, now)

    @_handle.register
    def _(self, event: events.CommitConflicted, now: float) -> list[effects.Effect]:
        pending = self._take(event.operation)
        if pending is None or pending.answered:
            return self._forget(pending)
        return [effects.Count("change_conflicts"), *self._retry(pending, now)]

    @_handle.register
    def _(self, event: events.CommitUnknown, now: float) -> list[effects.Effect]:
        pending = self._take(event.operation)
        if pending is None or pending.answered:
            return self._forget(pending)
        if pending.committing is None:
            return self._retry(pending, now)
        pending.in_doubt = True
        return [effects.Count("change_commits_in_doubt"), *self._read(pending)]

    @_handle.register
    def _(self, event: events.StoreUnavailable, now: float) -> list[effects.Effect]:
        pending = self._take(event.operation)
        if pending is None or pending.answered:
            return self._forget(pending)
        return self._retry(pending, now)

    def _start(self, call: calls.Call, asked: ids.OperationId, now: float) -> list[effects.Effect]:
        if isinstance(call, calls.ListCall):
            return [effects.AnswerOperator(asked, 200, self._list(call))]
        if isinstance(call, calls.StatusCall):
            return [effects.AnswerOperator(asked, 200, self._describe_status(now))]
        if len(self._pending) >= MAX_CALLS:
            raise errors.TooManyChangesError(f"{MAX_CALLS} calls in progress", "try again")
        pending = _Pending(asked, call, now + CALL_SECONDS)
        self._pending.append(pending)
        return self._read(pending)

    def _list(self, call: calls.ListCall) -> dict[str, Any]:
        if not self._replica.ready:
            raise errors.NotReadyError("the configuration is not known yet", "ask another entry")
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

    def _read(self, pending: _Pending) -> list[effects.Effect]:
        pending.retry_at = None
        pending.committing = None
        pending.operation = self._operations.next()
        return [effects.ReadRows(pending.operation, transactions.list_keys(pending.call))]

    def _evaluate(
        self, pending: _Pending, found: dict[str, effects.Row], now: float
    ) -> list[effects.Effect]:
        """Answer from the rows, or commit what the call asks for."""
        call = pending.call
        revision = transactions.find_outcome(call, found)
        if revision is not None:
            return self._accept(pending, revision, now)
        if isinstance(call, calls.LookUpCall):
            transaction = transactions.withdraw(call)
        else:
            if not pending.in_doubt:
                # A commit in doubt passed this check; only a moved head shows that it is void.
                transactions.check_room(self._replica.configuration, call)
            transaction = transactions.prepare(call, found, self._incarnation)
        pending.operation = self._operations.next()
        pending.committing = transaction
        return [effects.Commit(pending.operation, transaction.writes, transaction.checks)]

    def _accept(self, pending: _Pending, revision: int, now: float) -> list[effects.Effect]:
        self._pending.remove(pending)
        body = calls.describe_accepted(pending.call.change, revision)
        produced = [effects.AnswerOperator(pending.asked, 200, body)]
        if isinstance(pending.call, calls.ChangeCall):
            fields = {"key": str(pending.call.key), "action": pending.call.action.value}
            produced += [
                effects.Count("changes_accepted"),
                effects.LogChange("change_accepted", body | fields),
            ]
        return produced + self._tell_replica(pending, revision, now)

    def _tell_replica(
        self, pending: _Pending, revision: int | None, now: float
    ) -> list[effects.Effect]:
        """Let the replica adopt and push a change, also one that a read has found accepted."""
        if revision is None or not isinstance(pending.call, calls.ChangeCall):
            return []
        change = transactions.make_change(pending.call, revision)
        return self._replica.handle(replicas.ChangeAccepted(change), now)

    def _refuse(self, pending: _Pending, error: errors.RecordError) -> list[effects.Effect]:
        self._pending.remove(pending)
        more = {}
        if isinstance(error, errors.ConflictError):
            more = {"record": error.record, "revision": error.revision}
        state = calls.State.NOT_ACCEPTED
        body = calls.describe_error(error, state, pending.call.change, **more)
        if isinstance(pending.call, calls.LookUpCall):
            return [effects.AnswerOperator(pending.asked, 200, body)]
        return [
            effects.Count("changes_refused"),
            _answer_error(pending.asked, error, body),
        ]

    def _give_up(self, pending: _Pending) -> list[effects.Effect]:
        """Answer a call whose time is over with what is certain about it.

        A commit whose answer is still to come keeps its entry, because the replica must learn of
        the change if it took effect.
        """
        pending.answered = True
        committing = pending.committing is not None and pending.operation is not None
        if not committing:
            self._pending.remove(pending)
        pending.in_doubt = pending.in_doubt or committing
        error = errors.StoreDownError(
            "the table service did not answer in time", "the change has no effect; try again later"
        )
        return self._describe_unsettled(pending, error)

    def _leave_unsettled(
        self, pending: _Pending, error: errors.RecordError
    ) -> list[effects.Effect]:
        """Answer a call whose rows cannot be read."""
        self._pending.remove(pending)
        return self._describe_unsettled(pending, error)

    def _describe_unsettled(
        self, pending: _Pending, error: errors.RecordError
    ) -> list[effects.Effect]:
        """Answer "unknown" if the change may have taken effect, otherwise "not accepted"."""
        state = calls.State.NOT_ACCEPTED
        if pending.in_doubt or isinstance(pending.call, calls.LookUpCall):
            state = calls.State.UNKNOWN
            hint = f"ask later: crocusrudder change show {pending.call.change}"
            error = errors.OutcomeUnknownError(error.message, hint)
        body = calls.describe_error(error, state, pending.call.change)
        return [
            effects.Count("changes_unsettled"),
            _answer_error(pending.asked, error, body),
        ]

    def _retry(self, pending: _Pending, now: float) -> list[effects.Effect]:
        """Read again after a random pause, so that competing changes do not meet again."""
        pending.committing = None
        pending.retry_at = now + RETRY_SECONDS * (0.2 + self._random.random())
        return []

    def _take(self, operation: ids.OperationId) -> _Pending | None:
        for pending in self._pending:
            if pending.operation == operation:
                pending.operation = None
                return pending
        return None

    def _forget(self, pending: _Pending | None) -> list[effects.Effect]:
        if pending is not None and pending in self._pending:
            self._pending.remove(pending)
        return []


def _find_change(event: events.OperatorAsked) -> str:
    body = event.body if isinstance(event.body, dict) else {}
    change = body.get("change", event.query.get("change", ""))
    return change if isinstance(change, str) else ""


def _answer_error(asked: ids.OperationId, error: Exception, body: dict[str, Any]) -> effects.Effect:
    return effects.AnswerOperator(asked, getattr(error, "status", 400), body)


def _make_not_accepted(change: ids.ChangeId) -> errors.RecordError:
    hint = "submit it again under a new change id"
    return errors.ChangeWithdrawnError(f"the change {change} has not been accepted", hint)
