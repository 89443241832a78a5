"""Tests of the measurement of cancellations.

Guards against a run of a cancelled job that goes on without a log line.
"""

import contextlib
import unittest
from unittest import mock

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import cancellations
from crocusrudder.workflows import model
from crocusrudder.workflows import owner
from tests.workflows import test_late_starts
from tests.workflows import world

ONE_CORE = messages.Resources(1_000, 100, 0)


class CancellationMonitorTest(unittest.TestCase):
    def setUp(self):
        self.system = world.World()
        self.system.run(1.0)
        for agent in self.system.agents.values():
            agent.worker.duration = 60.0
        self.system.submit("j", model.Stage(2, ONE_CORE))
        self.system.run(1.0)
        self.system.owner.drain_log()

    def _cancel(self) -> None:
        wall_time = world.WALL_TIME_OFFSET + self.system.now
        self.system.owner.apply_cancellation(ids.JobId("j"), wall_time)

    def _run(self, seconds: float) -> list[tuple[str, dict[str, object]]]:
        self.system.run(seconds)
        names = (cancellations.ENDED, cancellations.OVERDUE)
        logged = self.system.owner.drain_log()
        return [(change.name, change.fields) for change in logged if change.name in names]

    def test_the_end_of_the_last_run_is_logged_with_the_step_that_took_longest(self):
        for agent in self.system.agents.values():
            agent.worker.stop_seconds = 1.0
        self._cancel()
        ((name, fields),) = self._run(3.0)
        self.assertEqual(cancellations.ENDED, name)
        self.assertEqual((2, "end"), (fields["runs"], fields["slowest"]))
        self.assertGreaterEqual(fields["took_s"], 1.0)

    def test_the_time_of_each_step_is_its_own(self):
        # Guards against lines that blame the worker for a stop that was sent or confirmed late.
        (agent, *_) = self.system.agents.values()
        agent.is_connected = False
        self._cancel()
        self.system.run(0.5)
        agent.is_connected = True
        ((_, fields),) = self._run(2.0)
        self.assertEqual("confirmation", fields["slowest"])
        self.assertLessEqual(fields["order_s"], world.TICK)

    def test_a_run_that_goes_on_is_logged_once_with_its_agent_and_step(self):
        agent = next(agent for agent in self.system.agents.values() if agent.worker.running)
        agent.is_receiving = False
        self._cancel()
        ((name, fields),) = self._run(4.0)
        self.assertEqual(cancellations.OVERDUE, name)
        self.assertEqual([agent.process], fields["agents"])
        self.assertEqual({"confirmation": fields["runs"]}, fields["waiting_for"])
        agent.is_receiving = True
        ((name, fields),) = self._run(2.0)
        self.assertEqual((cancellations.ENDED, "confirmation"), (name, fields["slowest"]))

    def test_runs_are_stopped_although_the_end_of_another_job_cannot_be_logged(self):
        # Guards against runs that go on for good: a job is handled as ended only once.
        self.system.submit("k", model.Stage(1, ONE_CORE))
        self.system.run(1.0)
        other = self.system.owner.job_registry.get(ids.JobId("k"))
        other.finish(model.JobState.FAILED, world.WALL_TIME_OFFSET)
        log_end = mock.patch.object(self.system.owner._planner, "log_end", side_effect=ValueError)
        with log_end, contextlib.suppress(ValueError):
            self._cancel()
        self.system.run(2.0)
        running = [run for agent in self.system.agents.values() for run in agent.worker.running]
        self.assertEqual([], running)

    def test_a_job_without_runs_has_no_line(self):
        self.system.submit("k", model.Stage(1, messages.Resources(9_000, 100, 0)))
        self.system.run(0.5)
        self.system.owner.apply_cancellation(ids.JobId("k"), world.WALL_TIME_OFFSET)
        self.assertEqual([], self._run(4.0))


