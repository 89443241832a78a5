"""Tests of workers that are set aside as faulty."""

import unittest

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


if __name__ == "__main__":
    unittest.main()
