"""A job that fits starts within 3 s on a mostly empty fleet, whatever holds on a few workers."""

import math
import unittest

import msgspec

from crocusrudder.core import ids
from crocusrudder.placement import filters
from crocusrudder.wire import messages
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import owner
from crocusrudder.workflows import rows
from tests.workflows import world

MAX_WAIT_SECONDS = 3.0
"""The users' bound: while capacity is free, no accepted job has nothing running for longer."""
WORKERS = 8
ONE_CORE = messages.Resources(1_000, 100, 0)
TWO_CORES = messages.Resources(2_000, 100, 0)
SERVING = model.Stage(
    WORKERS, ONE_CORE, long_running=True, max_per_worker=1, image="hold", latency_target_ms=50.0
)
FILLING = model.Stage(1, TWO_CORES, image="fill", best_effort=True)


class FreeFleetTest(unittest.TestCase):
    def setUp(self):
        self.system = world.World(WORKERS)
        self.system.run(1.0)
        self.workers = [agent.worker for agent in self.system.agents.values()]

    def _serve(self, latency_ms: float = -1.0) -> None:
        """Start a latency-critical task on each worker; -1 for a latency that is not reported."""
        for worker in self.workers:
            worker.duration = 600.0
            worker.extend_lease = self._make_extend_lease(worker, latency_ms)
        self.system.submit("serving", SERVING)
        self.system.run(2.0)
        self.assertTrue(all(worker.running for worker in self.workers))
        for worker in self.workers:
            worker.duration = 30.0

    @staticmethod
    def _make_extend_lease(worker: world.FakeWorker, latency_ms: float):
        extend_lease = worker.extend_lease

        def report_latency(*args):
            listed = extend_lease(*args)
            running = (msgspec.structs.replace(row, measure=latency_ms) for row in listed.running)
            return msgspec.structs.replace(listed, running=tuple(running))

        return report_latency

    def _check_start(self, *stages: model.Stage) -> None:
        """Submit a job; fail with the reasons unless it starts in time."""
        self.system.submit("waiting", *stages)
        self._check_wait()

    def _check_wait(self) -> None:
        self.system.run(MAX_WAIT_SECONDS)
        stage = self.system.owner.job_registry.get(ids.JobId("waiting")).get_stage(0, 0)
        reason = self.system.owner._planner._explain(stage, self.system.now)
        self.assertTrue(self.system.count_starts("waiting.0.0.0"), reason)

    def test_while_jobs_that_cannot_succeed_fail_on_all_workers(self):
        for worker in self.workers:
            worker.duration = 0.5
            worker.end_kind = "failed"
        for number in range(3 * WORKERS):
            self.system.submit(f"hopeless{number}", model.Stage(4, ONE_CORE))
        self.system.run(2.0)
        self._check_start(model.Stage(1, ONE_CORE))

    def test_while_a_worker_rejects_all_starts(self):
        # Guards against a task that goes to the same worker again and again: of equal workers, the
        # first is preferred.
        for reason in model.RejectReason:
            with self.subTest(reason=reason):
                self.workers[0].start = lambda *_, reason=reason: reason
                self.system.submit(reason.name, model.Stage(1, ONE_CORE))
                self.system.run(MAX_WAIT_SECONDS)
                self.assertTrue(self.system.count_starts(f"{reason.name}.0.0.0"))

    def test_while_orders_do_not_reach_one_agent_that_reports(self):
        # Guards against tasks that are ordered from an agent which a partition in one direction
        # cuts off, for as long as that lasts.
        self.system.agents[ids.ProcessId("a0")].is_receiving = False
        self.system.run(5.0)
        self._check_start(model.Stage(1, ONE_CORE))

    def test_after_orders_have_ceased_to_reach_the_agent_that_it_is_assigned_to(self):
        # Guards against a task that is held by an agent which reports but gets no orders. The order
        # may have arrived, so the task has to wait for the lease as for a silent agent.
        self.system.agents[ids.ProcessId("a0")].is_receiving = False
        self.system.submit("waiting", model.Stage(1, ONE_CORE))
        self.system.run(owner.LOST_AFTER_SECONDS + leases.LEASE_EXPIRY_SECONDS)
        self._check_wait()

    def test_while_tests_of_the_image_do_not_end_for_want_of_a_latency(self):
        self._serve()
        self.system.submit("testing", msgspec.structs.replace(FILLING, task_count=2))
        self.system.run(5.0)
        self._check_start(FILLING)

    def test_while_the_agents_that_test_the_image_are_silent(self):
        self._serve()
        self.system.submit("testing", msgspec.structs.replace(FILLING, task_count=2))
        self.system.run(1.0)
        for agent in self.system.agents.values():
            agent.is_connected = not any("testing" in task for task, _ in agent.worker.running)
        self._check_start(FILLING)

    def test_while_tasks_too_small_to_count_as_tests_run(self):
        self._serve(latency_ms=10.0)
        small = msgspec.structs.replace(FILLING, demand=ONE_CORE)
        self.system.submit("testing", msgspec.structs.replace(small, task_count=2))
        self.system.run(10.0)
        self._check_start(small)

    def test_while_each_worker_tests_another_image(self):
        self._serve()
        for number in range(WORKERS // 2):
            image = msgspec.structs.replace(FILLING, task_count=2, image=f"other{number}")
            self.system.submit(f"testing{number}", image)
        self.system.run(5.0)
        self._check_start(FILLING)

    def test_of_an_image_that_interferes_with_all_workers(self):
        self._serve(latency_ms=10.0)
        self.system.replace_owner(2)
        pair = {filters.INTERCEPT: (math.log(10.0), 0.1, 50), "fill": (8.0, 0.1, 50)}
        self.system.owner.restore_estimates(rows.InterferenceEstimates({"hold": pair}))
        self.system.run(8.0)
        self._check_start(FILLING)

    def test_of_a_gang_of_an_image_that_is_not_tested(self):
        self._serve(latency_ms=10.0)
        self._check_start(msgspec.structs.replace(FILLING, task_count=3, gang=True))

    def test_while_the_only_assigned_task_of_the_job_is_on_a_silent_agent(self):
        # Guards against a job whose assigned task runs nowhere, but keeps the others from a place
        # as a last resort until the lease has expired.
        self._serve()
        for number in range(WORKERS // 2):
            image = msgspec.structs.replace(FILLING, task_count=2, image=f"other{number}")
            self.system.submit(f"testing{number}", image)
        self.system.run(5.0)
        self.system.submit("waiting", msgspec.structs.replace(FILLING, task_count=9))
        while not self._list_running():
            self.system.step()
        (agent,) = self._list_running()
        agent.is_connected = False
        agent.worker.lease_until = 0.0
        self.system.run(MAX_WAIT_SECONDS)
        self.assertTrue(self._list_running())

    def _list_running(self) -> list[world.FakeAgent]:
        """Return the agents on whose workers the waiting job runs."""
        return [
            agent
            for agent in self.system.agents.values()
            if any(task.startswith("waiting") for task, _ in agent.worker.running)
        ]

    def test_after_a_planned_takeover_while_an_idle_agent_is_silent(self):
        self.system.agents[ids.ProcessId("a0")].is_connected = False
        self.system.run(30.0)
        self.system.submit("waiting", model.Stage(1, ONE_CORE))
        self.system.replace_owner(2)
        self._check_wait()


if __name__ == "__main__":
    unittest.main()
