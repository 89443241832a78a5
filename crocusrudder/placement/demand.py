"""Sizes and run times learned per job class, because the declared ones are far off."""

import collections
import math
from collections.abc import Iterable

from crocusrudder.core import ids
from crocusrudder.wire import messages

SAMPLES = 40
"""Runs per class that an estimate looks back on."""
LEARNED_SAMPLES = 3
"""Runs after which the learned size replaces the declared one."""
CORES_QUANTILE = 0.7
CORES_MARGIN = 1.05
"""A run above its processor reservation is slowed a little; reserving for all wastes more."""
MEMORY_QUANTILE = 0.95
MEMORY_MARGIN = 1.15
"""A run above its memory reservation is stopped, which costs more than some idle memory."""
CUT_OFF_SHARE = 0.98
"""Usage above this share of the reservation was cut off by it."""
CUT_OFF_GROWTH = 2.0
"""Growth after a cut-off usage while little is known, so that a few runs reach the true size."""
CUT_OFF_STEP = 1.1
"""Growth after a cut-off usage once the size is about right."""
JOB_CORES_MARGIN = 1.03
JOB_MEMORY_MARGIN = 1.1
"""Tasks of one job resemble each other more than those of its class."""
MAX_JOBS = 4096
OUTGROWN_GROWTH = 2.0
"""Growth of a task's memory after it outgrew it; six starts cover a declared size 32 times off."""
MIN_MILLICORES = 100
MIN_MEMORY_MB = 64
MAX_OUTGROWN = 4096
MAX_CLASSES = 512
"""Classes remembered; the least recently used is dropped."""


class _Samples:
    """Usages of one resource."""

    def __init__(self, quantile: float, margin: float) -> None:
        self._quantile = quantile
        self._margin = margin
        self._usages: collections.deque[float] = collections.deque(maxlen=SAMPLES)
        self._guesses: collections.deque[float] = collections.deque(maxlen=SAMPLES)

    def __len__(self) -> int:
        return len(self._usages) + len(self._guesses)

    def append(self, usage: float, reserved: float) -> None:
        """Add a usage; one that the reservation cut off is known to be larger only."""
        cut_off = reserved and usage >= CUT_OFF_SHARE * reserved
        if not cut_off:
            self._usages.append(usage)
        elif len(self._usages) < LEARNED_SAMPLES:
            self._guesses.append(reserved * CUT_OFF_GROWTH)
        else:
            self._usages.append(reserved * CUT_OFF_STEP)

    def estimate(self) -> int:
        """Return the size to reserve; guesses count only while usages are few."""
        enough = len(self._usages) >= LEARNED_SAMPLES
        samples = self._usages if enough else [*self._usages, *self._guesses]
        return math.ceil(_quantile(samples, self._quantile) * self._margin)


class _JobClass:
    """Samples of one class."""

    def __init__(self) -> None:
        self.millicores = _Samples(CORES_QUANTILE, CORES_MARGIN)
        self.memory_mb = _Samples(MEMORY_QUANTILE, MEMORY_MARGIN)
        self.seconds: collections.deque[float] = collections.deque(maxlen=SAMPLES)


def _quantile(samples: Iterable[float], quantile: float) -> float:
    ordered = sorted(samples)
    return ordered[min(math.ceil(quantile * len(ordered)), len(ordered)) - 1]


class DemandModel:
    """Learn the size to reserve and the run time of each job class."""

    def __init__(self) -> None:
        self._classes: collections.OrderedDict[str, _JobClass] = collections.OrderedDict()
        self._outgrown: collections.OrderedDict[ids.TaskId, int] = collections.OrderedDict()
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
        """Record the largest usage of one run under its reservation."""
        if not (usage.millicores or usage.memory_mb):
            return
        self._record_job(job, usage, reserved)
        state = self._get(job_class)
        state.millicores.append(usage.millicores, reserved.millicores)
        state.memory_mb.append(usage.memory_mb, reserved.memory_mb)

    def _record_job(
        self, job: ids.JobId, usage: messages.Resources, reserved: messages.Resources
    ) -> None:
        """Keep the job's largest usage with a margin, unless the reservation cut it off."""
        cut_off = usage.millicores >= CUT_OFF_SHARE * reserved.millicores
        if cut_off or usage.memory_mb >= CUT_OFF_SHARE * reserved.memory_mb:
            self._jobs.pop(job, None)
            return
        known = self._jobs.get(job, messages.Resources())
        self._jobs[job] = messages.Resources(
            max(known.millicores, math.ceil(usage.millicores * JOB_CORES_MARGIN), MIN_MILLICORES),
            max(known.memory_mb, math.ceil(usage.memory_mb * JOB_MEMORY_MARGIN), MIN_MEMORY_MB),
        )
        self._jobs.move_to_end(job)
        if len(self._jobs) > MAX_JOBS:
            self._jobs.popitem(last=False)

    def record_outgrown(self, task: ids.TaskId, size: messages.Resources) -> None:
        """Record that a run was stopped because its memory outgrew the reservation."""
        self._outgrown[task] = math.ceil(size.memory_mb * OUTGROWN_GROWTH)
        self._outgrown.move_to_end(task)
        if len(self._outgrown) > MAX_OUTGROWN:
            self._outgrown.popitem(last=False)

    def record_run_time(self, job_class: str, seconds: float) -> None:
        """Record the run time of a run that succeeded."""
        self._get(job_class).seconds.append(seconds)

    def estimate_size(
        self,
        job_class: str,
        declared: messages.Resources,
        task: ids.TaskId | None = None,
        job: ids.JobId | None = None,
    ) -> messages.Resources:
        """Return the size to reserve: by the job, else by its class, else as declared.

        Accelerators are always as declared. A task that outgrew its memory before gets more than
        it had then.
        """
        size = self._jobs.get(job) if job is not None else None
        if size is None:
            size = self._estimate_class(job_class, declared)
        size = messages.Resources(size.millicores, size.memory_mb, declared.accelerators)
        needed = self._outgrown.get(task, 0) if task is not None else 0
        if needed <= size.memory_mb:
            return size
        return messages.Resources(size.millicores, needed, size.accelerators)

    def _estimate_class(self, job_class: str, declared: messages.Resources) -> messages.Resources:
        state = self._classes.get(job_class)
        if state is None or len(state.millicores) < LEARNED_SAMPLES:
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
        """Return the learned sizes and run times by class."""
        nothing = messages.Resources()
        result: dict[str, object] = {}
        for job_class, state in sorted(self._classes.items()):
            size = self.estimate_size(job_class, nothing)
            result[job_class] = {
                "millicores": size.millicores,
                "memory_mb": size.memory_mb,
                "seconds": self.estimate_seconds(job_class),
                "samples": len(state.millicores),
            }
        return result

    def _get(self, job_class: str) -> _JobClass:
        state = self._classes.get(job_class)
        if state is None:
            state = self._classes[job_class] = _JobClass()
            if len(self._classes) > MAX_CLASSES:
                self._classes.popitem(last=False)
        self._classes.move_to_end(job_class)
        return state
