"""Update the owner's state from agents' reports."""

import functools
import itertools
import math
from collections.abc import Iterable

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import crashes
from crocusrudder.workflows import fleet
from crocusrudder.workflows import health
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import leases
from crocusrudder.workflows import list_checks
from crocusrudder.workflows import list_completeness
from crocusrudder.workflows import model
from crocusrudder.workflows import step_guard
from crocusrudder.workflows.decisions import durations

NO_CAPACITY_BLOCK_SECONDS = 0.3
"""Time for which a worker that rejected a start for lack of capacity gets no starts, so that the
ends that free capacity are reported first."""
UNHEALTHY_BLOCK_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.2
"""Delay before a task whose run was rejected is placed again."""
CAPACITY_EXCEEDED = "capacity_exceeded"
"""Log event of a change after which the runs on a worker take more than its capacity."""
ENDS_OUTSTANDING = "ends_outstanding"
"""Log event of a worker that holds more ends than its list names."""
ENDS_LISTED = "ends_listed"
"""Log event of a worker all of whose ends are listed again."""

_BLOCK_SECONDS = {
    model.RejectReason.NO_CAPACITY: NO_CAPACITY_BLOCK_SECONDS,
    model.RejectReason.UNHEALTHY: UNHEALTHY_BLOCK_SECONDS,
    model.RejectReason.NO_RESPONSE: UNHEALTHY_BLOCK_SECONDS,
    model.RejectReason.NOT_READY: RETRY_DELAY_SECONDS,
}


