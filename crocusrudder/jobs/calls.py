"""Calls of an agent to the worker runtime that are in flight."""

from typing import Any

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.jobs import runs
from crocusrudder.platform import runtime_calls
from crocusrudder.wire import messages

LIST_SECONDS = 1.0
"""Interval at which the runs are listed, which is how the agent detects that one has ended."""

_STATES = {
    runtime_calls.RuntimeState.RUNNING: messages.RunState.RUNNING,
    runtime_calls.RuntimeState.SUSPENDED: messages.RunState.SUSPENDED,
    runtime_calls.RuntimeState.SUCCEEDED: messages.RunState.SUCCEEDED,
    runtime_calls.RuntimeState.FAILED: messages.RunState.FAILED,
    runtime_calls.RuntimeState.CHECKPOINTED: messages.RunState.CHECKPOINTED,
    runtime_calls.RuntimeState.STOPPED: messages.RunState.STOPPED,
}


def has_ended(info: runtime_calls.RunInfo) -> bool:
    return _STATES[info.state] in runs.ENDED_RUN_STATES


def make_status_fields(info: runtime_calls.RunInfo, status: messages.TaskStatus) -> dict[str, Any]:
    """Return the fields of a run's status according to the runtime; the last checkpoint is kept."""
    return {
        "state": _STATES[info.state],
        "checkpoint": info.checkpoint or status.checkpoint,
        "output": info.output,
        "reason": info.reason,
        "usage": info.usage,
    }


class PendingCall(msgspec.Struct, frozen=True):
    """A runtime call in flight; ``run`` is None if the call concerns no run or an ended one."""

    call: msgspec.Struct
    run: runs.Run | None
    issued_at: float


class RuntimeCalls:
    """Assign operation ids to calls and track those in flight."""

    def __init__(self, prefix: str) -> None:
        self._operations = components.OperationIds(prefix)
        self._pending: dict[ids.OperationId, PendingCall] = {}
        self._listing = False
        self._last_list_at = float("-inf")

    @property
    def count(self) -> int:
        return len(self._pending)

    def make(self, call: msgspec.Struct, run: runs.Run | None, now: float) -> effects.CallRuntime:
        """Register a call and return the effect that makes it."""
        operation = self._operations.next()
        self._pending[operation] = PendingCall(call, run, now)
        if run is not None:
            run.pending_calls += 1
            run.last_call_at = now
        return effects.CallRuntime(operation, call)

    def make_list(self, now: float) -> list[effects.Effect]:
        """Make the call that lists the runs, unless one is in flight."""
        if self._listing:
            return []
        self._listing = True
        self._last_list_at = now
        return [self.make(runtime_calls.ListRuns(), None, now)]

    def make_due_list(self, now: float) -> list[effects.Effect]:
        """Make the periodic call that lists the runs, if it is due."""
        return self.make_list(now) if now - self._last_list_at >= LIST_SECONDS else []

    def pop(self, operation: ids.OperationId) -> PendingCall | None:
        """Remove and return the call with this operation id; None if there is none."""
        call = self._pending.pop(operation, None)
        if call is None:
            return None
        if isinstance(call.call, runtime_calls.ListRuns):
            self._listing = False
        if call.run is not None:
            call.run.pending_calls -= 1
        return call
