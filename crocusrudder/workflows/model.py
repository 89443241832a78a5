"""Data model of jobs, stages, queues and services."""

import enum
import math
from typing import NamedTuple
from typing import NewType

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages

QueueName = NewType("QueueName", str)
TaskName = NewType("TaskName", str)
"""``JOB.OCCURRENCE.STAGE.INDEX``, the identifier of a task on workers."""
OwnerEpoch = NewType("OwnerEpoch", int)
"""Number of an ownership epoch; workers use it as the fencing token."""
RunNumber = NewType("RunNumber", int)
RunKey = tuple[str, int]
"""Task name and number of a run."""


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


MIN_TARGET_MS = 1.0
"""Least latency target that counts. Workers measure in whole milliseconds, so no measure can tell a
lower one from 0, which stands for no target."""


class ServedImage(NamedTuple):
    """What latency-critical tasks run, and the tail latency that they have to stay below."""

    image: str
    target_ms: float

    @property
    def label(self) -> str:
        """Return the name for log lines."""
        return f"{self.image}@{self.target_ms:g}"


class Stage(msgspec.Struct, frozen=True, array_like=True):
    """A group of identical tasks within a job."""

    task_count: int
    demand: messages.Resources = messages.Resources()
    estimated_seconds: float = 0.0
    after: tuple[int, ...] = ()
    """Numbers of the stages that must be complete before this one starts."""
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    """Maximum number of this stage's tasks on one worker; 0 for no limit."""
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    """Tail latency target as submitted; decisions use ``target_ms``."""
    best_effort: bool = False
    """The tasks run on processors that others leave idle, and reserve no CPU capacity."""
    disruption_budget: int = 0
    """How many tasks of a long-running stage the scheduler may disrupt at the same time."""
    checkpoints: bool = False

    @property
    def target_ms(self) -> float:
        """Return the tail latency target; 0 for a task that is not latency-critical."""
        target_ms = self.latency_target_ms
        return target_ms if MIN_TARGET_MS <= target_ms < math.inf else 0.0

    @property
    def served_image(self) -> ServedImage:
        return ServedImage(self.image, self.target_ms)


class Job(msgspec.Struct, frozen=True, array_like=True):
    """A job as submitted by a caller."""

    job_id: ids.JobId
    queue: QueueName
    spec: str
    stages: tuple[Stage, ...]
    accepted_at: float
    """Unix time in seconds."""
    occurrences: int = 0
    """How many times the stages run; 0 for a single run without a due time."""
    first_due_at: float = 0.0
    """Unix time in seconds."""
    interval_seconds: float = 0.0
    accepted_queue: "Queue | None" = None
    """The queue as configured when the job was accepted; a later configuration may remove it."""


class CrashHistory(msgspec.Struct, frozen=True, array_like=True):
    """Crashes of workers under a task, since a run of it last stayed alive."""

    runs: tuple[int, ...] = ()
    """Numbers of the runs that had just started when their workers crashed."""
    workers: tuple[ids.WorkerId, ...] = ()
    conclusive_runs: tuple[int, ...] = ()
    """Those of ``runs`` whose start alone coincided with the crash."""
    survived_run: int = 0
    """Number of the last run that stayed alive; crashes under earlier runs no longer count."""
    prompt_runs: tuple[int, ...] = ()
    """Those of ``runs`` whose start may have coincided with the crash, alone or not."""


PROGRESS_FORMAT = 1
"""Format of stored progress: the main row holds no failed runs and crashes; see ``job_progress``.

Rows of earlier releases, with the format 0, hold all progress of a job."""


class Progress(msgspec.Struct, array_like=True):
    """Progress of a job that is stored so that a new owner can continue it."""

    state: JobState = JobState.QUEUED
    done: dict[str, bytes] = {}
    """Bit sets of completed tasks, by ``OCCURRENCE.STAGE``; only in rows of the format 0."""
    failures: dict[str, tuple[int, ...]] = {}
    """Failed run numbers by ``OCCURRENCE.STAGE.INDEX``; by ``OCCURRENCE.STAGE`` for a gang."""
    finished_at: float = 0.0
    """Unix time in seconds at which the job reached a final state; 0 until then."""
    crashes: dict[str, CrashHistory] = {}
    """Crashes of workers, by the same keys as ``failures``."""
    done_tasks: bytearray = msgspec.field(default_factory=bytearray)
    """Bit set of the completed tasks of all occurrences, in the order of ``job_progress.Layout``,
    the lowest bit of a byte first."""
    omitted_failures: dict[str, int] = {}
    """Number of failed runs that ``failures`` does not name any more, by the same keys."""
    format: int = 0


