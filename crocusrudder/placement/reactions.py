"""Reactions to a service that a worker's batch runs slow down.

Order per run: throttle, then checkpoint and move, then evict; each only after several reports
since the last action on the worker and a cool-down. A throttle is lifted once per run at most.
"""

import math
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from crocusrudder.core import ids
from crocusrudder.placement import interference
from crocusrudder.placement import model
from crocusrudder.placement import tracking

COOLDOWN_SECONDS = 30.0
"""Longer than report age plus measurement window, so that the last action is visible."""
EVIDENCE_REPORTS = 3
"""Reports since the last action on the worker that an action needs."""
RESTORE_SECONDS = 60.0
MOVE_TIMEOUT_SECONDS = 30.0
"""A run that is still there this long after it was to be moved is evicted."""
THROTTLE_SHARE = 0.3
MAX_RUNS_PER_ACTION = 3
GUILT_MEAN = 0.1
"""Least expected logarithm of the slowdown for which a run is acted on."""
EVICT_FACTOR = 2.0
"""Eviction without a place to move to needs this multiple of the trigger slowdown."""
REACTIONS_PER_SECOND = 1.0
REACTIONS_BURST = 6.0
"""Bucket for the reactions of all workers, so that a burst does not flood the store."""


class ReactionSettings(msgspec.Struct, frozen=True):
    """Slowdowns (1 is undisturbed) that start a reaction and that let a throttle be lifted."""

    trigger_slowdown: float = 1.6
    restore_slowdown: float = 1.2
    use_interference: bool = True
    """Without it the largest runs are taken for guilty."""


