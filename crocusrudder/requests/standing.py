"""Segments of standing requests: short polls of the endpoint until there is something to tell.

The endpoint gets the offset from which to answer in ``Standing-Request`` and the longest time to
hold the poll, in seconds, in ``Standing-Wait``. It answers 200 with what follows the offset and
the next offset in ``Resume-Offset``, or 204 if there is nothing yet.
"""

import msgspec

from crocusrudder.core import effects
from crocusrudder.requests import attempts
from crocusrudder.requests import slots
from crocusrudder.wire import messages

OFFSET_HEADER = "standing-request"
WAIT_HEADER = "standing-wait"
RESUME_HEADER = "resume-offset"

MAX_SEGMENT_SECONDS = 600.0
SEGMENT_SHARE = 0.9
"""Share of the remaining time after which a segment ends, so that it reaches the caller in time."""
POLL_WAIT_SECONDS = 1.0
POLL_TIMEOUT_SECONDS = 5.0
POLL_PAUSE_SECONDS = 0.5


class Segment(msgspec.Struct, eq=False):
    """One segment of a standing request at the agent."""

    forwarded: attempts.Forwarded
    endpoint: slots.EndpointSlots
    offset: str
    ends_at: float
    next_poll: float = 0.0
    polling: bool = False
    polled: bool = False
    """Whether the endpoint has answered a poll, so that it has seen the request."""

    def make_poll(self) -> effects.EndpointRequest:
        """Return the HTTP request of the next poll."""
        request = self.forwarded.make_request()
        kept = [header for header in request.headers if header[0].lower() != OFFSET_HEADER]
        headers = (*kept, (OFFSET_HEADER, self.offset), (WAIT_HEADER, str(POLL_WAIT_SECONDS)))
        return msgspec.structs.replace(request, headers=headers)

    def make_empty_end(self) -> messages.Response:
        """Return the response that ends the segment without news."""
        return make_empty_response(self.offset)


def start_segment(
    forwarded: attempts.Forwarded, endpoint: slots.EndpointSlots, now: float
) -> Segment:
    """Return a new segment that ends before the deadline of its request."""
    remaining = forwarded.deadline - now
    duration = min(MAX_SEGMENT_SECONDS, remaining * SEGMENT_SHARE)
    return Segment(forwarded, endpoint, get_offset(forwarded.message.headers), now + duration)


def get_offset(headers: tuple[tuple[str, str], ...]) -> str:
    """Return the resume offset that the caller quotes; "0" if it quotes none."""
    return next((value for name, value in headers if name.lower() == OFFSET_HEADER), "0") or "0"


def make_empty_response(offset: str) -> messages.Response:
    """Return a complete response that tells the caller to resume from ``offset``."""
    return messages.Response(204, ((RESUME_HEADER, offset),), b"")
