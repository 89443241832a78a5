"""Explain why a ready job has nothing running.

The owner reports jobs that have had a ready stage but no running task for some time, and those of
which a long-running task has not been placed. The reasons come from the functions that make the
decisions, so that the two cannot differ.
"""

import collections
import enum
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.workflows import job_registry

EVENT = "job_waiting"
"""Name of the log line."""
REPORT_AFTER_SECONDS = 1.0
"""Time without an assigned task after which a job is reported; plans follow each other in 0.1 s."""
REPEAT_SECONDS = 2.0
"""Minimum interval between two lines of a job."""
ROUND_SECONDS = 0.5
"""Interval at which waiting jobs are examined."""
MAX_LINES_PER_ROUND = 2
"""Maximum number of jobs explained in a round, as each explanation examines all workers."""


class WaitReason(enum.Enum):
    """Why a task is not placed on a worker, or why a job is not placed at all."""

    NO_WORKER = "no_worker"
    """The agent has not reported a worker; it may be of any service."""
    UNREGISTERED = "unregistered"
    UNRECONCILED = "unreconciled"
    UNREACHABLE = "unreachable"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    """The operator allows no starts in the worker's data centre."""
    DECLARED_LOST = "declared_lost"
    LEASE_NOT_STORED = "lease_not_stored"
    """That the worker's lease has no bound by renewals is not stored for a later owner yet."""
    UNKNOWN_RUN = "unknown_run"
    """A run of an unknown job is being stopped there, and what it takes is unknown."""
    NO_RECENT_REPORT = "no_recent_report"
    ORDERS_UNSEEN = "orders_unseen"
    BLOCKED = "blocked"
    """The worker gets no starts for a time, such as after one that it rejected."""
    SET_ASIDE = "set_aside"
    """The pool leaves the worker out although its agent may get starts, as it seems faulty."""
    TRIAL = "trial"
    """A task under which a worker has crashed is on trial there, or about to be."""
    MISSING_LABEL = "missing_label"
    NO_CAPACITY = "no_capacity"
    KEPT_ROOM = "kept_room"
    """The task would fit without the room that is kept for moved runs."""
    WORKER_LIMIT = "worker_limit"
    """The worker runs the stage's maximum number of tasks on one worker."""
    COLD = "cold"
    """The worker is cold and has as many runs as it may have until it is warm."""
    NEAR_TARGET = "near_target"
    PROBING = "probing"
    """The interference of another image is being measured on the worker."""
    PREDICTED_LATENCY = "predicted_latency"
    TESTED_ELSEWHERE = "tested_elsewhere"
    """The image is being tested beside the same images on enough other workers."""
    FITS = "fits"
    """The worker could take a task, but none was placed there: a fault of the planner."""

    QUEUE_UNKNOWN = "queue_unknown"
    TICKETS = "tickets"
    """Starts on the job's queue need tickets, which this system does not request."""
    NOT_PLANNED = "not_planned"
    """The job is not marked for planning, or the last plan passed the stage over."""
    NOT_RECONCILED = "not_reconciled"
    """Not all workers have been heard since the takeover."""
    PLANNING_ERROR = "planning_error"
    """Planning or explaining the job raised an unexpected error."""
    RETRY_DELAY = "retry_delay"
    GANG_INCOMPLETE = "gang_incomplete"
    """Some members of the gang are not pending."""
    GANG_WITHOUT_ROOM = "gang_without_room"
    """The members do not fit all at once."""

    NEAR_PLACE = "near_place"
    """Tasks wait for a place near their data or group, although there is room elsewhere."""

    ORDER_PENDING = "order_pending"
    """The agent has not confirmed the order to start a run."""
    START_PENDING = "start_pending"
    """The agent has confirmed the order, but the worker does not list the run."""
    STOP_PENDING = "stop_pending"
    """A run is being stopped, and its task cannot be placed until it has ended."""
    AGENT_SILENT = "agent_silent"
    """A run may exist on a worker without reports, so its task waits for the lease to expire."""
    RUN_MISSING = "run_missing"
    """A task is assigned to a worker that has no run of it: a fault of the owner."""


class Explanation(msgspec.Struct, frozen=True):
    """Why no task of a stage has been placed."""

    job_reason: WaitReason | None
    """Reason that holds whatever the workers are; None if only the workers decide."""
    workers: Mapping[WaitReason, int]
    """Number of the service's workers by the reason why no task was placed there."""

    @property
    def reason(self) -> WaitReason:
        """Return the reason that decides, else the one that holds for most workers."""
        if self.job_reason is not None:
            return self.job_reason
        if self.workers.get(WaitReason.FITS):
            return WaitReason.FITS
        return max(self.workers, key=self.workers.__getitem__, default=WaitReason.NO_WORKER)


ExplainFunction = Callable[[job_registry.StageRecord, float], Explanation]
"""Explain why no task of a ready stage has been placed at a time."""


