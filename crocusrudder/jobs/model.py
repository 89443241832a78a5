"""Rows of jobs and of their tasks, and their keys."""

import enum
from typing import Any

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.wire import messages

TASKS_PER_CHUNK = 64


class JobState(enum.Enum):
    """State of a job as its row holds it."""

    SUBMITTING = "submitting"
    """Its chunk rows are being written; none of its tasks may start."""
    ACCEPTED = "accepted"
    SUCCEEDED = "succeeded"
    CANCELLED = "cancelled"
    NEVER_RUNS = "never-runs"


ENDED_JOB_STATES = frozenset({JobState.SUCCEEDED, JobState.CANCELLED, JobState.NEVER_RUNS})


class JobSpecification(msgspec.Struct, frozen=True):
    """What a submitter asked for, with the values of the batch record at the submission."""

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
    """Why the job was given up; empty if it was not."""
    succeeded_tasks: int = 0
    """Set when the job has ended."""

    @property
    def ended(self) -> bool:
        """Return whether the outcome is stored."""
        return self.state in ENDED_JOB_STATES

    @property
    def withdrawn(self) -> bool:
        """Return whether no task of the job may start any more."""
        return self.cancelled or bool(self.never_runs)


class TaskRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """One task in a chunk row; ``epoch`` grows with each assignment."""

    state: messages.TaskState = messages.TaskState.PENDING
    epoch: ids.TaskEpoch = ids.TaskEpoch(0)
    worker: ids.WorkerId = ids.WorkerId("")
    checkpoint: str = ""
    attempts: int = 0
    """Runs that failed."""
    failed_on: tuple[ids.WorkerId, ...] = ()
    """Workers on which runs failed, each once."""
    output: str = ""
    reason: str = ""

    @property
    def ended(self) -> bool:
        """Return whether the task will not run again."""
        return self.state not in (messages.TaskState.PENDING, messages.TaskState.ASSIGNED)


class WriteId(msgspec.Struct, frozen=True, array_like=True):
    """Identity of the last write of a chunk row, by which a read recognises a lost answer."""

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
        """Return the key of the row."""
        return make_chunk_key(self.cell, self.job, self.number)

    @property
    def ended(self) -> bool:
        """Return whether all tasks have ended."""
        return all(task.ended for task in self.tasks)

    def get_task_id(self, position: int) -> ids.TaskId:
        """Return the id of the task at a position in this chunk."""
        return ids.make_task_id(self.job, self.number * TASKS_PER_CHUNK + position)

    def find_position(self, index: int) -> int | None:
        """Return the position of a task by its index in the job, or None."""
        position = index - self.number * TASKS_PER_CHUNK
        return position if 0 <= position < len(self.tasks) else None


def make_job_key(job: ids.JobId) -> str:
    """Return the key of a job's row."""
    return f"job/{job}"


def make_chunk_key(cell: ids.CellId, job: ids.JobId, number: int) -> ids.ChunkKey:
    """Return the key of a chunk row."""
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
    """Return the job and the index of a task. Raises ``ValueError`` for another form."""
    job, _, index = task.rpartition(".")
    return ids.JobId(job), int(index)


def dump_row(row: JobRow | ChunkRow) -> dict[str, Any]:
    """Return the value of a table row, in JSON types."""
    return msgspec.to_builtins(row)


def load_job(row: effects.Row) -> JobRow:
    """Return the job that a table row holds. Raises ``msgspec.ValidationError``."""
    return msgspec.convert(row.value, JobRow)


def load_chunk(row: effects.Row) -> ChunkRow:
    """Return the chunk that a table row holds. Raises ``msgspec.ValidationError``."""
    return msgspec.convert(row.value, ChunkRow)