class ProgressPart(msgspec.Struct, frozen=True, array_like=True):
    """Failed runs and crashes of some tasks, by the keys of ``Progress``."""

    failures: dict[str, tuple[int, ...]] = {}
    omitted_failures: dict[str, int] = {}
    crashes: dict[str, CrashHistory] = {}


PREEMPTING_PRIORITY = 0
"""Priority of the queues whose tasks may preempt those of other priorities; lower goes first."""


class Queue(msgspec.Struct, frozen=True):
    """A configured queue, which accepts jobs for a service."""

    name: QueueName
    host: str
    path_prefix: str
    service: ids.ServiceName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_seconds: float = 0.0
    timeout_seconds: float = 0.0
    requires_tickets: bool = False
    """Whether workers reject a start without a ticket of the queue's admission service."""


class Service(msgspec.Struct, frozen=True):
    """A configured service, which is a pool of workers."""

    name: ids.ServiceName
    enforces_capacity: bool = True
    """Whether workers of the service reject a start that exceeds their capacity."""


class Configuration(msgspec.Struct, frozen=True):
    """Queues, services and limits set by the operator."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    body_bytes: int = 262_144
    unserved: tuple[str, ...] = ()
    """Descriptions of what is configured and not served."""
    unreadable: tuple[str, ...] = ()
    """Errors of the queues and services that could not be read and are left out."""

    def add_known(self, known: "Configuration") -> "Configuration":
        """Return the configuration with the known queues and services that it does not name."""
        queues = {queue.name for queue in self.queues}
        services = {service.name for service in self.services}
        return msgspec.structs.replace(
            self,
            queues=(*self.queues, *(q for q in known.queues if q.name not in queues)),
            services=(*self.services, *(s for s in known.services if s.name not in services)),
        )

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the host's queue whose path prefix is the longest match; None if none matches.

        ``host`` may include a port and is compared case-insensitively.
        """
        name = host.partition(":")[0].lower()
        matching = (
            queue
            for queue in self.queues
            if queue.host.lower() == name and path.startswith(queue.path_prefix)
        )
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)


class EvacuationBounds(msgspec.Struct, frozen=True):
    """Bounds on what happens in evacuated data centres and after they are taken back."""

    start_seconds: float = 0.0
    """Time after the request from which no task may start there; 0 without a bound."""
    cold_factor: float = 0.0
    """Greatest ratio of a cold worker's runs to the mean of the warm workers; 0 for no limit."""
    cold_slack: float = 0.0
    """Number of runs that a cold worker may have beyond that."""


class Evacuations(msgspec.Struct, frozen=True):
    """The data centres in which the operator allows no starts."""

    evacuated: frozenset[ids.DataCentre] = frozenset()
    version: int = 0
    """Version of the store at which they were read."""
    read_at: float = float("-inf")
    """Latest time for which they are known to have been complete, on the reader's clock."""


class EndKind(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class RejectReason(enum.Enum):
    """Why a worker or its agent did not start a run; the value is sent in reports."""

    STALE_OWNER = "stale-owner"
    STALE_RUN = "stale-run"
    LEASE_EXPIRED = "lease-passed"
    NO_CAPACITY = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"
    NO_RESPONSE = "unanswered"
    NOT_READY = "not-ready"

    @classmethod
    def _missing_(cls, value: object) -> "RejectReason":
        # A reason of a newer agent. An error would keep its reports from ever being applied.
        return cls.MALFORMED


def get_job(task_name: str) -> ids.JobId:
    """Return the id of the job of a task."""
    return ids.JobId(task_name.partition(".")[0])


def make_task_name(job: ids.JobId, occurrence: int, stage: int, index: int) -> TaskName:
    return TaskName(f"{job}.{occurrence}.{stage}.{index}")
