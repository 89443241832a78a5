"""Decide which tasks start next and where."""

import itertools
from collections.abc import Mapping

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.workflows import candidates
from crocusrudder.workflows import errors
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows import moves
from crocusrudder.workflows import placement
from crocusrudder.workflows import throttling
from crocusrudder.workflows import trials
from crocusrudder.workflows import waiting

START_EARLY_SECONDS = 0.0
"""How long before its due time an occurrence may start; the requirement is at most 0.25 s."""


class Planner:
    """Assign pending tasks to workers."""

    def __init__(
        self,
        epoch: model.OwnerEpoch,
        jobs: job_registry.JobRegistry,
        version: int,
        throttle_controller: throttling.ThrottleController,
    ) -> None:
        self._epoch = epoch
        self._job_registry = jobs
        self._version = version
        self._pool = placement.CandidatePool(throttle_controller)
        self._moves = moves.MovePlanner(self._pool, throttle_controller)
        self._trials = trials.TrialPlanner(self._pool)
        self._run_numbers = itertools.count(epoch * job_registry.RUNS_PER_EPOCH + 1)
        self._queues: dict[model.QueueName, model.Queue] = {}
        self._logged: list[effects.LogChange] = []

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Apply a newer configuration; removed queues are retained for their remaining jobs."""
        self._queues |= {queue.name: queue for queue in configuration.queues}

    def drain_log(self) -> list[effects.LogChange]:
        """Return the decisions logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged

    def plan(
        self,
        views: Mapping[ids.ProcessId, fleet.AgentView],
        now: float,
        wall_time: float,
        is_reconciled: bool,
    ) -> list[moves.Move]:
        """Assign all tasks that can start now; return the paused runs to move.

        Until ``is_reconciled``, jobs stored before the takeover wait, as their tasks may be running
        on a worker that has not reported yet.
        """
        self._pool.refresh(views, now)
        self._trials.begin(views)
        self._moves.begin(views, now)
        selected = []
        for record in self._sort_jobs(wall_time):
            queue = self._queues.get(record.job.queue)
            if queue is None:
                continue
            selected += self._moves.select(record, queue.service, now)
            if record.needs_planning and (is_reconciled or record.version > self._version):
                self._plan_job(record, queue, now, wall_time)
        return selected

    def _plan_job(
        self, record: job_registry.JobRecord, queue: model.Queue, now: float, wall_time: float
    ) -> None:
        record.needs_planning = bool(record.job.occurrences)
        try:
            for stage in record.iterate_ready(wall_time, START_EARLY_SECONDS):
                self._plan_stage(stage, queue.service, now)
        except Exception as error:
            # One job must not keep all others, and each later owner, from being planned.
            fields = {"job": record.job.job_id, "error": repr(error)}
            code = errors.PlanningError.code
            self._logged.append(effects.LogChange("job_not_planned", {"code": code, **fields}))

    def _sort_jobs(self, wall_time: float) -> list[job_registry.JobRecord]:
        """Return the jobs with tasks to place or move in the order in which they get room."""

        def rank(record: job_registry.JobRecord) -> tuple[float, ...]:
            return waiting.compute_rank(record, self._queues.get(record.job.queue), wall_time)

        active = self._job_registry.active
        return sorted(
            (r for job, r in active.items() if r.needs_planning or self._moves.has_paused(job)),
            key=rank,
        )

    def _plan_stage(
        self,
        stage: job_registry.StageRecord,
        service: ids.ServiceName,
        now: float,
    ) -> None:
        pending = [task for task in stage.tasks if task.phase is job_registry.TaskPhase.PENDING]
        if stage.spec.gang:
            if len(pending) == len(stage.tasks):
                self._plan_gang(stage, service, now)
        else:
            self._plan_tasks(pending, service, now)
        if any(task.phase is job_registry.TaskPhase.PENDING for task in pending):
            stage.record.needs_planning = True

    def _plan_tasks(
        self, pending: list[job_registry.Task], service: ids.ServiceName, now: float
    ) -> None:
        for task in pending:
            if now < task.not_before:
                continue
            self._moves.release_room(task)
            if task.record.needs_trial(task):
                candidate = self._trials.choose(task, service, now)
                if candidate is None:
                    continue
            else:
                candidate = self._pool.choose(task, service)
                if candidate is None:
                    return
            self._assign(task, candidate, next(self._run_numbers), now)
            self._trials.record_assignment(task, candidate, now)

    def _plan_gang(
        self,
        stage: job_registry.StageRecord,
        service: ids.ServiceName,
        now: float,
    ) -> None:
        """Assign all members of the gang or none."""
        if any(now < task.not_before for task in stage.tasks):
            return
        if not self._can_fit(stage, service):
            return
        run = next(self._run_numbers)
        checkpoint = max(task.checkpoint for task in stage.tasks)
        placed: list[tuple[job_registry.Task, candidates.CandidateWorker]] = []
        for task in stage.tasks:
            candidate = self._pool.choose(task, service)
            if candidate is None:
                for member, member_candidate in placed:
                    self._undo_assignment(member, member_candidate)
                return
            task.checkpoint = checkpoint
            self._assign(task, candidate, run, now)
            placed.append((task, candidate))
        for task, candidate in placed:
            self._trials.record_assignment(task, candidate, now)

    def _can_fit(self, stage: job_registry.StageRecord, service: ids.ServiceName) -> bool:
        """Return False if a gang certainly has no room, which saves placing and undoing it."""
        demand = stage.spec.demand
        if not (demand.millicores or demand.memory_mb or demand.accelerators):
            return True
        return self._pool.count_fitting(stage.spec, service) >= len(stage.tasks)

    def _assign(
        self, task: job_registry.Task, candidate: candidates.CandidateWorker, run: int, now: float
    ) -> None:
        view = candidate.view
        assignment = fleet.Assignment(task.name, run, task, fleet.AssignmentPhase.ORDERED)
        assignment.checkpoint = task.checkpoint
        view.add_assignment(assignment)
        view.has_updates = True
        self._pool.reserve(candidate, task.stage.spec)
        task.phase = job_registry.TaskPhase.ASSIGNED
        task.agent = view.agent
        task.run = run
        task.assigned_at = now
        task.progressed_at = now
        task.percent = 0
        fields = {
            "epoch": self._epoch,
            "task": task.name,
            "run": run,
            "agent": view.agent,
            "worker": view.worker.worker,
            "report_age_s": round(now - view.received_at, 3),
            "free_millicores": candidate.millicores,
            "fill_millicores": candidate.best_effort_millicores,
            "resumed": bool(task.checkpoint),
        }
        self._logged.append(effects.LogChange("run_assigned", fields))

    def _undo_assignment(
        self, task: job_registry.Task, candidate: candidates.CandidateWorker
    ) -> None:
        """Remove an assignment for which no order has been sent."""
        candidate.view.remove_assignment(candidate.view.assignments[(task.name, task.run)])
        self._pool.release(candidate, task.stage.spec)
        task.phase = job_registry.TaskPhase.PENDING
        task.agent = None
