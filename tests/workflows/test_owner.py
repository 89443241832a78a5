"""Tests of the owner with simulated agents and workers."""

import collections
import types
import unittest
from unittest import mock

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import agent_state
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import owner
from crocusrudder.workflows.decisions import placement
from crocusrudder.workflows.decisions import waiting
from tests.workflows import world

ONE_CORE = messages.Resources(1_000, 100, 0)


class JobLifecycleTest(unittest.TestCase):
    """Jobs from acceptance to a final state."""

    def test_stages_run_in_order_and_the_job_completes(self):
        system = world.World()
        system.submit("j1", model.Stage(2, ONE_CORE), model.Stage(1, ONE_CORE, after=(0,)))
        system.run(1.0)
        self.assertEqual(0, system.count_starts("j1.0.1.0"))
        system.run(3.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))
        self.assertEqual(1, system.count_starts("j1.0.0.0"))
        self.assertEqual(1, system.count_starts("j1.0.1.0"))

    def test_a_job_is_not_reported_as_completed_before_this_is_stored(self):
        system = world.World()
        system.run(1.0)
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.is_store_available = False
        system.run(3.0)
        self.assertIs(model.JobState.RUNNING, system.get_state("j1"))
        system.is_store_available = True
        system.run(0.3)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))

    def test_no_worker_is_assigned_more_than_its_capacity(self):
        system = world.World(agents=1)
        system.submit("j1", model.Stage(20, ONE_CORE))
        for _ in range(60):
            system.step()
            self.assertLessEqual(len(system.agents["a0"].worker.running), 8)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))

    def test_a_job_fails_after_the_maximum_number_of_attempts(self):
        system = world.World()
        for agent in system.agents.values():
            agent.worker.end_kind = "failed"
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(5.0)
        self.assertIs(model.JobState.FAILED, system.get_state("j1"))
        self.assertEqual(2, system.count_starts("j1.0.0.0"))

    def test_the_runs_of_a_scheduled_job_start_when_they_are_due(self):
        # Guards against ORDER, and against an occurrence that waits for the end of another.
        system = world.World()
        system.run(1.0)
        due_at = system.now + 2.0
        job = model.Job(
            ids.JobId("j1"),
            world.QUEUE,
            "spec",
            (model.Stage(1, ONE_CORE),),
            world.WALL_TIME_OFFSET,
            occurrences=2,
            first_due_at=world.WALL_TIME_OFFSET + due_at,
            interval_seconds=0.5,
        )
        system.owner.add_job(job, 10)
        system.run(5.0)
        started = {
            task: at for agent in system.agents.values() for at, task, _ in agent.worker.started
        }
        self.assertEqual({"j1.0.0.0", "j1.1.0.0"}, set(started))
        for occurrence, name in enumerate(("j1.0.0.0", "j1.1.0.0")):
            self.assertAlmostEqual(due_at + 0.5 * occurrence, started[name], delta=0.21)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))

    def test_runs_of_a_cancelled_job_are_stopped(self):
        system = world.World()
        for agent in system.agents.values():
            agent.worker.duration = 100.0
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(1.0)
        system.owner.apply_cancellation(ids.JobId("j1"), world.WALL_TIME_OFFSET)
        system.run(1.0)
        self.assertIs(model.JobState.CANCELLED, system.get_state("j1"))
        self.assertFalse(any(agent.worker.running for agent in system.agents.values()))

    def test_all_members_of_a_gang_start_or_none(self):
        system = world.World(agents=1)
        system.submit("j1", model.Stage(9, ONE_CORE, gang=True))
        system.submit("j2", model.Stage(8, ONE_CORE, gang=True))
        system.run(0.8)
        self.assertEqual(8, len(system.agents["a0"].worker.started))
        self.assertEqual(0, system.count_starts("j1.0.0.0"))

    def test_a_gang_with_a_rejected_member_does_not_wait_for_it(self):
        # Guards against GANG: the other members waited for 3 s and ended as alone.
        system = world.World(agents=2)
        system.run(1.0)
        for agent in system.agents.values():
            agent.worker.duration = 60.0
        with mock.patch.object(
            system.agents["a1"].worker, "start", return_value=model.RejectReason.NO_CAPACITY
        ):
            system.submit("j1", model.Stage(2, messages.Resources(5_000, 100, 0), gang=True))
            system.run(0.2)
            self.assertEqual(1, len(system.agents["a0"].worker.running))
            system.run(0.4)
        system.agents["a1"].worker.set_capacity(0, 0, 0)
        system.run(1.0)
        self.assertEqual({}, system.agents["a0"].worker.running)
        system.agents["a1"].worker.set_capacity(8_000, 32_000, 0)
        system.run(1.0)
        runs = {run for agent in system.agents.values() for _, run in agent.worker.running}
        self.assertEqual(1, len(runs))
        self.assertEqual(1, len(system.agents["a1"].worker.running))