class _Wait:
    """A job without an assigned task."""

    __slots__ = ("reported_at", "since")

    def __init__(self, now: float) -> None:
        self.since = now
        self.reported_at = float("-inf")


class _DueReport(NamedTuple):
    """A job of which a line is due."""

    reported_at: float
    """Time of the job's last line."""
    seconds: float
    """Time for which the job has waited."""
    record: job_registry.JobRecord
    stage: job_registry.StageRecord | None
    """The first ready stage with a task to place; None if finding it raised an error."""


class WaitingMonitor:
    """Report the jobs that are ready but have nothing running."""

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._waits: dict[ids.JobId, _Wait] = {}
        self._not_running: set[ids.JobId] = set()
        """Jobs with assigned tasks of which none was running in the last round."""
        self._next_round_at = float("-inf")

    def check(
        self,
        records: Iterable[job_registry.JobRecord],
        now: float,
        wall_time: float,
        explain: ExplainFunction,
    ) -> list[effects.LogChange]:
        """Return the lines about waiting jobs that are due after a plan."""
        known = self._waits
        is_round = now >= self._next_round_at
        if is_round:
            records = list(records)
            self._not_running = {
                record.job.job_id
                for record in records
                if record.assigned_count and not record.is_running
            }
        waiting = [
            record
            for record in records
            if not record.assigned_count
            or (record.is_long_running and record.needs_planning)
            or record.job.job_id in self._not_running
        ]
        self._waits = {
            record.job.job_id: known.get(record.job.job_id) or _Wait(now) for record in waiting
        }
        if not is_round:
            return []
        self._next_round_at = now + ROUND_SECONDS
        due = sorted(self._list_due(waiting, now, wall_time), key=lambda entry: entry.reported_at)
        omitted = max(len(due) - MAX_LINES_PER_ROUND, 0)
        return [self._report(entry, omitted, now, explain) for entry in due[:MAX_LINES_PER_ROUND]]

    def _list_due(
        self, waiting: list[job_registry.JobRecord], now: float, wall_time: float
    ) -> Iterator[_DueReport]:
        """Yield the jobs of which a line is due, in the order of the records."""
        for record in waiting:
            wait = self._waits[record.job.job_id]
            seconds = now - wait.since
            if seconds < REPORT_AFTER_SECONDS or now - wait.reported_at < REPEAT_SECONDS:
                continue
            try:
                stage = _find_waiting_stage(record, wall_time)
            except Exception:
                # The planner meets and logs the same error.
                yield _DueReport(wait.reported_at, seconds, record, None)
                continue
            if stage is None:
                wait.since = now
                continue
            seconds = min(seconds, wall_time - record.get_due_time(stage.occurrence))
            if seconds >= REPORT_AFTER_SECONDS:
                yield _DueReport(wait.reported_at, seconds, record, stage)

    def _report(
        self, entry: _DueReport, omitted: int, now: float, explain: ExplainFunction
    ) -> effects.LogChange:
        job = entry.record.job
        self._waits[job.job_id].reported_at = now
        explanation = _explain(entry.stage, now, explain)
        counts = collections.Counter(explanation.workers).most_common()
        fields = {
            "epoch": self._epoch,
            "job": job.job_id,
            "queue": job.queue,
            "waiting_s": round(entry.seconds, 2),
            "reason": explanation.reason.value,
            "workers": {reason.value: count for reason, count in counts},
            **_describe(entry.stage),
            "omitted": omitted,
        }
        return effects.LogChange(EVENT, fields)


def _find_waiting_stage(
    record: job_registry.JobRecord, wall_time: float
) -> job_registry.StageRecord | None:
    """Return the first ready stage with a task that waits; None if there is none."""
    is_running = record.is_running
    phase = job_registry.TaskPhase.PENDING
    if record.assigned_count and not is_running:
        phase = job_registry.TaskPhase.ASSIGNED
    return next(
        (
            stage
            for stage in record.iterate_ready(wall_time, 0.0)
            if (stage.spec.long_running or not is_running)
            and any(task.phase is phase for task in stage.tasks)
        ),
        None,
    )


def _explain(
    stage: job_registry.StageRecord | None, now: float, explain: ExplainFunction
) -> Explanation:
    failure = Explanation(WaitReason.PLANNING_ERROR, {})
    if stage is None:
        return failure
    try:
        return explain(stage, now)
    except Exception:
        # A job that cannot be explained must not keep the others from being planned.
        return failure


def _describe(stage: job_registry.StageRecord | None) -> dict[str, object]:
    if stage is None:
        return {}
    return {
        "stage": stage.key,
        "demand": msgspec.structs.asdict(stage.spec.demand),
        "image": stage.spec.image,
        "label": stage.spec.required_label,
        "pending": len(stage.list_pending()),
        "assigned": len(stage.list_assigned()),
    }
