"""Rows of jobs and of chunks of tasks, and their keys."""

import enum
from typing import Any

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.wire import messages

TASKS_PER_CHUNK = 64


class JobState(enum.Enum):
    """State of a job as stored in its row."""

    SUBMITTING = "submitting"
    """Its chunk rows are being written; none of its tasks may start."""
    ACCEPTED = "accepted"
    SUCCEEDED = "succeeded"
    CANCELLED = "cancelled"
    NEVER_RUNS = "never-runs"


ENDED_JOB_STATES = frozenset({JobState.SUCCEEDED, JobState.CANCELLED, JobState.NEVER_RUNS})


class JobSpecification(msgspec.Struct, frozen=True):
    """What a submitter requested, with the values of the batch record at that time."""

    job: ids.JobId
    team: ids.TeamId
    batch: str
    schema_version: int
    tasks: int
    size: messages.Resources
    command: str
    urgent: bool = False


class JobRow(msgspec.Struct, frozen=True):
    """Row ``job/<job id>``. ``cells`` holds the cell of each chunk, by chunk number."""

    specification: JobSpecification
    state: JobState
    cells: tuple[ids.CellId, ...]
    cancelled: bool = False
    never_runs: str = ""
    """Why the job was abandoned; empty if it was not."""
    succeeded_tasks: int = 0
    """Set when the job ends."""

    @property
    def has_ended(self) -> bool:
        """Return whether the row contains the final state."""
        return self.state in ENDED_JOB_STATES

    @property
    def is_withdrawn(self) -> bool:
        """Return whether the job is cancelled or abandoned, so that no further task may start."""
        return self.cancelled or bool(self.never_runs)


class TaskRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """One task in a chunk row; each assignment increments ``epoch``."""

    state: messages.TaskState = messages.TaskState.PENDING
    epoch: ids.TaskEpoch = ids.TaskEpoch(0)
    worker: ids.WorkerId = ids.WorkerId("")
    checkpoint: str = ""
    attempts: int = 0
    """Number of runs that failed."""
    failed_on: tuple[ids.WorkerId, ...] = ()
    """Workers on which runs failed, without duplicates, latest last."""
    output: str = ""
    reason: str = ""

    @property
    def has_ended(self) -> bool:
        return self.state not in (messages.TaskState.PENDING, messages.TaskState.ASSIGNED)


class WriteId(msgspec.Struct, frozen=True, array_like=True):
    """Identity of the last write of a chunk row.

    After a lost answer, a read shows by it whether the commit took effect.
    """

    incarnation: ids.Incarnation = ids.Incarnation("")
    sequence: int = 0


class ChunkRow(msgspec.Struct, frozen=True):
    """Row ``chunk/<cell>/<job>/<number>``: up to ``TASKS_PER_CHUNK`` tasks of a job."""

    job: ids.JobId
    cell: ids.CellId
    number: int
    tasks: tuple[TaskRow, ...]
    write: WriteId = WriteId()

    @property
    def key(self) -> ids.ChunkKey:
        return make_chunk_key(self.cell, self.job, self.number)

    @property
    def has_ended(self) -> bool:
        return all(task.has_ended for task in self.tasks)

    def get_task_id(self, position: int) -> ids.TaskId:
        return ids.make_task_id(self.job, self.number * TASKS_PER_CHUNK + position)

    def find_position(self, index: int) -> int | None:
        """Return the position of the task with an index in the job; None if it is elsewhere."""
        position = index - self.number * TASKS_PER_CHUNK
        return position if 0 <= position < len(self.tasks) else None


def make_job_key(job: ids.JobId) -> str:
    return f"job/{job}"


def make_chunk_key(cell: ids.CellId, job: ids.JobId, number: int) -> ids.ChunkKey:
    return ids.ChunkKey(f"chunk/{cell}/{job}/{number}")


def make_cell_prefix(cell: ids.CellId) -> str:
    """Return the prefix of the keys of all chunk rows of a cell."""
    return f"chunk/{cell}/"


def make_job_prefix(cell: ids.CellId, job: ids.JobId) -> str:
    """Return the prefix of the keys of a job's chunk rows in a cell."""
    return f"chunk/{cell}/{job}/"


def list_chunk_keys(job: JobRow) -> list[ids.ChunkKey]:
    """Return the keys of all chunk rows of a job, by chunk number."""
    name = job.specification.job
    return [make_chunk_key(cell, name, number) for number, cell in enumerate(job.cells)]


def split_task_id(task: ids.TaskId) -> tuple[ids.JobId, int]:
    """Return the job and the index of a task.

    Raises ``ValueError`` if the id does not have the form ``job.index``.
    """
    job, _, index = task.rpartition(".")
    return ids.JobId(job), int(index)


def dump_row(row: JobRow | ChunkRow) -> dict[str, Any]:
    """Return the value to store for a row, in JSON types."""
    return msgspec.to_builtins(row)


def load_job(row: effects.Row) -> JobRow:
    """Decode a job row. Raises ``msgspec.ValidationError``."""
    return msgspec.convert(row.value, JobRow)


def load_chunk(row: effects.Row) -> ChunkRow:
    """Decode a chunk row. Raises ``msgspec.ValidationError``."""
    return msgspec.convert(row.value, ChunkRow)
