"""Reactions to batch runs that slow down a service on their worker.

Order per run: throttle, then checkpoint and move, then evict. Each needs several reports since the
last action on the worker and a cool-down. A throttle is lifted at most once per run.
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
"""Pause between actions on a worker.

Longer than report age plus measurement window, so that reports show the effect of the last action.
"""
EVIDENCE_REPORTS = 3
"""Reports since the last action on the worker that an action needs."""
MIN_THROTTLE_SECONDS = 60.0
"""Time for which a throttle stays in force before it may be lifted."""
MOVE_TIMEOUT_SECONDS = 30.0
"""Time after the request to move a run after which it is evicted if it still runs."""
THROTTLE_SHARE = 0.3
"""Processor share of a throttled run."""
MAX_RUNS_PER_ACTION = 3
INTERFERENCE_MEAN = 0.1
"""Expected logarithm of the slowdown by one task from which a run counts as interfering."""
EVICT_FACTOR = 2.0
"""Multiple of the trigger slowdown from which a throttled run with no target worker is evicted."""
REACTIONS_PER_SECOND = 1.0
REACTIONS_BURST = 6.0
"""Size of the token bucket shared by all workers, so that a burst does not flood the store."""


class ReactionSettings(msgspec.Struct, frozen=True):
    """Slowdown that triggers a reaction and slowdown below which a throttle may be lifted.

    Both are multiples of a service's p99 without interference; 1 means no slowdown.
    """

    trigger_slowdown: float = 1.6
    restore_slowdown: float = 1.2
    use_interference: bool = True
    """Without it, the largest runs are assumed to interfere."""


class ReactionPlanner:
    """Propose reactions from the smoothed excess of each service on each worker."""

    def __init__(
        self, interference_model: interference.InterferenceModel, settings: ReactionSettings
    ) -> None:
        self._interference = interference_model
        self._settings = settings
        self._tokens = REACTIONS_BURST
        self._tokens_at = float("-inf")
        self._reports_at_last_action: dict[ids.WorkerId, dict[ids.ServiceName, int]] = {}
        """Number of reports of each service when the worker was last acted on."""

    def propose(
        self,
        views: Sequence[model.WorkerView],
        states: Mapping[ids.WorkerId, tracking.WorkerState],
        has_target: Callable[[model.PlacementTask, ids.WorkerId], bool],
        now: float,
    ) -> list[model.Reaction]:
        """Return the reactions due now.

        ``has_target`` returns whether a worker other than the given one may take the task.
        """
        self._refill(now)
        reactions: list[model.Reaction] = []
        for view in views:
            worker_state = states.get(view.worker)
            if worker_state is None or not worker_state.runs:
                continue
            proposed = self._propose_for_worker(view, worker_state, has_target, now)
            if proposed:
                worker_state.last_action_at = now
                self._record_report_counts(view.worker)
                self._tokens -= len(proposed)
                reactions.extend(proposed)
        return reactions

    def remove_worker(self, worker: ids.WorkerId) -> None:
        self._reports_at_last_action.pop(worker, None)

    def _propose_for_worker(
        self,
        view: model.WorkerView,
        worker_state: tracking.WorkerState,
        has_target: Callable[[model.PlacementTask, ids.WorkerId], bool],
        now: float,
    ) -> list[model.Reaction]:
        if now - worker_state.last_action_at < COOLDOWN_SECONDS or self._tokens < 1.0:
            return []
        live = tracking.list_live(view)
        worst, excess = self._find_worst(view.worker)
        if worst is None:
            return []
        if excess < math.log(self._settings.trigger_slowdown):
            return self._restore(view, worker_state, live, now)
        interfering = self._find_interfering_runs(worst, worker_state, live)
        limit = min(MAX_RUNS_PER_ACTION, int(self._tokens))
        reason = f"p99 of {worst} is {math.exp(excess):.1f} times its baseline"
        reactions = []
        for run in interfering[:limit]:
            reaction = self._escalate(view, run, live, excess, has_target, reason, now)
            if reaction is not None:
                reactions.append(reaction)
        return reactions

    def _find_worst(self, worker: ids.WorkerId) -> tuple[ids.ServiceName | None, float]:
        """Return the service with the largest excess and that excess.

        Only services with ``EVIDENCE_REPORTS`` since the last action on the worker count; the
        service is None if there is none.
        """
        old_reports = self._reports_at_last_action.get(worker, {})
        worst: ids.ServiceName | None = None
        largest = -math.inf
        for service, excess in self._interference.get_excess_by_service(worker).items():
            enough = excess.reports - old_reports.get(service, 0) >= EVIDENCE_REPORTS
            if enough and excess.value > largest:
                worst, largest = service, excess.value
        return worst, largest

    def _find_interfering_runs(
        self,
        service: ids.ServiceName,
        worker_state: tracking.WorkerState,
        live: Mapping[ids.TaskId, ids.TaskEpoch],
    ) -> list[tracking.Run]:
        """Return the runs to act on, the most interfering first; urgent runs are left out."""
        runs = [
            run for task, run in worker_state.runs.items() if task in live and not run.task.urgent
        ]
        if not self._settings.use_interference:
            return sorted(runs, key=lambda run: (-run.task.size.millicores, run.task.task))
        scored = []
        for run in runs:
            mean, deviation, _ = self._interference.estimate(service, run.task.job_class)
            if mean >= INTERFERENCE_MEAN and mean >= deviation:
                scored.append((-mean * run.share, run.task.task, run))
        return [run for _, _, run in sorted(scored, key=lambda entry: entry[:2])]

    def _escalate(
        self,
        view: model.WorkerView,
        run: tracking.Run,
        live: Mapping[ids.TaskId, ids.TaskEpoch],
        excess: float,
        has_target: Callable[[model.PlacementTask, ids.WorkerId], bool],
        reason: str,
        now: float,
    ) -> model.Reaction | None:
        kind = self._choose_kind(run, view.worker, excess, has_target, now)
        if kind is None:
            return None
        task = run.task.task
        share = 1.0
        if kind is model.ReactionKind.THROTTLE:
            share = THROTTLE_SHARE
            run.share = share
            run.throttled_at = now
        elif kind is model.ReactionKind.MOVE:
            run.move_requested_at = now
        return model.Reaction(kind, view.worker, task, live[task], reason, share)

    def _choose_kind(
        self,
        run: tracking.Run,
        worker: ids.WorkerId,
        excess: float,
        has_target: Callable[[model.PlacementTask, ids.WorkerId], bool],
        now: float,
    ) -> model.ReactionKind | None:
        if run.move_requested_at is not None:
            overdue = now - run.move_requested_at >= MOVE_TIMEOUT_SECONDS
            return model.ReactionKind.EVICT if overdue else None
        if run.share >= 1.0 and not run.is_restored:
            return model.ReactionKind.THROTTLE
        if has_target(run.task, worker):
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
        """Lift one throttle if all services are below ``restore_slowdown``."""
        services = self._interference.get_excess_by_service(view.worker)
        low = math.log(self._settings.restore_slowdown)
        if any(excess.value >= low for excess in services.values()):
            return []
        for task, run in worker_state.runs.items():
            if task not in live or run.throttled_at is None or run.share >= 1.0:
                continue
            if now - run.throttled_at < MIN_THROTTLE_SECONDS or run.is_restored:
                continue
            if not self._may_restore(run, services):
                continue
            run.share = 1.0
            run.is_restored = True
            run.throttled_at = None
            kind = model.ReactionKind.RESTORE
            reason = "the services on the worker have recovered"
            return [model.Reaction(kind, view.worker, task, live[task], reason)]
        return []

    def _may_restore(
        self, run: tracking.Run, services: Mapping[ids.ServiceName, interference.Excess]
    ) -> bool:
        """Return whether all services are expected to stay below the trigger once unthrottled."""
        if not self._settings.use_interference:
            return True
        trigger = math.log(self._settings.trigger_slowdown)
        lifted = 1.0 - run.share
        return all(
            excess.value + lifted * self._interference.estimate(service, run.task.job_class).mean
            < trigger
            for service, excess in services.items()
        )

    def _record_report_counts(self, worker: ids.WorkerId) -> None:
        services = self._interference.get_excess_by_service(worker)
        self._reports_at_last_action[worker] = {
            service: excess.reports for service, excess in services.items()
        }

    def _refill(self, now: float) -> None:
        passed = max(now - self._tokens_at, 0.0)
        self._tokens_at = max(now, self._tokens_at)
        self._tokens = min(self._tokens + passed * REACTIONS_PER_SECOND, REACTIONS_BURST)
