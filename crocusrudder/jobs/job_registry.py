"""Read and update the rows of the jobs that have chunks in owned cells."""

from collections.abc import Iterable
from typing import Any

import msgspec

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.jobs import cell_state
from crocusrudder.jobs import model
from crocusrudder.wire import messages

REFRESH_SECONDS = 30.0
"""Interval at which job rows are read again, in case a ``CancelJob`` was lost."""

RETRY_SECONDS = 0.5
OUTCOME_RETRY_SECONDS = 30.0
"""Delay before the chunks of other owners are read again.

The owner whose chunks end last stores the outcome at once.
"""

KEYS_PER_READ = 64


class _OutcomeRead(msgspec.Struct, frozen=True):
    """A read in flight of the chunks of a job that are not in owned cells."""

    job: ids.JobId
    own: tuple[model.ChunkRow, ...]


class JobRegistry:
    """Cache job rows and write the two changes that an owner makes: abandoned, and ended."""

    def __init__(self, operations: components.OperationIds, ownership: Any) -> None:
        self._operations = operations
        self._ownership = ownership
        self._jobs: dict[ids.JobId, cell_state.TrackedJob] = {}
        self._due: dict[ids.JobId, float] = {}
        self._reading: dict[ids.OperationId, tuple[ids.JobId, ...]] = {}
        self._writing: dict[ids.OperationId, tuple[cell_state.TrackedJob, model.JobRow]] = {}
        self._outcome_reads: dict[ids.OperationId, _OutcomeRead] = {}

    def get(self, job: ids.JobId) -> cell_state.TrackedJob | None:
        """Return a job, or None if its row has not been read."""
        return self._jobs.get(job)

    def list_jobs(self) -> list[cell_state.TrackedJob]:
        """Return the jobs whose rows have been read."""
        return list(self._jobs.values())

    def schedule_read(self, job: ids.JobId, now: float) -> None:
        """Schedule the row of a job to be read by the next ``tick``."""
        self._due[job] = now

    def retain(self, jobs: Iterable[ids.JobId], now: float) -> list[ids.JobId]:
        """Drop all other jobs and read the new ones; return those dropped."""
        wanted = set(jobs)
        dropped = [job for job in self._jobs if job not in wanted]
        for job in dropped:
            del self._jobs[job]
        self._due = {job: self._due.get(job, now) for job in wanted}
        return dropped

    def expects(self, operation: ids.OperationId) -> bool:
        """Return whether this registry waits for the answer to an operation."""
        parts = (self._reading, self._writing, self._outcome_reads)
        return any(operation in part for part in parts)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle an answer of the store to an operation of this registry."""
        if event.operation in self._reading:
            return self._handle_rows(event, now)
        if event.operation in self._outcome_reads:
            return self._handle_chunks(event, now)
        return self._handle_write(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Read the rows that are due and write the rows of jobs to abandon."""
        produced: list[effects.Effect] = []
        for job in self._jobs.values():
            if job.abandon_reason and not job.is_busy and now >= job.retry_at:
                produced += self._abandon(job, now)
        return produced + self._read_due(now)

    def store_outcome(
        self, job: cell_state.TrackedJob, own: Iterable[model.ChunkRow], now: float
    ) -> list[effects.Effect]:
        """Store the outcome if all chunks have ended.

        ``own`` are the ended chunks in owned cells; the others are read from the store first.
        """
        if job.is_busy or now < job.retry_at or job.row.state is not model.JobState.ACCEPTED:
            return []
        rows = {row.key: row for row in own}
        others = tuple(key for key in model.list_chunk_keys(job.row) if key not in rows)
        if not others:
            return self._write(job, _make_ended_job(job.row, rows.values()))
        job.is_busy = True
        operation = self._operations.next()
        name = job.row.specification.job
        self._outcome_reads[operation] = _OutcomeRead(name, tuple(rows.values()))
        return [effects.ReadRows(operation, others)]

    def _read_due(self, now: float) -> list[effects.Effect]:
        in_flight = {job for jobs in self._reading.values() for job in jobs}
        due = [job for job, at in self._due.items() if at <= now and job not in in_flight]
        produced: list[effects.Effect] = []
        for start in range(0, len(due), KEYS_PER_READ):
            part = tuple(due[start : start + KEYS_PER_READ])
            operation = self._operations.next()
            self._reading[operation] = part
            for job in part:
                self._due[job] = now + REFRESH_SECONDS
            produced.append(effects.ReadRows(operation, tuple(map(model.make_job_key, part))))
        return produced

    def _handle_rows(self, event: events.Event, now: float) -> list[effects.Effect]:
        names = self._reading.pop(event.operation)
        if not isinstance(event, events.RowsRead):
            for name in names:
                if name in self._due:
                    self._due[name] = now + RETRY_SECONDS
            return []
        for name in names:
            row = event.rows.get(model.make_job_key(name))
            if row is not None and name in self._due:
                self._record_row(name, row)
        return []

    def _record_row(self, name: ids.JobId, row: effects.Row) -> None:
        job = self._jobs.get(name)
        if job is None:
            self._jobs[name] = cell_state.TrackedJob(model.load_job(row), row.version)
        elif row.version > job.version:
            job.row, job.version = model.load_job(row), row.version
        if self._jobs[name].row.is_withdrawn:
            self._jobs[name].abandon_reason = ""

    def _abandon(self, job: cell_state.TrackedJob, now: float) -> list[effects.Effect]:
        if job.row.is_withdrawn or job.row.has_ended:
            job.abandon_reason = ""
            return []
        fields = {"job": job.row.specification.job, "reason": job.abandon_reason}
        abandoned = msgspec.structs.replace(job.row, never_runs=job.abandon_reason)
        return [effects.LogChange("job_given_up", fields), *self._write(job, abandoned)]

    def _write(self, job: cell_state.TrackedJob, row: model.JobRow) -> list[effects.Effect]:
        job.is_busy = True
        operation = self._operations.next()
        self._writing[operation] = (job, row)
        key = model.make_job_key(row.specification.job)
        return [
            effects.Commit(operation, (effects.RowWrite(key, model.dump_row(row), job.version),))
        ]

    def _handle_write(self, event: events.Event, now: float) -> list[effects.Effect]:
        job, row = self._writing.pop(event.operation)
        job.is_busy = False
        name = row.specification.job
        key = model.make_job_key(name)
        if isinstance(event, events.Committed):
            job.row, job.version = row, event.versions[key]
            job.abandon_reason = ""
            return self._announce(job)
        if isinstance(event, events.CommitConflicted) and event.rows.get(key) is not None:
            if name in self._jobs:
                self._record_row(name, event.rows[key])
            return []
        # Both changes are functions of the row, so after a lost answer it suffices to read it.
        job.retry_at = now + RETRY_SECONDS
        if name in self._due:
            self._due[name] = now
        return []

    def _handle_chunks(self, event: events.Event, now: float) -> list[effects.Effect]:
        read = self._outcome_reads.pop(event.operation)
        job = self._jobs.get(read.job)
        if job is None:
            return []
        job.is_busy = False
        if not isinstance(event, events.RowsRead):
            job.retry_at = now + RETRY_SECONDS
            return []
        rows = [model.load_chunk(row) for row in event.rows.values()] + list(read.own)
        if len(rows) == len(job.row.cells) and all(row.has_ended for row in rows):
            return self._write(job, _make_ended_job(job.row, rows))
        job.retry_at = now + OUTCOME_RETRY_SECONDS
        self._due[read.job] = now
        return []

    def _announce(self, job: cell_state.TrackedJob) -> list[effects.Effect]:
        """Notify the owners of the job's cells that it was abandoned, or log that it has ended."""
        name = job.row.specification.job
        if job.row.has_ended:
            return [effects.LogChange("job_ended", {"job": name, "state": job.row.state.value})]
        owners = map(self._ownership.get_owner, sorted(set(job.row.cells)))
        processes = sorted({owner[0] for owner in owners if owner is not None})
        return [effects.Send(process, messages.CancelJob(name)) for process in processes]


def _make_ended_job(job: model.JobRow, rows: Iterable[model.ChunkRow]) -> model.JobRow:
    """Return the job row with its final state and the number of tasks that succeeded."""
    succeeded = sum(
        task.state is messages.TaskState.SUCCEEDED for row in rows for task in row.tasks
    )
    if succeeded == job.specification.tasks:
        state = model.JobState.SUCCEEDED
    else:
        state = model.JobState.NEVER_RUNS if job.never_runs else model.JobState.CANCELLED
    return msgspec.structs.replace(job, state=state, succeeded_tasks=succeeded)
