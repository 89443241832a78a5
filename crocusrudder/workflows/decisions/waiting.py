"""Decide in which order waiting jobs get room.

Load pattern: a burst of jobs brings more work than the workers finish within the callers'
objectives, and the callers' estimates of it are wrong. In the order of acceptance each job waits
for all before it, so that after the burst every job is late. Instead, jobs that can still be in
time go before those that can only be late, and both before those that are of no use to their
callers any more; the last ones still finish, as they were accepted. Among jobs of the same outlook
those that have begun go first, then those with the least work left, by the measure of their queue:
finishing jobs one after the other serves more callers in time than running all side by side.
"""

import enum
import math
import statistics
from collections.abc import Collection

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.workflows import errors
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import durations

OUTLOOK_WORSE = "job_outlook"
"""Log event of a waiting job whose outlook is worse than before."""
RANK_FAILED = "job_not_ranked"
"""Log event of a job whose outlook could not be determined; it counts as one in time."""
FORECAST_FAILED = "forecast_failed"
"""Log event of a job whose durations could not be estimated."""
JOB_COMPLETED = "job_completed"
"""Log event of the completion of a job with an objective."""

LATE_FACTOR = 3.0
"""Multiple of its objective up to which a late job is still of use to its caller."""
MIN_PROBABILITY = 0.5
"""Probability from which a job counts as able to complete by a time."""
RUNNING_REMAINDER = 0.5
"""Expected share of its duration that a running task still needs."""
ROOM_SECONDS = 5.0
"""Time constant in seconds of the mean number of running tasks: about one task of a batch job."""

_NORMAL = statistics.NormalDist()


class Outlook(enum.IntEnum):
    """When a job can complete at the earliest, measured by its objective."""

    IN_TIME = 0
    LATE = 1
    OVERDUE = 2


class Forecast:
    """What jobs may expect: the durations of their tasks, and the room for them.

    While a queue has tasks without a worker, the number of its tasks that run is the room for a
    job that goes before all others of the queue.
    """

    def __init__(self, duration_model: durations.DurationModel) -> None:
        self._duration_model = duration_model
        self._rooms: dict[model.QueueName, float] = {}
        self._work: dict[ids.JobId, float] = {}
        self._mean_work: dict[model.QueueName, float] = {}
        self._updated_at = -math.inf
        self._failed: set[ids.JobId] = set()
        """Jobs of which a duration could not be estimated; each is logged once."""
        self._logged: list[effects.LogChange] = []

    def begin_plan(
        self,
        active: Collection[job_registry.JobRecord],
        limited: Collection[model.QueueName],
        wall_time: float,
    ) -> None:
        """Update what is expected before a plan.

        ``limited`` are the queues of which the last plan left tasks without a worker, and
        ``wall_time`` is a Unix time.
        """
        if self._failed:
            self._failed &= {record.job.job_id for record in active}
        waiting = [r for r in active if r.needs_planning and has_objective(r.job)]
        self._work = {record.job.job_id: self._compute_work(record) for record in waiting}
        work: dict[model.QueueName, list[float]] = {record.job.queue: [] for record in waiting}
        for record in waiting:
            work[record.job.queue].append(self._work[record.job.job_id])
        self._mean_work = {queue: statistics.fmean(values) for queue, values in work.items()}
        running = dict.fromkeys(limited, 0)
        for record in active:
            if record.job.queue in running:
                running[record.job.queue] += record.assigned_count
        weight = -math.expm1(-max(wall_time - self._updated_at, 0.0) / ROOM_SECONDS)
        self._updated_at = wall_time
        self._rooms = {
            queue: max(count, self._rooms.get(queue, 0.0) * (1.0 - weight) + count * weight)
            for queue, count in running.items()
            if count
        }

    def get_room(self, queue: model.QueueName) -> float:
        """Return how many tasks a job may run at once; infinite if not known to be limited."""
        return self._rooms.get(queue, math.inf)

    def estimate(self, record: job_registry.JobRecord, number: int) -> durations.Estimate:
        """Return the expected duration of a task of a stage; after an error, as the caller said.

        One job must not keep all others, and each later owner, from being planned.
        """
        seconds = record.job.stages[number].estimated_seconds
        try:
            # A stage without state has no runs to learn from, and may have 100,000 tasks.
            stage = record.find_stage(0, number)
            if stage is None:
                return self._duration_model.correct(record.job.queue, seconds)
            return self._duration_model.estimate(stage)
        except Exception as error:
            self._record_error(record.job.job_id, error)
            return durations.Estimate(seconds, 0.0, False)

    def drain_log(self) -> list[effects.LogChange]:
        """Return the errors logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged

    def _record_error(self, job: ids.JobId, error: Exception) -> None:
        if job not in self._failed:
            self._failed.add(job)
            fields = {"job": job, "code": errors.PlanningError.code, "error": repr(error)}
            self._logged.append(effects.LogChange(FORECAST_FAILED, fields))

    def compute_relative_work(self, record: job_registry.JobRecord) -> float:
        """Return a job's remaining work as a multiple of the mean of its queue's waiting jobs."""
        mean = self._mean_work.get(record.job.queue, 0.0)
        if not mean:
            return 0.0
        work = self._work.get(record.job.job_id)
        return (self._compute_work(record) if work is None else work) / mean

    def _compute_work(self, record: job_registry.JobRecord) -> float:
        """Return the seconds that a job's remaining tasks need one after the other."""
        counts = (record.count_left(0, number) for number in range(len(record.job.stages)))
        return sum(
            self.estimate(record, number).seconds * left
            for number, left in enumerate(counts)
            if left
        )


