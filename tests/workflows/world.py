"""Simulated deployment of an owner, agents and workers in one process, on simulated time.

Messages are delivered within a tick. The fake worker follows the platform's rules on leases, run
numbers, fencing and ends that are retained until they are acknowledged.
"""

import types
from collections.abc import Mapping

import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import worker as worker_client
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import agent_state
from crocusrudder.workflows import model
from crocusrudder.workflows import owner

TICK = 0.1
RESTART_SECONDS = 3.0
"""Time from the crash of a worker to the first heartbeat of the next incarnation."""
NOTICE_SECONDS = 0.01
"""Time after which an agent notices that the connections of its worker were closed."""
WALL_TIME_OFFSET = 1_000_000.0
SERVICE = ids.ServiceName("dispatch")
QUEUE = model.QueueName("confirm")


class FakeWorker:
    """One incarnation of a worker."""

    def __init__(
        self, name: str, born_ms: int, millicores: int = 8_000, data_centre: str = "bilbao"
    ) -> None:
        self.state = workflow_messages.WorkerState(
            ids.WorkerId(name),
            born_ms,
            SERVICE,
            ids.DataCentre(data_centre),
            messages.Resources(millicores, 32_000, 0),
            ("a", "r1"),
        )
        self.running: dict[tuple[str, int], float] = {}
        self.ended: list[workflow_messages.EndedRun] = []
        self.started: list[tuple[float, str, int]] = []
        self.last_blocked_run: dict[str, int] = {}
        self.fence = 0
        self.last_end_number = 0
        self.lease_until = 0.0
        self.is_responsive = True
        self.duration = 1.0
        self.stage_durations: dict[str, float] = {}
        """Durations that differ from ``duration``, by the task names without the task's index."""
        self.end_kind = "done"
        self.stop_seconds = 0.0
        self.is_hung = False
        self.heartbeats_from = 0.0
        """Time before which no heartbeat reaches the agent."""
        self.deadly: set[str] = set()
        """Tasks or jobs that crash the worker when they start."""
        self.crashed_at: float | None = None
        self.stopping: dict[tuple[str, int], float] = {}
        self.unreadable: set[str] = set()
        """Tasks whose entries no agent can read."""
        self.has_junk = False
        """Whether each list has an unreadable entry that stands for no run."""

    def set_capacity(self, *capacity: int) -> None:
        """Change the capacity: millicores, memory in MB and accelerators."""
        self.state = msgspec.structs.replace(self.state, capacity=messages.Resources(*capacity))

    def start(self, now: float, order: workflow_messages.StartOrder, epoch: int, lease: float):
        """Start a run; return why it is rejected, or None."""
        if epoch < self.fence:
            return model.RejectReason.STALE_OWNER
        self.fence = epoch
        if order.run <= self.last_blocked_run.get(order.task, 0):
            return model.RejectReason.STALE_RUN
        self.last_blocked_run[order.task] = order.run
        self.running[(order.task, order.run)] = now + self._get_duration(order.task)
        self.started.append((now, order.task, order.run))
        if {order.task, order.task.partition(".")[0]} & self.deadly:
            self.crash(now)
        self.lease_until = max(self.lease_until, lease)
        return None

    def crash(self, now: float) -> None:
        """End the worker's process and all its runs without a notice."""
        self.crashed_at = now
        self.running.clear()

    def stop(self, now: float, run: tuple[str, int], epoch: int) -> bool:
        """Begin to stop a run; return False if the epoch is fenced off."""
        if epoch < self.fence:
            return False
        self.fence = epoch
        self.last_blocked_run[run[0]] = max(self.last_blocked_run.get(run[0], 0), run[1])
        if run in self.running:
            self.stopping.setdefault(run, now + self.stop_seconds)
        return True

    def advance(self, now: float) -> None:
        """End the runs that are complete, stopped or without a lease at this time."""
        for run, at in list(self.running.items()):
            if self.stopping.get(run, float("inf")) <= now:
                self.end(run, "stopped")
            elif at <= now and not self.is_hung:
                self.end(run, self.end_kind)
            elif self.lease_until < now:
                self.end(run, "lapsed")

    def extend_lease(self, now: float, acknowledged: int, lease: float) -> worker_client.RunList:
        """Extend the lease, drop acknowledged ends, and return the running and ended runs."""
        self.lease_until = max(self.lease_until, lease)
        self.ended = [entry for entry in self.ended if entry.number > acknowledged]
        running = tuple(
            self._make_running(run, end, now)
            for run, end in self.running.items()
            if run[0] not in self.unreadable
        )
        unreadable = len(self.running) - len(running) + self.has_junk
        ended = tuple(self.ended[: worker_client.MAX_LISTED_ENDS])
        has_more_ends = len(ended) == worker_client.MAX_LISTED_ENDS
        return worker_client.RunList(1, running, ended, unreadable, not unreadable, has_more_ends)

    def _make_running(
        self, run: tuple[str, int], end: float, now: float
    ) -> workflow_messages.RunningTask:
        return workflow_messages.RunningTask(*run, percent=self._get_percent(run, end, now))

    def _get_duration(self, task: str) -> float:
        return self.stage_durations.get(task.rpartition(".")[0], self.duration)

    def _get_percent(self, run: tuple[str, int], end: float, now: float) -> int:
        if self.is_hung:
            return 0
        return max(0, round(100 * (1 - (end - now) / self._get_duration(run[0]))))

    def end(self, run: tuple[str, int], how: str) -> None:
        """End a run and list its end."""
        del self.running[run]
        self.stopping.pop(run, None)
        self.last_end_number += 1
        self.ended.append(workflow_messages.EndedRun(self.last_end_number, run[0], run[1], how))


