"""Token buckets on a caller-supplied clock."""

from collections.abc import Hashable


class TokenBucket:
    """Allow ``rate`` units per second on average and at most ``burst`` at once."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at: float | None = None

    def count_available(self, now: float) -> int:
        """Return how many whole units may be taken now."""
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        return int(self._tokens)

    def try_take(self, now: float, amount: int = 1) -> bool:
        """Take ``amount`` units if they are available."""
        if self.count_available(now) < amount:
            return False
        self._tokens -= amount
        return True


class KeyedBuckets:
    """One bucket for all and one for each key; a unit is taken from both or from neither."""

    def __init__(self, common: tuple[float, float], each: tuple[float, float]) -> None:
        self._common = TokenBucket(*common)
        self._each = each
        self._buckets: dict[Hashable, TokenBucket] = {}

    def count_available(self, now: float) -> int:
        """Return how many units the common bucket has."""
        return self._common.count_available(now)

    def has_available(self, key: Hashable, now: float) -> bool:
        """Return whether the key's bucket has a unit."""
        return self._find(key).count_available(now) > 0

    def try_take(self, key: Hashable, now: float) -> bool:
        """Take one unit from the common bucket and the key's."""
        if not self._common.count_available(now) or not self.has_available(key, now):
            return False
        return self._common.try_take(now) and self._find(key).try_take(now)

    def _find(self, key: Hashable) -> TokenBucket:
        if key not in self._buckets:
            self._buckets[key] = TokenBucket(*self._each)
        return self._buckets[key]
