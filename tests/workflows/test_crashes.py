"""Tests of tasks that crash the workers that start them.

Guards against BUDGET, where a task crashes worker after worker, and against LOST, where a job fails
because of a neighbour or of a fault of machines.
"""

import random
import types
import unittest

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import crash_history
from crocusrudder.workflows import crashes
from crocusrudder.workflows import model
from crocusrudder.workflows import rows
from tests.workflows import world

ONE_CORE = messages.Resources(1_000, 100, 0)
HISTORIES = 25


def make_world(*deadly: str, agents: int = 6) -> world.World:
    """Return a deployment in which the given tasks or jobs crash their workers."""
    system = world.World(agents)
    system.run(1.0)
    for agent in system.agents.values():
        agent.worker.deadly = set(deadly)
    return system


def crash(system: world.World, *names: str, delay: float = 0.0) -> None:
    """Crash workers through no fault of their tasks, ``delay`` seconds after the last tick."""
    for name in names:
        system.agents[ids.ProcessId(name)].worker.crash(system.now + delay)


def submit_load(system: world.World, count: int, tasks: int = 3, prefix: str = "h") -> list[str]:
    """Submit harmless jobs; return their names."""
    names = [f"{prefix}{number}" for number in range(count)]
    for name in names:
        system.submit(name, model.Stage(tasks, ONE_CORE))
    return names


def break_gang(system: world.World, job: str) -> None:
    """End the members of a gang on other workers while a worker is down."""
    workers = [agent.worker for agent in system.agents.values()]
    if any(worker.crashed_at is not None for worker in workers):
        for worker in workers:
            for run in list(worker.running):
                if model.get_job(run[0]) == job:
                    worker.end(run, "broken")


