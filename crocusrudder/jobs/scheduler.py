"""Schedule the tasks of owned cells: decide on starts, record ends, apply changes of ownership."""

import functools
from typing import Any

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.jobs import cell_state
from crocusrudder.jobs import chunks
from crocusrudder.jobs import job_registry
from crocusrudder.jobs import loader
from crocusrudder.jobs import model
from crocusrudder.jobs import reconciler
from crocusrudder.jobs import runs
from crocusrudder.jobs import starts
from crocusrudder.jobs import writer
from crocusrudder.placement import model as placement_model
from crocusrudder.wire import messages

PASS_SECONDS = 0.2
"""Interval at which a cell's changes are collected and committed."""

CHECK_SECONDS = 1.0
"""Interval at which the runs of a chunk are compared with the reports of agents."""

REACTION_SECONDS = 1.0

RETENTION_SECONDS = 3600.0
"""Time for which the chunk rows of an ended job are retained, so that operators see its tasks."""

FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 30.0


class JobScheduler:
    """Decide what the workers of owned cells run.

    Every decision is committed with a check of the cell's epoch before any message that depends on
    it is sent. All state of a cell is dropped when its ownership ends.
    """

    def __init__(
        self,
        ownership: Any,
        workers: Any,
        policy: Any,
        entry_incarnation: ids.Incarnation,
        limits: cell_state.Limits = cell_state.DEFAULT_LIMITS,
    ) -> None:
        self._ownership = ownership
        self._workers = workers
        self._policy = policy
        self._limits = limits
        self._operations = components.OperationIds("job")
        self._cells: dict[ids.CellId, cell_state.OwnedCell] = {}
        self._last_epochs: dict[ids.CellId, ids.CellEpoch] = {}
        self._loader = loader.CellLoader(self._operations)
        self._jobs = job_registry.JobRegistry(self._operations, ownership)
        self._reconciler = reconciler.Reconciler(workers, self._jobs)
        self._chooser = starts.StartChooser(workers, policy, self._jobs, self._reconciler)
        self._writer = writer.ChunkWriter(self._operations, ownership, entry_incarnation, self)
        self._last_reaction_at = float("-inf")

    def count_pending(self, cell: ids.CellId) -> int:
        """Return the number of pending tasks in an owned cell; 0 if it is not owned."""
        owned_cell = self._cells.get(cell)
        return sum(len(chunk.pending) for chunk in owned_cell.chunks.values()) if owned_cell else 0

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        return self._apply_ownership(now) + self._dispatch(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Scan cells, read job rows, decide and commit, each where it is due."""
        produced = self._apply_ownership(now)
        for cell in self._cells.values():
            produced += self._loader.scan_if_due(cell, now)
        produced += self._writer.tick(now)
        produced += self._jobs.tick(now)
        for cell in list(self._cells.values()):
            if now - cell.last_pass_at >= PASS_SECONDS and cell.is_loaded and not cell.is_fenced:
                cell.last_pass_at = now
                produced += self._run_pass(cell, now)
        if now - self._last_reaction_at >= REACTION_SECONDS:
            self._last_reaction_at = now
            produced += self._apply_reactions(now)
        return produced

    def dump(self) -> dict[str, object]:
        return {
            "cells": {
                cell.cell: {
                    "epoch": cell.epoch,
                    "loaded": cell.is_loaded,
                    "fenced": cell.is_fenced,
                    "chunks": len(cell.chunks),
                    "pending": sum(len(chunk.pending) for chunk in cell.chunks.values()),
                    "assigned": sum(len(chunk.assigned) for chunk in cell.chunks.values()),
                    "ends": len(cell.reported_ends),
                }
                for cell in self._cells.values()
            },
            "jobs": {
                job.row.specification.job: job.row.state.value for job in self._jobs.list_jobs()
            },
            "batches": self._writer.count,
        }

    def record_commit(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        old: model.ChunkRow,
        now: float,
    ) -> list[effects.Effect]:
        """Send the starts and acknowledgements that follow from a committed change."""
        produced: list[effects.Effect] = []
        recorded: list[tuple[cell_state.RunKey, cell_state.EndReport]] = []
        for position, (before, after) in enumerate(zip(old.tasks, chunk.row.tasks, strict=True)):
            if before == after:
                continue
            if before.state is messages.TaskState.ASSIGNED and after.state is not before.state:
                recorded += self._record_end(cell, chunk, position, before, now)
            if after.epoch != before.epoch:
                produced += self._reconciler.send_start(cell, chunk, position, now)
            elif after.checkpoint != before.checkpoint:
                chunk.checkpoint_recorded_at = now
        return produced + reconciler.group_acknowledgements(recorded)

    def record_commit_failure(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        proposed: model.ChunkRow | None,
    ) -> None:
        """Undo in the policy the starts that were not committed."""
        if proposed is None:
            return
        for position, task in enumerate(proposed.tasks):
            if task.epoch != chunk.row.tasks[position].epoch:
                name = chunk.row.get_task_id(position)
                self._policy.record_end(
                    name, task.worker, messages.RunState.REFUSED, cell.last_pass_at
                )

    @functools.singledispatchmethod
    def _dispatch(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_dispatch.register(events.Committed)
    @_dispatch.register(events.CommitConflicted)
    @_dispatch.register(events.CommitUnknown)
    @_dispatch.register(events.StoreUnavailable)
    @_dispatch.register(events.RowsRead)
    def _on_store_event(self, event: events.Event, now: float) -> list[effects.Effect]:
        if self._loader.expects(event.operation):
            self._loader.handle(event, now)
            return self._retain_jobs(now)
        for part in (self._writer, self._jobs):
            if part.expects(event.operation):
                return part.handle(event, now)
        return []

    @_dispatch.register
    def _on_received(self, event: events.Received, now: float) -> list[effects.Effect]:
        return self._receive(event.message, event, now)

    @functools.singledispatchmethod
    def _receive(
        self, message: messages.Message, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return []

    @_receive.register
    def _on_report(
        self, message: messages.TaskReport, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return self._record_reported_ends(message, event)

    @_receive.register
    def _on_heartbeat(
        self, message: messages.Heartbeat, event: events.Received, now: float
    ) -> list[effects.Effect]:
        view = self._workers.get_worker(message.worker)
        if message.cell in self._cells and view is not None:
            classes = [self._get_class(task) for task, _ in view.runs]
            latencies = dict(message.latencies)
            self._policy.record_report(message.worker, latencies, filter(None, classes), now)
        return self._record_reported_ends(message, event)

    @_receive.register
    def _on_chunk_assigned(
        self, message: messages.ChunkAssigned, event: events.Received, now: float
    ) -> list[effects.Effect]:
        cell = self._cells.get(message.cell)
        if cell is None:
            return []
        self._jobs.schedule_read(message.job, now)
        return self._loader.scan_job(cell, message.job)

    @_receive.register
    def _on_cancel(
        self, message: messages.CancelJob, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if any(message.job in cell.by_job for cell in self._cells.values()):
            self._jobs.schedule_read(message.job, now)
            return self._jobs.tick(now)
        return []

    def _record_reported_ends(
        self, message: messages.TaskReport | messages.Heartbeat, event: events.Received
    ) -> list[effects.Effect]:
        """Store reported ends until they are committed, also while the cell is being loaded."""
        cell = self._cells.get(message.cell)
        if cell is None:
            return []
        for status in message.tasks:
            if status.state in runs.ENDED_RUN_STATES:
                report = cell_state.EndReport(status, event.sender, event.incarnation)
                cell.reported_ends[(status.task, status.epoch)] = report
                found = cell.find_task(status.task)
                if found is not None:
                    found[0].is_due = True
        return self._acknowledge_stale(cell) if cell.is_loaded else []

    def _acknowledge_stale(self, cell: cell_state.OwnedCell) -> list[effects.Effect]:
        """Acknowledge reports that can no longer change a task, so that agents drop the runs."""
        stale = [
            (key, report) for key, report in cell.reported_ends.items() if _is_stale(cell, key)
        ]
        for key, _ in stale:
            del cell.reported_ends[key]
        return reconciler.group_acknowledgements(stale)

    def _get_class(self, task: ids.TaskId) -> str | None:
        job = self._jobs.get(task.rpartition(".")[0])
        return job.row.specification.batch if job else None

    def _apply_ownership(self, now: float) -> list[effects.Effect]:
        owned = self._ownership.owned(now)
        produced: list[effects.Effect] = []
        for name, cell in list(self._cells.items()):
            if owned.get(name) != cell.epoch:
                produced += self._drop_cell(cell, now)
        for name, epoch in owned.items():
            if name not in self._cells:
                resumed = self._last_epochs.get(name) == epoch
                self._last_epochs[name] = epoch
                self._cells[name] = cell_state.OwnedCell(name, epoch, resumed, self._limits)
        return produced

    def _drop_cell(self, cell: cell_state.OwnedCell, now: float) -> list[effects.Effect]:
        del self._cells[cell.cell]
        self._writer.drop_cell(cell)
        self._loader.drop_cell(cell)
        for chunk in cell.chunks.values():
            for position, task in enumerate(chunk.latest.tasks):
                if task.state is messages.TaskState.ASSIGNED:
                    name = chunk.row.get_task_id(position)
                    state = messages.RunState.STOPPED
                    self._policy.record_end(name, task.worker, state, now)
        return [effects.LogChange("cell_dropped", {"cell": cell.cell, "epoch": cell.epoch})]

    def _retain_jobs(self, now: float) -> list[effects.Effect]:
        """Retain the jobs that have chunks in owned cells, and read the new ones."""
        jobs = [job for cell in self._cells.values() for job in cell.by_job]
        for job in self._jobs.retain(jobs, now):
            self._policy.remove_job(job)
        return self._jobs.tick(now)

    def _run_pass(self, cell: cell_state.OwnedCell, now: float) -> list[effects.Effect]:
        """Collect the changes of a cell's chunks and commit them."""
        produced = self._acknowledge_stale(cell)
        proposals: starts.Proposals = {}
        tokens = cell.row_write_limit.count_available(now) if now >= cell.next_commit_at else 0
        for chunk in list(cell.chunks.values()):
            if chunk.is_in_flight or chunk.has_ended or not _is_due(chunk, now):
                continue
            self._adopt(chunk, now)
            row, sent = self._reconciler.propose(cell, chunk, now)
            produced += sent
            chunk.checked_at = now
            chunk.is_due = row != chunk.row and len(proposals) >= tokens
            if row != chunk.row and not chunk.is_due:
                proposals[chunk.key] = row
        if now >= cell.next_commit_at:
            spare_rows = tokens - len(proposals)
            produced += self._chooser.choose(cell, proposals, spare_rows, now)
        cell.row_write_limit.try_take(now, len(proposals))
        changes = [(cell.chunks[key], row) for key, row in proposals.items()]
        produced += self._writer.write(cell, changes)
        return produced + self._finish_jobs(cell, now)

    def _adopt(self, chunk: cell_state.TrackedChunk, now: float) -> None:
        """Notify the policy of the runs that were assigned when the chunk was loaded."""
        job = self._jobs.get(chunk.row.job)
        if chunk.is_adopted or job is None:
            return
        chunk.is_adopted = True
        for position in chunk.assigned:
            row = chunk.row.tasks[position]
            task = job.describe_task(chunk.row.get_task_id(position), row)
            self._policy.record_start(task, row.worker, now)

    def _finish_jobs(self, cell: cell_state.OwnedCell, now: float) -> list[effects.Effect]:
        """Store the outcome of jobs whose chunks have ended; delete expired chunk rows."""
        produced: list[effects.Effect] = []
        for name, job_chunks in list(cell.by_job.items()):
            if not all(chunk.has_ended and not chunk.is_in_flight for chunk in job_chunks.values()):
                continue
            job = self._jobs.get(name)
            if job is None:
                continue
            if job.row.has_ended:
                produced += self._delete_expired_chunks(cell, list(job_chunks.values()), now)
                continue
            owned = [c.by_job[name] for c in self._cells.values() if name in c.by_job]
            rows = [chunk.row for part in owned for chunk in part.values() if chunk.has_ended]
            produced += self._jobs.store_outcome(job, rows, now)
        return produced

    def _delete_expired_chunks(
        self, cell: cell_state.OwnedCell, job_chunks: list[cell_state.TrackedChunk], now: float
    ) -> list[effects.Effect]:
        due: list[writer.Change] = []
        for chunk in job_chunks:
            if chunk.ended_at is None:
                chunk.ended_at = now
            elif now - chunk.ended_at >= RETENTION_SECONDS and cell.row_write_limit.try_take(now):
                due.append((chunk, None))
        return self._writer.write(cell, due)

    def _record_end(
        self,
        cell: cell_state.OwnedCell,
        chunk: cell_state.TrackedChunk,
        position: int,
        before: model.TaskRow,
        now: float,
    ) -> list[tuple[cell_state.RunKey, cell_state.EndReport]]:
        """Notify the policy of a committed end; return the report to acknowledge, if any."""
        key = (chunk.row.get_task_id(position), before.epoch)
        chunk.sent_starts.pop(position, None)
        cell.evictions.pop(key, None)
        cell.commanded_at.pop(key, None)
        report = cell.reported_ends.pop(key, None)
        state = report.status.state if report else messages.RunState.STOPPED
        usage = report.status.usage if report else None
        reason = report.status.reason if report else ""
        self._policy.record_end(key[0], before.worker, state, now, usage, reason)
        job = self._jobs.get(chunk.row.job)
        if job is not None:
            self._record_run_outcome(job, state, now)
        return [(key, report)] if report else []

    def _record_run_outcome(
        self, job: cell_state.TrackedJob, state: messages.RunState, now: float
    ) -> None:
        if state is messages.RunState.SUCCEEDED:
            job.consecutive_failures = 0
        elif state is messages.RunState.FAILED:
            delay = FIRST_BACKOFF_SECONDS * 2 ** min(job.consecutive_failures, 10)
            job.consecutive_failures += 1
            job.next_start_at = now + min(delay, MAX_BACKOFF_SECONDS)
            failure = self._policy.find_permanent_failure(job.row.specification.job)
            if failure is not None:
                job.abandon_reason = failure.reason

    def _apply_reactions(self, now: float) -> list[effects.Effect]:
        """Apply the reactions to interference that the policy proposes."""
        views = {
            view.worker: (cell, view)
            for cell in self._cells.values()
            for view in self._workers.list_workers(cell.cell)
        }
        produced: list[effects.Effect] = []
        reactions = self._policy.propose_reactions([view for _, view in views.values()], now)
        for reaction in reactions:
            if reaction.worker in views:
                produced += self._apply_reaction(reaction, *views[reaction.worker], now)
        return produced

    def _apply_reaction(
        self, reaction: placement_model.Reaction, cell: cell_state.OwnedCell, view: Any, now: float
    ) -> list[effects.Effect]:
        key = (reaction.task, reaction.epoch)
        kinds = placement_model.ReactionKind
        if reaction.kind in (kinds.THROTTLE, kinds.RESTORE):
            message = messages.ThrottleTask(cell.cell, cell.epoch, *key, reaction.share)
            return [effects.Send(view.agent, message, view.incarnation)]
        evict = reaction.kind is kinds.EVICT
        cell.evictions[key] = messages.StopTask if evict else messages.CheckpointTask
        fields = {"task": reaction.task, "kind": reaction.kind.value, "reason": reaction.reason}
        return [effects.LogChange("run_moved", fields)]


def _is_due(chunk: cell_state.TrackedChunk, now: float) -> bool:
    return chunk.is_due or now - chunk.checked_at >= CHECK_SECONDS


def _is_stale(cell: cell_state.OwnedCell, key: cell_state.RunKey) -> bool:
    """Return whether a report can no longer change its task, or the task is not in the cell."""
    found = cell.find_task(key[0])
    if found is None:
        return True
    chunk, position = found
    return not chunk.is_in_flight and chunks.is_stale(chunk.row.tasks[position], key[1])
