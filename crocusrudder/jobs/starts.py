"""Choose the pending tasks of an owned cell to start, and their workers."""

import collections
import itertools
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.jobs import cell_state
from crocusrudder.jobs import chunks
from crocusrudder.jobs import job_registry
from crocusrudder.jobs import model
from crocusrudder.jobs import reconciler as reconciler_module
from crocusrudder.wire import messages

MAX_CONSECUTIVE_URGENT_STARTS = 9
"""Urgent starts after which one start of other batch work is due, which gives it 10% of starts."""

MAX_UNPROVEN_STARTS = 6
"""Limit on the starts of a job without a success; by then it is abandoned or proven.

Each failure lowers the number of concurrent runs by one, down to one at a time.
"""

Proposals = dict[ids.ChunkKey, model.ChunkRow]


class _TaskSource:
    """The pending tasks of one job that may start, in order."""

    def __init__(
        self, job: cell_state.TrackedJob, candidates: Iterator[tuple[cell_state.TrackedChunk, int]]
    ) -> None:
        self.job = job
        self.candidates = candidates

    @property
    def placement_class(self) -> tuple[object, ...]:
        """Return the properties on which a refusal by the policy depends."""
        specification = self.job.row.specification
        return specification.job, specification.size


class StartChooser:
    """Assign pending tasks within the rate limits: urgent jobs first, jobs in rotation."""

    def __init__(
        self,
        workers: Any,
        policy: Any,
        jobs: job_registry.JobRegistry,
        reconciler: reconciler_module.Reconciler,
    ) -> None:
        self._workers = workers
        self._policy = policy
        self._jobs = jobs
        self._reconciler = reconciler

    def choose(
        self, cell: cell_state.OwnedCell, proposals: Proposals, spare_rows: int, now: float
    ) -> list[effects.Effect]:
        """Add assignments to ``proposals``, which may grow by ``spare_rows`` rows at most."""
        views = [
            view
            for view in self._workers.list_workers(cell.cell)
            if view.inventoried and not view.draining and not view.is_unresponsive(now)
        ]
        urgent, batch = self._collect(cell, now)
        row_budget = _RowBudget(proposals, spare_rows)
        produced: list[effects.Effect] = []
        while views and (urgent or batch) and cell.start_limits.count_available(now):
            queue = _pick_queue(cell, urgent, batch)
            source = queue.popleft()
            started, sent = self._start_next(cell, source, views, row_budget, now)
            produced += sent
            if started:
                queue.append(source)
                cell.consecutive_urgent_starts = (
                    cell.consecutive_urgent_starts + 1 if queue is urgent else 0
                )
        return produced

    def _collect(
        self, cell: cell_state.OwnedCell, now: float
    ) -> tuple[collections.deque[_TaskSource], collections.deque[_TaskSource]]:
        urgent: collections.deque[_TaskSource] = collections.deque()
        batch: collections.deque[_TaskSource] = collections.deque()
        for name, job_chunks in cell.by_job.items():
            if not any(chunk.pending for chunk in job_chunks.values()):
                continue
            job = self._jobs.get(name)
            if job is None or not job.is_startable or now < job.next_start_at:
                continue
            limit = _count_startable(job, job_chunks.values())
            candidates = itertools.islice(_list_pending(job_chunks.values()), limit)
            queue = urgent if job.row.specification.urgent else batch
            queue.append(_TaskSource(job, candidates))
        # Rotates the queue so that the same job is not first in every pass.
        batch.rotate(-cell.rotation)
        cell.rotation += 1
        return urgent, batch

    def _start_next(
        self,
        cell: cell_state.OwnedCell,
        source: _TaskSource,
        views: list[Any],
        row_budget: "_RowBudget",
        now: float,
    ) -> tuple[bool, list[effects.Effect]]:
        """Assign the next task of a job; return whether one was assigned, and the effects."""
        found = next((pair for pair in source.candidates if row_budget.can_change(pair[0])), None)
        if found is None:
            return False, []
        chunk, position = found
        row = chunk.row.tasks[position]
        task = source.job.describe_task(chunk.row.get_task_id(position), row)
        usable = [view for view in views if cell.start_limits.has_available(view.worker, now)]
        worker = self._policy.choose_worker(task, usable, now)
        if worker is None:
            return False, self._preempt(cell, task, views, now) if usable else []
        cell.start_limits.try_take(worker, now)
        row_budget.assign(chunk, position, worker)
        self._policy.record_start(task, worker, now)
        return True, []

    def _preempt(
        self, cell: cell_state.OwnedCell, task: Any, views: list[Any], now: float
    ) -> list[effects.Effect]:
        """Checkpoint batch runs to free capacity for an urgent task, one worker at a time."""
        if not task.urgent or any(self._is_running(cell, key) for key in cell.evictions):
            return []
        preemption = self._policy.propose_preemption(task, views, now)
        if preemption is None:
            return []
        view = next(view for view in views if view.worker == preemption.worker)
        produced: list[effects.Effect] = [effects.Count("preemptions")]
        for key in preemption.runs:
            cell.evictions[key] = messages.CheckpointTask
            produced += self._reconciler.command(cell, view, messages.CheckpointTask, key, now)
        return produced

    def _is_running(self, cell: cell_state.OwnedCell, key: cell_state.RunKey) -> bool:
        found = cell.find_task(key[0])
        return found is not None and not chunks.is_stale(found[0].row.tasks[found[1]], key[1])


