"""Generated histories: a simulated deployment with random fleets, jobs, interference and troubles.

A history is fully determined by its seed. All troubles and submissions end after
``TROUBLE_SECONDS``.
"""

import collections
import math
import random
import types

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import job_progress
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import owner
from crocusrudder.workflows import rows
from tests.workflows import shared_workers
from tests.workflows import world

TROUBLE_SECONDS = 20.0
REPORT_INTERVAL = 0.5
TARGET_MS = 45.0
SERVING_IMAGES = ("permit-a", "permit-b", "permit-c")
BATCH_IMAGES = tuple(f"round-{number}" for number in range(6))
WORKER_TROUBLES = {
    "fail": ("is_failing", True, False),
    "reject": ("is_rejecting", True, False),
    "hang": ("is_hung", True, False),
    "slow": ("speed", 0.15, 1.0),
    "silent": ("is_responsive", False, True),
}
"""Attribute of the worker, with its values during a trouble and after it."""
AGENT_TROUBLES = {"cut_off": ("is_connected", False, True), "lost_calls": ("lost_share", 0.3, 0.0)}
HISTORY_TROUBLES = {
    "store_outage": ("is_store_available", False, True),
    "hopeless": ("hopeless_share", 0.6, 0.05),
}
OTHER_TROUBLES = ("crash", "gone", "drain", "agent_restart", "owner", "cancel", "burst")
TROUBLES = (*WORKER_TROUBLES, *AGENT_TROUBLES, *HISTORY_TROUBLES, *OTHER_TROUBLES)
PLANNED = ("cancel", "hopeless", "burst")
"""Troubles that are no disruptions of machines."""


