"""Choose paused best-effort runs to move to workers where they can work.

Load pattern: many batch jobs beside latency-critical tasks with which some of their images
interfere. A run that is paused for that holds up its job. Harmless room that becomes free goes to
paused runs and waiting tasks in one order, that of their jobs; if waiting tasks took it first, jobs
under way would stay unfinished while new ones start.
"""

from collections.abc import Mapping
from typing import NamedTuple

from crocusrudder.core import ids
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows.decisions import candidates
from crocusrudder.workflows.decisions import placement
from crocusrudder.workflows.decisions import throttling

KEEP_ROOM_SECONDS = 1.5
"""Time for which room is kept for a moved run; a stop takes 0.9 s at most, and a report follows."""


class Move(NamedTuple):
    """A run to stop so that its task can continue on another worker."""

    view: fleet.AgentView
    run: fleet.Assignment


class _KeptRoom(NamedTuple):
    agent: ids.ProcessId
    until: float


class MovePlanner:
    """Select the runs to move and keep room for them until their tasks can be placed."""

    def __init__(
        self, pool: placement.CandidatePool, throttle_controller: throttling.ThrottleController
    ) -> None:
        self._pool = pool
        self._throttle_controller = throttle_controller
        self._paused: dict[ids.JobId, list[Move]] = {}
        self._kept: dict[job_registry.Task, _KeptRoom] = {}

    def begin(self, views: Mapping[ids.ProcessId, fleet.AgentView], now: float) -> None:
        """Begin a plan: find the paused runs, and reserve the room that is kept."""
        self._paused = {}
        for view in views.values():
            for run in self._throttle_controller.list_runs_to_move(view, now):
                job = run.task.record.job.job_id
                self._paused.setdefault(job, []).append(Move(view, run))
        self._kept = {
            task: kept
            for task, kept in self._kept.items()
            if now < kept.until
            and task.agent != kept.agent
            and task.phase is not job_registry.TaskPhase.DONE
            and not task.record.is_final
        }
        for task, kept in self._kept.items():
            candidate = self._pool.find(kept.agent)
            if candidate is not None:
                self._pool.reserve(candidate, task.stage.spec)

    def has_paused(self, job: ids.JobId) -> bool:
        """Return whether runs of a job have been paused too long."""
        return job in self._paused

    def select(
        self, record: job_registry.JobRecord, service: ids.ServiceName, now: float
    ) -> list[Move]:
        """Return the paused runs of a job that fit on another worker, and keep room for them."""
        selected = []
        for move in self._paused.get(record.job.job_id, ()):
            task = move.run.task
            candidate = self._choose(move, service)
            if candidate is None:
                continue
            self._pool.reserve(candidate, task.stage.spec)
            self._kept[task] = _KeptRoom(candidate.view.agent, now + KEEP_ROOM_SECONDS)
            selected.append(move)
        return selected

    def release_room(self, task: job_registry.Task) -> None:
        """Free the room kept for a task that is about to be placed."""
        kept = self._kept.pop(task, None)
        candidate = self._pool.find(kept.agent) if kept else None
        if candidate is not None:
            self._pool.release(candidate, task.stage.spec)

    def _choose(self, move: Move, service: ids.ServiceName) -> candidates.CandidateWorker | None:
        candidate = self._pool.choose(move.run.task, service)
        if candidate is None or candidate.view is move.view:
            return None
        return candidate if self._pool.is_harmless(candidate, move.run.task.stage.spec) else None
