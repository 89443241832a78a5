"""Slots, connections and the bounded queue of one endpoint."""

import collections

from crocusrudder.requests import attempts
from crocusrudder.wire import messages

SERVICE_TIME_SMOOTHING = 0.2
SUSPEND_SECONDS = 2.0
"""How long an endpoint that refused a connection receives no requests."""
DRAIN_QUEUE_SECONDS = 2.0
"""How long requests queued before an endpoint started to drain may still start."""


class EndpointSlots:
    """Requests running and queued at one announced endpoint.

    Plain requests occupy a slot; standing requests occupy a connection beyond the number of slots.
    """

    def __init__(self, status: messages.EndpointStatus, host: str, port: int) -> None:
        self.status = status
        self.host = host
        self.port = port
        self.running = 0
        self.standing = 0
        self._queue: collections.deque[attempts.ForwardedAttempt] = collections.deque()
        self._service_seconds = 0.0
        self._drain_started_at: float | None = None
        self._suspended_until = float("-inf")

    @property
    def draining(self) -> bool:
        return self._drain_started_at is not None

    @property
    def suspended(self) -> bool:
        """Return whether the endpoint recently refused a connection."""
        return self._suspended_until > float("-inf")

    @property
    def in_flight(self) -> int:
        """Return the number of plain requests that are running or queued."""
        return self.running + len(self._queue)

    @property
    def is_busy(self) -> bool:
        """Return whether any request, plain or standing, is in flight."""
        return bool(self.running or self.standing or self._queue)

    @property
    def has_free_slot(self) -> bool:
        """Return whether a plain request may start immediately."""
        return self.running < self.status.slots

    @property
    def has_free_connection(self) -> bool:
        """Return whether a standing request may start."""
        return self.standing < self.status.connections - self.status.slots

    def can_queue(self, remaining_seconds: float) -> bool:
        """Return whether the queue is short enough for a request to start in time."""
        if len(self._queue) >= max(1, self.status.slots // 2):
            return False
        position = len(self._queue) + 1
        return position * self._service_seconds / max(1, self.status.slots) < remaining_seconds

    def enqueue(self, forwarded: attempts.ForwardedAttempt) -> None:
        self._queue.append(forwarded)

    def pop_startable(self) -> attempts.ForwardedAttempt | None:
        """Remove and return the next queued request, or None if there is none or no free slot."""
        return self._queue.popleft() if self._queue and self.has_free_slot else None

    def pop_expired(self, now: float) -> list[attempts.ForwardedAttempt]:
        """Remove and return the queued requests that may no longer start."""
        is_drain_over = (
            self._drain_started_at is not None
            and now >= self._drain_started_at + DRAIN_QUEUE_SECONDS
        )
        expired = [each for each in self._queue if is_drain_over or each.deadline <= now]
        for forwarded in expired:
            self._queue.remove(forwarded)
        return expired

    def occupy_slot(self) -> None:
        self.running += 1

    def release_slot(self, seconds: float) -> None:
        """Release a slot after a request that ran for ``seconds``, and update the service time."""
        self.running -= 1
        if self._service_seconds == 0:
            self._service_seconds = seconds
        self._service_seconds += SERVICE_TIME_SMOOTHING * (seconds - self._service_seconds)

    def drain(self, now: float) -> None:
        """Mark the endpoint as draining; keep the time of the first call."""
        if self._drain_started_at is None:
            self._drain_started_at = now

    def cancel_drain(self) -> None:
        """Mark the endpoint as available again, because it was announced again."""
        self._drain_started_at = None

    def suspend(self, now: float) -> None:
        """Refuse requests for ``SUSPEND_SECONDS``, because the endpoint refused a connection."""
        self._suspended_until = now + SUSPEND_SECONDS

    def resume_due(self, now: float) -> None:
        """End the suspension if it is due."""
        if now >= self._suspended_until:
            self._suspended_until = float("-inf")

    def dump(self) -> dict[str, object]:
        """Return the state as JSON types."""
        return {
            "host": self.host,
            "port": self.port,
            "draining": self.draining,
            "suspended": self.suspended,
            "running": self.running,
            "standing": self.standing,
            "queued": len(self._queue),
            "service_seconds": self._service_seconds,
        }
