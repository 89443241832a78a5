"""Token buckets on a caller-supplied clock."""

from collections.abc import Hashable


class TokenBucket:
    """Allow ``rate`` units per second on average and up to ``burst`` at once."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at: float | None = None

    def count_available(self, now: float) -> int:
        """Return how many whole units are available, after refilling the bucket."""
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        return int(self._tokens)

    def try_take(self, now: float, amount: int = 1) -> bool:
        """Take ``amount`` units, or none if fewer are available."""
        if self.count_available(now) < amount:
            return False
        self._tokens -= amount
        return True


class KeyedBuckets:
    """A shared bucket and one per key; a unit is taken from both or from neither."""

    def __init__(self, shared: tuple[float, float], per_key: tuple[float, float]) -> None:
        self._shared = TokenBucket(*shared)
        self._per_key = per_key
        self._buckets: dict[Hashable, TokenBucket] = {}

    def count_available(self, now: float) -> int:
        """Return how many whole units the shared bucket has."""
        return self._shared.count_available(now)

    def has_available(self, key: Hashable, now: float) -> bool:
        """Return whether the bucket of a key has a unit; the shared one is not checked."""
        return self._find(key).count_available(now) > 0

    def try_take(self, key: Hashable, now: float) -> bool:
        """Take one unit from the shared bucket and the key's, if both have one."""
        if not self._shared.count_available(now) or not self.has_available(key, now):
            return False
        return self._shared.try_take(now) and self._find(key).try_take(now)

    def _find(self, key: Hashable) -> TokenBucket:
        if key not in self._buckets:
            self._buckets[key] = TokenBucket(*self._per_key)
        return self._buckets[key]
