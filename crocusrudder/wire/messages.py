"""Messages between processes.

Messages may be lost, duplicated, delayed and reordered. Each is idempotent or carries an identity
by which the receiver detects duplicates. Remaining times are in milliseconds, and sizes in the
units that their field names state.
"""

import enum

import msgspec

from crocusrudder.core import ids

PROTOCOL_MAJOR = 1
PROTOCOL_MINOR = 0
MAX_INTEGER = 2**63 - 1
"""Greatest integer that any field of a message can carry."""


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages; encoded as an array that starts with the class name."""


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Amounts of the resources of a worker."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def is_within(self, other: "Resources") -> bool:
        """Return whether no amount exceeds that of the same resource in ``other``."""
        return (
            self.millicores <= other.millicores
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


class TaskState(enum.Enum):
    """State of a task as stored in its chunk row."""

    PENDING = "pending"
    ASSIGNED = "assigned"
    SUCCEEDED = "succeeded"
    CANCELLED = "cancelled"
    NEVER_RUNS = "never-runs"


class RunState(enum.Enum):
    """State of one run of a task as its agent reports it."""

    STARTING = "starting"
    RUNNING = "running"
    SUSPENDED = "suspended"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    REFUSED = "refused"


class RefusalReason(enum.Enum):
    """Reason for which an agent refuses a start or a request."""

    NOT_READY = "not-ready"
    STALE_OWNER = "stale-owner"
    STALE_EPOCH = "stale-epoch"
    STALE_INCARNATION = "stale-incarnation"
    STALE_CONFIGURATION = "stale-configuration"
    LEASE_LAPSED = "lease-lapsed"
    NO_CAPACITY = "no-capacity"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline-passed"
    TOMBSTONED = "tombstoned"
    ENDPOINT_DOWN = "endpoint-down"
    UNKNOWN_ENDPOINT = "unknown-endpoint"


# Agent to entry.


class EndpointStatus(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint as its agent announces it."""

    endpoint: ids.EndpointId
    service: ids.ServiceName
    schema_version: int
    slots: int
    connections: int
    draining: bool = False
    window: int = 0
    """Current request window of the agent."""


class TaskStatus(msgspec.Struct, frozen=True, array_like=True):
    """One run on a worker; ``usage`` is the last measurement of the runtime, with a delay."""

    task: ids.TaskId
    epoch: ids.TaskEpoch
    state: RunState
    checkpoint: str = ""
    output: str = ""
    reason: str = ""
    usage: Resources = Resources()


class Hello(Message, frozen=True):
    """Query the owner of the cell and offer the worker to it."""

    cell: ids.CellId
    worker: ids.WorkerId
    cell_epoch: ids.CellEpoch
    """Highest cell epoch that the agent has acknowledged."""
    endpoints: tuple[EndpointStatus, ...] = ()
    """Endpoints of the worker; with them, requests reach it while the cell has no owner."""


class Heartbeat(Message, frozen=True):
    """Report the state of a worker to the owner of its cell.

    If ``full``, ``tasks`` lists all runs on the worker, taken after the agent acknowledged
    ``cell_epoch``; otherwise it lists the changed runs.
    """

    sequence: int
    cell: ids.CellId
    worker: ids.WorkerId
    cell_epoch: ids.CellEpoch
    revision: ids.Revision
    full: bool
    draining: bool
    capacity: Resources
    reserved: Resources
    endpoints: tuple[EndpointStatus, ...] = ()
    tasks: tuple[TaskStatus, ...] = ()
    latencies: tuple[tuple[ids.ServiceName, float], ...] = ()
    """Latest p99 latency of each service on the worker, in milliseconds."""
    has_endpoints: bool = False
    """Whether ``endpoints`` holds the complete list; otherwise it is omitted as unchanged."""


class TaskReport(Message, frozen=True):
    """Report runs that have ended; resent until acknowledged."""

    cell: ids.CellId
    worker: ids.WorkerId
    tasks: tuple[TaskStatus, ...]


class ConfigurationRequest(Message, frozen=True):
    """Request the configuration changes after ``revision``."""

    revision: ids.Revision


# Entry to agent.


class OwnerIs(Message, frozen=True):
    """Name the owner of a cell to the sender's knowledge; ``owner`` is empty if unknown."""

    cell: ids.CellId
    owner: ids.ProcessId
    address: str
    cell_epoch: ids.CellEpoch


class Welcome(Message, frozen=True):
    """Accept a worker: the sender owns the cell under ``cell_epoch``.

    The agent replies with a full heartbeat under that epoch and from then on refuses commands of
    lower epochs.
    """

    cell: ids.CellId
    cell_epoch: ids.CellEpoch


class HeartbeatAck(Message, frozen=True):
    """Renew the lease of the worker, counted from when the agent sent heartbeat ``sequence``."""

    sequence: int
    cell: ids.CellId
    cell_epoch: ids.CellEpoch
    lease_seconds: float


class TaskReportAck(Message, frozen=True):
    """Confirm that the ends of these runs are recorded, so the agent may forget the runs."""

    runs: tuple[tuple[ids.TaskId, ids.TaskEpoch], ...]


class StartTask(Message, frozen=True):
    """Start a run of a task whose assignment has been committed."""

    cell: ids.CellId
    cell_epoch: ids.CellEpoch
    heartbeat: int
    """Sequence number of the latest heartbeat that the owner received from this agent."""
    lease_seconds: float
    task: ids.TaskId
    epoch: ids.TaskEpoch
    size: Resources
    command: str
    checkpoint: str = ""
    urgent: bool = False