def answer_probes(
    state: agent_state.AgentState, worker: workflow_messages.WorkerState, now: float
) -> bool:
    """Let a worker answer the probes of its agent; return whether the agent follows another one."""
    is_followed = False
    while (candidate := state.identity.find_probe(now)) is not None:
        if candidate.worker != worker.worker:
            state.identity.record_probe_refusal(candidate.incarnation, now)
        else:
            is_followed |= state.record_probe_answer(candidate.incarnation, worker.born_ms, now)
    return is_followed


def follow_worker(
    state: agent_state.AgentState,
    worker: workflow_messages.WorkerState,
    sequence: int,
    now: float,
) -> bool:
    """Let a worker that runs send a heartbeat and answer its agent's probes.

    Return whether the known state has changed.
    """
    is_changed = state.handle_heartbeat(worker, sequence, now)
    return answer_probes(state, worker, now) or is_changed


class FakeAgent:
    """An agent's state together with the worker that it manages."""

    def __init__(self, name: str, now: float, data_centre: str = "bilbao") -> None:
        self.process = ids.ProcessId(name)
        self.state = agent_state.AgentState(6.0, now)
        self.worker = FakeWorker(f"w-{name}", 1_000, data_centre=data_centre)
        self.is_connected = True
        self.is_receiving = True
        """Whether orders reach the agent; its reports are sent regardless."""
        self.heartbeats = 0
        self.earlier_starts: list[tuple[float, str, int]] = []
        """Starts on earlier incarnations of the worker."""

    def step(self, now: float) -> None:
        """Handle a heartbeat of the worker, and extend its lease."""
        self.heartbeats += 1
        if self.worker.crashed_at is not None:
            closed_at = self.worker.crashed_at + NOTICE_SECONDS
            self.state.record_call_failure(self.worker.state.worker, True, closed_at)
            if now - self.worker.crashed_at < RESTART_SECONDS:
                return
            self._restart_worker()
        self.worker.advance(now)
        if not self.worker.is_responsive:
            self.state.get_lease_end_ms(now)
            return
        known = self.state.current_worker
        if now >= self.worker.heartbeats_from:
            follow_worker(self.state, self.worker.state, self.heartbeats, now)
        if known is not None and known.incarnation != self.worker.state.incarnation:
            # The poll fails with WrongWorkerError; the report precedes the next one.
            self.state.record_poll_failure(now)
            return
        if self.state.epoch and self.state.epoch >= self.worker.fence:
            self.worker.fence = self.state.epoch
            lease = self.state.get_lease_end_ms(now)
            until = now + (lease - 1) / 1_000 if lease is not None else 0.0
            listed = self.worker.extend_lease(now, self.state.acknowledged, until)
            self.state.handle_list(listed, self.state.epoch, now, now)

    def handle_orders(self, orders: workflow_messages.AgentOrders, now: float) -> None:
        """Carry out orders immediately."""
        accepted = self.state.handle_orders(orders, now)
        if accepted is None:
            return
        for order in accepted.starts:
            self._start(order, orders, now)
        for run in accepted.stops if self.worker.crashed_at is None else ():
            self.state.record_stop_result(run, self.worker.stop(now, run, orders.epoch), now)

    def _start(
        self,
        order: workflow_messages.StartOrder,
        orders: workflow_messages.AgentOrders,
        now: float,
    ) -> None:
        run = (order.task, order.run)
        self.state.record_start_sent(run, now)
        if self.worker.crashed_at is not None:
            self.state.record_start_result(run, model.RejectReason.UNHEALTHY, now)
            return
        rejected = self.state.find_rejection(order, orders.echo, now)
        lease = self.state.get_lease_end_ms(now)
        if rejected is None and lease is None:
            rejected = model.RejectReason.NOT_READY
        if rejected is None:
            self._call_start(order, orders.epoch, now + (lease - 1) / 1_000, now)
        else:
            self.state.record_start_result(run, rejected, now)
            self.state.record_response(0, now)

    def _call_start(
        self, order: workflow_messages.StartOrder, epoch: int, lease: float, now: float
    ) -> None:
        """Let the worker carry out a start, and record its response."""
        rejected = self.worker.start(now, order, epoch, lease)
        self.state.record_start_result((order.task, order.run), rejected, now)
        self.state.record_response(0, now)

    def _restart_worker(self) -> None:
        """Start the next incarnation of the worker, under another id."""
        old = self.worker
        born_ms = old.state.born_ms + 1
        self.earlier_starts += old.started
        data_centre = old.state.data_centre
        self.worker = FakeWorker(f"w-{self.process}-{born_ms}", born_ms, data_centre=data_centre)
        self.worker.duration = old.duration
        self.worker.stage_durations = old.stage_durations
        self.worker.end_kind = old.end_kind
        self.worker.deadly = old.deadly


