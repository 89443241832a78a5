"""Choose runs to stop for tasks of urgent jobs that would otherwise miss their objective.

Load pattern: long tasks of a less urgent queue take all room, and then short jobs arrive whose
objective is shorter than what is left of the runs. In the order of waiting the urgent jobs come
first, but that is no help until a run ends.

Only queues of the highest priority preempt, and only those of a lower one are preempted, so two
jobs never stop each other's runs. A task is preempted once at most.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.workflows import crash_history
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import candidates
from crocusrudder.workflows.decisions import constraints
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import locality
from crocusrudder.workflows.decisions import moves
from crocusrudder.workflows.decisions import placement
from crocusrudder.workflows.decisions import waiting

STOP_SECONDS = 1.0
"""Time until the room of a stopped run is free: a stop takes 0.9 s at most."""
HOLD_SECONDS = 1.5
"""Time after which a task for which runs were stopped may have others stopped; a stop and the
report of its end take about 1 s."""
RESUME_SECONDS = 1.0
"""Work that stopping a run with checkpoints costs; it saves at the stop and is restored later."""
RECHECK_SECONDS = 0.5
"""Time after which a task for which no run was stopped is examined again."""
MAX_SEARCHES = 2
"""Tasks examined in one plan; each costs an estimate for each run on the workers of a service."""
PREEMPTED = "run_preempted"
"""Name of the log event."""

QueueTable = dict[model.QueueName, model.Queue]


class _Victim(NamedTuple):
    """A run that may be stopped; sorted by what its caller loses."""

    makes_late: bool
    """Whether its job could still be in time."""
    lost: float
    """Work that is thrown away, in millicore seconds."""
    run: fleet.Assignment


class _Choice(NamedTuple):
    late_jobs: int
    lost: float
    index: int
    view: fleet.AgentView
    victims: tuple[fleet.Assignment, ...]


class PreemptionPlanner:
    """Select the runs that urgent tasks without room cause to be stopped."""

    def __init__(
        self,
        epoch: model.OwnerEpoch,
        pool: placement.CandidatePool,
        duration_model: durations.DurationModel,
        queues: QueueTable,
    ) -> None:
        self._epoch = epoch
        self._pool = pool
        self._duration_model = duration_model
        self._queues = queues
        self._served: dict[job_registry.Task, tuple[ids.ProcessId | None, float]] = {}
        """Worker whose room a task waits for, if any, and until when it is not examined again."""
        self._started_at = math.inf
        """When this owner made its first plan."""
        self._searches = 0
        self._preempted: set[job_registry.Task] = set()
        self._claimed: set[ids.ProcessId] = set()
        """Workers whose next free room a task waits for already."""
        self._logged: list[effects.LogChange] = []

    def begin_plan(self, now: float) -> None:
        """Begin a plan: forget the stops that are over and the tasks that have ended."""
        self._started_at = min(self._started_at, now)
        self._served = {
            task: served
            for task, served in self._served.items()
            if now < served[1] and task.phase is job_registry.TaskPhase.PENDING
        }
        self._preempted = {task for task in self._preempted if not _is_over(task)}
        self._claimed = {agent for agent, _ in self._served.values() if agent is not None}
        self._searches = 0

    def drain_log(self) -> list[effects.LogChange]:
        """Return the decisions logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged

    def select(
        self, stage: job_registry.StageRecord, queue: model.Queue, now: float, wall_time: float
    ) -> list[moves.Move]:
        """Return the runs to stop for the tasks of a stage that found no room in this plan."""
        slack = compute_slack(stage.record, queue, wall_time)
        if not _may_preempt(stage, queue) or slack is None or slack < STOP_SECONDS:
            return []
        if self._searches >= MAX_SEARCHES:
            return []
        usable = self._pool.list_usable(queue.service)
        selected: list[moves.Move] = []
        for task in stage.tasks:
            is_examined = task in self._served or self._searches >= MAX_SEARCHES
            if _is_waiting(task, now) and not is_examined:
                self._searches += 1
                selected += self._search(task, queue, usable, slack, now, wall_time)
        return selected

    def _search(
        self,
        task: job_registry.Task,
        queue: model.Queue,
        usable: Iterable[candidates.CandidateWorker],
        slack: float,
        now: float,
        wall_time: float,
    ) -> list[moves.Move]:
        fitting = [
            candidate
            for candidate in usable
            if candidate.view.agent not in self._claimed
            and constraints.allows(candidate, task.stage)
        ]
        waits = ((self._predict_wait(c, task.stage.spec, now), c.index, c) for c in fitting)
        wait, _, first = min(waits, default=(math.inf, 0, None))
        if wait <= slack:
            self._claimed.add(first.view.agent)
            self._served[task] = (first.view.agent, now + RECHECK_SECONDS)
            return []
        choices = (self._choose_victims(c, task, queue, wall_time, now) for c in fitting)
        choice = min((c for c in choices if c is not None), default=None, key=lambda c: c[:3])
        if choice is None:
            self._served[task] = (None, now + RECHECK_SECONDS)
            return []
        self._record(task, choice, now)
        return [moves.Move(choice.view, run) for run in choice.victims]

    def _choose_victims(
        self,
        candidate: candidates.CandidateWorker,
        task: job_registry.Task,
        queue: model.Queue,
        wall_time: float,
        now: float,
    ) -> _Choice | None:
        """Return the runs of a worker to stop; None if they lose more work than the task has."""
        spec = task.stage.spec
        missing = _Missing.compute(candidate, spec)
        victims = sorted(
            self._iterate_victims(candidate.view, queue, wall_time, now), key=lambda v: v[:2]
        )
        chosen: list[_Victim] = []
        for victim in victims:
            if missing.is_met:
                break
            reduced = missing.reduce(victim.run.task.stage.spec)
            if reduced != missing:
                chosen.append(victim)
                missing = reduced
        lost = sum(victim.lost for victim in chosen)
        if not missing.is_met or lost > spec.demand.millicores * spec.estimated_seconds:
            return None
        late_jobs = len({v.run.task.record.job.job_id for v in chosen if v.makes_late})
        runs = tuple(victim.run for victim in chosen)
        return _Choice(late_jobs, lost, candidate.index, candidate.view, runs)

    def _iterate_victims(
        self, view: fleet.AgentView, queue: model.Queue, wall_time: float, now: float
    ) -> Iterable[_Victim]:
        for run in view.assignments.values():
            task = run.task
            if run.phase is not fleet.AssignmentPhase.CONFIRMED or task is None:
                continue
            other = self._queues.get(task.record.job.queue)
            spec = task.stage.spec
            is_exempt = spec.long_running or spec.target_ms or spec.gang
            if is_exempt or other is None or other.priority <= queue.priority:
                continue
            if task in self._preempted or not task.is_running:
                continue
            slack = compute_slack(task.record, other, wall_time)
            seconds = RESUME_SECONDS if spec.checkpoints else now - task.assigned_at
            yield _Victim(slack is not None and slack >= 0, seconds * spec.demand.millicores, run)

    def _predict_wait(
        self, candidate: candidates.CandidateWorker, spec: model.Stage, now: float
    ) -> float:
        """Return after how many seconds the ends of a worker's runs make room for a task."""
        missing = _Missing.compute(candidate, spec)
        runs = [run for run in candidate.view.assignments.values() if run.task is not None]
        ends = sorted(
            ((self._predict_remaining(run, now), run) for run in runs), key=lambda end: end[0]
        )
        for seconds, run in ends:
            missing = missing.reduce(run.task.stage.spec)
            if missing.is_met:
                return seconds
        return math.inf

    def _predict_remaining(self, run: fleet.Assignment, now: float) -> float:
        if run.phase is fleet.AssignmentPhase.STOPPING:
            return STOP_SECONDS
        estimate = self._duration_model.estimate(run.task.stage)
        expected = estimate.seconds
        if run.task.stage.spec.long_running or not expected:
            return math.inf
        age = now - (self._started_at if run.is_adopted else run.task.assigned_at)
        place = locality.estimate_remaining(expected, estimate.deviation, age, 0, 0.0)
        if place.seconds == math.inf:
            # Such an estimate would promise room at any moment, for as long as the run lasts.
            return math.inf
        if run.is_adopted:
            # This owner does not know when the run was ordered.
            return expected * (1.0 - min(run.task.percent, 100) / 100.0)
        return max(expected - (now - run.task.assigned_at), 0.0)

    def _record(self, task: job_registry.Task, choice: _Choice, now: float) -> None:
        self._served[task] = (choice.view.agent, now + HOLD_SECONDS)
        self._claimed.add(choice.view.agent)
        for run in choice.victims:
            self._preempted.add(run.task)
            fields = {"task": run.task_name, "run": run.run, "agent": choice.view.agent}
            fields |= {"preempted_by": task.name, "lost_core_s": round(choice.lost / 1_000, 2)}
            self._logged.append(effects.LogChange(PREEMPTED, {"epoch": self._epoch, **fields}))