class UnexpectedErrorTest(unittest.TestCase):
    """One job or report that cannot be handled does not keep others from being handled."""

    def test_a_job_whose_planning_fails_does_not_stop_the_others(self):
        system = world.World()
        system.run(1.0)
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.submit("j2", model.Stage(1, ONE_CORE))
        broken = system.owner.job_registry.get(ids.JobId("j1"))
        broken.iterate_ready = mock.Mock(side_effect=ValueError("unexpected"))
        system.run(2.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j2"))

    def _fail_for(self, module: types.ModuleType, name: str, job: str):
        """Return a patch with which a function of a job's record fails for one job."""
        function = getattr(module, name)

        def fail(record, *args):
            if record.job.job_id == job:
                raise ValueError("unexpected")
            return function(record, *args)

        return mock.patch.object(module, name, fail)

    def test_a_job_that_cannot_be_ranked_stops_neither_the_others_nor_itself(self):
        # Guards against LOST: the error ended each plan of all jobs, and the process of each owner.
        system = world.World()
        system.run(1.0)
        with self._fail_for(waiting, "compute_rank", "j1"):
            for job in ("j1", "j2"):
                system.submit(job, model.Stage(1, ONE_CORE))
            system.run(3.0)
        for job in ("j1", "j2"):
            self.assertIs(model.JobState.COMPLETED, system.get_state(job))
        logged = [c.fields["job"] for c in system.owner.drain_log() if c.name == "job_not_ranked"]
        self.assertEqual(["j1"], logged)

    def test_a_job_whose_end_cannot_be_assessed_keeps_no_other_job_from_being_stopped(self):
        # Guards against UNASKED: jobs that ended in the same report were not stopped.
        system = world.World()
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.submit("j2", model.Stage(1, ONE_CORE))
        with self._fail_for(waiting, "assess_end", "j1"):
            system.run(4.0)
        for job in ("j1", "j2"):
            self.assertIs(model.JobState.COMPLETED, system.get_state(job))

    def _fail_planning(self, *jobs: model.Job) -> tuple[world.World, list[str]]:
        """Fail to plan jobs for 3.5 s; return the system and the jobs of the logged failures."""
        system = world.World()
        system.run(1.0)
        for job in jobs:
            system.owner.add_job(job, 10)
        system.owner.drain_log()
        failure = mock.Mock(side_effect=ValueError("unexpected"))
        with mock.patch.object(job_registry.JobRecord, "iterate_ready", failure):
            system.run(3.5)
        logged = [c.fields["job"] for c in system.owner.drain_log() if c.name == "job_not_planned"]
        return system, logged

    def test_a_job_whose_planning_failed_is_planned_again(self):
        # Guards against LOST: after one error nothing marked the job for planning any more.
        job = model.Job(ids.JobId("j1"), world.QUEUE, "", (model.Stage(1, ONE_CORE),), 0.0)
        system, _ = self._fail_planning(job)
        system.run(3.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))

    def test_a_planning_error_is_not_logged_in_each_plan(self):
        stages = (model.Stage(1, ONE_CORE),)
        jobs = [model.Job(ids.JobId(f"j{n}"), world.QUEUE, "", stages, 0.0, n) for n in range(2)]
        _, logged = self._fail_planning(*jobs)
        self.assertEqual({"j0": 4, "j1": 4}, collections.Counter(logged))

    def test_a_gang_whose_planning_fails_halfway_starts_no_member(self):
        # Guards against members that wait on workers for others that were never assigned.
        system = world.World()
        system.run(1.0)
        choose = placement.CandidatePool.choose

        def fail_second(pool, task, service):
            if task.index:
                raise RuntimeError("unexpected")
            return choose(pool, task, service)

        with mock.patch.object(placement.CandidatePool, "choose", fail_second):
            system.submit("gang", model.Stage(2, ONE_CORE, gang=True))
            system.run(0.5)
        self.assertEqual(0, system.count_starts("gang.0.0.0"))
        system.run(1.0)
        self.assertEqual([1, 1], [system.count_starts(f"gang.0.0.{n}") for n in range(2)])


