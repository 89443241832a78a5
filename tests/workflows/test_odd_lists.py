"""Tests of worker lists with entries that no owner has caused, such as those of another writer."""

import unittest

import msgspec

from crocusrudder.platform import worker
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import list_checks
from crocusrudder.workflows import model
from tests.workflows import world

ONE_CORE = messages.Resources(1_000, 100, 0)
MAX_WAIT_SECONDS = 3.0
"""The users' bound: while capacity is free, no accepted job has nothing running for longer."""
MISSPELT_NUMBERS = ("00", "²", "٠", "0" * 5_000, "-0", " 0", "")
"""Other spellings of 0, of which ``int`` accepts some and refuses others."""


def add_entries(
    agent: world.FakeAgent,
    running: tuple[workflow_messages.RunningTask, ...] = (),
    ended: tuple[workflow_messages.EndedRun, ...] = (),
) -> None:
    """Add entries to all lists of an agent's worker; an end stays until it is acknowledged."""
    extend_lease = agent.worker.extend_lease

    def list_more(now: float, acknowledged: int, lease: float):
        listed = extend_lease(now, acknowledged, lease)
        odd_ends = tuple(entry for entry in ended if entry.number > acknowledged)
        readable = worker.select_consecutive((*odd_ends, *listed.ended), acknowledged)
        return msgspec.structs.replace(listed, running=(*running, *listed.running), ended=readable)

    agent.worker.extend_lease = list_more


