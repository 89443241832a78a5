"""Tests of tasks that wait for a place near their data or group.

Load pattern: a rack is full while others have room, and jobs want that rack.
"""

import unittest
from unittest import mock

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import model
from crocusrudder.workflows import waiting_reasons
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import near_places
from tests.workflows import racks

HALF_WORKER = messages.Resources(4_000, 100, 0)
MAX_IDLE_SECONDS = 3.0
"""The users' bound: while capacity is free, no job has nothing running for longer."""


def make_stage(tasks: int, seconds: float, rack: str = "", **options) -> model.Stage:
    return model.Stage(tasks, HALF_WORKER, seconds, data_rack=rack, **options)


class NearPlacesTest(unittest.TestCase):
    """Three racks of two workers; four places in each rack."""

    def setUp(self):
        self.system = racks.RackWorld(6, 2)
        self.system.run(1.0)
        # Makes the durations known, so that the caller's estimates are trusted.
        for number in range(20):
            self.system.submit(f"known{number}", make_stage(1, 0.3))
            self.system.run(0.6)
        self.system.logged.clear()

    def _fill(self, rack: str, seconds: float, tasks: int = 4) -> None:
        stage = make_stage(tasks, seconds)
        label = msgspec.structs.replace(stage, required_label=rack)
        self.system.submit(f"filling-{rack}", label)
        self.system.run(0.5)

    def _get_ends(self) -> list[tuple[str, str]]:
        return [
            (change.name, change.fields["reason"])
            for change in self.system.logged
            if change.name in (near_places.SERVED, near_places.GIVEN_UP)
        ]

    def test_tasks_of_a_rack_with_room_start_there_at_once(self):
        self.system.submit("data", make_stage(4, 5.0, "r1"))
        self.system.run(0.3)
        self.assertEqual(["r1"] * 4, self.system.list_racks("data"))
        self.assertEqual([], self.system.list_lines(near_places.BEGUN))
        distances = [line.get("distance") for line in self.system.list_lines("run_assigned")]
        self.assertEqual(["near"] * 4, distances)

    def test_a_task_waits_for_a_rack_that_soon_has_room(self):
        # Guards against a task that runs three times as long elsewhere to save a second.
        self._fill("r0", 1.5)
        self.system.submit("data", make_stage(1, 5.0, "r0"))
        self.system.run(0.3)
        self.assertEqual([], self.system.list_racks("data"))
        self.system.run(1.7)
        self.assertEqual(["r0"], self.system.list_racks("data"))
        self.assertEqual([(near_places.SERVED, "near")], self._get_ends())

    def test_a_task_goes_elsewhere_at_once_if_the_rack_stays_full_for_longer(self):
        # Guards against waits that cost more than they save.
        self._fill("r0", 30.0)
        self.system.submit("data", make_stage(1, 5.0, "r0"))
        self.system.run(0.3)
        self.assertEqual(1, len(self.system.list_racks("data")))
        self.assertNotIn("r0", self.system.list_racks("data"))
        self.assertEqual([], self.system.list_lines(near_places.BEGUN))

    def test_without_a_factor_no_task_waits(self):
        # Guards against an effect where the settings do not ask for it.
        self.system.far_factor = 1.0
        self.system.replace_owner(2)
        self.system.run(1.0)
        self._fill("r0", 1.5)
        self.system.submit("data", make_stage(1, 5.0, "r0"))
        self.system.run(0.3)
        self.assertEqual(1, len(self.system.list_racks("data")))

    def test_a_wait_ends_when_the_runs_there_take_longer_than_estimated(self):
        # Guards against endless waits by estimates that are far too low.
        self._start_running_job(make_stage(1, 2.0, "r0"))
        self.system.work_seconds = lambda task: (
            60.0 if task.name.startswith("filling") else task.stage.spec.estimated_seconds
        )
        self._fill("r0", 1.5)
        self.system.submit("data", make_stage(1, 20.0), make_stage(1, 2.0, "r0"))
        self.system.run(4.5)
        self.assertEqual(2, len(self.system.list_racks("data")))
        self.assertNotIn("r0", self.system.list_racks("data"))

    def test_an_error_in_one_decision_does_not_stop_the_planning_of_all_jobs(self):
        # Guards against a job on which each later owner fails in turn.
        estimate = durations.DurationModel.estimate

        def fail(model, stage):
            if stage.record.job.job_id == "bad":
                raise ValueError("no estimate")
            return estimate(model, stage)

        with mock.patch.object(durations.DurationModel, "estimate", fail):
            for job in ("bad", "good"):
                self.system.submit(job, make_stage(1, 1.0, "r1"))
            self.system.run(0.5)
        self.assertEqual(["r1"], self.system.list_racks("good"))
        self.assertEqual(1, len(self.system.list_racks("bad")))
        self.assertEqual(["bad"], [f["job"] for f in self.system.list_lines(near_places.FAILED)])

    def _start_running_job(self, stage: model.Stage) -> None:
        """Make the rack known to be far from empty by a first job."""
        self.system.submit("first", stage)
        self.system.run(2.5)

    def test_a_job_with_nothing_running_does_not_wait_longer_than_its_bound(self):
        # Guards against a broken bound: a place after two seconds pays, but comes too late for it.
        self._fill("r0", 2.8)
        self.system.submit("data", make_stage(3, 8.0, "r0"))
        self.system.run(0.3)
        self.assertEqual(1, len(self.system.list_racks("data")))
        self.assertNotIn("r0", self.system.list_racks("data"))
        begun = self.system.list_lines(near_places.BEGUN)
        self.assertEqual([(3, 2)], [(line["tasks"], line["waiting"]) for line in begun])
        self.system.run(3.0)
        self.assertEqual(2, self.system.list_racks("data").count("r0"))

    def test_a_run_on_a_silent_agent_does_not_prolong_the_wait_of_the_others(self):
        # Guards against LOST: the job counted as running for as long as the run was assigned.
        self._fill("r0", 6.0)
        self.system.submit("data", make_stage(3, 8.0, "r0"))
        self.system.run(0.3)
        (agent,) = (
            agent
            for agent in self.system.agents.values()
            if any(task.startswith("data") for task, _ in agent.worker.running)
        )
        agent.is_connected = False
        agent.worker.running.clear()
        self.system.run(MAX_IDLE_SECONDS)
        self.assertEqual(2, len(self.system.list_racks("data")))

    def test_a_wait_that_drags_on_ends_before_the_bound(self):
        self.system.work_seconds = lambda task: (
            60.0 if task.name.startswith("filling") else task.stage.spec.estimated_seconds
        )
        self._fill("r0", 0.9)
        self.system.submit("data", make_stage(1, 8.0, "r0"))
        self.system.run(0.2)
        self.assertEqual([], self.system.list_racks("data"))
        self.system.run(MAX_IDLE_SECONDS - 1.0)
        self.assertEqual(1, len(self.system.list_racks("data")))
        self.assertEqual(near_places.GIVEN_UP, self._get_ends()[0][0])

    def _wait_beside_a_running_task(self) -> None:
        """Let a job with a running task wait for rack r0 for seconds."""
        self._fill("r0", 6.0)
        self.system.submit("data", make_stage(1, 30.0), make_stage(1, 8.0, "r0"))
        self.system.run(0.5)
        self.assertEqual(1, len(self.system.list_racks("data")))
        self.assertEqual(1, len(self.system.list_lines(near_places.BEGUN)))

    def test_a_wait_ends_when_all_workers_of_the_rack_are_lost(self):
        # Guards against a wait for workers that are not there any more.
        self._wait_beside_a_running_task()
        for name in ("a0", "a1"):
            self.system.agents[ids.ProcessId(name)].is_connected = False
        self.system.run(1.6)
        self.assertEqual([(near_places.GIVEN_UP, "no_rack")], self._get_ends())
        self.assertEqual(2, len(self.system.list_racks("data")))

    def test_a_wait_ends_when_the_rack_is_evacuated(self):
        self._wait_beside_a_running_task()
        for name in ("a0", "a1"):
            worker = self.system.agents[ids.ProcessId(name)].worker
            worker.state = msgspec.structs.replace(worker.state, draining=True)
        self.system.run(0.5)
        self.assertEqual([(near_places.GIVEN_UP, "no_rack")], self._get_ends())

    def test_a_later_owner_decides_anew(self):
        # Guards against a task that waits for an end which the new owner does not know.
        self._wait_beside_a_running_task()
        self.system.replace_owner(2)
        self.system.run(7.0)
        self.assertIn("r0", self.system.list_racks("data"))
        self.assertEqual(1, self.system.count_starts("data.0.1.0"))
        self.assertEqual(2, len(self.system.list_lines(near_places.BEGUN)))

    def test_those_that_gain_most_get_a_hot_rack_and_the_others_go_elsewhere(self):
        # Guards against short tasks that take the places of long ones, and against a queue for a
        # rack that is longer than what a place saves.
        self._fill("r0", 1.2)
        for number in range(6):
            self.system.submit(f"short{number}", make_stage(1, 0.5, "r0"))
        self.system.submit("long", make_stage(4, 6.0, "r0"))
        self.system.run(2.0)
        self.assertEqual(["r0"] * 4, self.system.list_racks("long"))
        short = [self.system.list_racks(f"short{number}") for number in range(6)]
        self.assertTrue(all(short))
        self.assertNotIn(["r0"], short)

    def test_a_free_place_goes_to_the_job_that_gains_most_of_those_that_come_at_once(self):
        self._fill("r0", 30.0, 2)
        self.system.submit("short", make_stage(2, 1.0, "r0"))
        self.system.submit("long", make_stage(2, 6.0, "r0"))
        self.system.run(0.3)
        self.assertEqual(["r0"] * 2, self.system.list_racks("long"))
        self.assertEqual(2, len(self.system.list_racks("short")))

    def test_other_jobs_use_a_place_that_is_waited_for(self):
        # Guards against reserved places that stand empty.
        self._wait_beside_a_running_task()
        self.system.submit("other", make_stage(7, 1.0))
        self.system.run(0.3)
        self.assertEqual(7, len(self.system.list_racks("other")))

    def test_a_waiting_job_is_explained(self):
        self._fill("r0", 1.8)
        self.system.submit("data", make_stage(1, 8.0, "r0"))
        self.system.run(0.3)
        stage = self.system.owner.job_registry.get(ids.JobId("data")).get_stage(0, 0)
        explanation = self.system.owner._planner._explain(stage, self.system.now)
        self.assertIs(waiting_reasons.WaitReason.NEAR_PLACE, explanation.reason)


