"""Simulated workers on which tasks slow each other down, and agents whose calls may be lost."""

import collections
import math
from typing import TYPE_CHECKING

import msgspec

from crocusrudder.platform import worker as worker_client
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import agent_state
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from tests.workflows import world

if TYPE_CHECKING:
    from tests.workflows import histories

GANG_SECONDS = 3.0
"""Time for which a member of a gang waits for the others."""
CALL_TIMEOUT = 1.1
CHECKPOINT_SECONDS = 0.5
BASE_LATENCY_MS = 10.0
SWING_SECONDS = 14.0
"""Period of the load of latency-critical tasks."""

RunKey = tuple[str, int]


class Worker(world.FakeWorker):
    """A worker that guards its capacity, and on which best-effort runs slow others down."""

    def __init__(self, name: str, born_ms: int, kind: tuple, history: "histories.History") -> None:
        super().__init__(name, born_ms)
        cores, labels = kind
        capacity = messages.Resources(cores * 1_000, cores * 4_000, 0)
        self.state = msgspec.structs.replace(self.state, capacity=capacity, labels=labels)
        self.stop_seconds = history.call_random.uniform(0.0, 0.9)
        self.is_up = True
        self.is_failing = self.is_rejecting = False
        self.speed = 1.0
        self._history = history
        self._total: dict[RunKey, float] = {}
        self._started_at: dict[RunKey, float] = {}
        self._complete_gangs: set[RunKey] = set()
        self._cpu_shares: dict[RunKey, int] = {}
        self.latencies_ms: dict[str, float] = {}
        """Smoothed latency by image of the latency-critical runs."""

    def list_stages(self) -> list[tuple[RunKey, model.Stage]]:
        """Return the runs with their stages."""
        return [(run, self._history.get_stage(run[0])) for run in self.running]

    def get_free(self) -> messages.Resources:
        """Return the free capacity; best-effort runs take memory only."""
        capacity = self.state.capacity
        stages = [stage for _, stage in self.list_stages()]
        return messages.Resources(
            capacity.millicores - sum(s.demand.millicores for s in stages if not s.best_effort),
            capacity.memory_mb - sum(s.demand.memory_mb for s in stages),
            0,
        )

    def start(self, now: float, order: workflow_messages.StartOrder, epoch: int, lease: float):
        stage = self._history.get_stage(order.task)
        if self.is_rejecting:
            return model.RejectReason.UNHEALTHY
        if epoch >= self.fence and not count_fitting(self.get_free(), stage):
            return model.RejectReason.NO_CAPACITY
        run = (order.task, order.run)
        if run in self.running:
            return None
        rejected = super().start(now, order, epoch, lease)
        if rejected is None:
            total = self._history.get_duration(order.task)
            self._total[run] = total
            self.running[run] = total - min(float(order.checkpoint or 0), total)
            self._started_at[run] = now
        return rejected

    def set_cpu_share(self, run: RunKey, percent: int) -> None:
        if run in self.running:
            self._cpu_shares[run] = percent

    def measure_exposure(self) -> dict[str, float]:
        """Return the units of work of best-effort runs by image."""
        exposure: dict[str, float] = collections.defaultdict(float)
        for run, stage in self.list_stages():
            if stage.best_effort:
                share = self._cpu_shares.get(run, 100) / 100
                exposure[stage.image] += share * stage.demand.millicores / 8_000
        return exposure

    def compute_latency_ms(self, image: str, now: float, exposure: dict[str, float]) -> float:
        history = self._history
        load = 1 + 0.4 * math.sin(2 * math.pi * now / SWING_SECONDS + hash_phase(image))
        slowdown = sum(history.slowdowns[image, other] * units for other, units in exposure.items())
        return BASE_LATENCY_MS * load * math.exp(slowdown)

    def advance(self, now: float) -> None:
        if not self.is_up:
            return
        self._measure(now)
        for run, stage in self.list_stages():
            if run in self.running:
                self._advance_run(now, run, stage)

    def _measure(self, now: float) -> None:
        exposure = self.measure_exposure()
        images = {stage.image for _, stage in self.list_stages() if stage.latency_target_ms}
        self.latencies_ms = {
            image: 0.7 * self.latencies_ms.get(image, BASE_LATENCY_MS)
            + 0.3 * self.compute_latency_ms(image, now, exposure)
            for image in images
        }

    def _advance_run(self, now: float, run: RunKey, stage: model.Stage) -> None:
        waited = now - self._started_at[run]
        if self.lease_until < now:
            self.end(run, "lapsed")
        elif self.stopping.get(run, math.inf) <= now:
            self.end(run, "stopped")
        elif self.is_failing or self._history.is_hopeless(run[0]):
            if waited > 0.3:
                self.end(run, "failed")
        elif self.is_hung or stage.gang and not self._is_gang_at_work(run, stage, waited):
            return
        elif not stage.long_running:
            self.running[run] -= world.TICK * self.speed * self._cpu_shares.get(run, 100) / 100
            if self.running[run] <= 0:
                self._history.completed_gangs.add((run[0].rpartition(".")[0], run[1]))
                self.end(run, "done")

    def _is_gang_at_work(self, run: RunKey, stage: model.Stage, waited: float) -> bool:
        gang = (run[0].rpartition(".")[0], run[1])
        if gang in self._history.completed_gangs:
            self.end(run, "done")
            return False
        if self._history.count_members(*gang) == stage.task_count:
            self._complete_gangs.add(run)
            return True
        if run in self._complete_gangs:
            self.end(run, "broken")
        elif waited > GANG_SECONDS:
            self.end(run, "alone")
        return False

    def _make_running(self, run: RunKey, end: float, now: float):
        stage = self._history.get_stage(run[0])
        measure = -1.0
        if stage.latency_target_ms:
            measure = round(self.latencies_ms.get(stage.image, -1.0))
        percent = 100 if stage.long_running else round(100 * (1 - end / self._total[run]))
        return workflow_messages.RunningTask(*run, self._save(run), percent, measure)

    def _save(self, run: RunKey) -> str:
        done = self._total[run] - self.running[run]
        is_saved = self._history.get_stage(run[0]).checkpoints and done >= CHECKPOINT_SECONDS
        return f"{done:.1f}" if is_saved else ""

    def end(self, run: RunKey, how: str) -> None:
        saved = self._save(run)
        super().end(run, how)
        self.ended[-1] = msgspec.structs.replace(self.ended[-1], checkpoint=saved)
        self._cpu_shares.pop(run, None)