class World:
    """A simulated deployment of one owner, and agents with a worker each."""

    def __init__(
        self,
        agents: int = 2,
        data_centres: tuple[str, ...] = ("bilbao",),
        bounds: model.EvacuationBounds | None = None,
        far_factor: float = 1.0,
        learned_order: bool = False,
    ) -> None:
        self.now = 100.0
        self.learned_order = learned_order
        self.bounds = bounds
        self.far_factor = far_factor
        self.agents = {
            agent.process: agent
            for agent in (
                FakeAgent(f"a{number}", self.now, data_centres[number % len(data_centres)])
                for number in range(agents)
            )
        }
        self.is_store_available = True
        self.progress: dict[str, model.Progress] = {}
        self.owner = self.take_over(1, 0)

    def take_over(
        self,
        epoch: int,
        version: int,
        lost: Mapping = types.MappingProxyType({}),
        unbounded: Mapping = types.MappingProxyType({}),
    ) -> owner.Owner:
        """Replace the owner by one that has loaded nothing from the store, and return it."""
        self.owner = owner.Owner(
            model.OwnerEpoch(epoch),
            version,
            self.now,
            lost,
            self.bounds,
            self.far_factor,
            self.learned_order,
            unbounded,
        )
        queue = model.Queue(QUEUE, "host", "/q/", SERVICE, 0, 2)
        self.owner.set_configuration(model.Configuration(1, (queue,), (model.Service(SERVICE),)))
        return self.owner

    def submit(self, name: str, *stages: model.Stage, version: int = 10) -> None:
        """Add a job to the owner, as if it had been read from the store."""
        job = model.Job(ids.JobId(name), QUEUE, "spec", stages, WALL_TIME_OFFSET)
        self.owner.add_job(job, version)

    def replace_owner(self, epoch: int) -> None:
        """Replace the owner by one that loads the state of the previous one."""
        previous = self.owner
        views = previous.views.values()
        roster = {v.agent: v.registered_address for v in views if v.registered_address}
        unbounded = {
            view.agent: view.stored_unbounded_until - self.now
            for view in views
            if view.stored_unbounded_until > self.now
        }
        self.take_over(epoch, epoch * 100, previous.list_lost_agents(self.now), unbounded)
        self.owner.load_roster(roster)
        for record in previous.job_registry.records.values():
            self.owner.add_job(record.job, record.version, record.progress)

    def run(self, seconds: float) -> None:
        """Simulate a number of seconds."""
        for _ in range(round(seconds / TICK)):
            self.step()

    def step(self) -> None:
        """Simulate one tick."""
        self.now += TICK
        for agent in self.agents.values():
            agent.step(self.now)
            if agent.is_connected:
                self._report(agent)
        self.owner.tick(self.now, WALL_TIME_OFFSET + self.now)
        for process, orders in self.owner.make_orders(self.now):
            if self.agents[process].is_connected and self.agents[process].is_receiving:
                self.agents[process].handle_orders(orders, self.now)
        if self.is_store_available and self.owner.has_changes():
            self.commit()

    def commit(self) -> None:
        """Commit the owner's changes successfully."""
        self.owner.record_commit(self.owner.make_commit(WALL_TIME_OFFSET + self.now), self.now)

    def count_starts(self, task: str) -> int:
        """Return how often a task was started on any worker."""
        return sum(
            name == task
            for agent in self.agents.values()
            for _, name, _ in (*agent.earlier_starts, *agent.worker.started)
        )

    def get_state(self, job: str) -> model.JobState:
        """Return a job's state as reported to callers."""
        return self.owner.job_registry.get(ids.JobId(job)).visible_state

    def _report(self, agent: FakeAgent) -> None:
        view = self.owner.views.get(agent.process)
        if view is None or not view.address:
            self.owner.handle_agent_start(agent.process, f"{agent.process}:1")
        report = agent.state.make_report(agent.worker.state.data_centre, self.now)
        self.owner.handle_report(agent.process, report, self.now, WALL_TIME_OFFSET + self.now)
