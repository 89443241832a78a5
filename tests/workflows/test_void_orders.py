"""Tests of start orders that arrive late or never, while the agent's reports arrive.

Guards against LOST, where a task waits for the end of a partition from the owner to the agent, and
against TWICE, where its order arrives after the task has been placed elsewhere.
"""

import random
import unittest

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import fleet
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from tests.workflows import world

ONE_CORE = messages.Resources(1_000, 100, 0)
MAX_WAIT_SECONDS = 3.5
"""An order is sent for 0.6 s and valid for 2 s; reports follow after at most 0.5 s."""
DELAYS = (0.0, 0.0, 0.3, 1.0, 1.9, 2.5, 4.0, float("inf"))
HISTORIES = 60


class DelayingAgent(world.FakeAgent):
    """An agent to which orders take as long as ``draw_delay`` says."""

    def __init__(self, name: str, now: float) -> None:
        super().__init__(name, now)
        self.draw_delay = lambda: 0.0
        self.in_flight: list[tuple[float, workflow_messages.AgentOrders]] = []

    def handle_orders(self, orders: workflow_messages.AgentOrders, now: float) -> None:
        self.in_flight.append((now + self.draw_delay(), orders))
        self.deliver(now)

    def deliver(self, now: float) -> None:
        due = [orders for at, orders in self.in_flight if at <= now]
        self.in_flight = [item for item in self.in_flight if item[0] > now]
        for orders in due:
            super().handle_orders(orders, now)


class DelayingWorld(world.World):
    def __init__(self, agents: int) -> None:
        super().__init__(0)
        self.agents = {
            agent.process: agent
            for agent in (DelayingAgent(f"a{number}", self.now) for number in range(agents))
        }
        self.run(1.0)

    def step(self) -> None:
        for agent in self.agents.values():
            agent.deliver(self.now)
        super().step()

    def list_running(self) -> list[str]:
        """Return the tasks that run, once for each run."""
        return [task for agent in self.agents.values() for task, _ in agent.worker.running]


class UnansweredAgent(DelayingAgent):
    """An agent whose calls to start and to stop runs reach the worker but get no usable answer."""

    def __init__(self, name: str, now: float) -> None:
        super().__init__(name, now)
        self.is_unanswered = False
        self.is_stop_refused = False
        self.start_delay = float("inf")
        """Time after which the worker carries out a start without an answer."""
        self.late_starts: list[tuple[float, tuple]] = []

    def deliver(self, now: float) -> None:
        for item in [item for item in self.late_starts if item[0] <= now]:
            self.late_starts.remove(item)
            order, epoch, lease = item[1]
            # The worker refuses a start that names a lease in the past.
            if lease > now:
                self.worker.start(now, order, epoch, lease)
        super().deliver(now)

    def _call_start(self, order, epoch: int, lease: float, now: float) -> None:
        if not self.is_unanswered:
            super()._call_start(order, epoch, lease, now)
        else:
            self.late_starts.append((now + self.start_delay, (order, epoch, lease)))
            run = (order.task, order.run)
            if self.is_stop_refused:
                self.state.record_stop_result(run, False, now)
            else:
                self.state.record_stop_failure(run)

    def handle_orders(self, orders: workflow_messages.AgentOrders, now: float) -> None:
        if not self.is_unanswered:
            super().handle_orders(orders, now)
            return
        accepted = self.state.handle_orders(orders, now)
        for order in accepted.starts if accepted else ():
            self._start(order, orders, now)
        for run in accepted.stops if accepted else ():
            if self.is_stop_refused:
                self.state.record_stop_result(run, False, now)
            else:
                self.state.record_stop_failure(run)


class UnansweredStartTest(unittest.TestCase):
    """Guards against LOST: a task was held for good by a run that could not begin any more."""

    def setUp(self):
        self.system = DelayingWorld(0)
        self.system.agents = {
            agent.process: agent
            for agent in (UnansweredAgent(f"a{number}", self.system.now) for number in range(4))
        }
        self.system.run(1.0)
        for agent in self.system.agents.values():
            agent.worker.duration = 60.0
        self.agent = self.system.agents[ids.ProcessId("a0")]
        self.agent.is_unanswered = True

    def test_a_task_whose_start_and_stop_are_not_answered_is_placed_elsewhere(self):
        for is_stop_refused in (False, True):
            with self.subTest(is_stop_refused=is_stop_refused):
                self.setUp()
                self.agent.is_stop_refused = is_stop_refused
                self.system.submit("j", model.Stage(1, ONE_CORE))
                self.system.run(leases.START_EXPIRY_SECONDS + 3.0)
                self.assertEqual(["j.0.0.0"], self.system.list_running())
                self.assertFalse(self.agent.worker.started)

    def test_a_gang_of_which_one_start_is_not_answered_is_placed_again(self):
        self.system.submit("j", model.Stage(3, ONE_CORE, gang=True, max_per_worker=1))
        self.system.run(leases.START_EXPIRY_SECONDS + 4.0)
        self.assertEqual([f"j.0.0.{i}" for i in range(3)], sorted(self.system.list_running()))

    def test_a_start_that_is_carried_out_late_makes_no_second_run(self):
        # Guards against TWICE: the task is placed elsewhere only when the start cannot begin.
        for tenths in range(0, 140, 7):
            with self.subTest(delay=tenths / 10):
                self.setUp()
                self.agent.is_stop_refused = bool(tenths % 2)
                self.agent.start_delay = tenths / 10
                self.system.submit("j", model.Stage(1, ONE_CORE))
                for _ in range(160):
                    self.system.step()
                    self.assertLessEqual(len(self.system.list_running()), 1)
                self.assertEqual(["j.0.0.0"], self.system.list_running())


