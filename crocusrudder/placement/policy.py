"""The placement policy of a cell's owner: which worker, which reaction, whose fault."""

import random as random_module
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from crocusrudder.core import ids
from crocusrudder.placement import model
from crocusrudder.wire import messages


class PlacementPolicy:
    """Decide placements and reactions for the workers of an owner's cells.

    ``now`` is in seconds on the owner's monotonic clock. The policy has no input or output; the
    scheduler tells it every start and every end that it decides or learns of.
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._started: dict[ids.WorkerId, dict[ids.TaskId, model.PlacementTask]] = {}

    def choose_worker(
        self, task: model.PlacementTask, workers: Sequence[model.WorkerView], now: float
    ) -> ids.WorkerId | None:
        """Return the worker to start the task on, or None if it should wait for now."""
        fitting = [view for view in workers if self._fits(task, view)]
        if not fitting:
            return None
        return min(fitting, key=lambda view: view.reserved.millicores).worker

    def record_start(self, task: model.PlacementTask, worker: ids.WorkerId, now: float) -> None:
        """Record a start when it is decided, or a run that was adopted at a takeover.

        Until the run appears in the worker's ``runs``, the policy counts its size itself.
        """
        self._started.setdefault(worker, {})[task.task] = task

    def record_report(
        self,
        worker: ids.WorkerId,
        latencies: Mapping[ids.ServiceName, float],
        running_classes: Iterable[str],
        now: float,
    ) -> None:
        """Record a heartbeat: p99 in ms of each service, and the job class of each live run.

        ``latencies`` is empty when the heartbeat brought none; the classes are recorded anyway.
        """

    def record_end(
        self,
        task: ids.TaskId,
        worker: ids.WorkerId,
        state: messages.RunState,
        now: float,
        usage: messages.Resources | None = None,
        reason: str = "",
    ) -> None:
        """Record the end of a run.

        ``state`` is how it ended: SUCCEEDED and FAILED count for blame, CHECKPOINTED, STOPPED and
        REFUSED do not. ``usage`` is the largest measured usage, if any was reported.
        """
        self._started.get(worker, {}).pop(task, None)

    def propose_reactions(
        self, workers: Sequence[model.WorkerView], now: float
    ) -> list[model.Reaction]:
        """Return the reactions due now; call about once a second and carry out all of them."""
        return []

    def propose_preemption(
        self, task: model.PlacementTask, workers: Sequence[model.WorkerView], now: float
    ) -> model.Preemption | None:
        """Return the batch runs to checkpoint so that an urgent task fits, or None."""
        return None

    def find_verdict(self, job: ids.JobId) -> model.Verdict | None:
        """Return why the job can never run, or None if that is not established."""
        return None

    def check_size(
        self, size: messages.Resources, capacities: Iterable[messages.Resources]
    ) -> str | None:
        """Return why a job of this size fits no worker, or None if it fits at least one."""
        return None

    def is_quarantined(self, worker: ids.WorkerId, now: float) -> bool:
        """Return whether the worker gets no tasks because tasks fail there."""
        return False

    def release_worker(self, worker: ids.WorkerId) -> None:
        """Forget the failures of a worker, after an operator repaired or replaced it."""

    def remove_worker(self, worker: ids.WorkerId) -> None:
        """Forget a worker that left the cell."""
        self._started.pop(worker, None)

    def remove_job(self, job: ids.JobId) -> None:
        """Forget a job that ended or was cancelled."""

    def explain_worker(self, worker: ids.WorkerId, now: float) -> str:
        """Return why the worker is or is not quarantined, for the operator."""
        return ""

    def explain_job(self, job: ids.JobId) -> str:
        """Return what is known of the job's failures, for the operator."""
        return ""

    def dump(self) -> dict[str, object]:
        """Return what has been learned as JSON types for the state dump."""
        return {}

    def _fits(self, task: model.PlacementTask, view: model.WorkerView) -> bool:
        waiting = [
            started.size
            for key, started in self._started.get(view.worker, {}).items()
            if all(key != run for run, _ in view.runs)
        ]
        sizes = [view.reserved, task.size, *waiting]
        return not view.draining and all(
            sum(getattr(size, name) for size in sizes) <= getattr(view.capacity, name)
            for name in messages.Resources.__struct_fields__
        )