class CrashTest(unittest.TestCase):
    def _assert_states(self, system, expected: model.JobState, *jobs: str) -> None:
        self.assertEqual(
            dict.fromkeys(jobs, expected), {job: system.get_state(job) for job in jobs}
        )

    def test_a_deadly_task_alone_is_started_twice_and_its_job_fails(self):
        system = make_world("d.0.0.0")
        system.submit("d", model.Stage(1, ONE_CORE))
        system.run(20.0)
        self._assert_states(system, model.JobState.FAILED, "d")
        self.assertEqual(2, system.count_starts("d.0.0.0"))

    def test_the_neighbours_of_a_deadly_task_complete(self):
        system = make_world("d.0.0.0")
        healthy = submit_load(system, 10)
        system.submit("d", model.Stage(1, ONE_CORE))
        system.run(30.0)
        self._assert_states(system, model.JobState.FAILED, "d")
        self._assert_states(system, model.JobState.COMPLETED, *healthy)
        self.assertLessEqual(system.count_starts("d.0.0.0"), 3)

    def test_a_new_owner_continues_the_count(self):
        for seconds in (0.2, 1.0, 3.0, 3.3, 4.0, 5.0):
            with self.subTest(seconds=seconds):
                system = make_world("d.0.0.0")
                healthy = submit_load(system, 6)
                system.submit("d", model.Stage(1, ONE_CORE))
                system.run(seconds)
                system.replace_owner(2)
                system.run(30.0)
                self._assert_states(system, model.JobState.FAILED, "d")
                self._assert_states(system, model.JobState.COMPLETED, *healthy)
                self.assertLessEqual(system.count_starts("d.0.0.0"), 3)

    def test_evidence_counts_although_its_first_reports_are_lost(self):
        system = make_world("d.0.0.0")
        system.submit("d", model.Stage(1, ONE_CORE))
        system.run(0.5)
        (agent,) = [a for a in system.agents.values() if a.worker.crashed_at is not None]
        agent.is_connected = False
        system.run(5.0)
        agent.is_connected = True
        system.run(25.0)
        self._assert_states(system, model.JobState.FAILED, "d")
        self.assertEqual(2, system.count_starts("d.0.0.0"))

    def test_faults_of_machines_fail_no_job(self):
        for seed in range(HISTORIES):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                system = make_world(agents=9)
                healthy = submit_load(system, 12, tasks=6)
                for number in range(3):
                    system.run(rng.uniform(0.1, 4.0))
                    healthy += submit_load(system, 4, tasks=6, prefix=f"h{number}-")
                    system.run(0.3)
                    names = rng.sample(list(system.agents), rng.randint(1, 3))
                    crash(system, *names, delay=rng.uniform(0.0, world.TICK))
                system.run(40.0)
                self._assert_states(system, model.JobState.COMPLETED, *healthy)

    def test_a_machine_that_crashes_again_and_again_fails_no_job(self):
        system = make_world()
        system.submit("j", model.Stage(1, ONE_CORE))
        system.run(0.1)
        for _ in range(4):
            crash(system, "a0", delay=0.05)
            system.run(world.RESTART_SECONDS + 0.2)
        system.run(5.0)
        self._assert_states(system, model.JobState.COMPLETED, "j")

    def test_two_deadly_jobs_on_one_worker_both_fail(self):
        system = make_world("d.0.0.0", "e.0.0.0")
        healthy = submit_load(system, 6)
        system.submit("d", model.Stage(1, ONE_CORE))
        system.submit("e", model.Stage(1, ONE_CORE))
        system.run(40.0)
        self._assert_states(system, model.JobState.FAILED, "d", "e")
        self._assert_states(system, model.JobState.COMPLETED, *healthy)
        for task in ("d.0.0.0", "e.0.0.0"):
            self.assertLessEqual(system.count_starts(task), 3)

    def test_a_job_of_deadly_tasks_fails(self):
        system = make_world("d")
        system.submit("d", model.Stage(24, ONE_CORE))
        system.run(30.0)
        self._assert_states(system, model.JobState.FAILED, "d")
        for index in range(24):
            self.assertLessEqual(system.count_starts(f"d.0.0.{index}"), 3)

    def test_a_gang_with_a_deadly_member_fails(self):
        system = make_world("g.0.0.1")
        healthy = submit_load(system, 6)
        system.submit("g", model.Stage(3, messages.Resources(5_000, 100, 0), gang=True))
        for _ in range(400):
            system.step()
            break_gang(system, "g")
        self._assert_states(system, model.JobState.FAILED, "g")
        self._assert_states(system, model.JobState.COMPLETED, *healthy)
        self.assertLessEqual(system.count_starts("g.0.0.1"), 3)

    def test_a_deadly_task_that_lasts_fails_beside_healthy_ones(self):
        system = make_world("d.0.0.0")
        for agent in system.agents.values():
            agent.worker.duration = 1_000.0
        for name in ("d", "s"):
            system.submit(name, model.Stage(3, ONE_CORE, long_running=True))
        system.run(30.0)
        self._assert_states(system, model.JobState.FAILED, "d")
        self._assert_states(system, model.JobState.RUNNING, "s")
        running = [run for a in system.agents.values() for run, _ in a.worker.running]
        self.assertEqual(["s.0.0.0", "s.0.0.1", "s.0.0.2"], sorted(running))

    def test_a_worker_that_was_cut_off_and_reborn_charges_nobody(self):
        system = make_world()
        (agent,) = list(system.agents.values())[:1]
        system.submit("j", model.Stage(30, ONE_CORE))
        system.run(0.3)
        agent.worker.is_responsive = False
        system.run(2.0)
        agent.worker.crash(system.now)
        system.run(4.0)
        record = system.owner.job_registry.get(ids.JobId("j"))
        self.assertEqual({}, record.progress.crashes)

    def test_no_other_run_starts_on_the_worker_of_a_trial(self):
        system = make_world()
        system.submit("j", model.Stage(1, ONE_CORE))
        system.step()
        (first,) = [a for a in system.agents.values() if a.worker.started]
        first.worker.crash(system.now)
        for number in range(30):
            submit_load(system, 2, tasks=3, prefix=f"h{number}-")
            system.run(0.2)
        starts = [a.worker.started for a in system.agents.values()]
        (trial,) = [found for found in starts if any(task == "j.0.0.0" for _, task, _ in found)]
        (tried_at,) = [at for at, task, _ in trial if task == "j.0.0.0"]
        others = [at - tried_at for at, task, _ in trial if task != "j.0.0.0"]
        self.assertFalse([seconds for seconds in others if -0.3 < seconds < 1.0])
        self.assertTrue([seconds for seconds in others if seconds >= 1.0])

    def test_a_run_that_stays_alive_clears_its_task(self):
        system = make_world()
        for agent in system.agents.values():
            agent.worker.duration = 4.0
        system.submit("j", model.Stage(4, ONE_CORE))
        system.run(0.3)
        crash(system, "a0", "a1")
        system.run(3.4)
        record = system.owner.job_registry.get(ids.JobId("j"))
        self.assertTrue(any(crash_history.is_suspect(task) for task in record.iterate_tasks()))
        system.run(15.0)
        self.assertFalse(any(crash_history.is_suspect(task) for task in record.iterate_tasks()))
        self._assert_states(system, model.JobState.COMPLETED, "j")

    def test_a_new_suspect_right_after_its_start_is_charged_beside_repeated_ones(self):
        # Guards against a deadly task that is never charged, and starts again and again, because
        # suspects of earlier crashes are on its worker each time (soak seed 2504).
        system = make_world()
        names = ("repeated", "prompt", "older")
        for name in names:
            system.submit(name, model.Stage(1, ONE_CORE))
        registry = system.owner.job_registry
        tasks = [registry.find_task(f"{name}.0.0.0") for name in names]
        crash_history.record_crash(tasks[0], 1, ids.WorkerId("w0"))
        ages = (0.5, 0.01, 0.5)
        suspects = [
            (task, workflow_messages.SuspectRun(task.name, 2, age))
            for task, age in zip(tasks, ages, strict=True)
        ]
        charged = [task for task, _ in crashes.select_charged(suspects)]
        self.assertEqual(tasks[:2], charged)

    def test_a_crash_that_is_reported_again_charges_no_further_task(self):
        # Guards against healthy jobs that fail at once for several old crashes, when the tasks to
        # which these were charged have been cleared (soak seed 2503).
        system = make_world()
        system.submit("d", model.Stage(1, ONE_CORE))
        system.submit("h", model.Stage(1, ONE_CORE))
        registry = system.owner.job_registry
        suspect, healthy = (registry.find_task(f"{job}.0.0.0") for job in "dh")
        crash_history.record_crash(suspect, 1, ids.WorkerId("w0"))
        starts = [workflow_messages.SuspectRun(task.name, 2, 0.5) for task in (suspect, healthy)]
        report = types.SimpleNamespace(
            crashes=[workflow_messages.WorkerCrash(ids.WorkerId("w1"), 1, tuple(starts))]
        )
        view = types.SimpleNamespace(agent=ids.ProcessId("a1"))
        register = crashes.CrashRegister(model.OwnerEpoch(1), registry)
        register.handle(view, report, 0.0)
        self.assertEqual((1, 2), crash_history.get_crashes(suspect).runs)
        crash_history.record_survival(suspect, 3)
        register.handle(view, report, 0.0)
        self.assertEqual((), crash_history.get_crashes(healthy).runs)

    def test_progress_of_an_older_version_can_be_decoded(self):
        old = msgspec.msgpack.encode(["queued", {}, {}, 0.0])
        progress = rows.decode_progress(old)
        self.assertEqual({}, progress.crashes)


