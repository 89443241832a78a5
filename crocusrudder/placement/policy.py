"""Placement policy of a cell's owner: choice of workers, reactions and failure attribution."""

import random as random_module
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from crocusrudder.core import ids
from crocusrudder.placement import candidates
from crocusrudder.placement import demand
from crocusrudder.placement import errors
from crocusrudder.placement import failure_attribution
from crocusrudder.placement import interference
from crocusrudder.placement import model
from crocusrudder.placement import reactions
from crocusrudder.placement import scoring
from crocusrudder.placement import tracking
from crocusrudder.wire import messages

TRIAL_SECONDS = 45.0
"""Time after which an untested pair may be tried on another worker if it is still untested."""
TRIAL_TASKS = 2
"""Limit on tasks of an untested class beside a service; more may do harm and add no information."""
SLOWDOWNS_MAX_AGE_SECONDS = 30.0
"""Age from which the cached slowdowns of a worker that reports nothing are computed again."""
PREEMPT_AFTER_SECONDS = 60.0
"""Batch runs younger than this are not preempted, so that they make progress."""
USAGE_SECONDS = 15.0
"""Age at which a live run's usage is recorded, as the end of the run would be too late."""
TIE_BREAK = 1e-6
"""Weight of the random part of a score, which decides only between equal workers."""


class PolicySettings(msgspec.Struct, frozen=True):
    """Tunable settings; slowdowns are multiples of a service's p99 without interference."""

    slowdown_limit: float = 1.5
    """Predicted slowdown above which batch waits instead of starting; 0 means no limit."""
    grace_period_seconds: float = 300.0
    """Time after which a waiting job gets one start in spite of the limit.

    At 60 s such starts caused most of the p99 above the baseline (docs/RESULTS.md).
    """
    deviations: float = 1.0
    """Standard deviations added to the predicted slowdown, to allow for its uncertainty."""
    utilisation_weight: float = 0.1
    """Weight of utilisation in the score."""
    reaction: reactions.ReactionSettings = reactions.ReactionSettings()
    use_interference: bool = True
    """Whether predicted interference is part of the score and may delay a start."""

    def __post_init__(self) -> None:
        """Raise ``SettingsError`` for settings that contradict each other."""
        if 0.0 < self.slowdown_limit < 1.0:
            raise errors.SettingsError(
                f"slowdown_limit {self.slowdown_limit} is between 0 and 1",
                "use 1 or more, or 0 for no limit",
            )
        if self.reaction.restore_slowdown >= self.reaction.trigger_slowdown:
            raise errors.SettingsError(
                f"restore_slowdown {self.reaction.restore_slowdown} is not below "
                f"trigger_slowdown {self.reaction.trigger_slowdown}",
                "lower restore_slowdown; otherwise throttles are repeatedly lifted and applied",
            )