class TakeoverTest(unittest.TestCase):
    """A new owner takes over the running tasks and waits for the leases of unreachable workers."""

    def _start_long_task(self) -> world.World:
        system = world.World()
        system.run(1.0)
        for agent in system.agents.values():
            agent.worker.duration = 60.0
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(1.0)
        return system

    def _take_over(self, system: world.World) -> None:
        roster = {agent: view.address for agent, view in system.owner.views.items()}
        system.take_over(2, 20)
        system.owner.load_roster(roster)
        system.submit("j1", model.Stage(1, ONE_CORE), version=10)

    def test_a_new_owner_adopts_a_running_task_and_does_not_start_it_again(self):
        system = self._start_long_task()
        self._take_over(system)
        system.run(9.0)
        self.assertEqual(1, system.count_starts("j1.0.0.0"))
        self.assertIs(model.JobState.RUNNING, system.get_state("j1"))

    def test_the_cpu_share_of_an_adopted_run_is_sent_again(self):
        # Guards against a run that the earlier owner had paused staying paused for good.
        system = world.World()
        system.run(1.0)
        for agent in system.agents.values():
            agent.worker.duration = 60.0
        best_effort = model.Stage(1, ONE_CORE, image="sheet", best_effort=True)
        system.submit("j1", best_effort)
        system.run(1.0)
        system.replace_owner(2)
        sent = []
        make_orders = system.owner.make_orders
        system.owner.make_orders = lambda now: sent.extend(orders := make_orders(now)) or orders
        system.run(1.0)
        cpu_shares = [share for _, orders in sent for share in orders.paces]
        self.assertIn(("j1.0.0.0", job_registry.RUNS_PER_EPOCH + 1, 100), cpu_shares)

    def test_a_task_on_an_unreachable_worker_starts_again_only_after_lease_expiry(self):
        system = self._start_long_task()
        holder = next(agent for agent in system.agents.values() if agent.worker.running)
        holder.is_connected = False
        self._take_over(system)
        for _ in range(120):
            system.step()
            held = sum(len(agent.worker.running) for agent in system.agents.values())
            self.assertLessEqual(held, 1, "two runs of one task")
        self.assertEqual(2, system.count_starts("j1.0.0.0"))

    def test_a_new_owner_does_not_wait_for_a_worker_whose_lease_has_expired(self):
        # Guards against LOST: each of several successive owners waited for the full lease of a
        # worker that was already gone.
        system = self._start_long_task()
        holder = next(agent for agent in system.agents.values() if agent.worker.running)
        holder.worker.is_responsive = False
        # An owner without jobs replaces the first one, so that it does not start the task again.
        system.owner = world.World().owner
        system.run(9.0)
        self._take_over(system)
        system.owner.load_roster({agent: f"{agent}:1" for agent in system.agents})
        system.run(1.5)
        self.assertEqual(2, system.count_starts("j1.0.0.0"))

    def test_a_new_owner_does_not_wait_for_an_idle_worker_that_was_lost_long_before(self):
        # Guards against LOST: only agents with runs were declared lost, so each new owner waited
        # for the full lease of a machine that had been idle when it was lost.
        system = world.World(agents=3)
        system.run(1.0)
        system.agents["a0"].is_connected = False
        system.run(owner.LOST_AFTER_SECONDS + leases.LEASE_EXPIRY_SECONDS + 0.5)
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.owner.tick = lambda *_: None
        system.replace_owner(2)
        system.run(1.5)
        self.assertEqual(1, system.count_starts("j1.0.0.0"))

    def test_a_new_owner_does_not_wait_for_a_deregistered_worker(self):
        # Guards against LOST: a machine was removed while the owners were stopped one after the
        # other, and its tasks did not run for 11 s.
        system = self._start_long_task()
        holder = next(agent for agent in system.agents.values() if agent.worker.running)
        holder.state.handle_deregistration(holder.worker.state.worker, system.now)
        holder.worker.running.clear()
        holder.worker.is_responsive = False
        system.owner.add_job = lambda *_: None
        system.run(agent_state.DEREGISTRATION_TIMEOUT_SECONDS + 0.3)
        holder.is_connected = False
        system.replace_owner(2)
        system.run(1.0)
        self.assertEqual(2, system.count_starts("j1.0.0.0"))

    def test_impossible_seconds_of_a_lost_agent_count_as_none(self):
        # Guards against LOST (nan and negative seconds: the wait for the lease had no end) and
        # against TWICE (infinite seconds: there was no wait).
        for seconds in (float("nan"), -1e9, float("inf")):
            with self.subTest(seconds=seconds):
                system = self._start_long_task()
                holder = next(agent for agent in system.agents.values() if agent.worker.running)
                holder.is_connected = False
                previous = system.owner
                previous.list_lost_agents = lambda *_, s=seconds, a=holder.process: {a: s}
                system.replace_owner(2)
                for _ in range(round((leases.LEASE_EXPIRY_SECONDS + 1.0) / world.TICK)):
                    system.step()
                    self.assertLessEqual(self._count_running(system), 1, "two runs of one task")
                self.assertEqual(2, system.count_starts("j1.0.0.0"))

    def test_successive_owners_do_not_restart_the_wait_for_a_lost_agent(self):
        system = self._start_long_task()
        holder = next(agent for agent in system.agents.values() if agent.worker.running)
        holder.is_connected = False
        disconnected_at = system.now
        for epoch in (2, 3, 4):
            for _ in range(25):
                system.step()
                self.assertLessEqual(self._count_running(system), 1, "two runs of one task")
            system.replace_owner(epoch)
        system.run(
            owner.LOST_AFTER_SECONDS
            + leases.LEASE_EXPIRY_SECONDS
            + disconnected_at
            + 1
            - system.now
        )
        self.assertEqual(2, system.count_starts("j1.0.0.0"))

    def test_a_lost_agent_that_returns_gets_no_orders_while_the_stored_row_lists_it(self):
        # Guards against TWICE: a later owner relies on the time for which the row lists the agent
        # as lost, so orders in that time could let a task run twice.
        system = self._start_long_task()
        holder = next(agent for agent in system.agents.values() if agent.worker.running)
        holder.is_connected = False
        system.run(4.0)
        holder.is_connected = True
        system.is_store_available = False
        system.run(0.5)
        orders = [process for process, _ in system.owner.make_orders(system.now + 1.0)]
        self.assertNotIn(holder.process, orders)
        lost = system.owner.list_lost_agents(system.now)
        self.assertEqual({}, lost)
        system.commit()
        orders = [process for process, _ in system.owner.make_orders(system.now + 1.0)]
        self.assertIn(holder.process, orders)

    def _count_running(self, system: world.World) -> int:
        return sum(len(agent.worker.running) for agent in system.agents.values())

    def test_a_failure_counted_by_an_earlier_owner_is_not_counted_twice(self):
        system = world.World()
        progress = model.Progress(failures={"0.0.0": (100_001,)})
        job = model.Job(
            ids.JobId("j1"), world.QUEUE, "", (model.Stage(1, ONE_CORE),), world.WALL_TIME_OFFSET
        )
        system.owner.add_job(job, 10, progress)
        record = system.owner.job_registry.get(ids.JobId("j1"))
        task = record.get_stage(0, 0).tasks[0]
        self.assertEqual(1, record.count_failure(task, 100_001))


