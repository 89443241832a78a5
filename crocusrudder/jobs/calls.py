"""Calls of an agent to the worker runtime that are under way."""

from typing import Any

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.jobs import runs
from crocusrudder.platform import runtime_calls
from crocusrudder.wire import messages

LIST_SECONDS = 1.0
"""Interval at which the runtime's list is read, which is how ends are noticed."""

_STATES = {
    runtime_calls.RuntimeState.RUNNING: messages.RunState.RUNNING,
    runtime_calls.RuntimeState.SUSPENDED: messages.RunState.SUSPENDED,
    runtime_calls.RuntimeState.SUCCEEDED: messages.RunState.SUCCEEDED,
    runtime_calls.RuntimeState.FAILED: messages.RunState.FAILED,
    runtime_calls.RuntimeState.CHECKPOINTED: messages.RunState.CHECKPOINTED,
    runtime_calls.RuntimeState.STOPPED: messages.RunState.STOPPED,
}


def is_ended(info: runtime_calls.RunInfo) -> bool:
    """Return whether a run that the runtime lists has ended."""
    return _STATES[info.state] in runs.ENDED_RUN_STATES


def describe(info: runtime_calls.RunInfo, known: messages.TaskStatus) -> dict[str, Any]:
    """Return the fields of a run's status as the runtime's answer gives them."""
    return {
        "state": _STATES[info.state],
        "checkpoint": info.checkpoint or known.checkpoint,
        "output": info.output,
        "reason": info.reason,
        "usage": info.usage,
    }


class PendingCall(msgspec.Struct, frozen=True):
    """A runtime call in flight; ``run`` is None for calls about no run or an ended one."""

    call: msgspec.Struct
    run: runs.Run | None
    issued_at: float


class RuntimeCalls:
    """Number calls, and hold them until they are answered."""

    def __init__(self, prefix: str) -> None:
        self._operations = components.OperationIds(prefix)
        self._pending: dict[ids.OperationId, PendingCall] = {}
        self._listing = False
        self._listed_at = float("-inf")

    @property
    def count(self) -> int:
        """Return how many calls are in flight."""
        return len(self._pending)

    def make(self, call: msgspec.Struct, run: runs.Run | None, now: float) -> effects.CallRuntime:
        """Return the effect that makes a call."""
        operation = self._operations.next()
        self._pending[operation] = PendingCall(call, run, now)
        if run is not None:
            run.calls += 1
            run.called_at = now
        return effects.CallRuntime(operation, call)

    def make_list(self, now: float) -> list[effects.Effect]:
        """Return the call that lists the runs, unless one is in flight."""
        if self._listing:
            return []
        self._listing = True
        self._listed_at = now
        return [self.make(runtime_calls.ListRuns(), None, now)]

    def make_due_list(self, now: float) -> list[effects.Effect]:
        """Return the periodic call that lists the runs if it is due."""
        return self.make_list(now) if now - self._listed_at >= LIST_SECONDS else []

    def take(self, operation: ids.OperationId) -> PendingCall | None:
        """Return the call that an answer belongs to, which ends it; None if there is none."""
        call = self._pending.pop(operation, None)
        if call is None:
            return None
        if isinstance(call.call, runtime_calls.ListRuns):
            self._listing = False
        if call.run is not None:
            call.run.calls -= 1
        return call