class History(world.World):
    """A deployment whose fleet, jobs and troubles are drawn from a seed."""

    agent_type = shared_workers.Agent
    troubles = TROUBLES

    def __init__(self, seed: int, far_factor: float = 1.0) -> None:
        self.random = random.Random(seed)
        self.group_random = random.Random(seed)
        """Separate, so that the jobs of a seed differ by nothing else."""
        self.call_random = random.Random(seed)
        """Separate, so that jobs and troubles of a seed do not depend on the owner's decisions."""
        self.stages: dict[str, tuple[model.Stage, ...]] = {}
        self._durations: dict[str, float] = {}
        self._stage_by_task: dict[str, model.Stage] = {}
        self._members: collections.Counter[tuple[str, int]] = collections.Counter()
        self.hopeless: dict[str, set[int]] = {}
        self.completed_gangs: set[tuple[str, int]] = set()
        self.is_owner_up = True
        self.hopeless_share = 0.05
        self.disrupted_until = 100.0
        """Time at which the last disruption ends that has begun."""
        self.events: list[tuple[float, str]] = []
        self._submissions: list[tuple[model.Job, int]] = []
        self._cancelled: set[ids.JobId] = set()
        self._stored: dict[ids.JobId, dict[int, bytes]] = {}
        """Progress rows by job and number."""
        self._stored_roster: dict[ids.ProcessId, str] = {}
        self._stored_lost: dict[ids.ProcessId, float] = {}
        self._stored_estimates: rows.InterferenceEstimates | None = None
        self._committed_at = 100.0
        self._stopped_owner_committed_at = 100.0
        self.owner_started_at = 100.0
        self._version = 10
        super().__init__(0, far_factor=far_factor)
        self._draw()

    def _draw(self) -> None:
        draw = self.random
        heavy_share = draw.choice((0.2, 0.6, 1.0))
        self.slowdowns = {
            (image, other): math.log(draw.uniform(2.0, 6.0))
            if draw.random() < heavy_share
            else draw.uniform(0.0, 0.1)
            for image in SERVING_IMAGES
            for other in BATCH_IMAGES
        }
        for number in range(draw.randint(2, 11)):
            kind = (draw.choice((64, 64, 96)), (draw.choice("aab"), f"r{number // 3}"))
            agent = self.agent_type(f"a{number}", kind, self)
            self.agents[agent.process] = agent
        self._jobs_per_second = draw.choice((0.3, 1.0, 2.0, 4.0))
        self._serving_share = draw.choice((0.0, 0.02, 0.1, 0.3))
        self._pending = sorted(
            (100.0 + draw.uniform(2.0, TROUBLE_SECONDS - 1.0), draw.choice(self.troubles))
            for _ in range(draw.randint(0, 14))
        )
        self._ends: list[tuple[float, int, str, object]] = []
        self.ends_at = 100.0 + TROUBLE_SECONDS

    # Jobs

    def get_stage(self, task: str) -> model.Stage:
        stage = self._stage_by_task.get(task)
        if stage is None:
            job, _, number, _ = task.split(".")
            stage = self._stage_by_task[task] = self.stages[job][int(number)]
        return stage

    def get_duration(self, task: str) -> float:
        job, _, number, _ = task.split(".")
        return self._durations[f"{job}.{number}"]

    def is_hopeless(self, task: str) -> bool:
        job, _, number, index = task.split(".")
        return number == "0" and int(index) in self.hopeless.get(job, ())

    def count_members(self, stage: str, run: int) -> int:
        """Return how many members of a gang's run there were at the start of the tick."""
        return self._members[stage, run]

    def _count_members(self) -> collections.Counter[tuple[str, int]]:
        return collections.Counter(
            (task.rpartition(".")[0], run)
            for agent in self.agents.values()
            if agent.worker.is_up
            for task, run in agent.worker.running
            if self.get_stage(task).gang
        )

    def _submit_random(self) -> None:
        draw = self.random
        kind = draw.choices(("serving", "best_effort", "plain"), (self._serving_share, 0.3, 0.5))[0]
        count = draw.randint(1, 12)
        label = draw.choice(("", "", "", "", "a", "b"))
        per_worker = draw.choice((0, 0, 0, 1, 2))
        if kind == "serving":
            stages = [self._draw_serving(count, label, per_worker)]
        else:
            stages = [
                self._draw_batch(number, count, label, per_worker, kind == "best_effort")
                for number in range(draw.randint(1, 3))
            ]
        self._submit_stages(stages, draw.random() < 0.1 and kind != "serving")

    def _draw_serving(self, count: int, label: str, per_worker: int) -> model.Stage:
        cores = self.random.randint(8, 20)
        return model.Stage(
            count,
            messages.Resources(cores * 1_000, cores * 2_000, 0),
            required_label=label,
            max_per_worker=per_worker,
            long_running=True,
            image=self.random.choice(SERVING_IMAGES),
            latency_target_ms=TARGET_MS,
        )

    def _draw_batch(
        self, number: int, count: int, label: str, per_worker: int, best_effort: bool
    ) -> model.Stage:
        draw = self.random
        millicores = draw.randint(2_000, 14_000) if best_effort else draw.randint(300, 3_000)
        return model.Stage(
            count if draw.random() < 0.7 else 1,
            messages.Resources(millicores, 2 * millicores, 0),
            draw.uniform(0.5, 3.0),
            (number - 1,) if number else (),
            gang=not best_effort and draw.random() < 0.15,
            same_rack=self.far_factor > 1.0 and self.group_random.random() < 0.3,
            required_label=label,
            data_rack=draw.choice(("", "r0")),
            max_per_worker=0 if best_effort else per_worker,
            image=draw.choice(BATCH_IMAGES) if best_effort else "",
            best_effort=best_effort,
            checkpoints=draw.random() < 0.7,
        )

    def _submit_stages(self, stages: list[model.Stage], has_due_times: bool) -> None:
        draw = self.random
        name = f"j{len(self.stages)}"
        self._version += 1
        self.stages[name] = tuple(stages)
        longest = draw.choice((1.0, 4.0, 12.0))
        for number in range(len(stages)):
            self._durations[f"{name}.{number}"] = draw.uniform(0.5, longest)
        if draw.random() < self.hopeless_share:
            self.hopeless[name] = {draw.randrange(stages[0].task_count)}
        queue = draw.choice((world.QUEUE, model.QueueName("round")))
        accepted_at = world.WALL_TIME_OFFSET + self.now
        due = (draw.randint(1, 4), accepted_at + draw.uniform(0, 3), draw.uniform(0.5, 3))
        job = model.Job(
            ids.JobId(name),
            queue,
            "spec",
            self.stages[name],
            accepted_at,
            *(due if has_due_times else ()),
        )
        self._submissions.append((job, self._version))
        if self.is_owner_up:
            self.owner.add_job(job, self._version)

    # Owners

    def take_over(self, epoch, version, lost=types.MappingProxyType({})):
        super().take_over(epoch, version, lost)
        service = model.Service(world.SERVICE)
        queues = (
            model.Queue(world.QUEUE, "host", "/q/", world.SERVICE, 0, 4, 1.5, 0.3),
            model.Queue(model.QueueName("round"), "host", "/r/", world.SERVICE, 2, 3, 2.0, 1.0),
        )
        self.owner.set_configuration(model.Configuration(2, queues, (service,)))
        return self.owner

    def _start_owner(self) -> None:
        """Start an owner that knows only what has been stored."""
        self.take_over(self.owner.epoch + 1, self._version, self._stored_lost)
        self._version += 1
        self.owner.load_roster(self._stored_roster)
        if self._stored_estimates is not None:
            self.owner.restore_estimates(self._stored_estimates)
        for job, version in self._submissions:
            stored = self._stored.get(job.job_id)
            progress = job_progress.decode(job, stored) if stored else None
            self.owner.add_job(job, version, progress)
        for job in self._cancelled:
            self.owner.apply_cancellation(job, world.WALL_TIME_OFFSET + self.now)
        self.is_owner_up = True
        self.owner_started_at = self.now
        self._stopped_owner_committed_at = self._committed_at
        self._committed_at = self.now

    def commit(self) -> None:
        commit = self.owner.make_commit(world.WALL_TIME_OFFSET + self.now)
        for table, key, value in commit.writes:
            if table == rows.PROGRESS_TABLE:
                name, part = rows.split_progress_key(key)
                number = job_progress.MAIN_ROW if part is None else part
                stored = self._stored.setdefault(name, {})
                stored[number] = value
                if value is None:
                    del stored[number]
        for agent, address in commit.registered_addresses.items():
            self._stored_roster[agent] = address
            if not address:
                del self._stored_roster[agent]
        self._stored_lost = self.owner.list_lost_agents(self.now)
        self.owner.record_commit(commit, self.now)

    def is_waiting_for_lease(self) -> bool:
        """Return whether a new owner may wait for the lease of a worker.

        That is so if its predecessor had no time to store that the worker was lost for a lease.
        """
        known_until = self._stopped_owner_committed_at
        lease = leases.LEASE_EXPIRY_SECONDS
        return self.now < self.owner_started_at + lease and any(
            agent.gone_at is not None
            and known_until - agent.gone_at < owner.LOST_AFTER_SECONDS + lease
            for agent in self.agents.values()
        )

    # Time

    def step(self) -> None:
        self.now = round(self.now + world.TICK, 6)
        self._apply_troubles()
        is_due = self.random.random() < self._jobs_per_second * world.TICK
        if is_due and self.now < self.ends_at and self.is_store_available:
            self._submit_random()
        self._members = self._count_members()
        has_row = self.is_store_available and not self.is_owner_up
        for agent in self.agents.values():
            agent.step(self.now)
            if has_row and agent.is_connected and agent.process not in self._stored_lost:
                agent.state.record_grant(self.owner.epoch, self.now)
        if self.is_store_available and self.is_owner_up:
            self._committed_at = self.now
        if self.is_owner_up and self.now - self._committed_at < leases.OWNER_LEASE_SECONDS:
            self._step_owner()

    def _step_owner(self) -> None:
        for agent in self.agents.values():
            is_due = agent.is_changed or self.now - agent.reported_at >= REPORT_INTERVAL - 0.01
            if is_due and agent.is_connected and not agent.is_gone:
                agent.is_changed = False
                agent.reported_at = self.now
                self._report(agent)
        self.owner.tick(self.now, world.WALL_TIME_OFFSET + self.now)
        for process, orders in self.owner.make_orders(self.now):
            agent = self.agents[process]
            if agent.is_connected and not agent.is_gone:
                agent.handle_orders(orders, self.now)
        if self.is_store_available and self.owner.has_changes():
            self.commit()

    # Troubles

    def _apply_troubles(self) -> None:
        if self.now >= self.ends_at:
            for _, _, kind, target in self._ends:
                self._end_trouble(kind, target)
            self._ends.clear()
            return
        for end in [end for end in self._ends if end[0] <= self.now]:
            self._ends.remove(end)
            self._end_trouble(end[2], end[3])
        while self._pending and self._pending[0][0] <= self.now:
            self._begin_trouble(self._pending.pop(0)[1])

    def _begin_trouble(self, kind: str) -> None:
        draw = self.random
        seconds = draw.uniform(0.5, 7.0)
        share = draw.choice((0.0, 0.2, 0.5, 1.0))
        alive = [agent for agent in self.agents.values() if not agent.is_gone]
        hit = draw.sample(alive, max(1, round(share * len(alive))))
        if kind in ("store_outage", "owner", "cancel", "hopeless", "burst"):
            hit = [None]
        if kind in ("gone", "drain"):
            hit = hit[:1]
        if kind not in PLANNED:
            end = min(self.now + seconds, self.ends_at)
            self.disrupted_until = max(self.disrupted_until, end)
        self.events.append((round(self.now - 100, 1), f"{kind} x{len(hit)} {seconds:.1f}s"))
        for agent in hit:
            if not self._set_attribute(kind, agent, 1):
                getattr(self, f"_begin_{kind}")(agent)
            self._ends.append((self.now + seconds, len(self._ends), kind, agent))

    def _end_trouble(self, kind: str, agent: shared_workers.Agent | None) -> None:
        if not self._set_attribute(kind, agent, 2):
            getattr(self, f"_end_{kind}", lambda _: None)(agent)

    def _set_attribute(self, kind: str, agent: shared_workers.Agent | None, column: int) -> bool:
        """Set the attribute of a trouble that is one; return whether it is."""
        tables = (
            (agent and agent.worker, WORKER_TROUBLES),
            (agent, AGENT_TROUBLES),
            (self, HISTORY_TROUBLES),
        )
        for target, table in tables:
            if kind in table:
                setattr(target, table[kind][0], table[kind][column])
                return True
        return False

    def _begin_crash(self, agent: shared_workers.Agent) -> None:
        agent.worker.is_up = False
        agent.worker.running.clear()

    def _end_crash(self, agent: shared_workers.Agent) -> None:
        if not agent.worker.is_up:
            agent.replace_worker()

    def _begin_gone(self, agent: shared_workers.Agent) -> None:
        alive = sum(not other.is_gone for other in self.agents.values())
        if self.now < self.ends_at - 10 and alive > 2:
            agent.gone_at = self.now
            self._begin_crash(agent)

    def _begin_drain(self, agent: shared_workers.Agent) -> None:
        agent.worker.state = msgspec.structs.replace(agent.worker.state, draining=True)

    def _end_drain(self, agent: shared_workers.Agent) -> None:
        agent.state.handle_deregistration(agent.worker.state.worker, self.now)
        agent.replace_worker()

    def _begin_agent_restart(self, agent: shared_workers.Agent) -> None:
        agent.restart(self.now)

    def _begin_owner(self, _: None) -> None:
        self.is_owner_up = False
        self._stored_estimates = self.random.choice(
            (None, self.owner.export_estimates(), self._stored_estimates)
        )

    def _end_owner(self, _: None) -> None:
        if not self.is_owner_up:
            self._start_owner()

    def _begin_cancel(self, _: None) -> None:
        for job, _ in self._submissions:
            if self.is_store_available and self.random.random() < 0.3:
                self._cancelled.add(job.job_id)
                if self.is_owner_up:
                    self.owner.apply_cancellation(job.job_id, world.WALL_TIME_OFFSET + self.now)

    def _begin_burst(self, _: None) -> None:
        for _ in range(15):
            if self.is_store_available:
                self._submit_random()
