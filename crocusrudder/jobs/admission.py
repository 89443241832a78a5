"""Handle operators' calls about jobs: submit, cancel, show and list."""

import collections
import functools
import random as random_module
from collections.abc import Generator
from typing import Any

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.jobs import chunks
from crocusrudder.jobs import errors
from crocusrudder.jobs import flows
from crocusrudder.jobs import model
from crocusrudder.jobs import submission as submission_module
from crocusrudder.wire import messages

CHUNKS_PER_TRANSACTION = 16
KEYS_PER_READ = 64
MAX_REASONS = 8
FILTERS = ("team", "batch", "state")
PREFIX = "admission"


class JobAdmission:
    """Write the rows of submitted jobs and set the cancellation flag of cancelled ones.

    Submission is idempotent by the submitter's job id: a repeated call returns the same job, and
    completes a submission that was interrupted. ``process`` is this entry; it receives the messages
    about new chunks and cancellations like every other entry.
    """

    def __init__(
        self,
        replica: Any,
        directory: Any,
        random: random_module.Random,
        entry_incarnation: ids.Incarnation,
        process: ids.ProcessId | None = None,
    ) -> None:
        self._replica = replica
        self._directory = directory
        self._random = random
        self._incarnation = entry_incarnation
        self._process = process
        self._flows = flows.FlowRunner(PREFIX)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        return self._dispatch(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Resume calls whose pause has ended."""
        return self._flows.tick(now)

    def dump(self) -> dict[str, object]:
        return {"calls": self._flows.count}

    @functools.singledispatchmethod
    def _dispatch(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_dispatch.register(events.Committed)
    @_dispatch.register(events.CommitConflicted)
    @_dispatch.register(events.CommitUnknown)
    @_dispatch.register(events.StoreUnavailable)
    @_dispatch.register(events.RowsRead)
    def _on_store_event(self, event: events.Event, now: float) -> list[effects.Effect]:
        return self._flows.handle(event, now)

    @_dispatch.register
    def _on_operator(self, event: events.OperatorAsked, now: float) -> list[effects.Effect]:
        if "jobs" not in event.path[:2]:
            return []
        rest = event.path[event.path.index("jobs") + 1 :]
        return self._flows.start(event.operation, self._choose_flow(event, rest), now)

    def _choose_flow(self, event: events.OperatorAsked, rest: tuple[str, ...]) -> flows.Flow:
        match event.method, rest:
            case "POST", ():
                return self._submit(event.body)
            case "GET", ():
                return self._list(event.query)
            case "GET", (job,):
                return self._show(ids.JobId(job))
            case "DELETE", (job,):
                return self._cancel(ids.JobId(job))
        return _refuse_call()

    def _submit(self, body: Any) -> flows.Flow:
        """Write the rows of a job, or continue from what an earlier call wrote."""
        submission = submission_module.parse_submission(body)
        if not self._replica.ready:
            raise errors.NotReadyError("the configuration is not loaded yet", "repeat the call")
        row = yield from _find_job(submission.job)
        status = 201 if row is None else 200
        for _ in range(flows.MAX_ROUNDS):
            if row is None:
                row = yield from _insert_job(self._make_job(submission))
                continue
            job = model.load_job(row)
            if not submission.matches(job.specification):
                raise errors.JobConflictError(f"job {submission.job} exists with different content")
            if job.state is not model.JobState.SUBMITTING:
                return flows.Result(status, _summarise(job), self._notify_assignment(job))
            row = yield from _write_missing_chunks(job, row.version)
        raise errors.NotReadyError("other calls change the job", "repeat the call")

    def _make_job(self, submission: submission_module.Submission) -> model.JobRow:
        specification = submission_module.make_specification(submission, self._replica)
        digests = self._directory.digests()
        cells = submission_module.choose_cells(specification, digests, self._random)
        fits_transaction = len(cells) <= CHUNKS_PER_TRANSACTION
        state = model.JobState.ACCEPTED if fits_transaction else model.JobState.SUBMITTING
        return model.JobRow(specification, state, cells)

    def _notify_assignment(self, job: model.JobRow) -> tuple[effects.Effect, ...]:
        if job.state is not model.JobState.ACCEPTED:
            return ()
        name = job.specification.job
        return tuple(
            effects.Send(process, messages.ChunkAssigned(cell, name))
            for cell in sorted(set(job.cells))
            for process in self._list_processes()
        )

    def _list_processes(self) -> list[ids.ProcessId]:
        others = [entry.process for entry in self._directory.list_entries()]
        return others if self._process is None else [self._process, *others]

    def _cancel(self, name: ids.JobId) -> flows.Flow:
        """Set the cancellation flag in the job's row and notify the entries."""
        row = yield from _find_job(name)
        for _ in range(flows.MAX_ROUNDS):
            if row is None:
                raise errors.UnknownJobError(f"no job {name}")
            job = model.load_job(row)
            if job.cancelled:
                return flows.Result(200, _summarise(job), self._notify_cancellation(name))
            if job.has_ended:
                raise errors.JobEndedError(f"job {name} has already ended: {job.state.value}")
            row = yield from _write_job(_mark_cancelled(job), row.version)
        raise errors.NotReadyError("other calls change the job", "repeat the call")

    def _notify_cancellation(self, name: ids.JobId) -> tuple[effects.Effect, ...]:
        message = messages.CancelJob(name)
        return tuple(effects.Send(process, message) for process in self._list_processes())

    def _show(self, name: ids.JobId) -> flows.Flow:
        row = yield from _find_job(name)
        if row is None:
            raise errors.UnknownJobError(f"no job {name}")
        job = model.load_job(row)
        found = yield from _read_chunks(job)
        tasks = [task for chunk in found.values() for task in model.load_chunk(chunk).tasks]
        states = collections.Counter(task.state.value for task in tasks)
        reasons = collections.Counter(task.reason for task in tasks if task.reason)
        progress = {"states": dict(states), "reasons": dict(reasons.most_common(MAX_REASONS))}
        return flows.Result(200, {**_summarise(job), **progress})

    def _list(self, query: dict[str, str]) -> flows.Flow:
        event = yield functools.partial(effects.ScanRows, prefix=model.make_job_key(ids.JobId("")))
        if not isinstance(event, events.RowsRead):
            raise errors.StoreUnavailableError("the store did not answer", "repeat the call")
        jobs = [_summarise(model.load_job(row)) for row in event.rows.values()]
        filters = [name for name in FILTERS if name in query]
        chosen = [job for job in jobs if all(job[name] == query[name] for name in filters)]
        return flows.Result(200, {"jobs": chosen})


def _refuse_call() -> flows.Flow:
    yield from ()
    raise errors.UnknownJobError("no such operation on jobs")


def _summarise(job: model.JobRow) -> dict[str, Any]:
    specification = job.specification
    return {
        "job": specification.job,
        "team": specification.team,
        "batch": specification.batch,
        "schema_version": specification.schema_version,
        "tasks": specification.tasks,
        "urgent": specification.urgent,
        "state": job.state.value,
        "cancelled": job.cancelled,
        "reason": job.never_runs,
        "succeeded_tasks": job.succeeded_tasks if job.has_ended else None,
    }


def _mark_cancelled(job: model.JobRow) -> model.JobRow:
    """Return the job with its cancellation flag set.

    A job that is still being submitted ends at once, since none of its tasks can have started.
    """
    submitting = job.state is model.JobState.SUBMITTING
    state = model.JobState.CANCELLED if submitting else job.state
    return msgspec.structs.replace(job, cancelled=True, state=state)


def _find_job(name: ids.JobId) -> Generator[flows.Step, Any, effects.Row | None]:
    key = model.make_job_key(name)
    rows = yield from flows.read((key,))
    return rows.get(key)


def _read_chunks(job: model.JobRow) -> Generator[flows.Step, Any, dict[str, effects.Row]]:
    """Return those chunk rows of a job that exist, by key."""
    found: dict[str, effects.Row] = {}
    keys = model.list_chunk_keys(job)
    for start in range(0, len(keys), KEYS_PER_READ):
        found |= yield from flows.read(tuple(keys[start : start + KEYS_PER_READ]))
    return found


def _insert_job(job: model.JobRow) -> Generator[flows.Step, Any, effects.Row | None]:
    """Insert a job, with its chunks if they fit into one transaction; return the job's row."""
    fits_transaction = job.state is model.JobState.ACCEPTED
    return (yield from _write_job(job, 0, _make_chunks(job) if fits_transaction else []))


def _write_missing_chunks(
    job: model.JobRow, version: int
) -> Generator[flows.Step, Any, effects.Row | None]:
    """Insert the missing chunks of a job in several transactions, then set it to accepted.

    Returns the job's current row, also if a transaction did not take effect.
    """
    key = model.make_job_key(job.specification.job)
    found = yield from _read_chunks(job)
    missing = [chunk for chunk in _make_chunks(job) if chunk.key not in found]
    for start in range(0, len(missing), CHUNKS_PER_TRANSACTION):
        part = missing[start : start + CHUNKS_PER_TRANSACTION]
        checks = (effects.RowCheck(key, version),)
        event = yield from flows.commit(_insert(part), checks)
        if not isinstance(event, events.Committed):
            return (yield from _read_current(event, key))
    accepted = msgspec.structs.replace(job, state=model.JobState.ACCEPTED)
    return (yield from _write_job(accepted, version))


def _make_chunks(job: model.JobRow) -> list[model.ChunkRow]:
    specification = job.specification
    return chunks.make_chunks(specification.job, specification.tasks, job.cells)


def _insert(rows: list[model.ChunkRow]) -> tuple[effects.RowWrite, ...]:
    return tuple(effects.RowWrite(row.key, model.dump_row(row), 0) for row in rows)


def _write_job(
    job: model.JobRow, version: int, new_chunks: list[model.ChunkRow] | None = None
) -> Generator[flows.Step, Any, effects.Row | None]:
    """Write a job's row and return the current one, which another writer may have written."""
    key = model.make_job_key(job.specification.job)
    value = model.dump_row(job)
    write = effects.RowWrite(key, value, version)
    event = yield from flows.commit((write, *_insert(new_chunks or [])))
    if isinstance(event, events.Committed):
        return effects.Row(key, value, event.versions[key])
    return (yield from _read_current(event, key))


def _read_current(event: events.Event, key: str) -> Generator[flows.Step, Any, effects.Row | None]:
    """Return the job's current row after a commit that failed or whose outcome is unknown.

    Raises ``OutcomeUnknownError`` or ``StoreUnavailableError``.
    """
    if isinstance(event, events.CommitUnknown):
        rows = yield from flows.resolve((key,))
        return rows.get(key)
    if isinstance(event, events.CommitConflicted) and key in event.rows:
        return event.rows[key]
    raise errors.StoreUnavailableError(
        "the store refused a write; an earlier part of the call may have taken effect",
        "repeat the call with the same job id",
    )
