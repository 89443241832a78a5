"""Tests of workers with more ends than one list names."""

import collections
import unittest

from crocusrudder.platform import worker
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import reports
from tests.workflows import world

TASKS = 1_500
SMALL = messages.Resources(10, 1, 0)
JOB = "j1"


class ManyEndsTest(unittest.TestCase):
    def setUp(self):
        self.system = world.World(agents=2)
        for agent in self.system.agents.values():
            agent.worker.set_capacity(64_000, 250_000, 0)
            agent.worker.duration = 1.5
        self.system.run(1.0)
        self.system.submit(JOB, model.Stage(TASKS, SMALL))
        while self._count_started() < TASKS:
            self.system.step()

    def _count_started(self) -> int:
        return sum(len(agent.worker.started) for agent in self.system.agents.values())

    def _end_all_runs(self) -> None:
        """Let all runs end while no owner hears of it; each worker holds more than one list."""
        for agent in self.system.agents.values():
            agent.is_connected = False
        self.system.run(1.7)
        for agent in self.system.agents.values():
            self.assertGreater(len(agent.worker.ended), worker.MAX_LISTED_ENDS)
            agent.is_connected = True

    def _check_no_second_run(self) -> None:
        self.assertIs(model.JobState.COMPLETED, self.system.get_state(JOB))
        starts = collections.Counter(
            task for agent in self.system.agents.values() for _, task, _ in agent.worker.started
        )
        self.assertEqual({}, {task: count for task, count in starts.items() if count > 1})

    def test_a_new_owner_does_not_start_tasks_whose_ends_are_not_listed_yet(self):
        # Guards against TWICE (review/6): the tasks whose ends were not among the first 500 of a
        # worker were started again.
        self._end_all_runs()
        self.system.replace_owner(2)
        self.system.run(4.0)
        self._check_no_second_run()

    def test_ends_that_are_stored_late_are_awaited_without_a_time_limit(self):
        # Guards against TWICE behind a slow store: an incomplete list counted as complete after
        # some seconds, while the ends in it were not acknowledged yet.
        for replace in (False, True):
            with self.subTest(replace=replace):
                self.setUp()
                self.system.is_store_available = False
                self._end_all_runs()
                if replace:
                    self.system.is_store_available = True
                    self.system.replace_owner(2)
                    self.system.step()
                    self.system.is_store_available = False
                self.system.run(15.0)
                self.system.is_store_available = True
                self.system.run(4.0)
                self._check_no_second_run()

    def test_a_restarted_agent_does_not_free_runs_whose_ends_are_not_listed_yet(self):
        # Guards against TWICE: an agent that has just started knows no earlier list.
        self._end_all_runs()
        for process, agent in list(self.system.agents.items()):
            restarted = world.FakeAgent(agent.process, self.system.now)
            restarted.worker = agent.worker
            self.system.agents[process] = restarted
            self.system.owner.handle_agent_start(process, f"{process}:1")
        self.system.run(5.0)
        self._check_no_second_run()

    def test_a_stopped_run_whose_end_is_not_listed_yet_is_not_rejected(self):
        # Guards against TWICE: the stop of a run that has ended is accepted, and the list that
        # follows it names neither the run nor its end.
        (agent, *_) = self.system.agents.values()
        self._end_all_runs()
        hidden = agent.worker.ended[-1]
        run = (hidden.task, hidden.run)
        agent.state.record_stop_result(run, agent.worker.stop(0.0, run, 1), self.system.now)
        self.system.is_store_available = False
        self.system.run(3.0)
        self.system.is_store_available = True
        self.system.run(4.0)
        self._check_no_second_run()

    def test_20_000_ends_are_all_applied_by_a_new_owner(self):
        more = 20_000
        self.system.submit("j2", model.Stage(more, messages.Resources(1, 0, 0)))
        while self._count_started() < TASKS + more:
            self.system.step()
        self._end_all_runs()
        self.system.replace_owner(2)
        self.system.run(6.0)
        self._check_no_second_run()
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j2"))

    def test_a_worker_with_more_ends_is_logged_once_and_when_it_has_listed_all(self):
        self._end_all_runs()
        self.system.replace_owner(2)
        self.system.run(4.0)
        names = [line.name for line in self.system.owner.drain_log()]
        self.assertEqual(2, names.count(reports.ENDS_OUTSTANDING))
        self.assertEqual(2, names.count(reports.ENDS_LISTED))

    def test_ends_that_no_owner_can_have_caused_do_not_keep_tasks_waiting_for_good(self):
        # Guards against LOST: such ends are never acknowledged, so the list stays full.
        self._end_all_runs()
        self.system.run(4.0)
        for agent in self.system.agents.values():
            agent.worker.last_end_number += worker.MAX_LISTED_ENDS
            first = agent.worker.last_end_number
            agent.worker.ended = [
                workflow_messages.EndedRun(first + number, "x.0.0.0", 1, "done")
                for number in range(worker.MAX_LISTED_ENDS)
            ]
        self.system.submit("old", model.Stage(1, SMALL))
        self.system.replace_owner(2)
        self.system.run(leases.INCOMPLETE_LIST_SECONDS + 3.0)
        self.assertEqual(1, self.system.count_starts("old.0.0.0"))


if __name__ == "__main__":
    unittest.main()
