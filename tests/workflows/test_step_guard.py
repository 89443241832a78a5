"""Tests of what goes on after an unexpected error in one step."""

import contextlib
import functools
import unittest
from unittest import mock

import curio

from crocusrudder.core import clocks
from crocusrudder.core import ids
from crocusrudder.observability import metrics
from crocusrudder.wire import messages
from crocusrudder.workflows import errors
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import owner_service
from crocusrudder.workflows import ownership
from crocusrudder.workflows import reports
from crocusrudder.workflows import rows
from crocusrudder.workflows import step_guard
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import near_places
from crocusrudder.workflows.decisions import throttling
from tests.support import strict_steps
from tests.workflows import world

STAGE = model.Stage(1, messages.Resources(1_000, 100, 0), 1.0)


def fail(*_: object, **__: object) -> None:
    raise ValueError("unexpected")


class GuardTestCase(unittest.TestCase):
    def setUp(self):
        self.enterContext(strict_steps.allow_failures())


class StepGuardTest(GuardTestCase):
    def setUp(self):
        super().setUp()
        self.guard = step_guard.StepGuard()

    def _fail(self, now: float, step: str = "plan", is_essential: bool = False) -> object:
        return self.guard.run(step, now, fail, "default", is_essential=is_essential)

    def test_a_cause_has_one_line_a_minute(self):
        # Guards against a log that an error in each plan fills.
        for number in range(100):
            self.assertEqual("default", self._fail(100.0 + number))
        lines = self.guard.drain_log()
        self.assertEqual(2, len(lines))
        self.assertEqual([0, 59], [line.fields["omitted"] for line in lines])
        self.assertEqual("plan", lines[0].fields["step"])
        self.assertIn("test_step_guard.fail", lines[0].fields["calls"])

    def test_an_essential_step_that_keeps_failing_ends_the_process(self):
        # Guards against a process that owns the workers and does nothing for them.
        self._fail(100.0, is_essential=True)
        self.guard.run("plan", 110.0, lambda: 1, 0, is_essential=True)
        for number in range(16):
            self._fail(120.0 + 0.9 * number, is_essential=True)
        with self.assertRaises(errors.RepeatedFailureError):
            self._fail(135.1, is_essential=True)

    def test_a_step_that_is_not_essential_never_ends_the_process(self):
        for number in range(1_000):
            self._fail(100.0 + number)

    def test_the_end_of_the_process_is_not_caught_by_an_outer_step(self):
        action = mock.Mock(side_effect=errors.RepeatedFailureError("step"))
        with self.assertRaises(errors.RepeatedFailureError):
            self.guard.run("outer", 100.0, action, None)

    def test_the_causes_that_are_told_apart_are_bounded(self):
        for number in range(1_000):
            self._fail(100.0, f"step-{number}")
        self.assertLessEqual(len(self.guard._causes), step_guard.MAX_CAUSES)


