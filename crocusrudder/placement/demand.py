"""Sizes and run times learned per job and job class, because the declared sizes are far off."""

import collections
import math
from collections.abc import Iterable

from crocusrudder.core import ids
from crocusrudder.wire import messages

MAX_SAMPLES = 40
"""Number of most recent runs of a class that an estimate uses."""
MIN_SAMPLES = 3
"""Runs after which the learned size replaces the declared one."""
CORES_QUANTILE = 0.7
CORES_MARGIN = 1.05
"""A run above its processor reservation is slowed a little, which costs less than reserving for
the largest usage."""
MEMORY_QUANTILE = 0.95
MEMORY_MARGIN = 1.15
"""A run above its memory reservation is stopped, which costs more than some idle memory."""
AT_LIMIT_SHARE = 0.98
"""Share of the reservation from which usage counts as limited by it; the demand is unknown then."""
AT_LIMIT_GROWTH = 2.0
"""Growth after a limited usage while samples are few, so that a few runs reach the true size."""
AT_LIMIT_STEP = 1.1
"""Growth after a limited usage with ``MIN_SAMPLES`` usages, when the size is about right."""
JOB_CORES_MARGIN = 1.03
JOB_MEMORY_MARGIN = 1.1
"""The margins of a job are smaller, as its tasks resemble each other more than those of a class."""
MAX_JOBS = 4096
"""Jobs with a learned size; the least recently updated is dropped."""
MEMORY_EXCEEDED_GROWTH = 2.0
"""Growth of a task's memory after it exceeded its reservation.

Six starts are enough for a task that needs 32 times its declared size.
"""
MIN_MILLICORES = 100
MIN_MEMORY_MB = 64
MAX_MEMORY_EXCEEDED_TASKS = 4096
MAX_CLASSES = 512
"""Classes with a learned size and run time; the least recently updated is dropped."""


class _Samples:
    """Most recent usages of one resource by the runs of a class."""

    def __init__(self, quantile: float, margin: float) -> None:
        self._quantile = quantile
        self._margin = margin
        self._usages: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        self._extrapolated: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)

    def __len__(self) -> int:
        return len(self._usages) + len(self._extrapolated)

    def append(self, usage: float, reserved: float) -> None:
        """Add a usage; where the reservation limited it, a larger value is extrapolated."""
        is_at_limit = reserved and usage >= AT_LIMIT_SHARE * reserved
        if not is_at_limit:
            self._usages.append(usage)
        elif len(self._usages) < MIN_SAMPLES:
            self._extrapolated.append(reserved * AT_LIMIT_GROWTH)
        else:
            self._usages.append(reserved * AT_LIMIT_STEP)

    def estimate(self) -> int:
        """Return the size to reserve; extrapolated values count only while usages are few."""
        enough = len(self._usages) >= MIN_SAMPLES
        samples = self._usages if enough else [*self._usages, *self._extrapolated]
        return math.ceil(_quantile(samples, self._quantile) * self._margin)


class _JobClass:
    """Usages and run times of one job class."""

    def __init__(self) -> None:
        self.millicores = _Samples(CORES_QUANTILE, CORES_MARGIN)
        self.memory_mb = _Samples(MEMORY_QUANTILE, MEMORY_MARGIN)
        self.seconds: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)


def _quantile(samples: Iterable[float], quantile: float) -> float:
    ordered = sorted(samples)
    return ordered[min(math.ceil(quantile * len(ordered)), len(ordered)) - 1]