class GroupTest(unittest.TestCase):
    """Two racks of five workers of eight cores; 20 places of two cores in each rack."""

    def setUp(self):
        self.system = racks.RackWorld(10, 5)
        self.system.run(1.0)

    def _submit(self, filled: int, seconds: float, **options) -> None:
        demand = messages.Resources(2_000, 100, 0)
        for rack in ("r0", "r1"):
            filling = model.Stage(filled, demand, 30.0, required_label=rack)
            self.system.submit(f"filling-{rack}", filling)
        self.system.run(0.5)
        stage = model.Stage(20, demand, seconds, same_rack=True, **options)
        self.system.submit("group", stage)

    def test_a_group_with_one_place_short_keeps_to_its_rack(self):
        # Guards against one task elsewhere that makes 20 tasks run three times as long.
        self._submit(1, 4.0)
        self.system.run(1.0)
        self.assertEqual(19, len(self.system.list_racks("group")))
        self.system.run(8.0)
        self.assertEqual(1, len(set(self.system.list_racks("group"))))
        self.assertEqual(model.JobState.COMPLETED, self.system.get_state("group"))

    def test_a_group_that_would_need_too_many_turns_is_spread_at_once(self):
        self._submit(16, 4.0)
        self.system.run(0.3)
        self.assertEqual({"r0", "r1"}, set(self.system.list_racks("group")))
        self.assertEqual(8, len(self.system.list_racks("group")))

    def test_a_gang_does_not_wait_for_places_that_come_after_its_bound(self):
        self._submit(1, 4.0, gang=True)
        self.system.run(0.5)
        self.assertEqual(20, len(self.system.list_racks("group")))

    def test_runs_of_a_spread_group_are_not_learned_from(self):
        self._submit(16, 4.0)
        self.system.run(0.3)
        runs = [
            run
            for view in self.system.owner.views.values()
            for run in view.assignments.values()
            if run.task_name.startswith("group")
        ]
        self.assertEqual([(True, False)] * 8, [(run.is_far, run.is_comparable) for run in runs])


if __name__ == "__main__":
    unittest.main()
