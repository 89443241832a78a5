"""State transitions of the tasks in chunk rows.

All functions are pure and return a new row. A transition that the task's state does not allow
raises ``TransitionError``; a report of an old epoch or about a task that is not assigned raises
``StaleReportError``.
"""

import itertools
from collections.abc import Sequence

import msgspec

from crocusrudder.core import ids
from crocusrudder.jobs import errors
from crocusrudder.jobs import model
from crocusrudder.wire import messages

MAX_FAILED_WORKERS = 6
"""Failed workers stored per task; the rule that abandons a job needs no more."""


def make_chunks(job: ids.JobId, tasks: int, cells: Sequence[ids.CellId]) -> list[model.ChunkRow]:
    """Return the chunk rows of a new job; ``cells`` holds the cell of each chunk."""
    if tasks < 1 or len(cells) != count_chunks(tasks):
        raise errors.TransitionError(f"{tasks} tasks do not make {len(cells)} chunks")
    starts = itertools.count(0, model.TASKS_PER_CHUNK)
    lengths = (min(model.TASKS_PER_CHUNK, tasks - start) for start in starts)
    return [
        model.ChunkRow(job, cell, number, (model.TaskRow(),) * length)
        for number, (cell, length) in enumerate(zip(cells, lengths, strict=False))
    ]


def count_chunks(tasks: int) -> int:
    return -(-tasks // model.TASKS_PER_CHUNK)


def assign(row: model.ChunkRow, position: int, worker: ids.WorkerId) -> model.ChunkRow:
    """Assign a pending task to a worker and increment its epoch."""
    task = _require(row, position, messages.TaskState.PENDING)
    assigned = msgspec.structs.replace(
        task,
        state=messages.TaskState.ASSIGNED,
        epoch=ids.TaskEpoch(task.epoch + 1),
        worker=worker,
        reason="",
    )
    return _replace(row, position, assigned)


def complete(
    row: model.ChunkRow, position: int, epoch: ids.TaskEpoch, output: str
) -> model.ChunkRow:
    """Record the success of the current run."""
    task = _require_current(row, position, epoch)
    succeeded = msgspec.structs.replace(task, state=messages.TaskState.SUCCEEDED, output=output)
    return _replace(row, position, succeeded)


def return_to_pending(
    row: model.ChunkRow, position: int, epoch: ids.TaskEpoch, checkpoint: str = "", reason: str = ""
) -> model.ChunkRow:
    """Return an assigned task to pending; an empty ``checkpoint`` keeps the recorded one."""
    task = _require_current(row, position, epoch)
    pending = msgspec.structs.replace(
        task,
        state=messages.TaskState.PENDING,
        worker=ids.WorkerId(""),
        checkpoint=checkpoint or task.checkpoint,
        reason=reason,
    )
    return _replace(row, position, pending)


def fail(
    row: model.ChunkRow, position: int, epoch: ids.TaskEpoch, checkpoint: str = "", reason: str = ""
) -> model.ChunkRow:
    """Record that the current run failed and return the task to pending."""
    task = _require_current(row, position, epoch)
    failed_on = (*(name for name in task.failed_on if name != task.worker), task.worker)
    pending = return_to_pending(row, position, epoch, checkpoint, reason).tasks[position]
    failed = msgspec.structs.replace(
        pending, attempts=task.attempts + 1, failed_on=failed_on[-MAX_FAILED_WORKERS:]
    )
    return _replace(row, position, failed)


def record_checkpoint(
    row: model.ChunkRow, position: int, epoch: ids.TaskEpoch, checkpoint: str
) -> model.ChunkRow:
    """Record a checkpoint of the current run, which continues."""
    task = _require_current(row, position, epoch)
    return _replace(row, position, msgspec.structs.replace(task, checkpoint=checkpoint))


def withdraw(
    row: model.ChunkRow, position: int, state: messages.TaskState, reason: str = ""
) -> model.ChunkRow:
    """End a pending task as ``CANCELLED`` or ``NEVER_RUNS``."""
    if state not in (messages.TaskState.CANCELLED, messages.TaskState.NEVER_RUNS):
        raise errors.TransitionError(f"a pending task cannot end as {state.value}")
    task = _require(row, position, messages.TaskState.PENDING)
    return _replace(row, position, msgspec.structs.replace(task, state=state, reason=reason))


def is_stale(task: model.TaskRow, epoch: ids.TaskEpoch) -> bool:
    """Return whether reports of a run of ``epoch`` can no longer change the task."""
    return epoch < task.epoch or task.state is not messages.TaskState.ASSIGNED


def _require(row: model.ChunkRow, position: int, state: messages.TaskState) -> model.TaskRow:
    task = row.tasks[position]
    if task.state is not state:
        name = row.get_task_id(position)
        raise errors.TransitionError(f"{name} is {task.state.value}, not {state.value}")
    return task


def _require_current(row: model.ChunkRow, position: int, epoch: ids.TaskEpoch) -> model.TaskRow:
    task = row.tasks[position]
    if is_stale(task, epoch):
        raise errors.StaleReportError(
            f"stale report for epoch {epoch} of {row.get_task_id(position)}: "
            f"the task is {task.state.value} at epoch {task.epoch}"
        )
    if epoch > task.epoch:
        raise errors.TransitionError(
            f"epoch {epoch} of {row.get_task_id(position)} is above the row's epoch {task.epoch}"
        )
    return task


def _replace(row: model.ChunkRow, position: int, task: model.TaskRow) -> model.ChunkRow:
    tasks = (*row.tasks[:position], task, *row.tasks[position + 1 :])
    return msgspec.structs.replace(row, tasks=tasks)