class HistoryTest(unittest.TestCase):
    """Random crashes, deadly jobs and changes of the owner."""

    def test_deadly_tasks_stop_in_time_and_no_healthy_job_fails(self):
        for seed in range(HISTORIES):
            with self.subTest(seed=seed):
                self._play(random.Random(seed))

    def test_no_healthy_job_fails_on_three_workers_that_keep_crashing(self):
        # Guards against suspects of one crash that start together again, and are charged with the
        # next crash together (soak seed 2502). The seeds are those of 0 to 119 that failed.
        for seed in (9, 44, 48, 53, 66, 115):
            with self.subTest(seed=seed):
                self._play_on_three_workers(random.Random(seed))

    def _play_on_three_workers(self, rng: random.Random) -> None:
        deadly = {f"d{number}" for number in range(rng.randint(1, 3))}
        system = make_world(*deadly, agents=3)
        healthy = []
        jobs = sorted(deadly)
        for number in range(22):
            healthy += submit_load(system, 1, prefix=f"h{number}-")
            if jobs and rng.random() < 0.2:
                system.submit(jobs.pop(), model.Stage(3, ONE_CORE))
            if rng.random() < 0.3:
                name = rng.choice(list(system.agents))
                crash(system, name, delay=rng.uniform(0.0, world.TICK))
            system.run(0.7)
        for name in jobs:
            system.submit(name, model.Stage(3, ONE_CORE))
        system.run(60.0)
        for name in healthy:
            self.assertIs(model.JobState.COMPLETED, system.get_state(name), name)
        for name in deadly:
            self.assertIs(model.JobState.FAILED, system.get_state(name), name)
            for index in range(3):
                self.assertLessEqual(system.count_starts(f"{name}.0.0.{index}"), 5, name)

    def _play(self, rng: random.Random) -> None:
        deadly = {f"d{number}.0.0.{rng.randrange(3)}" for number in range(rng.randint(1, 3))}
        system = make_world(*deadly, agents=9)
        healthy = []
        jobs = sorted(task.partition(".")[0] for task in deadly)
        epoch = 1
        for number in range(30):
            healthy += submit_load(system, rng.randint(0, 3), prefix=f"h{number}-")
            if jobs and rng.random() < 0.3:
                system.submit(jobs.pop(), model.Stage(3, ONE_CORE))
            if rng.random() < 0.07:
                delay = rng.uniform(0.0, world.TICK)
                crash(system, rng.choice(list(system.agents)), delay=delay)
            if rng.random() < 0.07:
                epoch += 1
                system.replace_owner(epoch)
            system.run(0.7)
        for name in jobs:
            system.submit(name, model.Stage(3, ONE_CORE))
        system.run(40.0)
        for name in healthy:
            self.assertIs(model.JobState.COMPLETED, system.get_state(name), name)
        for task in deadly:
            self.assertIs(model.JobState.FAILED, system.get_state(task.partition(".")[0]), task)
            self.assertLessEqual(system.count_starts(task), 5, task)


if __name__ == "__main__":
    unittest.main()
