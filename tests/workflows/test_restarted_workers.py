"""Tests of starts that may have reached a worker that restarted under its id unnoticed.

Guards against TWICE: calls name the worker's id only, so the new incarnation carries out starts
that the agent sent to the earlier one. They were forgotten once the agent noticed the restart, and
their tasks were placed on other workers while they ran.
"""

import unittest

import curio

from crocusrudder.core import ids
from crocusrudder.platform import worker
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import agent_state
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from tests.workflows import test_agent_daemon
from tests.workflows import test_agent_state
from tests.workflows import world

RUN = test_agent_state.RUN
BORN_MS = 5
"""Time of birth of the incarnation that the agent follows first."""
ENDED = workflow_messages.EndedRun(1, *RUN, "done")


class AgentTest(unittest.TestCase):
    """A start is open until a list of the incarnation that may have carried it out shows it."""

    def setUp(self):
        self.state = agent_state.AgentState(10.0, 90.0)
        self._follow(BORN_MS, 90.0)
        orders = test_agent_state.make_orders(1, 100.0, starts=(test_agent_state.START,))
        self.state.handle_orders(orders, 100.0)
        self._list(100.0)
        self.state.record_start_sent(RUN, 100.0)

    def _follow(self, born_ms: int, at: float, name: str = "w1") -> None:
        state = test_agent_state.make_worker(name, born_ms)
        world.follow_worker(self.state, state, 1, at)

    def _list(self, at: float, *running, ended=()) -> None:
        runs = tuple(workflow_messages.RunningTask(*run) for run in running)
        self.state.handle_list(worker.RunList(1_000, runs, ended), self.state.epoch, at, at)

    def _report(self, at: float) -> workflow_messages.AgentReport:
        return self.state.make_report(ids.DataCentre("z"), at)

    def _list_open(self, at: float) -> list[model.RunKey]:
        report = self._report(at)
        return [*report.starting, *((entry.task, entry.run) for entry in report.running)]

    def test_an_answered_start_is_reported_until_a_list_shows_the_run(self):
        self.state.record_start_result(RUN, None, 100.1)
        self._follow(9, 100.2)
        self.assertEqual([RUN], self._list_open(100.3))
        self._list(100.4, RUN)
        self.assertEqual([RUN], self._list_open(100.5))
        self.assertEqual((), self._report(100.5).rejected)

    def test_an_answered_start_that_ended_meanwhile_is_reported_as_ended(self):
        self.state.record_start_result(RUN, None, 100.1)
        self._follow(9, 100.2)
        self._list(100.4, ended=(ENDED,))
        self.assertEqual(((ENDED,), ()), (self._report(100.5).ended, self._report(100.5).rejected))

    def test_an_answered_start_that_no_list_shows_ended_with_the_earlier_incarnation(self):
        self.state.record_start_result(RUN, None, 100.1)
        self._follow(9, 100.2)
        self._list(100.4)
        self.assertEqual([], self._list_open(100.5))
        self.assertEqual([RUN], [(r.task, r.run) for r in self._report(100.5).rejected])

    def test_a_run_that_the_earlier_incarnation_listed_has_ended_with_it(self):
        self.state.record_start_result(RUN, None, 100.1)
        self._list(100.2, RUN)
        self._follow(9, 100.3)
        self.assertEqual([], self._list_open(100.4))

    def test_a_start_cannot_have_reached_a_worker_with_another_id(self):
        self._follow(9, 100.2, "w2")
        self.assertEqual([], self._list_open(100.3))
        self.assertEqual([], self.state.take_unblocked())

    def test_a_start_in_progress_is_open_until_its_response_and_a_list(self):
        self._follow(9, 100.2)
        self._list(100.3)
        self.assertEqual([RUN], self._list_open(100.4))
        self.state.record_start_result(RUN, None, 100.5)
        self.assertEqual([RUN], self._list_open(100.5))
        self._list(100.6)
        self.assertEqual([RUN], [(r.task, r.run) for r in self._report(100.7).rejected])

    def test_a_start_without_a_response_is_stopped_on_each_incarnation(self):
        # A stop holds only in the incarnation that accepted it; the start may be executed later.
        self.state.record_start_failure(RUN, 101.0)
        self.state.record_stop_result(RUN, True, 101.1)
        self._list(101.2)
        for born_ms, at in ((9, 102.0), (11, 104.0)):
            self._follow(born_ms, at)
            self.assertEqual([RUN], self.state.take_unblocked())
            self.assertTrue(self.state.is_starting(RUN))
            self.state.record_stop_result(RUN, True, at + 0.1)
            self._list(at + 0.2)
            self.assertEqual([], self._list_open(at + 0.3))
        self._follow(13, 101.0 + agent_state.LATE_START_SECONDS + 0.1)
        self.assertEqual([], self.state.take_unblocked())

    def test_the_runs_of_a_restarted_worker_lapse_only_after_its_longest_lease(self):
        # The end of the lease was chosen by the clock of the earlier incarnation, which is ahead.
        self._follow(9, 100.2)
        self.assertFalse(self._report(100.2 + leases.LEASE_EXPIRY_SECONDS + 0.1).lapsed)
        self.assertTrue(self._report(100.2 + 10.0 * 1.02 + 0.3).lapsed)

    def test_ends_are_acknowledged_only_right_after_a_list_that_names_them(self):
        # Guards against ends of a new incarnation that it drops unread: they have low numbers, and
        # the agent sent an earlier one's to it.
        self._list(100.2, ended=(ENDED,))
        orders = workflow_messages.AgentOrders(
            1, 2, 100.2, ids.WorkerId("w1"), BORN_MS, acknowledged=1
        )
        self.state.handle_orders(orders, 100.25)
        self.assertEqual(1, self.state.get_end_to_acknowledge(100.25))
        self.assertEqual(0, self.state.get_end_to_acknowledge(100.5))
        self._list(100.3)
        self.assertEqual(0, self.state.get_end_to_acknowledge(100.3))


