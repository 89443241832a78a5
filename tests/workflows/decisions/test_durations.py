"""Tests of the learned durations of tasks."""

import math
import unittest

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import locality
from tests.workflows import world

ONE_CORE = messages.Resources(1_000, 100, 0)


def make_stage(name: str, estimated_seconds: float = 2.0) -> job_registry.StageRecord:
    stage = model.Stage(4, ONE_CORE, estimated_seconds=estimated_seconds)
    job = model.Job(ids.JobId(name), world.QUEUE, "", (stage,), 0.0)
    return job_registry.JobRecord(job, 1).get_stage(0, 0)


def train(duration_model: durations.DurationModel, factor: float, stages: int = 20) -> None:
    """Record stages whose tasks run ``factor`` times as long as estimated."""
    for number in range(stages):
        stage = make_stage(f"job-{number}")
        for _ in range(3):
            duration_model.record_run(stage, 2.0 * factor)


class DurationModelTest(unittest.TestCase):
    def test_without_runs_the_estimate_of_the_caller_counts_and_is_not_trusted(self):
        estimate = durations.DurationModel().estimate(make_stage("a"))
        self.assertEqual(2.0, estimate.seconds)
        self.assertFalse(estimate.is_learned)
        self.assertGreater(estimate.deviation, 0.5)

    def test_estimates_that_are_off_alike_correct_those_of_later_jobs(self):
        duration_model = durations.DurationModel()
        train(duration_model, 3.0)
        estimate = duration_model.estimate(make_stage("later"))
        self.assertAlmostEqual(6.0, estimate.seconds, delta=1.2)
        self.assertTrue(estimate.is_learned)
        self.assertEqual(estimate.seconds, duration_model.correct(world.QUEUE, 2.0).seconds)

    def test_the_ended_tasks_of_a_stage_go_before_the_mean_of_its_queue(self):
        duration_model = durations.DurationModel()
        train(duration_model, 1.0)
        stage = make_stage("odd")
        before = duration_model.estimate(stage)
        for _ in range(3):
            duration_model.record_run(stage, 6.0)
        after = duration_model.estimate(stage)
        self.assertGreater(after.seconds, 2.0 * before.seconds)
        self.assertLess(after.deviation, before.deviation)

    def test_unusable_runs_and_stored_ratios_are_ignored(self):
        duration_model = durations.DurationModel()
        lasting = model.Stage(1, ONE_CORE, 2.0, long_running=True)
        job = model.Job(ids.JobId("lasting"), world.QUEUE, "", (lasting,), 0.0)
        duration_model.record_run(job_registry.JobRecord(job, 1).get_stage(0, 0), 5.0)
        duration_model.record_run(make_stage("unknown", 0.0), 5.0)
        duration_model.record_run(make_stage("clock"), 0.0)
        nan = float("nan")
        duration_model.restore_ratios({"a": (0.0, 0.0, 0.0), "b": (5.0, nan, 1.0)})
        self.assertEqual({}, duration_model.export_ratios())

    def test_estimates_that_are_far_off_teach_nothing_and_are_named_once_a_job(self):
        # Guards against a queue whose expected durations are 1e153 s after one job.
        duration_model = durations.DurationModel()
        train(duration_model, 1.0)
        learned = duration_model.export_ratios()
        for estimated in (5e-324, 1e-313, 1e-308, 1e-12, 1e-6, 1e3, 1e12, 1e308):
            stage = make_stage(f"odd-{estimated}", estimated)
            for _ in range(3):
                duration_model.record_run(stage, 0.3)
            seconds = duration_model.estimate(stage).seconds
            self.assertTrue(0.0 < seconds <= 2 * durations.MAX_SECONDS, estimated)
            place = locality.estimate_remaining(seconds, 0.5, 3.0, 50, 2.0)
            self.assertFalse(math.isnan(place.seconds), estimated)
        self.assertEqual(learned, duration_model.export_ratios())
        self.assertEqual(8, len(duration_model.drain_log()))

    def test_one_stage_moves_the_estimates_of_its_queue_by_a_bounded_factor(self):
        # Guards against a bound that only the extremes meet.
        for factor in (1.0 / 99, 99.0):
            duration_model = durations.DurationModel()
            train(duration_model, factor, stages=1)
            ratio = duration_model.correct(world.QUEUE, 2.0).seconds / 2.0
            self.assertTrue(0.3 <= ratio <= 3.3, ratio)

    def test_stored_ratios_out_of_range_are_left_out_one_by_one(self):
        # Guards against one figure that takes those of all queues from a later owner.
        duration_model = durations.DurationModel()
        for odd in (float("nan"), float("inf"), -1e300, 1e15, 710.0):
            known = {"sound": (5.0, 0.5, 0.3), "mean": (5.0, odd, 1.0), "square": (5.0, 0.1, odd)}
            self.assertEqual(3, duration_model.restore_ratios(known | {"weight": (odd, 0.1, 0.1)}))
        self.assertEqual({"sound": (5.0, 0.5, 0.3)}, duration_model.export_ratios())

    def test_a_later_owner_continues_with_what_was_learned(self):
        first, second = durations.DurationModel(), durations.DurationModel()
        train(first, 3.0)
        second.restore_ratios(first.export_ratios())
        self.assertEqual(first.estimate(make_stage("x")), second.estimate(make_stage("x")))

    def test_an_owner_learns_from_the_runs_that_agents_report(self):
        system = world.World(agents=2)
        for agent in system.agents.values():
            agent.worker.duration = 6.0
        stage = model.Stage(4, ONE_CORE, estimated_seconds=2.0)
        job = model.Job(ids.JobId("job"), world.QUEUE, "", (stage,), world.WALL_TIME_OFFSET)
        system.run(1.0)
        system.owner.add_job(job, 10)
        system.run(8.0)
        weight, mean, _ = system.owner.export_estimates().durations[world.QUEUE]
        self.assertEqual(1.0, weight)
        self.assertAlmostEqual(1.1, mean, delta=0.15)
