"""Decide who tries the store while it refuses submissions, and when refused callers return.

Load pattern: the store refuses all calls for some seconds, or takes fewer than there are. If every
submission is refused at the first attempt, callers use up their retries before the store is back;
if each retries on its own, all of them call the store at the moment of its return.

From the first refusal on, one attempt at a time is made, for the submission that has the least time
left, after a delay that grows with the age of the outage. Each success allows one more attempt at a
time, which doubles their number with each round, and a refusal halves it, until no submission waits
any more.
"""

import math
import random

HOLD_SHARE = 0.5
"""Share of a caller's timeout for which its submission is held. A caller that is told after half of
its time can still return, or do without the answer."""
MAX_HOLD_SECONDS = 5.0
"""Longest hold, for callers with a long timeout; after that another entry may do better."""
ANSWER_SHARE = 0.9
"""Share of a caller's timeout after which no attempt goes on, so that the response arrives."""
MAX_HELD_AGE_SECONDS = 10.0
"""Age of an outage from which submissions are refused without being held. An outage is expected to
last about as long again as it has lasted, which by then is several times longer than a hold."""
DELAY_SHARE = 0.02
"""Delay before the next attempt, as a share of the age of the outage."""
MIN_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 0.2
"""Longest delay; it is added to the wait of each submission that is held when the store is back."""
MAX_ATTEMPTS = 12
"""Number of attempts at a time from which the outage is over; a client has 12 connections."""
SILENCE_SECONDS = 5.0
"""Time without a refusal after which an entry without submissions takes an outage for ended."""
MIN_RETRY_SECONDS = 1
MAX_RETRY_SECONDS = 10
"""Longest Retry-After; a caller may wait that long after the end of an outage."""


class StoreOutage:
    """Knowledge of one entry about the store's refusals of submissions."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._began_at: float | None = None
        """Time of the first refusal since the last success."""
        self._refused_at = -math.inf
        self._next_attempt_at = -math.inf
        self._limit = math.inf

    @property
    def is_present(self) -> bool:
        """Return whether attempts are limited."""
        return self._limit < math.inf

    @property
    def next_attempt_at(self) -> float:
        """Return the time before which no attempt may begin."""
        return self._next_attempt_at

    @property
    def attempt_limit(self) -> float:
        """Return how many attempts may be in progress at a time."""
        return self._limit

    def compute_age(self, now: float) -> float:
        """Return the seconds since the first refusal after which nothing was stored."""
        if self._began_at is None or now - self._refused_at > SILENCE_SECONDS:
            return 0.0
        return now - self._began_at

    def compute_hold(self, now: float, timeout_seconds: float) -> float:
        """Return for how many seconds a new submission is held before it is refused."""
        is_long = self.compute_age(now) > MAX_HELD_AGE_SECONDS
        return 0.0 if is_long else min(HOLD_SHARE * timeout_seconds, MAX_HOLD_SECONDS)

    def choose_retry_after(self, now: float) -> int:
        """Return after how many whole seconds a refused caller shall return.

        The mean is 0.4 of the age of the outage, so that with the holds four returns span an
        outage of 12 s and a caller isn't kept away for long after its end. It is spread so that
        callers refused together don't return together.
        """
        age = self.compute_age(now)
        least = min(max(round(0.2 * age), MIN_RETRY_SECONDS), MAX_RETRY_SECONDS - 1)
        most = min(max(round(0.6 * age), least + 1), MAX_RETRY_SECONDS)
        return self._random.randint(least, most)

    def record_refusal(self, now: float) -> bool:
        """Limit the attempts; return whether they were not limited before."""
        is_new = not self.is_present
        if self._began_at is None or now - self._refused_at > SILENCE_SECONDS:
            self._began_at = now
        self._refused_at = now
        self._limit = 1 if is_new else max(self._limit // 2, 1)
        delay = DELAY_SHARE * (now - self._began_at)
        delay = min(max(delay, MIN_DELAY_SECONDS), MAX_DELAY_SECONDS)
        self._next_attempt_at = now + delay * self._random.uniform(0.75, 1.25)
        return is_new

    def record_success(self, waiting: int) -> bool:
        """Allow one more attempt at a time; return whether they are no longer limited."""
        was_present = self.is_present
        self._began_at = None
        self._next_attempt_at = -math.inf
        self._limit += 1
        if not waiting or self._limit >= MAX_ATTEMPTS:
            self._limit = math.inf
        return was_present and not self.is_present
