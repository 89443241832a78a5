"""Tests of runs whose entries in their worker's list cannot be read."""

import unittest

from crocusrudder.wire import messages
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from tests.workflows import world

ONE_CORE = messages.Resources(1_000, 100, 0)
TASK = "j1.0.0.0"


class UnreadableEntryTest(unittest.TestCase):
    def _start_task(self, duration: float, agents: int = 2) -> tuple[world.World, world.FakeWorker]:
        """Return a deployment that runs ``TASK``, and its worker."""
        system = world.World(agents=agents)
        system.run(1.0)
        for agent in system.agents.values():
            agent.worker.duration = duration
            agent.worker.stop_seconds = 0.9
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(1.0)
        (worker,) = (a.worker for a in system.agents.values() if a.worker.running)
        return system, worker

    def _run(self, system: world.World, seconds: float) -> None:
        """Simulate some seconds and check that the task never runs on two workers."""
        for _ in range(round(seconds / world.TICK)):
            system.step()
            runs = [run for a in system.agents.values() for run in a.worker.running]
            self.assertLessEqual(sum(task == TASK for task, _ in runs), 1)

    def test_a_run_goes_on_while_its_entry_cannot_be_read_for_some_time(self):
        # Guards against work that is lost: the run counted as absent and was stopped.
        system, worker = self._start_task(6.0)
        worker.unreadable.add(TASK)
        self._run(system, 3.0)
        worker.unreadable.clear()
        self._run(system, 5.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))
        self.assertEqual(1, system.count_starts(TASK))

    def test_a_run_whose_entry_stays_unreadable_is_not_run_twice_nor_lost(self):
        # Guards against TWICE: the task was started elsewhere while the worker was still stopping
        # it. Guards against LOST: the run must not be waited for without a bound.
        system, worker = self._start_task(60.0)
        worker.unreadable.add(TASK)
        for agent in system.agents.values():
            agent.worker.duration = 4.0
        self._run(system, leases.INCOMPLETE_LIST_SECONDS + leases.STOP_TIMEOUT_SECONDS + 6.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))
        self.assertEqual(2, system.count_starts(TASK))

    def test_a_run_whose_entry_is_unreadable_and_whose_stop_is_refused_is_not_run_twice(self):
        # Guards against TWICE: the run counted as one whose start can no longer begin.
        system, worker = self._start_task(60.0)
        worker.unreadable.add(TASK)
        worker.stop = lambda *_: False
        self._run(system, leases.START_EXPIRY_SECONDS + 10.0)
        self.assertEqual(1, system.count_starts(TASK))

    def test_a_new_owner_does_not_start_a_run_that_an_incomplete_list_hides(self):
        # Guards against TWICE after a change of the owner.
        system, worker = self._start_task(8.0)
        worker.unreadable.add(TASK)
        self._run(system, 0.5)
        system.replace_owner(2)
        self._run(system, 4.0)
        worker.unreadable.clear()
        self._run(system, 5.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))
        self.assertEqual(1, system.count_starts(TASK))

    def test_a_restarted_agent_with_an_incomplete_list_does_not_free_its_runs(self):
        # Guards against TWICE: an agent that has just started knows no earlier list.
        system, worker = self._start_task(8.0)
        worker.unreadable.add(TASK)
        agent = next(a for a in system.agents.values() if a.worker is worker)
        restarted = world.FakeAgent(agent.process, system.now)
        restarted.worker = worker
        system.agents[agent.process] = restarted
        system.owner.handle_agent_start(agent.process, f"{agent.process}:1")
        self._run(system, 4.0)
        worker.unreadable.clear()
        self._run(system, 6.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))
        self.assertEqual(1, system.count_starts(TASK))

    def test_an_entry_that_can_never_be_read_does_not_block_the_worker(self):
        # Guards against LOST: starts, ends, stops and a change of the owner still have an effect.
        system = world.World(agents=1)
        system.agents["a0"].worker.has_junk = True
        system.run(leases.INCOMPLETE_LIST_SECONDS + 1.0)
        system.submit("j1", model.Stage(2, ONE_CORE))
        system.run(4.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))
        system.replace_owner(2)
        system.submit("j2", model.Stage(1, ONE_CORE), version=300)
        system.run(leases.INCOMPLETE_LIST_SECONDS + 4.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j2"))

    def test_a_reason_of_a_newer_agent_does_not_keep_its_report_from_being_applied(self):
        # Guards against LOST while releases are mixed: each report with such a reason raised
        # ValueError, so that no end on the worker was noticed any more.
        system, worker = self._start_task(60.0)
        agent = next(a for a in system.agents.values() if a.worker is worker)
        ((task, run),) = worker.running
        worker.running.clear()
        for other in system.agents.values():
            other.worker.duration = 1.0
        agent.state._rejected[task, run] = ("newer", system.now)
        system.run(4.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))


if __name__ == "__main__":
    unittest.main()
