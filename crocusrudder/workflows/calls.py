"""Store jobs and cancellations and read job states on behalf of callers."""

import enum

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.core import errors as core_errors
from crocusrudder.core import ids
from crocusrudder.jobs import rates
from crocusrudder.observability import logs
from crocusrudder.platform import errors
from crocusrudder.platform import store
from crocusrudder.workflows import errors as workflow_errors
from crocusrudder.workflows import model
from crocusrudder.workflows import rows


class Outcome(enum.Enum):
    """Outcome of a caller's request for a job."""

    ACCEPTED = "accepted"
    CANCELLED = "cancelled"
    CANCELLED_BEFORE = "cancelled-before"
    """The job was cancelled before its submission was stored; it never runs."""
    UNKNOWN_JOB = "unknown-job"
    NOT_PERFORMED = "not-performed"
    """The request certainly had no effect and never will."""
    UNCERTAIN = "uncertain"
    """The request may have had an effect, or may still have one."""
    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"


MAX_UNKNOWN_CANCELLATIONS_PER_SECOND = 20.0
"""Cancellations of unknown jobs that an entry stores, each as a row for
``owner.UNKNOWN_CANCELLATION_SECONDS``; callers could fill the store with them."""
MAX_UNKNOWN_CANCELLATIONS = 200.0
"""The same for a burst."""
MAX_CANCEL_ATTEMPTS = 3
"""Attempts to cancel a job that changes in the meantime; it is stored and removed once."""
INCONCLUSIVE = frozenset({Outcome.NOT_PERFORMED, Outcome.UNCERTAIN})
"""Outcomes after which the same request may be attempted again."""

_STATE_OUTCOMES = {
    model.JobState.QUEUED: Outcome.QUEUED,
    model.JobState.RUNNING: Outcome.RUNNING,
    model.JobState.COMPLETED: Outcome.COMPLETED,
    model.JobState.FAILED: Outcome.FAILED,
    model.JobState.CANCELLED: Outcome.CANCELLED,
}


def make_state_outcome(state: model.JobState) -> Outcome:
    """Return the outcome that stands for a job's state."""
    return _STATE_OUTCOMES[state]


