"""Simulation of one run of a task, without input or output.

A command consists of steps of equal length, and a run counts the seconds of work that it has done.
Times are in seconds on the worker's monotonic clock.
"""

import collections
import contextlib
import math

import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import runtime_calls
from crocusrudder.wire import messages
from tools.standin import objects

OBJECT_RETRY_SECONDS = 0.1
MAX_USAGE_SAMPLES = 64

State = runtime_calls.RuntimeState
ACTIVE = frozenset({State.RUNNING, State.SUSPENDED})


class Command(msgspec.Struct, frozen=True):
    """A parsed command; ``steps`` is 0 for a command that fails at once."""

    steps: int
    step_seconds: float
    is_audited: bool = False
    object_key: str = "output"


class Checkpoint(msgspec.Struct, frozen=True):
    """Content of a checkpoint object; ``worked`` is the work done, in seconds."""

    step: int
    worked: float


class Step(msgspec.Struct, frozen=True):
    """One executed step in the audit log."""

    worker: ids.WorkerId
    task: ids.TaskId
    epoch: ids.TaskEpoch
    step: int
    at: float


class Transition(msgspec.Struct, frozen=True):
    """A state change of a run in the audit log; the state is ``lost`` if its worker was lost."""

    worker: ids.WorkerId
    task: ids.TaskId
    epoch: ids.TaskEpoch
    state: str
    at: float


class Audit(msgspec.Struct):
    """Steps and state changes of the runs of all workers, in order."""

    steps: list[Step] = msgspec.field(default_factory=list)
    runs: list[Transition] = msgspec.field(default_factory=list)


def parse_command(text: str) -> Command | None:
    """Return the command, or None if it is unknown or malformed."""
    try:
        match text.split():
            case ["fail"]:
                return Command(0, 0.0)
            case ["sleep", seconds]:
                return Command(1, _parse_seconds(seconds))
            case ["count", key, steps, seconds]:
                return Command(int(steps), _parse_seconds(seconds), True, key)
    except ValueError:
        return None
    return None


def _parse_seconds(text: str) -> float:
    seconds = float(text)
    if not 0 <= seconds < math.inf:
        raise ValueError(text)
    return seconds


