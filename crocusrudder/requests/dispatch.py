"""Attempts in flight: choice of an endpoint, sending, probing and matching of replies."""

import itertools
import random as random_module
from collections.abc import Iterator
from typing import Protocol

import msgspec

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.requests import answers
from crocusrudder.requests import limits as limits_module
from crocusrudder.requests import memory
from crocusrudder.requests import routing
from crocusrudder.requests import tracking
from crocusrudder.wire import messages

MAX_PROBE_BACKOFF = 32
"""Upper bound of the probe backoff factor. Standing requests last minutes, and thousands of them
must not be probed every second."""
AVOID_SECONDS = 1.0
"""How long an endpoint that is down or draining receives no attempts; about one announcement
interval."""

InFlightAttempt = tracking.InFlightAttempt
TrackedRequest = tracking.TrackedRequest


class ConfigurationView(Protocol):
    """The part of the configuration replica that the entry side reads."""

    @property
    def revision(self) -> ids.Revision:
        """Return the configuration revision in force in this process."""
        ...

    @property
    def ready(self) -> bool:
        """Return whether the store or a peer has confirmed the configuration."""
        ...

    def resolve_schema_version(self, service: ids.ServiceName, order_kind: str) -> int | None:
        """Return the schema version that serves an order kind, or None."""
        ...


class DirectoryView(Protocol):
    """The part of the endpoint directory that the entry side reads."""

    def find_endpoints(
        self, service: ids.ServiceName, schema_version: int
    ) -> list[messages.EndpointAt]:
        """Return the endpoints that accept new requests."""
        ...


