"""In-memory state of an owner about its cells: chunks, jobs, reports and rate limits."""

import collections

import msgspec

from crocusrudder.core import ids
from crocusrudder.jobs import model
from crocusrudder.jobs import rates
from crocusrudder.placement import model as placement_model
from crocusrudder.wire import messages

RunKey = tuple[ids.TaskId, ids.TaskEpoch]


class Limits(msgspec.Struct, frozen=True):
    """Rate limits of one cell: units per second and the size of a burst."""

    row_writes: tuple[float, float] = (5.0, 16.0)
    """A 32nd of the 160 row writes/s of the store's budget that are for chunk rows."""
    cell_starts: tuple[float, float] = (35.0, 40.0)
    """Twice the share of one cell (of 32) in the peak load of 550 starts/s."""
    worker_starts: tuple[float, float] = (4.0, 4.0)
    cell_commands: tuple[float, float] = (35.0, 40.0)
    """Stops, checkpoints and throttles."""
    worker_commands: tuple[float, float] = (4.0, 8.0)


DEFAULT_LIMITS = Limits()

CHUNK_SHARE = 160 / 300
"""Share of the store's row writes that is for chunk rows."""


def make_limits(write_budget: float, cells: int) -> Limits:
    """Return the limits of one of ``cells`` cells that share a budget of row writes/s."""
    share = write_budget * CHUNK_SHARE / max(1, cells)
    burst = max(share, DEFAULT_LIMITS.row_writes[1])
    return msgspec.structs.replace(DEFAULT_LIMITS, row_writes=(share, burst))


class SentStart(msgspec.Struct, frozen=True):
    """The latest ``StartTask`` that this owner sent for a task."""

    epoch: ids.TaskEpoch
    incarnation: ids.Incarnation
    first_sent_at: float
    sent_at: float


class EndReport(msgspec.Struct, frozen=True):
    """The end of a run that an agent reported and that is not yet committed to the chunk row."""

    status: messages.TaskStatus
    sender: ids.ProcessId
    incarnation: ids.Incarnation


class TrackedChunk:
    """The last known state of a chunk row in the table, and the change in flight."""

    def __init__(self, row: model.ChunkRow, version: int) -> None:
        self.key = row.key
        self.row = row
        self.version = version
        self.proposed: model.ChunkRow | None = None
        self.is_in_flight = False
        """Whether a commit of this row is in flight or its outcome is unknown."""
        self.is_due = True
        """Whether the runs must be checked at once, after a report or a new row."""
        self.checked_at = float("-inf")
        self.sent_starts: dict[int, SentStart] = {}
        self.is_adopted = False
        """Whether the policy was notified of the tasks assigned when the row was loaded."""
        self.checkpoint_recorded_at = float("-inf")
        """When a checkpoint of a run that continues was last recorded."""
        self.ended_at: float | None = None
        """When this owner first saw that the job had ended; the retention time counts from then."""
        self.set_row(row, version)

    def set_row(self, row: model.ChunkRow, version: int) -> None:
        """Replace the row, and derive the pending and assigned positions and the counts from it."""
        self.row = row
        self.version = version
        states = messages.TaskState
        self.pending = self._find(states.PENDING)
        self.assigned = self._find(states.ASSIGNED)
        self.has_ended = not self.pending and not self.assigned
        self.failures = sum(task.attempts for task in row.tasks)
        self.has_success = any(task.state is states.SUCCEEDED for task in row.tasks)
        self.is_due = True

    @property
    def latest(self) -> model.ChunkRow:
        """Return the row with the change in flight, if there is one."""
        return self.proposed or self.row

    def _find(self, state: messages.TaskState) -> tuple[int, ...]:
        tasks = enumerate(self.row.tasks)
        return tuple(position for position, task in tasks if task.state is state)


class TrackedJob:
    """A job row as last read, and what this owner observed of the job's runs."""

    def __init__(self, row: model.JobRow, version: int) -> None:
        self.row = row
        self.version = version
        self.abandon_reason = ""
        """Reason to abandon the job that is not yet written to its row; empty for none."""
        self.is_proven = False
        """Whether a run has lasted long enough to show that the job can run."""
        self.consecutive_failures = 0
        self.next_start_at = float("-inf")
        self.is_busy = False
        """Whether a write of the row or a read of its chunks is in flight."""
        self.retry_at = float("-inf")

    @property
    def is_startable(self) -> bool:
        accepted = self.row.state is model.JobState.ACCEPTED
        return accepted and not self.row.is_withdrawn and not self.abandon_reason

    def describe_task(self, task: ids.TaskId, row: model.TaskRow) -> placement_model.PlacementTask:
        """Return the description of a task for the placement policy."""
        specification = self.row.specification
        return placement_model.PlacementTask(
            task=task,
            job=specification.job,
            job_class=specification.batch,
            team=specification.team,
            size=specification.size,
            urgent=specification.urgent,
            failures=row.attempts,
        )


class OwnedCell:
    """A cell under one ownership epoch; dropped as a whole when the ownership ends."""

    def __init__(
        self, cell: ids.CellId, epoch: ids.CellEpoch, resumed: bool, limits: Limits
    ) -> None:
        self.cell = cell
        self.epoch = epoch
        self.is_resumed = resumed
        """Whether this process owned the cell under the same epoch before.

        Starts that it sent then may still be in flight.
        """
        self.is_loaded = False
        self.is_scanning = False
        self.next_scan_at = float("-inf")
        self.is_fenced = False
        """Whether a failed commit showed that another entry owns the cell."""
        self.next_commit_at = float("-inf")
        """Time before which no commit is sent because the store was unavailable."""
        self.last_pass_at = float("-inf")
        self.chunks: dict[ids.ChunkKey, TrackedChunk] = {}
        self.by_job: dict[ids.JobId, dict[ids.ChunkKey, TrackedChunk]] = collections.defaultdict(
            dict
        )
        self.reported_ends: dict[RunKey, EndReport] = {}
        self.evictions: dict[RunKey, type[messages.Message]] = {}
        """Type of the command (checkpoint or stop) that is repeated until the run has ended."""
        self.commanded_at: dict[RunKey, float] = {}
        self.rotation = 0
        self.consecutive_urgent_starts = 0
        """Urgent starts since the last start of a job that is not urgent."""
        self.row_write_limit = rates.TokenBucket(*limits.row_writes)
        self.start_limits = rates.KeyedBuckets(limits.cell_starts, limits.worker_starts)
        self.command_limits = rates.KeyedBuckets(limits.cell_commands, limits.worker_commands)

    def add(self, chunk: TrackedChunk) -> None:
        self.chunks[chunk.key] = chunk
        self.by_job[chunk.row.job][chunk.key] = chunk

    def drop(self, chunk: TrackedChunk) -> None:
        """Remove a chunk; no error if it is absent."""
        self.chunks.pop(chunk.key, None)
        remaining = self.by_job.get(chunk.row.job, {})
        remaining.pop(chunk.key, None)
        if not remaining:
            self.by_job.pop(chunk.row.job, None)

    def find_task(self, task: ids.TaskId) -> tuple[TrackedChunk, int] | None:
        """Return the chunk of a task and its position there, or None if the chunk is not loaded."""
        try:
            job, index = model.split_task_id(task)
        except ValueError:
            return None
        number, position = divmod(index, model.TASKS_PER_CHUNK)
        chunk = self.chunks.get(model.make_chunk_key(self.cell, job, number))
        if chunk is None or position >= len(chunk.row.tasks):
            return None
        return chunk, position