class _RowBudget:
    """The rows that this pass may still change."""

    def __init__(self, proposals: Proposals, spare_rows: int) -> None:
        self._proposals = proposals
        self._spare_rows = spare_rows

    def can_change(self, chunk: cell_state.TrackedChunk) -> bool:
        """Return whether the chunk may be changed in this pass."""
        return chunk.key in self._proposals or self._spare_rows > 0

    def assign(self, chunk: cell_state.TrackedChunk, position: int, worker: ids.WorkerId) -> None:
        """Assign a task in the proposed row of its chunk."""
        if chunk.key not in self._proposals:
            self._spare_rows -= 1
        row = self._proposals.get(chunk.key, chunk.row)
        self._proposals[chunk.key] = chunks.assign(row, position, worker)


def _pick_queue(
    cell: cell_state.OwnedCell,
    urgent: collections.deque[_TaskSource],
    batch: collections.deque[_TaskSource],
) -> collections.deque[_TaskSource]:
    batch_due = cell.consecutive_urgent_starts >= MAX_CONSECUTIVE_URGENT_STARTS
    return batch if batch and (batch_due or not urgent) else urgent


def _list_pending(
    job_chunks: Iterable[cell_state.TrackedChunk],
) -> Iterator[tuple[cell_state.TrackedChunk, int]]:
    for chunk in job_chunks:
        if not chunk.is_in_flight:
            for position in chunk.pending:
                yield chunk, position


def _count_startable(
    job: cell_state.TrackedJob, job_chunks: Collection[cell_state.TrackedChunk]
) -> int | None:
    """Return how many tasks may start now; None for no limit.

    There is no limit if a task has succeeded, or if no run has failed and the job is urgent or
    proven.
    """
    failures = sum(chunk.failures for chunk in job_chunks)
    succeeded = any(chunk.has_success for chunk in job_chunks)
    urgent = job.row.specification.urgent
    if succeeded or (job.is_proven and not failures) or (urgent and not failures):
        return None
    outstanding = sum(map(_count_outstanding, job_chunks))
    return max(0, max(1, MAX_UNPROVEN_STARTS - failures) - outstanding)


def _count_outstanding(chunk: cell_state.TrackedChunk) -> int:
    if not chunk.is_in_flight:
        return len(chunk.assigned)
    assigned = messages.TaskState.ASSIGNED
    return sum(task.state is assigned for task in chunk.latest.tasks)
