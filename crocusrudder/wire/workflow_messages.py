"""Messages between entries and agents that run staged jobs.

Reports and orders repeat everything that the other side has not confirmed, so a lost message only
causes a delay.
"""

import math
from typing import Annotated
from typing import Literal

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages

MAX_NUMBER = 2**53
"""Limit of epochs, versions and numbers. No real one comes near it, and each can still be raised by
1 and encoded everywhere."""

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


def _check_finite(*values: float) -> None:
    """Raise ``ValueError``, which the decoder turns into its own error, for NaN and infinities."""
    if not all(map(math.isfinite, values)):
        raise ValueError(f"not finite: {values}")


class WorkerState(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a worker, as described in its heartbeats to the agent."""

    worker: ids.WorkerId
    born_ms: int
    """Unix milliseconds of the worker's start; distinguishes incarnations with the same id."""
    service: ids.ServiceName
    data_centre: ids.DataCentre
    capacity: messages.Resources
    labels: tuple[str, ...]
    draining: bool = False
    cold: bool = False
    """The worker is slow for some time after its start."""

    @property
    def incarnation(self) -> tuple[ids.WorkerId, int]:
        """Return the worker's id and time of birth, which identify the incarnation."""
        return self.worker, self.born_ms


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A run that is present on a worker."""

    task: str
    run: int
    checkpoint: str = ""
    percent: int = 0
    measure: float = -1.0
    """Tail latency in ms of a latency-critical task, otherwise millicores in use; -1 if unknown."""


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """End of a run, retained by the worker until it is acknowledged."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str = ""


class RejectedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that was certainly not started and never will be."""

    task: str
    run: int
    reason: str


class SuspectRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that started shortly before its worker crashed."""

    task: str
    run: int
    age_seconds: float
    """Greatest time from the start of the run to the crash."""
    least_age_seconds: float = 0.0
    """Least time from the start of the run to the crash; the agent notices a crash late while it
    handles many responses."""


class WorkerCrash(msgspec.Struct, frozen=True, array_like=True):
    """End of a worker's process that was neither announced nor preceded by silence."""

    worker: ids.WorkerId
    born_ms: int
    suspects: tuple[SuspectRun, ...] = ()


class AgentReport(messages.Message, frozen=True):
    """Complete state of a worker and its runs as of ``sent_at``."""

    data_centre: ids.DataCentre
    sent_at: float
    """Seconds on the agent's clock; the owner echoes it."""
    epoch: Number
    """Ownership epoch under which the worker's last list was made; 0 for none."""
    orders_seen: Number
    worker: WorkerState | None
    reachable: bool
    """Whether the worker has responded to the agent recently."""
    lapsed: bool
    """No run of an earlier call can be running: leases have expired or the worker is a new one."""
    running: tuple[RunningTask, ...] = ()
    starting: tuple[tuple[str, int], ...] = ()
    ended: tuple[EndedRun, ...] = ()
    rejected: tuple[RejectedRun, ...] = ()
    left: bool = False
    """The worker has deregistered and ended, and no other has registered since."""
    list_age_seconds: float = 0.0
    """Time since the worker made the list that the report repeats."""
    crashes: tuple[WorkerCrash, ...] = ()
    """Crashes of recent incarnations of the worker, oldest first."""
    list_incomplete: bool = False
    """Whether runs that the report does not name may be on the worker or have ended there."""
    has_more_ends: bool = False
    """Whether the worker may hold further ends, which it lists once these are acknowledged."""
    unbounded_seconds: float = 0.0
    """Time for which runs may go on however long ago their lease was renewed."""

    def __post_init__(self) -> None:
        _check_finite(self.sent_at, self.list_age_seconds, self.unbounded_seconds)


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order to start a run."""

    task: str
    run: int
    spec: str
    checkpoint: str = ""
    ticket: str = ""
    planned_on: float = float("inf")
    """``sent_at`` of the report on which the owner based the start; infinite if unknown."""


class AgentOrders(messages.Message, frozen=True):
    """Orders of the owner; valid while ``echo`` is recent on the agent's clock."""

    epoch: Number
    number: Number
    echo: float
    """``sent_at`` of the newest report that the owner has."""
    worker: ids.WorkerId
    born_ms: int
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[tuple[str, int], ...] = ()
    paces: tuple[tuple[str, int, int], ...] = ()
    """Task, run and its CPU share in percent."""
    acknowledged: Number = 0
    """Highest number of an end that is durable in the store."""

    def __post_init__(self) -> None:
        _check_finite(self.echo)


class OwnerHello(messages.Message, frozen=True):
    """Liveness message of the owner to entries and agents."""

    epoch: Number
    pending: dict[str, int] = {}
    """Accepted jobs without a started task, by queue."""
    version: Number = 0
    """Version of the owner's row after its last successful commit."""
    has_stepped_down: bool = False
    """The owner sends no orders until one of its commits succeeds again. While its row has this
    version, another entry may claim the row at once."""


class EntryHello(messages.Message, frozen=True):
    """Request of an entry for the owner's hellos."""

    configuration: Number = 0
    cores: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    """Processor cores of the entry; 0 if unknown."""

    def __post_init__(self) -> None:
        _check_finite(self.cores)


class JobCall(messages.Message, frozen=True):
    """A caller's request for a job, forwarded to another entry."""

    call: str
    kind: Literal["submit", "cancel", "status"]
    job: ids.JobId
    row: bytes = b""


class JobAnswer(messages.Message, frozen=True):
    """Outcome of a ``JobCall``; a value of ``calls.Outcome``."""

    call: str
    outcome: str


class JobStored(messages.Message, frozen=True):
    """A job or its cancellation was stored; saves the owner the wait for the store's feed."""

    job: ids.JobId
    version: Number
    row: bytes = b""
    """Empty for a cancellation."""
