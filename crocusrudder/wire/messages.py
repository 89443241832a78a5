"""Messages between the processes of the system.

Messages may be lost, duplicated, delayed and reordered. Each is idempotent or carries an identity
by which the receiver recognises a repeat. Remaining times are in milliseconds, sizes in the units
that the field names say.
"""

import enum

import msgspec

from crocusrudder.core import ids

PROTOCOL_MAJOR = 1
PROTOCOL_MINOR = 0


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages; on the wire an array that starts with the type's name."""


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource of a worker."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class TaskState(enum.Enum):
    """State of a task as its chunk row holds it."""

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
    """Why an agent refuses a start or a request."""

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
    """One run on a worker. ``usage`` is what the runtime last measured, with a lag."""

    task: ids.TaskId
    epoch: ids.TaskEpoch
    state: RunState
    checkpoint: str = ""
    output: str = ""
    reason: str = ""
    usage: Resources = Resources()


class Hello(Message, frozen=True):
    """Ask who owns the cell, and offer the worker to that owner."""

    cell: ids.CellId
    worker: ids.WorkerId
    cell_epoch: ids.CellEpoch
    """Highest cell epoch that the agent has acknowledged."""
    endpoints: tuple[EndpointStatus, ...] = ()
    """Endpoints of the worker, so that requests reach them while the cell has no owner."""


class Heartbeat(Message, frozen=True):
    """Report a worker to the owner of its cell.

    ``full`` says that ``tasks`` is the whole list of runs on the worker, taken after the agent
    acknowledged ``cell_epoch``; otherwise it holds the changed ones.
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
    """Latest p99 latency in milliseconds of each service on the worker."""
    has_endpoints: bool = False
    """Whether ``endpoints`` is the complete list; otherwise it is unchanged and left out."""


class TaskReport(Message, frozen=True):
    """Report the end of runs; repeated until acknowledged."""

    cell: ids.CellId
    worker: ids.WorkerId
    tasks: tuple[TaskStatus, ...]


class ConfigurationRequest(Message, frozen=True):
    """Ask for the changes after ``revision``."""

    revision: ids.Revision


# Entry to agent.


class OwnerIs(Message, frozen=True):
    """Name the owner of a cell as far as the sender knows; empty owner if unknown."""

    cell: ids.CellId
    owner: ids.ProcessId
    address: str
    cell_epoch: ids.CellEpoch


class Welcome(Message, frozen=True):
    """Accept a worker: the sender owns the cell under ``cell_epoch``.

    The agent answers with a full heartbeat under that epoch, and from then on refuses commands
    under lower ones.
    """

    cell: ids.CellId
    cell_epoch: ids.CellEpoch


class HeartbeatAck(Message, frozen=True):
    """Renew the worker's lease: it runs from the agent's send time of heartbeat ``sequence``."""

    sequence: int
    cell: ids.CellId
    cell_epoch: ids.CellEpoch
    lease_seconds: float


class TaskReportAck(Message, frozen=True):
    """Tell the agent that the ends of these runs are recorded and may be forgotten."""

    runs: tuple[tuple[ids.TaskId, ids.TaskEpoch], ...]


class StartTask(Message, frozen=True):
    """Start a run of a task whose assignment has been committed."""

    cell: ids.CellId
    cell_epoch: ids.CellEpoch
    heartbeat: int
    """Sequence of the latest heartbeat that the owner received from this agent."""
    lease_seconds: float
    task: ids.TaskId
    epoch: ids.TaskEpoch
    size: Resources
    command: str
    checkpoint: str = ""
    urgent: bool = False


class StopTask(Message, frozen=True):
    """Stop a run (cancelled or superseded); answered by a report with state STOPPED."""

    cell: ids.CellId
    cell_epoch: ids.CellEpoch
    task: ids.TaskId
    epoch: ids.TaskEpoch


class CheckpointTask(Message, frozen=True):
    """Checkpoint a run and stop it, so that the task can resume elsewhere."""

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
    """Request window of the agent as the sender knew it at the claim."""
    remaining_ms: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class QueryOutcome(Message, frozen=True):
    """Ask what became of an attempt; if it never started, it never will after the answer."""

    team: ids.TeamId
    key: ids.IdempotencyKey
    attempt: int
    window: int


class AttemptState(enum.Enum):
    """What an agent knows about an attempt."""

    NEVER_STARTED = "never-started"
    RUNNING = "running"
    ANSWERED = "answered"
    BROKEN = "broken"


class Response(msgspec.Struct, frozen=True, array_like=True):
    """A whole HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class RequestAnswer(Message, frozen=True):
    """Answer a forwarded attempt.

    NEVER_STARTED means refused for ``reason``; BROKEN means that it may have run.
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
    """Answer ``QueryOutcome``."""

    team: ids.TeamId
    key: ids.IdempotencyKey
    attempt: int
    state: AttemptState
    response: Response | None = None


# Entry to entry, and configuration to agents.


class ConfigurationChange(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change; ``record`` is None when the record was retired."""

    revision: ids.Revision
    change: ids.ChangeId
    kind: str
    name: str
    schema_version: int
    record: dict | None


class ConfigurationUpdate(Message, frozen=True):
    """Changes after revision ``base``, in order; a snapshot of all records if ``snapshot``."""

    base: ids.Revision
    revision: ids.Revision
    snapshot: bool
    changes: tuple[ConfigurationChange, ...]
    verified: bool = True
    """Whether the sender's configuration was confirmed by the store or a majority of entries."""


class CellDigest(msgspec.Struct, frozen=True, array_like=True):
    """Summary of a cell by its owner."""

    cell: ids.CellId
    data_centre: ids.DataCentre
    cell_epoch: ids.CellEpoch
    workers: int
    free: Resources
    largest_free: Resources
    pending_tasks: int
    lowest_revision: ids.Revision
    behind: tuple[ids.ProcessId, ...] = ()
    """Agents behind the owner's revision, at most 8."""
    shapes: tuple[Resources, ...] = ()
    """Distinct capacities of the cell's workers; empty if unknown or more than 8."""


class EndpointAt(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint and the agent that serves it."""

    status: EndpointStatus
    agent: ids.ProcessId
    incarnation: ids.Incarnation
    address: str
    data_centre: ids.DataCentre
    cell: ids.CellId = ids.CellId("")


class EntryDigest(Message, frozen=True):
    """Tell the other entries about the sender and its cells.

    ``endpoints`` holds the endpoints of the cells in ``full_cells`` completely; an endpoint that
    is missing there has gone. ``generation`` grows when the endpoints of the sender change; a
    receiver that has the endpoints of another generation asks for them.
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
    """Ask an entry for a digest with the endpoints of all of its cells."""


class ChunkAssigned(Message, frozen=True):
    """Tell the owner of a cell that new chunks of a job wait in it."""

    cell: ids.CellId
    job: ids.JobId


class CancelJob(Message, frozen=True):
    """Tell the owners that a job's cancellation has been committed."""

    job: ids.JobId


# State dump of a process on request.


class DumpRequest(Message, frozen=True):
    """Ask a process for its state."""

    dump: str


class DumpAnswer(Message, frozen=True):
    """State of a process as JSON text."""

    dump: str
    state: bytes


class Refused(Message, frozen=True):
    """Refuse an envelope: newer major version, broken content or another incarnation."""

    code: str
    text: str


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Frame around each message. Empty ``destination_incarnation`` accepts any."""

    major: int
    minor: int
    sender: ids.ProcessId
    sender_incarnation: ids.Incarnation
    sender_address: str
    destination_incarnation: ids.Incarnation
    message: msgspec.Raw
