"""List the places in a rack: those that are free, and those that runs are expected to leave.

Load pattern: as for ``locality``. Dozens of stages want the same full rack, so what is alike for
them is listed once in a plan.
"""

import math
from typing import NamedTuple

from crocusrudder.core import ids
from crocusrudder.workflows import job_registry
from crocusrudder.workflows.decisions import candidates
from crocusrudder.workflows.decisions import constraints
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import forecasts
from crocusrudder.workflows.decisions import locality
from crocusrudder.workflows.decisions import placement


class Request(NamedTuple):
    """Tasks of a stage that are to run in a rack."""

    stage: job_registry.StageRecord
    tasks: list[job_registry.Task]
    service: ids.ServiceName
    rack: str


class RackPlaces:
    """List the places for tasks in a rack, in one plan."""

    def __init__(
        self,
        pool: placement.CandidatePool,
        duration_model: durations.DurationModel,
        far_factor: float,
    ) -> None:
        self._pool = pool
        self._forecaster = forecasts.PlaceForecaster(duration_model, far_factor)
        self._free: dict[tuple, int | None] = {}
        self._later: dict[tuple, list[locality.Place]] = {}

    def begin_plan(self) -> None:
        """Drop what was listed for the last plan."""
        self._free = {}
        self._later = {}

    def list_first(
        self, request: Request, needed: float, now: float
    ) -> list[locality.Place] | None:
        """Return at least the first places by time, before the plan has taken any.

        None if the tasks may run on no worker of the rack; fewer than needed if there are not more.
        """
        key = _make_key(request)
        if key not in self._free:
            self._free[key] = self.count_free(request) if self._list_workers(request) else None
        count = self._free[key]
        if count is None:
            return None
        free = [locality.NOW] * count
        if count >= needed:
            return free
        if key not in self._later:
            self._later[key] = sorted(self.list_later(request, now))
        return free + self._later[key]

    def count_free(self, request: Request) -> int:
        """Return how many tasks fit now."""
        spec = request.stage.spec
        limit = spec.max_per_worker or math.inf
        workers = self._list_workers(request)
        return sum(min(worker.count_fitting(spec), limit) for worker in workers)

    def list_later(self, request: Request, now: float) -> list[locality.Place]:
        """Return the places that are not free yet, in no order."""
        workers = self._list_workers(request)
        return self._forecaster.list_places(workers, request.stage.spec, now)

    def _list_workers(self, request: Request) -> list[candidates.CandidateWorker]:
        """Return the workers on which the tasks may run as soon as there is room."""
        avoided = set.intersection(*(task.avoided_agents for task in request.tasks))
        return [
            worker
            for worker in self._pool.list_rack(request.rack, request.service)
            if worker.view.agent not in avoided
            and constraints.allows(worker, request.stage)
            and self._pool.may_share(worker, request.stage.spec)
        ]


def _make_key(request: Request) -> tuple:
    """Return what decides the places; stages with an equal key have the same places."""
    spec = request.stage.spec
    is_special = spec.max_per_worker or any(task.avoided_agents for task in request.tasks)
    return (
        request.rack,
        request.service,
        spec.demand,
        spec.best_effort,
        spec.required_label,
        spec.image if spec.best_effort else "",
        request.stage if is_special else None,
    )
