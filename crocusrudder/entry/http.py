"""HTTP interface of an entry for callers and operators."""

import uuid

import curio
import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.entry import errors
from crocusrudder.hosting import core_bridge
from crocusrudder.hosting import http_messages
from crocusrudder.requests import outcomes
from crocusrudder.requests import standing

SERVICE_PATH = ("v1", "services")
DEFAULT_TIMEOUT_SECONDS = 10.0
MAX_TIMEOUT_SECONDS = 600.0
CORE_GRACE_SECONDS = 10.0
"""Time after a request's own timeout within which the core must respond to it."""
MAX_KEY_CHARACTERS = 200
MAX_TEAM_CHARACTERS = 64

OUTCOME_HEADER = "crocusrudder-outcome"
CODE_HEADER = "crocusrudder-code"
REPLAYED_HEADER = "crocusrudder-replayed"

_NOT_RUN_STATUSES = {
    outcomes.Reason.KEY_MISSING: 400,
    outcomes.Reason.KEY_REUSED: 422,
    outcomes.Reason.NO_SUCH_SERVICE: 404,
}
_HINTS = {
    outcomes.Reason.KEY_MISSING: "add an Idempotency-Key header",
    outcomes.Reason.KEY_REUSED: "use a new Idempotency-Key for another request",
    outcomes.Reason.NO_SUCH_SERVICE: "check the service and the order kind",
}
_RETRY_HINT = "repeat it after the number of seconds in Retry-After"
_UNKNOWN_HINT = "repeat it with the same Idempotency-Key and Request-Repeat: true"
_OWN_HEADERS = {"connection", "host", "content-length", "transfer-encoding", "expect"}


class CallerTimeouts(msgspec.Struct, frozen=True):
    """Timeouts of callers' requests, in seconds."""

    default: float = DEFAULT_TIMEOUT_SECONDS
    """Used without a ``Request-Timeout`` header; standing requests then get ``maximum``."""
    maximum: float = MAX_TIMEOUT_SECONDS


DEFAULT_TIMEOUTS = CallerTimeouts()


class EntryHttp(core_bridge.CoreBridge):
    """Serve callers and operators.

    ``respond_to_caller`` is the sync handler of the core's ``AnswerCaller`` effect.
    """

    def __init__(self, post: core_bridge.Post, timeouts: CallerTimeouts = DEFAULT_TIMEOUTS) -> None:
        super().__init__(post)
        self._timeouts = timeouts

    def respond_to_caller(self, effect: effects.AnswerCaller) -> None:
        """Resolve the caller's request that the effect answers."""
        self.resolve(effect.request, effect)

    async def handle_request(self, request: http_messages.Request) -> http_messages.Response:
        """Return the response to one HTTP request.

        Raises ``HttpError`` for a malformed request, or if the core does not respond to an operator
        in time.
        """
        if request.path[:2] == SERVICE_PATH:
            return await self._serve_caller(request)
        return await self.serve_operator(request)

    async def _serve_caller(self, request: http_messages.Request) -> http_messages.Response:
        arrival = make_arrival(request, self._timeouts)
        request_id = ids.RequestId(uuid.uuid4().hex)
        event = events.CallerArrived(request_id, arrival)
        timeout_seconds = arrival.timeout_seconds + CORE_GRACE_SECONDS
        try:
            answer = await self.request(request_id, event, timeout_seconds)
        except curio.TaskTimeout:
            answer = None
        except curio.CancelledError:
            async with curio.disable_cancellation():
                await self._post(events.CallerDisconnected(request_id))
            raise
        if answer is None:
            return make_caller_response(outcomes.OutcomeUnknown(outcomes.Reason.ANSWER_LOST))
        return make_caller_response(answer.outcome)