class PlacementPolicy:
    """Decide placements and reactions for the workers of an owner's cells.

    ``now`` is in seconds on the owner's monotonic clock. The policy does no input or output; the
    scheduler records in it every start and every end that it decides on or observes.
    """

    def __init__(
        self,
        random: random_module.Random,
        settings: PolicySettings | None = None,
        interference_model: interference.InterferenceModel | None = None,
        demand_model: demand.DemandModel | None = None,
    ) -> None:
        self._random = random
        self._settings = settings or PolicySettings()
        self._interference = interference_model or interference.InterferenceModel()
        self._demand = demand_model or demand.DemandModel()
        self._log_limit = scoring.compute_log_limit(self._settings.slowdown_limit)
        self._attribution = failure_attribution.FailureAttribution()
        self._planner = reactions.ReactionPlanner(self._interference, self._settings.reaction)
        self._workers: dict[ids.WorkerId, tracking.WorkerState] = {}
        self._waiting_since: dict[ids.JobId, float] = {}
        self._claims = candidates.PreemptionClaims()
        self._moved = candidates.MovedTasks()
        self._candidates = candidates.CandidateFilter(self._attribution, self._claims, self._moved)
        self._trials: dict[tuple[ids.ServiceName, str], tuple[ids.WorkerId, float]] = {}

    def choose_worker(
        self, task: model.PlacementTask, workers: Sequence[model.WorkerView], now: float
    ) -> ids.WorkerId | None:
        """Return the worker to start the task on, or None if the task should wait."""
        if not self._attribution.may_start(task.job, now, task.urgent):
            return None
        fitting = self._list_candidates(task, workers, now)
        if not fitting:
            return None
        return self._choose_by_score(task, fitting, now)

    def record_start(self, task: model.PlacementTask, worker: ids.WorkerId, now: float) -> None:
        """Record a start when it is decided, or a run adopted from an earlier owner.

        Until the run appears in the worker's ``runs``, the policy adds its size to the worker's
        reservations.
        """
        worker_state = self._get_state(worker)
        worker_state.add(task, now)
        worker_state.take_token(now)
        self._attribution.record_start(task.task, task.job, worker, now)
        self._waiting_since.pop(task.job, None)
        self._claims.drop(task.task)
        self._record_placement(worker, worker_state, now)
        for service in self._interference.get_excess_by_service(worker):
            if not self._interference.is_tested(service, task.job_class):
                self._trials.setdefault((service, task.job_class), (worker, now))

    def record_report(
        self,
        worker: ids.WorkerId,
        latencies: Mapping[ids.ServiceName, float],
        running_classes: Iterable[str],
        now: float,
    ) -> None:
        """Record a heartbeat: p99 in ms of each service, and the job class of each live run.

        ``latencies`` may be empty; the classes are recorded anyway.
        """
        worker_state = self._get_state(worker)
        exposure = worker_state.compute_reported_exposure(running_classes)
        self._interference.record_placement(worker, exposure, now)
        for service, p99_ms in latencies.items():
            self._interference.record_report(worker, service, p99_ms, now)
        worker_state.invalidate_slowdowns()

    def record_end(
        self,
        task: ids.TaskId,
        worker: ids.WorkerId,
        state: messages.RunState,
        now: float,
        usage: messages.Resources | None = None,
        reason: str = "",
    ) -> None:
        """Record the end of a run; an unknown run is ignored.

        ``state`` is how it ended: SUCCEEDED and FAILED count in the failure attribution,
        CHECKPOINTED, STOPPED and REFUSED do not. ``usage`` is the largest measured usage, if any
        was reported.
        """
        worker_state = self._get_state(worker)
        run = worker_state.remove(task)
        if run is None:
            return
        if usage is not None:
            run.record_usage(usage)
        self._record_outcome(run, worker, state, now, reason)
        if run.move_requested_at is not None:
            self._moved.add(task, worker, now)
        self._record_placement(worker, worker_state, now)

    def propose_reactions(
        self, workers: Sequence[model.WorkerView], now: float
    ) -> list[model.Reaction]:
        """Return the reactions due now; to be called about once a second, and all carried out."""
        self._claims.expire(now)
        self._moved.expire(now)
        self._record_usage(workers, now)

        def has_target(task: model.PlacementTask, source: ids.WorkerId) -> bool:
            others = [view for view in workers if view.worker != source]
            fitting = self._list_candidates(task, others, now)
            return any(self._is_acceptable_target(task, view.worker, now) for view, _ in fitting)

        proposed = self._planner.propose(workers, self._workers, has_target, now)
        for reaction in proposed:
            worker_state = self._workers[reaction.worker]
            self._record_placement(reaction.worker, worker_state, now)
        return proposed

    def propose_preemption(
        self, task: model.PlacementTask, workers: Sequence[model.WorkerView], now: float
    ) -> model.Preemption | None:
        """Return the batch runs to checkpoint so that an urgent task fits, or None.

        The same runs are returned while they end, and their worker takes no ordinary batch.
        """
        self._claims.expire(now)
        claimed = self._claims.find(task.task)
        if claimed is not None:
            return claimed
        claimed_workers = self._claims.workers
        best: model.Preemption | None = None
        for view in workers:
            if view.draining or view.worker in claimed_workers:
                continue
            if not self._attribution.may_start_on(view.worker, now):
                continue
            worker_state = self._get_state(view.worker)
            runs = self._list_preemptible(view, worker_state, now)
            chosen = scoring.choose_preempted(worker_state.compute_free(view), task.size, runs)
            if chosen and (best is None or len(chosen) < len(best.runs)):
                best = model.Preemption(view.worker, chosen)
        if best is not None:
            self._claims.add(task.task, best, now)
        return best

    def estimate_size(
        self,
        job_class: str,
        declared: messages.Resources,
        task: ids.TaskId | None = None,
        job: ids.JobId | None = None,
    ) -> messages.Resources:
        """Return the size to reserve for a task: learned, or declared while samples are too few."""
        return self._demand.estimate_size(job_class, declared, task, job)

    def find_permanent_failure(self, job: ids.JobId) -> model.PermanentFailure | None:
        """Return why the job can never run, or None if that is not established."""
        return self._attribution.find_permanent_failure(job)

    def check_size(
        self, size: messages.Resources, capacities: Iterable[messages.Resources]
    ) -> str | None:
        """Return why a job of this size fits no worker, or None if it fits at least one."""
        return scoring.explain_oversize(size, list(capacities))

    def is_quarantined(self, worker: ids.WorkerId, now: float) -> bool:
        return self._attribution.is_quarantined(worker)

    def release_worker(self, worker: ids.WorkerId) -> None:
        """Discard a worker's failures after an operator has repaired or replaced it."""
        self._attribution.release(worker)

    def remove_worker(self, worker: ids.WorkerId) -> None:
        """Discard the state of a worker that left the cell."""
        self._workers.pop(worker, None)
        self._trials = {pair: trial for pair, trial in self._trials.items() if trial[0] != worker}
        self._interference.remove_worker(worker)
        self._planner.remove_worker(worker)
        self._attribution.remove_worker(worker)

    def remove_job(self, job: ids.JobId) -> None:
        """Discard the state of a job that ended or was cancelled."""
        self._attribution.remove_job(job)
        self._waiting_since.pop(job, None)

    def explain_worker(self, worker: ids.WorkerId, now: float) -> str:
        """Return for an operator why the worker is or is not quarantined."""
        return self._attribution.explain_worker(worker, now)

    def explain_job(self, job: ids.JobId) -> str:
        """Return for an operator the job's failures and whether it can never run."""
        return self._attribution.explain_job(job)

    def dump(self) -> dict[str, object]:
        """Return estimates and failure attribution as JSON types for the state dump."""
        return {
            "interference": self._interference.dump(),
            "demand": self._demand.dump(),
            "blame": self._attribution.dump(),
            "held_jobs": len(self._waiting_since),
        }

    def _get_state(self, worker: ids.WorkerId) -> tracking.WorkerState:
        worker_state = self._workers.get(worker)
        if worker_state is None:
            worker_state = self._workers[worker] = tracking.WorkerState()
        return worker_state

    def _list_candidates(
        self, task: model.PlacementTask, workers: Sequence[model.WorkerView], now: float
    ) -> list[candidates.Candidate]:
        states = [self._get_state(view.worker) for view in workers]
        return self._candidates.select(task, workers, states, now)

    def _choose_by_score(
        self,
        task: model.PlacementTask,
        fitting: list[candidates.Candidate],
        now: float,
    ) -> ids.WorkerId | None:
        may_wait = not task.urgent and self._is_in_grace_period(task.job, now)
        best: ids.WorkerId | None = None
        best_score = float("inf")
        for view, free in fitting:
            utilisation = scoring.compute_utilisation(view.capacity, free, task.size)
            score = (
                self._settings.utilisation_weight * utilisation + TIE_BREAK * self._random.random()
            )
            if self._settings.use_interference:
                impact = self._predict_impact(view.worker, task.job_class, now)
                if may_wait and not self._is_acceptable(task, view.worker, impact, now):
                    continue
                score += impact.cost
            if score < best_score:
                best, best_score = view.worker, score
        if best is None and may_wait:
            self._waiting_since.setdefault(task.job, now)
        return best

    def _is_in_grace_period(self, job: ids.JobId, now: float) -> bool:
        since = self._waiting_since.get(job)
        return since is None or now - since < self._settings.grace_period_seconds

    def _is_acceptable_target(
        self, task: model.PlacementTask, worker: ids.WorkerId, now: float
    ) -> bool:
        """Return whether a task that is moved off another worker may start on this one."""
        if not self._settings.use_interference:
            return True
        impact = self._predict_impact(worker, task.job_class, now)
        return self._is_acceptable(task, worker, impact, now)

    def _is_acceptable(
        self, task: model.PlacementTask, worker: ids.WorkerId, impact: scoring.Impact, now: float
    ) -> bool:
        """Return whether the task may start on the worker before its grace period is over."""
        if impact.worst > self._log_limit:
            return False
        return all(
            self._may_start_trial(service, task.job_class, worker, now)
            for service in impact.untested
        )

    def _may_start_trial(
        self, service: ids.ServiceName, job_class: str, worker: ids.WorkerId, now: float
    ) -> bool:
        """Return whether one more task of an untested pair may start here.

        Removes the record of a trial that is older than ``TRIAL_SECONDS``.
        """
        trial_worker, since = self._trials.get((service, job_class), (worker, now))
        if now - since >= TRIAL_SECONDS:
            del self._trials[(service, job_class)]
            return True
        count = self._get_state(worker).exposure.get(job_class, 0.0)
        return trial_worker == worker and count < TRIAL_TASKS

    def _predict_impact(self, worker: ids.WorkerId, job_class: str, now: float) -> scoring.Impact:
        worker_state = self._get_state(worker)
        if (
            worker_state.slowdowns is None
            or now - worker_state.slowdowns_at >= SLOWDOWNS_MAX_AGE_SECONDS
        ):
            worker_state.invalidate_slowdowns()
            worker_state.slowdowns = scoring.compute_slowdowns(
                self._interference, worker, worker_state.exposure
            )
            worker_state.slowdowns_at = now
        impact = worker_state.impacts.get(job_class)
        if impact is None:
            deviations = self._settings.deviations
            impact = scoring.compute_impact(
                self._interference, worker_state.slowdowns, job_class, deviations
            )
            worker_state.impacts[job_class] = impact
        return impact

    def _record_placement(
        self, worker: ids.WorkerId, worker_state: tracking.WorkerState, now: float
    ) -> None:
        worker_state.invalidate_slowdowns()
        self._interference.record_placement(worker, worker_state.exposure, now)

    def _record_outcome(
        self,
        run: tracking.Run,
        worker: ids.WorkerId,
        state: messages.RunState,
        now: float,
        reason: str,
    ) -> None:
        task = run.task
        succeeded = state is messages.RunState.SUCCEEDED
        memory_exceeded = run.peak_memory_mb >= demand.AT_LIMIT_SHARE * max(task.size.memory_mb, 1)
        if memory_exceeded or (succeeded and not run.is_sampled):
            self._demand.record_usage(task.job_class, task.job, run.peak, task.size)
        if succeeded:
            self._demand.record_run_time(task.job_class, now - run.started)
            self._attribution.record_success(task.task, task.job, worker, now)
        elif state is messages.RunState.FAILED and memory_exceeded:
            self._demand.record_memory_exceeded(task.task, task.size)
            self._attribution.record_memory_exceeded(task.task, task.job, worker, task.size, now)
        elif state is messages.RunState.FAILED:
            self._attribution.record_failure(task.task, task.job, worker, now, reason)
        else:
            self._attribution.record_inconclusive(task.task, task.job, worker)

    def _record_usage(self, workers: Sequence[model.WorkerView], now: float) -> None:
        for view in workers:
            runs = self._get_state(view.worker).runs
            for (task, _), status in view.runs.items():
                run = runs.get(task)
                if run is None:
                    continue
                run.record_usage(status.usage)
                if (
                    not run.is_sampled
                    and run.peak_millicores
                    and now - run.started >= USAGE_SECONDS
                ):
                    run.is_sampled = True
                    sampled = run.task
                    self._demand.record_usage(
                        sampled.job_class, sampled.job, run.peak, sampled.size
                    )

    def _list_preemptible(
        self, view: model.WorkerView, worker_state: tracking.WorkerState, now: float
    ) -> list[tuple[model.RunKey, messages.Resources]]:
        live = tracking.list_live(view)
        return [
            ((task, live[task]), run.task.size)
            for task, run in worker_state.runs.items()
            if task in live
            and not run.task.urgent
            and run.move_requested_at is None
            and now - run.started >= PREEMPT_AFTER_SECONDS
        ]
