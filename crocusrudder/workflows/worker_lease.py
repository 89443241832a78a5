"""Until when the runs of a worker may go on without a renewal of their lease, as its agent knows.

A renewal names a time on the worker's clock, and calls name the worker's id only. One that was
meant for an earlier incarnation with the same id, and that the next one executes, grants it the
longest lease that the worker allows, as the clocks differ. The lease never shortens and applies to
all runs, those that start later as well.
"""

from crocusrudder.platform import worker
from crocusrudder.workflows import leases

STALE_CALL_SECONDS = worker.CALL_TIMEOUT_SECONDS + 0.5
"""Time for which a call that was sent to the earlier incarnation may be open: the timeout of a
poll, which waits for 0.5 s."""
CLOCK_TOLERANCE_SECONDS = 3.0
"""Difference of two readings of a worker's clock that delays of their responses may explain."""
USUAL_WAIT_SECONDS = leases.LEASE_EXPIRY_SECONDS - 0.15
"""Time for which the owner waits for a silent agent at least, with half of its margin for drift."""
EXPIRY_MARGIN_SECONDS = leases.LEASE_SECONDS * leases.WORKER_CLOCK_ERROR + 0.2
"""Margin after the lease for a slow worker clock and for a list of ends still in transit."""


class WorkerLease:
    """Bounds of the lease of the worker that an agent follows. Times are on the agent's clock."""

    def __init__(self, max_seconds: float, now: float) -> None:
        self._max_seconds = max_seconds * (1 + leases.WORKER_CLOCK_ERROR)
        # An earlier agent process on this machine may have renewed the lease just before.
        self._renewed_until = now + leases.LEASE_SECONDS
        # Or the worker may have executed its call for an earlier incarnation.
        self._unbounded_until = now + self._max_seconds

    def is_over(self, now: float) -> bool:
        """Return whether all runs have ended unless the lease has been renewed."""
        return now > max(self._renewed_until + EXPIRY_MARGIN_SECONDS, self._unbounded_until)

    def get_unbounded_seconds(self, now: float) -> float:
        """Return for how long runs may go on however long ago the last renewal was.

        An owner that counts from the last grant would take them for ended too early. The time is 0
        if the owner's wait for an agent that is silent from now on covers it.
        """
        seconds = self._unbounded_until - now
        return seconds if seconds > USUAL_WAIT_SECONDS else 0.0

    def record_renewal(self, until: float) -> None:
        """Record a renewal, which is assumed to reach the worker."""
        self._renewed_until = max(self._renewed_until, until)

    def record_stale_renewal(self, executed_at: float) -> None:
        """Record that the worker may have executed a call whose time another clock has given."""
        self._unbounded_until = max(self._unbounded_until, executed_at + self._max_seconds)

    def begin_incarnation(self, now: float) -> None:
        """Begin with a worker on which nothing runs, and that no earlier call can reach."""
        self._renewed_until = now
        self._unbounded_until = float("-inf")

    def is_clock_plausible(self, clock_ms: int, known: tuple[int, float], now: float) -> bool:
        """Return whether a reading of the clock can follow an earlier one of the same clock.

        ``known`` is the earlier reading in ms and the time of its receipt.
        """
        elapsed = now - known[1]
        difference = (clock_ms - known[0]) / 1_000 - elapsed
        return abs(difference) <= CLOCK_TOLERANCE_SECONDS + elapsed * leases.WORKER_CLOCK_ERROR
