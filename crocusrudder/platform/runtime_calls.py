"""Calls to the worker runtime and their responses.

A run is identified by its task and epoch. Lease deadlines are absolute, in seconds on the worker's
monotonic clock, which the runtime and the agent share because they run on the same worker.
"""

import enum

import msgspec

from crocusrudder.core import clocks
from crocusrudder.core import ids
from crocusrudder.wire import messages

STOP_GRACE_SECONDS = clocks.RUNTIME_GRACE_SECONDS
"""Time after the lease deadline at which the runtime terminates a suspended run."""

NO_CHECKPOINT = "no such checkpoint"
"""Reason for refusing a start whose checkpoint object does not exist."""


class StartRun(msgspec.Struct, frozen=True, tag=True):
    """Start a run; repeating the call has no effect. Empty ``checkpoint``: start from scratch."""

    task: ids.TaskId
    epoch: ids.TaskEpoch
    size: messages.Resources
    command: str
    checkpoint: str
    lease_deadline: float


class RenewRuns(msgspec.Struct, frozen=True, tag=True):
    """Extend the lease deadline of all runs on the worker; a lower deadline has no effect."""

    lease_deadline: float


class CheckpointRun(msgspec.Struct, frozen=True, tag=True):
    """Checkpoint and stop a run; the response names the checkpoint object."""

    task: ids.TaskId
    epoch: ids.TaskEpoch


class ThrottleRun(msgspec.Struct, frozen=True, tag=True):
    """Limit a run to a share (0 to 1) of its processors."""

    task: ids.TaskId
    epoch: ids.TaskEpoch
    share: float


class StopRun(msgspec.Struct, frozen=True, tag=True):
    """Stop a run; succeeds if the run does not exist."""

    task: ids.TaskId
    epoch: ids.TaskEpoch


class ForgetRun(msgspec.Struct, frozen=True, tag=True):
    """Remove a run that has ended from the list of the runtime."""

    task: ids.TaskId
    epoch: ids.TaskEpoch


class ListRuns(msgspec.Struct, frozen=True, tag=True):
    """List all runs on the worker, including ended ones that have not been forgotten."""


RuntimeCall = StartRun | RenewRuns | CheckpointRun | ThrottleRun | StopRun | ForgetRun | ListRuns


class RuntimeState(enum.Enum):
    """State of a run as the runtime reports it."""

    RUNNING = "running"
    SUSPENDED = "suspended"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


class RunInfo(msgspec.Struct, frozen=True):
    """One run as the runtime lists it; ``usage`` is a measurement with a delay."""

    task: ids.TaskId
    epoch: ids.TaskEpoch
    state: RuntimeState
    size: messages.Resources
    checkpoint: str = ""
    output: str = ""
    reason: str = ""
    usage: messages.Resources = messages.Resources()


class RunList(msgspec.Struct, frozen=True, tag=True):
    """Response to ``ListRuns``, and to the other calls with the runs that they affect."""

    runs: tuple[RunInfo, ...]


class RuntimeRefusal(msgspec.Struct, frozen=True, tag=True):
    """The runtime refused a call: unknown run, expired lease deadline or no free capacity."""

    reason: str


RuntimeAnswer = RunList | RuntimeRefusal
