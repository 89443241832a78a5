"""Tests of workers that are set aside as faulty."""

import unittest

import msgspec

from crocusrudder.wire import messages
from crocusrudder.workflows import model
from tests.workflows import world

ONE_CORE = messages.Resources(1_000, 100, 0)


class SetAsideTest(unittest.TestCase):
    def _fail_jobs(self, system: world.World) -> None:
        """Let several jobs fail on all workers by their own fault."""
        system.run(0.5)
        for agent in system.agents.values():
            agent.worker.end_kind = "failed"
            agent.worker.duration = 0.2
        for number in range(12):
            system.submit(f"hopeless{number}", model.Stage(4, ONE_CORE))
        system.run(1.5)
        for agent in system.agents.values():
            agent.worker.end_kind = "done"

    def test_a_burst_of_hopeless_jobs_does_not_set_all_workers_aside(self):
        # Guards against LOST: each worker failed tasks of two jobs, and none took another task for
        # up to 12 s.
        system = world.World(agents=4)
        self._fail_jobs(system)
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(1.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))

    def _set_aside_only_worker_with_label(self, system: world.World) -> world.FakeWorker:
        system.run(0.5)
        worker = system.agents["a0"].worker
        worker.state = msgspec.structs.replace(worker.state, labels=("b", "r1"))
        system.run(0.1)
        system.owner.views["a0"].set_aside_until = system.now + 12.0
        return worker

    def test_a_set_aside_worker_is_the_last_choice_of_a_job_that_runs_nowhere(self):
        # Guards against LOST: the only worker with the label of a job was set aside for 12 s.
        system = world.World(agents=4)
        worker = self._set_aside_only_worker_with_label(system)
        system.submit("j1", model.Stage(1, ONE_CORE, required_label="b"))
        system.submit("j2", model.Stage(1, ONE_CORE))
        system.run(1.0)
        self.assertEqual([], worker.started)
        system.run(2.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))
        self.assertEqual(["j1.0.0.0"], [task for _, task, _ in worker.started])

    def test_a_gang_that_runs_nowhere_may_use_a_set_aside_worker(self):
        system = world.World(agents=4)
        self._set_aside_only_worker_with_label(system)
        system.submit("j1", model.Stage(4, ONE_CORE, gang=True, max_per_worker=1))
        system.run(3.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))


if __name__ == "__main__":
    unittest.main()
