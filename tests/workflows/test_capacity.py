"""Workers whose capacity changes while they run; they do not reject a start that exceeds it."""

import functools
import itertools
import random
import unittest

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import agent_state
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from tests.workflows import world

ONE_CORE = messages.Resources(1_000, 100, 0)
FULL = (8_000, 32_000, 4)
GRACE_SECONDS = 2.0 + 0.5
"""Time for which the earlier capacity counts after it has shrunk: the smallest ``contactMs`` of the
users' sites and one heartbeat."""


class StartChecker:
    """Record the starts that bring a worker over its capacity, or a task to a second worker."""

    def __init__(self, system: world.World) -> None:
        self.violations: list[str] = []
        self._system = system
        self._history: dict[world.FakeWorker, list[tuple[float, messages.Resources]]] = {}
        self._specs: dict[str, model.Stage] = {}
        for agent in system.agents.values():
            self.watch(agent.worker)

    def watch(self, worker: world.FakeWorker) -> None:
        """Check the starts on a worker from now on."""
        self._history[worker] = [(self._system.now, worker.state.capacity)]
        worker.start = functools.partial(self._check_start, worker, worker.start)
        worker.set_capacity = functools.partial(self._set, worker, worker.set_capacity)

    def _set(self, worker, set_capacity, *capacity: int) -> None:
        set_capacity(*capacity)
        self._history[worker].append((self._system.now, worker.state.capacity))

    def _check_start(self, worker, start, now, order, epoch, lease):
        rejected = start(now, order, epoch, lease)
        others = [a.worker for a in self._system.agents.values() if a.worker is not worker]
        if rejected is None and any(
            task == order.task for other in others for task, _ in other.running
        ):
            self.violations.append(f"{now:.1f} {order.task} runs on two workers")
        for task, _ in worker.running:
            found = self._system.owner.job_registry.find_task(task)
            if found is not None:
                self._specs[task] = found.stage.spec
        specs = [self._specs[task] for task, _ in worker.running]
        used = (
            sum(spec.demand.millicores for spec in specs if not spec.best_effort),
            sum(spec.demand.memory_mb for spec in specs),
            sum(spec.demand.accelerators for spec in specs),
        )
        if rejected is None and any(
            amount > limit for amount, limit in zip(used, self._get_limit(worker), strict=True)
        ):
            limit = self._get_limit(worker)
            self.violations.append(
                f"{now:.1f} {order.task} on {worker.state.worker}: {used} {limit}"
            )
        return rejected

    def _get_limit(self, worker: world.FakeWorker) -> tuple[int, int, int]:
        """Return the greatest capacity that counts now, by resource."""
        history = self._history[worker]
        ends = [at for at, _ in history[1:]] + [float("inf")]
        counting = [
            capacity
            for (_, capacity), end in zip(history, ends, strict=True)
            if end + GRACE_SECONDS >= self._system.now
        ]
        return (
            max(capacity.millicores for capacity in counting),
            max(capacity.memory_mb for capacity in counting),
            max(capacity.accelerators for capacity in counting),
        )


class CapacityTestCase(unittest.TestCase):
    """Base class: a world whose workers' starts are checked."""

    def _make_world(self, agents: int = 1, duration: float = 60.0) -> world.World:
        self.system = world.World(agents)
        for agent in self.system.agents.values():
            agent.worker.duration = duration
            agent.worker.set_capacity(*FULL)
        self.checker = StartChecker(self.system)
        self.system.run(1.0)
        return self.system

    def _set_all(self, *capacity: int) -> None:
        for agent in self.system.agents.values():
            agent.worker.set_capacity(*capacity)

    def _check(self) -> None:
        self.assertEqual([], self.checker.violations)


