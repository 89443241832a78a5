"""Worker views and tasks for the placement tests."""

import random

from crocusrudder.placement import model
from crocusrudder.placement import policy
from crocusrudder.wire import messages

RUNNING = messages.RunState.RUNNING
SUCCEEDED = messages.RunState.SUCCEEDED
FAILED = messages.RunState.FAILED
CHECKPOINTED = messages.RunState.CHECKPOINTED


class View:
    """A worker view whose reservations follow its runs."""

    def __init__(self, worker: str, millicores: int = 16_000, memory_mb: int = 64_000) -> None:
        self.worker = worker
        self.capacity = messages.Resources(millicores, memory_mb, 0)
        self.reserved = messages.Resources()
        self.draining = False
        self.runs: dict = {}
        self.latencies = ()

    def start(self, task: model.PlacementTask, epoch: int = 1) -> None:
        """Add a live run and its reservation."""
        self.runs[(task.task, epoch)] = messages.TaskStatus(task.task, epoch, RUNNING)
        self._reserve(task.size, 1)

    def end(self, task: model.PlacementTask, epoch: int = 1) -> None:
        """Remove a run and its reservation."""
        del self.runs[(task.task, epoch)]
        self._reserve(task.size, -1)

    def _reserve(self, size: messages.Resources, sign: int) -> None:
        self.reserved = messages.Resources(
            self.reserved.millicores + sign * size.millicores,
            self.reserved.memory_mb + sign * size.memory_mb,
            self.reserved.accelerators + sign * size.accelerators,
        )


def make_views(count: int, **capacity: int) -> list[View]:
    """Return views of empty workers."""
    return [View(f"worker-{index}", **capacity) for index in range(count)]


def make_task(
    name: str, job_class: str = "batch", millicores: int = 1000, urgent: bool = False
) -> model.PlacementTask:
    """Return a task; its name is ``<job>.<index>``."""
    size = messages.Resources(millicores, 1000, 0)
    job = name.rpartition(".")[0]
    return model.PlacementTask(name, job, job_class, "team", size, urgent)


def make_policy(**settings: object) -> policy.PlacementPolicy:
    """Return a policy with a fixed seed."""
    return policy.PlacementPolicy(random.Random(1), policy.PolicySettings(**settings))
