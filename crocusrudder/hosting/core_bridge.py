"""Conversion of HTTP requests into core events, and of the core's answers into responses."""

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
from crocusrudder.hosting import errors
from crocusrudder.hosting import http_messages

OPERATOR_TIMEOUT_SECONDS = 60.0

Post = Callable[[events.Event], Awaitable[None]]


class CoreBridge:
    """Post requests to the core as events and wait for the answers.

    ``post`` queues an event for the core. ``respond_to_operator`` is the sync handler of the core's
    ``AnswerOperator`` effect; ``deliver_forever`` wakes the requests that have an answer.
    """

    def __init__(self, post: Post) -> None:
        self._post = post
        self._pending: dict[str, curio.Event] = {}
        self._answers: dict[str, effects.Effect] = {}
        self._answered: collections.deque[str] = collections.deque()
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)

    @property
    def pending_count(self) -> int:
        """Return the number of requests that wait for an answer of the core."""
        return len(self._pending)

    def respond_to_operator(self, effect: effects.AnswerOperator) -> None:
        """Resolve the operator call that the effect answers."""
        self.resolve(effect.operation, effect)

    async def deliver_forever(self) -> None:
        """Wake the requests that have been resolved; ends after ``close``."""
        async with curio.io.Socket(self._reader) as notifications:
            while await notifications.recv(64):
                while self._answered:
                    pending = self._pending.get(self._answered.popleft())
                    if pending is not None:
                        await pending.set()

    def close(self) -> None:
        """Close the notification socket; call this only when no request is pending."""
        self._writer.close()

    async def serve_operator(self, request: http_messages.Request) -> http_messages.Response:
        """Return the core's response to an operator's call.

        Raises ``HttpError`` if the request is malformed or the core does not respond in time.
        """
        operation = ids.OperationId(f"operator:{uuid.uuid4().hex}")
        body = _decode_json(request.body)
        event = events.OperatorAsked(operation, request.method, request.path, request.query, body)
        try:
            answer = await self.request(operation, event, OPERATOR_TIMEOUT_SECONDS)
        except curio.TaskTimeout:
            raise errors.CoreTimeoutError(
                f"no response from the core within {OPERATOR_TIMEOUT_SECONDS:g} s"
            ) from None
        return http_messages.make_json_response(answer.status, answer.body)

    async def request(
        self, request_id: str, event: events.Event, timeout_seconds: float
    ) -> effects.Effect:
        """Post an event and return the effect that answers it.

        Raises ``curio.TaskTimeout`` if the core does not respond in time.
        """
        pending = self._pending[request_id] = curio.Event()
        try:
            await self._post(event)
            async with curio.timeout_after(timeout_seconds):
                await pending.wait()
            return self._answers[request_id]
        finally:
            del self._pending[request_id]
            self._answers.pop(request_id, None)

    def resolve(self, request_id: str, effect: effects.Effect) -> None:
        """Resolve a pending request; an unknown request or a second answer is ignored."""
        if request_id not in self._pending or request_id in self._answers:
            return
        self._answers[request_id] = effect
        notify = not self._answered
        self._answered.append(request_id)
        if notify:
            self._writer.send(b"a")


def _decode_json(body: bytes) -> object:
    if not body:
        return None
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedBodyError(f"the body is not JSON: {error}") from error