class Run:
    """One run of a task on one worker."""

    def __init__(
        self,
        worker: ids.WorkerId,
        call: runtime_calls.StartRun,
        store: objects.ObjectStore,
        audit: Audit,
        now: float,
    ) -> None:
        self._worker = worker
        self._call = call
        self._store = store
        self._audit = audit
        self._command = parse_command(call.command)
        self._lease_deadline = call.lease_deadline
        self._cpu_share = 1.0
        self._step = 0
        self._worked_seconds = 0.0
        self._advanced_at = now
        self._checkpoint = call.checkpoint
        self._output = ""
        self._reason = ""
        self._is_blocked = False
        self._is_lost = False
        self._usage: collections.deque[tuple[float, messages.Resources]] = collections.deque(
            maxlen=MAX_USAGE_SAMPLES
        )
        self._state = State.RUNNING
        self._enter_state(State.RUNNING, now)

    @property
    def active(self) -> bool:
        """Return whether the run occupies its reservation."""
        return self._state in ACTIVE and not self._is_lost

    @property
    def state(self) -> State:
        return self._state

    @property
    def size(self) -> messages.Resources:
        """Return the resources reserved for the run."""
        return self._call.size

    def restore(self, data: bytes) -> None:
        """Restore the progress from a checkpoint's content; raises ``msgspec.MsgspecError``."""
        checkpoint = msgspec.json.decode(data, type=Checkpoint)
        self._step = checkpoint.step
        self._worked_seconds = checkpoint.worked

    def mark_lost(self, now: float) -> None:
        """End all activity of the run, as when its VM is lost."""
        if self.active:
            self._append_transition("lost", now)
        self._is_lost = True

    def fail(self, reason: str, now: float) -> None:
        """End the run as failed."""
        self._reason = reason
        self._enter_state(State.FAILED, now)

    def renew(self, deadline: float, now: float) -> None:
        """Extend the lease and resume a suspended run; an earlier deadline has no effect."""
        self.advance(now)
        if not self.active or deadline <= self._lease_deadline:
            return
        self._lease_deadline = deadline
        if self._state is State.SUSPENDED and deadline > now:
            self._enter_state(State.RUNNING, now)

    def throttle(self, cpu_share: float, now: float) -> None:
        """Limit the run to a share of its processors, from 0 to 1."""
        self.advance(now)
        self._cpu_share = min(1.0, max(0.0, cpu_share))
        self._record_usage(now)

    def stop(self, now: float) -> None:
        """End the run as stopped, if it is active."""
        self.advance(now)
        if self.active:
            self._enter_state(State.STOPPED, now)

    def checkpoint(self, now: float) -> None:
        """Store a checkpoint and end the run, if active; raises ``objects.ObjectsDownError``."""
        self.advance(now)
        if self.active:
            self._store_checkpoint()
            self._enter_state(State.CHECKPOINTED, now)

    def advance(self, now: float) -> None:
        """Perform the work due until ``now``, and suspend or stop the run if its lease has expired.

        A call that is delayed beyond the lease deadline executes no steps.
        """
        if self._is_lost:
            return
        if self._state is State.RUNNING and now >= self._lease_deadline:
            self._suspend(now)
        if self._state is State.SUSPENDED:
            if now >= self._lease_deadline + runtime_calls.STOP_GRACE_SECONDS:
                self._enter_state(State.STOPPED, now)
        elif self._state is State.RUNNING:
            self._work(now)
        self._advanced_at = now

    def find_next_change(self, now: float) -> float:
        """Return the time of the next step or state change, infinity if there is none."""
        if self._state is State.SUSPENDED:
            return self._lease_deadline + runtime_calls.STOP_GRACE_SECONDS
        if self._state is not State.RUNNING:
            return math.inf
        if self._is_blocked:
            return min(now + OBJECT_RETRY_SECONDS, self._lease_deadline)
        if not self._cpu_share:
            return self._lease_deadline
        remaining = self._compute_required_work(self._step + 1) - self._worked_seconds
        return min(self._advanced_at + max(0.0, remaining) / self._cpu_share, self._lease_deadline)

    def describe(self, measured_until: float) -> runtime_calls.RunInfo:
        """Return the run as the runtime lists it, with its usage as of ``measured_until``."""
        measured = [usage for at, usage in self._usage if at <= measured_until]
        return runtime_calls.RunInfo(
            self._call.task,
            self._call.epoch,
            self._state,
            self._call.size,
            self._checkpoint,
            self._output,
            self._reason,
            measured[-1] if measured else messages.Resources(),
        )

    def _compute_required_work(self, step: int) -> float:
        return step * self._command.step_seconds if self._command else 0.0

    def _work(self, now: float) -> None:
        if self._command is None:
            self.fail(f"unknown command: {self._call.command}", now)
            return
        if not self._command.steps:
            self.fail("the command failed", now)
            return
        self._add_work(now)
        try:
            self._execute_steps(now)
            self._is_blocked = False
        except objects.ObjectsDownError:
            # The next step waits until its checkpoint can be stored, so that no step is executed
            # twice.
            self._is_blocked = True
            self._worked_seconds = min(
                self._worked_seconds, self._compute_required_work(self._step + 1)
            )

    def _add_work(self, until: float) -> None:
        self._worked_seconds += max(0.0, until - self._advanced_at) * self._cpu_share

    def _execute_steps(self, now: float) -> None:
        while (
            self._step < self._command.steps
            and self._worked_seconds >= self._compute_required_work(self._step + 1)
        ):
            if self._command.is_audited:
                self._store_checkpoint(self._step + 1)
                self._append_step(now)
            self._step += 1
        if self._step == self._command.steps:
            output = f"{self._object_prefix}/{self._command.object_key}"
            self._store.put(output, str(self._step).encode())
            self._output = output
            self._enter_state(State.SUCCEEDED, now)

    @property
    def _object_prefix(self) -> str:
        return f"{self._call.task}/{self._call.epoch}"

    def _append_step(self, now: float) -> None:
        step = Step(self._worker, self._call.task, self._call.epoch, self._step + 1, now)
        self._audit.steps.append(step)

    def _store_checkpoint(self, step: int | None = None) -> None:
        content = Checkpoint(self._step if step is None else step, self._worked_seconds)
        key = f"{self._object_prefix}/checkpoint"
        self._store.replace(key, msgspec.json.encode(content))
        self._checkpoint = key

    def _suspend(self, now: float) -> None:
        self._add_work(self._lease_deadline)
        self._worked_seconds = min(
            self._worked_seconds, self._compute_required_work(self._step + 1)
        )
        # If the object store is down, the run keeps the checkpoint of its last step.
        with contextlib.suppress(objects.ObjectsDownError):
            self._store_checkpoint()
        self._enter_state(State.SUSPENDED, now)

    def _enter_state(self, state: State, now: float) -> None:
        self._state = state
        self._advanced_at = now
        self._append_transition(state.value, now)
        self._record_usage(now)

    def _append_transition(self, state: str, now: float) -> None:
        transition = Transition(self._worker, self._call.task, self._call.epoch, state, now)
        self._audit.runs.append(transition)

    def _record_usage(self, now: float) -> None:
        size = self._call.size
        if self._state is State.RUNNING:
            used = messages.Resources(
                int(size.millicores * self._cpu_share), size.memory_mb, size.accelerators
            )
        elif self._state is State.SUSPENDED:
            used = messages.Resources(0, size.memory_mb, size.accelerators)
        else:
            used = messages.Resources()
        self._usage.append((now, used))
