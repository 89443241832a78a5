"""Non-blocking output of log lines, with a rate limit per event."""

import os
import time

LINES_PER_SECOND = 200
"""Maximum lines per event and second; a busy owner writes about 60 of one event."""


class LineStream:
    """Write whole lines to a descriptor without blocking; drop lines that would block."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._unwritten = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """Return the number of lines dropped so far."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line, or drop it if the descriptor cannot accept data."""
        self._unwritten = self._write_available(self._unwritten)
        if self._unwritten:
            self._dropped += 1
            return
        data = text.encode()
        rest = self._write_available(data)
        if len(rest) == len(data):
            self._dropped += 1
        else:
            # The remainder of a partly written line is written before any other line.
            self._unwritten = rest

    def flush(self) -> None:
        """Do nothing; only the remainder of a partly written line is buffered."""

    def _write_available(self, data: bytes) -> bytes:
        """Write as much as possible without blocking; return the remainder."""
        if not data:
            return data
        try:
            return data[os.write(self._descriptor, data) :]
        except BlockingIOError:
            return data


class LineRateLimiter:
    """Limit the number of log lines per event in each second."""

    def __init__(self, lines_per_second: int = LINES_PER_SECOND) -> None:
        self._limit = lines_per_second
        self._second = 0
        self._counts: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    def admit(self, event: str, now: float | None = None) -> bool:
        """Count a line of an event and return whether it may be written."""
        second = int(time.monotonic() if now is None else now)
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= self._limit:
            return True
        self._dropped[event] = self._dropped.get(event, 0) + 1
        return False

    def drain_dropped(self) -> dict[str, int]:
        """Return and clear the number of dropped lines by event."""
        dropped, self._dropped = self._dropped, {}
        return dropped
