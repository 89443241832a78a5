"""Free capacity of workers during a plan, and rankings of workers for tasks that are alike.

Load pattern: stages of dozens of equal tasks on hundreds of workers. A stage is one request for
many places, so workers are ranked once for a shape of task, and only workers whose free capacity
has changed since are ranked again.
"""

import heapq
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model

LATENCY_CRITICAL_IDLE_SHARE = 0.4
"""Share of the millicores requested by latency-critical tasks that best-effort tasks may use. The
users' latency-critical tasks use 0.42 of their request, varying by half of that."""


class CandidateWorker:
    """A worker with its free capacity, which shrinks as the plan assigns tasks to it."""

    def __init__(self, view: fleet.AgentView, index: int = 0) -> None:
        usage = view.usage
        capacity = view.worker.capacity
        self.view = view
        self.index = index
        """Position among the workers of a plan, which decides between equal scores."""
        self.version = 0
        """Number of changes of the free capacity."""
        self._usage = usage
        self._worker = view.worker
        self.capacity = capacity
        self.millicores = capacity.millicores - usage.millicores
        self.memory_mb = capacity.memory_mb - usage.memory_mb
        self.accelerators = capacity.accelerators - usage.accelerators
        self.best_effort_millicores = usage.best_effort_millicores
        self.idle_millicores = (
            self.millicores + LATENCY_CRITICAL_IDLE_SHARE * usage.latency_critical_millicores
        )
        self.latency_critical_count = len(usage.latency_critical)
        self.latency_critical_images = {task.stage.spec.image for task in usage.latency_critical}
        self.labels = frozenset(view.worker.labels)
        self.rack = get_rack(view)

    @property
    def is_current(self) -> bool:
        """Return whether nothing has changed since construction, also no reserved capacity."""
        return (
            not self.version and self._usage is self.view.usage and self._worker is self.view.worker
        )

    def fits(self, spec: model.Stage) -> bool:
        """Return whether the worker has enough free capacity for a task of the stage."""
        demand = spec.demand
        if not self.fits_beside_cpu(spec):
            return False
        if spec.best_effort:
            return self.best_effort_millicores + demand.millicores <= self.idle_millicores
        return demand.millicores <= self.millicores

    def fits_beside_cpu(self, spec: model.Stage) -> bool:
        """Return whether the worker has enough of all resources but processors.

        A worker whose capacity has shrunk below the processors that its tasks reserve has not: the
        idle share of latency-critical tasks is idle only within the capacity.
        """
        demand = spec.demand
        return (
            self.millicores >= 0
            and demand.memory_mb <= self.memory_mb
            and demand.accelerators <= self.accelerators
        )

    def count_fitting(self, spec: model.Stage, shares_cpu: bool = False) -> int:
        """Return how many tasks of a stage fit; 0 also for a stage that demands no resources.

        If ``shares_cpu``, the tasks need no free processors.
        """
        demand = spec.demand
        free_millicores = (
            self.idle_millicores - self.best_effort_millicores
            if spec.best_effort
            else self.millicores
        )
        resources = (
            (free_millicores, 0 if shares_cpu else demand.millicores),
            (self.memory_mb, demand.memory_mb),
            (self.accelerators, demand.accelerators),
        )
        return max(int(min((free // needed for free, needed in resources if needed), default=0)), 0)

    def reserve(self, spec: model.Stage) -> None:
        """Reserve capacity for a task of the stage."""
        self._change(spec, 1)

    def release(self, spec: model.Stage) -> None:
        """Undo ``reserve``, except that the image stays in ``latency_critical_images``."""
        self._change(spec, -1)

    def _change(self, spec: model.Stage, sign: int) -> None:
        self.version += 1
        self.memory_mb -= sign * spec.demand.memory_mb
        self.accelerators -= sign * spec.demand.accelerators
        if spec.best_effort:
            self.best_effort_millicores += sign * spec.demand.millicores
        else:
            self.millicores -= sign * spec.demand.millicores
            share = 1 - LATENCY_CRITICAL_IDLE_SHARE if spec.target_ms else 1
            self.idle_millicores -= sign * share * spec.demand.millicores
        if spec.target_ms:
            self.latency_critical_count += sign
            self.latency_critical_images.add(spec.image)


def compute_reserved_share(workers: Sequence[CandidateWorker], demand: messages.Resources) -> float:
    """Return the reserved share of the scarcest resource in demand; 1 without workers.

    Best-effort tasks reserve no processors, but other tasks reserve those that they share.
    """
    totals = (
        sum(worker.capacity.millicores for worker in workers),
        demand.memory_mb and sum(worker.capacity.memory_mb for worker in workers),
        demand.accelerators and sum(worker.capacity.accelerators for worker in workers),
    )
    free = (
        sum(worker.millicores for worker in workers),
        sum(worker.memory_mb for worker in workers),
        sum(worker.accelerators for worker in workers),
    )
    return max(
        (1 - rest / total for rest, total in zip(free, totals, strict=True) if total), default=1.0
    )


class Shape(NamedTuple):
    """All that decides which workers suit a task; tasks of one shape share a ranking."""

    service: ids.ServiceName
    demand: messages.Resources
    required_label: str
    data_rack: str
    image: str
    latency_target_ms: float
    best_effort: bool
    preferred_rack: str | None
    """Rack in which the rest of the stage runs; None without a preference."""
    avoided_agents: frozenset[ids.ProcessId]
    stage: job_registry.StageRecord | None
    """The task's stage if the number of its tasks on one worker is limited."""


Score = tuple[float, ...]
"""Sort key of a worker for a task; lower is better."""
ScoreFunction = Callable[[CandidateWorker], Score | None]
"""Return the score of a worker; None if a task of the shape must not be placed there."""


class Ranking:
    """Workers ordered by their score for one shape of task.

    ``changes`` lists the workers whose free capacity changed during the plan, in order; the ranking
    scores those again that were added since it was last asked.
    """

    def __init__(
        self,
        candidates: Sequence[CandidateWorker],
        score: ScoreFunction,
        changes: Sequence[CandidateWorker],
    ) -> None:
        self._score = score
        self._changes = changes
        self._seen_changes = len(changes)
        self._heap: list[tuple[Score, int, int, CandidateWorker]] = []
        for candidate in candidates:
            self._add(candidate)
        heapq.heapify(self._heap)

    def find_best(self, is_allowed: Callable[[CandidateWorker], bool]) -> CandidateWorker | None:
        """Return the worker with the lowest score; None if no worker suits.

        A worker that is not allowed is left out from then on.
        """
        self._update()
        while self._heap:
            _, _, version, candidate = self._heap[0]
            if version == candidate.version and is_allowed(candidate):
                return candidate
            heapq.heappop(self._heap)
        return None

    def _update(self) -> None:
        changed = self._changes[self._seen_changes :]
        self._seen_changes = len(self._changes)
        for candidate in dict.fromkeys(changed):
            score = self._score(candidate)
            if score is not None:
                entry = (score, candidate.index, candidate.version, candidate)
                heapq.heappush(self._heap, entry)

    def _add(self, candidate: CandidateWorker) -> None:
        score = self._score(candidate)
        if score is not None:
            self._heap.append((score, candidate.index, candidate.version, candidate))


def get_rack(view: fleet.AgentView) -> str:
    """Return the worker's rack, which is its last label; empty if it has none."""
    return view.worker.labels[-1] if view.worker and view.worker.labels else ""
