"""Entry side of a request: claim, dispatch, retries and the answer to the caller."""

import collections
import functools
import itertools
import random as random_module

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.requests import dispatch
from crocusrudder.requests import ledger
from crocusrudder.requests import limits as limits_module
from crocusrudder.requests import memory
from crocusrudder.requests import outcomes
from crocusrudder.requests import recorder
from crocusrudder.requests import standing
from crocusrudder.requests import tracking
from crocusrudder.wire import messages

PREFIX = "request"
RESOLVE_RETRY_SECONDS = 0.2
FORGET_INTERVAL_SECONDS = 60.0
MAX_RETRY_AFTER_SECONDS = 3

AttemptState = messages.AttemptState
Reason = outcomes.Reason
RequestState = tracking.RequestState
TrackedRequest = tracking.TrackedRequest
Flight = tracking.Flight

_REFUSALS = {
    messages.RefusalReason.OVERLOADED: Reason.OVERLOADED,
    messages.RefusalReason.NO_CAPACITY: Reason.OVERLOADED,
    messages.RefusalReason.DEADLINE_PASSED: Reason.DEADLINE_PASSED,
    messages.RefusalReason.NOT_READY: Reason.NOT_READY,
    messages.RefusalReason.ENDPOINT_DOWN: Reason.NO_ENDPOINT,
    messages.RefusalReason.UNKNOWN_ENDPOINT: Reason.NO_ENDPOINT,
    messages.RefusalReason.DRAINING: Reason.NO_ENDPOINT,
}

_REPEATABLE_THERE = {
    messages.RefusalReason.TOMBSTONED,
    messages.RefusalReason.STALE_CONFIGURATION,
}
"""Refusals after which the same endpoint may accept the next attempt."""


