"""Replay: batch fills all workers for a long time, and then short urgent jobs arrive."""

import collections
import unittest
from unittest import mock

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import preemption
from tests.workflows import world

HALF = messages.Resources(4_000, 16_000, 0)
URGENT = model.Queue(
    model.QueueName("urgent"), "host", "/u/", world.SERVICE, 0, 2, 2.0, objective_seconds=1.0
)
BATCH = msgspec.structs.replace(URGENT, name=model.QueueName("batch"), priority=2)
LONG = model.Stage(4, HALF, estimated_seconds=30.0, checkpoints=True)
SHORT = model.Stage(1, HALF, estimated_seconds=2.0)


class PreemptionTest(unittest.TestCase):
    """Two workers, each of which has room for two tasks."""

    def setUp(self):
        self.system = world.World()
        self.system.owner.set_configuration(model.Configuration(2, (URGENT, BATCH)))
        self.logged = []
        self.run_for(1.0)

    def run_for(self, seconds: float) -> None:
        self.system.run(seconds)
        self.logged += self.system.owner.drain_log()

    def submit(self, name: str, queue: model.Queue, *stages: model.Stage) -> None:
        now = world.WALL_TIME_OFFSET + self.system.now
        job = model.Job(ids.JobId(name), queue.name, "spec", stages, now)
        self.system.owner.add_job(job, 10)

    def set_duration(self, seconds: float) -> None:
        for agent in self.system.agents.values():
            agent.worker.duration = seconds

    def list_preempted(self) -> list[str]:
        lines = [line for line in self.logged if line.name == preemption.PREEMPTED]
        return [line.fields["task"] for line in lines]

    def _fill(self, *stages: model.Stage, queue: model.Queue = BATCH) -> None:
        """Start batch that takes all room, and then submit an urgent task of 2 s."""
        self.set_duration(30.0)
        for number, stage in enumerate(stages):
            self.submit(f"batch{number}", queue, stage)
        self.run_for(1.0)
        self.set_duration(2.0)
        self.submit("urgent", URGENT, SHORT)
        self.run_for(4.0)

    def test_an_urgent_task_starts_and_its_job_is_in_time(self):
        self._fill(LONG)
        self.assertEqual(1, len(self.list_preempted()))
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("urgent"))
        self.run_for(30.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("batch0"))
        self.assertEqual(2, self.system.count_starts(self.list_preempted()[0]))

    def test_runs_of_an_earlier_owner_are_not_taken_to_end_at_once(self):
        # Guards against urgent tasks that wait, after a takeover, for runs that last on: the new
        # owner does not know when they were ordered.
        self.set_duration(30.0)
        self.submit("batch", BATCH, LONG)
        self.run_for(5.0)
        self.system.replace_owner(2)
        self.system.owner.set_configuration(model.Configuration(2, (URGENT, BATCH)))
        self.run_for(1.0)
        self._fill()
        self.assertEqual(1, len(self.list_preempted()))
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("urgent"))

    def test_the_run_that_loses_least_is_stopped(self):
        unsaved = msgspec.structs.replace(LONG, task_count=3, checkpoints=False)
        self.set_duration(30.0)
        self.submit("unsaved", BATCH, unsaved)
        self.run_for(3.0)
        self._fill(msgspec.structs.replace(LONG, task_count=1))
        self.assertEqual(["batch0.0.0.0"], self.list_preempted())

    def test_no_run_is_stopped_for_less_work_than_it_loses(self):
        self.set_duration(30.0)
        self.submit("unsaved", BATCH, msgspec.structs.replace(LONG, checkpoints=False))
        self.run_for(3.0)
        self._fill()
        self.assertEqual([], self.list_preempted())

    def test_nothing_is_stopped_while_there_is_room(self):
        self._fill(msgspec.structs.replace(LONG, task_count=3))
        self.assertEqual([], self.list_preempted())
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("urgent"))

    def test_a_task_waits_for_a_run_that_ends_in_time(self):
        self.set_duration(3.0)
        self.submit("batch", BATCH, msgspec.structs.replace(LONG, estimated_seconds=3.0))
        self.run_for(1.0)
        self.submit("urgent", URGENT, SHORT)
        self.run_for(6.0)
        self.assertEqual([], self.list_preempted())
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("urgent"))

    def test_a_run_that_lasts_far_beyond_its_estimate_promises_no_room(self):
        # Guards against one job with an odd estimate for which urgent jobs wait until they are
        # late: a run that is overdue was taken to end at once, however long it had lasted.
        odd = msgspec.structs.replace(LONG, task_count=1, estimated_seconds=1e-6)
        self._fill(odd, msgspec.structs.replace(LONG, task_count=3))
        self.assertEqual(1, len(self.list_preempted()))
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("urgent"))

    def test_an_earlier_owners_run_that_lasts_far_beyond_its_estimate_promises_no_room(self):
        self.set_duration(30.0)
        odd = msgspec.structs.replace(LONG, task_count=1, estimated_seconds=1e-6)
        self.submit("odd", BATCH, odd)
        self.submit("batch", BATCH, msgspec.structs.replace(LONG, task_count=3))
        self.run_for(5.0)
        self.system.replace_owner(2)
        self.system.owner.set_configuration(model.Configuration(2, (URGENT, BATCH)))
        self.run_for(1.0)
        self._fill()
        self.assertEqual(1, len(self.list_preempted()))
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("urgent"))

    def test_a_job_that_is_late_anyway_stops_nothing(self):
        self.set_duration(30.0)
        self.submit("batch", BATCH, LONG)
        self.run_for(1.0)
        hasty = msgspec.structs.replace(SHORT, estimated_seconds=0.2)
        job = model.Job(ids.JobId("late"), URGENT.name, "s", (hasty,), world.WALL_TIME_OFFSET)
        self.system.owner.add_job(job, 10)
        self.run_for(3.0)
        self.assertEqual([], self.list_preempted())

    def test_exempt_runs_are_not_stopped(self):
        replace = msgspec.structs.replace
        for stage, queue in (
            (replace(LONG, long_running=True), BATCH),
            (replace(LONG, latency_target_ms=50.0, image="s"), BATCH),
            (replace(LONG, gang=True), BATCH),
            (LONG, URGENT),
        ):
            with self.subTest(stage=stage, queue=queue.name):
                self.setUp()
                self._fill(stage, queue=queue)
                self.assertEqual([], self.list_preempted())

    def test_best_effort_runs_count_by_what_they_reserve(self):
        memory = messages.Resources(100, 16_000, 0)
        filling = model.Stage(
            4, memory, estimated_seconds=30.0, checkpoints=True, best_effort=True, image="f"
        )
        self._fill(filling)
        self.assertEqual(1, len(self.list_preempted()))
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("urgent"))

    def test_a_task_is_stopped_once_at_most_in_a_stream_of_urgent_jobs(self):
        self.set_duration(30.0)
        self.submit("batch", BATCH, LONG)
        self.run_for(1.0)
        for number in range(20):
            self.set_duration(2.0)
            self.submit(f"urgent{number}", URGENT, SHORT)
            self.run_for(0.7)
        self.set_duration(5.0)
        self.run_for(60.0)
        counts = collections.Counter(self.list_preempted())
        self.assertTrue(counts)
        self.assertEqual({1}, set(counts.values()))
        records = self.system.owner.job_registry.records
        states = {self.system.get_state(job) for job in records}
        self.assertEqual({model.JobState.COMPLETED}, states)

    def test_a_burst_takes_few_searches_in_a_plan(self):
        # Guards against plans of seconds: a search examines all runs of all workers.
        self.set_duration(30.0)
        self.submit("batch", BATCH, LONG)
        self.run_for(1.0)
        planner = self.system.owner._planner._preemptions
        with mock.patch.object(planner, "_search", wraps=planner._search) as search:
            self.submit("burst", URGENT, msgspec.structs.replace(SHORT, task_count=300))
            self.run_for(world.TICK)
        self.assertEqual(preemption.MAX_SEARCHES, search.call_count)


if __name__ == "__main__":
    unittest.main()
