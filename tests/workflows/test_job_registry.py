"""Tests of the sets of jobs that the owner derives from changes instead of searching all jobs."""

import unittest
from unittest import mock

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model

STAGE = model.Stage(2, messages.Resources(1_000, 1, 0))


class JobRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = job_registry.JobRegistry()

    def _add(self, name: str, *stages: model.Stage) -> job_registry.JobRecord:
        job = model.Job(ids.JobId(name), model.QueueName("q"), "", stages or (STAGE,), 0.0)
        record = job_registry.JobRecord(job, 1)
        self.registry.add(record)
        return record

    def test_a_changed_job_is_unsaved_until_it_is_in_a_commit(self):
        record = self._add("j1")
        self.assertEqual({}, self.registry.unsaved)
        record.mark_done(record.get_stage(0, 0).tasks[0], 5.0)
        self.assertEqual(["j1"], list(self.registry.unsaved))
        (row,) = record.take_rows(10)
        self.assertEqual({}, self.registry.unsaved)
        record.mark_unsaved([row[0]])
        self.assertEqual(["j1"], list(self.registry.unsaved))

    def test_occurrences_that_are_done_are_not_visited_again(self):
        # Guards against plans whose time grows with all occurrences that a job ever had.
        job = model.Job(ids.JobId("j1"), model.QueueName("q"), "", (STAGE, STAGE), 0.0, 100, 1.0)
        record = job_registry.JobRecord(job, 1)
        for occurrence in range(90):
            for number in range(2):
                for task in record.get_stage(occurrence, number).tasks:
                    record.mark_done(task, 5.0)
        ready = [stage.key for stage in record.iterate_ready(9.0, 0.0)]
        self.assertEqual([f"{o}.{n}" for o in range(90, 100) for n in range(2)], ready)
        progress = record._stored
        with mock.patch.object(progress, "_count_done", wraps=progress._count_done) as count_done:
            self.assertEqual(ready, [stage.key for stage in record.iterate_ready(9.0, 0.0)])
            self.assertLess(count_done.call_count, 5)
            restored = job_registry.JobRecord(job, 1, record.progress)
            count_restored = mock.Mock(wraps=restored._stored._count_done)
            restored._stored._count_done = count_restored
            self.assertEqual(ready, [stage.key for stage in restored.iterate_ready(9.0, 0.0)])
        self.assertLess(count_restored.call_count, 100)

    def test_a_job_without_stages_has_nothing_ready(self):
        # Guards against a plan without an end (review/7), whatever check a row has passed.
        job = model.Job(ids.JobId("j1"), model.QueueName("q"), "", (), 0.0, 10**12)
        record = job_registry.JobRecord(job, 1)
        self.assertEqual([], list(record.iterate_ready(9.0, 0.0)))

    def test_a_job_in_a_final_state_is_returned_once_and_is_not_active(self):
        record = self._add("j1")
        self._add("j2")
        record.finish(model.JobState.CANCELLED, 5.0)
        self.assertEqual([record], self.registry.deactivate_final())
        self.assertEqual([], self.registry.deactivate_final())
        self.assertEqual(["j2"], list(self.registry.active))

    def test_finished_jobs_are_listed_from_their_retention_until_removal(self):
        for name, finished_at in (("j1", 7.0), ("j2", 5.0), ("j3", 9.0)):
            self._add(name).finish(model.JobState.COMPLETED, finished_at)
        self.registry.deactivate_final()
        names = [r.job.job_id for r in self.registry.list_finished_before(8.0, 10)]
        self.assertEqual(["j2", "j1"], names)
        self.registry.remove(ids.JobId("j2"))
        names = [r.job.job_id for r in self.registry.list_finished_before(8.0, 10)]
        self.assertEqual(["j1"], names)

    def test_a_job_submitted_again_after_its_removal_is_not_listed_as_finished(self):
        # Guards against the removal of a running job because of an earlier one with its id.
        self._add("j1").finish(model.JobState.COMPLETED, 5.0)
        self.registry.deactivate_final()
        self.registry.remove(ids.JobId("j1"))
        self._add("j1")
        self.assertEqual([], self.registry.list_finished_before(8.0, 10))

    def test_a_job_needs_planning_again_when_a_task_or_a_stage_becomes_ready(self):
        record = self._add("j1", STAGE, model.Stage(1, after=(0,)))
        tasks = record.get_stage(0, 0).tasks
        for task in tasks:
            task.phase = job_registry.TaskPhase.ASSIGNED
        record.needs_planning = False
        tasks[0].phase = job_registry.TaskPhase.PENDING
        self.assertTrue(record.needs_planning)
        record.needs_planning = False
        record.mark_done(tasks[0], 5.0)
        self.assertTrue(record.needs_planning)


if __name__ == "__main__":
    unittest.main()
