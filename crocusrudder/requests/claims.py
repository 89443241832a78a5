"""Claims of attempts in the ledger: commits, conflicts and commits with unknown results."""

import enum
import itertools

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.requests import errors
from crocusrudder.requests import ledger
from crocusrudder.requests import tracking
from crocusrudder.wire import messages

RESOLVE_RETRY_SECONDS = 0.2
"""Interval between repeats of a read or a commit while the result of a commit is unknown."""

RequestState = tracking.RequestState
TrackedRequest = tracking.TrackedRequest


class Step(enum.Enum):
    """Next step of a request after a reply of the store."""

    WAIT = "wait"
    """Wait for another store operation; its effects, if any, must be performed."""
    CLAIMED = "claimed"
    """The claim is stored: the attempt may be sent."""
    RELEASED = "released"
    """The row states that the last attempt never runs, and no other submission has claimed the
    next one."""
    FOLLOW = "follow"
    """Act on the row that was read. It is in ``tracked.claim`` (None if absent), its version in
    ``tracked.version``."""
    STORE_DOWN = "store-down"
    UNREADABLE = "unreadable"


class ClaimResult(msgspec.Struct, frozen=True):
    """A request and the next step for it."""

    tracked: TrackedRequest
    step: Step
    produced: tuple[effects.Effect, ...] = ()


class ClaimManager:
    """Read ledger rows and commit claims.

    Each write carries a unique writer identity. If the reply to a commit is lost, the row is read
    again, and the identity shows whether the commit took effect.
    """

    def __init__(
        self, operations: components.OperationIds, entry_incarnation: ids.Incarnation
    ) -> None:
        self._operations = operations
        self._incarnation = entry_incarnation
        self._numbers = itertools.count(1)
        self._by_operation: dict[ids.OperationId, TrackedRequest] = {}

    def make_writer(self) -> str:
        """Return a new writer identity, unique to one write."""
        return f"{self._incarnation}/{next(self._numbers)}"

    def read(self, tracked: TrackedRequest, state: RequestState) -> effects.Effect:
        """Read the ledger row and set the request's state, which is READING or RESOLVING."""
        tracked.state = state
        tracked.retry_read_at = float("inf")
        return effects.ReadRows(self._start_operation(tracked), (tracked.row_key,))

    def claim(self, tracked: TrackedRequest, target: messages.EndpointAt) -> effects.Effect:
        """Commit a claim of the next attempt at an endpoint."""
        attempt = 1 if tracked.claim is None else tracked.claim.attempt + 1
        tracked.claim = ledger.make_claim(tracked.fingerprint, attempt, target, self.make_writer())
        tracked.target = target
        tracked.commits = 0
        return self._commit(tracked)

    def release(self, tracked: TrackedRequest) -> effects.Effect:
        """Commit that the last attempt never runs.

        Until this is stored, another submission with the same key may find the refused attempt and
        claim the next one.
        """
        tracked.claim = ledger.make_released(tracked.claim, self.make_writer())
        tracked.commits = 0
        return self._commit(tracked)

    def handle(self, event: events.Event, now: float) -> ClaimResult | None:
        """Return the step after a reply of the store, or None if no request waits for it."""
        tracked = self._by_operation.pop(event.operation, None)
        if tracked is None or tracked.answered:
            return None
        try:
            return self._handle(tracked, event, now)
        except errors.LedgerRowError:
            return ClaimResult(tracked, Step.UNREADABLE)

    def _handle(self, tracked: TrackedRequest, event: events.Event, now: float) -> ClaimResult:
        if isinstance(event, events.Committed):
            return _record_commit(tracked, event.versions[tracked.row_key])
        if isinstance(event, events.CommitUnknown):
            return _wait(tracked, self.read(tracked, RequestState.RESOLVING))
        if isinstance(event, events.StoreUnavailable):
            return _handle_unavailable(tracked, now)
        row = event.rows.get(tracked.row_key)
        if tracked.state is RequestState.READING:
            return _record_row(tracked, row)
        return self._resolve(tracked, row, now)

    def _resolve(self, tracked: TrackedRequest, row: effects.Row | None, now: float) -> ClaimResult:
        """Continue after a commit that conflicted or whose reply was lost."""
        effect = ledger.resolve_lost_commit(row, tracked.claim.writer, tracked.version)
        if effect is ledger.CommitEffect.APPLIED:
            return _record_commit(tracked, row.version)
        if effect is ledger.CommitEffect.REPEATABLE:
            if tracked.commits > 1 and now < tracked.repeat_commit_at:
                tracked.state = RequestState.RESOLVING
                tracked.retry_read_at = tracked.repeat_commit_at
                return ClaimResult(tracked, Step.WAIT)
            tracked.repeat_commit_at = now + RESOLVE_RETRY_SECONDS
            return _wait(tracked, self._commit(tracked))
        return _record_row(tracked, row)

    def _commit(self, tracked: TrackedRequest) -> effects.Effect:
        tracked.state = RequestState.CLAIMING
        tracked.commits += 1
        value = ledger.encode(tracked.claim)
        write = effects.RowWrite(tracked.row_key, value, tracked.version)
        return effects.Commit(self._start_operation(tracked), (write,))

    def _start_operation(self, tracked: TrackedRequest) -> ids.OperationId:
        operation = self._operations.next()
        self._by_operation[operation] = tracked
        return operation


def _record_commit(tracked: TrackedRequest, version: int) -> ClaimResult:
    tracked.version = version
    released = tracked.claim.state is ledger.RowState.RELEASED
    return ClaimResult(tracked, Step.RELEASED if released else Step.CLAIMED)


def _wait(tracked: TrackedRequest, effect: effects.Effect) -> ClaimResult:
    return ClaimResult(tracked, Step.WAIT, (effect,))


def _record_row(tracked: TrackedRequest, row: effects.Row | None) -> ClaimResult:
    tracked.claim = None if row is None else ledger.decode(row)
    tracked.version = 0 if row is None else row.version
    return ClaimResult(tracked, Step.FOLLOW)


def _handle_unavailable(tracked: TrackedRequest, now: float) -> ClaimResult:
    if tracked.state is RequestState.RESOLVING:
        # The claim may be stored, but no attempt is sent until that is known.
        tracked.retry_read_at = now + RESOLVE_RETRY_SECONDS
        return ClaimResult(tracked, Step.WAIT)
    return ClaimResult(tracked, Step.STORE_DOWN)
