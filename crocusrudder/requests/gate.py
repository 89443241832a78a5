"""Agent side of a request: admission, at-most-once execution of attempts and their outcomes.

An attempt is identified by (team, key, attempt). Once the gate has refused an attempt or has
replied NEVER_STARTED to a query, it never executes that attempt.
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
CONFIGURATION_WAIT_SECONDS = 1.0
"""How long a request waits for the configuration revision that its entry quotes."""
LATE_QUERY_SECONDS = 3.0
"""Time after the last reply during which an entry that did not receive it can still query the
outcome: three probe intervals."""

EndpointAnswer = (
    events.EndpointAnswered | events.EndpointUnreachable | events.EndpointConnectionLost
)
AttemptState = messages.AttemptState
RefusalReason = messages.RefusalReason


class ConfigurationView(Protocol):
    """The part of the configuration replica that the gate reads."""

    @property
    def revision(self) -> ids.Revision:
        """Return the configuration revision in force in this process."""
        ...


class _Call(msgspec.Struct, eq=False):
    """A call of an endpoint that has not returned."""

    forwarded: attempts.ForwardedAttempt
    endpoint: slots.EndpointSlots


class RequestGate:
    """Admit forwarded requests to the endpoints of one worker and call the endpoints."""

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
        self._segments = standing.SegmentPoller(self._operations)
        self._awaiting_configuration: list[attempts.ForwardedAttempt] = []
        self._log = attempts.AttemptLog(max_attempts, max_response_bytes)
        self._now = 0.0
        self._stopping = False
        self._last_completed_at = float("-inf")

    @property
    def window(self) -> int:
        return self._log.window

    @property
    def in_flight(self) -> int:
        """Return the number of accepted requests that have not been answered."""
        plain = sum(endpoint.in_flight for endpoint in self._endpoints.values())
        return plain + len(self._segments) + len(self._awaiting_configuration)

    def is_drained(self, now: float) -> bool:
        """Return whether a planned stop may complete.

        All requests must be answered, and entries must have had time to query lost replies.
        """
        return self.in_flight == 0 and now - self._last_completed_at >= LATE_QUERY_SECONDS

    def announce_endpoint(self, status: messages.EndpointStatus, host: str, port: int) -> None:
        """Add or update an endpoint."""
        known = self._endpoints.get(status.endpoint)
        if known is None:
            known = self._endpoints[status.endpoint] = slots.EndpointSlots(status, host, port)
        known.status = status
        known.host = host
        known.port = port
        if self._stopping:
            known.drain(self._now)
        else:
            known.cancel_drain()

    def withdraw_endpoint(self, endpoint: ids.EndpointId) -> None:
        """Stop admitting requests to an endpoint and remove it once it is idle."""
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.drain(self._now)

    def list_endpoints(self) -> list[messages.EndpointStatus]:
        """Return the endpoint statuses to announce.

        A suspended endpoint is announced as draining.
        """
        return [
            msgspec.structs.replace(
                endpoint.status,
                draining=endpoint.draining or endpoint.suspended,
                window=self._log.window,
            )
            for endpoint in self._endpoints.values()
        ]

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to perform."""
        self._now = now
        self._log.advance(now)
        return self._handle(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Expire queued requests, advance standing requests and remove idle endpoints."""
        self._now = now
        self._log.advance(now)
        produced = self._recheck_awaiting(now)
        for endpoint in self._endpoints.values():
            endpoint.resume_due(now)
            produced += self._expire_queue(endpoint, now)
        produced += self._end_segments(self._segments.end_due(now, self._stopping), now)
        produced += self._segments.poll_due(now)
        self._endpoints = {
            name: endpoint
            for name, endpoint in self._endpoints.items()
            if endpoint.is_busy or self._stopping or not endpoint.draining
        }
        return produced

    def dump(self) -> dict[str, object]:
        """Return the state as JSON types."""
        return {
            "stopping": self._stopping,
            "in_flight": self.in_flight,
            "parked": len(self._awaiting_configuration),
            "log": self._log.dump(),
            "endpoints": {name: each.dump() for name, each in self._endpoints.items()},
        }

    @functools.singledispatchmethod
    def _handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_handle.register
    def _(self, event: events.Received, now: float) -> list[effects.Effect]:
        if isinstance(event.message, messages.ForwardRequest):
            return self._handle_forwarded(event, event.message, now)
        if isinstance(event.message, messages.QueryOutcome):
            return self._handle_query(event, event.message, now)
        return []

    @_handle.register
    def _(self, event: events.StopRequested, now: float) -> list[effects.Effect]:
        self._stopping = True
        self._last_completed_at = now
        for endpoint in self._endpoints.values():
            endpoint.drain(now)
        return self._end_segments(self._segments.end_due(now, self._stopping), now)

    @_handle.register
    def _(self, event: EndpointAnswer, now: float) -> list[effects.Effect]:
        if self._segments.owns(event.operation):
            return self._end_segments(self._segments.handle(event, now), now)
        call = self._calls.pop(event.operation, None)
        if call is None:
            return []
        call.endpoint.release_slot(now - call.forwarded.started_at)
        if isinstance(event, events.EndpointUnreachable):
            call.endpoint.suspend(now)
            produced = self._refuse(call.forwarded, RefusalReason.ENDPOINT_DOWN)
        elif isinstance(event, events.EndpointAnswered):
            answer = event.response
            response = messages.Response(answer.status, answer.headers, answer.body)
            produced = self._complete(call.forwarded, response, now)
        else:
            produced = self._complete(call.forwarded, None, now)
        return produced + self._start_queued(call.endpoint, now)

    # Messages.

    def _handle_forwarded(
        self, event: events.Received, message: messages.ForwardRequest, now: float
    ) -> list[effects.Effect]:
        identity = (message.team, message.key, message.attempt)
        deadline = now + message.remaining_ms / 1000
        forwarded = attempts.ForwardedAttempt(
            identity, event.sender, event.incarnation, message, now, deadline
        )
        known = self._log.find(message)
        if known is not None:
            return self._reply_to_repeat(forwarded, known)
        if message.idempotent:
            if self._log.is_repeated(message):
                return [effects.Count("gate_repeats")]
        else:
            reason = self._log.find_permanent_refusal(message)
            if reason is not None:
                return self._make_refusal(forwarded, reason)
        return self._admit(forwarded, now)

    def _handle_query(
        self, event: events.Received, message: messages.QueryOutcome, now: float
    ) -> list[effects.Effect]:
        identity = (message.team, message.key, message.attempt)
        state = self._log.query(identity, message.window)
        report = messages.OutcomeReport(
            *identity, state=state, response=self._log.get_response(identity)
        )
        return [effects.Send(event.sender, report, event.incarnation)]

    def _reply_to_repeat(
        self, forwarded: attempts.ForwardedAttempt, known: memory.Attempt
    ) -> list[effects.Effect]:
        counted = effects.Count("gate_repeats")
        if known.state is AttemptState.RUNNING:
            return [counted]
        response = self._log.get_response(forwarded.identity)
        return [counted, self._make_answer(forwarded, known.state, response, known.reason)]

    # Admission.

    def _admit(self, forwarded: attempts.ForwardedAttempt, now: float) -> list[effects.Effect]:
        self._log.record_running(forwarded.message)
        reason = self._find_refusal(forwarded, now)
        if reason is not None:
            return self._refuse(forwarded, reason)
        if forwarded.message.revision > self._replica.revision:
            self._awaiting_configuration.append(forwarded)
            request = messages.ConfigurationRequest(self._replica.revision)
            return [effects.Send(forwarded.sender, request, forwarded.incarnation)]
        return self._start_or_queue(forwarded, now)

    def _find_refusal(
        self, forwarded: attempts.ForwardedAttempt, now: float
    ) -> RefusalReason | None:
        if not self._is_ready():
            return RefusalReason.NOT_READY
        if forwarded.message.standing and not forwarded.message.idempotent:
            # Each poll of a standing request calls the endpoint, so it runs more than once.
            return RefusalReason.NO_CAPACITY
        endpoint = self._endpoints.get(forwarded.message.endpoint)
        if endpoint is None:
            return RefusalReason.UNKNOWN_ENDPOINT
        if endpoint.draining:
            return RefusalReason.DRAINING
        if endpoint.suspended:
            return RefusalReason.ENDPOINT_DOWN
        if forwarded.deadline <= now:
            return RefusalReason.DEADLINE_PASSED
        return None

    def _start_or_queue(
        self, forwarded: attempts.ForwardedAttempt, now: float
    ) -> list[effects.Effect]:
        endpoint = self._endpoints[forwarded.message.endpoint]
        if forwarded.message.standing:
            if not endpoint.has_free_connection:
                return self._refuse(forwarded, RefusalReason.OVERLOADED)
            return self._segments.start(forwarded, endpoint, now)
        if endpoint.has_free_slot:
            return self._start(forwarded, endpoint, now)
        if not endpoint.can_queue(forwarded.deadline - now):
            return self._refuse(forwarded, RefusalReason.OVERLOADED)
        endpoint.enqueue(forwarded)
        return []

    def _recheck_awaiting(self, now: float) -> list[effects.Effect]:
        awaiting, self._awaiting_configuration = self._awaiting_configuration, []
        produced: list[effects.Effect] = []
        for forwarded in awaiting:
            wait_ends_at = forwarded.arrived_at + CONFIGURATION_WAIT_SECONDS
            if forwarded.message.revision <= self._replica.revision:
                reason = self._find_refusal(forwarded, now)
                produced += (
                    self._refuse(forwarded, reason)
                    if reason
                    else self._start_or_queue(forwarded, now)
                )
            elif now >= min(wait_ends_at, forwarded.deadline):
                produced += self._refuse(forwarded, RefusalReason.STALE_CONFIGURATION)
            else:
                self._awaiting_configuration.append(forwarded)
        return produced

    def _start(
        self, forwarded: attempts.ForwardedAttempt, endpoint: slots.EndpointSlots, now: float
    ) -> list[effects.Effect]:
        endpoint.occupy_slot()
        forwarded.started_at = now
        operation = self._operations.next()
        self._calls[operation] = _Call(forwarded, endpoint)
        timeout = forwarded.deadline - now
        request = forwarded.make_request()
        return [
            effects.Count("gate_started"),
            effects.CallEndpoint(operation, endpoint.host, endpoint.port, request, timeout),
        ]

    def _start_queued(self, endpoint: slots.EndpointSlots, now: float) -> list[effects.Effect]:
        produced = self._expire_queue(endpoint, now)
        while (forwarded := endpoint.pop_startable()) is not None:
            produced += self._start(forwarded, endpoint, now)
        return produced

    def _expire_queue(self, endpoint: slots.EndpointSlots, now: float) -> list[effects.Effect]:
        return [
            effect
            for forwarded in endpoint.pop_expired(now)
            for effect in self._refuse(
                forwarded,
                RefusalReason.DEADLINE_PASSED
                if forwarded.deadline <= now
                else RefusalReason.DRAINING,
            )
        ]

    # Replies.

    def _end_segments(self, ends: list[standing.SegmentEnd], now: float) -> list[effects.Effect]:
        return [
            effect
            for end in ends
            for effect in (
                self._refuse(end.forwarded, RefusalReason.ENDPOINT_DOWN)
                if end.response is None
                else self._complete(end.forwarded, end.response, now)
            )
        ]

    def _complete(
        self, forwarded: attempts.ForwardedAttempt, response: messages.Response | None, now: float
    ) -> list[effects.Effect]:
        """Record and report that an attempt ran; without a response it may have run.

        A response above MAX_RESPONSE_BYTES counts as no response.
        """
        if response is not None and memory.measure_response(response) > MAX_RESPONSE_BYTES:
            response = None
        self._last_completed_at = now
        state = self._log.record_end(forwarded.message, response)
        return [
            effects.Count(f"gate_{state.name.lower()}"),
            self._make_answer(forwarded, state, response, None),
        ]

    def _refuse(
        self, forwarded: attempts.ForwardedAttempt, reason: RefusalReason
    ) -> list[effects.Effect]:
        """Record and report that an attempt never starts."""
        self._log.record_refusal(forwarded.message, reason)
        return self._make_refusal(forwarded, reason)

    def _make_refusal(
        self, forwarded: attempts.ForwardedAttempt, reason: RefusalReason
    ) -> list[effects.Effect]:
        answer = self._make_answer(forwarded, AttemptState.NEVER_STARTED, None, reason)
        return [effects.Count(f"gate_refused_{reason.name.lower()}"), answer]

    def _make_answer(
        self,
        forwarded: attempts.ForwardedAttempt,
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
