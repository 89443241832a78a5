"""Tests of cancellations of jobs that the store does not have yet.

Guards against UNASKED: a cancellation of an unknown job was answered with 410 and left no trace, so
a submission that the store performed seconds later was started all the same.
"""

import contextlib
import unittest
from unittest import mock

import curio

from crocusrudder.core import ids
from crocusrudder.observability import logs
from crocusrudder.platform import errors
from crocusrudder.platform import store
from crocusrudder.workflows import calls
from crocusrudder.workflows import entry_http
from crocusrudder.workflows import model
from crocusrudder.workflows import owner
from crocusrudder.workflows import rows
from tests.workflows import world

JOB = ids.JobId("f0000000000000a1")
ROW = b"job"
TIMEOUT_SECONDS = 1.0


class FakeTable:
    """A store of one table that checks conditions, and can perform commits late."""

    def __init__(self) -> None:
        self.stored: dict[str, store.StoreRow] = {}
        self.is_late = False
        self.before_commit = lambda: None
        self.commits = 0
        self._version = 0
        self._late = []

    async def commit(self, writes, expectations=(), timeout_seconds=TIMEOUT_SECONDS):
        self.commits += 1
        self.before_commit()
        if self.is_late:
            self._late.append((writes, expectations))
            raise errors.UnknownOutcomeError("no response within 1.5 s")
        return self._perform(writes, expectations)

    def perform_late(self) -> None:
        """Perform the commits without a response whose conditions still hold."""
        late, self._late = self._late, []
        for writes, expectations in late:
            with contextlib.suppress(errors.ConflictError):
                self._perform(writes, expectations)

    def put(self, key: str, value: bytes | None) -> None:
        self._version += 1
        self.stored.pop(key, None)
        if value is not None:
            self.stored[key] = store.StoreRow(rows.JOBS_TABLE, key, value, self._version)

    async def read(self, table, first="", end="", timeout=TIMEOUT_SECONDS):
        found = sorted(self.stored.items())
        return store.Page(tuple(row for key, row in found if first <= key < end), self._version)

    async def read_row(self, table, key):
        return self.stored.get(key) if table == rows.JOBS_TABLE else None

    def _perform(self, writes, expectations) -> int:
        for item in expectations:
            row = self.stored.get(item.key)
            if (row.version if row else 0) != item.version:
                raise errors.ConflictError("a row does not have the expected version")
        for write in writes:
            self.put(write.key, write.value)
        return self._version