class VoidOrderTest(unittest.TestCase):
    def setUp(self):
        self.system = DelayingWorld(4)
        self.agent = self.system.agents[ids.ProcessId("a0")]
        self.agent.draw_delay = lambda: float("inf")

    def _list_assignments(self) -> list[fleet.Assignment]:
        return list(self.system.owner.views[self.agent.process].assignments.values())

    def test_a_task_whose_order_is_lost_is_placed_elsewhere(self):
        self.system.submit("j", model.Stage(1, ONE_CORE))
        self.system.run(MAX_WAIT_SECONDS)
        self.assertEqual(["j.0.0.0"], self.system.list_running())
        self.assertFalse(self.agent.worker.started)

    def test_a_gang_of_which_one_order_is_lost_is_placed_again(self):
        for agent in self.system.agents.values():
            agent.worker.duration = 30.0
        self.system.submit("g", model.Stage(3, messages.Resources(8_000, 100, 0), gang=True))
        self.system.run(2 * MAX_WAIT_SECONDS)
        self.assertEqual(3, len(self.system.list_running()))
        self.assertEqual(
            1, len({run for a in self.system.agents.values() for _, run in a.worker.running})
        )

    def test_an_order_that_arrives_after_the_release_is_refused(self):
        self.system.submit("j", model.Stage(1, ONE_CORE))
        self.system.run(0.2)
        for _ in range(round(MAX_WAIT_SECONDS / world.TICK)):
            if self._list_assignments():
                self.system.step()
        late = [orders for _, orders in self.agent.in_flight]
        self.assertTrue(any(orders.starts for orders in late))
        for orders in late:
            world.FakeAgent.handle_orders(self.agent, orders, self.system.now)
        self.system.run(1.0)
        self.assertFalse(self.agent.worker.started)
        self.assertEqual(1, self.system.count_starts("j.0.0.0"))

    def test_an_order_that_was_received_is_not_released(self):
        # The worker may carry out the start late, so its stop has to be answered first.
        self.agent.draw_delay = lambda: 0.0
        self.agent.worker.start = lambda *_: None
        self.system.submit("j", model.Stage(1, ONE_CORE))
        self.system.step()
        self.agent.draw_delay = lambda: float("inf")
        self.system.run(2 * MAX_WAIT_SECONDS)
        (assignment,) = self._list_assignments()
        self.assertIs(fleet.AssignmentPhase.STOPPING, assignment.phase)

    def test_an_order_to_an_earlier_process_of_the_agent_is_not_released(self):
        # Guards against a start that the earlier process sent to the worker before it ended.
        self.system.submit("j", model.Stage(1, ONE_CORE))
        self.system.run(0.2)
        self.system.owner.handle_agent_start(self.agent.process, "a0:2")
        self.system.run(MAX_WAIT_SECONDS)
        (assignment,) = self._list_assignments()
        self.assertIs(fleet.AssignmentPhase.ORDERED, assignment.phase)

    def test_a_start_is_not_repeated_for_longer_than_its_task_may_wait(self):
        self.system.submit("j", model.Stage(1, ONE_CORE))
        first = self.system.now
        self.system.run(MAX_WAIT_SECONDS)
        sent = [orders.echo for _, orders in self.agent.in_flight if orders.starts]
        self.assertGreater(len(sent), 1)
        self.assertLessEqual(max(sent) - first, leases.START_REPEAT_SECONDS + world.TICK)


class DelayedOrdersTest(unittest.TestCase):
    def test_no_task_runs_twice_at_once_whatever_the_delay_of_orders(self):
        for seed in range(HISTORIES):
            with self.subTest(seed=seed):
                self._play(random.Random(seed))

    def _play(self, rng: random.Random) -> None:
        system = DelayingWorld(4)
        for agent in system.agents.values():
            agent.worker.duration = 6.0
            agent.draw_delay = lambda: rng.choice(DELAYS)
        names = [f"j{number}" for number in range(6)]
        for name in names:
            system.submit(name, model.Stage(2, ONE_CORE))
            for _ in range(10):
                system.step()
                self._check_single(system)
        for agent in system.agents.values():
            agent.draw_delay = lambda: 0.0
        for _ in range(250):
            system.step()
            self._check_single(system)
        for name in names:
            self.assertIs(model.JobState.COMPLETED, system.get_state(name), name)

    def _check_single(self, system: DelayingWorld) -> None:
        running = system.list_running()
        self.assertEqual(len(set(running)), len(running))


if __name__ == "__main__":
    unittest.main()