class ArrivalOrderTest(unittest.TestCase):
    """Guards against UNASKED, as messages and rows of a job may arrive in any order."""

    def setUp(self):
        self.system = world.World()
        self.system.run(1.0)
        self.job = ids.JobId("j")

    def _cancel(self, version: int) -> None:
        wall_time = world.WALL_TIME_OFFSET + self.system.now
        self.system.owner.apply_cancellation(self.job, wall_time, version)

    def test_a_job_whose_cancellation_arrives_first_never_starts(self):
        self._cancel(version=12)
        self.system.submit("j", model.Stage(1, ONE_CORE), version=11)
        self.system.run(2.0)
        self.assertEqual(0, self.system.count_starts("j.0.0.0"))
        self.assertIs(model.JobState.CANCELLED, self.system.get_state("j"))

    def test_a_cancellation_does_not_apply_to_a_later_job_of_the_same_id(self):
        self._cancel(version=12)
        self.system.submit("j", model.Stage(1, ONE_CORE), version=13)
        self.system.run(3.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j"))

    def test_a_row_read_before_its_removal_does_not_start_the_job_again(self):
        # Guards against TWICE and UNASKED: after the feed's history was gone, the owner reads all
        # jobs again, while a commit removes one that ended long ago.
        self.system.submit("j", model.Stage(1, ONE_CORE), version=11)
        self.system.run(2.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j"))
        row = self.system.owner.job_registry.get(self.job)
        wall_time = world.WALL_TIME_OFFSET + self.system.now + owner.JOB_RETENTION_SECONDS + 1
        commit = self.system.owner.make_commit(wall_time)
        self.assertEqual((self.job,), commit.removed_jobs)
        self.system.owner.record_commit(commit, self.system.now)
        self.system.owner.add_job(row.job, 11)
        self.system.run(2.0)
        self.assertEqual(1, self.system.count_starts("j.0.0.0"))
        self.system.owner.add_job(row.job, 20)
        self.system.run(2.0)
        self.assertEqual(2, self.system.count_starts("j.0.0.0"))

    def test_cancellations_of_unknown_jobs_are_bounded(self):
        for number in range(owner.MAX_EARLY_CANCELLATIONS + 1):
            self.system.owner.apply_cancellation(ids.JobId(f"k{number}"), 0.0, 12)
        self.system.submit("k1", model.Stage(1, ONE_CORE), version=11)
        self.assertIs(model.JobState.CANCELLED, self.system.get_state("k1"))


class TakeoverTest(unittest.TestCase):
    """Guards against runs of cancelled jobs that a new owner or a new worker does not stop."""

    def setUp(self):
        self.system = test_late_starts.LateWorld()
        self.agents = list(self.system.agents.values())
        for agent in self.agents:
            agent.worker.duration = 60.0

    def _cancel(self) -> None:
        wall_time = world.WALL_TIME_OFFSET + self.system.now
        self.system.owner.apply_cancellation(ids.JobId("j"), wall_time, 12)

    def _check_ended(self, starts: int) -> None:
        self.assertEqual([], self.system.list_running())
        self.assertEqual(starts, self.system.count_starts("j.0.0.0"))

    def test_runs_are_stopped_whether_the_new_owner_reads_the_cancellation_or_the_state(self):
        for is_state_stored in (False, True):
            with self.subTest(is_state_stored=is_state_stored):
                self.setUp()
                self.system.submit("j", model.Stage(1, ONE_CORE), version=11)
                self.system.run(1.0)
                for agent in self.agents:
                    agent.is_receiving = False
                if is_state_stored:
                    self._cancel()
                    self.system.run(0.3)
                self.system.replace_owner(2)
                self._cancel()
                for agent in self.agents:
                    agent.is_receiving = True
                self.assertEqual(1, len(self.system.list_running()))
                self.system.run(1.0)
                self._check_ended(starts=1)

    def test_a_start_that_a_restarted_worker_carries_out_after_the_stop_is_stopped(self):
        # The worker keeps its id, so the late call reaches an incarnation that knows of no stop.
        for agent in self.agents:
            agent.draw_late = lambda: 2.5
        self.system.submit("j", model.Stage(1, ONE_CORE), version=11)
        self.system.run(0.5)
        self._cancel()
        self.system.run(0.5)
        for agent in self.agents:
            state = agent.worker.state
            agent.worker = world.FakeWorker(state.worker, state.born_ms + 1)
            agent.worker.duration = 60.0
        seen = 0
        for _ in range(60):
            self.system.step()
            seen += bool(self.system.list_running())
        self.assertLess(0, seen * world.TICK)
        self.assertLess(seen * world.TICK, 1.0)
        self._check_ended(starts=1)

    def test_a_start_that_was_ordered_but_not_received_is_withdrawn(self):
        # Guards against an order that arrives after the cancellation.
        for agent in self.agents:
            agent.draw_delay = lambda: 1.0
        self.system.submit("j", model.Stage(1, ONE_CORE), version=11)
        self.system.run(0.5)
        for agent in self.agents:
            agent.draw_delay = lambda: 0.0
        self._cancel()
        self.system.run(5.0)
        self._check_ended(starts=0)


if __name__ == "__main__":
    unittest.main()
