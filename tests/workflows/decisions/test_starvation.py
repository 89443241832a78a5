"""Tests of jobs that are passed over with nothing running."""

import unittest
from unittest import mock

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows import planning
from crocusrudder.workflows import rows
from crocusrudder.workflows.decisions import placement
from crocusrudder.workflows.decisions import starvation
from crocusrudder.workflows.decisions import throttling
from tests.workflows.decisions import test_throttling

QUEUE = model.Queue(model.QueueName("q"), "host", "/q/", test_throttling.SERVICE)
LATER = starvation.STARVED_SECONDS + 0.1


class StarvedBestEffortJobTest(unittest.TestCase):
    """A best-effort image that interferes with the tasks that serve on every worker."""

    def setUp(self):
        self.views = {name: test_throttling.make_view(name) for name in ("a1", "a2")}
        self.serving = [
            test_throttling.assign(view, f"hold-{name}", test_throttling.LATENCY_CRITICAL)
            for name, view in self.views.items()
        ]
        throttle_controller = throttling.ThrottleController()
        target_ms = test_throttling.LATENCY_CRITICAL.target_ms
        learned = rows.ServedEstimates("front", target_ms, 10.0, {"noisy": (1.8, 0.1, 50)})
        estimates = rows.InterferenceEstimates({}, served=(learned,))
        throttle_controller.restore_estimates(estimates, 100.0)
        self.registry = job_registry.JobRegistry()
        self.planner = planning.Planner(model.OwnerEpoch(1), self.registry, 1, throttle_controller)
        self.planner.set_configuration(model.Configuration(1, (QUEUE,)))

    def _submit(self, name: str, *stages: model.Stage) -> None:
        stages = stages or (test_throttling.BEST_EFFORT,)
        job = model.Job(ids.JobId(name), QUEUE.name, "", stages, 100.0)
        self.registry.add(job_registry.JobRecord(job, 2))

    def _plan(self, now: float) -> dict[str, str]:
        """Make a plan; return the agents of the best-effort tasks."""
        for view in self.views.values():
            view.received_at = now
        self.planner.plan(self.views, now, now, True)
        return {
            run.task_name: agent
            for agent, view in self.views.items()
            for run in view.usage.best_effort
        }

    def _list_cpu_shares(self) -> list[int]:
        return [share for view in self.views.values() for share in view.cpu_shares.values()]

    def _fill_processors(self, memory_mb: int) -> None:
        """Assign best-effort tasks that request all idle processors of both workers."""
        demand = messages.Resources(9_000, memory_mb, 0)
        stage = model.Stage(1, demand, image="harmless", best_effort=True)
        for name, view in self.views.items():
            for number in range(7):
                test_throttling.assign(view, f"fill-{name}{number}", stage)

    def test_processors_are_shared_after_a_bounded_wait_while_most_capacity_is_free(self):
        # Guards against LOST: best-effort tasks reserve no processors, but their requests kept a
        # job from running anywhere.
        self._fill_processors(memory_mb=500)
        self._submit("j1")
        self.assertEqual(14, len(self._plan(100.0)))
        self.assertIn("j1.0.0.0", self._plan(100.0 + LATER))

    def test_processors_are_shared_while_only_a_resource_without_demand_is_reserved(self):
        # Guards against LOST: with all accelerators in use, jobs that need none waited for idle
        # processors for good.
        accelerated = model.Stage(1, messages.Resources(0, 0, 1))
        for name, view in self.views.items():
            capacity = msgspec.structs.replace(view.worker.capacity, accelerators=1)
            view.worker = msgspec.structs.replace(view.worker, capacity=capacity)
            test_throttling.assign(view, f"accelerated-{name}", accelerated)
        self._fill_processors(memory_mb=500)
        self._submit("j1")
        self._plan(100.0)
        self.assertIn("j1.0.0.0", self._plan(100.0 + LATER))

    def test_a_gang_shares_processors_after_a_bounded_wait_while_most_capacity_is_free(self):
        # Guards against LOST: the count of members that fit required idle processors.
        self._fill_processors(memory_mb=500)
        gang = msgspec.structs.replace(test_throttling.BEST_EFFORT, task_count=2, gang=True)
        self._submit("j1", gang)
        self.assertEqual(14, len(self._plan(100.0)))
        self.assertLessEqual({"j1.0.0.0", "j1.0.0.1"}, set(self._plan(100.0 + LATER)))

    def test_a_starved_job_waits_for_processors_while_most_capacity_is_reserved(self):
        self._fill_processors(memory_mb=700)
        self._submit("j1")
        self._plan(100.0)
        self.assertEqual(14, len(self._plan(100.0 + LATER)))

    def test_one_task_starts_at_the_lowest_cpu_share_after_a_bounded_wait(self):
        # Guards against LOST: the image was expected to interfere on all workers, so that the job
        # was passed over for as long as the serving tasks lasted.
        self._submit("j1", msgspec.structs.replace(test_throttling.BEST_EFFORT, task_count=3))
        self.assertEqual({}, self._plan(100.0))
        self.assertEqual({}, self._plan(101.0))
        self.assertEqual(["j1.0.0.0"], list(self._plan(100.0 + LATER)))
        self.assertEqual([20], self._list_cpu_shares())
        # As a report does that lists the run.
        self.registry.get(ids.JobId("j1")).mark_started()
        self.assertEqual(1, len(self._plan(100.0 + 2 * LATER)))

    def test_an_assigned_task_that_is_not_listed_keeps_no_other_from_a_last_resort(self):
        # Guards against LOST: the job waited for as long as its only assigned run was nowhere.
        self._submit("j1", msgspec.structs.replace(test_throttling.BEST_EFFORT, task_count=3))
        self._plan(100.0)
        self.assertEqual(1, len(self._plan(100.0 + LATER)))
        self.assertEqual(1, len(self._plan(100.0 + LATER + 1.0)))
        self.assertEqual(2, len(self._plan(100.0 + 2 * LATER)))

    def test_the_worker_whose_latency_is_near_target_is_chosen_last_and_the_run_paused(self):
        self.views["a1"].measurements = {self.serving[0].name: 19.0}
        self._submit("j1")
        self._plan(100.0)
        self.assertEqual({"j1.0.0.0": "a2"}, self._plan(100.0 + LATER))
        self.views["a2"].measurements = {self.serving[1].name: 19.0}
        self._submit("j2")
        self._plan(110.0)
        self._plan(110.0 + LATER)
        self.assertEqual(2, len(self._list_cpu_shares()))
        self.assertIn(0, self._list_cpu_shares())

    def test_a_stage_that_fits_nowhere_does_not_hold_up_another_stage_of_its_job(self):
        # Guards against LOST: each search for the first stage postponed those for the whole job.
        too_large = model.Stage(1, messages.Resources(1, 99_000, 0))
        self._submit("j1", too_large, test_throttling.BEST_EFFORT)
        self._plan(100.0)
        self.assertIn("j1.0.1.0", self._plan(100.0 + LATER))

    @mock.patch.object(placement, "MAX_LAST_RESORT_SCORES", 1)
    def test_jobs_that_fit_nowhere_do_not_use_up_the_searches_for_a_job_that_fits(self):
        # Guards against LOST: on 1,100 workers, jobs of 30 shapes that fit nowhere were searched
        # for again before any other job had its turn.
        for number in range(30):
            demand = messages.Resources(99_000 - number, 99_000 + number, 0)
            self._submit(f"large{number}", model.Stage(1, demand))
        self._submit("j1")
        for tick in range(30):
            placed = self._plan(100.0 + tick / 10)
        self.assertIn("j1.0.0.0", placed)


if __name__ == "__main__":
    unittest.main()
