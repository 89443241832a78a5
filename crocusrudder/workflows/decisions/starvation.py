"""Bound how long a job waits with nothing running while workers have capacity.

A job that has been passed over for too long gets one task started where plans place none otherwise;
each task of a long-running stage counts by itself.
"""

import math

from crocusrudder.workflows import job_registry

STARVED_SECONDS = 1.5
"""Time with nothing running after which a job is starved. The requirement is 3 s while capacity is
free; planning, the start and its report take well under 1 s."""
RETRY_SECONDS = 0.5
"""Time after which a stage is tried again that has found no worker even as a last resort."""


class SearchQueue:
    """Share the searches that plans have time for among the starved stages.

    Stages without time in one plan come before those that have been searched for since.
    """

    def __init__(self) -> None:
        self._denied: list[float] = []
        """``retry_at`` of the stages for which this plan had no time."""
        self._latest_retry_at = math.inf

    def begin_plan(self) -> None:
        """Give the searches of this plan to the stages for which the last one had no time."""
        self._latest_retry_at = max(self._denied, default=math.inf)
        self._denied = []

    def may_search(self, stage: job_registry.StageRecord, has_time: bool) -> bool:
        """Return whether to search for a starved stage in this plan, which may have no time."""
        if stage.retry_at > self._latest_retry_at:
            return False
        if not has_time:
            self._denied.append(stage.retry_at)
        return has_time


def record_passed_over(task: job_registry.Task, now: float) -> bool:
    """Record that no worker was found for a task; return whether its stage or job is starved."""
    waiting = _get_waiting_unit(task)
    if waiting.passed_over_since is None:
        waiting.passed_over_since = now
    if not task.stage.spec.long_running and _may_be_starting(task.record, now):
        return False
    return now >= task.stage.retry_at and now - waiting.passed_over_since >= STARVED_SECONDS


def compute_idle_seconds(record: job_registry.JobRecord, now: float) -> float | None:
    """Return for how long a job has been passed over; None while a run of it may be at work.

    An assigned run that no report has listed for as long as makes a job starved is not at work.
    """
    since = record.passed_over_since
    seconds = 0.0 if since is None else now - since
    is_idle = seconds >= STARVED_SECONDS and not _may_be_starting(record, now)
    return seconds if is_idle or not record.assigned_count else None


def postpone(task: job_registry.Task, now: float) -> None:
    """Search no more for a stage for a time, so that stages that fit nowhere leave time to others.

    Other stages of its job are still tried.
    """
    task.stage.retry_at = now + RETRY_SECONDS


def _may_be_starting(record: job_registry.JobRecord, now: float) -> bool:
    """Return whether a run of the job was ordered so lately that no report may have listed it.

    An assigned run that is not listed for longer, as on a silent agent, counts for nothing; each
    report that lists one resets ``passed_over_since``.
    """
    return bool(record.assigned_count) and now - record.last_assigned_at < STARVED_SECONDS


def _get_waiting_unit(task: job_registry.Task) -> job_registry.StageRecord | job_registry.JobRecord:
    """Return the stage of a long-running task, else the job."""
    return task.stage if task.stage.spec.long_running else task.record
