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
SIZE_QUANTILE = 0.95
SIZE_MARGIN = 1.15
"""Headroom over the quantile; a run above its reservation is capped or stopped."""
CENSORED_SHARE = 0.95
"""Usage above this share of the reservation was probably cut off by it."""
CENSORED_GROWTH = 2.0
"""Growth after a cut-off usage, so that a few runs reach the true size."""
OUTGROWN_GROWTH = 2.0
"""Growth of a task's memory after it outgrew it; six starts cover a declared size 32 times off."""
MIN_MILLICORES = 100
MIN_MEMORY_MB = 64
MAX_OUTGROWN = 4096
MAX_CLASSES = 512
"""Classes remembered; the least recently used is dropped."""


class _Samples:
    """Usages of one resource, with those apart that the reservation cut off."""

    def __init__(self) -> None:
        self.exact: collections.deque[float] = collections.deque(maxlen=SAMPLES)
        self.cut_off: collections.deque[float] = collections.deque(maxlen=SAMPLES)

    def __len__(self) -> int:
        return len(self.exact) + len(self.cut_off)

    def append(self, usage: float, reserved: float) -> None:
        if reserved and usage >= CENSORED_SHARE * reserved:
            self.cut_off.append(reserved * CENSORED_GROWTH)
        else:
            self.exact.append(usage)

    def estimate(self) -> int:
        """Return the quantile; guesses from cut-off usages count only while exact ones are few."""
        enough = len(self.exact) >= LEARNED_SAMPLES
        samples = self.exact if enough else [*self.exact, *self.cut_off]
        return math.ceil(_quantile(samples, SIZE_QUANTILE) * SIZE_MARGIN)


class _JobClass:
    """Samples of one class."""

    def __init__(self) -> None:
        self.millicores = _Samples()
        self.memory_mb = _Samples()
        self.seconds: collections.deque[float] = collections.deque(maxlen=SAMPLES)


def _quantile(samples: Iterable[float], quantile: float) -> float:
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
        state.millicores.append(usage.millicores, reserved.millicores)
        state.memory_mb.append(usage.memory_mb, reserved.memory_mb)

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
