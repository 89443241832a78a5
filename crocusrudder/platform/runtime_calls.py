"""Calls to the worker runtime and its answers.

A run is identified by its task and epoch. Lease deadlines are absolute, in seconds on the worker's
monotonic clock, which the runtime and the agent share: they run on the same worker.
"""

import enum

import msgspec

from crocusrudder.core import clocks
from crocusrudder.core import ids
from crocusrudder.wire import messages

STOP_GRACE_SECONDS = clocks.RUNTIME_GRACE_SECONDS
"""Time after the lease's deadline at which the runtime stops a suspended run for good."""

NO_CHECKPOINT = "no such checkpoint"
"""Reason of the refusal of a start whose checkpoint object does not exist."""


class StartRun(msgspec.Struct, frozen=True, tag=True):
    """Start a run; starting it again has no effect. ``checkpoint`` may be empty."""

    task: ids.TaskId
    epoch: ids.TaskEpoch
    size: messages.Resources
    command: str
    checkpoint: str
    lease_deadline: float


class RenewRuns(msgspec.Struct, frozen=True, tag=True):
    """Move the lease deadline of all runs on the worker; a lower one has no effect."""

    lease_deadline: float


class CheckpointRun(msgspec.Struct, frozen=True, tag=True):
    """Checkpoint a run and stop it. The answer names the checkpoint object."""

    task: ids.TaskId
    epoch: ids.TaskEpoch


class ThrottleRun(msgspec.Struct, frozen=True, tag=True):
    """Limit a run to a share of its processors."""

    task: ids.TaskId
    epoch: ids.TaskEpoch
    share: float


class StopRun(msgspec.Struct, frozen=True, tag=True):
    """Stop a run; no error if it is not there."""

    task: ids.TaskId
    epoch: ids.TaskEpoch


class ForgetRun(msgspec.Struct, frozen=True, tag=True):
    """Drop a run that has ended from the runtime's list."""

    task: ids.TaskId
    epoch: ids.TaskEpoch


class ListRuns(msgspec.Struct, frozen=True, tag=True):
    """List all runs on the worker, also ended ones that were not forgotten."""


RuntimeCall = StartRun | RenewRuns | CheckpointRun | ThrottleRun | StopRun | ForgetRun | ListRuns


class RuntimeState(enum.Enum):
    """State of a run in the runtime."""

    RUNNING = "running"
    SUSPENDED = "suspended"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


class RunInfo(msgspec.Struct, frozen=True):
    """One run as the runtime lists it; ``usage`` lags."""

    task: ids.TaskId
    epoch: ids.TaskEpoch
    state: RuntimeState
    size: messages.Resources
    checkpoint: str = ""
    output: str = ""
    reason: str = ""
    usage: messages.Resources = messages.Resources()


class RunList(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``ListRuns``; also to the other calls, with the runs they concern."""

    runs: tuple[RunInfo, ...]


class RuntimeRefusal(msgspec.Struct, frozen=True, tag=True):
    """The runtime refused a call: unknown run, passed deadline or no room."""

    reason: str


RuntimeAnswer = RunList | RuntimeRefusal