class CapacityTest(CapacityTestCase):
    def test_a_full_worker_that_shrinks_gets_no_starts_until_its_runs_fit(self):
        system = self._make_world(duration=3.0)
        system.submit("j1", model.Stage(20, ONE_CORE))
        system.run(1.0)
        self._set_all(4_000, 32_000, 4)
        system.run(20.0)
        self._check()
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))

    def test_each_resource_limits_starts_after_a_shrink(self):
        # Guards against memory or accelerators that are not updated with the processors.
        demand = messages.Resources(100, 8_000, 1)
        for capacity in ((8_000, 10_000, 4), (8_000, 32_000, 1)):
            for best_effort in (False, True):
                system = self._make_world()
                self._set_all(*capacity)
                system.run(0.2)
                system.submit("j1", model.Stage(4, demand, best_effort=best_effort, image="i"))
                system.run(4.0)
                with self.subTest(capacity=capacity, best_effort=best_effort):
                    self.assertEqual(1, len(system.agents["a0"].worker.started))

    def test_a_worker_without_capacity_gets_starts_once_it_has_grown(self):
        system = self._make_world()
        self._set_all(0, 0, 0)
        system.run(3.0)
        system.submit("j1", model.Stage(4, ONE_CORE))
        system.run(3.0)
        self.assertEqual([], system.agents["a0"].worker.started)
        self._set_all(2_000, 32_000, 4)
        system.run(1.0)
        self.assertEqual(2, len(system.agents["a0"].worker.started))
        self._check()

    def test_a_start_that_has_not_arrived_is_withdrawn_when_its_worker_shrinks(self):
        # Guards against LIMIT: the owner repeated the start, based on each newer report.
        system = self._make_world(agents=1)
        agent = system.agents["a0"]
        agent.is_receiving = False
        system.submit("j1", model.Stage(8, ONE_CORE))
        system.run(0.2)
        self._set_all(2_000, 32_000, 4)
        system.run(GRACE_SECONDS + 0.5)
        agent.is_receiving = True
        system.run(4.0)
        self._check()
        self.assertEqual(2, len(agent.worker.running))

    def test_a_best_effort_task_is_not_placed_on_a_worker_over_its_capacity(self):
        system = self._make_world()
        system.submit(
            "j1", model.Stage(8, ONE_CORE, image="a", latency_target_ms=100.0, long_running=True)
        )
        system.run(1.0)
        self._set_all(7_500, 32_000, 4)
        system.run(GRACE_SECONDS + 0.2)
        system.submit("j2", model.Stage(1, ONE_CORE, image="b", best_effort=True))
        system.run(3.0)
        self.assertEqual(0, system.count_starts("j2.0.0.0"))
        self._check()

    def test_runs_of_an_unknown_job_keep_their_worker_from_starts(self):
        # Guards against LIMIT: what such a run takes is not known, so nothing may be added to it
        # until it has ended.
        system = self._make_world()
        worker = system.agents["a0"].worker
        system.submit("j1", model.Stage(8, ONE_CORE))
        system.run(1.0)
        worker.stop_seconds = 0.9
        self.assertEqual(8, len(worker.running))
        system.replace_owner(2)
        system.owner.job_registry.remove(ids.JobId("j1"))
        system.submit("j2", model.Stage(8, ONE_CORE), version=10_000)
        system.run(4.0)
        self._check()
        self.assertEqual(1, system.count_starts("j2.0.0.0"))

    def test_a_new_owner_places_nothing_on_a_worker_that_shrank_during_the_takeover(self):
        system = self._make_world(agents=2)
        system.submit("j1", model.Stage(12, ONE_CORE))
        system.run(1.0)
        self._set_all(3_000, 32_000, 4)
        system.replace_owner(2)
        system.submit("j2", model.Stage(8, ONE_CORE), version=10_000)
        system.run(GRACE_SECONDS + 5.0)
        self._check()
        self.assertEqual(0, system.count_starts("j2.0.0.0"))

    def test_a_worker_that_shrank_while_its_agent_was_silent_gets_no_starts(self):
        system = self._make_world(agents=2)
        system.submit("j1", model.Stage(12, ONE_CORE))
        system.run(1.0)
        silent = system.agents["a0"]
        silent.is_connected = False
        silent.worker.set_capacity(2_000, 32_000, 4)
        system.run(4.0)
        silent.is_connected = True
        system.submit("j2", model.Stage(8, ONE_CORE))
        system.run(4.0)
        self._check()


