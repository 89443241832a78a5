"""Agent side of a request: admission, at most one execution of each attempt, outcomes.

An attempt is identified by (team, key, attempt). Once the gate has refused an attempt or has
answered a query with NEVER_STARTED, it never executes that attempt.
"""

import functools
from collections.abc import Callable
from typing import Protocol

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.requests import attempts
from crocusrudder.requests import memory
from crocusrudder.requests import slots
from crocusrudder.requests import standing
from crocusrudder.wire import messages

PREFIX = "gate"
MAX_RESPONSE_BYTES = 1024 * 1024
CONFIGURATION_PATIENCE_SECONDS = 1.0
"""How long a request waits for the configuration that its entry knew."""
SETTLE_SECONDS = 3.0
"""Time after the last answer in which an entry that lost it can still ask: three probes."""

AttemptState = messages.AttemptState
RefusalReason = messages.RefusalReason


class ConfigurationView(Protocol):
    """What the gate reads of the configuration replica."""

    @property
    def revision(self) -> ids.Revision:
        """Return the revision in force in this process."""
        ...


class _Call(msgspec.Struct, eq=False):
    """A call of an endpoint that is not answered yet."""

    forwarded: attempts.Forwarded
    endpoint: slots.EndpointSlots
    segment: standing.Segment | None = None


