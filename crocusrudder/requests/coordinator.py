"""Entry side of a request: claim, dispatch, retries and the response to the caller."""

import functools
import random as random_module

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.requests import answers
from crocusrudder.requests import claims
from crocusrudder.requests import dispatch
from crocusrudder.requests import ledger
from crocusrudder.requests import limits as limits_module
from crocusrudder.requests import memory
from crocusrudder.requests import outcomes
from crocusrudder.requests import recorder
from crocusrudder.requests import registry
from crocusrudder.requests import standing
from crocusrudder.requests import tracking
from crocusrudder.wire import messages

PREFIX = "request"
EVICTION_INTERVAL_SECONDS = 60.0

AttemptState = messages.AttemptState
Reason = outcomes.Reason
RequestState = tracking.RequestState
TrackedRequest = tracking.TrackedRequest
InFlightAttempt = tracking.InFlightAttempt
StoreReply = (
    events.Committed
    | events.CommitConflicted
    | events.CommitUnknown
    | events.RowsRead
    | events.StoreUnavailable
)


class RequestCoordinator:
    """Forward caller requests to endpoints and answer each caller with the outcome."""

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
        operations = components.OperationIds(PREFIX)
        self._claims = claims.ClaimManager(operations, entry_incarnation)
        self._recorder = recorder.OutcomeRecorder(operations, limits)
        self._dispatcher = dispatch.Dispatcher(
            replica, directory, limits, random, entry_incarnation, data_centre
        )
        self._budget = limits_module.RetryBudget(limits.retry_share, limits.retry_burst)
        self._registry = registry.RequestRegistry(
            limits, random, self._dispatcher, self._claims, self._recorder
        )
        self._stopping = False
        self._evict_at = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose callers have not been answered."""
        return self._registry.in_flight

    @property
    def pending_records(self) -> int:
        """Return the number of outcomes not yet committed to the store."""
        return len(self._recorder)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to perform."""
        return self._handle(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Check deadlines, probe unanswered attempts and retry outcome writes."""
        produced = self._recorder.tick(now)
        for tracked in self._registry.list_requests():
            produced += self._check_deadlines(tracked, now)
        if now >= self._evict_at:
            self._evict_at = now + EVICTION_INTERVAL_SECONDS
            self._dispatcher.evict_unused(now)
        return produced

    def dump(self) -> dict[str, object]:
        """Return the state as JSON types."""
        return {
            "stopping": self._stopping,
            "requests": self._registry.dump(),
            "pending_records": len(self._recorder),
            "pending_record_bytes": self._recorder.bytes,
            "retry_tokens": self._budget.tokens,
            "endpoints": self._dispatcher.dump(),
        }

    # Events.

    @functools.singledispatchmethod
    def _handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_handle.register
    def _(self, event: events.CallerArrived, now: float) -> list[effects.Effect]:
        tracked = self._make_tracked(event, now)
        reason = self._find_refusal(tracked)
        if reason is not None:
            return self._registry.reject(tracked, reason)
        self._registry.add(tracked)
        self._budget.count_first_attempt()
        if tracked.arrival.idempotent:
            return self._dispatch(tracked, now)
        return self._start_keyed(tracked, now)

    @_handle.register
    def _(self, event: events.CallerDisconnected, now: float) -> list[effects.Effect]:
        tracked = self._registry.get(event.request)
        if tracked is None:
            return []
        self._registry.end_wait(tracked)
        return [effects.Count("request_callers_left")]

    @_handle.register
    def _(self, event: events.StopRequested, now: float) -> list[effects.Effect]:
        self._stopping = True
        return [
            effect
            for tracked in self._registry.list_requests()
            if tracked.arrival.standing and not tracked.answered
            for effect in self._end_standing(tracked, now)
        ]

    @_handle.register
    def _(self, event: events.Received, now: float) -> list[effects.Effect]:
        message = event.message
        if not isinstance(message, messages.RequestAnswer | messages.OutcomeReport):
            return []
        identity = (message.team, message.key, message.attempt)
        produced: list[effects.Effect] = []
        for tracked, attempt in self._dispatcher.find(event, identity):
            if isinstance(message, messages.RequestAnswer):
                self._dispatcher.record_load(event, message, attempt)
            produced += self._handle_state(tracked, attempt, message, now)
        return produced

    @_handle.register
    def _(self, event: StoreReply, now: float) -> list[effects.Effect]:
        if self._recorder.owns(event.operation):
            return self._recorder.handle(event, now)
        result = self._claims.handle(event, now)
        if result is None:
            return []
        tracked = result.tracked
        if result.step is claims.Step.CLAIMED:
            return self._send_claimed(tracked, now)
        if result.step is claims.Step.FOLLOW:
            return self._apply_row(tracked, now)
        if result.step is claims.Step.RELEASED:
            tracked.may_have_run_elsewhere = False
            return self._registry.refuse(tracked, tracked.refusal, now)
        if result.step is claims.Step.STORE_DOWN:
            return self._refuse(tracked, Reason.STORE_DOWN, now)
        if result.step is claims.Step.UNREADABLE:
            tracked.may_have_run_elsewhere = True
            return self._refuse(tracked, Reason.REFUSED, now)
        return list(result.produced)

    # Arrival.

    def _make_tracked(self, event: events.CallerArrived, now: float) -> TrackedRequest:
        arrival = event.arrival
        version = self._replica.resolve_schema_version(arrival.service, arrival.order_kind)
        tracked = tracking.make_tracked(event.request, arrival, version, now)
        is_repeat = arrival.repeat and bool(tracked.row_key)
        tracked.is_repeat = is_repeat or self._registry.is_key_used(tracked.row_key)
        tracked.may_have_run_elsewhere = tracked.is_repeat
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
        if (
            tracked.schema_version == tracking.NO_SCHEMA_VERSION
            and not tracked.may_have_run_elsewhere
        ):
            return Reason.NO_SUCH_SERVICE
        if not self._registry.has_capacity(len(arrival.body)):
            return Reason.OVERLOADED
        if arrival.timeout_seconds <= 0:
            return Reason.DEADLINE_PASSED
        return None

    def _start_keyed(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        pending = self._recorder.find(tracked.row_key)
        if pending is not None:
            tracked.claim = pending
            return self._apply_row(tracked, now)
        if tracked.may_have_run_elsewhere:
            return [self._claims.read(tracked, RequestState.READING)]
        return self._claim(tracked, now)

    # The ledger.

    def _claim(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        target = self._dispatcher.choose(tracked, now)
        if target is None:
            return self._refuse_without_endpoint(tracked, now)
        self._dispatcher.reserve(tracked, target, now)
        # Until the claim is stored, another submission may claim the key first and run.
        tracked.may_have_run_elsewhere = tracked.is_repeat
        return [self._claims.claim(tracked, target)]

    def _apply_row(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        """Act on the row written by another submission or an earlier attempt."""
        self._dispatcher.release_reservation(tracked)
        decision = ledger.decide(tracked.claim, tracked.fingerprint)
        if decision is ledger.Decision.REPLAY:
            response = ledger.get_response(tracked.claim)
            return self._registry.complete(tracked, outcomes.Done(response, replayed=True), now)
        if decision is ledger.Decision.ASK_AGENT:
            tracked.state = RequestState.ASKING
            tracked.may_have_run_elsewhere = True
            attempt = self._dispatcher.watch_claimed(tracked, now)
            return [self._dispatcher.probe(attempt, now)]
        tracked.may_have_run_elsewhere = False
        if decision is ledger.Decision.REFUSE_REUSE:
            return self._registry.refuse(tracked, Reason.KEY_REUSED, now)
        if tracked.refusal is not None:
            return self._registry.refuse(tracked, tracked.refusal, now)
        return self._claim(tracked, now)

    # Attempts.

    def _dispatch(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        """Send an attempt of an idempotent request under a new key."""
        target = self._dispatcher.choose(tracked, now)
        if target is None:
            return self._refuse_without_endpoint(tracked, now)
        self._dispatcher.reserve(tracked, target, now)
        identity = (tracked.arrival.team, self._dispatcher.make_key(), 1)
        return self._send(tracked, target, identity, now)

    def _send_claimed(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        identity = (tracked.arrival.team, tracked.arrival.key, tracked.claim.attempt)
        self._registry.record_key(tracked.row_key)
        tracked.may_have_run_elsewhere = False
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
        tracked.attempt_count += 1
        return self._dispatcher.send(tracked, target, identity, now)

    def _handle_state(
        self,
        tracked: TrackedRequest,
        attempt: InFlightAttempt,
        message: messages.RequestAnswer | messages.OutcomeReport,
        now: float,
    ) -> list[effects.Effect]:
        if message.state is AttemptState.RUNNING:
            self._dispatcher.record_running(attempt)
            return []
        self._dispatcher.remove(tracked, attempt)
        if message.state is AttemptState.NEVER_STARTED:
            reason = getattr(message, "reason", None) or messages.RefusalReason.TOMBSTONED
            return self._handle_refusal(tracked, attempt, reason, now)
        if message.state is AttemptState.BROKEN:
            return self._handle_lost_attempt(tracked, Reason.ENDPOINT_BROKE, now)
        if message.response is None:
            return self._handle_lost_attempt(tracked, Reason.ANSWER_LOST, now)
        self._dispatcher.record_latency(tracked, attempt, now)
        return self._handle_response(tracked, message.response, now)

    def _handle_response(
        self, tracked: TrackedRequest, response: messages.Response, now: float
    ) -> list[effects.Effect]:
        """Answer the caller at once and record the outcome afterwards.

        An unavailable store must not delay the caller.
        """
        produced = self._registry.complete(tracked, outcomes.Done(response), now)
        if tracked.arrival.idempotent:
            return produced
        return produced + self._registry.record_response(tracked, response)

    def _handle_refusal(
        self,
        tracked: TrackedRequest,
        attempt: InFlightAttempt,
        reason: messages.RefusalReason,
        now: float,
    ) -> list[effects.Effect]:
        """Retry after an attempt that certainly never runs, or refuse the request."""
        self._dispatcher.record_refusal(attempt, reason, now)
        if reason not in answers.RETRY_SAME_ENDPOINT:
            tracked.excluded.add(attempt.endpoint.endpoint)
        if tracked.answered:
            self._registry.discard(tracked)
            return self._registry.record_release(tracked)
        if not attempt.is_own:
            tracked.may_have_run_elsewhere = False
            if tracked.refusal is not None:
                return self._refuse(tracked, tracked.refusal, now)
            return self._claim(tracked, now)
        if tracked.in_flight_attempts:
            return []
        if self._may_retry(tracked, now, is_budget_exempt=reason in answers.DIRECTORY_OUTDATED):
            return self._retry(tracked, now)
        return self._refuse(tracked, answers.translate_refusal(reason), now)

    def _handle_lost_attempt(
        self, tracked: TrackedRequest, reason: Reason, now: float
    ) -> list[effects.Effect]:
        """Handle an attempt that may have run and has no response."""
        tracked.has_lost_attempt = True
        if tracked.in_flight_attempts:
            return []
        if tracked.answered:
            self._registry.discard(tracked)
            return []
        if tracked.arrival.idempotent and self._may_retry(tracked, now):
            return self._retry(tracked, now)
        return self._refuse(tracked, reason, now)

    def _may_retry(
        self, tracked: TrackedRequest, now: float, is_budget_exempt: bool = False
    ) -> bool:
        """Return whether another attempt may be made.

        Takes a token from the retry budget unless the attempt is exempt from it.
        """
        return (
            tracked.attempt_count < self._limits.max_attempts
            and tracked.deadline - now > self._limits.min_remaining_seconds
            and self._dispatcher.choose(tracked, now) is not None
            and (is_budget_exempt or self._budget.try_acquire())
        )

    def _retry(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        start_attempt = self._dispatch if tracked.arrival.idempotent else self._claim
        return [effects.Count("request_retries"), *start_attempt(tracked, now)]

    # Time.

    def _check_deadlines(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        if tracked.answered:
            if now >= tracked.deadline + self._limits.linger_seconds:
                self._registry.discard(tracked)
            return self._probe_due(tracked, now)
        if now >= tracked.deadline:
            return self._refuse(tracked, tracked.overdue_reason, now)
        if now >= tracked.retry_read_at:
            return [self._claims.read(tracked, RequestState.RESOLVING)]
        if self._dispatcher.is_hedge_due(tracked, now) and self._may_retry(tracked, now):
            return [effects.Count("request_hedges"), *self._dispatch(tracked, now)]
        return self._probe_due(tracked, now)

    def _probe_due(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        produced: list[effects.Effect] = []
        for attempt in [
            each for each in tracked.in_flight_attempts.values() if each.probe_at <= now
        ]:
            if self._dispatcher.is_replaced(tracked, attempt):
                self._dispatcher.remove(tracked, attempt)
                produced += self._handle_lost_attempt(tracked, Reason.AGENT_GONE, now)
            else:
                produced.append(self._dispatcher.probe(attempt, now))
        return produced

    # Responses to callers.

    def _refuse(self, tracked: TrackedRequest, reason: Reason, now: float) -> list[effects.Effect]:
        """Answer that the request did not run, or that its outcome is unknown.

        Once an attempt was sent, "not run" may be answered only after the release is stored: until
        then another submission with the same key may find the refused attempt and claim the next
        one.
        """
        keyed = not tracked.arrival.idempotent
        if keyed and tracked.attempt_count and not tracked.may_have_run:
            tracked.refusal = reason
            tracked.may_have_run_elsewhere = True
            return [self._claims.release(tracked)]
        return self._registry.refuse(tracked, reason, now)

    def _refuse_without_endpoint(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        if tracked.schema_version == tracking.NO_SCHEMA_VERSION:
            return self._refuse(tracked, Reason.NO_SUCH_SERVICE, now)
        served = self._dispatcher.has_endpoints(tracked)
        return self._refuse(tracked, Reason.OVERLOADED if served else Reason.NO_ENDPOINT, now)

    def _end_standing(self, tracked: TrackedRequest, now: float) -> list[effects.Effect]:
        offset = standing.get_offset(tracked.arrival.headers)
        response = standing.make_empty_response(offset)
        return self._registry.complete(tracked, outcomes.Done(response), now)
