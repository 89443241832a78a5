"""Tests of an agent's lease renewals, orders and run lists."""

import unittest

import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import worker
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import agent_state
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from tests.workflows import world

RUN = ("j.0.0.0", 7)
START = workflow_messages.StartOrder(*RUN, "spec")


def make_worker(name: str = "w1", born_ms: int = 5) -> workflow_messages.WorkerState:
    return workflow_messages.WorkerState(
        ids.WorkerId(name), born_ms, "s", "z", messages.Resources(8_000, 100, 0), ()
    )


def make_orders(epoch: int, echo: float, **fields) -> workflow_messages.AgentOrders:
    """Return orders for the worker of ``make_worker()``."""
    return workflow_messages.AgentOrders(epoch, 1, echo, ids.WorkerId("w1"), 5, **fields)


class AgentStateTest(unittest.TestCase):
    def setUp(self):
        self.state = agent_state.AgentState(6.0, 100.0)
        world.follow_worker(self.state, make_worker(), 1, 100.0)

    def _list(self, at: float, *running, ended=()) -> None:
        runs = tuple(workflow_messages.RunningTask(*run) for run in running)
        self.state.handle_list(worker.RunList(1_000, runs, ended), self.state.epoch, at, at)

    def _report(self, at: float) -> workflow_messages.AgentReport:
        return self.state.make_report(ids.DataCentre("z"), at)

    def test_a_lease_never_extends_beyond_the_last_grant(self):
        self.state.handle_orders(make_orders(1, 100.0), 100.0)
        self._list(100.0)
        for seconds in (0.0, 2.0, 5.0):
            self.state.record_response(0, 100.0 + seconds)
            end = self.state.get_lease_end_ms(100.0 + seconds)
            self.assertLessEqual(end, 1_000 + leases.LEASE_SECONDS * 1_000)
        self.state.record_response(0, 100.0 + leases.LEASE_SECONDS)
        self.assertIsNone(self.state.get_lease_end_ms(100.0 + leases.LEASE_SECONDS))

    def test_orders_of_an_epoch_that_no_owner_can_have_are_not_followed(self):
        # Guards against a worker that starts nothing until it restarts: its agent took an epoch
        # from one odd message, and refused the owner's orders as those of an earlier one.
        self.state.handle_orders(make_orders(3, 100.0), 100.0)
        self.assertIsNone(self.state.handle_orders(make_orders(2**53, 100.1), 100.1))
        self.assertEqual(3, self.state.epoch)
        self.assertIsNotNone(self.state.handle_orders(make_orders(4, 100.2), 100.2))
        # An agent that has just started learns a high epoch from the owner's row.
        self.state.record_row_epoch(2**30)
        self.assertIsNotNone(self.state.handle_orders(make_orders(2**30 + 1, 100.3), 100.3))

    def test_a_list_without_a_clock_leaves_the_lease_as_it_was(self):
        # Guards against a lease that ends early with all the worker's runs, as its end was computed
        # from a clock of 0.
        self.state.handle_orders(make_orders(1, 100.0), 100.0)
        self._list(100.0)
        before = self.state.get_lease_end_ms(100.0)
        self.state.handle_list(worker.RunList(0, (), ()), 1, 100.1, 100.1)
        self.assertAlmostEqual(before, self.state.get_lease_end_ms(100.1), delta=10)

    def test_orders_based_on_an_old_report_are_rejected(self):
        # A partition can delay an order by seconds; another owner may have moved the task by then.
        late = 100.0 + leases.ORDER_VALID_SECONDS + 0.1
        self.assertIsNone(self.state.handle_orders(make_orders(1, 100.0, starts=(START,)), late))

    def test_orders_of_an_earlier_owner_are_rejected(self):
        self.state.handle_orders(make_orders(2, 100.0), 100.0)
        self.assertIsNone(self.state.handle_orders(make_orders(1, 100.0), 100.0))

    def test_orders_for_another_incarnation_of_the_worker_are_rejected(self):
        world.follow_worker(self.state, make_worker(born_ms=9), 1, 100.0)
        self.assertIsNone(self.state.handle_orders(make_orders(1, 100.0), 100.0))

    def test_a_start_planned_before_the_capacity_shrank_is_rejected(self):
        # Guards against LIMIT: an order may arrive 2 s after the shrink, and an agent that was
        # restarted does not know whether the capacity has shrunk.
        order = msgspec.structs.replace(START, planned_on=100.4)
        smaller = msgspec.structs.replace(make_worker(), capacity=messages.Resources(8_000, 50, 0))
        self.assertIsNone(self.state.find_rejection(order, 100.4, 100.5))
        world.follow_worker(self.state, smaller, 2, 100.5)
        self.assertIs(
            model.RejectReason.NO_CAPACITY, self.state.find_rejection(order, 100.4, 100.6)
        )
        world.follow_worker(self.state, make_worker(), 3, 100.7)
        later = msgspec.structs.replace(START, planned_on=100.5)
        self.assertIsNone(self.state.find_rejection(later, 100.5, 100.8))
        restarted = agent_state.AgentState(6.0, 100.6)
        self.assertIs(model.RejectReason.NO_CAPACITY, restarted.find_rejection(later, 100.5, 100.7))

    def test_a_start_after_a_failed_poll_waits_for_a_list(self):
        self.state.record_poll_failure(100.2)
        self.assertIs(
            model.RejectReason.NO_RESPONSE, self.state.find_rejection(START, 100.1, 100.3)
        )
        self._list(100.1)
        self.assertIsNotNone(self.state.find_rejection(START, 100.1, 100.3))
        self._list(100.4)
        self.assertIsNone(self.state.find_rejection(START, 100.1, 100.5))

    def test_a_repeated_order_is_executed_once(self):
        first = self.state.handle_orders(make_orders(1, 100.0, starts=(START,)), 100.0)
        second = self.state.handle_orders(make_orders(1, 100.0, starts=(START,)), 100.0)
        self.assertEqual((1, 0), (len(first.starts), len(second.starts)))

    def test_a_stopped_start_counts_as_rejected_only_after_a_later_list(self):
        self.state.handle_orders(make_orders(1, 100.0, starts=(START,)), 100.0)
        self.state.record_start_sent(RUN, 100.0)
        self.state.record_stop_result(RUN, True, 100.5)
        self._list(100.4)
        self.assertEqual((), self._report(100.6).rejected)
        self.assertIn(RUN, self._report(100.6).starting)
        self._list(100.7)
        reason = self._report(100.8).rejected[0].reason
        self.assertEqual(model.RejectReason.NO_RESPONSE.value, reason)

    def test_a_stopped_start_that_was_executed_is_listed_until_it_ends(self):
        self.state.record_start_sent(RUN, 100.4)
        self.state.record_stop_result(RUN, True, 100.5)
        self._list(100.7, RUN)
        report = self._report(100.8)
        self.assertEqual(((), 1), (report.rejected, len(report.running)))

    def test_an_accepted_stop_is_repeated_on_order_whether_or_not_lists_come(self):
        # Guards against a run that goes on for 5 s or longer: an accepted stop counted as done
        # until a later list, although the run was still listed or no list came.
        orders = make_orders(1, 100.0, stops=(RUN,))
        self.assertEqual((RUN,), self.state.handle_orders(orders, 100.0).stops)
        self.state.record_stop_result(RUN, True, 100.0)
        for seconds, expected in ((0.5, ()), (agent_state.STOP_REPEAT_SECONDS, (RUN,))):
            accepted = self.state.handle_orders(orders, 100.0 + seconds)
            self.assertEqual(expected, accepted.stops)

    def test_a_stop_in_progress_ends_with_the_run(self):
        # Guards against stops that are sent for ever to a worker on which the run has ended.
        orders = make_orders(1, 100.0, stops=(RUN,))
        self.state.handle_orders(orders, 100.0)
        self.assertTrue(self.state.is_stopping(RUN))
        self._list(100.5, ended=(workflow_messages.EndedRun(1, *RUN, "done"),))
        self.assertFalse(self.state.is_stopping(RUN))

    def test_a_started_run_stays_listed_until_a_list_from_after_its_start(self):
        self.state.record_start_sent(RUN, 100.4)
        self.state.record_start_result(RUN, None, 100.5)
        self._list(100.4)
        self.assertEqual(1, len(self._report(100.6).running))
        self._list(100.6)
        self.assertEqual(0, len(self._report(100.7).running))

    def test_a_run_that_was_listed_as_ended_is_not_reported_as_started(self):
        # Guards against a task that the owner takes for assigned again after its run has ended.
        self.state.record_start_sent(RUN, 100.0)
        self._list(100.4, ended=(workflow_messages.EndedRun(1, *RUN, "failed"),))
        self.state.record_start_result(RUN, None, 100.5)
        self.assertEqual((), self._report(100.6).running)

    def test_an_older_list_that_arrives_late_is_ignored(self):
        self._list(100.6)
        self._list(100.2, RUN)
        self.assertEqual((), self._report(100.7).running)

    def test_a_delayed_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        world.follow_worker(self.state, make_worker("w2", 9), 1, 101.0)
        self.assertFalse(self.state.handle_heartbeat(make_worker(), 50, 101.1))
        world.answer_probes(self.state, make_worker("w2", 9), 101.1)
        self.assertEqual("w2", self.state.current_worker.worker)

    def test_an_unanswered_start_does_not_outlive_the_lease(self):
        # Guards against LOST: the tasks of a worker that disappeared for good during a start stayed
        # assigned to it.
        self.state.handle_orders(make_orders(1, 101.0, starts=(START,)), 101.0)
        self._list(101.0)
        self.state.get_lease_end_ms(101.0)
        self.state.record_start_sent(RUN, 101.0)
        report = self._report(101.0 + leases.LEASE_EXPIRY_SECONDS + 0.1)
        self.assertTrue(report.lapsed)
        self.assertEqual(((), ()), (report.starting, report.running))

    def test_a_deregistered_worker_has_ended_once_it_stops_responding(self):
        self.state.handle_orders(make_orders(1, 101.0), 101.0)
        self._list(101.0, RUN)
        self.state.handle_deregistration("w1", 101.0)
        self._list(101.5, RUN)
        self.assertFalse(self._report(101.0 + agent_state.DEREGISTRATION_TIMEOUT_SECONDS).left)
        report = self._report(101.6 + agent_state.DEREGISTRATION_TIMEOUT_SECONDS)
        self.assertEqual((True, True, ()), (report.left, report.lapsed, report.running))
        world.follow_worker(self.state, make_worker(born_ms=9), 1, 103.0)
        self.assertFalse(self._report(103.0).left)

    def test_a_restarted_agent_does_not_report_expired_leases_early(self):
        # The first heartbeat cut short the wait for the leases that the previous agent process had
        # renewed, and tasks ran twice.
        self.assertFalse(self._report(100.0 + leases.LEASE_SECONDS).lapsed)
        self.assertTrue(self._report(100.1 + leases.LEASE_EXPIRY_SECONDS).lapsed)

    def test_the_row_of_an_owner_without_orders_yet_grants_no_lease(self):
        # The owner does not know the runs of a restarted agent and starts their tasks on other
        # workers, so a renewed lease would let them run twice.
        self.state.record_grant(3, 101.0)
        self._list(101.0)
        self.assertIsNone(self.state.get_lease_end_ms(101.0))

    def test_an_unresponsive_worker_counts_as_expired_only_after_its_lease(self):
        self.state.handle_orders(make_orders(1, 101.0), 101.0)
        self._list(101.0)
        self.state.get_lease_end_ms(101.0)
        self.assertFalse(self._report(101.0 + leases.LEASE_SECONDS).lapsed)
        self.assertTrue(self._report(101.0 + leases.LEASE_EXPIRY_SECONDS + 0.1).lapsed)


if __name__ == "__main__":
    unittest.main()
