"""Tests of the rows that store the progress of jobs of any size.

Guards against TWICE and LOST: the progress of a large job outgrew its row, was dropped, and its
ends were acknowledged all the same. A later owner ran the tasks again.
"""

import unittest

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import job_progress
from crocusrudder.workflows import model
from crocusrudder.workflows import owner
from crocusrudder.workflows import rows
from tests.workflows import world

LARGEST_JOB = 100_000
"""Tasks that a job may have."""
SMALL = messages.Resources(10, 1, 0)


class StoredRows:
    """The progress rows of one store, filled by commits that are checked against its limits."""

    def __init__(self, test: unittest.TestCase) -> None:
        self._test = test
        self._values: dict[ids.JobId, dict[int, bytes]] = {}
        self.has_acknowledged = False

    def save(self, commit: owner.Commit) -> None:
        sizes = [len(value or b"") for _, _, value in commit.writes]
        self._test.assertLessEqual(len(sizes), owner.MAX_WRITES)
        self._test.assertLessEqual(sum(sizes), owner.MAX_COMMIT_BYTES)
        self._test.assertLessEqual(max(sizes, default=0), rows.MAX_ROW_BYTES)
        self.has_acknowledged |= any(commit.processed_ends.values())
        for _, key, value in (w for w in commit.writes if w[0] == rows.PROGRESS_TABLE):
            job, part = rows.split_progress_key(key)
            stored = self._values.setdefault(job, {})
            stored[job_progress.MAIN_ROW if part is None else part] = value
            self._values[job] = {n: v for n, v in stored.items() if v is not None}

    def load(self, job: model.Job) -> model.Progress:
        return job_progress.decode(job, self._values[job.job_id])

    def count(self, job: model.Job) -> int:
        return len(self._values[job.job_id])