class ReactionPlanner:
    """Propose reactions from the smoothed excess of each service on each worker."""

    def __init__(self, pairs: interference.InterferenceModel, settings: ReactionSettings) -> None:
        self._pairs = pairs
        self._settings = settings
        self._tokens = REACTIONS_BURST
        self._tokens_at = float("-inf")
        self._seen: dict[ids.WorkerId, dict[ids.ServiceName, int]] = {}

    def propose(
        self,
        views: Sequence[model.WorkerView],
        states: Mapping[ids.WorkerId, tracking.WorkerState],
        find_target: Callable[[model.PlacementTask, ids.WorkerId], bool],
        now: float,
    ) -> list[model.Reaction]:
        """Return the reactions due now.

        ``find_target`` tells whether another worker than the given one would take a task.
        """
        self._refill(now)
        reactions: list[model.Reaction] = []
        for view in views:
            worker_state = states.get(view.worker)
            if worker_state is None or not worker_state.runs:
                continue
            found = self._react(view, worker_state, find_target, now)
            if found:
                worker_state.acted_at = now
                self._remember_reports(view.worker)
                self._tokens -= len(found)
                reactions.extend(found)
        return reactions

    def remove_worker(self, worker: ids.WorkerId) -> None:
        """Forget a worker."""
        self._seen.pop(worker, None)

    def _react(
        self,
        view: model.WorkerView,
        worker_state: tracking.WorkerState,
        find_target: Callable[[model.PlacementTask, ids.WorkerId], bool],
        now: float,
    ) -> list[model.Reaction]:
        if now - worker_state.acted_at < COOLDOWN_SECONDS or self._tokens < 1.0:
            return []
        live = tracking.list_live(view)
        worst, excess = self._find_worst(view.worker)
        if worst is None:
            return []
        if excess < math.log(self._settings.trigger_slowdown):
            return self._restore(view, worker_state, live, now)
        guilty = self._find_guilty(worst, worker_state, live)
        limit = min(MAX_RUNS_PER_ACTION, int(self._tokens))
        reason = f"p99 of {worst} is {math.exp(excess):.1f} times its undisturbed level"
        reactions = []
        for run in guilty[:limit]:
            reaction = self._escalate(view, run, live, excess, find_target, reason, now)
            if reaction is not None:
                reactions.append(reaction)
        return reactions

    def _find_worst(self, worker: ids.WorkerId) -> tuple[ids.ServiceName | None, float]:
        """Return the service with the largest excess that has enough new reports."""
        seen = self._seen.get(worker, {})
        worst: ids.ServiceName | None = None
        largest = -math.inf
        for service, excess in self._pairs.services_on(worker).items():
            enough = excess.reports - seen.get(service, 0) >= EVIDENCE_REPORTS
            if enough and excess.value > largest:
                worst, largest = service, excess.value
        return worst, largest

    def _find_guilty(
        self,
        service: ids.ServiceName,
        worker_state: tracking.WorkerState,
        live: Mapping[ids.TaskId, ids.TaskEpoch],
    ) -> list[tracking.Run]:
        """Return the runs to act on, guiltiest first; urgent runs are spared."""
        runs = [
            run for task, run in worker_state.runs.items() if task in live and not run.task.urgent
        ]
        if not self._settings.use_interference:
            return sorted(runs, key=lambda run: (-run.task.size.millicores, run.task.task))
        scored = []
        for run in runs:
            mean, deviation, _ = self._pairs.estimate(service, run.task.job_class)
            if mean >= GUILT_MEAN and mean >= deviation:
                scored.append((-mean * run.share, run.task.task, run))
        return [run for _, _, run in sorted(scored, key=lambda entry: entry[:2])]

    def _escalate(
        self,
        view: model.WorkerView,
        run: tracking.Run,
        live: Mapping[ids.TaskId, ids.TaskEpoch],
        excess: float,
        find_target: Callable[[model.PlacementTask, ids.WorkerId], bool],
        reason: str,
        now: float,
    ) -> model.Reaction | None:
        kind = self._choose_kind(run, view.worker, excess, find_target, now)
        if kind is None:
            return None
        task = run.task.task
        share = 1.0
        if kind is model.ReactionKind.THROTTLE:
            share = THROTTLE_SHARE
            run.share = share
            run.throttled_at = now
        elif kind is model.ReactionKind.MOVE:
            run.move_asked_at = now
        return model.Reaction(kind, view.worker, task, live[task], reason, share)

    def _choose_kind(
        self,
        run: tracking.Run,
        worker: ids.WorkerId,
        excess: float,
        find_target: Callable[[model.PlacementTask, ids.WorkerId], bool],
        now: float,
    ) -> model.ReactionKind | None:
        if run.move_asked_at is not None:
            overdue = now - run.move_asked_at >= MOVE_TIMEOUT_SECONDS
            return model.ReactionKind.EVICT if overdue else None
        if run.share >= 1.0 and not run.restored:
            return model.ReactionKind.THROTTLE
        if find_target(run.task, worker):
            return model.ReactionKind.MOVE
        severe = excess >= math.log(self._settings.trigger_slowdown * EVICT_FACTOR)
        if run.share < 1.0 and severe:
            return model.ReactionKind.EVICT
        return None

    def _restore(
        self,
        view: model.WorkerView,
        worker_state: tracking.WorkerState,
        live: Mapping[ids.TaskId, ids.TaskEpoch],
        now: float,
    ) -> list[model.Reaction]:
        """Lift one throttle when all services are well below the trigger."""
        services = self._pairs.services_on(view.worker)
        low = math.log(self._settings.restore_slowdown)
        if any(excess.value >= low for excess in services.values()):
            return []
        for task, run in worker_state.runs.items():
            if task not in live or run.throttled_at is None or run.share >= 1.0:
                continue
            if now - run.throttled_at < RESTORE_SECONDS or run.restored:
                continue
            if not self._may_restore(run, services):
                continue
            run.share = 1.0
            run.restored = True
            run.throttled_at = None
            kind = model.ReactionKind.RESTORE
            reason = "the services on the worker have recovered"
            return [model.Reaction(kind, view.worker, task, live[task], reason)]
        return []

    def _may_restore(
        self, run: tracking.Run, services: Mapping[ids.ServiceName, interference.Excess]
    ) -> bool:
        """Return whether the services are expected to stay below the trigger."""
        if not self._settings.use_interference:
            return True
        trigger = math.log(self._settings.trigger_slowdown)
        lifted = 1.0 - run.share
        return all(
            excess.value + lifted * self._pairs.estimate(service, run.task.job_class).mean < trigger
            for service, excess in services.items()
        )

    def _remember_reports(self, worker: ids.WorkerId) -> None:
        services = self._pairs.services_on(worker)
        self._seen[worker] = {service: excess.reports for service, excess in services.items()}

    def _refill(self, now: float) -> None:
        passed = max(now - self._tokens_at, 0.0)
        self._tokens_at = max(now, self._tokens_at)
        self._tokens = min(self._tokens + passed * REACTIONS_PER_SECOND, REACTIONS_BURST)
