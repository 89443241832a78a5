"""Forecast when running tasks leave room for others.

Load pattern: as for ``locality``: a full rack in which dozens of runs end one by one.
"""

import itertools
import math
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from crocusrudder.core import ids
from crocusrudder.workflows import fleet
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import candidates
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import locality

KEPT_SECONDS = 0.25
"""Time for which the expected ends of a worker's runs are kept while no run starts or ends there;
agents report progress every 0.5 s."""
MIN_WAIT_SECONDS = 0.001
"""Expected wait for a run whose end is overdue; 0 means that a place is free."""


class _RunEnd(NamedTuple):
    """When a run is expected to end, on the owner's clock."""

    at: float
    late_at: float
    spec: model.Stage


class _KeptEnds(NamedTuple):
    usage: fleet.Usage
    made_at: float
    ends: list[_RunEnd]
    places: dict[tuple, list[tuple[float, float]]]
    """Times at which places become free, by what they are for."""


class PlaceForecaster:
    """Expect places to become free when runs end, as their learned durations and progress tell."""

    def __init__(self, duration_model: durations.DurationModel, far_factor: float) -> None:
        self._duration_model = duration_model
        self._far_factor = far_factor
        self._kept: dict[ids.ProcessId, _KeptEnds] = {}

    def list_places(
        self, workers: Iterable[candidates.CandidateWorker], spec: model.Stage, now: float
    ) -> list[locality.Place]:
        """Return the places for tasks of a stage that are not free yet, in no order."""
        return [
            locality.Place(max(at - now, MIN_WAIT_SECONDS), max(late_at - now, MIN_WAIT_SECONDS))
            for worker in workers
            for at, late_at in self._list_worker_places(worker.view, spec, now)
        ]

    def _list_worker_places(
        self, view: fleet.AgentView, spec: model.Stage, now: float
    ) -> list[tuple[float, float]]:
        """Return when places become free on a worker, and when at the latest."""
        kept = self._keep_ends(view, now)
        key = (spec.demand, spec.best_effort, spec.max_per_worker)
        places = kept.places.get(key)
        if places is None:
            places = kept.places[key] = list(_iterate_places(view, kept.ends, spec))
        return places

    def _keep_ends(self, view: fleet.AgentView, now: float) -> _KeptEnds:
        """Return the runs on a worker that are expected to end, by the time of the end."""
        kept = self._kept.get(view.agent)
        if kept is None or kept.usage is not view.usage or now - kept.made_at >= KEPT_SECONDS:
            ends = sorted(self._iterate_ends(view, now), key=lambda end: end.at)
            kept = self._kept[view.agent] = _KeptEnds(view.usage, now, ends, {})
        return kept

    def _iterate_ends(self, view: fleet.AgentView, now: float) -> Iterator[_RunEnd]:
        for run in view.assignments.values():
            if run.task is None:
                continue
            place = self._estimate_remaining(run, now)
            if place.seconds < math.inf:
                spec = run.task.stage.spec
                yield _RunEnd(now + place.seconds, now + place.late_seconds, spec)

    def _estimate_remaining(self, run: fleet.Assignment, now: float) -> locality.Place:
        """Return when a run is expected to leave its place."""
        if run.phase is fleet.AssignmentPhase.STOPPING:
            return locality.Place(locality.STOP_SECONDS, locality.STOP_SECONDS)
        task = run.task
        if task.stage.spec.long_running:
            return locality.NEVER
        estimate = self._duration_model.estimate(task.stage)
        factor = self._far_factor if run.is_far else 1.0
        return locality.estimate_remaining(
            estimate.seconds * factor,
            estimate.deviation,
            None if run.is_adopted else now - task.assigned_at,
            task.percent,
            task.progressed_at - task.assigned_at,
        )


def _iterate_places(
    view: fleet.AgentView, ends: Iterable[_RunEnd], spec: model.Stage
) -> Iterator[tuple[float, float]]:
    """Yield the expected and the late time of each place that the ends leave."""
    scratch = candidates.CandidateWorker(view)
    count = scratch.count_fitting(spec)
    limit = spec.max_per_worker or math.inf
    for end in ends:
        scratch.release(end.spec)
        fitting = min(scratch.count_fitting(spec), limit)
        yield from itertools.repeat((end.at, end.late_at), max(fitting - count, 0))
        count = max(count, fitting)