def assess_end(
    record: job_registry.JobRecord, queue: model.Queue, forecast: Forecast
) -> Outlook | None:
    """Return whether a completed job was in time by the learned durations, None if unknown."""
    if record.progress.state is not model.JobState.COMPLETED or not has_objective(record.job):
        return None
    total, _, _ = _forecast_chain(record, forecast)
    objective = queue.stretch * total + queue.objective_seconds
    elapsed = record.progress.finished_at - record.job.accepted_at
    if elapsed <= objective:
        return Outlook.IN_TIME
    return Outlook.LATE if elapsed <= LATE_FACTOR * objective else Outlook.OVERDUE


def compute_rank(
    record: job_registry.JobRecord,
    queue: model.Queue | None,
    wall_time: float,
    forecast: Forecast | None = None,
) -> tuple[float, ...]:
    """Return the sort key of a waiting job; lower keys get room first.

    Without a forecast the order by outlook is that of the callers' estimates.
    """
    if queue is None:
        return make_neutral_rank(record, queue)
    outlook = assess_outlook(record, queue, wall_time, forecast)
    work = 0.0
    if forecast is not None and has_objective(record.job):
        work = forecast.compute_relative_work(record)
    return (queue.priority, outlook, not has_begun(record), work, record.job.accepted_at)


def make_neutral_rank(
    record: job_registry.JobRecord, queue: model.Queue | None
) -> tuple[float, ...]:
    """Return the sort key of a job whose outlook is not known."""
    priority = 0 if queue is None else queue.priority
    return (priority, Outlook.IN_TIME, False, 0.0, record.job.accepted_at)


def has_begun(record: job_registry.JobRecord) -> bool:
    """Return whether tasks of a job are done or assigned."""
    return bool(record.assigned_count or record.progress.done_tasks)


def has_objective(job: model.Job) -> bool:
    """Return whether a job has an objective of its own.

    Jobs with due times, long-running stages or stages of unknown duration have none.
    """
    return not job.occurrences and not any(
        stage.long_running or stage.estimated_seconds <= 0 for stage in job.stages
    )


def assess_outlook(
    record: job_registry.JobRecord,
    queue: model.Queue,
    wall_time: float,
    forecast: Forecast | None = None,
) -> Outlook:
    """Return whether a job can still be in time if it goes before all others from now on.

    Jobs without an objective of their own are always taken to be in time. Without a forecast the
    callers' estimates are used, and room is not limited.
    """
    job = record.job
    if not has_objective(job):
        return Outlook.IN_TIME
    elapsed = wall_time - job.accepted_at
    if forecast is None:
        completed = record.list_completed_stages(0)
        total = compute_chain_seconds(job.stages)
        remaining, deviation = compute_chain_seconds(job.stages, completed), 0.0
    else:
        total, remaining, deviation = _forecast_chain(record, forecast)
    if _is_probable(total, remaining, deviation, elapsed, queue, 1.0):
        return Outlook.IN_TIME
    is_useful = _is_probable(total, remaining, deviation, elapsed, queue, LATE_FACTOR)
    return Outlook.LATE if is_useful else Outlook.OVERDUE


def compute_chain_seconds(
    stages: tuple[model.Stage, ...], completed: frozenset[int] = frozenset()
) -> float:
    """Return the estimated duration of the longest chain of stages that are not completed."""
    return _add_chain(
        stages,
        [
            0.0 if number in completed else stage.estimated_seconds
            for number, stage in enumerate(stages)
        ],
    )


def _add_chain(stages: tuple[model.Stage, ...], seconds: list[float]) -> float:
    ends: list[float] = []
    for stage, duration in zip(stages, seconds, strict=True):
        ends.append(max((ends[other] for other in stage.after), default=0.0) + duration)
    return max(ends, default=0.0)


def _forecast_chain(
    record: job_registry.JobRecord, forecast: Forecast
) -> tuple[float, float, float]:
    """Return a job's longest chain, what remains of it, and the deviation of their logarithm."""
    numbers = range(len(record.job.stages))
    estimates = [forecast.estimate(record, number) for number in numbers]
    left = [record.count_left(0, number) for number in numbers]
    room = max(forecast.get_room(record.job.queue), 1.0)
    remaining = [
        estimate.seconds * _count_rounds(record, count, room)
        for estimate, count in zip(estimates, left, strict=True)
    ]
    deviation = max(
        (estimate.deviation for estimate, count in zip(estimates, left, strict=True) if count),
        default=0.0,
    )
    total = _add_chain(record.job.stages, [estimate.seconds for estimate in estimates])
    return total, _add_chain(record.job.stages, remaining), deviation


def _count_rounds(record: job_registry.JobRecord, left: int, room: float) -> float:
    """Return how many durations of a task a stage with ``left`` tasks needs, with ``room``."""
    running = min(record.assigned_count, left)
    pending = left - running
    rounds = max(math.ceil(pending / room), 1) if pending else 0
    return rounds + (RUNNING_REMAINDER if running else 0.0)


def _is_probable(
    total: float,
    remaining: float,
    deviation: float,
    elapsed: float,
    queue: model.Queue,
    factor: float,
) -> bool:
    """Return whether a job can probably complete within ``factor`` times its objective.

    The true durations are a common factor times ``total`` and ``remaining``; both the objective
    and the end depend on it.
    """
    allowed = factor * queue.stretch * total - remaining
    needed = elapsed - factor * queue.objective_seconds
    if not deviation or not allowed:
        return needed <= allowed
    if needed * allowed <= 0:
        return needed <= 0 <= allowed
    probability = _NORMAL.cdf(math.log(needed / allowed) / deviation)
    return (1.0 - probability if allowed > 0 else probability) >= MIN_PROBABILITY
