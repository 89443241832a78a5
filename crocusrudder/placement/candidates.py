"""Selection of the workers that may take a task now, without regard to interference."""

from collections.abc import Sequence

from crocusrudder.core import ids
from crocusrudder.placement import failure_attribution
from crocusrudder.placement import model
from crocusrudder.placement import scoring
from crocusrudder.placement import tracking

CLAIM_TIMEOUT_SECONDS = 6.0
"""How long a worker is reserved for the urgent task that preempts there; a checkpoint takes 2 s."""
AVOID_SECONDS = 300.0
"""How long a task is not placed on the worker that it was moved off."""

Candidate = tuple[model.WorkerView, scoring.FreeResources]


class PreemptionClaims:
    """Workers where batch is being preempted for an urgent task."""

    def __init__(self) -> None:
        self._claims: dict[ids.TaskId, tuple[model.Preemption, float]] = {}

    @property
    def workers(self) -> set[ids.WorkerId]:
        return {claim.worker for claim, _ in self._claims.values()}

    def add(self, task: ids.TaskId, claim: model.Preemption, now: float) -> None:
        self._claims[task] = (claim, now)

    def find(self, task: ids.TaskId) -> model.Preemption | None:
        """Return the runs being preempted for a task, or None if it has no claim."""
        entry = self._claims.get(task)
        return entry[0] if entry is not None else None

    def drop(self, task: ids.TaskId) -> None:
        """Release the claim of a task that has started."""
        self._claims.pop(task, None)

    def expire(self, now: float) -> None:
        """Release claims that led to no start within ``CLAIM_TIMEOUT_SECONDS``."""
        for task in [t for t, (_, at) in self._claims.items() if now - at >= CLAIM_TIMEOUT_SECONDS]:
            del self._claims[task]


class MovedTasks:
    """Tasks that were moved off a worker and must not return there for ``AVOID_SECONDS``."""

    def __init__(self) -> None:
        self._moved: dict[ids.TaskId, tuple[ids.WorkerId, float]] = {}

    def add(self, task: ids.TaskId, worker: ids.WorkerId, now: float) -> None:
        self._moved[task] = (worker, now)

    def find(self, task: ids.TaskId) -> ids.WorkerId | None:
        """Return the worker that the task must avoid, or None."""
        entry = self._moved.get(task)
        return entry[0] if entry is not None else None

    def expire(self, now: float) -> None:
        """Remove tasks that were moved at least ``AVOID_SECONDS`` ago."""
        for task in [t for t, (_, at) in self._moved.items() if now - at >= AVOID_SECONDS]:
            del self._moved[task]


class CandidateFilter:
    """Filter workers by capacity, urgent reserve, start rate, quarantine and the job's failures."""

    def __init__(
        self,
        attribution: failure_attribution.FailureAttribution,
        claims: PreemptionClaims,
        moved: MovedTasks,
    ) -> None:
        self._attribution = attribution
        self._claims = claims
        self._moved = moved

    def select(
        self,
        task: model.PlacementTask,
        workers: Sequence[model.WorkerView],
        states: Sequence[tracking.WorkerState],
        now: float,
    ) -> list[Candidate]:
        """Return the workers that may take the task now, with their free resources.

        ``states`` has one entry for each of ``workers``, in the same order.
        """
        usable, probed = [], []
        for view, state in zip(workers, states, strict=True):
            if view.draining:
                continue
            if not self._attribution.is_quarantined(view.worker):
                usable.append((view, state))
            elif self._attribution.is_probe_due(view.worker, now):
                probed.append((view, state))
        fitting = self._list_fitting(task, usable, now)
        if not task.urgent:
            fitting += self._list_fitting(task, probed, now)
        return self._prefer_untried(task.job, fitting, [view.worker for view, _ in usable])

    def _list_fitting(
        self,
        task: model.PlacementTask,
        workers: Sequence[tuple[model.WorkerView, tracking.WorkerState]],
        now: float,
    ) -> list[Candidate]:
        free_by_worker = [state.compute_free(view) for view, state in workers]
        capacities = [view.capacity for view, _ in workers]
        reserve = None if task.urgent else scoring.UrgentReserve(capacities, free_by_worker)
        avoided = self._moved.find(task.task)
        claimed = self._claims.workers
        fitting = []
        for index, ((view, state), free) in enumerate(zip(workers, free_by_worker, strict=True)):
            if view.worker == avoided or not free.fits(task.size):
                continue
            if reserve is not None and not reserve.allows(index, free, task.size):
                continue
            if view.worker in claimed and not task.urgent:
                continue
            if state.has_token(now) and self._attribution.may_start_on(view.worker, now):
                fitting.append((view, free))
        return fitting

    def _prefer_untried(
        self,
        job: ids.JobId,
        fitting: list[Candidate],
        usable_workers: Sequence[ids.WorkerId],
    ) -> list[Candidate]:
        """Return workers on which the job has not failed, if there are any.

        Until its first success, a job is also spread over workers on which it has no run. A job
        that has failed and never succeeded starts on a worker on which it failed only once it has
        failed on all ``usable_workers``; until then it waits.
        """
        untried = [
            candidate
            for candidate in fitting
            if not self._attribution.has_failed_on(job, candidate[0].worker)
        ]
        preferred = [
            candidate
            for candidate in untried
            if not self._attribution.is_running_on(job, candidate[0].worker)
        ]
        if preferred or untried:
            return preferred or untried
        must_wait = self._attribution.is_unproven(job) and not all(
            self._attribution.has_failed_on(job, worker) for worker in usable_workers
        )
        return [] if must_wait else fitting