class JobStore:
    """Submissions, cancellations and status queries against the store."""

    def __init__(self, client: store.StoreClient) -> None:
        self._client = client
        self._unknown_cancellations = rates.TokenBucket(
            MAX_UNKNOWN_CANCELLATIONS_PER_SECOND, MAX_UNKNOWN_CANCELLATIONS
        )

    async def submit(
        self, job: ids.JobId, row: bytes, timeout_seconds: float
    ) -> tuple[Outcome, int]:
        """Store a job unless it exists; return the outcome and the version of the row.

        The version is 0 if the job existed already or the commit failed. A job that has been
        cancelled is not stored, however late the store performs the commit.
        """
        try:
            version = await self._client.commit(
                [store.Write(rows.JOBS_TABLE, job, row)],
                self._expect_new(job),
                timeout_seconds,
            )
        except errors.ConflictError:
            return await self._explain_conflict(job), 0
        except errors.NotExecutedError as error:
            return self._log_failure("submit", job, Outcome.NOT_PERFORMED, error), 0
        except errors.UnknownOutcomeError as error:
            return self._log_failure("submit", job, Outcome.UNCERTAIN, error), 0
        return Outcome.ACCEPTED, version

    async def cancel(self, job: ids.JobId, timeout_seconds: float) -> tuple[Outcome, int]:
        """Store the cancellation of a job; return the outcome and the version of the row.

        The version is 0 unless the cancellation of a stored job was certainly stored. That of an
        unknown job is stored, too, before the outcome is ``UNKNOWN_JOB``: its submission may be
        under way, and the store may perform it later.
        """
        try:
            for _ in range(MAX_CANCEL_ATTEMPTS):
                row, is_cancelled = await self._read_job(job)
                if row is None and is_cancelled:
                    return Outcome.UNKNOWN_JOB, 0
                if row is None and not self._unknown_cancellations.try_take(
                    clocks.read_boot_time()
                ):
                    raise errors.NotExecutedError("too many cancellations of unknown jobs")
                try:
                    return await self._store_cancellation(job, row, timeout_seconds)
                except errors.ConflictError:
                    # The job was submitted, cancelled or removed since it was read.
                    continue
        except errors.NotExecutedError as error:
            return self._log_failure("cancel", job, Outcome.NOT_PERFORMED, error), 0
        except errors.PlatformError as error:
            return self._log_failure("cancel", job, Outcome.UNCERTAIN, error), 0
        conflict = errors.ConflictError(f"{MAX_CANCEL_ATTEMPTS} conflicts in succession")
        return self._log_failure("cancel", job, Outcome.NOT_PERFORMED, conflict), 0

    async def _store_cancellation(
        self, job: ids.JobId, row: store.StoreRow | None, timeout_seconds: float
    ) -> tuple[Outcome, int]:
        """Store the cancellation of a job with or without a row."""
        key = rows.make_cancel_key(job)
        if row is not None:
            write = store.Write(rows.JOBS_TABLE, key, rows.CANCEL_VALUE)
            expected = [store.Expectation(rows.JOBS_TABLE, job, row.version)]
            version = await self._client.commit([write], expected, timeout_seconds)
            return Outcome.CANCELLED, version
        write = store.Write(rows.JOBS_TABLE, key, rows.UNKNOWN_CANCEL_VALUE)
        await self._client.commit([write], self._expect_new(job), timeout_seconds)
        return Outcome.UNKNOWN_JOB, 0

    @staticmethod
    def _expect_new(job: ids.JobId) -> list[store.Expectation]:
        """Return the condition that a job has neither a row nor a cancellation."""
        keys = (job, rows.make_cancel_key(job))
        return [store.Expectation(rows.JOBS_TABLE, key, 0) for key in keys]

    async def _read_job(self, job: ids.JobId) -> tuple[store.StoreRow | None, bool]:
        """Return a job's row, None without one, and whether it has been cancelled."""
        key = rows.make_cancel_key(job)
        page = await self._client.read(rows.JOBS_TABLE, job, key + "\x00")
        found = {row.key: row for row in page.rows}
        return found.get(job), key in found

    async def _explain_conflict(self, job: ids.JobId) -> Outcome:
        """Return the outcome of a submission of a job that exists or has been cancelled."""
        try:
            row, is_cancelled = await self._read_job(job)
        except errors.PlatformError as error:
            return self._log_failure("submit", job, Outcome.UNCERTAIN, error)
        if row is not None:
            return Outcome.ACCEPTED
        # Without either row, the cancellation has expired since: the submission may be repeated.
        return Outcome.CANCELLED_BEFORE if is_cancelled else Outcome.NOT_PERFORMED

    async def read_state(self, job: ids.JobId) -> Outcome:
        """Return a job's state according to the store; a failed read is logged."""
        end = rows.make_cancel_key(job) + "\x00"
        try:
            stored = await self._client.read(rows.JOBS_TABLE, job, end)
            if not any(row.key == job for row in stored.rows):
                return Outcome.UNKNOWN_JOB
            row = await self._client.read_row(rows.PROGRESS_TABLE, job)
            state = rows.decode_progress(row.value).state if row else model.JobState.QUEUED
        except (errors.PlatformError, workflow_errors.UnreadableRowError) as error:
            return self._log_failure("status", job, Outcome.NOT_PERFORMED, error)
        if state in model.FINAL_STATES:
            return make_state_outcome(state)
        if len(stored.rows) > 1:
            return Outcome.CANCELLED
        return make_state_outcome(state)

    def _log_failure(
        self, kind: str, job: ids.JobId, outcome: Outcome, error: core_errors.CrocusrudderError
    ) -> Outcome:
        fields = {"job": job, "kind": kind, "outcome": outcome.value, "error": str(error)}
        logs.write_change(effects.LogChange("store_call_failed", fields))
        return outcome
