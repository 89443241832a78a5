"""Slots, connections and the short queue of one endpoint."""

import collections

from crocusrudder.requests import attempts
from crocusrudder.wire import messages

SERVICE_TIME_SMOOTHING = 0.2


class EndpointSlots:
    """What one announced endpoint serves at the moment.

    Plain requests occupy a slot; standing ones occupy a connection that the slots leave free.
    """

    def __init__(self, status: messages.EndpointStatus, host: str, port: int) -> None:
        self.status = status
        self.host = host
        self.port = port
        self.draining = False
        self.running = 0
        self.standing = 0
        self.queue: collections.deque[attempts.Forwarded] = collections.deque()
        self._service_seconds = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of accepted plain requests."""
        return self.running + len(self.queue)

    @property
    def busy(self) -> bool:
        """Return whether any request is in flight."""
        return bool(self.running or self.standing or self.queue)

    @property
    def has_slot(self) -> bool:
        """Return whether a plain request may start at once."""
        return self.running < self.status.slots

    @property
    def has_connection(self) -> bool:
        """Return whether a standing request may start."""
        return self.standing < self.status.connections - self.status.slots

    def can_queue(self, remaining_seconds: float) -> bool:
        """Return whether a request may wait: the queue is short and will be served in time."""
        if len(self.queue) >= max(1, self.status.slots // 2):
            return False
        position = len(self.queue) + 1
        return position * self._service_seconds / self.status.slots < remaining_seconds

    def record_service_time(self, seconds: float) -> None:
        """Adapt the expected service time."""
        if self._service_seconds == 0:
            self._service_seconds = seconds
        self._service_seconds += SERVICE_TIME_SMOOTHING * (seconds - self._service_seconds)

    def dump(self) -> dict[str, object]:
        """Return the state as JSON types."""
        return {
            "host": self.host,
            "port": self.port,
            "draining": self.draining,
            "running": self.running,
            "standing": self.standing,
            "queued": len(self.queue),
            "service_seconds": self._service_seconds,
        }