class LargeJobTest(unittest.TestCase):
    def setUp(self):
        self.stored = StoredRows(self)
        self.system = world.World(agents=1)
        self.system.run(0.5)

    def _add(self, name: str, *stages: model.Stage, occurrences: int = 0):
        job = model.Job(ids.JobId(name), world.QUEUE, "", stages, 0.0, occurrences)
        self.system.owner.add_job(job, 10)
        return self.system.owner.job_registry.get(job.job_id)

    def _commit(self) -> None:
        while self.system.owner.has_changes():
            commit = self.system.owner.make_commit(world.WALL_TIME_OFFSET)
            self.stored.save(commit)
            self.system.owner.record_commit(commit, self.system.now)

    def _end(self, name: str, how: str = "done") -> None:
        """Let the worker list the end of a run, which the owner processes."""
        (agent,) = self.system.agents.values()
        report = agent.state.make_report(ids.DataCentre("bilbao"), self.system.now + 0.01)
        ended = model.RunNumber(10_000_500)
        # Only ends of runs that the owner has ordered on the worker count.
        self.system.owner.views[agent.process].ordered_runs.add(name, ended)
        report = msgspec.structs.replace(
            report, ended=(world.workflow_messages.EndedRun(900, name, ended, how),)
        )
        self.system.owner.handle_report(agent.process, report, self.system.now, 5.0)

    def test_all_ends_of_the_largest_jobs_are_stored(self):
        for stages, occurrences in (
            ((model.Stage(1, SMALL),), LARGEST_JOB),
            ((model.Stage(LARGEST_JOB, SMALL),), 0),
            ((model.Stage(3, SMALL), model.Stage(1, SMALL, after=(0,))), LARGEST_JOB // 4),
        ):
            with self.subTest(stages=len(stages), occurrences=occurrences):
                record = self._add(f"j{occurrences}", *stages, occurrences=occurrences)
                last = record.get_stage(record.occurrence_count - 1, len(stages) - 1).tasks[-1]
                for occurrence in range(record.occurrence_count):
                    for number in range(len(stages)):
                        for task in record.get_stage(occurrence, number).tasks:
                            if task is not last:
                                record.mark_done(task, 5.0)
                self._commit()
                restored = type(record)(record.job, 10, self.stored.load(record.job))
                pending = [
                    task
                    for occurrence in range(record.occurrence_count)
                    for number in range(len(stages))
                    for task in restored.get_stage(occurrence, number).list_pending()
                ]
                self.assertEqual([last.name], [task.name for task in pending])
                restored.mark_done(pending[0], 6.0)
                self.assertIs(model.JobState.COMPLETED, restored.progress.state)

    def test_the_end_of_a_job_of_many_occurrences_is_acknowledged_with_its_progress(self):
        # The case of the review: 6,800 occurrences of one task.
        record = self._add("j", model.Stage(1, SMALL), occurrences=6_800)
        for occurrence in range(6_799):
            record.mark_done(record.get_stage(occurrence, 0).tasks[0], 5.0)
        self._end("j.6799.0.0")
        self._commit()
        self.assertTrue(self.stored.has_acknowledged)
        self.assertIs(model.JobState.COMPLETED, self.stored.load(record.job).state)

    def test_an_end_is_not_acknowledged_before_all_rows_are_stored(self):
        record = self._add("j", model.Stage(4_000, SMALL))
        for task in record.get_stage(0, 0).tasks:
            for run in range(200):
                record.count_failure(task, 10_000_000_000_000 + run)
        self._add("k", model.Stage(1, SMALL))
        self._end("k.0.0.0")
        commits = 0
        while self.system.owner.job_registry.unsaved:
            self.assertFalse(self.stored.has_acknowledged)
            commit = self.system.owner.make_commit(world.WALL_TIME_OFFSET)
            self.stored.save(commit)
            self.system.owner.record_commit(commit, self.system.now)
            commits += 1
        self.assertGreater(commits, 2)
        self.assertTrue(self.stored.has_acknowledged)
        self.assertEqual(record.progress.failures, self.stored.load(record.job).failures)

    def test_rows_of_a_commit_that_failed_are_stored_by_the_next_one(self):
        record = self._add("j", model.Stage(40, SMALL))
        tasks = record.get_stage(0, 0).tasks
        record.count_failure(tasks[39], 7)
        record.mark_done(tasks[0], 5.0)
        self.system.owner.record_commit_failure(self.system.owner.make_commit(5.0))
        self._commit()
        stored = self.stored.load(record.job)
        self.assertEqual({"0.0.39": (7,)}, stored.failures)
        self.assertEqual(b"\x01", stored.done_tasks)

    def test_failed_runs_take_rows_only_until_their_task_is_done(self):
        record = self._add("j", model.Stage(40, SMALL))
        tasks = record.get_stage(0, 0).tasks
        for task in (tasks[0], tasks[20], tasks[39]):
            record.count_failure(task, 7)
        self._commit()
        self.assertEqual(3, self.stored.count(record.job))
        record.mark_done(tasks[20], 5.0)
        self._commit()
        self.assertEqual(3, self.stored.count(record.job))
        self.assertEqual({"0.0.0", "0.0.39"}, self.stored.load(record.job).failures.keys())
        record.finish(model.JobState.CANCELLED, 6.0)
        self._commit()
        self.assertEqual(1, self.stored.count(record.job))

    def test_a_late_failed_run_of_a_task_that_is_done_does_not_fail_its_job(self):
        record = self._add("j", model.Stage(2, SMALL))
        task = record.get_stage(0, 0).tasks[0]
        record.count_failure(task, 7)
        record.mark_done(task, 5.0)
        self._end(task.name, "failed")
        self._end(task.name, "failed")
        self.assertFalse(record.is_final)

    def test_runs_beyond_those_whose_numbers_are_kept_are_counted(self):
        progress = job_progress.JobProgress(
            model.Job(ids.JobId("j"), world.QUEUE, "", (model.Stage(1),), 0.0), None
        )
        limit = job_progress.MAX_FAILED_RUNS
        for run in range(limit + 5):
            self.assertEqual(run + 1, progress.count_failure("0.0.0", run))
        for repeated in (0, 4, 5, limit + 4):
            self.assertEqual(limit + 5, progress.count_failure("0.0.0", repeated))

    def test_progress_of_an_earlier_release_is_converted(self):
        stages = (model.Stage(3, SMALL), model.Stage(9, SMALL))
        job = model.Job(ids.JobId("j"), world.QUEUE, "", stages, 0.0, 2)
        old = msgspec.msgpack.encode(
            ["running", {"0.0": b"\x05", "1.1": b"\x00\x01"}, {"1.1.0": (7,)}, 0.0, {}]
        )
        progress = job_progress.decode(job, {job_progress.MAIN_ROW: old})
        self.system.owner.add_job(job, 10, progress)
        self._commit()
        record = type(self._add("k", *stages))(job, 10, self.stored.load(job))
        done = [task.name for task in record.get_stage(0, 0).tasks if task.phase.value == "done"]
        self.assertEqual(["j.0.0.0", "j.0.0.2"], done)
        done = [task.name for task in record.get_stage(1, 1).tasks if task.phase.value == "done"]
        self.assertEqual(["j.1.1.8"], done)
        self.assertEqual({"1.1.0": (7,)}, record.progress.failures)


if __name__ == "__main__":
    unittest.main()
