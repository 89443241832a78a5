"""Bounded in-memory records of attempts at an agent, which prevent repeated execution.

Attempts of non-idempotent requests are recorded by request window. The keys of idempotent attempts
are numbered by their entry, so a bitmap per entry incarnation detects repeats, as in the
anti-replay service of RFC 4303, section 3.4.3.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterator

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages

WINDOW_SECONDS = 600.0
ACCEPTED_WINDOWS = 1
"""A forwarded request may quote the current window or up to this many windows before it."""
RETAINED_WINDOWS = 2
"""Attempts are retained for one window longer than they are accepted, so that the reply to a query
is certain as long as a delayed request of that window may still arrive."""
MAX_ATTEMPTS = 50_000
MAX_RECENT_ATTEMPTS = 4_096
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
RESPONSE_OVERHEAD_BYTES = 256
FILTER_BITS = 16_384
MAX_FILTERS = 512

RequestKey = tuple[ids.TeamId, ids.IdempotencyKey]
Identity = tuple[ids.TeamId, ids.IdempotencyKey, int]


class KeyStatus(enum.Enum):
    """Whether a key was received before."""

    FRESH = "fresh"
    REPEATED = "repeated"
    TOO_OLD = "too-old"


class Attempt(msgspec.Struct):
    """Record of one attempt. Refused and tombstoned attempts stay NEVER_STARTED."""

    number: int
    state: messages.AttemptState
    reason: messages.RefusalReason | None = None
    previous: Attempt | None = None
    """The preceding record of the same request and window."""


class AttemptRecords:
    """Attempt records of the current and the previous windows."""

    def __init__(self, max_attempts: int = MAX_ATTEMPTS) -> None:
        self._max_attempts = max_attempts
        self._count = 0
        self._windows: dict[int, dict[RequestKey, Attempt]] = collections.defaultdict(dict)

    @property
    def is_full(self) -> bool:
        """Return whether no further attempt can be recorded."""
        return self._count >= self._max_attempts

    def __len__(self) -> int:
        return self._count

    def get(self, identity: Identity) -> Attempt | None:
        """Return the record of an attempt."""
        team, key, number = identity
        return next((each for each in self._list(team, key) if each.number == number), None)

    def has_later(self, identity: Identity) -> bool:
        """Return whether a later attempt of the same request is recorded."""
        team, key, number = identity
        return any(each.number > number for each in self._list(team, key))

    def add(self, identity: Identity, window: int, attempt: Attempt) -> Attempt:
        """Record a new attempt."""
        team, key, _ = identity
        attempts = self._windows[window]
        attempt.previous = attempts.get((team, key))
        attempts[team, key] = attempt
        self._count += 1
        return attempt

    def evict_before(self, window: int) -> None:
        """Evict the windows before ``window``, except for requests with a running attempt."""
        for old in [number for number in self._windows if number < window]:
            running = {
                request: attempt
                for request, attempt in self._windows.pop(old).items()
                if any(_is_running(each) for each in _iterate_records(attempt))
            }
            if running:
                self._windows[old] = running
        self._count = sum(
            1
            for attempts in self._windows.values()
            for attempt in attempts.values()
            for _ in _iterate_records(attempt)
        )

    def _list(self, team: ids.TeamId, key: ids.IdempotencyKey) -> Iterator[Attempt]:
        for attempts in self._windows.values():
            yield from _iterate_records(attempts.get((team, key)))


class RecentAttempts:
    """Bounded records of the latest attempts of idempotent requests."""

    def __init__(self, max_attempts: int = MAX_RECENT_ATTEMPTS) -> None:
        self._max_attempts = max_attempts
        self._attempts: collections.OrderedDict[Identity, Attempt] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, identity: Identity) -> Attempt | None:
        """Return the record of an attempt."""
        return self._attempts.get(identity)

    def add(self, identity: Identity, attempt: Attempt) -> Attempt:
        """Record a new attempt and evict the oldest completed ones above the bound."""
        self._attempts[identity] = attempt
        for _ in range(len(self._attempts)):
            if len(self._attempts) <= self._max_attempts:
                break
            oldest, dropped = self._attempts.popitem(last=False)
            if _is_running(dropped):
                # Slots and connections bound the number of running attempts.
                self._attempts[oldest] = dropped
        return attempt


class ResponseStore:
    """Responses retained for repeated attempts; the oldest are evicted above a size in bytes."""

    def __init__(self, max_bytes: int = MAX_RESPONSE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._responses: collections.OrderedDict[Identity, messages.Response] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    @property
    def bytes(self) -> int:
        """Return the approximate size of the retained responses."""
        return self._bytes

    def __len__(self) -> int:
        return len(self._responses)

    def get(self, identity: Identity) -> messages.Response | None:
        """Return the response to an attempt, or None if it is not retained."""
        return self._responses.get(identity)

    def put(self, identity: Identity, response: messages.Response) -> None:
        """Store a response and evict the oldest ones above the bound."""
        self._responses[identity] = response
        self._bytes += measure_response(response)
        while self._bytes > self._max_bytes:
            _, dropped = self._responses.popitem(last=False)
            self._bytes -= measure_response(dropped)


class ReplayFilter:
    """Detect repeated keys of idempotent attempts; keys are ``<entry incarnation>/<number>``."""

    def __init__(self, bits: int = FILTER_BITS, max_filters: int = MAX_FILTERS) -> None:
        self._bits = bits
        self._max_filters = max_filters
        self._filters: collections.OrderedDict[str, tuple[int, int]] = collections.OrderedDict()

    def check_and_add(self, key: ids.IdempotencyKey) -> KeyStatus:
        """Return whether the key is new, and record it.

        A key that does not end in a number of up to 18 digits is TOO_OLD.
        """
        source, _, digits = key.rpartition("/")
        if not digits.isdecimal() or len(digits) > 18:
            return KeyStatus.TOO_OLD
        number = int(digits)
        highest, seen = self._filters.pop(source, (0, 0))
        if number > highest:
            shift = min(number - highest, self._bits)
            seen = (seen << shift) & ((1 << self._bits) - 1)
            highest = number
        status = self._find_status(highest - number, seen)
        if status is KeyStatus.FRESH:
            seen |= 1 << (highest - number)
        self._filters[source] = (highest, seen)
        if len(self._filters) > self._max_filters:
            self._filters.popitem(last=False)
        return status

    def _find_status(self, offset: int, seen: int) -> KeyStatus:
        if offset >= self._bits:
            return KeyStatus.TOO_OLD
        return KeyStatus.REPEATED if seen >> offset & 1 else KeyStatus.FRESH


def _iterate_records(attempt: Attempt | None) -> Iterator[Attempt]:
    while attempt is not None:
        yield attempt
        attempt = attempt.previous


def _is_running(attempt: Attempt) -> bool:
    return attempt.state is messages.AttemptState.RUNNING


def measure_response(response: messages.Response) -> int:
    """Return the approximate size of a response in memory, in bytes."""
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return RESPONSE_OVERHEAD_BYTES + headers + len(response.body)
