"""Start tasks that are likely to crash their workers on a worker each, one at a time for a job.

A trial is such a start. It lasts until the run has ended or has stayed alive.

Load pattern: the crash of a busy worker leaves dozens of suspects, most of them harmless. Started
together again, they would hide which of them is at fault, and the one that is would take all the
others with it once more. On a worker with few runs and no other fresh start, a crash costs little
and points to one task.
"""

from collections.abc import Mapping
from typing import NamedTuple

from crocusrudder.core import ids
from crocusrudder.workflows import crash_history
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import candidates
from crocusrudder.workflows.decisions import placement

QUIET_SECONDS = 0.35
"""Time without an assignment to a worker before a trial starts there, so that the other runs are
older than at a conclusive crash (``crashes.OUTLIVED_SECONDS``)."""
MAX_WAIT_SECONDS = 1.5
"""Time after which a task gets a trial beyond the limit. The requirement is that no job waits for
3 s while capacity is free."""
REST_SECONDS = 0.3
"""Least time between the trials on one worker, in which several plans start other tasks there."""
MAX_TRIAL_SECONDS = 5.0
"""Time for which a trial holds back the other tasks of its job that need one; the next incarnation
of a crashed worker registers after about 3 s."""
WORKERS_PER_TRIAL = 3
"""Number of workers of a service for each trial that it may have; it may always have one."""


class _Trial(NamedTuple):
    agent: ids.ProcessId
    service: ids.ServiceName
    record: job_registry.JobRecord
    started_at: float
    is_extra: bool
    """Whether the trial is beyond the limit; it withholds its worker for a short time only."""