class GuardedOwnerTest(GuardTestCase):
    """One job, worker or figure whose handling fails leaves the others as they are."""

    def setUp(self):
        super().setUp()
        self.system = world.World()
        self.system.run(1.0)

    def _fail_for(self, owner: type, name: str, agent: str):
        """Return a patch with which a method fails for one agent's view."""
        function = getattr(owner, name)

        @functools.wraps(function)
        def fail_for_one(instance, view, *args):
            return fail() if view.agent == agent else function(instance, view, *args)

        return mock.patch.object(owner, name, fail_for_one)

    def _list_failed_steps(self) -> set[str]:
        changes = self.system.owner.drain_log()
        return {c.fields["step"] for c in changes if c.name == step_guard.STEP_FAILED}

    def test_what_cannot_be_learned_from_a_run_does_not_keep_its_end_from_counting(self):
        with mock.patch.object(durations.DurationModel, "record_run", fail):
            self.system.submit("j1", STAGE)
            self.system.run(3.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j1"))
        self.assertEqual({"durations"}, self._list_failed_steps())

    def test_cpu_shares_that_cannot_be_chosen_stop_nothing_else(self):
        for name in ("adjust", "limit_started"):
            self.system = world.World()
            self.system.run(1.0)
            with mock.patch.object(throttling.ThrottleController, name, fail):
                self.system.submit(name, STAGE)
                self.system.run(3.0)
            self.assertIs(model.JobState.COMPLETED, self.system.get_state(name))
            self.assertEqual({"cpu_shares"}, self._list_failed_steps())

    def test_near_places_that_cannot_be_found_stop_no_plan(self):
        with mock.patch.object(near_places.NearPlanner, "begin_plan", fail):
            self.system.submit("j1", STAGE)
            self.system.run(3.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j1"))

    def test_an_agent_whose_reports_cannot_be_applied_counts_as_silent(self):
        # Guards against an error that ends the receiver of all messages, and against tasks that
        # wait for good on a worker of which the owner learns nothing.
        with self._fail_for(reports.ReportHandler, "handle", "a0"):
            for number in range(4):
                self.system.submit(f"j{number}", STAGE)
            self.system.run(leases.LEASE_EXPIRY_SECONDS + 6.0)
            for number in range(4):
                state = self.system.get_state(f"j{number}")
                self.assertIs(model.JobState.COMPLETED, state)
        self.assertTrue(self.system.owner.views["a0"].is_declared_lost)
        self.system.run(2.0)
        self.assertFalse(self.system.owner.views["a0"].is_declared_lost)

    def test_an_end_that_could_not_be_applied_counts_once_it_can_be(self):
        # Guards against LOST: an end that is acknowledged before it has been applied.
        self.system.submit("j1", STAGE)
        self.system.run(0.5)
        with mock.patch.object(reports.ReportHandler, "_mark_done", fail):
            self.system.run(2.0)
        self.system.run(2.0)
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j1"))
        self.assertEqual(1, self.system.count_starts("j1.0.0.0"))

    def test_orders_that_cannot_be_made_for_one_agent_reach_the_others(self):
        with self._fail_for(type(self.system.owner), "_make_orders", "a0"):
            for number in range(4):
                self.system.submit(f"j{number}", STAGE)
            self.system.run(3.0)
            started = len(self.system.agents["a1"].worker.started)
        self.assertEqual(2, started)
        self.system.run(4.0)
        for number in range(4):
            self.assertIs(model.JobState.COMPLETED, self.system.get_state(f"j{number}"))
            self.assertEqual(1, self.system.count_starts(f"j{number}.0.0.0"))

    def test_a_commit_that_cannot_be_made_loses_no_progress(self):
        # Guards against LOST: rows that were taken for a commit that failed count as stored.
        owner = self.system.owner
        self.system.is_store_available = False
        self.system.submit("j1", STAGE)
        self.system.run(3.0)
        with (
            mock.patch.object(type(owner), "_list_expired_jobs", fail),
            contextlib.suppress(ValueError),
        ):
            owner.make_commit(world.WALL_TIME_OFFSET)
        renewal = owner.make_renewal()
        self.assertEqual(((), {}), (renewal.writes, renewal.processed_ends))
        owner.record_commit(renewal, self.system.now)
        self.assertIsNot(model.JobState.COMPLETED, self.system.get_state("j1"))
        self.system.commit()
        self.assertIs(model.JobState.COMPLETED, self.system.get_state("j1"))


class FakeClient:
    """A store that keeps the rows of each commit."""

    def __init__(self) -> None:
        self.commits: list[tuple] = []

    async def commit(self, writes, _) -> int:
        self.commits.append(tuple(writes))
        return 5 + len(self.commits)


class GuardedServiceTest(GuardTestCase):
    def test_what_cannot_be_stored_does_not_end_the_ownership(self):
        # Guards against owners that end one after the other: the ownership is renewed by the
        # commit that also stores progress and the learned figures.
        row = rows.OwnerRow(model.OwnerEpoch(2), ids.ProcessId("e1"), "e1:1", 1)
        lease = ownership.OwnershipLease(row, 5, clocks.read_boot_time())
        registry = metrics.Metrics()
        client = FakeClient()
        service = owner_service.OwnerService(lease, client, None, registry, lambda: None)
        service._is_loaded = True
        service.owner.make_commit = mock.Mock(side_effect=ValueError("unexpected"))
        service.owner.export_estimates = mock.Mock(side_effect=ValueError("unexpected"))

        async def commit_twice() -> None:
            task = await curio.spawn(service._commit_forever)
            while len(client.commits) < 2:
                await curio.sleep(0.02)
            await task.cancel()

        curio.run(commit_twice)
        self.assertEqual({rows.OWNER_KEY}, {write.key for write in client.commits[1]})
        self.assertGreaterEqual(lease.version, 6)
        self.assertGreaterEqual(registry.counters["steps_failed"], 2)


if __name__ == "__main__":
    unittest.main()
