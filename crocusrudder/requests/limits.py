"""Limits on requests: retry budget, concurrency per endpoint, requests and bytes in flight."""

import msgspec

LATENCY_SMOOTHING = 0.1
BASELINE_SMOOTHING = 0.005
LATENCY_TOLERANCE = 2.5
"""Ratio of recent to baseline latency above which an endpoint is considered overloaded. Service
times vary by about this factor without any queueing."""
DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_SECONDS = 0.5
"""Minimum time between two decreases of a limit. One overload refuses several requests at the same
time and must lower the limit only once."""


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits of request handling at an entry."""

    max_in_flight: int = 2_000
    max_in_flight_bytes: int = 8 * 1024 * 1024
    retry_share: float = 0.1
    retry_burst: float = 10.0
    max_attempts: int = 3
    probe_seconds: float = 1.0
    """Time without a reply after which the agent is queried for the state of an attempt."""
    min_remaining_seconds: float = 0.005
    linger_seconds: float = 30.0
    """How long after a request's deadline a late response is still recorded in the ledger."""
    min_hedge_seconds: float = 0.05
    hedge_latency_factor: float = 3.0
    max_pending_records: int = 2_000
    max_pending_bytes: int = 8 * 1024 * 1024
    record_retry_seconds: float = 1.0
    record_retries_per_tick: int = 1
    """Limits the rate of retries once the store is available again to 10 per second per entry."""
    max_retained_keys: int = 10_000


class RetryBudget:
    """Token bucket that limits retries to a share of first attempts.

    The bucket starts empty, so retries never exceed this share of the first attempts made so far.
    """

    def __init__(self, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = 0.0

    @property
    def tokens(self) -> float:
        """Return the number of retries currently allowed, which may be fractional."""
        return self._tokens

    def count_first_attempt(self) -> None:
        """Add ``share`` of a token for one first attempt, up to ``burst`` tokens."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Take a token for one retry and return whether there was one."""
        # Ten additions of 0.1 give slightly less than 1 in floating point.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        return True


class ConcurrencyLimit:
    """Adaptive limit on one entry's requests in flight to one endpoint.

    Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the increase and
    decrease algorithms for congestion avoidance in computer networks", 1989), driven by latency
    and by overload refusals.
    """

    def __init__(self, slots: int) -> None:
        self._limit = float(max(1, slots))
        self._ceiling = 2.0 * max(1, slots)
        self._latency = 0.0
        self._baseline = 0.0
        self._decreased_at = float("-inf")

    @property
    def limit(self) -> int:
        """Return the maximum number of requests in flight."""
        return int(self._limit)

    @property
    def latency_seconds(self) -> float:
        """Return the smoothed recent latency; 0 before the first response."""
        return self._latency

    def record_latency(self, seconds: float, now: float) -> None:
        """Raise or lower the limit after a response with this latency."""
        if self._baseline == 0:
            self._latency = self._baseline = seconds
        self._latency += LATENCY_SMOOTHING * (seconds - self._latency)
        self._baseline += BASELINE_SMOOTHING * (seconds - self._baseline)
        # Lower latencies apply to the baseline at once, as it estimates latency without queueing.
        self._baseline = min(self._baseline, self._latency)
        if self._latency > LATENCY_TOLERANCE * self._baseline:
            self._decrease(now)
        else:
            self._limit = min(self._ceiling, self._limit + 1 / self._limit)

    def record_overload(self, now: float) -> None:
        """Lower the limit after an overload refusal."""
        self._decrease(now)

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at = now
        self._limit = max(1.0, self._limit * DECREASE_FACTOR)