class UnknownCancellationTest(unittest.TestCase):
    def setUp(self):
        self.table = FakeTable()
        self.jobs = calls.JobStore(self.table)
        patcher = mock.patch.object(logs, "write_change")
        patcher.start()
        self.addCleanup(patcher.stop)

    def _submit(self) -> calls.Outcome:
        return curio.run(self.jobs.submit(JOB, ROW, TIMEOUT_SECONDS))[0]

    def _cancel(self, job: ids.JobId = JOB) -> tuple[calls.Outcome, int]:
        return curio.run(self.jobs.cancel(job, TIMEOUT_SECONDS))

    def _state(self) -> calls.Outcome:
        return curio.run(self.jobs.read_state(JOB))

    def test_a_submission_that_is_performed_after_the_cancellation_stores_no_job(self):
        self.table.is_late = True
        self.assertIs(calls.Outcome.UNCERTAIN, self._submit())
        self.table.is_late = False
        self.assertEqual((calls.Outcome.UNKNOWN_JOB, 0), self._cancel())
        self.table.perform_late()
        self.assertNotIn(JOB, self.table.stored)
        self.assertIs(calls.Outcome.UNKNOWN_JOB, self._state())

    def test_a_submission_that_is_repeated_after_the_cancellation_is_refused(self):
        self._cancel()
        self.assertIs(calls.Outcome.CANCELLED_BEFORE, self._submit())
        self.assertNotIn(JOB, self.table.stored)
        response = entry_http._make_response("POST", calls.Outcome.CANCELLED_BEFORE)
        self.assertEqual(503, response.status)
        self.assertNotIn("retry-after", dict(response.headers))

    def test_a_cancellation_is_not_acknowledged_before_it_is_stored(self):
        self.table.is_late = True
        self.assertEqual((calls.Outcome.UNCERTAIN, 0), self._cancel())
        self.table.is_late = False
        self.assertIs(calls.Outcome.ACCEPTED, self._submit())
        self.table.perform_late()
        self.assertEqual([JOB], list(self.table.stored))

    def test_a_job_that_is_submitted_during_the_cancellation_is_cancelled(self):
        # Guards against a conflict that was answered as an unknown job, while the job ran on.
        def submit() -> None:
            if JOB not in self.table.stored:
                self.table.put(JOB, ROW)

        self.table.before_commit = submit
        outcome, version = self._cancel()
        self.assertIs(calls.Outcome.CANCELLED, outcome)
        self.assertLess(0, version)
        self.assertEqual(rows.CANCEL_VALUE, self.table.stored[rows.make_cancel_key(JOB)].value)

    def test_a_job_that_changes_again_and_again_is_not_acknowledged_as_cancelled(self):
        self.table.put(JOB, ROW)
        self.table.before_commit = lambda: self.table.put(JOB, ROW)
        self.assertEqual((calls.Outcome.NOT_PERFORMED, 0), self._cancel())

    def test_a_repeated_submission_of_a_stored_job_is_accepted(self):
        self.assertIs(calls.Outcome.ACCEPTED, self._submit())
        self.assertIs(calls.Outcome.ACCEPTED, self._submit())
        self.assertIs(calls.Outcome.CANCELLED, self._cancel()[0])
        self.assertIs(calls.Outcome.ACCEPTED, self._submit())
        self.assertIs(calls.Outcome.CANCELLED, self._state())

    def test_a_repeated_cancellation_stores_nothing_more(self):
        self._cancel()
        self.assertEqual((calls.Outcome.UNKNOWN_JOB, 0), self._cancel())
        self.assertEqual(1, self.table.commits)

    def test_callers_cannot_fill_the_store_with_cancellations_of_unknown_jobs(self):
        self.table.put(JOB, ROW)
        limit = int(calls.MAX_UNKNOWN_CANCELLATIONS)
        with mock.patch.object(calls.clocks, "read_boot_time", lambda: 100.0):
            outcomes = [self._cancel(ids.JobId(f"{n:016x}"))[0] for n in range(limit + 5)]
            self.assertEqual([calls.Outcome.UNKNOWN_JOB] * limit, outcomes[:limit])
            self.assertEqual({calls.Outcome.NOT_PERFORMED}, set(outcomes[limit:]))
            self.assertEqual(limit + 1, len(self.table.stored))
            self.assertIs(calls.Outcome.CANCELLED, self._cancel()[0])


class ExpiryTest(unittest.TestCase):
    """Cancellations of jobs without a row are removed by the owner."""

    def setUp(self):
        self.owner = world.World().owner

    def _list_removed(self, wall_time: float) -> list[str]:
        commit = self.owner.make_commit(wall_time)
        self.assertLessEqual(len(commit.writes), owner.MAX_WRITES)
        self.owner.record_commit(commit, 100.0)
        return [key for table, key, value in commit.writes if table == rows.JOBS_TABLE]

    def test_a_cancellation_is_removed_after_its_time(self):
        self.owner.record_unknown_cancellation(JOB, 50.0)
        self.owner.record_unknown_cancellation(JOB, 55.0)
        self.assertEqual([], self._list_removed(50.0 + owner.UNKNOWN_CANCELLATION_SECONDS))
        removed = self._list_removed(50.1 + owner.UNKNOWN_CANCELLATION_SECONDS)
        self.assertEqual([rows.make_cancel_key(JOB)], removed)
        self.assertEqual([], self._list_removed(500.0))

    def test_a_removal_whose_commit_failed_is_repeated(self):
        self.owner.record_unknown_cancellation(JOB, 50.0)
        self.owner.record_commit_failure(self.owner.make_commit(500.0))
        self.assertEqual([rows.make_cancel_key(JOB)], self._list_removed(500.0))

    def test_many_cancellations_are_removed_by_several_commits(self):
        for number in range(2 * owner.MAX_WRITES):
            self.owner.record_unknown_cancellation(ids.JobId(f"{number:016x}"), 50.0)
        removed = [key for _ in range(3) for key in self._list_removed(500.0)]
        self.assertEqual(2 * owner.MAX_WRITES, len(set(removed)))

    def test_it_does_not_displace_the_cancellation_of_a_job_whose_row_is_on_its_way(self):
        job = model.Job(JOB, world.QUEUE, "", (model.Stage(1),), 0.0)
        self.owner.apply_cancellation(JOB, 5.0, version=20)
        for number in range(owner.MAX_EARLY_CANCELLATIONS + 1):
            self.owner.record_unknown_cancellation(ids.JobId(f"{number:016x}"), 50.0)
        self.owner.add_job(job, 10)
        self.assertIs(model.JobState.CANCELLED, self.owner.job_registry.get(JOB).visible_state)


if __name__ == "__main__":
    unittest.main()
