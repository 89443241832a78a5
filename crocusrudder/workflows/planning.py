"""Decide which tasks start next and where."""

import functools
import itertools
import math
import weakref
from collections.abc import Mapping

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.workflows import crash_history
from crocusrudder.workflows import errors
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows import step_guard
from crocusrudder.workflows import waiting_reasons
from crocusrudder.workflows.decisions import candidates
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import moves
from crocusrudder.workflows.decisions import near_places
from crocusrudder.workflows.decisions import placement
from crocusrudder.workflows.decisions import plan_budget
from crocusrudder.workflows.decisions import preemption
from crocusrudder.workflows.decisions import starvation
from crocusrudder.workflows.decisions import throttling
from crocusrudder.workflows.decisions import trials
from crocusrudder.workflows.decisions import waiting

START_EARLY_SECONDS = 0.0
"""How long before its due time an occurrence may start; the requirement is at most 0.25 s."""

MIN_RUNS_PER_LIMIT = 32
"""Runs on a worker from which CPU shares are not lowered for each assigned run by itself."""

ERROR_RETRY_SECONDS = 1.0
"""Delay before a job is planned again after an unexpected error, which is logged each time."""


class Planner:
    """Assign pending tasks to workers."""

    def __init__(
        self,
        epoch: model.OwnerEpoch,
        jobs: job_registry.JobRegistry,
        version: int,
        throttle_controller: throttling.ThrottleController,
        duration_model: durations.DurationModel | None = None,
        far_factor: float = 1.0,
        learned_order: bool = False,
        guard: step_guard.StepGuard | None = None,
    ) -> None:
        self._epoch = epoch
        self._guard = guard or step_guard.StepGuard()
        self._job_registry = jobs
        self._version = version
        self._throttle_controller = throttle_controller
        self._duration_model = duration_model or durations.DurationModel()
        self._forecast = waiting.Forecast(self._duration_model)
        self._has_learned_order = learned_order
        self._pool = placement.CandidatePool(throttle_controller)
        self._searches = starvation.SearchQueue()
        self._moves = moves.MovePlanner(self._pool, throttle_controller)
        self._trials = trials.TrialPlanner(self._pool)
        self._near_planner = near_places.NearPlanner(
            self._pool, self._duration_model, far_factor, epoch
        )
        self._run_numbers = itertools.count(epoch * job_registry.RUNS_PER_EPOCH + 1)
        self._queues: dict[model.QueueName, model.Queue] = {}
        self._preemptions = preemption.PreemptionPlanner(
            epoch, self._pool, self._duration_model, self._queues
        )
        self._budget = plan_budget.PlanBudget()
        self._limited_runs: dict[ids.ProcessId, int] = {}
        """Number of runs for which CPU shares were last lowered in this plan, by agent."""
        self._unlimited: dict[ids.ProcessId, fleet.AgentView] = {}
        """Workers with runs for which CPU shares have yet to be lowered."""
        self._is_reconciled = False
        self._unranked: weakref.WeakSet[job_registry.JobRecord] = weakref.WeakSet()
        """Jobs whose outlook could not be determined, which has been logged."""
        self._left_pending: set[job_registry.StageRecord] = set()
        """Stages that the plans of this round considered and of which they left tasks without a
        worker."""
        self._tried: weakref.WeakSet[job_registry.JobRecord] = weakref.WeakSet()
        """Jobs that have had their turn in this round. A round is a plan, with those that follow
        it as long as they have no time for all jobs."""
        self._waiting_monitor = waiting_reasons.WaitingMonitor(epoch)
        self._logged: list[effects.LogChange] = []

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Apply a newer configuration; removed queues are retained for their remaining jobs."""
        self._queues |= {queue.name: queue for queue in configuration.queues}

    def add_queue(self, queue: model.Queue) -> None:
        """Add a job's queue that no configuration known here has; a known one is left alone."""
        self._queues.setdefault(queue.name, queue)

    def log_end(self, record: job_registry.JobRecord) -> None:
        """Log whether a job that has reached a final state was in time."""
        queue = self._queues.get(record.job.queue)
        try:
            end = waiting.assess_end(record, queue, self._forecast) if queue else None
        except Exception as error:
            self._log_unranked(record, error)
            return
        if end is not None:
            elapsed = round(record.progress.finished_at - record.job.accepted_at, 3)
            self._log_outlook(waiting.JOB_COMPLETED, record, end, elapsed_s=elapsed)

    def _log_unranked(self, record: job_registry.JobRecord, error: Exception) -> None:
        """Log once that the outlook of a job cannot be determined, which must not stop others."""
        if record not in self._unranked:
            self._unranked.add(record)
            fields = {"job": record.job.job_id, "error": repr(error)}
            fields = {"epoch": self._epoch, "code": errors.PlanningError.code, **fields}
            self._logged.append(effects.LogChange(waiting.RANK_FAILED, fields))

    def _log_outlook(
        self,
        event: str,
        record: job_registry.JobRecord,
        outlook: waiting.Outlook,
        **fields: object,
    ) -> None:
        job = {"job": record.job.job_id, "queue": record.job.queue}
        fields = {"epoch": self._epoch, **job, "outlook": outlook.name.lower(), **fields}
        self._logged.append(effects.LogChange(event, fields))

    def drain_log(self) -> list[effects.LogChange]:
        """Return the decisions logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged + self._preemptions.drain_log()

    def plan(
        self,
        views: Mapping[ids.ProcessId, fleet.AgentView],
        now: float,
        wall_time: float,
        is_reconciled: bool,
    ) -> list[moves.Move]:
        """Assign all tasks that can start now; return the runs to move or to preempt.

        Until ``is_reconciled``, jobs stored before the takeover wait, as their tasks may be running
        on a worker that has not reported yet.
        """
        self._pool.refresh(views, now)
        self._searches.begin_plan()
        self._trials.begin_plan(views, now)
        self._budget.begin_plan()
        self._limited_runs.clear()
        self._moves.begin(views, now)
        self._preemptions.begin_plan(now)
        self._is_reconciled = is_reconciled
        limited = {stage.record.job.queue for stage in self._left_pending}
        active = self._job_registry.active.values()
        forecast = functools.partial(self._forecast.begin_plan, active, limited, wall_time)
        self._guard.run("forecast", now, forecast, None)
        if not self._tried:
            self._left_pending.clear()
        selected = []
        jobs = [
            (record, queue)
            for record in self._sort_jobs(wall_time)
            if record not in self._tried
            and (queue := self._queues.get(record.job.queue)) is not None
        ]
        plannable = ((r, queue) for r, queue in jobs if self._find_job_obstacle(r, now) is None)
        find_near = functools.partial(self._near_planner.begin_plan, plannable, now, wall_time)
        left_out = self._guard.run("near_places", now, find_near, ())
        jobs = [job for job in jobs if job[0] not in left_out]
        for _, group in itertools.groupby(jobs, lambda job: job[1].priority):
            selected += self._plan_in_turns(list(group), now, wall_time)
        deferred = self._near_planner.take_deferred()
        selected += self._plan_in_turns(deferred, now, wall_time, may_move=False)
        if not left_out and not self._is_job_untried(jobs, now):
            self._tried.clear()
        self._limit_remaining(now)
        finish_near = functools.partial(self._near_planner.finish_plan, now)
        self._logged += self._guard.run("near_places_log", now, finish_near, [])
        self._logged += self._forecast.drain_log()
        explain = functools.partial(
            self._waiting_monitor.check, active, now, wall_time, self._explain
        )
        self._logged += self._guard.run("waiting_reasons", now, explain, [])
        return selected

    def _plan_in_turns(
        self,
        jobs: list[tuple[job_registry.JobRecord, model.Queue]],
        now: float,
        wall_time: float,
        may_move: bool = True,
    ) -> list[moves.Move]:
        """Plan jobs of equal priority, again and again while tasks of some are left."""
        selected: list[moves.Move] = []
        while jobs and not self._budget.is_spent:
            unfinished = []
            for record, queue in jobs:
                if may_move:
                    selected += self._moves.select(record, queue.service, now)
                if self._budget.is_spent or self._find_job_obstacle(record, now) is not None:
                    continue
                self._budget.begin_turn()
                selected += self._plan_job(record, queue, now, wall_time)
                if not record.progress.crashes:
                    # A task that awaits its trial has to be considered by each plan.
                    self._tried.add(record)
                if self._budget.is_turn_over:
                    unfinished.append((record, queue))
            jobs = unfinished
            may_move = False
        return selected

    def _is_job_untried(
        self, jobs: list[tuple[job_registry.JobRecord, model.Queue]], now: float
    ) -> bool:
        """Return whether the plan had no time for a job, so that the next one goes on there."""
        return self._budget.is_search_over and any(
            record not in self._tried and self._find_job_obstacle(record, now) is None
            for record, _ in jobs
        )

    def _find_job_obstacle(
        self, record: job_registry.JobRecord, now: float
    ) -> waiting_reasons.WaitReason | None:
        """Return why a job must not be planned; None if it may be."""
        queue = self._queues.get(record.job.queue)
        if queue is None:
            return waiting_reasons.WaitReason.QUEUE_UNKNOWN
        if queue.requires_tickets:
            # Each start without a ticket would be rejected.
            return waiting_reasons.WaitReason.TICKETS
        if not record.needs_planning:
            return waiting_reasons.WaitReason.NOT_PLANNED
        if not self._is_reconciled and record.version <= self._version:
            return waiting_reasons.WaitReason.NOT_RECONCILED
        if now < record.plan_not_before:
            return waiting_reasons.WaitReason.PLANNING_ERROR
        return None

    def _explain(self, stage: job_registry.StageRecord, now: float) -> waiting_reasons.Explanation:
        """Explain why the last plan placed no task of a ready stage."""
        assigned = stage.list_assigned()
        if assigned and not stage.record.is_running:
            counts = self._pool.explain_runs(assigned, now)
            return waiting_reasons.Explanation(max(counts, key=counts.__getitem__), {})
        queue = self._queues.get(stage.record.job.queue)
        reason = self._find_job_obstacle(stage.record, now)
        if reason is None:
            reason = _find_stage_obstacle(stage, stage.list_pending(), now)
        if reason is None and stage not in self._left_pending:
            reason = waiting_reasons.WaitReason.NOT_PLANNED
        if reason is None and self._near_planner.is_waiting(stage):
            reason = waiting_reasons.WaitReason.NEAR_PLACE
        if reason is None and stage.spec.gang:
            reason = waiting_reasons.WaitReason.GANG_WITHOUT_ROOM
        workers = self._pool.explain(stage, queue.service, now) if queue else {}
        return waiting_reasons.Explanation(reason, workers)

    def _plan_job(
        self, record: job_registry.JobRecord, queue: model.Queue, now: float, wall_time: float
    ) -> list[moves.Move]:
        """Assign what finds room; return the runs to stop for tasks that do not."""
        record.needs_planning = bool(record.job.occurrences)
        selected: list[moves.Move] = []
        # Numbers of stages for which this plan has found no worker, whatever the occurrence.
        without_worker: set[int] = set()
        may_open = not self._near_planner.decides(record)
        created = record.created_tasks
        try:
            for stage in record.iterate_ready(wall_time, START_EARLY_SECONDS, may_open):
                if self._budget.is_turn_over:
                    record.needs_planning = True
                    break
                if stage.number in without_worker and stage.is_untouched:
                    continue
                self._plan_stage(stage, queue.service, now)
                self._budget.record_states(record.created_tasks - created)
                created = record.created_tasks
                if self._has_found_none(stage, now):
                    without_worker.add(stage.number)
                if stage in self._left_pending:
                    selected += self._preemptions.select(stage, queue, now, wall_time)
        except Exception as error:
            # One job must not keep all others, and each later owner, from being planned.
            record.needs_planning = True
            record.plan_not_before = now + ERROR_RETRY_SECONDS
            fields = {"job": record.job.job_id, "error": repr(error)}
            code = errors.PlanningError.code
            self._logged.append(effects.LogChange("job_not_planned", {"code": code, **fields}))
        return selected

    def _has_found_none(self, stage: job_registry.StageRecord, now: float) -> bool:
        """Return whether no worker suits a stage of any occurrence, as far as this plan knows."""
        return (
            bool(stage.record.job.occurrences)
            and stage in self._left_pending
            and stage.is_untouched
            # Each long-running stage counts by itself when it is starved.
            and not stage.spec.long_running
            and not self._near_planner.is_waiting(stage)
            and _find_stage_obstacle(stage, stage.tasks, now) is None
        )

    def _sort_jobs(self, wall_time: float) -> list[job_registry.JobRecord]:
        """Return the jobs with tasks to place or move in the order in which they get room."""
        active = self._job_registry.active
        return sorted(
            (r for job, r in active.items() if r.needs_planning or self._moves.has_paused(job)),
            key=lambda record: self._rank(record, wall_time),
        )

    def _rank(self, record: job_registry.JobRecord, wall_time: float) -> tuple[float, ...]:
        """Return a job's sort key, and log its outlook if it is worse than before."""
        queue = self._queues.get(record.job.queue)
        try:
            return self._rank_by_outlook(record, queue, wall_time)
        except Exception as error:
            self._log_unranked(record, error)
            return waiting.make_neutral_rank(record, queue)

    def _rank_by_outlook(
        self, record: job_registry.JobRecord, queue: model.Queue | None, wall_time: float
    ) -> tuple[float, ...]:
        forecast = self._forecast if self._has_learned_order else None
        key = waiting.compute_rank(record, queue, wall_time, forecast)
        if key[1] > record.worst_outlook:
            record.worst_outlook = key[1]
            room = self._forecast.get_room(record.job.queue)
            self._log_outlook(
                waiting.OUTLOOK_WORSE,
                record,
                waiting.Outlook(key[1]),
                room=round(room) if math.isfinite(room) else None,
                work=round(self._forecast.compute_relative_work(record), 2),
            )
        return key

    def _plan_stage(
        self,
        stage: job_registry.StageRecord,
        service: ids.ServiceName,
        now: float,
    ) -> None:
        pending = stage.list_pending()
        examined = self._pool.examined_workers
        if _find_stage_obstacle(stage, pending, now) is None:
            if stage.spec.gang:
                self._plan_gang(stage, service, now)
            else:
                self._plan_tasks(pending, service, now)
        if any(task.phase is job_registry.TaskPhase.PENDING for task in pending):
            stage.record.needs_planning = True
            if not self._budget.is_turn_over:
                self._left_pending.add(stage)
                self._budget.record_attempt(self._pool.examined_workers - examined)

    def _plan_tasks(
        self, pending: list[job_registry.Task], service: ids.ServiceName, now: float
    ) -> None:
        for task in pending:
            if self._budget.is_turn_over:
                return
            if now < task.not_before:
                continue
            self._moves.release_room(task)
            needs_trial = crash_history.needs_trial(task)
            choose = self._trials.choose if needs_trial else self._pool.choose
            candidate = choose(task, service)
            if candidate is not None and self._near_planner.holds(task, candidate, now):
                continue
            if candidate is not None:
                task.stage.passed_over_since = None
                self._assign_single(task, candidate, now)
            elif not self._assign_starved(task, service, now) and not needs_trial:
                return

    def _assign_single(
        self, task: job_registry.Task, candidate: candidates.CandidateWorker, now: float
    ) -> None:
        """Assign a task that is not a member of a gang."""
        self._assign(task, candidate, next(self._run_numbers), now)
        self._trials.record_assignment(task, candidate)

    def _assign_starved(
        self, task: job_registry.Task, service: ids.ServiceName, now: float
    ) -> bool:
        """Assign a task of a starved job as a last resort; return whether it was assigned."""
        if not self._may_use_last_resort(task, service, now):
            return False
        candidate = self._pool.choose_last_resort(task, service)
        if candidate is None:
            starvation.postpone(task, now)
            return False
        self._assign_single(task, candidate, now)
        self._limit_cpu_share(task, candidate, now)
        return True

    def _may_use_last_resort(
        self, task: job_registry.Task, service: ids.ServiceName, now: float
    ) -> bool:
        return (
            starvation.record_passed_over(task, now)
            and self._trials.may_use_last_resort(task, service)
            and self._searches.may_search(task.stage, self._pool.may_search_last_resort)
        )

    def _limit_cpu_share(
        self, task: job_registry.Task, candidate: candidates.CandidateWorker, now: float
    ) -> None:
        """Limit the CPU share of a best-effort task that was assigned as a last resort."""
        spec = task.stage.spec
        if spec.best_effort:
            self._throttle_controller.limit_image(candidate.view, spec.image, now)

    def _plan_gang(
        self,
        stage: job_registry.StageRecord,
        service: ids.ServiceName,
        now: float,
    ) -> None:
        """Assign all members of the gang or none."""
        if any(now < task.not_before for task in stage.tasks):
            return
        if self._near_planner.holds_gang(stage, service, now):
            return
        if self._can_fit(stage, service) and self._place_gang(
            stage, service, now, self._pool.choose
        ):
            return
        if self._may_use_last_resort(stage.tasks[0], service, now):
            placed = []
            if self._can_fit(stage, service, shares_cpu=stage.spec.best_effort):
                placed = self._place_gang(stage, service, now, self._pool.choose_last_resort)
            for task, candidate in placed:
                self._limit_cpu_share(task, candidate, now)
            if not placed:
                starvation.postpone(stage.tasks[0], now)

    def _place_gang(
        self,
        stage: job_registry.StageRecord,
        service: ids.ServiceName,
        now: float,
        choose: placement.ChooseFunction,
    ) -> list[tuple[job_registry.Task, candidates.CandidateWorker]]:
        """Assign all members with ``choose``, or none; return those assigned."""
        run = next(self._run_numbers)
        checkpoint = max(task.checkpoint for task in stage.tasks)
        placed: list[tuple[job_registry.Task, candidates.CandidateWorker]] = []
        try:
            for task in stage.tasks:
                candidate = choose(task, service)
                if candidate is None:
                    break
                task.checkpoint = checkpoint
                self._assign(task, candidate, run, now)
                placed.append((task, candidate))
        finally:
            if len(placed) < len(stage.tasks):
                for member, member_candidate in placed:
                    self._undo_assignment(member, member_candidate)
                placed.clear()
        for task, candidate in placed:
            self._trials.record_assignment(task, candidate)
        return placed

    def _can_fit(
        self, stage: job_registry.StageRecord, service: ids.ServiceName, shares_cpu: bool = False
    ) -> bool:
        """Return False if a gang certainly has no room, which saves placing and undoing it."""
        demand = stage.spec.demand
        millicores = 0 if shares_cpu else demand.millicores
        if not (millicores or demand.memory_mb or demand.accelerators):
            return True
        return self._pool.count_fitting(stage.spec, service, shares_cpu) >= len(stage.tasks)

    def _assign(
        self, task: job_registry.Task, candidate: candidates.CandidateWorker, run: int, now: float
    ) -> None:
        view = candidate.view
        assignment = fleet.Assignment(task.name, run, task, fleet.AssignmentPhase.ORDERED)
        assignment.checkpoint = task.checkpoint
        assignment.is_comparable = not task.checkpoint
        assignment.planned_on = view.report_sent_at
        distance = self._near_planner.record_assignment(assignment, candidate)
        view.add_assignment(assignment)
        view.ordered_runs.add(task.name, run)
        view.has_updates = True
        self._pool.reserve(candidate, task.stage.spec)
        self._limit_started(view, now)
        self._budget.record_assignment()
        task.phase = job_registry.TaskPhase.ASSIGNED
        task.agent = view.agent
        task.run = run
        task.assigned_at = now
        task.record.last_assigned_at = now
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
            **({"distance": distance} if distance else {}),
        }
        self._logged.append(effects.LogChange("run_assigned", fields))

    def _limit_started(self, view: fleet.AgentView, now: float) -> None:
        """Lower the CPU shares on a worker for the runs just assigned to it.

        The cost grows with the runs on the worker, so one call covers as many further runs as are a
        small share of them.
        """
        runs = len(view.assignments)
        if runs - self._limited_runs.get(view.agent, 0) >= max(runs // MIN_RUNS_PER_LIMIT, 1):
            self._limit_view(view, now)
            self._limited_runs[view.agent] = runs
            self._unlimited.pop(view.agent, None)
        else:
            self._unlimited[view.agent] = view

    def _limit_remaining(self, now: float) -> None:
        """Lower the CPU shares for the runs that no call has covered yet."""
        for view in self._unlimited.values():
            self._limit_view(view, now)
        self._unlimited.clear()

    def _limit_view(self, view: fleet.AgentView, now: float) -> None:
        # An error must not leave a run that is assigned while its task counts as pending.
        limit = functools.partial(self._throttle_controller.limit_started, view, now)
        self._guard.run("cpu_shares", now, limit, None, agent=view.agent)

    def _undo_assignment(
        self, task: job_registry.Task, candidate: candidates.CandidateWorker
    ) -> None:
        """Remove an assignment for which no order has been sent."""
        candidate.view.remove_assignment(candidate.view.assignments[(task.name, task.run)])
        self._pool.release(candidate, task.stage.spec)
        task.phase = job_registry.TaskPhase.PENDING
        task.agent = None


def _find_stage_obstacle(
    stage: job_registry.StageRecord, pending: list[job_registry.Task], now: float
) -> waiting_reasons.WaitReason | None:
    """Return why no pending task of the stage may be placed now; None if some may be."""
    if stage.spec.gang:
        if len(pending) != len(stage.tasks):
            return waiting_reasons.WaitReason.GANG_INCOMPLETE
        is_delayed = any(now < task.not_before for task in pending)
    else:
        is_delayed = all(now < task.not_before for task in pending)
    return waiting_reasons.WaitReason.RETRY_DELAY if is_delayed else None