class StopTask(Message, frozen=True):
    """Stop a cancelled or superseded run; the agent replies with a report in state STOPPED."""

    cell: ids.CellId
    cell_epoch: ids.CellEpoch
    task: ids.TaskId
    epoch: ids.TaskEpoch


class CheckpointTask(Message, frozen=True):
    """Checkpoint and stop a run, so that the task can resume on another worker."""

    cell: ids.CellId
    cell_epoch: ids.CellEpoch
    task: ids.TaskId
    epoch: ids.TaskEpoch


class ThrottleTask(Message, frozen=True):
    """Limit a run to ``share`` (0 to 1) of its processors."""

    cell: ids.CellId
    cell_epoch: ids.CellEpoch
    task: ids.TaskId
    epoch: ids.TaskEpoch
    share: float


class ForwardRequest(Message, frozen=True):
    """Forward one attempt of a caller's request to an endpoint.

    An attempt is identified by (team, key, attempt). Idempotent requests have a fresh key.
    """

    endpoint: ids.EndpointId
    team: ids.TeamId
    key: ids.IdempotencyKey
    attempt: int
    idempotent: bool
    standing: bool
    revision: ids.Revision
    window: int
    """Request window of the agent as known to the sender at the claim."""
    remaining_ms: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class QueryOutcome(Message, frozen=True):
    """Query the outcome of an attempt; one that has not started never starts after the reply."""

    team: ids.TeamId
    key: ids.IdempotencyKey
    attempt: int
    window: int


class AttemptState(enum.Enum):
    """State of an attempt as known to its agent."""

    NEVER_STARTED = "never-started"
    RUNNING = "running"
    ANSWERED = "answered"
    BROKEN = "broken"


class Response(msgspec.Struct, frozen=True, array_like=True):
    """A complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class RequestAnswer(Message, frozen=True):
    """Reply to ``ForwardRequest``.

    NEVER_STARTED means that the attempt was refused for ``reason``, BROKEN that it may have run.
    """

    team: ids.TeamId
    key: ids.IdempotencyKey
    attempt: int
    state: AttemptState
    response: Response | None = None
    reason: RefusalReason | None = None
    in_flight: int = 0
    revision: ids.Revision = ids.Revision(0)
    window: int = 0


class OutcomeReport(Message, frozen=True):
    """Reply to ``QueryOutcome``."""

    team: ids.TeamId
    key: ids.IdempotencyKey
    attempt: int
    state: AttemptState
    response: Response | None = None


# Entry to entry, and configuration to agents.


class ConfigurationChange(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change; ``record`` is None if the record was retired."""

    revision: ids.Revision
    change: ids.ChangeId
    kind: str
    name: str
    schema_version: int
    record: dict | None


class ConfigurationUpdate(Message, frozen=True):
    """Changes after revision ``base`` in order, or all records if ``snapshot``."""

    base: ids.Revision
    revision: ids.Revision
    snapshot: bool
    changes: tuple[ConfigurationChange, ...]
    verified: bool = True
    """Whether the store or a majority of entries confirmed the configuration of the sender."""


class CellDigest(msgspec.Struct, frozen=True, array_like=True):
    """Summary of a cell, made by its owner."""

    cell: ids.CellId
    data_centre: ids.DataCentre
    cell_epoch: ids.CellEpoch
    workers: int
    free: Resources
    largest_free: Resources
    pending_tasks: int
    lowest_revision: ids.Revision
    behind: tuple[ids.ProcessId, ...] = ()
    """Agents whose revision is lower than that of the owner, at most 8."""
    shapes: tuple[Resources, ...] = ()
    """Distinct capacities of the workers of the cell; empty if unknown or more than 8."""


class EndpointAt(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint and the agent that serves it."""

    status: EndpointStatus
    agent: ids.ProcessId
    incarnation: ids.Incarnation
    address: str
    data_centre: ids.DataCentre
    cell: ids.CellId = ids.CellId("")


class EntryDigest(Message, frozen=True):
    """Send the state of the sender and its cells to the other entries.

    For the cells in ``full_cells``, ``endpoints`` is the complete list: a missing endpoint has been
    removed. ``generation`` increases when the endpoints of the sender change; a receiver that holds
    those of another generation requests them.
    """

    data_centre: ids.DataCentre
    revision: ids.Revision
    sequence: int
    stopping: bool
    cells: tuple[CellDigest, ...]
    full_cells: tuple[ids.CellId, ...] = ()
    endpoints: tuple[EndpointAt, ...] = ()
    generation: int = 0


class EndpointsRequest(Message, frozen=True):
    """Request a digest from an entry with the endpoints of all its cells."""


class ChunkAssigned(Message, frozen=True):
    """Notify the owner of a cell that it has new chunks of a job to schedule."""

    cell: ids.CellId
    job: ids.JobId


class CancelJob(Message, frozen=True):
    """Notify the owners that the cancellation of a job has been committed."""

    job: ids.JobId


# State dump of a process: request and reply.


class DumpRequest(Message, frozen=True):
    """Request the state of a process."""

    dump: str


class DumpAnswer(Message, frozen=True):
    """State of a process as JSON text."""

    dump: str
    state: bytes


class Refused(Message, frozen=True):
    """Refuse an envelope: newer major version, malformed content or wrong incarnation."""

    code: str
    text: str


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Frame of each message; an empty ``destination_incarnation`` matches any."""

    major: int
    minor: int
    sender: ids.ProcessId
    sender_incarnation: ids.Incarnation
    sender_address: str
    destination_incarnation: ids.Incarnation
    message: msgspec.Raw
