"""Reconcile the assignments of an owned cell with the reports of its agents."""

from collections.abc import Iterable
from typing import Any

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.jobs import cell_state
from crocusrudder.jobs import chunks
from crocusrudder.jobs import job_registry
from crocusrudder.jobs import model
from crocusrudder.wire import messages

RESEND_SECONDS = 3.0
"""Interval at which a start or command is sent again until its effect is reported."""

PROVEN_SECONDS = 10.0
"""Running time after which a run proves that its job can run."""

CHECKPOINT_RECORD_SECONDS = 10.0
"""Interval at which checkpoints of a chunk's running tasks are recorded; limits row writes."""


class Reconciler:
    """Propose changes of chunk rows and send the starts and commands that are needed."""

    def __init__(self, workers: Any, jobs: job_registry.JobRegistry) -> None:
        self._workers = workers
        self._jobs = jobs

    def propose(
        self, cell: cell_state.OwnedCell, chunk: cell_state.TrackedChunk, now: float
    ) -> tuple[model.ChunkRow, list[effects.Effect]]:
        """Return the chunk's row with all known changes applied, and the messages to send."""
        row = chunk.row
        produced: list[effects.Effect] = []
        job = self._jobs.get(row.job)
        if job is not None and job.row.is_withdrawn:
            for position in chunk.pending:
                row = _withdraw(row, position, job.row)
        for position in chunk.assigned:
            row, sent = self._check_run(cell, chunk, row, position, now)
            produced += sent
        return row, produced

    def send_start(
        self, cell: cell_state.OwnedCell, chunk: cell_state.TrackedChunk, position: int, now: float
    ) -> list[effects.Effect]:
        """Send ``StartTask`` for an assignment that is committed."""
        task = chunk.row.tasks[position]
        job = self._jobs.get(chunk.row.job)
        view = self._workers.get_worker(task.worker)
        if view is None or job is None or view.cell != cell.cell:
            return []
        previous = chunk.sent_starts.get(position)
        is_repeat = previous is not None and previous.epoch == task.epoch
        first_sent_at = previous.first_sent_at if is_repeat else now
        chunk.sent_starts[position] = cell_state.SentStart(
            task.epoch, view.incarnation, first_sent_at, now
        )
        self._workers.record_start(task.worker, now)
        specification = job.row.specification
        start = messages.StartTask(
            cell=cell.cell,
            cell_epoch=cell.epoch,
            heartbeat=view.heartbeat,
            lease_seconds=self._workers.lease_seconds,
            task=chunk.row.get_task_id(position),
            epoch=task.epoch,
            size=specification.size,
            command=specification.command,
            checkpoint=task.checkpoint,
            urgent=specification.urgent,
        )
        return [effects.Send(view.agent, start, view.incarnation), effects.Count("starts_sent")]

    def stop_orphaned_runs(self, cell: cell_state.OwnedCell, now: float) -> list[effects.Effect]:
        """Stop reported runs whose row is deleted or names another worker or a later epoch."""
        produced: list[effects.Effect] = []
        for view in self._workers.list_workers(cell.cell):
            for key in view.runs:
                if self._is_orphaned(cell, key, view.worker):
                    produced += self.command(cell, view, messages.StopTask, key, now)
        return produced

    def command(
        self,
        cell: cell_state.OwnedCell,
        view: Any,
        kind: type[messages.StopTask] | type[messages.CheckpointTask],
        key: cell_state.RunKey,
        now: float,
    ) -> list[effects.Effect]:
        """Send a command about a run unless one was just sent or the rate limit is reached."""
        if now - cell.commanded_at.get(key, float("-inf")) < RESEND_SECONDS:
            return []
        if not cell.command_limits.try_take(view.worker, now):
            return []
        cell.commanded_at[key] = now
        message = kind(cell.cell, cell.epoch, *key)
        return [effects.Send(view.agent, message, view.incarnation)]

    def _is_orphaned(
        self, cell: cell_state.OwnedCell, key: cell_state.RunKey, worker: ids.WorkerId
    ) -> bool:
        task, epoch = key
        found = cell.find_task(task)
        if found is None:
            return True
        chunk, position = found
        row = chunk.row.tasks[position]
        if chunk.is_in_flight or epoch > row.epoch:
            return False
        return chunks.is_stale(row, epoch) or row.worker != worker

    def _check_run(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        row: model.ChunkRow,
        position: int,
        now: float,
    ) -> tuple[model.ChunkRow, list[effects.Effect]]:
        task = chunk.row.tasks[position]
        key = (chunk.row.get_task_id(position), task.epoch)
        job = self._jobs.get(chunk.row.job)
        is_withdrawn = job is not None and job.row.is_withdrawn
        report = cell.reported_ends.get(key)
        if report is not None:
            ended = _apply_end(row, position, report.status)
            return _withdraw_if(is_withdrawn, ended, position, job), []
        view = self._workers.get_worker(task.worker)
        if self._is_lost(cell, chunk, position, view, now):
            pending = chunks.return_to_pending(row, position, task.epoch, reason="run lost")
            return _withdraw_if(is_withdrawn, pending, position, job), []
        if view is None:
            return row, []
        status = view.runs.get(key)
        if status is not None:
            row = self._record_progress(chunk, row, position, status, job, now)
        if is_withdrawn:
            return row, self.command(cell, view, messages.StopTask, key, now)
        if key in cell.evictions:
            return row, self.command(cell, view, cell.evictions[key], key, now)
        if status is None:
            return row, self._repeat_start(cell, chunk, position, view, now)
        return row, []

    def _is_lost(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        position: int,
        view: Any,
        now: float,
    ) -> bool:
        """Return whether the current run has certainly ended without a report, or never started.

        This is certain once the lease of its worker has expired. Earlier, only an inventory under
        the current cell epoch that lacks the run proves it, and only for a run assigned under an
        earlier epoch, because agents refuse the start of such a run from then on.
        """
        task = chunk.row.tasks[position]
        if now > self._workers.lease_expiry(cell.cell, task.worker):
            return True
        key = (chunk.row.get_task_id(position), task.epoch)
        if view is None or not view.inventoried or key in view.runs:
            return False
        sent = chunk.sent_starts.get(position)
        return not cell.is_resumed and (sent is None or sent.epoch != task.epoch)

    def _record_progress(
        self,
        chunk: cell_state.TrackedChunk,
        row: model.ChunkRow,
        position: int,
        status: messages.TaskStatus,
        job: cell_state.TrackedJob | None,
        now: float,
    ) -> model.ChunkRow:
        sent = chunk.sent_starts.get(position)
        running = status.state is messages.RunState.RUNNING
        if running and job is not None and sent and now - sent.first_sent_at >= PROVEN_SECONDS:
            job.is_proven = True
        checkpoint = status.checkpoint
        if not checkpoint or checkpoint == row.tasks[position].checkpoint:
            return row
        if now - chunk.checkpoint_recorded_at < CHECKPOINT_RECORD_SECONDS:
            return row
        return chunks.record_checkpoint(row, position, status.epoch, checkpoint)

    def _repeat_start(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        position: int,
        view: Any,
        now: float,
    ) -> list[effects.Effect]:
        """Send the start again; if the worker has a new agent, send it a stop instead.

        An agent replies to a stop with a report even if it does not know the run, and refuses the
        start of that run from then on. An inventory proves nothing here: it may be a late message
        of a replaced agent.
        """
        if not view.inventoried or view.is_unresponsive(now):
            # A start to an unresponsive worker would only delay the expiry of its lease.
            return []
        task = chunk.row.tasks[position]
        sent = chunk.sent_starts.get(position)
        is_current = sent is not None and sent.epoch == task.epoch
        if not is_current or sent.incarnation != view.incarnation:
            key = (chunk.row.get_task_id(position), task.epoch)
            return self.command(cell, view, messages.StopTask, key, now)
        if now - sent.sent_at < RESEND_SECONDS:
            return []
        return self.send_start(cell, chunk, position, now)