class OddListTest(unittest.TestCase):
    def setUp(self):
        self.system = world.World(2)
        self.system.run(1.0)
        self.agents = list(self.system.agents.values())
        for agent in self.agents:
            agent.worker.duration = 30.0

    def test_a_misspelt_task_name_does_not_hide_the_runs_listed_after_it(self):
        # Guards against TWICE and LOST: an error in one entry ended the handling of each report of
        # the worker, so that its other runs were never adopted, confirmed or released.
        for number in MISSPELT_NUMBERS:
            with self.subTest(number=number[:5]):
                self.setUp()
                self.system.submit("j", model.Stage(1, ONE_CORE))
                self.system.run(1.0)
                odd = workflow_messages.RunningTask(f"j.0.0.{number}", 1)
                for agent in self.agents:
                    add_entries(agent, running=(odd,))
                self.system.replace_owner(2)
                self.system.run(8.0)
                self.assertTrue(self.system.owner.job_registry.find_task("j.0.0.0").is_running)
                self.assertEqual(1, self.system.count_starts("j.0.0.0"))

    def test_a_misspelt_task_name_is_no_run_of_the_task(self):
        # Guards against LOST: the task counted as running, and was never started.
        for number in MISSPELT_NUMBERS:
            with self.subTest(number=number[:5]):
                self.setUp()
                odd = workflow_messages.RunningTask(f"j.0.0.{number}", 1)
                add_entries(self.agents[0], running=(odd,))
                self.system.submit("j", model.Stage(1, ONE_CORE))
                self.system.run(MAX_WAIT_SECONDS)
                self.assertEqual(1, self.system.count_starts("j.0.0.0"))

    def test_an_end_with_a_number_far_ahead_does_not_discard_the_later_ends(self):
        # Guards against jobs that run again and again: after one end with a late number, all others
        # of the worker counted as known, and were acknowledged without having been read.
        for number in (1_000_000, 2**62):
            with self.subTest(number=number):
                self.setUp()
                odd = workflow_messages.EndedRun(number, "x.0.0.0", 1, "done")
                for agent in self.agents:
                    agent.worker.duration = 0.5
                self.system.submit("first", model.Stage(8, ONE_CORE))
                self.system.run(1.5)
                for agent in self.agents:
                    add_entries(agent, ended=(odd,))
                self.system.run(1.0)
                self.system.submit("later", model.Stage(8, ONE_CORE))
                self.system.run(2.0)
                self.assertIs(model.JobState.COMPLETED, self.system.get_state("later"))
                self.assertEqual(1, self.system.count_starts("later.0.0.0"))

    def test_an_end_with_a_number_little_ahead_does_not_discard_the_later_ends(self):
        # Guards against jobs that run again and again: the end of a run that no owner has numbered
        # was acknowledged, and with it the next ends of the worker, which nobody had read.
        for task in ("x.0.0.0", "j.0.0.0"):
            with self.subTest(task=task):
                self.setUp()
                odd = workflow_messages.EndedRun(40, task, 1, "done")
                for agent in self.agents:
                    agent.worker.duration = 0.5
                    add_entries(agent, ended=(odd,))
                self.system.run(1.0)
                self.system.submit("j", model.Stage(4, ONE_CORE))
                self.system.run(2.0)
                self.assertIs(model.JobState.COMPLETED, self.system.get_state("j"))
                self.assertEqual(1, self.system.count_starts("j.0.0.0"))

    def test_an_end_with_a_number_far_ahead_is_left_out_by_a_new_owner(self):
        odd = workflow_messages.EndedRun(2**62, "x.0.0.0", 1, "done")
        for agent in self.agents:
            agent.worker.duration = 0.5
            add_entries(agent, ended=(odd,))
        self.system.replace_owner(2)
        self.system.run(1.0)
        self.system.submit("later", model.Stage(8, ONE_CORE))
        self.system.run(2.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("later"))

    def test_an_end_that_an_owner_may_have_numbered_does_not_discard_the_later_ends(self):
        # Guards against jobs that run again and again: the end of another writer has a run number
        # of the present epoch and a number ahead of the worker's, which is acknowledged.
        odd = workflow_messages.EndedRun(40, "x.0.0.0", 10_000_005, "done")
        for agent in self.agents:
            agent.worker.duration = 1.0
            add_entries(agent, ended=(odd,))
        self.system.run(1.0)
        self.system.submit("j", model.Stage(4, ONE_CORE))
        self.system.run(5.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j"))
        self.assertEqual(1, self.system.count_starts("j.0.0.0"))

    def test_an_end_with_the_number_of_a_run_of_another_task_does_not_discard_the_later_ends(self):
        # Guards against an end that is taken for a worker's own since its run number is one that
        # the owner has ordered there.
        for agent in self.agents:
            agent.worker.duration = 0.5
        self.system.submit("first", model.Stage(4, ONE_CORE))
        self.system.run(0.3)
        for agent in self.agents:
            run = agent.worker.started[0][2]
            for task in ("x.0.0.0", "later.0.0.0"):
                add_entries(agent, ended=(workflow_messages.EndedRun(40, task, run, "done"),))
        self.system.run(1.0)
        self.system.submit("later", model.Stage(4, ONE_CORE))
        self.system.run(3.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("later"))
        self.assertEqual(1, self.system.count_starts("later.0.0.0"))

    def test_an_end_of_an_earlier_owner_does_not_discard_the_later_ends(self):
        # Guards against the same after a change of the owner: each has knowledge of its own.
        odd = workflow_messages.EndedRun(40, "x.0.0.0", 10_000_005, "done")
        for agent in self.agents:
            agent.worker.duration = 0.5
        self.system.submit("first", model.Stage(4, ONE_CORE))
        self.system.run(0.3)
        self.system.replace_owner(2)
        for agent in self.agents:
            add_entries(agent, ended=(odd,))
        self.system.run(2.0)
        self.system.submit("later", model.Stage(4, ONE_CORE), version=300)
        self.system.run(3.0)
        for job in ("first", "later"):
            self.assertIs(model.JobState.COMPLETED, self.system.get_state(job))
            self.assertEqual(1, self.system.count_starts(f"{job}.0.0.0"))

    def test_a_start_that_is_never_answered_does_not_hold_its_task_beside_an_odd_entry(self):
        # Guards against LOST without a bound: a list with an entry that can never be read may hide
        # the run, the start is not answered and the worker refuses the stop.
        for agent in self.agents:
            agent.worker.duration = 2.0
            agent.worker.has_junk = True
            agent._call_start = lambda *_: None
            agent.worker.stop = lambda *_: False
        self.system.submit("j", model.Stage(1, ONE_CORE))
        self.system.run(1.0)
        for agent in self.agents:
            if not self.system.owner.views[agent.process].assignments:
                del agent._call_start, agent.worker.stop
        self.system.run(30.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j"))

    def test_runs_of_an_unknown_task_on_all_workers_keep_no_job_waiting(self):
        # Guards against LOST: a worker with a run of an unknown task got no starts, for as long as
        # it listed the run, whether or not it accepted the stop.
        run = job_registry.RUNS_PER_EPOCH + 1
        odd = workflow_messages.RunningTask("x.0.0.0", run)
        for accepts in (True, False):
            with self.subTest(accepts=accepts):
                self.setUp()
                for agent in self.agents:
                    add_entries(agent, running=(odd,))
                    agent.worker.stop = lambda *_, accepts=accepts: accepts
                self.system.submit("j", model.Stage(1, ONE_CORE))
                self.system.run(MAX_WAIT_SECONDS)
                self.assertEqual(1, self.system.count_starts("j.0.0.0"))
                logged = [change.name for change in self.system.owner.drain_log()]
                self.assertEqual(len(self.agents), logged.count(list_checks.UNKNOWN_RUN_IGNORED))

    def test_a_run_of_an_unknown_task_that_is_being_stopped_keeps_its_worker_from_starts(self):
        # Guards against LIMIT: what such a run takes is not known.
        self.system.submit("j", model.Stage(1, ONE_CORE))
        self.system.run(1.0)
        (agent,) = (agent for agent in self.agents if agent.worker.running)
        agent.worker.stop_seconds = 1.5
        other = next(other for other in self.agents if other is not agent)
        other.is_connected = False
        self.system.take_over(2, 100)
        self.system.run(1.0)
        self.system.submit("later", model.Stage(1, ONE_CORE))
        while any(task == "j.0.0.0" for task, _ in agent.worker.running):
            self.assertEqual(0, self.system.count_starts("later.0.0.0"))
            self.system.step()
        self.system.run(1.0)
        self.assertEqual(1, self.system.count_starts("later.0.0.0"))

    def test_a_run_that_no_owner_can_have_numbered_is_no_run_of_its_task(self):
        # Guards against LOST: the task counted as running, and was never started.
        for run in (0, 1, 4 * job_registry.RUNS_PER_EPOCH, 2**62):
            with self.subTest(run=run):
                self.setUp()
                odd = workflow_messages.RunningTask("j.0.0.0", run)
                add_entries(self.agents[0], running=(odd,))
                self.system.submit("j", model.Stage(1, ONE_CORE))
                self.system.run(MAX_WAIT_SECONDS)
                self.assertEqual(1, self.system.count_starts("j.0.0.0"))

    def test_many_runs_that_no_owner_can_have_numbered_give_few_lines(self):
        # Guards against an owner that loses its lease while it writes a line for each entry.
        runs = tuple(workflow_messages.RunningTask(f"x{i}.0.0.0", 1) for i in range(1_000))
        add_entries(self.agents[0], running=runs)
        self.system.owner.drain_log()
        self.system.run(1.0)
        lines = [line.name for line in self.system.owner.drain_log()]
        self.assertEqual(list_checks.MAX_LOGGED_ENTRIES, lines.count(list_checks.RUN_LEFT_OUT))

    def test_the_end_of_a_run_that_no_owner_can_have_numbered_completes_no_task(self):
        # Guards against MIXED: the task counted as done without having run.
        for run in (1, 2**62):
            with self.subTest(run=run):
                self.setUp()
                self.system.submit("j", model.Stage(2, ONE_CORE))
                self.system.run(0.5)
                odd = workflow_messages.EndedRun(1, "j.0.0.0", run, "done")
                add_entries(self.agents[0], ended=(odd,))
                self.system.run(1.0)
                task = self.system.owner.job_registry.find_task("j.0.0.0")
                self.assertIs(job_registry.TaskPhase.ASSIGNED, task.phase)


if __name__ == "__main__":
    unittest.main()
