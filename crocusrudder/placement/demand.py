"""Sizes and run times learned per job class, because the declared ones are far off."""

import collections
import math

from crocusrudder.core import ids
from crocusrudder.wire import messages

SAMPLES = 40
"""Runs per class that an estimate looks back on."""
LEARNED_SAMPLES = 4
"""Runs after which the learned size replaces the declared one."""
SIZE_QUANTILE = 0.95
SIZE_MARGIN = 1.15
"""Headroom over the quantile; a run above its reservation is capped or stopped."""
CENSORED_SHARE = 0.95
"""Usage above this share of the reservation was probably cut off by it."""
CENSORED_GROWTH = 1.6
"""Growth after a cut-off usage, so that a few runs reach the true size."""
OUTGROWN_GROWTH = 2.0
"""Growth of a task's memory after it outgrew it; six starts cover a declared size 32 times off."""
MIN_MILLICORES = 100
MIN_MEMORY_MB = 64
MAX_OUTGROWN = 4096
MAX_CLASSES = 512
"""Classes remembered; the least recently used is dropped."""


class _JobClass:
    """Samples of one class."""

    def __init__(self) -> None:
        self.millicores: collections.deque[float] = collections.deque(maxlen=SAMPLES)
        self.memory_mb: collections.deque[float] = collections.deque(maxlen=SAMPLES)
        self.seconds: collections.deque[float] = collections.deque(maxlen=SAMPLES)


def _quantile(samples: collections.deque[float], quantile: float) -> float:
    ordered = sorted(samples)
    return ordered[min(math.ceil(quantile * len(ordered)), len(ordered)) - 1]


class DemandModel:
    """Learn the size to reserve and the run time of each job class."""

    def __init__(self) -> None:
        self._classes: collections.OrderedDict[str, _JobClass] = collections.OrderedDict()
        self._outgrown: collections.OrderedDict[ids.TaskId, int] = collections.OrderedDict()

    def record_usage(
        self, job_class: str, usage: messages.Resources, reserved: messages.Resources
    ) -> None:
        """Record the largest usage of one run under its reservation."""
        if not (usage.millicores or usage.memory_mb):
            return
        state = self._get(job_class)
        state.millicores.append(self._uncensor(usage.millicores, reserved.millicores))
        state.memory_mb.append(self._uncensor(usage.memory_mb, reserved.memory_mb))

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
        self, job_class: str, declared: messages.Resources, task: ids.TaskId | None = None
    ) -> messages.Resources:
        """Return the size to reserve; accelerators are always as declared.

        A task that outgrew its memory before gets more than it had then.
        """
        size = self._estimate_class(job_class, declared)
        needed = self._outgrown.get(task, 0) if task is not None else 0
        if needed <= size.memory_mb:
            return size
        return messages.Resources(size.millicores, needed, size.accelerators)

    def _estimate_class(self, job_class: str, declared: messages.Resources) -> messages.Resources:
        state = self._classes.get(job_class)
        if state is None or len(state.millicores) < LEARNED_SAMPLES:
            return declared
        millicores = math.ceil(_quantile(state.millicores, SIZE_QUANTILE) * SIZE_MARGIN)
        memory_mb = math.ceil(_quantile(state.memory_mb, SIZE_QUANTILE) * SIZE_MARGIN)
        return messages.Resources(
            millicores=max(millicores, MIN_MILLICORES),
            memory_mb=max(memory_mb, MIN_MEMORY_MB),
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

    @staticmethod
    def _uncensor(usage: float, reserved: float) -> float:
        if reserved and usage >= CENSORED_SHARE * reserved:
            return reserved * CENSORED_GROWTH
        return usage

    def _get(self, job_class: str) -> _JobClass:
        state = self._classes.get(job_class)
        if state is None:
            state = self._classes[job_class] = _JobClass()
            if len(self._classes) > MAX_CLASSES:
                self._classes.popitem(last=False)
        self._classes.move_to_end(job_class)
        return state
