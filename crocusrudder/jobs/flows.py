"""Run operators' calls as generators.

A generator, called a flow, yields store operations and receives the events that answer them.
"""

import functools
from collections.abc import Callable
from collections.abc import Generator
from typing import Any

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.jobs import errors

READ_RETRY_SECONDS = 0.5
READ_ATTEMPTS = 20
"""Reads after a lost answer before the call fails because its outcome is unknown."""

MAX_ROUNDS = 100
"""Conflicts and lost answers after which a call is refused, so that it ends in any case."""


class Pause(msgspec.Struct, frozen=True):
    """Step that resumes the flow after ``seconds``."""

    seconds: float


class Result(msgspec.Struct, frozen=True):
    """Response to the operator, and the effects to carry out with it."""

    status: int
    body: dict[str, Any]
    follow_up: tuple[effects.Effect, ...] = ()


Step = Callable[[ids.OperationId], effects.Effect] | Pause
Flow = Generator[Step, events.Event | None, Result]

_STATUS = {
    errors.InvalidJobError: 400,
    errors.UnknownBatchError: 422,
    errors.JobTooLargeError: 422,
    errors.UnknownJobError: 404,
    errors.JobConflictError: 409,
    errors.JobEndedError: 409,
    errors.NotReadyError: 503,
    errors.StoreUnavailableError: 503,
    errors.OutcomeUnknownError: 504,
}


def read(keys: tuple[str, ...], attempts: int = 1) -> Generator[Step, Any, dict[str, effects.Row]]:
    """Read rows, with up to ``attempts`` attempts while the store is unavailable.

    Raises ``StoreUnavailableError``.
    """
    for attempt in range(attempts):
        if attempt:
            yield Pause(READ_RETRY_SECONDS)
        event = yield functools.partial(effects.ReadRows, keys=keys)
        if isinstance(event, events.RowsRead):
            return event.rows
    raise errors.StoreUnavailableError("the store did not answer", "repeat the call")


def resolve(keys: tuple[str, ...]) -> Generator[Step, Any, dict[str, effects.Row]]:
    """Read rows to find out whether a commit took effect after its answer was lost.

    Raises ``OutcomeUnknownError``.
    """
    try:
        return (yield from read(keys, READ_ATTEMPTS))
    except errors.StoreUnavailableError as error:
        raise errors.OutcomeUnknownError(
            "the store's answer was lost", "repeat the call with the same job id"
        ) from error


def commit(
    writes: tuple[effects.RowWrite, ...], checks: tuple[effects.RowCheck, ...] = ()
) -> Generator[Step, Any, events.Event]:
    """Commit once and return the event that answers it."""
    return (yield functools.partial(effects.Commit, writes=writes, checks=checks))


def make_refusal(error: errors.JobError) -> Result:
    """Return the response for an error."""
    return Result(_STATUS.get(type(error), 500), {**error.to_dict(), "problems": []})


class FlowRunner:
    """Run flows: pass events to those that wait and resume those that pause."""

    def __init__(self, prefix: str) -> None:
        self._operations = components.OperationIds(prefix)
        self._waiting: dict[ids.OperationId, tuple[ids.OperationId, Flow]] = {}
        self._paused: list[tuple[float, ids.OperationId, Flow]] = []

    @property
    def count(self) -> int:
        """Return the number of unfinished flows."""
        return len(self._waiting) + len(self._paused)

    def start(self, request: ids.OperationId, flow: Flow, now: float) -> list[effects.Effect]:
        return self._advance(request, flow, None, now)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Resume the flow that waits for an event; without one the event is ignored."""
        request, flow = self._waiting.pop(event.operation, (None, None))
        return [] if flow is None else self._advance(request, flow, event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Resume the flows whose pause has ended."""
        due = [paused for paused in self._paused if paused[0] <= now]
        self._paused = [paused for paused in self._paused if paused[0] > now]
        steps = (self._advance(request, flow, None, now) for _, request, flow in due)
        return [effect for produced in steps for effect in produced]

    def _advance(
        self, request: ids.OperationId, flow: Flow, event: events.Event | None, now: float
    ) -> list[effects.Effect]:
        try:
            step = flow.send(event)
        except StopIteration as stop:
            return self._finish(request, stop.value)
        except errors.JobError as error:
            return self._finish(request, make_refusal(error))
        if isinstance(step, Pause):
            self._paused.append((now + step.seconds, request, flow))
            return []
        operation = self._operations.next()
        self._waiting[operation] = (request, flow)
        return [step(operation)]

    def _finish(self, request: ids.OperationId, result: Result) -> list[effects.Effect]:
        answer = effects.AnswerOperator(request, result.status, result.body)
        return [*result.follow_up, answer, effects.Count(f"job_calls_{result.status}")]