class Dispatcher:
    """Send attempts and match replies to them by attempt identity and agent incarnation."""

    def __init__(
        self,
        replica: ConfigurationView,
        directory: DirectoryView,
        limits: limits_module.RequestLimits,
        random: random_module.Random,
        entry_incarnation: ids.Incarnation,
        data_centre: ids.DataCentre,
    ) -> None:
        self._replica = replica
        self._directory = directory
        self._limits = limits
        self._random = random
        self._incarnation = entry_incarnation
        self._data_centre = data_centre
        self._numbers = itertools.count(1)
        self._loads = routing.EndpointLoads()
        self._by_identity: dict[memory.Identity, list[TrackedRequest]] = {}
        self._windows: dict[ids.ProcessId, tuple[ids.Incarnation, int]] = {}

    def make_key(self) -> ids.IdempotencyKey:
        """Return a new key for an attempt of an idempotent request.

        The keys are numbered, so that agents can detect repeats.
        """
        return ids.IdempotencyKey(f"{self._incarnation}/{next(self._numbers)}")

    def choose(self, tracked: TrackedRequest, now: float) -> messages.EndpointAt | None:
        """Return the endpoint for the next attempt, or None if none has free capacity."""
        busy = {attempt.endpoint.endpoint for attempt in tracked.in_flight_attempts.values()}
        target = routing.choose_endpoint(
            self._find_endpoints(tracked),
            self._loads,
            self._data_centre,
            tracked.arrival.standing,
            tracked.excluded | busy,
            self._random,
            now,
        )
        return None if target is None else self._update_window(target)

    def has_endpoints(self, tracked: TrackedRequest) -> bool:
        """Return whether any endpoint serves the request, with or without free capacity."""
        return bool(self._find_endpoints(tracked))

    def reserve(self, tracked: TrackedRequest, target: messages.EndpointAt, now: float) -> None:
        """Count an attempt towards the endpoint's load before it is sent."""
        self._loads.add_attempt(target.status, tracked.arrival.standing, now)

    def release_reservation(self, tracked: TrackedRequest) -> None:
        """Stop counting an attempt that was reserved and not sent."""
        if tracked.target is not None:
            self._loads.remove_attempt(tracked.target.status, tracked.arrival.standing)
            tracked.target = None

    def send(
        self,
        tracked: TrackedRequest,
        target: messages.EndpointAt,
        identity: memory.Identity,
        now: float,
    ) -> list[effects.Effect]:
        """Send an attempt to its reserved endpoint."""
        idempotent = tracked.arrival.idempotent
        window = 0 if idempotent else tracked.claim.window
        probe_at = now + self._limits.probe_seconds
        attempt = InFlightAttempt(
            identity, target.status, target.agent, target.incarnation, window, now, probe_at
        )
        self._add(tracked, attempt)
        arrival = tracked.arrival
        remaining_seconds = (tracked.deadline - now) / (1 + clocks.CLOCK_RATE_ERROR)
        message = messages.ForwardRequest(
            target.status.endpoint,
            *identity,
            idempotent=idempotent,
            standing=arrival.standing,
            revision=self._replica.revision,
            window=window,
            remaining_ms=max(0, int(remaining_seconds * 1000)),
            method=arrival.method,
            target=arrival.target,
            headers=arrival.headers,
            body=arrival.body,
        )
        return [
            effects.Count("request_attempts"),
            effects.Send(target.agent, message, target.incarnation),
        ]

    def watch_claimed(self, tracked: TrackedRequest, now: float) -> InFlightAttempt:
        """Track an attempt claimed by another submission, to obtain its outcome."""
        claim = tracked.claim
        status = messages.EndpointStatus(
            claim.endpoint, tracked.arrival.service, tracked.schema_version, 0, 0
        )
        identity = (tracked.arrival.team, tracked.arrival.key, claim.attempt)
        attempt = InFlightAttempt(
            identity, status, claim.agent, claim.incarnation, claim.window, now, now, is_own=False
        )
        self._add(tracked, attempt)
        return attempt

    def probe(self, attempt: InFlightAttempt, now: float) -> effects.Effect:
        """Query the agent for the state of an attempt."""
        attempt.probe_at = now + self._limits.probe_seconds * attempt.probe_backoff
        query = messages.QueryOutcome(*attempt.identity, window=attempt.window)
        return effects.Send(attempt.agent, query, attempt.incarnation)

    def find(
        self, event: events.Received, identity: memory.Identity
    ) -> Iterator[tuple[TrackedRequest, InFlightAttempt]]:
        """Yield the requests that wait for this attempt from the sender of the event."""
        for tracked in list(self._by_identity.get(identity, ())):
            attempt = tracked.in_flight_attempts.get(identity)
            if attempt is not None and _is_sender(attempt, event):
                yield tracked, attempt

    def remove(self, tracked: TrackedRequest, attempt: InFlightAttempt) -> None:
        """Stop waiting for an attempt."""
        del tracked.in_flight_attempts[attempt.identity]
        waiting = self._by_identity[attempt.identity]
        waiting.remove(tracked)
        if not waiting:
            del self._by_identity[attempt.identity]
        if attempt.is_own:
            self._loads.remove_attempt(attempt.endpoint, tracked.arrival.standing)

    def record_latency(self, tracked: TrackedRequest, attempt: InFlightAttempt, now: float) -> None:
        """Adapt the endpoint's concurrency limit to the latency of an answered attempt."""
        if attempt.is_own and not tracked.arrival.standing:
            load = self._loads.get(attempt.endpoint)
            load.concurrency.record_latency(now - attempt.sent_at, now)

    def record_running(self, attempt: InFlightAttempt) -> None:
        """Record that the agent reports an attempt as running, and double the probe interval.

        For an attempt of another submission the interval stays the same, because the agent sends
        this entry no reply without a query.
        """
        attempt.is_running = True
        if attempt.is_own:
            attempt.probe_backoff = min(MAX_PROBE_BACKOFF, attempt.probe_backoff * 2)

    def record_refusal(
        self, attempt: InFlightAttempt, reason: messages.RefusalReason, now: float
    ) -> None:
        """Lower the concurrency limit or avoid the endpoint, depending on the reason."""
        if not attempt.is_own:
            return
        load = self._loads.get(attempt.endpoint)
        if reason is messages.RefusalReason.OVERLOADED:
            load.concurrency.record_overload(now)
        if reason in answers.AVOID_ENDPOINT:
            load.avoid_until = now + AVOID_SECONDS

    def record_load(
        self, event: events.Received, answer: messages.RequestAnswer, attempt: InFlightAttempt
    ) -> None:
        """Record the load and the request window that an agent reports with a reply."""
        if attempt.is_own:
            self._loads.get(attempt.endpoint).reported = answer.in_flight
            self._windows[event.sender] = (event.incarnation, answer.window)

    def is_hedge_due(self, tracked: TrackedRequest, now: float) -> bool:
        """Return whether the only attempt of an idempotent request is unusually slow."""
        arrival = tracked.arrival
        if not arrival.idempotent or arrival.standing or tracked.attempt_count != 1:
            return False
        if len(tracked.in_flight_attempts) != 1:
            return False
        (attempt,) = tracked.in_flight_attempts.values()
        typical_seconds = self._loads.get(attempt.endpoint).concurrency.latency_seconds
        threshold_seconds = max(
            self._limits.min_hedge_seconds, self._limits.hedge_latency_factor * typical_seconds
        )
        return typical_seconds > 0 and now - attempt.sent_at >= threshold_seconds

    def is_replaced(self, tracked: TrackedRequest, attempt: InFlightAttempt) -> bool:
        """Return whether a different incarnation of the attempt's agent was announced."""
        return any(
            endpoint.agent == attempt.agent and endpoint.incarnation != attempt.incarnation
            for endpoint in self._find_endpoints(tracked)
        )

    def evict_unused(self, now: float) -> None:
        """Evict the loads of endpoints that have been unused for a long time."""
        self._loads.evict_unused(now)

    def dump(self) -> dict[str, object]:
        """Return the endpoint loads as JSON types."""
        return self._loads.dump()

    def _add(self, tracked: TrackedRequest, attempt: InFlightAttempt) -> None:
        tracked.in_flight_attempts[attempt.identity] = attempt
        self._by_identity.setdefault(attempt.identity, []).append(tracked)

    def _find_endpoints(self, tracked: TrackedRequest) -> list[messages.EndpointAt]:
        return self._directory.find_endpoints(tracked.arrival.service, tracked.schema_version)

    def _update_window(self, target: messages.EndpointAt) -> messages.EndpointAt:
        incarnation, window = self._windows.get(target.agent, ("", 0))
        if incarnation != target.incarnation or window <= target.status.window:
            return target
        status = msgspec.structs.replace(target.status, window=window)
        return msgspec.structs.replace(target, status=status)


def _is_sender(attempt: InFlightAttempt, event: events.Received) -> bool:
    return attempt.agent == event.sender and attempt.incarnation == event.incarnation
