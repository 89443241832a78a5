"""Choice of an endpoint for an attempt.

Power of two choices (Mitzenmacher, "The power of two choices in randomized load balancing", 2001)
by requests in flight and latency, preferring the entry's own data centre.
"""

import random as random_module
from collections.abc import Collection
from collections.abc import Iterable

from crocusrudder.core import ids
from crocusrudder.requests import limits
from crocusrudder.wire import messages

EVICTION_SECONDS = 600.0
UNTRIED_LATENCY_SECONDS = 0.001
"""Assumed latency of an endpoint without responses; low, so that new endpoints are tried."""


class EndpointLoad:
    """Load of one endpoint as known to this entry."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.concurrency = limits.ConcurrencyLimit(slots)
        self.in_flight = 0
        self.standing = 0
        self.reported = 0
        self.used_at = 0.0
        self.avoid_until = 0.0

    @property
    def cost(self) -> float:
        """Return the expected wait at the endpoint, in seconds."""
        latency = self.concurrency.latency_seconds or UNTRIED_LATENCY_SECONDS
        return (max(self.in_flight, self.reported) + 1) * latency


class EndpointLoads:
    """Loads of all endpoints that this entry has used."""

    def __init__(self) -> None:
        self._loads: dict[ids.EndpointId, EndpointLoad] = {}

    def get(self, status: messages.EndpointStatus) -> EndpointLoad:
        """Return the load of an endpoint, creating it on first use.

        The concurrency limit starts anew when the number of slots changes.
        """
        load = self._loads.get(status.endpoint)
        if load is None:
            load = self._loads[status.endpoint] = EndpointLoad(status.slots)
        elif load.slots != status.slots:
            load.slots = status.slots
            load.concurrency = limits.ConcurrencyLimit(status.slots)
        return load

    def add_attempt(self, status: messages.EndpointStatus, standing: bool, now: float) -> None:
        load = self.get(status)
        load.used_at = now
        if standing:
            load.standing += 1
        else:
            load.in_flight += 1

    def remove_attempt(self, status: messages.EndpointStatus, standing: bool) -> None:
        load = self.get(status)
        if standing:
            load.standing = max(0, load.standing - 1)
        else:
            load.in_flight = max(0, load.in_flight - 1)

    def has_capacity(self, status: messages.EndpointStatus, standing: bool, now: float) -> bool:
        """Return whether the entry may send the endpoint another request.

        Standing requests use the connections beyond the number of slots.
        """
        load = self.get(status)
        if now < load.avoid_until:
            return False
        if standing:
            return load.standing < status.connections - status.slots
        return load.in_flight < load.concurrency.limit

    def evict_unused(self, now: float) -> None:
        """Evict idle endpoints that have not been used for ``EVICTION_SECONDS``."""
        self._loads = {
            endpoint: load
            for endpoint, load in self._loads.items()
            if load.in_flight or load.standing or now - load.used_at < EVICTION_SECONDS
        }

    def dump(self) -> dict[str, object]:
        """Return the loads as JSON types."""
        return {
            endpoint: {
                "in_flight": load.in_flight,
                "standing": load.standing,
                "limit": load.concurrency.limit,
                "latency_seconds": load.concurrency.latency_seconds,
            }
            for endpoint, load in self._loads.items()
        }


def choose_endpoint(
    endpoints: Iterable[messages.EndpointAt],
    loads: EndpointLoads,
    data_centre: ids.DataCentre,
    standing: bool,
    excluded: Collection[ids.EndpointId],
    random: random_module.Random,
    now: float,
) -> messages.EndpointAt | None:
    """Return the endpoint for the next attempt, or None if no endpoint has free capacity."""
    available = [
        endpoint
        for endpoint in endpoints
        if endpoint.status.endpoint not in excluded
        and loads.has_capacity(endpoint.status, standing, now)
    ]
    local = [endpoint for endpoint in available if endpoint.data_centre == data_centre]
    candidates = local or available
    if len(candidates) > 2:
        candidates = random.sample(candidates, 2)
    return min(
        candidates,
        key=lambda endpoint: loads.get(endpoint.status).cost,
        default=None,
    )
