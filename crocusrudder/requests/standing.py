"""Segments of standing requests, which poll the endpoint until it has new data.

A poll sends the offset from which to read in ``Standing-Request`` and the maximum time to hold the
poll, in seconds, in ``Standing-Wait``. The endpoint responds 200 with the data after the offset and
the next offset in ``Resume-Offset``, or 204 if there is no data yet. A poll changes no state at the
endpoint, so a dropped response is not lost: the next segment starts at the same offset.
"""

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.requests import attempts
from crocusrudder.requests import memory
from crocusrudder.requests import slots
from crocusrudder.wire import messages

OFFSET_HEADER = "standing-request"
WAIT_HEADER = "standing-wait"
RESUME_HEADER = "resume-offset"

MAX_SEGMENT_SECONDS = 600.0
SEGMENT_SHARE = 0.9
"""Share of the remaining time after which a segment ends, so that its response reaches the caller
before the deadline."""
POLL_WAIT_SECONDS = 1.0
POLL_TIMEOUT_SECONDS = 5.0
POLL_PAUSE_SECONDS = 0.5
NO_CONTENT_STATUS = 204


class Segment(msgspec.Struct, eq=False):
    """One segment of a standing request at an agent."""

    forwarded: attempts.ForwardedAttempt
    endpoint: slots.EndpointSlots
    offset: str
    ends_at: float
    next_poll: float = 0.0
    is_polling: bool = False
    has_reached_endpoint: bool = False

    def make_poll(self) -> effects.EndpointRequest:
        request = self.forwarded.make_request()
        other_headers = [header for header in request.headers if header[0].lower() != OFFSET_HEADER]
        headers = (
            *other_headers,
            (OFFSET_HEADER, self.offset),
            (WAIT_HEADER, str(POLL_WAIT_SECONDS)),
        )
        return msgspec.structs.replace(request, headers=headers)


class SegmentEnd(msgspec.Struct, frozen=True):
    """The end of a segment; ``response`` is None if no poll reached the endpoint."""

    forwarded: attempts.ForwardedAttempt
    response: messages.Response | None


class SegmentPoller:
    """Poll endpoints for the standing requests of one agent."""

    def __init__(self, operations: components.OperationIds) -> None:
        self._operations = operations
        self._segments: dict[memory.Identity, Segment] = {}
        self._polls: dict[ids.OperationId, Segment] = {}

    def __len__(self) -> int:
        return len(self._segments)

    def owns(self, operation: ids.OperationId) -> bool:
        """Return whether an operation is a poll of a segment."""
        return operation in self._polls

    def start(
        self, forwarded: attempts.ForwardedAttempt, endpoint: slots.EndpointSlots, now: float
    ) -> list[effects.Effect]:
        """Start a segment that ends before its request's deadline, and send the first poll."""
        duration = min(MAX_SEGMENT_SECONDS, (forwarded.deadline - now) * SEGMENT_SHARE)
        offset = get_offset(forwarded.message.headers)
        segment = Segment(forwarded, endpoint, offset, now + duration)
        self._segments[forwarded.identity] = segment
        endpoint.standing += 1
        return [effects.Count("gate_segments"), self._poll(segment)]

    def handle(self, event: events.Event, now: float) -> list[SegmentEnd]:
        """Handle the result of a poll and return the end of its segment, if it ends the segment."""
        segment = self._polls.pop(event.operation)
        segment.is_polling = False
        if segment.forwarded.identity not in self._segments:
            return []
        is_unreached = isinstance(event, events.EndpointUnreachable)
        if is_unreached and not segment.has_reached_endpoint:
            return [self._end(segment, None)]
        if not isinstance(event, events.EndpointAnswered):
            return [self._end(segment, make_empty_response(segment.offset))]
        segment.has_reached_endpoint = True
        answer = event.response
        if answer.status != NO_CONTENT_STATUS:
            response = messages.Response(answer.status, answer.headers, answer.body)
            return [self._end(segment, response)]
        segment.next_poll = now + POLL_PAUSE_SECONDS
        return []

    def end_due(self, now: float, stopping: bool) -> list[SegmentEnd]:
        """End the segments whose time has passed or whose endpoint is draining.

        End all segments if ``stopping``.
        """
        due = [
            segment
            for segment in self._segments.values()
            if stopping or segment.endpoint.draining or now >= segment.ends_at
        ]
        return [self._end(segment, make_empty_response(segment.offset)) for segment in due]

    def poll_due(self, now: float) -> list[effects.Effect]:
        """Start the polls that are due."""
        return [
            self._poll(segment)
            for segment in self._segments.values()
            if not segment.is_polling and now >= segment.next_poll
        ]

    def _poll(self, segment: Segment) -> effects.Effect:
        segment.is_polling = True
        operation = self._operations.next()
        self._polls[operation] = segment
        endpoint = segment.endpoint
        request = segment.make_poll()
        timeout = POLL_TIMEOUT_SECONDS
        return effects.CallEndpoint(operation, endpoint.host, endpoint.port, request, timeout)

    def _end(self, segment: Segment, response: messages.Response | None) -> SegmentEnd:
        del self._segments[segment.forwarded.identity]
        segment.endpoint.standing -= 1
        return SegmentEnd(segment.forwarded, response)


def get_offset(headers: tuple[tuple[str, str], ...]) -> str:
    """Return the offset in the caller's headers; "0" if there is none."""
    return next((value for name, value in headers if name.lower() == OFFSET_HEADER), "0") or "0"


def make_empty_response(offset: str) -> messages.Response:
    """Return a response without data, after which the caller resumes from ``offset``."""
    return messages.Response(NO_CONTENT_STATUS, ((RESUME_HEADER, offset),), b"")
