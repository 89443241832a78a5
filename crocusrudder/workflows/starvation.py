"""Bound how long a job waits with nothing running while workers have capacity.

A job that has been passed over for too long gets one task started where plans place none otherwise;
each task of a long-running stage counts by itself.
"""

from crocusrudder.workflows import job_registry

STARVED_SECONDS = 1.5
"""Time with nothing running after which a job is starved. The requirement is 3 s while capacity is
free; planning, the start and its report take well under 1 s."""


def is_starved(task: job_registry.Task, now: float) -> bool:
    """Record that a task was passed over; return whether it has waited too long."""
    stage = task.stage
    if stage.spec.long_running:
        waiting: job_registry.StageRecord | job_registry.JobRecord = stage
    elif stage.record.has_assigned_tasks:
        return False
    else:
        waiting = stage.record
    if waiting.passed_over_since is None:
        waiting.passed_over_since = now
    return now - waiting.passed_over_since >= STARVED_SECONDS