class CapacityHistoryTest(CapacityTestCase):
    """Random histories of shrinks and growth with takeovers, cancellations and lost orders."""

    SEEDS = range(30)
    ACTIONS = 60

    def test_no_start_exceeds_a_capacity_in_a_random_history(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self._play(random.Random(seed))
                self._check()

    def _play(self, rng: random.Random) -> None:
        system = self._make_world(agents=3, duration=1.5)
        self._numbers = itertools.count()
        self._epochs = itertools.count(2)
        for agent in system.agents.values():
            agent.worker.stop_seconds = rng.choice((0.2, 0.9))
        actions = (self._shrink, self._shrink, self._submit, self._submit, self._cancel)
        actions += (self._toggle_link, self._lose_orders, self._take_over, self._move)
        actions += (self._restart_worker, self._restart_agent)
        for _ in range(self.ACTIONS):
            rng.choice(actions)(rng)
            system.run(rng.choice((0.1, 0.4, 1.5)))
        self._set_all(*FULL)
        for agent in system.agents.values():
            agent.is_connected = agent.is_receiving = True
        system.run(40.0)
        unfinished = [
            job
            for job, record in system.owner.job_registry.records.items()
            if record.visible_state not in model.FINAL_STATES
        ]
        self.assertEqual([], unfinished, "jobs that do not end once all workers are back")

    def _pick_agent(self, rng: random.Random) -> world.FakeAgent:
        return rng.choice(list(self.system.agents.values()))

    def _shrink(self, rng: random.Random) -> None:
        capacity = list(FULL)
        shrunk = rng.randrange(len(FULL))
        capacity[shrunk] = rng.choice((0, FULL[shrunk] // 4, FULL[shrunk]))
        self._pick_agent(rng).worker.set_capacity(*capacity)

    def _lose_orders(self, rng: random.Random) -> None:
        """Shrink some workers while the orders of an agent are lost."""
        agent = self._pick_agent(rng)
        agent.is_receiving = False
        self._submit(rng)
        for _ in range(rng.randint(1, 4)):
            self.system.run(rng.choice((0.3, 1.0)))
            self._shrink(rng)
        self.system.run(rng.choice((0.0, 2.0, 3.0)))
        agent.is_receiving = True

    def _submit(self, rng: random.Random) -> None:
        demand = messages.Resources(
            rng.choice((500, 1_000, 2_000)), rng.choice((100, 8_000)), rng.choice((0, 0, 1))
        )
        gang = rng.random() < 0.2
        count = rng.randint(2, 3) if gang else rng.randint(1, 24)
        best_effort = rng.random() < 0.3
        stage = model.Stage(
            count, demand, gang=gang, best_effort=best_effort, image=rng.choice("abc")
        )
        # A later owner takes the job for one that was stored before its takeover.
        version = self.system.owner.epoch * 100 + 1
        self.system.submit(f"j{next(self._numbers)}", stage, version=version)

    def _cancel(self, rng: random.Random) -> None:
        jobs = list(self.system.owner.job_registry.active)
        if jobs:
            wall_time = world.WALL_TIME_OFFSET + self.system.now
            self.system.owner.apply_cancellation(rng.choice(jobs), wall_time)

    def _toggle_link(self, rng: random.Random) -> None:
        self._pick_agent(rng).is_connected = rng.random() < 0.8

    def _restart_worker(self, rng: random.Random) -> None:
        """Replace a worker by an incarnation with the same id, which is heard of later."""
        agent = self._pick_agent(rng)
        old = agent.worker
        agent.worker = world.FakeWorker(old.state.worker, old.state.born_ms + 1)
        agent.worker.duration, agent.worker.stop_seconds = old.duration, old.stop_seconds
        agent.worker.heartbeats_from = self.system.now + rng.choice((0.0, 0.5))
        agent.worker.set_capacity(*FULL)
        self.checker.watch(agent.worker)
        agent.state.record_poll_failure(self.system.now)

    def _restart_agent(self, rng: random.Random) -> None:
        agent = self._pick_agent(rng)
        agent.state = agent_state.AgentState(6.0, self.system.now)
        self.system.owner.handle_agent_start(agent.process, f"{agent.process}:{self.system.now}")

    def _take_over(self, _: random.Random) -> None:
        self.system.replace_owner(next(self._epochs))

    def _move(self, rng: random.Random) -> None:
        views = [view for view in self.system.owner.views.values() if view.assignments]
        if not views:
            return
        view = rng.choice(views)
        run = next(iter(view.assignments.values()))
        if run.task is not None and run.task.phase is job_registry.TaskPhase.ASSIGNED:
            self.system.owner._report_handler.move_run(view, run)


if __name__ == "__main__":
    unittest.main()