class TrialPlanner:
    """Choose workers for tasks that need a trial, and withhold these workers from other tasks."""

    def __init__(self, pool: placement.CandidatePool) -> None:
        self._pool = pool
        self._trials: dict[model.RunKey, _Trial] = {}
        self._upcoming: dict[job_registry.Task, ids.ProcessId] = {}
        """Agents whose workers get a trial once they have been quiet, by task."""
        self._considered: set[job_registry.Task] = set()
        """Tasks for which the present plan has asked for a worker."""
        self._waiting: dict[job_registry.Task, float] = {}
        """Since when tasks have waited for a trial, by task."""
        self._assigned_at: dict[ids.ProcessId, float] = {}
        """Time of the last assignment, by agent."""
        self._withheld_at: dict[ids.ProcessId, float] = {}
        """Last time at which a trial withheld a worker, by agent."""
        self._now = 0.0

    def begin_plan(self, views: Mapping[ids.ProcessId, fleet.AgentView], now: float) -> None:
        """Begin a plan: forget the trials that have ended, and withhold the others' workers."""
        self._now = now
        self._trials = {
            run: trial
            for run, trial in self._trials.items()
            if trial.agent in views and _is_on_trial(views[trial.agent].assignments.get(run))
        }
        self._waiting = {
            task: since for task, since in self._waiting.items() if _awaits_trial(task)
        }
        # A plan ends its search in a stage at the first task without room. If that is because of a
        # withheld worker, the task for which it is withheld would never get its turn.
        self._upcoming = {
            task: agent
            for task, agent in self._upcoming.items()
            if task in self._waiting and task in self._considered
        }
        self._considered = set()
        withheld = self._list_withheld()
        self._withheld_at |= dict.fromkeys(withheld, now)
        for agent in (*withheld, *self._upcoming.values()):
            self._pool.withhold(agent)

    def choose(
        self, task: job_registry.Task, service: ids.ServiceName
    ) -> candidates.CandidateWorker | None:
        """Return the worker for a task that needs a trial; None if it has to wait."""
        self._considered.add(task)
        since = self._waiting.setdefault(task, self._now)
        if self.is_held_back(task):
            return None
        candidate = self._find_upcoming(task)
        if candidate is None:
            candidate = self._prepare(task, service, self._now - since >= MAX_WAIT_SECONDS)
        if candidate is None or not self._is_quiet(candidate):
            return None
        return candidate

    def record_assignment(
        self, task: job_registry.Task, candidate: candidates.CandidateWorker
    ) -> None:
        """Record that a run was assigned, and begin its trial if its task needs one."""
        agent = candidate.view.agent
        service = candidate.view.worker.service
        self._assigned_at[agent] = self._now
        self._waiting.pop(task, None)
        self._upcoming.pop(task, None)
        if not crash_history.needs_trial(task):
            return
        is_extra = agent not in self._list_withheld() and self._count_trials(
            service
        ) >= self._get_limit(service)
        run = (task.name, task.run)
        self._trials[run] = _Trial(agent, service, task.record, self._now, is_extra)
        self._withheld_at[agent] = self._now
        self._pool.withhold(agent)

    def may_use_last_resort(self, task: job_registry.Task, service: ids.ServiceName) -> bool:
        """Return False for a task that waits for its trial."""
        if self.is_held_back(task):
            return False
        is_tried = crash_history.needs_trial(task) and not task.stage.spec.gang
        return not (is_tried and self._pool.has_allowed(task, service))

    def is_held_back(self, task: job_registry.Task) -> bool:
        """Return whether another task of the same job is on trial or about to be."""
        return any(
            trial.record is task.record and self._now - trial.started_at < MAX_TRIAL_SECONDS
            for trial in self._trials.values()
        ) or any(other.record is task.record and other is not task for other in self._upcoming)

    def _find_upcoming(self, task: job_registry.Task) -> candidates.CandidateWorker | None:
        agent = self._upcoming.get(task)
        candidate = None if agent is None else self._pool.find(agent)
        if candidate is not None and self._pool.is_allowed(candidate, task):
            return candidate
        self._upcoming.pop(task, None)
        return None

    def _prepare(
        self, task: job_registry.Task, service: ids.ServiceName, is_overdue: bool
    ) -> candidates.CandidateWorker | None:
        if not is_overdue and self._count_trials(service) >= self._get_limit(service):
            return None
        candidate = min(
            filter(self._is_rested, self._pool.list_allowed(task, service)),
            key=lambda candidate: (
                candidate.view.agent in task.avoided_agents,
                len(candidate.view.assignments),
            ),
            default=None,
        )
        if candidate is not None:
            self._upcoming[task] = candidate.view.agent
            self._pool.withhold(candidate.view.agent)
        return candidate

    def _is_quiet(self, candidate: candidates.CandidateWorker) -> bool:
        assigned_at = self._assigned_at.get(candidate.view.agent, float("-inf"))
        return self._now - assigned_at >= QUIET_SECONDS

    def _is_rested(self, candidate: candidates.CandidateWorker) -> bool:
        withheld_at = self._withheld_at.get(candidate.view.agent, float("-inf"))
        return self._now - withheld_at >= REST_SECONDS

    def _list_withheld(self) -> set[ids.ProcessId]:
        """Return the agents on whose workers nothing else may start."""
        return {
            trial.agent
            for trial in self._trials.values()
            if not trial.is_extra or self._now - trial.started_at < QUIET_SECONDS
        }

    def _count_trials(self, service: ids.ServiceName) -> int:
        upcoming = (self._pool.find(agent) for agent in self._upcoming.values())
        on_trial = {trial.agent for trial in self._trials.values() if trial.service == service}
        return len(on_trial) + sum(
            candidate is not None and candidate.view.worker.service == service
            for candidate in upcoming
        )

    def _get_limit(self, service: ids.ServiceName) -> int:
        return max(self._pool.count_workers(service) // WORKERS_PER_TRIAL, 1)


def _awaits_trial(task: job_registry.Task) -> bool:
    """Return whether a task that needs a trial waits for its start."""
    return (
        task.phase is job_registry.TaskPhase.PENDING
        and not task.record.is_final
        and crash_history.needs_trial(task)
    )


def _is_on_trial(assignment: fleet.Assignment | None) -> bool:
    task = assignment.task if assignment else None
    return task is not None and not task.record.is_final and crash_history.needs_trial(task)
