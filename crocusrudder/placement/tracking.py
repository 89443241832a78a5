"""State of the placement policy per worker: runs, throttles, predicted slowdowns, start rate."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from crocusrudder.core import ids
from crocusrudder.placement import model
from crocusrudder.placement import scoring
from crocusrudder.wire import messages

STARTS_PER_SECOND = 4.0
"""Limit on starts per worker, so that fast failures do not make a worker look idle."""
STARTS_BURST = 8.0

LIVE_STATES = frozenset(
    {messages.RunState.STARTING, messages.RunState.RUNNING, messages.RunState.SUSPENDED}
)


class Run:
    """A run that the policy has recorded; ``share`` is its processor share (0 to 1)."""

    def __init__(self, task: model.PlacementTask, started: float) -> None:
        self.task = task
        self.started = started
        self.share = 1.0
        self.throttled_at: float | None = None
        self.is_restored = False
        self.move_requested_at: float | None = None
        self.peak_millicores = 0
        self.peak_memory_mb = 0
        self.is_sampled = False

    @property
    def peak(self) -> messages.Resources:
        """Return the largest reported usage."""
        return messages.Resources(self.peak_millicores, self.peak_memory_mb, 0)

    def record_usage(self, usage: messages.Resources) -> None:
        """Update the peaks; that of processors only while the run is not throttled.

        A throttled run uses less than it needs.
        """
        if self.share >= 1.0:
            self.peak_millicores = max(self.peak_millicores, usage.millicores)
        self.peak_memory_mb = max(self.peak_memory_mb, usage.memory_mb)


class WorkerState:
    """Runs, predicted slowdowns and start rate of one worker."""

    def __init__(self) -> None:
        self.runs: dict[ids.TaskId, Run] = {}
        self.unreported: dict[ids.TaskId, messages.Resources] = {}
        """Sizes of the started tasks that no report of the worker contains yet."""
        self.slowdowns: list[scoring.ServiceSlowdown] | None = None
        self.slowdowns_at = float("-inf")
        self.impacts: dict[str, scoring.Impact] = {}
        """Impact of one more task of each class at the current slowdowns."""
        self.last_action_at = float("-inf")
        self._tokens = STARTS_BURST
        self._tokens_at = float("-inf")

    @property
    def exposure(self) -> dict[str, float]:
        """Return the running tasks per class, weighted by their processor share."""
        total: dict[str, float] = {}
        for run in self.runs.values():
            name = run.task.job_class
            total[name] = total.get(name, 0.0) + run.share
        return total

    def compute_reported_exposure(self, reported: Iterable[str]) -> dict[str, float]:
        """Return the exposure by the reported class of each run, with the recorded shares."""
        counts = collections.Counter(reported)
        recorded = collections.Counter(run.task.job_class for run in self.runs.values())
        exposure = self.exposure
        return {
            name: count * exposure[name] / recorded[name] if recorded[name] else float(count)
            for name, count in counts.items()
        }

    def compute_free(self, view: model.WorkerView) -> scoring.FreeResources:
        """Return the free resources, less the starts that the worker has not reported yet."""
        if self.unreported:
            reported = list_live(view)
            for task in [task for task in self.unreported if task in reported]:
                del self.unreported[task]
        return scoring.compute_free(view.capacity, view.reserved, self.unreported.values())

    def add(self, task: model.PlacementTask, now: float) -> None:
        self.runs[task.task] = Run(task, now)
        self.unreported[task.task] = task.size
        self.invalidate_slowdowns()

    def remove(self, task: ids.TaskId) -> Run | None:
        """Remove an ended run and return it, or None if it was not recorded."""
        self.unreported.pop(task, None)
        self.invalidate_slowdowns()
        return self.runs.pop(task, None)

    def invalidate_slowdowns(self) -> None:
        """Discard the cached slowdowns and impacts, which are then computed again."""
        self.slowdowns = None
        self.impacts.clear()

    def has_token(self, now: float) -> bool:
        if self._tokens >= 1.0:
            return True
        self._refill(now)
        return self._tokens >= 1.0

    def take_token(self, now: float) -> None:
        """Count one start against the start rate."""
        self._refill(now)
        self._tokens = max(self._tokens - 1.0, 0.0)

    def _refill(self, now: float) -> None:
        passed = max(now - self._tokens_at, 0.0)
        self._tokens_at = max(now, self._tokens_at)
        self._tokens = min(self._tokens + passed * STARTS_PER_SECOND, STARTS_BURST)


def list_live(view: model.WorkerView) -> Mapping[ids.TaskId, ids.TaskEpoch]:
    """Return the epoch of each live run of a worker."""
    return {
        task: epoch for (task, epoch), status in view.runs.items() if status.state in LIVE_STATES
    }