class DemandModel:
    """Learn the size to reserve and the run time of each job class."""

    def __init__(self) -> None:
        self._classes: collections.OrderedDict[str, _JobClass] = collections.OrderedDict()
        self._memory_needed: collections.OrderedDict[ids.TaskId, int] = collections.OrderedDict()
        self._jobs: collections.OrderedDict[ids.JobId, messages.Resources] = (
            collections.OrderedDict()
        )

    def record_usage(
        self,
        job_class: str,
        job: ids.JobId,
        usage: messages.Resources,
        reserved: messages.Resources,
    ) -> None:
        """Record the largest usage of one run, and the reservation that it had."""
        if not (usage.millicores or usage.memory_mb):
            return
        self._record_job_usage(job, usage, reserved)
        state = self._get_class(job_class)
        state.millicores.append(usage.millicores, reserved.millicores)
        state.memory_mb.append(usage.memory_mb, reserved.memory_mb)

    def _record_job_usage(
        self, job: ids.JobId, usage: messages.Resources, reserved: messages.Resources
    ) -> None:
        """Record the job's largest usage with a margin, or drop it if a reservation limited it."""
        is_at_limit = usage.millicores >= AT_LIMIT_SHARE * reserved.millicores
        if is_at_limit or usage.memory_mb >= AT_LIMIT_SHARE * reserved.memory_mb:
            self._jobs.pop(job, None)
            return
        last = self._jobs.get(job, messages.Resources())
        self._jobs[job] = messages.Resources(
            max(last.millicores, math.ceil(usage.millicores * JOB_CORES_MARGIN), MIN_MILLICORES),
            max(last.memory_mb, math.ceil(usage.memory_mb * JOB_MEMORY_MARGIN), MIN_MEMORY_MB),
        )
        self._jobs.move_to_end(job)
        if len(self._jobs) > MAX_JOBS:
            self._jobs.popitem(last=False)

    def record_memory_exceeded(self, task: ids.TaskId, size: messages.Resources) -> None:
        """Record that a run was stopped because it exceeded a memory reservation of ``size``."""
        self._memory_needed[task] = math.ceil(size.memory_mb * MEMORY_EXCEEDED_GROWTH)
        self._memory_needed.move_to_end(task)
        if len(self._memory_needed) > MAX_MEMORY_EXCEEDED_TASKS:
            self._memory_needed.popitem(last=False)

    def record_run_time(self, job_class: str, seconds: float) -> None:
        """Record the run time of a successful run."""
        self._get_class(job_class).seconds.append(seconds)

    def estimate_size(
        self,
        job_class: str,
        declared: messages.Resources,
        task: ids.TaskId | None = None,
        job: ids.JobId | None = None,
    ) -> messages.Resources:
        """Return the size to reserve: learned from the job, else from its class, else declared.

        Accelerators are always as declared. A task that exceeded its memory reservation gets at
        least ``MEMORY_EXCEEDED_GROWTH`` times that reservation.
        """
        size = self._jobs.get(job) if job is not None else None
        if size is None:
            size = self._estimate_class(job_class, declared)
        size = messages.Resources(size.millicores, size.memory_mb, declared.accelerators)
        needed = self._memory_needed.get(task, 0) if task is not None else 0
        if needed <= size.memory_mb:
            return size
        return messages.Resources(size.millicores, needed, size.accelerators)

    def _estimate_class(self, job_class: str, declared: messages.Resources) -> messages.Resources:
        state = self._classes.get(job_class)
        if state is None or len(state.millicores) < MIN_SAMPLES:
            return declared
        return messages.Resources(
            millicores=max(state.millicores.estimate(), MIN_MILLICORES),
            memory_mb=max(state.memory_mb.estimate(), MIN_MEMORY_MB),
            accelerators=declared.accelerators,
        )

    def estimate_seconds(self, job_class: str) -> float | None:
        """Return the median run time, or None if no run of the class succeeded yet."""
        state = self._classes.get(job_class)
        if state is None or not state.seconds:
            return None
        return _quantile(state.seconds, 0.5)

    def dump(self) -> dict[str, object]:
        """Return the learned sizes and run times by class, as JSON types."""
        no_resources = messages.Resources()
        result: dict[str, object] = {}
        for job_class, state in sorted(self._classes.items()):
            size = self.estimate_size(job_class, no_resources)
            result[job_class] = {
                "millicores": size.millicores,
                "memory_mb": size.memory_mb,
                "seconds": self.estimate_seconds(job_class),
                "samples": len(state.millicores),
            }
        return result

    def _get_class(self, job_class: str) -> _JobClass:
        state = self._classes.get(job_class)
        if state is None:
            state = self._classes[job_class] = _JobClass()
            if len(self._classes) > MAX_CLASSES:
                self._classes.popitem(last=False)
        self._classes.move_to_end(job_class)
        return state