def group_acknowledgements(
    reports: Iterable[tuple[cell_state.RunKey, cell_state.EndReport]],
) -> list[effects.Effect]:
    """Return one ``TaskReportAck`` per agent for the given reports."""
    grouped: dict[tuple[ids.ProcessId, ids.Incarnation], list[cell_state.RunKey]] = {}
    for key, report in reports:
        grouped.setdefault((report.sender, report.incarnation), []).append(key)
    return [
        effects.Send(sender, messages.TaskReportAck(tuple(keys)), incarnation)
        for (sender, incarnation), keys in grouped.items()
    ]


def _apply_end(row: model.ChunkRow, position: int, status: messages.TaskStatus) -> model.ChunkRow:
    if status.state is messages.RunState.SUCCEEDED:
        return chunks.complete(row, position, status.epoch, status.output)
    change = chunks.return_to_pending
    if status.state is messages.RunState.FAILED:
        change = chunks.fail
    return change(row, position, status.epoch, status.checkpoint, status.reason)


def _withdraw_if(
    is_withdrawn: bool, row: model.ChunkRow, position: int, job: cell_state.TrackedJob | None
) -> model.ChunkRow:
    pending = row.tasks[position].state is messages.TaskState.PENDING
    return _withdraw(row, position, job.row) if is_withdrawn and pending else row


def _withdraw(row: model.ChunkRow, position: int, job: model.JobRow) -> model.ChunkRow:
    if job.cancelled:
        return chunks.withdraw(row, position, messages.TaskState.CANCELLED)
    return chunks.withdraw(row, position, messages.TaskState.NEVER_RUNS, job.never_runs)