class _Missing(NamedTuple):
    """Capacity that a worker lacks for a task; at most 0 where it has enough."""

    millicores: float
    memory_mb: int
    accelerators: int

    @property
    def is_met(self) -> bool:
        return max(self) <= 0

    @classmethod
    def compute(cls, candidate: candidates.CandidateWorker, spec: model.Stage) -> "_Missing":
        demand = spec.demand
        return cls(
            demand.millicores - candidate.millicores,
            demand.memory_mb - candidate.memory_mb,
            demand.accelerators - candidate.accelerators,
        )

    def reduce(self, spec: model.Stage) -> "_Missing":
        """Return what is missing after the end of a run; unchanged if the run does not help."""
        # Best-effort runs reserve no processors.
        freed = (
            0 if spec.best_effort else spec.demand.millicores,
            spec.demand.memory_mb,
            spec.demand.accelerators,
        )
        if not any(part > 0 and free for part, free in zip(self, freed, strict=True)):
            return self
        return _Missing(*(part - free for part, free in zip(self, freed, strict=True)))


def compute_slack(
    record: job_registry.JobRecord, queue: model.Queue, wall_time: float
) -> float | None:
    """Return for how many seconds a job may wait and be in time; None without an objective."""
    job = record.job
    if job.occurrences or any(s.long_running or s.estimated_seconds <= 0 for s in job.stages):
        return None
    remaining = waiting.compute_chain_seconds(job.stages, record.list_completed_stages(0))
    objective = queue.stretch * waiting.compute_chain_seconds(job.stages) + queue.objective_seconds
    return objective - (wall_time - job.accepted_at) - remaining


def _may_preempt(stage: job_registry.StageRecord, queue: model.Queue) -> bool:
    is_excluded = stage.spec.gang or stage.spec.best_effort
    return queue.priority == model.PREEMPTING_PRIORITY and not is_excluded


def _is_waiting(task: job_registry.Task, now: float) -> bool:
    is_due = task.phase is job_registry.TaskPhase.PENDING and now >= task.not_before
    return is_due and not crash_history.needs_trial(task)


def _is_over(task: job_registry.Task) -> bool:
    return task.phase is job_registry.TaskPhase.DONE or task.record.is_final
