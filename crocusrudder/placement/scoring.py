"""Resource arithmetic and the score of a worker for a task."""

import math
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from crocusrudder.core import ids
from crocusrudder.placement import interference
from crocusrudder.placement import model
from crocusrudder.wire import messages

URGENT_RESERVE = 0.02
"""Share of a cell's processors and memory that ordinary batch must leave free for urgent tasks."""
MIN_SLOPE = 0.055
"""Slopes below this are considered harmless and do not count against the slowdown limit.

With 0.03, estimates of harmless pairs were often above it, and batch waited without need.
"""
MAX_LOG_SLOWDOWN = 4.0
"""Limit on predictions, so that an extrapolation can neither overflow nor dominate the score."""


class FreeResources(NamedTuple):
    """Free resources of one worker; may be negative after a capacity loss."""

    millicores: int
    memory_mb: int
    accelerators: int

    def fits(self, size: messages.Resources) -> bool:
        return (
            size.millicores <= self.millicores
            and size.memory_mb <= self.memory_mb
            and size.accelerators <= self.accelerators
        )


def compute_free(
    capacity: messages.Resources,
    reserved: messages.Resources,
    unreported: Iterable[messages.Resources],
) -> FreeResources:
    """Return the capacity less the reservations and the sizes of starts not reported yet."""
    millicores = capacity.millicores - reserved.millicores
    memory_mb = capacity.memory_mb - reserved.memory_mb
    accelerators = capacity.accelerators - reserved.accelerators
    for size in unreported:
        millicores -= size.millicores
        memory_mb -= size.memory_mb
        accelerators -= size.accelerators
    return FreeResources(millicores, memory_mb, accelerators)


def explain_oversize(
    size: messages.Resources, capacities: Sequence[messages.Resources]
) -> str | None:
    """Return why the size fits none of the capacities; None if it fits one or none are given."""
    free_by_worker = [compute_free(capacity, messages.Resources(), ()) for capacity in capacities]
    if not free_by_worker or any(free.fits(size) for free in free_by_worker):
        return None
    largest = [max(column) for column in zip(*free_by_worker, strict=True)]
    return (
        f"requests {size.millicores} millicores, {size.memory_mb} MB and {size.accelerators} "
        f"accelerators; no worker has all of these, the largest amounts on any worker are "
        f"{largest[0]} millicores, {largest[1]} MB and {largest[2]} accelerators"
    )


def compute_utilisation(
    capacity: messages.Resources, free: FreeResources, size: messages.Resources
) -> float:
    """Return the larger of processor and memory utilisation (0 to 1) with the size added."""
    used = 1.0 - (free.millicores - size.millicores) / max(capacity.millicores, 1)
    used_memory = 1.0 - (free.memory_mb - size.memory_mb) / max(capacity.memory_mb, 1)
    return max(used, used_memory)


def compute_log_limit(slowdown: float) -> float:
    """Return the logarithm of a slowdown limit; infinite for a limit of 0, which means none."""
    return math.log(slowdown) if slowdown > 0.0 else math.inf


class UrgentReserve:
    """Keep ``URGENT_RESERVE`` of the cell free on a single worker.

    Spread over all workers, the reserve would be too small on each of them for one task. While no
    worker has that much free, the one with the most free processors takes no ordinary batch.
    """

    def __init__(
        self, capacities: Sequence[messages.Resources], free_by_worker: Sequence[FreeResources]
    ) -> None:
        total_cores = sum(capacity.millicores for capacity in capacities)
        total_memory = sum(capacity.memory_mb for capacity in capacities)
        largest_cores = max((capacity.millicores for capacity in capacities), default=0)
        largest_memory = max((capacity.memory_mb for capacity in capacities), default=0)
        self._needed = messages.Resources(
            millicores=min(math.ceil(URGENT_RESERVE * total_cores), largest_cores // 2),
            memory_mb=min(math.ceil(URGENT_RESERVE * total_memory), largest_memory // 2),
        )
        fitting = [index for index, free in enumerate(free_by_worker) if free.fits(self._needed)]
        self._reserved_index = fitting[0] if len(fitting) == 1 else None
        if not fitting and free_by_worker:
            self._reserved_index = max(
                range(len(free_by_worker)), key=lambda index: free_by_worker[index].millicores
            )

    def allows(self, index: int, free: FreeResources, size: messages.Resources) -> bool:
        """Return whether ordinary batch may take ``size`` on the worker at ``index``."""
        if index != self._reserved_index:
            return True
        left = FreeResources(free.millicores - size.millicores, free.memory_mb - size.memory_mb, 0)
        return left.fits(self._needed)


class ServiceSlowdown(NamedTuple):
    """A service on a worker and the predicted logarithm of its current slowdown."""

    service: ids.ServiceName
    log_slowdown: float


class Impact(NamedTuple):
    """Effect of one more task on the services of a worker.

    ``cost`` is the added relative p99, summed over the services. ``worst`` is the largest expected
    logarithm of the slowdown among the services that the task slows down by at least ``MIN_SLOPE``.
    ``untested`` are the services whose pair with the task's class is not tested.
    """

    cost: float
    worst: float
    untested: tuple[ids.ServiceName, ...]


def compute_slowdowns(
    interference_model: interference.InterferenceModel,
    worker: ids.WorkerId,
    exposure: Mapping[str, float],
) -> list[ServiceSlowdown]:
    """Return the predicted current slowdown of each service on a worker."""
    return [
        ServiceSlowdown(
            service, min(interference_model.predict(service, exposure), MAX_LOG_SLOWDOWN)
        )
        for service in interference_model.get_excess_by_service(worker)
    ]


def compute_impact(
    interference_model: interference.InterferenceModel,
    slowdowns: Sequence[ServiceSlowdown],
    job_class: str,
    deviations: float,
) -> Impact:
    """Return the impact of a task; its cost includes ``deviations`` standard deviations."""
    cost = 0.0
    worst = 0.0
    untested = []
    for service, log_slowdown in slowdowns:
        mean, deviation, reports = interference_model.estimate(service, job_class)
        added = mean + deviations * deviation
        if added > 0.0:
            cost += math.exp(log_slowdown) * math.expm1(min(added, MAX_LOG_SLOWDOWN))
        if mean >= MIN_SLOPE:
            worst = max(worst, log_slowdown + mean)
        if reports < interference.TESTED_REPORTS:
            untested.append(service)
    return Impact(cost, worst, tuple(untested))


def choose_preempted(
    free: FreeResources,
    size: messages.Resources,
    runs: Iterable[tuple[model.RunKey, messages.Resources]],
) -> tuple[model.RunKey, ...] | None:
    """Return runs whose end makes enough resources free for ``size``; None if all do not suffice.

    The largest runs are chosen first, so that few are preempted.
    """
    needed_cores = size.millicores - free.millicores
    needed_memory = size.memory_mb - free.memory_mb
    needed_accelerators = size.accelerators - free.accelerators
    chosen: list[model.RunKey] = []
    for key, reserved in sorted(
        runs, key=lambda run: (-run[1].millicores, -run[1].memory_mb, run[0])
    ):
        if needed_cores <= 0 and needed_memory <= 0 and needed_accelerators <= 0:
            break
        chosen.append(key)
        needed_cores -= reserved.millicores
        needed_memory -= reserved.memory_mb
        needed_accelerators -= reserved.accelerators
    if needed_cores > 0 or needed_memory > 0 or needed_accelerators > 0:
        return None
    return tuple(chosen)
