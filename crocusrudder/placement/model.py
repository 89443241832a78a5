"""Input and result types of the placement policy."""

import enum
from collections.abc import Mapping
from typing import Protocol

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages

RunKey = tuple[ids.TaskId, ids.TaskEpoch]


class WorkerView(Protocol):
    """Worker state that the policy reads; ``membership.workers.WorkerView`` implements it."""

    @property
    def worker(self) -> ids.WorkerId:
        """Return the worker's id."""
        ...

    @property
    def capacity(self) -> messages.Resources:
        """Return all resources of the worker, in use or not."""
        ...

    @property
    def reserved(self) -> messages.Resources:
        """Return the resources reserved by endpoints and by the runs in ``runs``."""
        ...

    @property
    def draining(self) -> bool:
        """Return whether the worker takes no new work."""
        ...

    @property
    def runs(self) -> Mapping[RunKey, messages.TaskStatus]:
        """Return the runs that the worker last reported."""
        ...


class PlacementTask(msgspec.Struct, frozen=True):
    """A task to place.

    ``size`` is the declared size, which the agent's admission control reserves.
    """

    task: ids.TaskId
    job: ids.JobId
    job_class: str
    team: ids.TeamId
    size: messages.Resources
    urgent: bool = False
    failures: int = 0


class ReactionKind(enum.Enum):
    """Reactions to interference, mildest first; ``RESTORE`` lifts a throttle."""

    RESTORE = "restore"
    THROTTLE = "throttle"
    MOVE = "checkpoint-and-move"
    EVICT = "evict"


class Reaction(msgspec.Struct, frozen=True):
    """A proposed action on one run; ``share`` (0 to 1) applies to throttle and restore."""

    kind: ReactionKind
    worker: ids.WorkerId
    task: ids.TaskId
    epoch: ids.TaskEpoch
    reason: str
    share: float = 1.0


class Preemption(msgspec.Struct, frozen=True):
    """Runs to checkpoint on one worker so that an urgent task fits there."""

    worker: ids.WorkerId
    runs: tuple[RunKey, ...]


class PermanentFailure(msgspec.Struct, frozen=True):
    """A job that can never run, with the reason shown to the operator."""

    job: ids.JobId
    reason: str
    starts: int
    failed_on: tuple[ids.WorkerId, ...]