class ReportHandler:
    """Apply agents' reports to the owner's views of agents and to the jobs."""

    def __init__(
        self,
        epoch: model.OwnerEpoch,
        jobs: job_registry.JobRegistry,
        duration_model: durations.DurationModel | None = None,
        guard: step_guard.StepGuard | None = None,
    ) -> None:
        self._epoch = epoch
        self._guard = guard or step_guard.StepGuard()
        self._duration_model = duration_model or durations.DurationModel()
        self._job_registry = jobs
        self._queues: dict[model.QueueName, model.Queue] = {}
        self._crash_register = crashes.CrashRegister(epoch, jobs)
        self._list_filter = list_checks.ListFilter(epoch, jobs)
        self._health_register = health.HealthRegister(epoch)
        self._incomplete_gangs: set[tuple[job_registry.StageRecord, int]] = set()
        """Stages and run numbers of gangs of which a member was rejected."""
        self._logged: list[effects.LogChange] = []

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Apply a newer configuration; removed queues are retained for their remaining jobs."""
        self._queues |= {queue.name: queue for queue in configuration.queues}

    def add_queue(self, queue: model.Queue) -> None:
        """Add a job's queue that no configuration known here has; a known one is left alone."""
        self._queues.setdefault(queue.name, queue)

    def drain_log(self) -> list[effects.LogChange]:
        """Return the decisions logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        sources = (self._crash_register, self._health_register, self._list_filter)
        return [*logged, *itertools.chain.from_iterable(s.drain_log() for s in sources)]

    def handle(
        self,
        view: fleet.AgentView,
        report: workflow_messages.AgentReport,
        now: float,
        wall_time: float,
    ) -> None:
        """Apply one report; the caller passes reports of one agent in the order of sending."""
        self._update_worker(view, report, now)
        self._crash_register.handle(view, report, wall_time)
        view.report_sent_at = report.sent_at
        view.received_at = now
        view.record_unbounded(report.unbounded_seconds, now)
        view.data_centre = report.data_centre
        if report.orders_seen >= view.orders_sent:
            view.orders_unseen_since = None
        elif report.orders_seen > view.orders_seen:
            view.orders_unseen_since = now
        view.orders_seen = report.orders_seen
        view.is_reachable = report.reachable
        view.has_deregistered = report.left
        if view.is_declared_lost:
            view.is_declared_lost = False
            self._log("agent_back", agent=view.agent)
        if report.lapsed:
            self.release_all(view, now, "worker_lapsed")
        if report.epoch != self._epoch:
            return
        self._record_completeness(view, report, now)
        if not view.list_completeness.may_miss_runs(now):
            view.is_reconciled = True
        self._apply_rejections(view, report, now)
        self._apply_ends(view, report, now, wall_time)
        self._apply_running(view, report, now)
        self._crash_register.record_running(view, report, now)
        if not view.list_completeness.may_miss_runs(now):
            for run in self._health_register.check_stall(view, now, report.list_age_seconds):
                self.move_run(view, run)

    def _record_completeness(
        self, view: fleet.AgentView, report: workflow_messages.AgentReport, now: float
    ) -> None:
        """Record whether a run that the report does not name is certainly not on the worker."""
        # Only an end that can be applied is ever acknowledged.
        awaits_ends = report.has_more_ends and any(
            self._list_filter.is_end_plausible(view, ended.task, ended.run)
            for ended in report.ended
        )
        view.list_completeness.record(not report.list_incomplete, now, awaits_ends)
        if view.has_more_ends != report.has_more_ends:
            view.has_more_ends = report.has_more_ends
            self._log(
                ENDS_OUTSTANDING if report.has_more_ends else ENDS_LISTED,
                agent=view.agent,
                worker=view.worker.worker if view.worker else "",
                listed=len(report.ended),
                assigned=len(view.assignments),
                reconciled=view.is_reconciled,
            )

    def release_all(self, view: fleet.AgentView, now: float, reason: str) -> None:
        """Release all assignments of a worker on which certainly nothing runs any more."""
        for assignment in list(view.assignments.values()):
            self._log_run("run_gone", assignment, view, reason=reason)
            self._release(view, assignment, now)

    def stop_runs(
        self, record: job_registry.JobRecord, views: Iterable[fleet.AgentView]
    ) -> list[tuple[fleet.AgentView, fleet.Assignment]]:
        """Stop all runs of a job; return them."""
        runs = [
            (view, assignment)
            for view in views
            for assignment in view.assignments.values()
            if assignment.task is not None and assignment.task.record is record
        ]
        for view, assignment in runs:
            view.mark_stopping(assignment)
        return runs

    def stop_incomplete_gangs(self, views: Iterable[fleet.AgentView]) -> None:
        """Stop the other members of gangs of which a member was rejected, as they cannot work."""
        if not self._incomplete_gangs:
            return
        for view in views:
            for run in view.assignments.values():
                if run.task is not None and (run.task.stage, run.run) in self._incomplete_gangs:
                    self._log_run("gang_incomplete", run, view)
                    view.mark_stopping(run)
        self._incomplete_gangs.clear()

    def move_run(self, view: fleet.AgentView, assignment: fleet.Assignment) -> None:
        """Stop a run so that its task is placed again, preferably on another worker."""
        assignment.task.avoided_agents.add(view.agent)
        self._log_run("run_moved", assignment, view, saved=bool(assignment.checkpoint))
        view.mark_stopping(assignment)

    def _update_worker(
        self, view: fleet.AgentView, report: workflow_messages.AgentReport, now: float
    ) -> None:
        known = view.worker
        new = report.worker
        if new is None or known is None:
            view.worker = new or known
            return
        if known.incarnation != new.incarnation:
            self._release_replaced(view, report, now)
            view.last_processed_end = 0
            view.last_durable_end = 0
            view.is_reconciled = False
            view.list_completeness = list_completeness.ListCompleteness()
            view.has_more_ends = False
            view.blocked_until = 0.0
            view.set_aside_until = 0.0
            view.cpu_shares_sent = {}
        if new != known:
            view.worker = new
        if known.incarnation == new.incarnation and known.capacity != new.capacity:
            self._log_capacity(view, known.capacity)

    def _release_replaced(
        self, view: fleet.AgentView, report: workflow_messages.AgentReport, now: float
    ) -> None:
        """Release the runs that have ended with an earlier incarnation of the worker.

        A start names the worker's id only. If the new incarnation has the same id, the agent tells
        which starts may have reached it; an agent that has restarted does not know, so the starts
        of its earlier process are stopped there.
        """
        has_same_id = view.worker.worker == report.worker.worker
        kept = {*report.starting, *((run.task, run.run) for run in report.running)}
        for key, assignment in list(view.assignments.items()):
            if has_same_id and key in kept:
                self._log_run("run_kept", assignment, view, reason="worker_restarted")
            elif has_same_id and assignment.may_start_late(now):
                self._log_run("run_kept", assignment, view, reason="agent_restarted")
                view.mark_stopping(assignment)
            else:
                self._log_run("run_gone", assignment, view, reason="worker_replaced")
                self._release(view, assignment, now)

    def _apply_rejections(
        self, view: fleet.AgentView, report: workflow_messages.AgentReport, now: float
    ) -> None:
        for rejected in report.rejected:
            assignment = view.assignments.get((rejected.task, rejected.run))
            if assignment is None or assignment.is_stop_unseen(report.orders_seen):
                continue
            reason = model.RejectReason(rejected.reason)
            self._log_run("start_rejected", assignment, view, reason=rejected.reason)
            block_seconds = _BLOCK_SECONDS.get(reason, 0.0)
            view.blocked_until = max(view.blocked_until, now + block_seconds)
            if assignment.order_echo == math.inf and not assignment.stop_number:
                # The worker may yet carry out a start that an earlier process of the agent sent.
                view.mark_stopping(assignment)
            else:
                self._release(view, assignment, now, RETRY_DELAY_SECONDS)
            if assignment.task is None:
                continue
            stage = assignment.task.stage
            if block_seconds <= RETRY_DELAY_SECONDS:
                # The worker may get starts again by the time the task is placed.
                for task in stage.tasks if stage.spec.gang else [assignment.task]:
                    task.avoided_agents.add(view.agent)
            if stage.spec.gang:
                self._incomplete_gangs.add((stage, assignment.run))

    def _apply_ends(
        self,
        view: fleet.AgentView,
        report: workflow_messages.AgentReport,
        now: float,
        wall_time: float,
    ) -> None:
        for ended in report.ended:
            if ended.number <= view.last_processed_end:
                continue
            if not self._list_filter.is_end_plausible(view, ended.task, ended.run):
                # Its number may be ahead of the worker's, so it must not be acknowledged.
                continue
            self._apply_end(view, ended, now, wall_time)
            # An end that could not be applied must not be acknowledged.
            view.last_processed_end = ended.number

    def _apply_end(
        self,
        view: fleet.AgentView,
        ended: workflow_messages.EndedRun,
        now: float,
        wall_time: float,
    ) -> None:
        key = (ended.task, ended.run)
        assignment = view.assignments.get(key) or self._adopt(view, *key)
        assignment.checkpoint = ended.checkpoint or assignment.checkpoint
        self._log_run("run_ended", assignment, view, how=ended.how)
        task = assignment.task
        kind = model.EndKind(ended.how)
        is_done = kind is model.EndKind.DONE
        if task is not None and is_done and not task.stage.spec.long_running:
            # Until this has succeeded the task is assigned, so that it cannot start again.
            self._health_register.get(view).record_success(now)
            if assignment.is_comparable and task.run == assignment.run:
                seconds = now - task.assigned_at
                learn = functools.partial(self._duration_model.record_run, task.stage, seconds)
                self._guard.run("durations", now, learn, None, task=task.name)
            self._mark_done(task, wall_time)
        self._release(view, assignment, now)
        if task is not None and kind is model.EndKind.FAILED and not task.record.is_final:
            self._health_register.check_failures(view, task, now)
            self._count_failure(view, task, ended.run, wall_time)

    def _mark_done(self, task: job_registry.Task, wall_time: float) -> None:
        members = task.stage.tasks if task.stage.spec.gang else [task]
        for member in members:
            if not task.record.is_final:
                task.record.mark_done(member, wall_time)
        if task.record.job.occurrences and task.stage.is_done:
            self._duration_model.forget_stage(task.stage)

    def _count_failure(
        self, view: fleet.AgentView, task: job_registry.Task, run: int, wall_time: float
    ) -> None:
        task.avoided_agents.add(view.agent)
        if task.stage.spec.long_running or task.phase is job_registry.TaskPhase.DONE:
            return
        failures = task.record.count_failure(task, run)
        queue = self._queues.get(task.record.job.queue)
        if queue is not None and failures >= queue.max_attempts:
            task.record.finish(model.JobState.FAILED, wall_time)
            self._log("job_failed", job=task.record.job.job_id, task=task.name, failures=failures)

    def _apply_running(
        self, view: fleet.AgentView, report: workflow_messages.AgentReport, now: float
    ) -> None:
        present = set(report.starting)
        measurements: dict[str, float] = {}
        for running in report.running:
            if not self._list_filter.is_run_plausible(view, running.task, running.run):
                continue
            key = (running.task, running.run)
            present.add(key)
            assignment = view.assignments.get(key) or self._adopt(view, *key)
            assignment.listed_at = now
            if assignment.phase is fleet.AssignmentPhase.ORDERED:
                assignment.phase = fleet.AssignmentPhase.CONFIRMED
            assignment.checkpoint = running.checkpoint or assignment.checkpoint
            measurements[running.task] = running.measure
            if assignment.task is not None:
                assignment.task.record.mark_started()
                assignment.task.reported_run = running.run
                if running.percent != assignment.task.percent:
                    assignment.task.percent = running.percent
                    assignment.task.progressed_at = now
        view.measurements = measurements
        for key in report.starting:
            assignment = view.assignments.get(key)
            if assignment is not None and assignment.phase is fleet.AssignmentPhase.ORDERED:
                assignment.phase = fleet.AssignmentPhase.CONFIRMED
        if not view.list_completeness.may_miss_runs(now):
            self._stop_absent(view, report, present)
        self._release_void(view, report, now)
        for assignment in list_checks.list_expired(view, report, now):
            self._release_expired(view, assignment, now)
        for assignment in list_checks.list_unstoppable(view, report, now):
            view.ignore_run(assignment)
            self._log_run(list_checks.UNKNOWN_RUN_IGNORED, assignment, view)

    def _release_void(
        self, view: fleet.AgentView, report: workflow_messages.AgentReport, now: float
    ) -> None:
        """Release the runs whose start orders the agent had not received when they became void.

        The report and the age limit of orders use the agent's clock, so no clock error matters.
        """
        for assignment in list(view.assignments.values()):
            if (
                assignment.phase is fleet.AssignmentPhase.ORDERED
                and report.orders_seen < assignment.order_number
                and report.sent_at - assignment.order_echo > leases.ORDER_VALID_SECONDS
            ):
                self._log_run("order_void", assignment, view)
                self._release(view, assignment, now)
                if assignment.task is not None and assignment.task.stage.spec.gang:
                    self._incomplete_gangs.add((assignment.task.stage, assignment.run))

    def _release_expired(
        self, view: fleet.AgentView, assignment: fleet.Assignment, now: float
    ) -> None:
        """Release a run that can no longer begin; its task prefers other workers from now on."""
        fields = {"phase": assignment.phase.value}
        self._log_run(list_checks.START_EXPIRED, assignment, view, **fields)
        self._release(view, assignment, now)
        if assignment.task is None:
            return
        stage = assignment.task.stage
        for task in stage.tasks if stage.spec.gang else [assignment.task]:
            task.avoided_agents.add(view.agent)
        if stage.spec.gang:
            self._incomplete_gangs.add((stage, assignment.run))

    def _stop_absent(
        self,
        view: fleet.AgentView,
        report: workflow_messages.AgentReport,
        present: set[model.RunKey],
    ) -> None:
        # The worker may still carry out a start that is missing from its report, so the run is
        # stopped before its task is placed again.
        for key, assignment in view.assignments.items():
            was_received = assignment.order_number and report.orders_seen >= assignment.order_number
            is_past_order = assignment.phase is not fleet.AssignmentPhase.ORDERED
            if key not in present and (is_past_order or was_received):
                view.mark_stopping(assignment)

    def _adopt(self, view: fleet.AgentView, task_name: str, run: int) -> fleet.Assignment:
        """Add a run that this owner did not order; stop it unless its task is still pending."""
        task = self._job_registry.find_task(task_name)
        assignment = fleet.Assignment(task_name, run, task, fleet.AssignmentPhase.CONFIRMED)
        assignment.is_adopted = True
        view.cpu_shares_resent_at = float("-inf")
        view.add_assignment(assignment)
        view.has_updates = True
        if task is None or task.record.is_final or task.phase is not job_registry.TaskPhase.PENDING:
            view.mark_stopping(assignment)
        else:
            task.phase = job_registry.TaskPhase.ASSIGNED
            task.agent = view.agent
            task.run = run
            task.record.mark_started()
        self._log_run("run_adopted", assignment, view, stopping=assignment.phase.value)
        return assignment

    def _release(
        self,
        view: fleet.AgentView,
        assignment: fleet.Assignment,
        now: float,
        delay: float = 0.0,
    ) -> None:
        """Remove a run that has ended; its task can be placed again after ``delay`` seconds."""
        view.remove_assignment(assignment)
        task = assignment.task
        if task is None or task.phase is not job_registry.TaskPhase.ASSIGNED:
            return
        if task.agent != view.agent or task.run != assignment.run:
            return
        task.phase = job_registry.TaskPhase.PENDING
        task.agent = None
        task.checkpoint = assignment.checkpoint or task.checkpoint
        task.not_before = now + delay

    def _log_capacity(self, view: fleet.AgentView, old: messages.Resources) -> None:
        used = view.usage
        self._log(
            CAPACITY_EXCEEDED if view.is_over_capacity else "capacity_changed",
            agent=view.agent,
            worker=view.worker.worker,
            old=msgspec.structs.asdict(old),
            new=msgspec.structs.asdict(view.worker.capacity),
            used=msgspec.structs.asdict(
                messages.Resources(used.millicores, used.memory_mb, used.accelerators)
            ),
            runs=len(view.assignments),
        )

    def _log_run(
        self,
        name: str,
        assignment: fleet.Assignment,
        view: fleet.AgentView,
        **fields: object,
    ) -> None:
        worker = view.worker.worker if view.worker else ids.WorkerId("")
        self._log(
            name,
            task=assignment.task_name,
            run=assignment.run,
            agent=view.agent,
            worker=worker,
            **fields,
        )

    def _log(self, name: str, **fields: object) -> None:
        self._logged.append(effects.LogChange(name, {"epoch": self._epoch, **fields}))