class RequestGate:
    """Admit forwarded requests to the endpoints of one worker and call these."""

    def __init__(
        self,
        replica: ConfigurationView,
        is_ready: Callable[[], bool],
        max_attempts: int = memory.MAX_ATTEMPTS,
        max_response_bytes: int = memory.MAX_RESPONSE_BYTES,
    ) -> None:
        self._replica = replica
        self._is_ready = is_ready
        self._operations = components.OperationIds(PREFIX)
        self._endpoints: dict[ids.EndpointId, slots.EndpointSlots] = {}
        self._calls: dict[ids.OperationId, _Call] = {}
        self._segments: dict[memory.Identity, standing.Segment] = {}
        self._parked: list[attempts.Forwarded] = []
        self._log = attempts.AttemptLog(max_attempts, max_response_bytes)
        self._stopping = False
        self._answered_at = float("-inf")

    @property
    def window(self) -> int:
        """Return the current request window."""
        return self._log.window

    @property
    def in_flight(self) -> int:
        """Return the number of accepted requests without an answer."""
        plain = sum(endpoint.in_flight for endpoint in self._endpoints.values())
        return plain + len(self._segments) + len(self._parked)

    def is_settled(self, now: float) -> bool:
        """Return whether a planned stop may end: all is answered and entries could ask again."""
        return self.in_flight == 0 and now - self._answered_at >= SETTLE_SECONDS

    def announce_endpoint(self, status: messages.EndpointStatus, host: str, port: int) -> None:
        """Add an endpoint, or update one that is known."""
        known = self._endpoints.get(status.endpoint)
        if known is None:
            self._endpoints[status.endpoint] = slots.EndpointSlots(status, host, port)
            return
        known.status = status
        known.host = host
        known.port = port
        known.draining = False

    def withdraw_endpoint(self, endpoint: ids.EndpointId) -> None:
        """Stop admitting requests to an endpoint, and remove it once it is idle."""
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.draining = True

    def list_endpoints(self) -> list[messages.EndpointStatus]:
        """Return the endpoints as they are to be announced."""
        return [
            msgspec.structs.replace(
                endpoint.status,
                draining=endpoint.draining or self._stopping,
                window=self._log.window,
            )
            for endpoint in self._endpoints.values()
        ]

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Take one event and return the effects to carry out."""
        self._log.advance(now)
        return self._handle(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Expire queued requests, advance standing requests and remove idle endpoints."""
        self._log.advance(now)
        produced = self._release_parked(now)
        for endpoint in self._endpoints.values():
            produced += self._expire_queue(endpoint, now)
        for segment in list(self._segments.values()):
            produced += self._advance_segment(segment, now)
        self._endpoints = {
            name: endpoint
            for name, endpoint in self._endpoints.items()
            if endpoint.busy or not endpoint.draining
        }
        return produced

    def dump(self) -> dict[str, object]:
        """Return the state as JSON types."""
        return {
            "stopping": self._stopping,
            "in_flight": self.in_flight,
            "parked": len(self._parked),
            "log": self._log.dump(),
            "endpoints": {name: each.dump() for name, each in self._endpoints.items()},
        }

    @functools.singledispatchmethod
    def _handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_handle.register
    def _(self, event: events.Received, now: float) -> list[effects.Effect]:
        if isinstance(event.message, messages.ForwardRequest):
            return self._take_forwarded(event, event.message, now)
        if isinstance(event.message, messages.QueryOutcome):
            return self._take_query(event, event.message, now)
        return []

    @_handle.register
    def _(self, event: events.StopRequested, now: float) -> list[effects.Effect]:
        self._stopping = True
        self._answered_at = now
        return [
            effect
            for segment in list(self._segments.values())
            for effect in self._end_segment(segment, segment.make_empty_end(), now)
        ]

    @_handle.register
    def _(self, event: events.EndpointAnswered, now: float) -> list[effects.Effect]:
        call = self._calls.pop(event.operation, None)
        if call is None:
            return []
        answer = event.response
        response = messages.Response(answer.status, answer.headers, answer.body)
        if call.segment is not None:
            return self._take_poll(call.segment, response, now)
        call.endpoint.record_service_time(now - call.forwarded.started_at)
        return self._finish_call(call, response, now)

    @_handle.register
    def _(self, event: events.EndpointUnreached, now: float) -> list[effects.Effect]:
        call = self._calls.pop(event.operation, None)
        if call is None:
            return []
        if call.segment is not None:
            return self._fail_poll(call.segment, now)
        call.endpoint.running -= 1
        refused = self._refuse(call.forwarded, RefusalReason.ENDPOINT_DOWN, now)
        return refused + self._serve_queue(call.endpoint, now)

    @_handle.register
    def _(self, event: events.EndpointBroken, now: float) -> list[effects.Effect]:
        call = self._calls.pop(event.operation, None)
        if call is None:
            return []
        if call.segment is not None:
            return self._fail_poll(call.segment, now)
        return self._finish_call(call, None, now)

    # Messages.

    def _take_forwarded(
        self, event: events.Received, message: messages.ForwardRequest, now: float
    ) -> list[effects.Effect]:
        identity = (message.team, message.key, message.attempt)
        deadline = now + message.remaining_ms / 1000
        forwarded = attempts.Forwarded(
            identity, event.sender, event.incarnation, message, now, deadline
        )
        known = self._log.find(message)
        if known is not None:
            return self._answer_repeat(forwarded, known)
        if message.idempotent:
            if self._log.is_repeated(message):
                return [effects.Count("gate_repeats")]
        else:
            reason = self._log.find_permanent_refusal(message)
            if reason is not None:
                return self._answer_refusal(forwarded, reason)
        return self._admit(forwarded, now)

    def _take_query(
        self, event: events.Received, message: messages.QueryOutcome, now: float
    ) -> list[effects.Effect]:
        identity = (message.team, message.key, message.attempt)
        state = self._log.query(identity, message.window)
        report = messages.OutcomeReport(
            *identity, state=state, response=self._log.get_response(identity)
        )
        return [effects.Send(event.sender, report, event.incarnation)]

    def _answer_repeat(
        self, forwarded: attempts.Forwarded, known: memory.Attempt
    ) -> list[effects.Effect]:
        counted = effects.Count("gate_repeats")
        if known.state is AttemptState.RUNNING:
            return [counted]
        response = self._log.get_response(forwarded.identity)
        return [counted, self._make_answer(forwarded, known.state, response, known.reason)]

    # Admission.

    def _admit(self, forwarded: attempts.Forwarded, now: float) -> list[effects.Effect]:
        self._log.begin(forwarded.message)
        reason = self._find_refusal(forwarded, now)
        if reason is not None:
            return self._refuse(forwarded, reason, now)
        if forwarded.message.revision > self._replica.revision:
            self._parked.append(forwarded)
            request = messages.ConfigurationRequest(self._replica.revision)
            return [effects.Send(forwarded.sender, request, forwarded.incarnation)]
        return self._place(forwarded, now)

    def _find_refusal(self, forwarded: attempts.Forwarded, now: float) -> RefusalReason | None:
        if not self._is_ready():
            return RefusalReason.NOT_READY
        if forwarded.message.standing and not forwarded.message.idempotent:
            return RefusalReason.NO_CAPACITY
        endpoint = self._endpoints.get(forwarded.message.endpoint)
        if endpoint is None:
            return RefusalReason.UNKNOWN_ENDPOINT
        if endpoint.draining or self._stopping:
            return RefusalReason.DRAINING
        if forwarded.deadline <= now:
            return RefusalReason.DEADLINE_PASSED
        return None

    def _place(self, forwarded: attempts.Forwarded, now: float) -> list[effects.Effect]:
        endpoint = self._endpoints[forwarded.message.endpoint]
        if forwarded.message.standing:
            if not endpoint.has_connection:
                return self._refuse(forwarded, RefusalReason.OVERLOADED, now)
            return self._start_segment(forwarded, endpoint, now)
        if endpoint.has_slot:
            return self._start(forwarded, endpoint, now)
        if not endpoint.can_queue(forwarded.deadline - now):
            return self._refuse(forwarded, RefusalReason.OVERLOADED, now)
        endpoint.queue.append(forwarded)
        return []

    def _release_parked(self, now: float) -> list[effects.Effect]:
        parked, self._parked = self._parked, []
        produced: list[effects.Effect] = []
        for forwarded in parked:
            patience_ends = forwarded.arrived_at + CONFIGURATION_PATIENCE_SECONDS
            if forwarded.message.revision <= self._replica.revision:
                reason = self._find_refusal(forwarded, now)
                produced += (
                    self._refuse(forwarded, reason, now) if reason else self._place(forwarded, now)
                )
            elif now >= min(patience_ends, forwarded.deadline):
                produced += self._refuse(forwarded, RefusalReason.STALE_CONFIGURATION, now)
            else:
                self._parked.append(forwarded)
        return produced

    def _start(
        self, forwarded: attempts.Forwarded, endpoint: slots.EndpointSlots, now: float
    ) -> list[effects.Effect]:
        endpoint.running += 1
        forwarded.started_at = now
        operation = self._operations.next()
        self._calls[operation] = _Call(forwarded, endpoint)
        timeout = forwarded.deadline - now
        request = forwarded.make_request()
        return [
            effects.Count("gate_started"),
            effects.CallEndpoint(operation, endpoint.host, endpoint.port, request, timeout),
        ]

    def _serve_queue(self, endpoint: slots.EndpointSlots, now: float) -> list[effects.Effect]:
        produced = self._expire_queue(endpoint, now)
        while endpoint.queue and endpoint.has_slot:
            produced += self._start(endpoint.queue.popleft(), endpoint, now)
        return produced

    def _expire_queue(self, endpoint: slots.EndpointSlots, now: float) -> list[effects.Effect]:
        expired = [each for each in endpoint.queue if each.deadline <= now]
        for forwarded in expired:
            endpoint.queue.remove(forwarded)
        return [
            effect
            for forwarded in expired
            for effect in self._refuse(forwarded, RefusalReason.DEADLINE_PASSED, now)
        ]

    # Answers.

    def _finish_call(
        self, call: _Call, response: messages.Response | None, now: float
    ) -> list[effects.Effect]:
        call.endpoint.running -= 1
        answered = self._answer(call.forwarded, response, now)
        return answered + self._serve_queue(call.endpoint, now)

    def _answer(
        self, forwarded: attempts.Forwarded, response: messages.Response | None, now: float
    ) -> list[effects.Effect]:
        """Record and report that an attempt ran; without a response it may have run."""
        if response is not None and memory.measure_response(response) > MAX_RESPONSE_BYTES:
            response = None
        self._answered_at = now
        state = self._log.finish(forwarded.message, response)
        return [
            effects.Count(f"gate_{state.value}"),
            self._make_answer(forwarded, state, response, None),
        ]

    def _refuse(
        self, forwarded: attempts.Forwarded, reason: RefusalReason, now: float
    ) -> list[effects.Effect]:
        """Record and report that an attempt never starts."""
        self._answered_at = now
        self._log.refuse(forwarded.message, reason)
        return self._answer_refusal(forwarded, reason)

    def _answer_refusal(
        self, forwarded: attempts.Forwarded, reason: RefusalReason
    ) -> list[effects.Effect]:
        answer = self._make_answer(forwarded, AttemptState.NEVER_STARTED, None, reason)
        return [effects.Count(f"gate_refused_{reason.value}"), answer]

    def _make_answer(
        self,
        forwarded: attempts.Forwarded,
        state: AttemptState,
        response: messages.Response | None,
        reason: RefusalReason | None,
    ) -> effects.Send:
        endpoint = self._endpoints.get(forwarded.message.endpoint)
        in_flight = 0 if endpoint is None else endpoint.in_flight
        answer = messages.RequestAnswer(
            *forwarded.identity,
            state=state,
            response=response,
            reason=reason,
            in_flight=in_flight,
            revision=self._replica.revision,
            window=self._log.window,
        )
        return effects.Send(forwarded.sender, answer, forwarded.incarnation)

    # Standing requests.

    def _start_segment(
        self, forwarded: attempts.Forwarded, endpoint: slots.EndpointSlots, now: float
    ) -> list[effects.Effect]:
        segment = standing.start_segment(forwarded, endpoint, now)
        endpoint.standing += 1
        self._segments[forwarded.identity] = segment
        return [effects.Count("gate_segments"), *self._advance_segment(segment, now)]

    def _advance_segment(self, segment: standing.Segment, now: float) -> list[effects.Effect]:
        if segment.endpoint.draining or now >= segment.ends_at:
            return self._end_segment(segment, segment.make_empty_end(), now)
        if segment.polling or now < segment.next_poll:
            return []
        segment.polling = True
        operation = self._operations.next()
        endpoint = segment.endpoint
        self._calls[operation] = _Call(segment.forwarded, endpoint, segment)
        timeout = standing.POLL_TIMEOUT_SECONDS
        request = segment.make_poll()
        return [effects.CallEndpoint(operation, endpoint.host, endpoint.port, request, timeout)]

    def _take_poll(
        self, segment: standing.Segment, response: messages.Response, now: float
    ) -> list[effects.Effect]:
        segment.polling = False
        segment.polled = True
        if segment.forwarded.identity not in self._segments:
            return []
        if response.status == 204:
            segment.next_poll = now + standing.POLL_PAUSE_SECONDS
            return []
        return self._end_segment(segment, response, now)

    def _fail_poll(self, segment: standing.Segment, now: float) -> list[effects.Effect]:
        """End a segment whose endpoint failed; nothing is lost, as the offset stays."""
        segment.polling = False
        if segment.forwarded.identity not in self._segments:
            return []
        if segment.polled:
            return self._end_segment(segment, segment.make_empty_end(), now)
        self._remove_segment(segment)
        return self._refuse(segment.forwarded, RefusalReason.ENDPOINT_DOWN, now)

    def _end_segment(
        self, segment: standing.Segment, response: messages.Response, now: float
    ) -> list[effects.Effect]:
        self._remove_segment(segment)
        return self._answer(segment.forwarded, response, now)

    def _remove_segment(self, segment: standing.Segment) -> None:
        self._segments.pop(segment.forwarded.identity, None)
        segment.endpoint.standing -= 1
