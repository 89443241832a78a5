"""Learn how long tasks run from the runs that have ended.

Load pattern: callers' estimates are off by a factor of up to two either way, by job, and whole
queues may be off in one direction. Decisions that compare times (which job can still be in time,
whether a run is a straggler, how long a worker stays busy) need the duration and its error.

The logarithm of a run's duration over its estimate is modelled as a mean of the queue, plus an
error of the stage, plus one of the task; the ended runs of a stage correct the stage's error.
"""

import math
import weakref
from collections.abc import Mapping
from typing import NamedTuple

from crocusrudder.core import effects
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows import rows

PRIOR_STAGES = 3.0
"""Number of stages that the prior of a queue counts as."""
PRIOR_DEVIATION = 0.5
"""Deviation of the logarithm of duration over estimate between stages, until stages have ended."""
TASK_DEVIATION = 0.3
"""The same between the tasks of one stage."""
MAX_STAGES = 50.0
"""Number of stages up to which a queue's mean counts; older ones are forgotten gradually."""
MAX_RATIO = 100.0
"""Ratio of duration to estimate, either way, beyond which an estimate tells nothing of others.
Callers' estimates are off by a factor of two."""
MIN_SECONDS = 1e-3
MAX_SECONDS = 1e12
"""Limits of an estimate as it is used in forecasts, which compute with its logarithm; submissions
have the same upper limit."""
TRUSTED_STAGES = 5
"""Number of stages with an ended run from which a queue's durations count as learned."""


ESTIMATE_IGNORED = "estimate_ignored"
"""Log event of a job with an estimate that is too far off to learn from; once a job."""


class Estimate(NamedTuple):
    """Expected duration of one task at full CPU share on a sound worker near its data."""

    seconds: float
    """Median; 0 if the caller gave no estimate."""
    deviation: float
    """Standard deviation of the logarithm of the duration."""
    is_learned: bool
    """Whether enough stages of the queue have ended to rely on the estimate."""


class _StageRuns:
    """Ended runs of one stage."""

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0


class DurationModel:
    """Learned durations of tasks, by queue and stage."""

    def __init__(self) -> None:
        self._ratios: rows.Ratios = {}
        self._stages: dict[job_registry.StageRecord, _StageRuns] = {}
        self._ignored: weakref.WeakSet[job_registry.JobRecord] = weakref.WeakSet()
        """Jobs with an estimate that was ignored, which has been logged."""
        self._logged: list[effects.LogChange] = []

    def record_run(self, stage: job_registry.StageRecord, seconds: float) -> None:
        """Learn from a run that has ended as done.

        The caller leaves out runs that were throttled, resumed or far from their data.
        """
        if stage.spec.long_running or stage.spec.estimated_seconds <= 0 or seconds <= 0:
            return
        ratio = seconds / stage.spec.estimated_seconds
        if not 1 / MAX_RATIO <= ratio <= MAX_RATIO:
            self._log_ignored(stage, seconds)
            return
        value = math.log(ratio)
        runs = self._stages.get(stage)
        if runs is None:
            runs = self._stages[stage] = _StageRuns()
            self._add_stage(stage.record.job.queue, value)
        runs.count += 1
        runs.mean += (value - runs.mean) / runs.count

    def forget_stage(self, stage: job_registry.StageRecord) -> None:
        """Drop the runs of a stage that is done; its queue's mean stays."""
        self._stages.pop(stage, None)

    def forget_job(self, record: job_registry.JobRecord) -> None:
        """Drop the runs of a job that has reached a final state; its queue's mean stays."""
        self._stages = {
            stage: runs for stage, runs in self._stages.items() if stage.record is not record
        }

    def estimate(self, stage: job_registry.StageRecord) -> Estimate:
        """Return the expected duration of a task of the stage."""
        weight, mean, deviation = self._summarize(stage.record.job.queue)
        is_learned = weight >= TRUSTED_STAGES
        runs = self._stages.get(stage)
        if runs is not None:
            own = runs.count / (runs.count + (TASK_DEVIATION / max(deviation, 0.01)) ** 2)
            mean += own * (runs.mean - mean)
            deviation *= math.sqrt(1.0 - own)
        seconds = _limit(stage.spec.estimated_seconds) * math.exp(mean)
        return Estimate(seconds, math.hypot(deviation, TASK_DEVIATION), is_learned)

    def correct(self, queue: model.QueueName, estimated_seconds: float) -> Estimate:
        """Return the expected duration of a task of which only the caller's estimate is known."""
        weight, mean, deviation = self._summarize(queue)
        seconds = _limit(estimated_seconds) * math.exp(mean)
        total = math.hypot(deviation, TASK_DEVIATION)
        return Estimate(seconds, total, weight >= TRUSTED_STAGES)

    def export_ratios(self) -> rows.Ratios:
        """Return what was learned by queue, for storage."""
        return dict(self._ratios)

    def restore_ratios(self, known: Mapping[str, tuple[float, float, float]]) -> int:
        """Restore what an earlier owner stored, for queues without an ended run here.

        Return how many figures are out of range; these are left out, and the others hold.
        """
        valid = {queue: ratio for queue, ratio in known.items() if _is_valid(*ratio)}
        self._ratios = valid | self._ratios
        return len(known) - len(valid)

    def drain_log(self) -> list[effects.LogChange]:
        """Return what was logged since the last call, and clear it."""
        logged, self._logged = self._logged, []
        return logged

    def _log_ignored(self, stage: job_registry.StageRecord, seconds: float) -> None:
        if stage.record not in self._ignored:
            self._ignored.add(stage.record)
            fields = {"job": stage.record.job.job_id, "stage": stage.key}
            fields |= {"estimated_s": stage.spec.estimated_seconds, "measured_s": round(seconds, 3)}
            self._logged.append(effects.LogChange(ESTIMATE_IGNORED, fields))

    def _add_stage(self, queue: model.QueueName, value: float) -> None:
        weight, mean, square = self._ratios.get(queue, (0.0, 0.0, 0.0))
        weight = min(weight + 1.0, MAX_STAGES)
        self._ratios[queue] = (
            weight,
            mean + (value - mean) / weight,
            square + (value * value - square) / weight,
        )

    def _summarize(self, queue: model.QueueName) -> tuple[float, float, float]:
        """Return the weight of a queue's stages, and their mean and deviation with the prior."""
        weight, mean, square = self._ratios.get(queue, (0.0, 0.0, 0.0))
        total = weight + PRIOR_STAGES
        variance = max(square - mean * mean, 0.0) * weight + PRIOR_DEVIATION**2 * PRIOR_STAGES
        return weight, mean * weight / total, math.sqrt(variance / total)


def _limit(estimated_seconds: float) -> float:
    """Return an estimate with which forecasts can compute; 0 for none."""
    if estimated_seconds <= 0:
        return 0.0
    return min(max(estimated_seconds, MIN_SECONDS), MAX_SECONDS)


def _is_valid(weight: float, mean: float, square: float) -> bool:
    """Return whether an owner can have learned these from runs within ``MAX_RATIO``."""
    limit = math.log(MAX_RATIO)
    return 0 < weight <= MAX_STAGES and abs(mean) <= limit and 0 <= square <= limit**2