def count_fitting(free: messages.Resources, stage: model.Stage) -> int:
    """Return how many tasks of a stage a worker accepts."""
    fitting = free.memory_mb // max(stage.demand.memory_mb, 1)
    if not stage.best_effort:
        fitting = min(fitting, free.millicores // max(stage.demand.millicores, 1))
    return max(fitting, 0)


def hash_phase(image: str) -> float:
    """Return a phase of an image's load that does not depend on the process."""
    return sum(image.encode()) % 7


class Agent(world.FakeAgent):
    """An agent whose calls to its worker may be lost or carried out late."""

    def __init__(self, name: str, kind: tuple, history: "histories.History") -> None:
        super().__init__(name, history.now)
        self._history = history
        self._kind = kind
        self._born_ms = 1_000
        self.reported_at = -math.inf
        self.is_changed = True
        self.gone_at: float | None = None
        self.lost_share = 0.0
        self._blocking: dict[RunKey, float] = {}
        """When the next call to stop a run is due whose start was not answered."""
        self._late: list[tuple[float, Worker, workflow_messages.StartOrder, int, float]] = []
        self.replace_worker()

    def replace_worker(self) -> None:
        self._born_ms += 1
        name = f"{self.process}-{self._born_ms}"
        self.worker = Worker(name, self._born_ms, self._kind, self._history)

    @property
    def is_gone(self) -> bool:
        return self.gone_at is not None

    def restart(self, now: float) -> None:
        """Start a new agent process, which knows nothing."""
        self.state = agent_state.AgentState(leases.LEASE_SECONDS, now)
        self._blocking.clear()
        self._history.owner.handle_agent_start(self.process, f"{self.process}:1")
        self.is_changed = True

    def step(self, now: float) -> None:
        worker, state = self.worker, self.state
        for late in [late for late in self._late if late[0] <= now]:
            self._late.remove(late)
            if late[1] is worker and worker.is_up:
                worker.start(now, *late[2:])
        worker.advance(now)
        for run in [run for run, due in self._blocking.items() if due <= now]:
            self._block(run, now)
        if not (worker.is_responsive and worker.is_up):
            state.get_lease_end_ms(now)
            return
        self.heartbeats += 1
        self.is_changed |= world.follow_worker(state, worker.state, self.heartbeats, now)
        if state.epoch and state.epoch >= worker.fence:
            worker.fence = state.epoch
            lease = state.get_lease_end_ms(now)
            until = now + (lease - 1) / 1_000 if lease is not None else 0.0
            listed = self._read_list(worker.extend_lease(now, state.acknowledged, until))
            if listed is None:
                state.record_poll_failure(now)
            else:
                self.is_changed |= state.handle_list(listed, state.epoch, now, now)

    def _read_list(self, listed: worker_client.RunList) -> worker_client.RunList | None:
        """Return what the agent reads of a list; None if that is nothing."""
        return listed

    def handle_orders(self, orders: workflow_messages.AgentOrders, now: float) -> None:
        accepted = self.state.handle_orders(orders, now)
        if accepted is None:
            return
        for order in accepted.starts:
            self._start(order, orders.epoch, now)
        for run in accepted.stops:
            self._stop(run, now)
        for task, run, percent in accepted.paces:
            if not self._is_lost():
                self.worker.set_cpu_share((task, run), percent)

    def _is_lost(self) -> bool:
        is_reachable = self.worker.is_up and self.worker.is_responsive
        return not is_reachable or self._history.call_random.random() < self.lost_share

    def _start(self, order: workflow_messages.StartOrder, epoch: int, now: float) -> None:
        run = (order.task, order.run)
        self.is_changed = True
        self.state.record_start_sent(run, now)
        lease = self.state.get_lease_end_ms(now)
        if lease is None:
            self.state.record_start_result(run, model.RejectReason.NOT_READY, now)
            return
        until = now + (lease - 1) / 1_000
        if self._is_lost():
            delay = self._history.call_random.choice((0.0, 0.5, 2.0, math.inf))
            self._late.append((now + delay, self.worker, order, epoch, until))
            self._blocking[run] = now + CALL_TIMEOUT
            return
        rejected = self.worker.start(now, order, epoch, until)
        self.state.record_start_result(run, rejected, now)

    def _stop(self, run: RunKey, now: float) -> bool:
        self.is_changed = True
        if self._is_lost():
            self.state.record_stop_failure(run)
            return False
        accepted = self.worker.stop(now, run, self.state.epoch)
        self.state.record_stop_result(run, accepted, now)
        return accepted

    def _block(self, run: RunKey, now: float) -> None:
        """Stop a run whose start was not answered, and try again if that is not answered."""
        self._blocking[run] = now + CALL_TIMEOUT
        if self._stop(run, now):
            del self._blocking[run]
