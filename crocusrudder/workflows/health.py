"""Detect faulty workers: those on which runs of several jobs fail, or no run makes progress."""

from collections.abc import Iterable

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model

QUARANTINE_AFTER_JOBS = 2
"""Distinct jobs with consecutive failures on a worker, without a success, that quarantine it. A
single job may fail because of its own tasks."""
FAILURE_WINDOW_SECONDS = 6.0
QUARANTINE_SECONDS = 3.0
"""Length of the first quarantine for failures; each further one is twice as long."""
QUARANTINE_MAX_SECONDS = 12.0
STALL_SECONDS = 1.8
"""Time without progress or completion of any task after which a worker counts as stalled. A worker
that is six times slower than normal still advances a task of 10 s by 1% in 0.6 s."""

MAX_SET_ASIDE_SHARE = 1 / 3
"""Greatest share of a service's workers that is set aside at a time. In the users' deployments up
to a sixth of the workers are faulty at once; if more seem to be, the jobs are the likelier cause.
"""

LIST_GAP_SECONDS = 1.0
"""Interval between two lists from which the worker may have been suspended; it lists its runs every
0.5 s."""


class WorkerHealth:
    """Failures and progress of the runs on one worker."""

    def __init__(self) -> None:
        self._failed_jobs: dict[ids.JobId, float] = {}
        self._quarantine_seconds = QUARANTINE_SECONDS
        self._progress: dict[model.RunKey, int] = {}
        self._progressed_at = 0.0
        self._listed_at = 0.0

    def record_success(self, now: float) -> None:
        """Record a successful run, which resets the failures and the quarantine length."""
        self._failed_jobs.clear()
        self._quarantine_seconds = QUARANTINE_SECONDS
        self._progressed_at = now

    def record_failure(self, job: ids.JobId, now: float) -> float:
        """Record a failed run; return how long to quarantine the worker in seconds, 0 for not."""
        self._progressed_at = now
        old = now - FAILURE_WINDOW_SECONDS
        self._failed_jobs = {name: at for name, at in self._failed_jobs.items() if at > old}
        self._failed_jobs[job] = now
        if len(self._failed_jobs) < QUARANTINE_AFTER_JOBS:
            return 0.0
        self._failed_jobs.clear()
        seconds = self._quarantine_seconds
        self._quarantine_seconds = min(2 * seconds, QUARANTINE_MAX_SECONDS)
        return seconds

    def record_progress(self, view: fleet.AgentView, now: float) -> None:
        """Record the progress of the runs in a list that the worker made at ``now``.

        A gap between lists does not count, as the worker may have been suspended.
        """
        progress = {
            (run.task_name, run.run): run.task.percent for run in list_expected_to_progress(view)
        }
        known = self._progress
        has_gap = now - self._listed_at > LIST_GAP_SECONDS
        self._listed_at = now
        if (
            has_gap
            or not progress
            or any(known.get(run, -1) < percent for run, percent in progress.items())
        ):
            self._progressed_at = now
        self._progress = progress

    def is_stalled(self, now: float) -> bool:
        """Return whether the worker has runs and none of them has made progress lately."""
        return bool(self._progress) and now - self._progressed_at >= STALL_SECONDS

    def record_stall(self, now: float) -> float:
        """Restart the stall detection; return how long to quarantine the worker in seconds."""
        self._progressed_at = now
        return QUARANTINE_SECONDS


class HealthRegister:
    """Quarantine the workers that seem faulty; the health of a worker ends with its incarnation."""

    def __init__(self, epoch: model.OwnerEpoch) -> None:
        self._epoch = epoch
        self._health: dict[ids.ProcessId, tuple[object, WorkerHealth]] = {}
        self._logged: list[effects.LogChange] = []

    def drain_log(self) -> list[effects.LogChange]:
        """Return the decisions logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged

    def get(self, view: fleet.AgentView) -> WorkerHealth:
        """Return the health of an agent's current worker."""
        key = (view.agent, view.worker.incarnation)
        if self._health.get(view.agent, (None,))[0] != key:
            self._health[view.agent] = (key, WorkerHealth())
        return self._health[view.agent][1]

    def check_failures(self, view: fleet.AgentView, task: job_registry.Task, now: float) -> None:
        """Quarantine a worker on which runs of several jobs fail in succession."""
        seconds = self.get(view).record_failure(task.record.job.job_id, now)
        if seconds:
            self._quarantine(view, "fails", now, seconds)

    def check_stall(
        self, view: fleet.AgentView, now: float, list_age_seconds: float
    ) -> list[fleet.Assignment]:
        """Quarantine a stalled worker; return the runs to move from it.

        A worker that lists its runs late is not stalled: only time up to its last list counts.
        """
        worker_health = self.get(view)
        listed_at = now - list_age_seconds
        worker_health.record_progress(view, listed_at)
        if not worker_health.is_stalled(listed_at):
            return []
        self._quarantine(view, "stands_still", now, worker_health.record_stall(now))
        return list_expected_to_progress(view)

    def _quarantine(self, view: fleet.AgentView, reason: str, now: float, seconds: float) -> None:
        view.set_aside_until = max(view.set_aside_until, now + seconds)
        fields = {"epoch": self._epoch, "agent": view.agent, "reason": reason, "pause_s": seconds}
        self._logged.append(effects.LogChange("worker_set_aside", fields))


def select_set_aside(views: Iterable[fleet.AgentView], now: float) -> set[ids.ProcessId]:
    """Return the agents whose workers are set aside, among those that could get starts.

    If too many workers of a service count as faulty, those that do so until last are selected.
    """
    totals: dict[ids.ServiceName, int] = {}
    faulty: dict[ids.ServiceName, list[fleet.AgentView]] = {}
    for view in views:
        service = view.worker.service
        totals[service] = totals.get(service, 0) + 1
        if now < view.set_aside_until:
            faulty.setdefault(service, []).append(view)
    selected = set()
    for service, suspects in faulty.items():
        limit = _compute_set_aside_limit(totals[service])
        suspects.sort(key=lambda view: view.set_aside_until, reverse=True)
        selected.update(view.agent for view in suspects[:limit])
    return selected


def _compute_set_aside_limit(workers: int) -> int:
    """Return how many of a service's workers may be set aside: one of two, none of one."""
    return min(max(int(workers * MAX_SET_ASIDE_SHARE), 1), workers - 1)


def list_expected_to_progress(view: fleet.AgentView) -> list[fleet.Assignment]:
    """Return the runs that should make progress: not long-running, stopping or throttled."""
    return [
        run
        for run in view.assignments.values()
        if run.task is not None
        and run.task.phase is job_registry.TaskPhase.ASSIGNED
        and run.phase is fleet.AssignmentPhase.CONFIRMED
        and not run.task.stage.spec.long_running
        and (run.task_name, run.run) not in view.cpu_shares
    ]
