"""Attempts in flight: choice of an endpoint, sending, probing and matching of answers."""

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

MAX_PROBE_PATIENCE = 32
"""Bound on the growth of the time between probes of a long request; standing requests last
minutes, and thousands of them must not be probed every second."""
AVOID_SECONDS = 1.0
"""How long an endpoint that is down or leaving gets no attempts; about one announcement."""

Flight = tracking.Flight
TrackedRequest = tracking.TrackedRequest


class ConfigurationView(Protocol):
    """What the entry side reads of the configuration replica."""

    @property
    def revision(self) -> ids.Revision:
        """Return the revision in force in this process."""
        ...

    @property
    def ready(self) -> bool:
        """Return whether the store or a peer has confirmed the configuration."""
        ...

    def resolve_schema_version(self, service: ids.ServiceName, order_kind: str) -> int | None:
        """Return the schema version that serves an order kind."""
        ...


class DirectoryView(Protocol):
    """What the entry side reads of the endpoint directory."""

    def find_endpoints(
        self, service: ids.ServiceName, schema_version: int
    ) -> list[messages.EndpointAt]:
        """Return the endpoints that take new requests."""
        ...


class Dispatcher:
    """Send attempts and match their answers by identity and agent."""

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
        self._loads = routing.LoadBook()
        self._by_identity: dict[memory.Identity, list[TrackedRequest]] = {}
        self._windows: dict[ids.ProcessId, tuple[ids.Incarnation, int]] = {}

    def make_key(self) -> ids.IdempotencyKey:
        """Return a fresh key for an attempt of an idempotent request."""
        return ids.IdempotencyKey(f"{self._incarnation}/{next(self._numbers)}")

    def choose(self, tracked: TrackedRequest, now: float) -> messages.EndpointAt | None:
        """Return the endpoint for the next attempt, or None if none has room."""
        busy = {flight.endpoint.endpoint for flight in tracked.flights.values()}
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
        """Return whether any endpoint serves the request, with room or not."""
        return bool(self._find_endpoints(tracked))

    def reserve(self, tracked: TrackedRequest, target: messages.EndpointAt, now: float) -> None:
        """Count an attempt at the endpoint before it is sent."""
        self._loads.begin(target.status, tracked.arrival.standing, now)

    def drop_reservation(self, tracked: TrackedRequest) -> None:
        """Stop counting an attempt that is claimed and not sent."""
        if tracked.target is not None:
            self._loads.end(tracked.target.status, tracked.arrival.standing)
            tracked.target = None

    def send(
        self,
        tracked: TrackedRequest,
        target: messages.EndpointAt,
        identity: memory.Identity,
        now: float,
    ) -> list[effects.Effect]:
        """Send an attempt to the endpoint that was reserved for it."""
        idempotent = tracked.arrival.idempotent
        window = 0 if idempotent else tracked.claim.window
        probe_at = now + self._limits.probe_seconds
        flight = Flight(
            identity, target.status, target.agent, target.incarnation, window, now, probe_at
        )
        self._add(tracked, flight)
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

    def ask(self, tracked: TrackedRequest, now: float) -> Flight:
        """Await the outcome of the attempt of another submission that the claim names."""
        claim = tracked.claim
        status = messages.EndpointStatus(
            claim.endpoint, tracked.arrival.service, tracked.schema_version, 0, 0
        )
        identity = (tracked.arrival.team, tracked.arrival.key, claim.attempt)
        flight = Flight(
            identity, status, claim.agent, claim.incarnation, claim.window, now, now, own=False
        )
        self._add(tracked, flight)
        return flight

    def probe(self, flight: Flight, now: float) -> effects.Effect:
        """Ask the agent what became of an attempt."""
        flight.probe_at = now + self._limits.probe_seconds * flight.patience
        query = messages.QueryOutcome(*flight.identity, window=flight.window)
        return effects.Send(flight.agent, query, flight.incarnation)

    def find(
        self, event: events.Received, identity: memory.Identity
    ) -> Iterator[tuple[TrackedRequest, Flight]]:
        """Yield the requests that wait for an attempt which the sender of the event carries."""
        for tracked in list(self._by_identity.get(identity, ())):
            flight = tracked.flights.get(identity)
            if flight is not None and _is_sender(flight, event):
                yield tracked, flight

    def remove(self, tracked: TrackedRequest, flight: Flight) -> None:
        """Stop waiting for an attempt."""
        del tracked.flights[flight.identity]
        waiting = self._by_identity[flight.identity]
        waiting.remove(tracked)
        if not waiting:
            del self._by_identity[flight.identity]
        if flight.own:
            self._loads.end(flight.endpoint, tracked.arrival.standing)

    def record_latency(self, tracked: TrackedRequest, flight: Flight, now: float) -> None:
        """Adapt the endpoint's concurrency limit to an answered attempt."""
        if flight.own and not tracked.arrival.standing:
            load = self._loads.get(flight.endpoint)
            load.concurrency.record_latency(now - flight.sent_at, now)

    def confirm_running(self, flight: Flight) -> None:
        """Note that an agent reports an attempt as running, and ask less and less often.

        Another submission asks at the same pace, because it gets no answer without asking.
        """
        flight.running = True
        if flight.own:
            flight.patience = min(MAX_PROBE_PATIENCE, flight.patience * 2)

    def record_refusal(self, flight: Flight, reason: messages.RefusalReason, now: float) -> None:
        """Adapt to a refusal."""
        if not flight.own:
            return
        load = self._loads.get(flight.endpoint)
        if reason is messages.RefusalReason.OVERLOADED:
            load.concurrency.record_overload(now)
        if reason in answers.LEAVE_ENDPOINT:
            load.avoid_until = now + AVOID_SECONDS

    def learn(self, event: events.Received, answer: messages.RequestAnswer, flight: Flight) -> None:
        """Remember the load and the request window that an agent reports with an answer."""
        if flight.own:
            self._loads.get(flight.endpoint).reported = answer.in_flight
            self._windows[event.sender] = (event.incarnation, answer.window)

    def is_hedge_due(self, tracked: TrackedRequest, now: float) -> bool:
        """Return whether the single attempt of an idempotent request is unusually slow."""
        arrival = tracked.arrival
        if not arrival.idempotent or arrival.standing or tracked.attempts != 1:
            return False
        if len(tracked.flights) != 1:
            return False
        (flight,) = tracked.flights.values()
        usual = self._loads.get(flight.endpoint).concurrency.latency_seconds
        patience = max(self._limits.min_hedge_seconds, self._limits.hedge_latency_factor * usual)
        return usual > 0 and now - flight.sent_at >= patience

    def is_replaced(self, tracked: TrackedRequest, flight: Flight) -> bool:
        """Return whether another incarnation of the attempt's agent has announced itself."""
        return any(
            endpoint.agent == flight.agent and endpoint.incarnation != flight.incarnation
            for endpoint in self._find_endpoints(tracked)
        )

    def forget_unused(self, now: float) -> None:
        """Forget endpoints that have not been used for long."""
        self._loads.forget_unused(now)

    def dump(self) -> dict[str, object]:
        """Return the loads as JSON types."""
        return self._loads.dump()

    def _add(self, tracked: TrackedRequest, flight: Flight) -> None:
        tracked.flights[flight.identity] = flight
        self._by_identity.setdefault(flight.identity, []).append(tracked)

    def _find_endpoints(self, tracked: TrackedRequest) -> list[messages.EndpointAt]:
        return self._directory.find_endpoints(tracked.arrival.service, tracked.schema_version)

    def _update_window(self, target: messages.EndpointAt) -> messages.EndpointAt:
        incarnation, window = self._windows.get(target.agent, ("", 0))
        if incarnation != target.incarnation or window <= target.status.window:
            return target
        status = msgspec.structs.replace(target.status, window=window)
        return msgspec.structs.replace(target, status=status)


def _is_sender(flight: Flight, event: events.Received) -> bool:
    return flight.agent == event.sender and flight.incarnation == event.incarnation
