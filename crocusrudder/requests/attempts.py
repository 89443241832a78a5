"""States of the attempts that an agent has received, and which attempts it may still accept."""

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.requests import memory
from crocusrudder.wire import messages

AttemptState = messages.AttemptState
RefusalReason = messages.RefusalReason


class ForwardedAttempt(msgspec.Struct, eq=False):
    """A forwarded attempt as received by the agent. ``deadline`` is on the agent's clock."""

    identity: memory.Identity
    sender: ids.ProcessId
    incarnation: ids.Incarnation
    message: messages.ForwardRequest
    arrived_at: float
    deadline: float
    started_at: float = 0.0

    def make_request(self) -> effects.EndpointRequest:
        message = self.message
        return effects.EndpointRequest(
            message.method, message.target, message.headers, message.body
        )


class AttemptLog:
    """Attempt records by request window, retained responses and detection of repeated attempts.

    Idempotent attempts carry window 0; their entry numbers their keys instead.
    """

    def __init__(self, max_attempts: int, max_response_bytes: int) -> None:
        self._attempts = memory.AttemptRecords(max_attempts)
        self._recent = memory.RecentAttempts()
        self._filter = memory.ReplayFilter()
        self._responses = memory.ResponseStore(max_response_bytes)
        self._started_at: float | None = None
        self._window = 1
        self._closed_window = 0

    @property
    def window(self) -> int:
        """Return the current request window, counted from 1."""
        return self._window

    def advance(self, now: float) -> None:
        """Advance to the request window of ``now`` and evict expired windows."""
        if self._started_at is None:
            self._started_at = now
        window = 1 + int((now - self._started_at) / memory.WINDOW_SECONDS)
        if window > self._window:
            self._window = window
            self._attempts.evict_before(window - memory.RETAINED_WINDOWS)

    def find(self, message: messages.ForwardRequest) -> memory.Attempt | None:
        """Return the record of a forwarded attempt, or None."""
        identity = (message.team, message.key, message.attempt)
        return (self._recent if message.idempotent else self._attempts).get(identity)

    def get_response(self, identity: memory.Identity) -> messages.Response | None:
        """Return the response to an attempt, or None if it is not retained."""
        return self._responses.get(identity)

    def is_repeated(self, message: messages.ForwardRequest) -> bool:
        """Return whether an idempotent attempt was received before or is too old to check.

        Records the key of the attempt as received.
        """
        return self._filter.check_and_add(message.key) is not memory.KeyStatus.FRESH

    def find_permanent_refusal(self, message: messages.ForwardRequest) -> RefusalReason | None:
        """Return why an attempt can never be accepted, or None.

        Such a refusal needs no record, because it applies to every later repeat too. Closes the
        current window if no further attempt can be recorded.
        """
        oldest = max(1, self._window - memory.ACCEPTED_WINDOWS)
        if not oldest <= message.window <= self._window:
            return RefusalReason.TOMBSTONED
        if self._attempts.has_later((message.team, message.key, message.attempt)):
            return RefusalReason.TOMBSTONED
        if self._attempts.is_full:
            # The refusal cannot be recorded, so no attempt of this window may be accepted later.
            self._closed_window = self._window
        if message.window <= self._closed_window:
            return RefusalReason.OVERLOADED
        return None

    def record_running(self, message: messages.ForwardRequest) -> memory.Attempt:
        """Add the record of an attempt, in state RUNNING."""
        identity = (message.team, message.key, message.attempt)
        attempt = memory.Attempt(message.attempt, AttemptState.RUNNING)
        if message.idempotent:
            return self._recent.add(identity, attempt)
        return self._attempts.add(identity, message.window, attempt)

    def record_refusal(self, message: messages.ForwardRequest, reason: RefusalReason) -> None:
        """Change an attempt from RUNNING to NEVER_STARTED, with the reason."""
        attempt = self.find(message)
        if attempt is not None:
            attempt.state = AttemptState.NEVER_STARTED
            attempt.reason = reason

    def record_end(
        self, message: messages.ForwardRequest, response: messages.Response | None
    ) -> AttemptState:
        """Record the end of a running attempt and return its state.

        The state is BROKEN if there is no response.
        """
        state = AttemptState.BROKEN if response is None else AttemptState.ANSWERED
        attempt = self.find(message)
        if attempt is not None:
            attempt.state = state
        if response is not None:
            self._responses.put((message.team, message.key, message.attempt), response)
        return state

    def query(self, identity: memory.Identity, window: int) -> AttemptState:
        """Return the state of an attempt.

        An unknown attempt that certainly has not run is tombstoned, so that it never starts later;
        any other unknown attempt may have run and is BROKEN.
        """
        known = self._attempts.get(identity) or self._recent.get(identity)
        if known is not None:
            return known.state
        tombstone = memory.Attempt(
            identity[2], AttemptState.NEVER_STARTED, RefusalReason.TOMBSTONED
        )
        if window == 0:
            if self._filter.check_and_add(identity[1]) is not memory.KeyStatus.FRESH:
                return AttemptState.BROKEN
            return self._recent.add(identity, tombstone).state
        if not self._can_tombstone(window):
            return AttemptState.BROKEN
        return self._attempts.add(identity, window, tombstone).state

    def dump(self) -> dict[str, object]:
        """Return the windows and the sizes as JSON types."""
        return {
            "window": self._window,
            "closed_window": self._closed_window,
            "attempts": len(self._attempts),
            "recent_attempts": len(self._recent),
            "responses": len(self._responses),
            "response_bytes": self._responses.bytes,
        }

    def _can_tombstone(self, window: int) -> bool:
        oldest = self._window - memory.RETAINED_WINDOWS
        return oldest <= window <= self._window and not self._attempts.is_full