class RestartingWorkerClient:
    """A worker that restarts while it answers a call."""

    def __init__(self, state: agent_state.AgentState) -> None:
        self._state = state
        self.starts = 0
        self.stops = 0

    async def start(self, *_):
        self.starts += 1

    async def stop(self, *_):
        self.stops += 1
        if self.stops == 1:
            world.follow_worker(self._state, test_agent_state.make_worker(born_ms=9), 1, 100.0)
        return True


class AgentDaemonTest(test_agent_daemon.AgentTestCase):
    def setUp(self):
        super().setUp()
        self.state = self.agent._state
        world.follow_worker(self.state, test_agent_state.make_worker(), 1, 0.0)
        self.client = self.agent._worker = RestartingWorkerClient(self.state)

    def test_a_stop_that_an_earlier_incarnation_accepted_is_repeated(self):
        self._set_constant("RETRY_DELAY_SECONDS", 0.0)
        self.state.record_start_sent(RUN, 0.0)
        curio.run(self.agent._block(ids.WorkerId("w1"), RUN))
        self.assertEqual(2, self.client.stops)

    def test_a_start_for_an_earlier_incarnation_is_not_sent(self):
        orders = test_agent_state.make_orders(1, 0.0, starts=(test_agent_state.START,))
        world.follow_worker(self.state, test_agent_state.make_worker(born_ms=9), 1, 100.0)
        curio.run(self.agent._start(orders, test_agent_state.START))
        self.assertEqual(0, self.client.starts)


class OwnerTest(unittest.TestCase):
    """A task is not placed again before its agent knows what became of the start."""

    def setUp(self):
        self.world = world.World(2)
        self.world.run(1.0)
        self.world.submit("j", model.Stage(1))
        self.owner = self.world.owner
        self.world.run(0.5)
        (self.task,) = self.owner.job_registry.get("j").get_stage(0, 0).tasks
        self.agent = self.world.agents[self.task.agent]

    def _report_restart(self, **fields) -> None:
        """Report a restart of the worker under its id, before any list of it."""
        known = self.agent.state.current_worker
        restarted = world.FakeWorker(known.worker, known.born_ms + 1).state
        sent_at = self.world.now + 0.01
        report = workflow_messages.AgentReport(
            ids.DataCentre("bilbao"), sent_at, 0, 1_000, restarted, True, False, **fields
        )
        self.owner.handle_report(self.agent.process, report, self.world.now, self.world.now)

    def _plan(self) -> job_registry.TaskPhase:
        self.owner.tick(self.world.now, self.world.now)
        return self.task.phase, self.task.run

    def test_a_task_whose_start_may_have_reached_the_new_incarnation_stays_assigned(self):
        run = (self.task.name, self.task.run)
        self._report_restart(running=(), starting=(run,))
        self.assertEqual((job_registry.TaskPhase.ASSIGNED, run[1]), self._plan())

    def test_a_task_that_ended_with_the_earlier_incarnation_is_placed_again_at_once(self):
        earlier_run = self.task.run
        self._report_restart(running=(), starting=())
        phase, run = self._plan()
        self.assertEqual(job_registry.TaskPhase.ASSIGNED, phase)
        self.assertGreater(run, earlier_run)

    def test_a_start_of_an_earlier_process_of_the_agent_is_stopped_first(self):
        # The agent restarted, too, so it does not know of the start.
        run = (self.task.name, self.task.run)
        self.owner.handle_agent_start(self.agent.process, "a:2")
        self._report_restart(running=(), starting=())
        self.assertEqual((job_registry.TaskPhase.ASSIGNED, run[1]), self._plan())
        orders = dict(self.owner.make_orders(self.world.now))
        self.assertEqual((run,), orders[self.agent.process].stops)


if __name__ == "__main__":
    unittest.main()