class WorkerFaultTest(unittest.TestCase):
    """Workers that are replaced, lost, stalled or faulty."""

    def test_a_commit_for_an_earlier_incarnation_does_not_acknowledge_ends_of_the_new_one(self):
        # Guards against tasks that run twice because the new incarnation dropped ends that the
        # owner had not processed.
        system = world.World(agents=1)
        system.submit("j1", model.Stage(3, ONE_CORE))
        system.is_store_available = False
        system.run(2.0)
        commit = system.owner.make_commit(world.WALL_TIME_OFFSET)
        agent = system.agents["a0"]
        agent.worker = world.FakeWorker("w-new", 2_000)
        system.run(0.3)
        system.owner.record_commit(commit, system.now)
        self.assertEqual(0, system.owner.views[agent.process].last_durable_end)

    def test_a_task_is_not_placed_again_before_its_stopped_run_has_ended(self):
        # The worker acknowledges a stop immediately, but the run continues for a while.
        system = world.World(agents=2)
        for agent in system.agents.values():
            agent.worker.duration = 60.0
            agent.worker.stop_seconds = 0.8
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(1.0)
        view = next(v for v in system.owner.views.values() if v.assignments)
        system.owner._report_handler.move_run(view, next(iter(view.assignments.values())))
        for _ in range(30):
            system.step()
            held = sum(len(agent.worker.running) for agent in system.agents.values())
            self.assertLessEqual(held, 1, "two runs of one task")
        self.assertEqual(2, system.count_starts("j1.0.0.0"))

    def test_tasks_of_a_replaced_worker_are_started_again(self):
        system = world.World(agents=1)
        system.agents["a0"].worker.duration = 60.0
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(1.0)
        system.agents["a0"].worker = world.FakeWorker("w-new", 2_000)
        system.run(2.0)
        self.assertEqual(1, len(system.agents["a0"].worker.started))

    def test_a_task_is_not_started_on_a_restarted_worker_that_is_taken_for_the_earlier_one(self):
        # Guards against TWICE: the owner released the tasks of the replaced incarnation and placed
        # them again, while the new one, which has the same id, already ran this one.
        system = world.World(agents=2)
        system.run(1.0)
        agent = system.agents["a0"]
        agent.worker = world.FakeWorker("w-a0", 2_000)
        agent.worker.heartbeats_from = system.now + 0.6
        for other in system.agents.values():
            other.worker.duration = 60.0
        agent.state.record_poll_failure(system.now)
        system.submit("j1", model.Stage(1, ONE_CORE))
        for _ in range(40):
            system.step()
            held = sum(len(agent.worker.running) for agent in system.agents.values())
            self.assertLessEqual(held, 1, "two runs of one task")
        self.assertEqual(1, system.count_starts("j1.0.0.0"))

    def test_a_task_of_a_lost_agent_starts_again_after_lease_expiry(self):
        system = world.World(agents=2)
        for agent in system.agents.values():
            agent.worker.duration = 60.0
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(1.0)
        holder = next(agent for agent in system.agents.values() if agent.worker.running)
        holder.is_connected = False
        for _ in range(120):
            system.step()
            held = sum(len(agent.worker.running) for agent in system.agents.values())
            self.assertLessEqual(held, 1, "two runs of one task")
        self.assertEqual(2, system.count_starts("j1.0.0.0"))

    def test_tasks_of_a_stalled_worker_are_moved_to_another_worker(self):
        system = world.World(agents=2)
        system.run(0.5)
        system.agents["a0"].worker.is_hung = True
        system.submit("j1", model.Stage(12, ONE_CORE))
        system.run(6.0)
        self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))

    def test_runs_of_a_worker_that_is_slow_to_list_them_are_not_stopped(self):
        # Guards against work given up on a worker that responds late for 2.5 s and works on: its
        # runs made no progress in the reports, which repeated the last list.
        for silent_seconds in (1.9, 2.5, 4.0):
            system = world.World(agents=2)
            for agent in system.agents.values():
                agent.worker.duration = 10.0
            system.submit("j1", model.Stage(1, ONE_CORE))
            system.run(1.0)
            holder = next(agent for agent in system.agents.values() if agent.worker.running)
            holder.worker.is_responsive = False
            system.run(silent_seconds)
            holder.worker.is_responsive = True
            system.run(8.0)
            with self.subTest(silent_seconds=silent_seconds):
                self.assertEqual(1, system.count_starts("j1.0.0.0"))
                self.assertIs(model.JobState.COMPLETED, system.get_state("j1"))

    def test_runs_of_a_worker_that_was_suspended_are_not_stopped(self):
        # The first list after the suspension shows the same progress as the last one before it.
        system = world.World(agents=2)
        for agent in system.agents.values():
            agent.worker.duration = 100.0
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(1.0)
        holder = next(agent for agent in system.agents.values() if agent.worker.running)
        holder.worker.is_responsive = False
        system.run(2.5)
        holder.worker.is_responsive = True
        holder.worker.running = {run: end + 2.5 for run, end in holder.worker.running.items()}
        system.run(10.0)
        self.assertEqual(1, system.count_starts("j1.0.0.0"))

    def test_a_worker_on_which_all_runs_fail_does_not_use_up_the_attempts_of_jobs(self):
        system = world.World(agents=2)
        system.run(0.5)
        system.agents["a0"].worker.end_kind = "failed"
        system.agents["a0"].worker.duration = 0.1
        for number in range(12):
            system.submit(f"j{number}", model.Stage(1, ONE_CORE))
        system.run(8.0)
        states = [system.get_state(f"j{number}") for number in range(12)]
        self.assertEqual([model.JobState.COMPLETED] * 12, states)

    def test_tasks_of_an_unresponsive_worker_start_again(self):
        # Guards against LOST: each call without a response extended the lease that the agent
        # assumed for the worker, so that it did not expire.
        system = world.World(agents=2)
        for agent in system.agents.values():
            agent.worker.duration = 60.0
        system.submit("j1", model.Stage(1, ONE_CORE, long_running=True))
        system.run(1.0)
        holder = next(agent for agent in system.agents.values() if agent.worker.running)
        holder.worker.is_responsive = False
        for _ in range(120):
            system.step()
            held = sum(len(agent.worker.running) for agent in system.agents.values())
            self.assertLessEqual(held, 1, "two runs of one task")
        self.assertEqual(2, system.count_starts("j1.0.0.0"))

    def test_long_running_tasks_on_a_healthy_worker_are_never_stopped(self):
        # AVAIL requires that only the end of their job stops them.
        system = world.World(agents=2)
        system.submit("j1", model.Stage(2, ONE_CORE, long_running=True))
        system.run(1.0)
        for agent in system.agents.values():
            agent.worker.is_hung = True
        for number in range(8):
            system.submit(f"b{number}", model.Stage(2, ONE_CORE))
        system.run(8.0)
        self.assertEqual(1, system.count_starts("j1.0.0.0"))
        self.assertEqual(1, system.count_starts("j1.0.0.1"))

    def test_a_task_continues_from_its_last_checkpoint(self):
        # Guards against work that is thrown away: the checkpoint of a stopped run was not sent.
        system = world.World(agents=1)
        system.run(1.0)
        system.agents["a0"].worker.duration = 60.0
        system.submit("j1", model.Stage(1, ONE_CORE, checkpoints=True))
        system.run(1.0)
        agent = system.agents["a0"]
        agent.worker.end(next(iter(agent.worker.running)), "stopped")
        agent.worker.ended[-1] = msgspec.structs.replace(agent.worker.ended[-1], checkpoint="c1")
        with mock.patch.object(agent.worker, "start", return_value=None) as start:
            system.run(1.0)
        self.assertEqual("c1", start.call_args_list[0].args[1].checkpoint)

    def test_a_draining_worker_gets_no_starts(self):
        system = world.World(agents=1)
        system.run(1.0)
        agent = system.agents["a0"]
        agent.state.handle_deregistration(agent.worker.state.worker, system.now)
        agent.worker.is_responsive = False
        system.submit("j1", model.Stage(1, ONE_CORE))
        system.run(1.0)
        self.assertEqual([], agent.worker.started)


if __name__ == "__main__":
    unittest.main()