class RequestCoordinator:
    """Carry callers' requests to endpoints and tell each caller what became of its own."""

    def __init__(
        self,
        replica: dispatch.ConfigurationView,
        directory: dispatch.DirectoryView,
        limits: limits_module.RequestLimits,
        random: random_module.Random,
        entry_incarnation: ids.Incarnation,
        data_centre: ids.DataCentre,
    ) -> None:
        self._replica = replica
        self._limits = limits
        self._random = random
        self._incarnation = entry_incarnation
        self._operations = components.OperationIds(PREFIX)
        self._numbers = itertools.count(1)
        self._requests: dict[ids.RequestId, TrackedRequest] = {}
        self._by_operation: dict[ids.OperationId, TrackedRequest] = {}
        self._dispatcher = dispatch.Dispatcher(
            replica, directory, limits, random, entry_incarnation, data_centre
        )
        self._budget = limits_module.RetryBudget(limits.retry_share, limits.retry_burst)
        self._recorder = recorder.OutcomeRecorder(self._operations, limits)
        self._used_keys: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._bytes = 0
        self._stopping = False
        self._forget_at = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose callers wait for an answer."""
        return sum(1 for tracked in self._requests.values() if not tracked.answered)

    @property
    def pending_records(self) -> int:
        """Return the number of outcomes that are not in the store yet."""
        return len(self._recorder)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Take one event and return the effects to carry out."""
        return self._handle(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Check deadlines, ask about unanswered attempts and repeat outcome writes."""
        produced = self._recorder.tick(now)
        for tracked in list(self._requests.values()):
            produced += self._check_time(tracked, now)
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL_SECONDS
            self._dispatcher.forget_unused(now)
        return produced

    def dump(self) -> dict[str, object]:
        """Return the state as JSON types."""
        states = collections.Counter(each.state.value for each in self._requests.values())
        return {
            "stopping": self._stopping,
            "in_flight": self.in_flight,
            "bytes": self._bytes,
            "states": dict(states),
            "pending_records": len(self._recorder),
            "pending_record_bytes": self._recorder.bytes,
            "retry_tokens": self._budget.tokens,
            "endpoints": self._dispatcher.dump(),
        }

    # Arrival.

    @functools.singledispatchmethod
    def _handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_handle.register
    def _(self, event: events.CallerArrived, now: float) -> list[effects.Effect]:
        tracked = self._make_tracked(event, now)
        reason = self._find_refusal(tracked)
        if reason is not None:
            return self._reject(tracked, reason)
        self._requests[event.request] = tracked
        self._bytes += len(tracked.arrival.body)
        self._budget.count_first_attempt()
        if tracked.arrival.idempotent:
            return self._dispatch(tracked, now)
        return self._open_keyed(tracked, now)

    @_handle.register
    def _(self, event: events.CallerLeft, now: float) -> list[effects.Effect]:
        tracked = self._requests.get(event.request)
        if tracked is None or tracked.answered:
            return []
        self._finish(tracked)
        return [effects.Count("request_callers_left")]

    @_handle.register
    def _(self, event: events.StopRequested, now: float) -> list[effects.Effect]:
        self._stopping = True
        return [
            effect
            for tracked in list(self._requests.values())
            if tracked.arrival.standing and not tracked.answered
            for effect in self._end_standing(tracked, now)
        ]

    def _make_tracked(self, event: events.CallerArrived, now: float) -> TrackedRequest:
        arrival = event.arrival
        version = self._replica.resolve_schema_version(arrival.service, arrival.order_kind)
        tracked = TrackedRequest(
            event.request,
            arrival,
            now + arrival.timeout_seconds,
            -1 if version is None else version,
            RequestState.READING,
        )
        if not arrival.idempotent:
            tracked.fingerprint = ledger.compute_fingerprint(arrival)
            tracked.row_key = ledger.make_row_key(arrival.team, arrival.key)
            repeated = arrival.repeat or tracked.row_key in self._used_keys
            tracked.row_uncertain = repeated and bool(arrival.key)
        return tracked

    def _find_refusal(self, tracked: TrackedRequest) -> Reason | None:
        arrival = tracked.arrival
        if self._stopping:
            return Reason.STOPPING
        if not self._replica.ready:
            return Reason.NOT_READY
        if not arrival.idempotent and not arrival.key:
            return Reason.KEY_MISSING
        if arrival.standing and not arrival.idempotent:
            return Reason.REFUSED
        if tracked.schema_version < 0 and not tracked.row_uncertain:
            return Reason.NO_SUCH_SERVICE
        full = len(self._requests) >= self._limits.max_in_flight
        if full or self._bytes + len(arrival.body) > self._limits.max_in_flight_bytes:
            return Reason.OVERLOADED
        if arrival.timeout_seconds <= 0:
            return Reason.DEADLINE_PASSED
        return None

    # The ledger.

    def _open_keyed(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        waiting = self._recorder.find(tracked.row_key)
        if waiting is not None:
            return self._follow_entry(tracked, waiting, now)
        if tracked.row_uncertain:
            return self._read(tracked, RequestState.READING)
        return self._claim(tracked, now)

    def _read(self, tracked: TrackedRequest, state: RequestState) -> list[effects.Effect]:
        tracked.state = state
        tracked.retry_read_at = float("inf")
        operation = self._begin_operation(tracked)
        return [effects.ReadRows(operation, (tracked.row_key,))]

    def _claim(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        target = self._dispatcher.choose(tracked)
        if target is None:
            return self._refuse_without_endpoint(tracked, now)
        attempt = 1 if tracked.claim is None else tracked.claim.attempt + 1
        writer = f"{self._incarnation}/{next(self._numbers)}"
        tracked.claim = ledger.make_claim(tracked.fingerprint, attempt, target, writer)
        tracked.target = target
        self._dispatcher.reserve(tracked, target, now)
        return self._commit_claim(tracked)

    def _commit_claim(self, tracked: TrackedRequest) -> list[effects.Effect]:
        tracked.state = RequestState.CLAIMING
        operation = self._begin_operation(tracked)
        value = ledger.encode(tracked.claim)
        write = effects.RowWrite(tracked.row_key, value, tracked.version)
        return [effects.Commit(operation, (write,))]

    def _begin_operation(self, tracked: TrackedRequest) -> ids.OperationId:
        operation = self._operations.next()
        self._by_operation[operation] = tracked
        return operation

    def _take_operation(self, operation: ids.OperationId) -> TrackedRequest | None:
        """Return the request that waits for an operation, unless it needs no answer any more."""
        tracked = self._by_operation.pop(operation, None)
        return None if tracked is None or tracked.answered else tracked

    @_handle.register
    def _(self, event: events.Committed, now: float) -> list[effects.Effect]:
        if self._recorder.owns(event.operation):
            return self._recorder.handle(event, now)
        tracked = self._take_operation(event.operation)
        if tracked is None:
            return []
        return self._send_claimed(tracked, event.versions[tracked.row_key], now)

    @_handle.register
    def _(self, event: events.CommitConflicted, now: float) -> list[effects.Effect]:
        if self._recorder.owns(event.operation):
            return self._recorder.handle(event, now)
        tracked = self._take_operation(event.operation)
        if tracked is None:
            return []
        return self._resolve(tracked, event.rows.get(tracked.row_key), now)

    @_handle.register
    def _(self, event: events.CommitUnknown, now: float) -> list[effects.Effect]:
        if self._recorder.owns(event.operation):
            return self._recorder.handle(event, now)
        tracked = self._take_operation(event.operation)
        return [] if tracked is None else self._read(tracked, RequestState.RESOLVING)

    @_handle.register
    def _(self, event: events.RowsRead, now: float) -> list[effects.Effect]:
        tracked = self._take_operation(event.operation)
        if tracked is None:
            return []
        row = event.rows.get(tracked.row_key)
        if tracked.state is RequestState.RESOLVING:
            return self._resolve(tracked, row, now)
        return self._follow_row(tracked, row, now)

    @_handle.register
    def _(self, event: events.StoreUnavailable, now: float) -> list[effects.Effect]:
        if self._recorder.owns(event.operation):
            return self._recorder.handle(event, now)
        tracked = self._take_operation(event.operation)
        if tracked is None:
            return []
        if tracked.state is RequestState.RESOLVING:
            tracked.retry_read_at = now + RESOLVE_RETRY_SECONDS
            tracked.last_reason = Reason.STORE_DOWN
            return []
        return self._refuse(tracked, Reason.STORE_DOWN, now)

    def _resolve(
        self, tracked: TrackedRequest, row: effects.Row | None, now: float
    ) -> list[effects.Effect]:
        """Continue after a claim whose commit conflicted or whose answer was lost."""
        effect = ledger.resolve_lost_commit(row, tracked.claim.writer, tracked.version)
        if effect is ledger.CommitEffect.APPLIED:
            return self._send_claimed(tracked, row.version, now)
        if effect is ledger.CommitEffect.REPEATABLE:
            return self._commit_claim(tracked)
        self._dispatcher.drop_reservation(tracked, tracked.target)
        tracked.target = None
        return self._follow_row(tracked, row, now)

    def _follow_row(
        self, tracked: TrackedRequest, row: effects.Row | None, now: float
    ) -> list[effects.Effect]:
        tracked.version = 0 if row is None else row.version
        return self._follow_entry(tracked, None if row is None else ledger.decode(row), now)

    def _follow_entry(
        self, tracked: TrackedRequest, entry: ledger.Entry | None, now: float
    ) -> list[effects.Effect]:
        tracked.claim = entry
        decision = ledger.decide(entry, tracked.fingerprint)
        if decision is ledger.Decision.REPLAY:
            return self._complete(tracked, outcomes.Done(ledger.get_response(entry), True), now)
        if decision is ledger.Decision.REFUSE_REUSE:
            tracked.row_uncertain = False
            return self._refuse(tracked, Reason.KEY_REUSED, now)
        if decision is ledger.Decision.ASK_AGENT:
            return self._ask(tracked, entry, now)
        tracked.row_uncertain = False
        return self._claim(tracked, now)

    def _ask(
        self, tracked: TrackedRequest, entry: ledger.Entry, now: float
    ) -> list[effects.Effect]:
        """Ask the agent that another submission's claim names."""
        tracked.state = RequestState.ASKING
        tracked.row_uncertain = True
        flight = self._dispatcher.ask(tracked, entry, now)
        return [self._dispatcher.probe(flight, now)]

    # Dispatch.

    def _dispatch(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        """Send an attempt of an idempotent request under a fresh key."""
        target = self._dispatcher.choose(tracked)
        if target is None:
            return self._refuse_without_endpoint(tracked, now)
        self._dispatcher.reserve(tracked, target, now)
        identity = (tracked.arrival.team, self._dispatcher.make_key(), 1)
        return self._send(tracked, target, identity, now)

    def _send_claimed(
        self, tracked: TrackedRequest, version: int, now: float
    ) -> list[effects.Effect]:
        tracked.version = version
        identity = (tracked.arrival.team, tracked.arrival.key, tracked.claim.attempt)
        self._remember_key(tracked.row_key)
        target, tracked.target = tracked.target, None
        return self._send(tracked, target, identity, now)

    def _send(
        self,
        tracked: TrackedRequest,
        target: messages.EndpointAt,
        identity: memory.Identity,
        now: float,
    ) -> list[effects.Effect]:
        tracked.state = RequestState.IN_FLIGHT
        tracked.attempts += 1
        return self._dispatcher.send(tracked, target, identity, now)

    def _remember_key(self, row_key: str) -> None:
        self._used_keys[row_key] = None
        if len(self._used_keys) > self._limits.max_remembered_keys:
            self._used_keys.popitem(last=False)

    # Answers of agents.

    @_handle.register
    def _(self, event: events.Received, now: float) -> list[effects.Effect]:
        message = event.message
        if not isinstance(message, messages.RequestAnswer | messages.OutcomeReport):
            return []
        identity = (message.team, message.key, message.attempt)
        produced: list[effects.Effect] = []
        for tracked, flight in self._dispatcher.find(event, identity):
            if isinstance(message, messages.RequestAnswer):
                self._dispatcher.learn(event, message, flight)
            produced += self._take_state(tracked, flight, message, now)
        return produced

    def _take_state(
        self,
        tracked: TrackedRequest,
        flight: Flight,
        message: messages.RequestAnswer | messages.OutcomeReport,
        now: float,
    ) -> list[effects.Effect]:
        if message.state is AttemptState.RUNNING:
            flight.running = True
            return []
        self._dispatcher.remove(tracked, flight)
        if message.state is AttemptState.NEVER_STARTED:
            reason = getattr(message, "reason", None) or messages.RefusalReason.TOMBSTONED
            return self._take_refusal(tracked, flight, reason, now)
        if message.state is AttemptState.BROKEN:
            return self._take_break(tracked, Reason.ENDPOINT_BROKE, now)
        if message.response is None:
            return self._take_break(tracked, Reason.ANSWER_LOST, now)
        self._dispatcher.record_latency(tracked, flight, now)
        return self._take_response(tracked, message.response, now)

    def _take_response(
        self, tracked: TrackedRequest, response: messages.Response, now: float
    ) -> list[effects.Effect]:
        produced = self._complete(tracked, outcomes.Done(response), now)
        if tracked.arrival.idempotent:
            return produced
        writer = f"{self._incarnation}/{next(self._numbers)}"
        entry = ledger.make_done(tracked.claim, response, writer)
        return produced + self._recorder.record(tracked.row_key, entry, tracked.version)

    def _take_refusal(
        self,
        tracked: TrackedRequest,
        flight: Flight,
        reason: messages.RefusalReason,
        now: float,
    ) -> list[effects.Effect]:
        """Make another attempt after one that certainly never runs, or refuse the request."""
        if reason is messages.RefusalReason.OVERLOADED:
            self._dispatcher.record_overload(flight, now)
        if reason not in _REPEATABLE_THERE:
            tracked.excluded.add(flight.endpoint.endpoint)
        if not flight.own:
            tracked.row_uncertain = False
            return self._claim(tracked, now)
        if tracked.answered:
            return self._release(tracked)
        if tracked.flights:
            return []
        if self._may_retry(tracked, now):
            return self._attempt_again(tracked, now)
        return self._refuse(tracked, _REFUSALS.get(reason, Reason.REFUSED), now)

    def _take_break(
        self, tracked: TrackedRequest, reason: Reason, now: float
    ) -> list[effects.Effect]:
        """Take an attempt that may have run and has no response."""
        tracked.broken = True
        if tracked.answered or tracked.flights:
            return []
        if tracked.arrival.idempotent and self._may_retry(tracked, now):
            return self._attempt_again(tracked, now)
        return self._refuse(tracked, reason, now)

    def _may_retry(self, tracked: TrackedRequest, now: float) -> bool:
        remaining = tracked.deadline - now
        return (
            not self._stopping
            and remaining > self._limits.min_remaining_seconds
            and self._dispatcher.choose(tracked) is not None
            and self._budget.try_take()
        )

    def _attempt_again(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        again = self._dispatch if tracked.arrival.idempotent else self._claim
        return [effects.Count("request_retries"), *again(tracked, now)]

    # Time.

    def _check_time(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        if tracked.answered:
            if now >= tracked.deadline + self._limits.linger_seconds:
                self._forget(tracked)
            return self._probe_due(tracked, now)
        if now >= tracked.deadline:
            return self._expire(tracked, now)
        if now >= tracked.retry_read_at:
            return self._read(tracked, RequestState.RESOLVING)
        if self._dispatcher.is_hedge_due(tracked, now) and self._may_retry(tracked, now):
            return [effects.Count("request_hedges"), *self._dispatch(tracked, now)]
        return self._probe_due(tracked, now)

    def _probe_due(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        produced: list[effects.Effect] = []
        for flight in [each for each in tracked.flights.values() if each.probe_at <= now]:
            if self._dispatcher.is_replaced(tracked, flight):
                self._dispatcher.remove(tracked, flight)
                produced += self._take_break(tracked, Reason.AGENT_GONE, now)
            else:
                produced.append(self._dispatcher.probe(flight, now))
        return produced

    def _expire(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        running = any(flight.running for flight in tracked.flights.values())
        if tracked.state is RequestState.ASKING and running:
            return self._refuse(tracked, Reason.IN_PROGRESS, now)
        if tracked.flights:
            return self._refuse(tracked, Reason.ANSWER_LOST, now)
        return self._refuse(tracked, tracked.last_reason or Reason.DEADLINE_PASSED, now)

    # Answers to callers.

    def _refuse_without_endpoint(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        if tracked.schema_version < 0:
            return self._refuse(tracked, Reason.NO_SUCH_SERVICE, now)
        served = self._dispatcher.has_endpoints(tracked)
        return self._refuse(tracked, Reason.OVERLOADED if served else Reason.NO_ENDPOINT, now)

    def _reject(self, tracked: TrackedRequest, reason: Reason) -> list[effects.Effect]:
        """Answer a request that is not admitted."""
        outcome = self._make_refusal(tracked, reason)
        return [
            effects.Count(f"request_rejected_{reason.value}"),
            effects.AnswerCaller(tracked.request, outcome),
        ]

    def _refuse(self, tracked: TrackedRequest, reason: Reason, now: float) -> list[effects.Effect]:
        """Answer that the request did not run, or that this is unknown."""
        outcome = self._make_refusal(tracked, reason)
        certain = isinstance(outcome, outcomes.NotRun)
        released = self._release(tracked) if certain and tracked.attempts else []
        return self._complete(tracked, outcome, now) + released

    def _make_refusal(self, tracked: TrackedRequest, reason: Reason) -> outcomes.Outcome:
        if tracked.may_have_run:
            return outcomes.OutcomeUnknown(reason)
        retry_after = self._random.randint(1, MAX_RETRY_AFTER_SECONDS)
        return outcomes.NotRun(reason, retry_after)

    def _release(self, tracked: TrackedRequest) -> list[effects.Effect]:
        """Record that the last claimed attempt never runs."""
        self._used_keys.pop(tracked.row_key, None)
        if tracked.arrival.idempotent or tracked.claim.state is not ledger.RowState.CLAIMED:
            return []
        writer = f"{self._incarnation}/{next(self._numbers)}"
        entry = ledger.make_released(tracked.claim, writer)
        return self._recorder.release(tracked.row_key, entry, tracked.version)

    def _complete(
        self, tracked: TrackedRequest, outcome: outcomes.Outcome, now: float
    ) -> list[effects.Effect]:
        if tracked.answered:
            self._forget(tracked)
            return []
        elapsed = now - (tracked.deadline - tracked.arrival.timeout_seconds)
        answer = effects.AnswerCaller(tracked.request, outcome)
        self._finish(tracked)
        return [answer, *_count_outcome(outcome), effects.Observe("request_seconds", elapsed)]

    def _finish(self, tracked: TrackedRequest) -> None:
        """End the wait of the caller; keep waiting for what the ledger must learn."""
        tracked.state = RequestState.LINGERING
        if tracked.target is not None:
            self._dispatcher.drop_reservation(tracked, tracked.target)
            tracked.target = None
        for flight in list(tracked.flights.values()):
            if tracked.arrival.idempotent or not flight.own:
                self._dispatcher.remove(tracked, flight)
        self._bytes -= len(tracked.arrival.body)
        tracked.arrival = msgspec.structs.replace(tracked.arrival, body=b"")
        if not tracked.flights:
            self._forget(tracked)

    def _forget(self, tracked: TrackedRequest) -> None:
        for flight in list(tracked.flights.values()):
            self._dispatcher.remove(tracked, flight)
        self._requests.pop(tracked.request, None)

    def _end_standing(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        offset = standing.get_offset(tracked.arrival.headers)
        response = standing.make_empty_response(offset)
        return self._complete(tracked, outcomes.Done(response), now)


def _count_outcome(outcome: outcomes.Outcome) -> list[effects.Effect]:
    if isinstance(outcome, outcomes.Done):
        return [effects.Count("request_done")]
    kind = "not_run" if isinstance(outcome, outcomes.NotRun) else "unknown"
    return [effects.Count(f"request_{kind}_{outcome.reason.value}")]
