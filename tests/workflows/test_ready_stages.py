"""Tests of jobs with many occurrences that are due at once."""

import random
import unittest

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows import ready_stages
from tests.workflows import world

SMALL = messages.Resources(10, 1, 0)
HOPELESS = model.Stage(1, SMALL, required_label="none")
OCCURRENCES = 2_000
SEEDS = 20


def make_job(name: str, *stages: model.Stage, occurrences: int = OCCURRENCES) -> model.Job:
    """Return a job whose occurrences are all due."""
    due_at = world.WALL_TIME_OFFSET - 10.0 * occurrences
    return model.Job(
        ids.JobId(name), world.QUEUE, "", stages, world.WALL_TIME_OFFSET, occurrences, due_at, 10.0
    )


class ManyOccurrencesTest(unittest.TestCase):
    def setUp(self):
        self.system = world.World(agents=2)
        for agent in self.system.agents.values():
            agent.worker.duration = 0.3
            agent.worker.set_capacity(64_000, 250_000, 0)
        self.system.run(1.0)

    def _add(self, name: str, *stages: model.Stage, occurrences: int = OCCURRENCES):
        job = make_job(name, *stages, occurrences=occurrences)
        self.system.owner.add_job(job, 10)
        return self.system.owner.job_registry.get(job.job_id)

    def test_occurrences_that_find_no_worker_have_no_state(self):
        # Guards against LOST (review/8): each plan went through all occurrences that were due, and
        # each owner's memory held a task for each of them.
        records = [self._add(f"h{number}", HOPELESS) for number in range(3)]
        self.system.submit("j", model.Stage(1, SMALL))
        self.system.run(3.0)
        for record in records:
            self.assertLessEqual(len(list(record.iterate_tasks())), ready_stages.MAX_UNPLACED_TASKS)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j"))

    def test_a_later_owner_starts_no_occurrence_before_it_is_due(self):
        # Guards against ORDER (review/13): a later owner took the first open occurrence for due as
        # soon as the first of all was.
        now = world.WALL_TIME_OFFSET + self.system.now
        due_times = (now, now + 20.0, now + 40.0)
        job = model.Job(
            ids.JobId("timed"), world.QUEUE, "", (model.Stage(1, SMALL),), now, 3, now, 20.0
        )
        self.system.owner.add_job(job, 10)
        for epoch, due_at in enumerate(due_times, start=2):
            self.system.run(2.0)
            self.system.replace_owner(epoch)
            self.system.run(18.0)
            starts = [
                world.WALL_TIME_OFFSET + at
                for agent in self.system.agents.values()
                for at, task, _ in agent.worker.started
                if task == f"timed.{epoch - 2}.0.0"
            ]
            self.assertEqual(1, len(starts))
            self.assertTrue(due_at <= starts[0] <= due_at + 1.0, (starts, due_at))
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("timed"))

    def test_they_run_as_soon_as_a_worker_suits(self):
        # Guards against LOST: a job that can be done later must not be given up.
        record = self._add("h", HOPELESS, occurrences=200)
        self.system.run(2.0)
        for agent in self.system.agents.values():
            state = agent.worker.state
            agent.worker.state = msgspec.structs.replace(state, labels=("none", "r1"))
        self.system.run(6.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("h"))
        self.assertEqual([], list(record.iterate_tasks()))

    def test_a_stage_that_finds_no_worker_holds_up_no_other(self):
        # Guards against LOST: the first stages of all occurrences can be done, the second cannot.
        self._add("h", model.Stage(1, SMALL), model.Stage(1, SMALL, after=(0,), required_label="b"))
        self.system.run(8.0)
        record = self.system.owner.job_registry.get("h")
        left = sum(record.count_left(number, 0) for number in range(OCCURRENCES))
        self.assertEqual(0, left)
        self.assertLessEqual(len(list(record.iterate_tasks())), ready_stages.MAX_UNPLACED_TASKS)

    def test_a_new_owner_goes_on_with_the_occurrences_that_are_left(self):
        # Guards against TWICE and LOST: the state of occurrences is derived from stored progress.
        self._add("j", model.Stage(1, SMALL), model.Stage(2, SMALL, after=(0,)), occurrences=300)
        for epoch in (2, 3, 4):
            self.system.run(0.4)
            self.system.replace_owner(epoch)
        self.system.run(8.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j"))
        starts = [
            task for agent in self.system.agents.values() for _, task, _ in agent.worker.started
        ]
        self.assertEqual(900, len(starts))
        self.assertEqual(900, len(set(starts)))

    def test_ready_stages_are_those_that_the_progress_leaves_open(self):
        # Guards against LOST and ORDER: the sets of ready stages are kept from change to change.
        for seed in range(SEEDS):
            rng = random.Random(seed)
            stages = [
                model.Stage(
                    rng.randrange(1, 4),
                    SMALL,
                    after=tuple(n for n in range(i) if rng.random() < 0.4),
                )
                for i in range(rng.randrange(1, 5))
            ]
            job = make_job("j", *stages, occurrences=rng.randrange(1, 30))
            record = job_registry.JobRecord(job, 1)
            total = sum(stage.task_count for stage in stages) * job.occurrences
            done = 0
            while done < total:
                if rng.random() < 0.1:
                    record = job_registry.JobRecord(job, 1, record.progress)
                    stray = record.get_stage(rng.randrange(job.occurrences), 0)
                    self.assertIsNotNone(stray)
                ready = list(record.iterate_ready(world.WALL_TIME_OFFSET, 0.0))
                self.assertTrue(ready, seed)
                for stage in ready:
                    self.assertFalse(stage.is_done)
                    for other in stage.spec.after:
                        self.assertEqual(0, record.count_left(stage.occurrence, other))
                for task in rng.choice(ready).list_pending()[: rng.randrange(1, 4)]:
                    record.mark_done(task, 5.0)
                    done += 1
            self.assertIs(model.JobState.COMPLETED, record.progress.state)
            self.assertEqual([], list(record.iterate_ready(world.WALL_TIME_OFFSET, 0.0)))


if __name__ == "__main__":
    unittest.main()