def make_arrival(
    request: http_messages.Request, timeouts: CallerTimeouts = DEFAULT_TIMEOUTS
) -> outcomes.Arrival:
    """Parse a caller's HTTP request.

    Raises ``BadRequestError`` if a part of it is missing or malformed.
    """
    path = request.path
    if len(path) < 4:
        raise errors.BadRequestError("the path must be /v1/services/<service>/<order kind>[/rest]")
    team = request.get_header("team")
    if not 0 < len(team) <= MAX_TEAM_CHARACTERS or "/" in team:
        raise errors.BadRequestError(
            f"the Team header must have 1 to {MAX_TEAM_CHARACTERS} characters and no slash"
        )
    key = request.get_header("idempotency-key")
    # Entries give idempotent attempts keys with a slash; a caller's key must not equal one.
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable() or "/" in key:
        raise errors.BadRequestError(
            f"the Idempotency-Key header must have at most {MAX_KEY_CHARACTERS} printable"
            " characters and no slash"
        )
    is_standing = standing.OFFSET_HEADER in dict(request.headers)
    if is_standing and request.method != "GET":
        raise errors.BadRequestError(
            f"a standing request must be a GET request, not {request.method}"
        )
    return outcomes.Arrival(
        ids.TeamId(team),
        ids.ServiceName(path[2]),
        path[3],
        request.method,
        _make_endpoint_target(request.target),
        tuple(header for header in request.headers if header[0] not in _OWN_HEADERS),
        request.body,
        ids.IdempotencyKey(key),
        _read_timeout(request, timeouts, is_standing),
        is_standing,
        request.get_header("request-repeat") == "true",
    )


def make_caller_response(outcome: outcomes.Outcome) -> http_messages.Response:
    """Return the HTTP response for the outcome of a caller's request."""
    if isinstance(outcome, outcomes.Done):
        response = outcome.response
        outcome_headers = [(OUTCOME_HEADER, "done")]
        if outcome.replayed:
            outcome_headers.append((REPLAYED_HEADER, "true"))
        return http_messages.Response(
            response.status, (*response.headers, *outcome_headers), response.body
        )
    if isinstance(outcome, outcomes.OutcomeUnknown):
        outcome_headers = ((OUTCOME_HEADER, "outcome-unknown"),)
        text = "the request may have run"
        return _make_refusal(504, outcome.reason, text, _UNKNOWN_HINT, outcome_headers)
    status = _NOT_RUN_STATUSES.get(outcome.reason, 503)
    hint = _HINTS.get(outcome.reason, _RETRY_HINT)
    outcome_headers = (
        (OUTCOME_HEADER, "not-run"),
        ("retry-after", str(outcome.retry_after_seconds)),
    )
    return _make_refusal(status, outcome.reason, "the request did not run", hint, outcome_headers)


def _make_refusal(
    status: int,
    reason: outcomes.Reason,
    text: str,
    hint: str,
    headers: tuple[tuple[str, str], ...],
) -> http_messages.Response:
    content = {"code": reason.value, "message": text, "hint": hint, "problems": []}
    all_headers = (*headers, (CODE_HEADER, reason.value))
    return http_messages.make_json_response(status, content, all_headers)


def _make_endpoint_target(target: str) -> str:
    """Return the target without the prefix of the service: ``/<order kind>[/rest][?query]``."""
    path, separator, query = target.partition("?")
    segments = [segment for segment in path.split("/") if segment]
    return f"/{'/'.join(segments[3:])}{separator}{query}"


def _read_timeout(
    request: http_messages.Request, timeouts: CallerTimeouts, is_standing: bool
) -> float:
    default = timeouts.maximum if is_standing else timeouts.default
    text = request.get_header("request-timeout", str(default))
    try:
        seconds = float(text)
    except ValueError:
        raise errors.BadRequestError(f"Request-Timeout {text!r} is not a number") from None
    if not 0 < seconds <= timeouts.maximum:
        raise errors.BadRequestError(
            f"Request-Timeout {text!r} is not above 0 and at most {timeouts.maximum:g} seconds"
        )
    return seconds
