"""HTTP of an entry: turn requests into events of the core and its answers into responses."""

import collections
import socket
import uuid
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import curio.io
import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.entry import errors
from crocusrudder.hosting import http_messages
from crocusrudder.requests import outcomes
from crocusrudder.requests import standing

SERVICE_PATH = ("v1", "services")
DEFAULT_TIMEOUT_SECONDS = 10.0
MAX_TIMEOUT_SECONDS = 600.0
CORE_GRACE_SECONDS = 10.0
"""Time beyond a request's own in which the core must have answered it."""
OPERATOR_TIMEOUT_SECONDS = 60.0
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
_OWN_HEADERS = {"connection", "host", "content-length", "transfer-encoding", "expect"}

Post = Callable[[events.Event], Awaitable[None]]


class EntryHttp:
    """Wait for the core's answer to each request.

    ``post`` queues an event for the core. ``answer_caller`` and ``answer_operator`` are the plain
    functions that carry out the core's effects; ``deliver_forever`` wakes the requests they answer.
    """

    def __init__(self, post: Post) -> None:
        self._post = post
        self._waiting: dict[str, curio.Event] = {}
        self._answers: dict[str, effects.Effect] = {}
        self._answered: collections.deque[str] = collections.deque()
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for the core."""
        return len(self._waiting)

    def answer_caller(self, effect: effects.AnswerCaller) -> None:
        """Take the answer to a caller."""
        self._take(effect.request, effect)

    def answer_operator(self, effect: effects.AnswerOperator) -> None:
        """Take the answer to an operator."""
        self._take(effect.operation, effect)

    async def deliver_forever(self) -> None:
        """Wake the requests whose answers were taken."""
        async with curio.io.Socket(self._reader) as notifications:
            while await notifications.recv(64):
                while self._answered:
                    waiting = self._waiting.get(self._answered.popleft())
                    if waiting is not None:
                        await waiting.set()

    def close(self) -> None:
        """Close what wakes the requests; call it when no request waits any more."""
        self._writer.close()

    async def handle_request(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one HTTP request.

        Raises ``HttpError`` for a request that is malformed.
        """
        if request.path[:2] == SERVICE_PATH:
            return await self._serve_caller(request)
        return await self._serve_operator(request)

    async def _serve_caller(self, request: http_messages.Request) -> http_messages.Response:
        arrival = make_arrival(request)
        identity = ids.RequestId(uuid.uuid4().hex)
        event = events.CallerArrived(identity, arrival)
        patience = arrival.timeout_seconds + CORE_GRACE_SECONDS
        try:
            answer = await self._ask(identity, event, patience)
        except curio.TaskTimeout:
            answer = None
        except curio.CancelledError:
            async with curio.disable_cancellation():
                await self._post(events.CallerLeft(identity))
            raise
        if answer is None:
            return make_caller_response(outcomes.OutcomeUnknown(outcomes.Reason.ANSWER_LOST))
        return make_caller_response(answer.outcome)

    async def _serve_operator(self, request: http_messages.Request) -> http_messages.Response:
        operation = ids.OperationId(f"operator:{uuid.uuid4().hex}")
        body = _decode_json(request.body)
        event = events.OperatorAsked(operation, request.method, request.path, request.query, body)
        try:
            answer = await self._ask(operation, event, OPERATOR_TIMEOUT_SECONDS)
        except curio.TaskTimeout:
            raise errors.CoreSilentError("the entry did not answer in time") from None
        return http_messages.make_json_response(answer.status, answer.body)

    async def _ask(self, identity: str, event: events.Event, patience: float) -> effects.Effect:
        waiting = self._waiting[identity] = curio.Event()
        try:
            await self._post(event)
            async with curio.timeout_after(patience):
                await waiting.wait()
            return self._answers[identity]
        finally:
            del self._waiting[identity]
            self._answers.pop(identity, None)

    def _take(self, identity: str, effect: effects.Effect) -> None:
        if identity not in self._waiting or identity in self._answers:
            return
        self._answers[identity] = effect
        notify = not self._answered
        self._answered.append(identity)
        if notify:
            self._writer.send(b"a")


def make_arrival(request: http_messages.Request) -> outcomes.Arrival:
    """Return what a caller asks for.

    Raises ``BadRequestError`` if a part of it is missing or malformed.
    """
    path = request.path
    if len(path) < 4:
        raise errors.BadRequestError("the path is /v1/services/<service>/<order kind>[/rest]")
    team = request.get_header("team")
    if not 0 < len(team) <= MAX_TEAM_CHARACTERS or "/" in team:
        raise errors.BadRequestError("the Team header is missing or malformed")
    key = request.get_header("idempotency-key")
    # A slash would let a key equal one that an entry gives to an idempotent attempt.
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable() or "/" in key:
        raise errors.BadRequestError("the Idempotency-Key header is malformed")
    is_standing = standing.OFFSET_HEADER in dict(request.headers)
    if is_standing and request.method != "GET":
        raise errors.BadRequestError("a standing request is a GET request")
    return outcomes.Arrival(
        ids.TeamId(team),
        ids.ServiceName(path[2]),
        path[3],
        request.method,
        _make_endpoint_target(request.target),
        tuple(header for header in request.headers if header[0] not in _OWN_HEADERS),
        request.body,
        ids.IdempotencyKey(key),
        _read_timeout(request),
        is_standing,
        request.get_header("request-repeat") == "true",
    )


def make_caller_response(outcome: outcomes.Outcome) -> http_messages.Response:
    """Return the HTTP response that tells a caller the outcome."""
    if isinstance(outcome, outcomes.Done):
        response = outcome.response
        marks = [(OUTCOME_HEADER, "done")]
        if outcome.replayed:
            marks.append((REPLAYED_HEADER, "true"))
        return http_messages.Response(response.status, (*response.headers, *marks), response.body)
    code = outcome.reason.value
    if isinstance(outcome, outcomes.OutcomeUnknown):
        marks = (OUTCOME_HEADER, "outcome-unknown"), (CODE_HEADER, code)
        return _make_refusal(504, code, "the request may have run", marks)
    status = _NOT_RUN_STATUSES.get(outcome.reason, 503)
    marks = (OUTCOME_HEADER, "not-run"), (CODE_HEADER, code)
    retry = ("retry-after", str(outcome.retry_after_seconds))
    return _make_refusal(status, code, "the request did not run", (*marks, retry))


def _make_refusal(
    status: int, code: str, text: str, headers: tuple[tuple[str, str], ...]
) -> http_messages.Response:
    hint = "repeat it with the same Idempotency-Key and Request-Repeat: true"
    content = {"code": code, "message": text, "hint": hint, "problems": []}
    return http_messages.make_json_response(status, content, headers)


def _make_endpoint_target(target: str) -> str:
    """Return the path below the service: /<order kind>[/rest][?query]."""
    path, mark, query = target.partition("?")
    segments = [segment for segment in path.split("/") if segment]
    return f"/{'/'.join(segments[3:])}{mark}{query}"


def _read_timeout(request: http_messages.Request) -> float:
    text = request.get_header("request-timeout", str(DEFAULT_TIMEOUT_SECONDS))
    try:
        seconds = float(text)
    except ValueError:
        raise errors.BadRequestError("the Request-Timeout header is not a number") from None
    if not 0 < seconds <= MAX_TIMEOUT_SECONDS:
        raise errors.BadRequestError(f"Request-Timeout is not in 0 to {MAX_TIMEOUT_SECONDS:.0f}")
    return seconds


def _decode_json(body: bytes) -> object:
    if not body:
        return None
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.BadRequestError(f"the body is not JSON: {error}") from error
