"""Requests in progress at an entry, and how each one ends."""

import collections
import random as random_module

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.requests import answers
from crocusrudder.requests import claims as claims_module
from crocusrudder.requests import dispatch
from crocusrudder.requests import ledger
from crocusrudder.requests import limits as limits_module
from crocusrudder.requests import outcomes
from crocusrudder.requests import recorder as recorder_module
from crocusrudder.requests import tracking
from crocusrudder.wire import messages

TrackedRequest = tracking.TrackedRequest


class RequestRegistry:
    """Track the requests in progress, answer each caller once and release a request's resources."""

    def __init__(
        self,
        limits: limits_module.RequestLimits,
        random: random_module.Random,
        dispatcher: dispatch.Dispatcher,
        claims: claims_module.ClaimManager,
        recorder: recorder_module.OutcomeRecorder,
    ) -> None:
        self._limits = limits
        self._random = random
        self._dispatcher = dispatcher
        self._claims = claims
        self._recorder = recorder
        self._requests: dict[ids.RequestId, TrackedRequest] = {}
        self._used_keys: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._bytes = 0

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose callers have not been answered."""
        return sum(1 for tracked in self._requests.values() if not tracked.answered)

    def get(self, request: ids.RequestId) -> TrackedRequest | None:
        """Return a request whose caller has not been answered, or None."""
        tracked = self._requests.get(request)
        return None if tracked is None or tracked.answered else tracked

    def list_requests(self) -> list[TrackedRequest]:
        """Return all requests, including answered ones whose late outcome is awaited."""
        return list(self._requests.values())

    def has_capacity(self, size: int) -> bool:
        """Return whether a request with a body of ``size`` bytes can be admitted."""
        if len(self._requests) >= self._limits.max_in_flight:
            return False
        return self._bytes + size <= self._limits.max_in_flight_bytes

    def add(self, tracked: TrackedRequest) -> None:
        self._requests[tracked.request] = tracked
        self._bytes += len(tracked.arrival.body)

    def record_key(self, row_key: str) -> None:
        """Record that this entry sent an attempt with this key."""
        self._used_keys[row_key] = None
        self._used_keys.move_to_end(row_key)
        if len(self._used_keys) > self._limits.max_retained_keys:
            self._used_keys.popitem(last=False)

    def is_key_used(self, row_key: str) -> bool:
        """Return whether this entry sent an attempt with this key that may have run."""
        return row_key in self._used_keys

    def reject(self, tracked: TrackedRequest, reason: outcomes.Reason) -> list[effects.Effect]:
        """Answer a request that is not admitted."""
        outcome = answers.make_refusal(tracked, reason, self._random)
        answer = effects.AnswerCaller(tracked.request, outcome)
        return [answer, answers.count_outcome(outcome)]

    def refuse(
        self, tracked: TrackedRequest, reason: outcomes.Reason, now: float
    ) -> list[effects.Effect]:
        """Answer that the request did not run, or that its outcome is unknown."""
        outcome = answers.make_refusal(tracked, reason, self._random)
        if isinstance(outcome, outcomes.NotRun) and tracked.attempt_count:
            self._used_keys.pop(tracked.row_key, None)
        return self.complete(tracked, outcome, now)

    def complete(
        self, tracked: TrackedRequest, outcome: outcomes.Outcome, now: float
    ) -> list[effects.Effect]:
        """Answer the caller, unless it was answered before or has disconnected."""
        if tracked.answered:
            self.discard(tracked)
            return []
        elapsed = now - (tracked.deadline - tracked.arrival.timeout_seconds)
        self.end_wait(tracked)
        return [
            effects.AnswerCaller(tracked.request, outcome),
            answers.count_outcome(outcome),
            effects.Observe("request_seconds", elapsed),
        ]

    def record_response(
        self, tracked: TrackedRequest, response: messages.Response
    ) -> list[effects.Effect]:
        """Record the response to the claimed attempt in the ledger."""
        entry = ledger.make_done(tracked.claim, response, self._claims.make_writer())
        return self._recorder.record(tracked.row_key, entry, tracked.version)

    def record_release(self, tracked: TrackedRequest) -> list[effects.Effect]:
        """Record, after the caller was answered, that the last claimed attempt never runs."""
        claim = tracked.claim
        if claim is None or claim.state is not ledger.RowState.CLAIMED:
            return []
        self._used_keys.pop(tracked.row_key, None)
        entry = ledger.make_released(claim, self._claims.make_writer())
        return [self._recorder.release(tracked.row_key, entry, tracked.version)]

    def end_wait(self, tracked: TrackedRequest) -> None:
        """Mark the caller as answered or disconnected.

        The request stays until its own keyed attempts are resolved, so that their outcome can be
        recorded in the ledger.
        """
        tracked.state = tracking.RequestState.LINGERING
        self._dispatcher.release_reservation(tracked)
        for attempt in list(tracked.in_flight_attempts.values()):
            if tracked.arrival.idempotent or not attempt.is_own:
                self._dispatcher.remove(tracked, attempt)
        self._bytes -= len(tracked.arrival.body)
        tracked.arrival = msgspec.structs.replace(tracked.arrival, body=b"")
        if not tracked.in_flight_attempts:
            self.discard(tracked)

    def discard(self, tracked: TrackedRequest) -> None:
        """Remove the request and stop waiting for its attempts."""
        for attempt in list(tracked.in_flight_attempts.values()):
            self._dispatcher.remove(tracked, attempt)
        self._requests.pop(tracked.request, None)

    def dump(self) -> dict[str, object]:
        """Return the number of requests by state and the bytes in flight as JSON types."""
        states = collections.Counter(each.state.value for each in self._requests.values())
        return {
            "in_flight": self.in_flight,
            "bytes": self._bytes,
            "states": dict(states),
            "used_keys": len(self._used_keys),
        }
