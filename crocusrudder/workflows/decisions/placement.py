"""Choose workers for tasks."""

import collections
import functools
import itertools
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import fleet
from crocusrudder.workflows import health
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows import waiting_reasons
from crocusrudder.workflows.decisions import candidates
from crocusrudder.workflows.decisions import colocation
from crocusrudder.workflows.decisions import constraints
from crocusrudder.workflows.decisions import throttling

MAX_LAST_RESORT_SCORES = 5_000
"""Workers scored in one plan for tasks of starved jobs, at 4 to 8 us each."""

MAX_UNPLACEABLE = 64
"""Demands that are remembered as not placeable, each of which is compared with later ones."""

REJECTED_SCORE = 0.125
"""Cost of a worker without room, as a share of the cost of a worker that is scored."""

MAX_RESERVED_SHARE = 0.5
"""Reserved share of a service's capacity up to which starved best-effort jobs share processors
that other best-effort tasks have requested. From half on, the requirement lets jobs wait."""

ChooseFunction = Callable[[job_registry.Task, ids.ServiceName], candidates.CandidateWorker | None]
"""Return the worker for a task; None if none fits."""


class CandidatePool:
    """The workers to which plans may assign tasks, by service.

    Free capacity is kept from plan to plan; ``refresh`` computes it again for workers that have
    changed.
    """

    def __init__(self, throttle_controller: throttling.ThrottleController) -> None:
        self._throttle_controller = throttle_controller
        self._colocation = colocation.ColocationRules(throttle_controller)
        self._views: Mapping[ids.ProcessId, fleet.AgentView] = {}
        self._known: dict[ids.ProcessId, candidates.CandidateWorker] = {}
        self._usable: dict[ids.ProcessId, candidates.CandidateWorker] = {}
        self._by_service: dict[ids.ServiceName, list[candidates.CandidateWorker]] = {}
        self._set_aside: dict[ids.ServiceName, list[candidates.CandidateWorker]] = {}
        self._rankings: dict[candidates.Shape, candidates.Ranking] = {}
        self._changes: list[candidates.CandidateWorker] = []
        self._withheld: set[ids.ProcessId] = set()
        self._unplaceable: dict[tuple, list[messages.Resources]] = {}
        """Demands that no worker could meet, by service and the other constraints of placement."""
        self._largest: dict[ids.ServiceName, messages.Resources] = {}
        """Most of each resource that is free on any worker, by service."""
        self._labels: dict[ids.ServiceName, frozenset[str]] = {}
        """Labels of all workers, by service."""
        self.examined_workers = 0
        """Number of times that a worker was examined for a task, over all plans."""
        self._last_resort_rankings: dict[candidates.Shape, candidates.Ranking] = {}
        self._last_resort_scores = 0.0
        self._reserved_shares: dict[candidates.Shape, float] = {}
        self.preferred_racks: dict[job_registry.StageRecord, str] = {}
        """Racks chosen for groups of which no task is assigned yet."""

    def refresh(self, views: Mapping[ids.ProcessId, fleet.AgentView], now: float) -> None:
        """Begin a plan with the current state of the workers."""
        self._views = views
        self._usable = {}
        self._by_service = {}
        self._set_aside = {}
        self._rankings = {}
        self._changes = []
        self._unplaceable = {}
        self._largest = {}
        self._labels = {}
        self._last_resort_rankings = {}
        self._last_resort_scores = 0
        self._reserved_shares = {}
        self._withheld = set()
        schedulable = [view for view in views.values() if view.is_schedulable(now)]
        set_aside = health.select_set_aside(schedulable, now)
        self._colocation.begin_plan(views.values())
        for view in schedulable:
            if view.agent in set_aside:
                self._add_candidate(view, self._set_aside)
            else:
                self._usable[view.agent] = self._add_candidate(view, self._by_service)

    def _add_candidate(
        self,
        view: fleet.AgentView,
        by_service: dict[ids.ServiceName, list[candidates.CandidateWorker]],
    ) -> candidates.CandidateWorker:
        candidate = self._known.get(view.agent)
        if candidate is None or candidate.view is not view or not candidate.is_current:
            candidate = candidates.CandidateWorker(view)
            self._known[view.agent] = candidate
        same_service = by_service.setdefault(view.worker.service, [])
        candidate.index = len(same_service)
        same_service.append(candidate)
        return candidate

    def choose(
        self, task: job_registry.Task, service: ids.ServiceName
    ) -> candidates.CandidateWorker | None:
        """Return the best worker for a task; None if none fits."""
        spec = task.stage.spec
        key = (service, spec.required_label, spec.best_effort and spec.image)
        unplaceable = self._unplaceable.setdefault(key, [])
        # Free capacity only shrinks while a plan is made, so a demand at least as large as one that
        # did not fit will not fit either.
        if any(demand.is_within(spec.demand) for demand in unplaceable):
            return None
        if not self._is_demand_met(spec, service):
            return None
        candidate = self._find_best(task, service)
        if candidate is None and not spec.max_per_worker and len(unplaceable) < MAX_UNPLACEABLE:
            unplaceable.append(spec.demand)
        return candidate

    def _is_demand_met(self, spec: model.Stage, service: ids.ServiceName) -> bool:
        """Return False if no worker has the label, or as much of a resource, as a task demands."""
        workers = self._by_service.get(service, ())
        labels = self._labels.get(service)
        if labels is None:
            labels = frozenset().union(*(worker.labels for worker in workers))
            self._labels[service] = labels
        if spec.required_label and spec.required_label not in labels:
            return False
        largest = self._largest.get(service)
        if largest is None:
            largest = self._largest[service] = messages.Resources(
                max((worker.millicores for worker in workers), default=-1),
                max((worker.memory_mb for worker in workers), default=-1),
                max((worker.accelerators for worker in workers), default=-1),
            )
        demand = spec.demand
        if spec.best_effort:
            demand = msgspec.structs.replace(demand, millicores=0)
        return demand.is_within(largest)

    @property
    def may_search_last_resort(self) -> bool:
        """Return whether this plan may take more time for tasks of starved jobs."""
        return self._last_resort_scores < MAX_LAST_RESORT_SCORES

    def choose_last_resort(
        self, task: job_registry.Task, service: ids.ServiceName
    ) -> candidates.CandidateWorker | None:
        """Return the best worker for a job with nothing running, or None if none fits.

        Workers that are set aside may be chosen, and for a best-effort task also workers on which
        it is expected to interfere; the caller has to limit its CPU share.
        """
        spec = task.stage.spec
        key = (service, spec.required_label, spec.best_effort, "last_resort")
        unplaceable = self._unplaceable.setdefault(key, [])
        if any(demand.is_within(spec.demand) for demand in unplaceable):
            return None
        shape = self._make_shape(task, service)
        ranking = self._last_resort_rankings.get(shape)
        if ranking is None:
            workers = (*self._by_service.get(service, ()), *self._set_aside.get(service, ()))
            self.examined_workers += len(workers)
            self._last_resort_scores += REJECTED_SCORE * len(workers)
            self._reserved_shares[shape] = candidates.compute_reserved_share(workers, spec.demand)
            ranking = self._last_resort_rankings[shape] = candidates.Ranking(
                workers,
                functools.partial(self._score_last_resort, task.stage, shape),
                self._changes,
            )
        candidate = ranking.find_best(lambda other: other.view.agent not in self._withheld)
        if candidate is None and not spec.max_per_worker and len(unplaceable) < MAX_UNPLACEABLE:
            unplaceable.append(spec.demand)
        return candidate

    def reserve(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> None:
        """Reserve capacity of a worker for a task of the stage."""
        candidate.reserve(spec)
        self._changes.append(candidate)
        if spec.best_effort:
            self._colocation.record_tests(candidate.view, spec.image)

    def release(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> None:
        """Undo ``reserve``; demands that did not fit are tried again."""
        candidate.release(spec)
        self._changes.append(candidate)
        self._unplaceable.clear()
        self._largest.clear()

    def find(self, agent: ids.ProcessId) -> candidates.CandidateWorker | None:
        """Return the worker of an agent; None if plans may not assign tasks to it."""
        return self._usable.get(agent)

    def count_fitting(
        self, spec: model.Stage, service: ids.ServiceName, shares_cpu: bool = False
    ) -> int:
        """Return an upper bound of how many tasks of a stage fit on all workers together."""
        usable = self._by_service.get(service, ())
        return sum(
            candidate.count_fitting(spec, shares_cpu)
            for candidate in itertools.chain(usable, self._set_aside.get(service, ()))
            if constraints.has_label(candidate, spec) and candidate.view.agent not in self._withheld
        )

    def count_workers(self, service: ids.ServiceName) -> int:
        """Return the number of workers of a service to which plans may assign tasks."""
        return len(self._by_service.get(service, ()))

    def list_usable(self, service: ids.ServiceName) -> list[candidates.CandidateWorker]:
        """Return the workers of a service that are not withheld, with room or without."""
        usable = self._by_service.get(service, ())
        return [worker for worker in usable if worker.view.agent not in self._withheld]

    def withhold(self, agent: ids.ProcessId) -> None:
        """Choose a worker for no further task of this plan."""
        self._withheld.add(agent)

    def is_harmless(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> bool:
        """Return whether a best-effort task is not expected to be throttled on a worker."""
        return self._colocation.is_harmless(candidate, spec)

    def is_allowed(self, candidate: candidates.CandidateWorker, task: job_registry.Task) -> bool:
        """Return whether a task may run on a worker, withheld or not."""
        is_hindered = self._find_obstacle(candidate, task.stage) is not None
        return not is_hindered and self._colocation.may_test(candidate, task.stage.spec)

    def has_allowed(self, task: job_registry.Task, service: ids.ServiceName) -> bool:
        """Return whether a task may run on any worker, withheld or not."""
        return any(self.is_allowed(other, task) for other in self._by_service.get(service, ()))

    def list_allowed(
        self, task: job_registry.Task, service: ids.ServiceName
    ) -> list[candidates.CandidateWorker]:
        """Return the workers on which a task may run and that are not withheld."""
        return [
            candidate
            for candidate in self._by_service.get(service, ())
            if candidate.view.agent not in self._withheld and self.is_allowed(candidate, task)
        ]

    def explain(
        self, stage: job_registry.StageRecord, service: ids.ServiceName, now: float
    ) -> collections.Counter[waiting_reasons.WaitReason]:
        """Count the workers by the reason why a task of the stage cannot be placed there now."""
        return collections.Counter(
            self._explain_worker(view, stage, now)
            for view in self._views.values()
            if view.worker is None or view.worker.service == service
        )

    def explain_runs(
        self, tasks: Iterable[job_registry.Task], now: float
    ) -> collections.Counter[waiting_reasons.WaitReason]:
        """Count assigned tasks by the reason why they are not running."""
        return collections.Counter(
            self._views[task.agent].find_run_obstacle(task, now) for task in tasks
        )

    def _explain_worker(
        self, view: fleet.AgentView, stage: job_registry.StageRecord, now: float
    ) -> waiting_reasons.WaitReason:
        reason = view.find_block_reason(now)
        if reason is not None:
            return reason
        candidate = self._usable.get(view.agent)
        if candidate is None:
            return waiting_reasons.WaitReason.SET_ASIDE
        if view.agent in self._withheld:
            return waiting_reasons.WaitReason.TRIAL
        reason = self._find_obstacle(candidate, stage)
        if reason is waiting_reasons.WaitReason.NO_CAPACITY:
            # Only the room that is kept for moved runs is reserved without an assignment.
            is_kept = candidates.CandidateWorker(view).fits(stage.spec)
            return waiting_reasons.WaitReason.KEPT_ROOM if is_kept else reason
        if reason is None and not self._colocation.may_test(candidate, stage.spec):
            return waiting_reasons.WaitReason.TESTED_ELSEWHERE
        return reason or waiting_reasons.WaitReason.FITS

    def _find_best(
        self, task: job_registry.Task, service: ids.ServiceName
    ) -> candidates.CandidateWorker | None:
        shape = self._make_shape(task, service)
        ranking = self._rankings.get(shape)
        if ranking is None:
            workers = self._by_service.get(service, ())
            self.examined_workers += len(workers)
            ranking = self._rankings[shape] = candidates.Ranking(
                workers,
                functools.partial(self._score, task.stage, shape),
                self._changes,
            )
        return ranking.find_best(
            lambda candidate: (
                candidate.view.agent not in self._withheld
                and self._colocation.may_test(candidate, task.stage.spec)
            )
        )

    def _make_shape(self, task: job_registry.Task, service: ids.ServiceName) -> candidates.Shape:
        spec = task.stage.spec
        return candidates.Shape(
            service,
            spec.demand,
            spec.required_label,
            spec.data_rack,
            spec.image,
            spec.target_ms,
            spec.best_effort,
            self._find_preferred_rack(task.stage, service) if spec.same_rack else None,
            frozenset(task.avoided_agents),
            task.stage if spec.max_per_worker else None,
        )

    def _find_preferred_rack(
        self, stage: job_registry.StageRecord, service: ids.ServiceName
    ) -> str | None:
        """Return the rack for the rest of a stage; None if it already runs in several."""
        racks = self.list_racks(stage)
        if racks:
            return racks.pop() if len(racks) == 1 else None
        if stage in self.preferred_racks:
            return self.preferred_racks[stage]
        # The first task chooses the rack with the most free capacity for the remaining ones.
        return self._find_rack_with_most_capacity(stage.spec, service)

    def list_racks(self, stage: job_registry.StageRecord) -> set[str]:
        """Return the racks in which tasks of a stage are assigned; empty for an unknown one."""
        return {
            candidates.get_rack(self._views[agent]) if agent in self._views else ""
            for agent in stage.agents
        }

    def list_runs(self, stage: job_registry.StageRecord) -> list[fleet.Assignment]:
        """Return the current runs of a stage's tasks."""
        views = ((task, self._views.get(task.agent)) for task in stage.list_assigned())
        runs = (view and view.assignments.get((task.name, task.run)) for task, view in views)
        return [run for run in runs if run is not None]

    def list_rack(self, rack: str, service: ids.ServiceName) -> list[candidates.CandidateWorker]:
        """Return the workers of a rack to which this plan may assign tasks."""
        return [
            candidate
            for candidate in self._by_service.get(service, ())
            if rack in candidate.labels and candidate.view.agent not in self._withheld
        ]

    def may_share(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> bool:
        """Return whether a task may run beside the latency-critical tasks of a worker."""
        return not spec.best_effort or self._colocation.find_obstacle(candidate, spec) is None

    def _find_rack_with_most_capacity(self, spec: model.Stage, service: ids.ServiceName) -> str:
        counts = self.count_by_rack(spec, service)
        return max(counts, key=lambda rack: (counts[rack], rack), default="")

    def count_by_rack(self, spec: model.Stage, service: ids.ServiceName) -> dict[str, int]:
        """Return how many tasks of a stage fit in each rack."""
        counts: dict[str, int] = {}
        for candidate in self._by_service.get(service, ()):
            if constraints.has_label(candidate, spec):
                count = candidate.count_fitting(spec)
                counts[candidate.rack] = counts.get(candidate.rack, 0) + count
        return counts

    def _find_obstacle(
        self, candidate: candidates.CandidateWorker, stage: job_registry.StageRecord
    ) -> waiting_reasons.WaitReason | None:
        """Return why a task of the stage must not run on the worker; None if it may."""
        spec = stage.spec
        if not constraints.has_label(candidate, spec):
            return waiting_reasons.WaitReason.MISSING_LABEL
        if not candidate.fits(spec):
            return waiting_reasons.WaitReason.NO_CAPACITY
        if constraints.is_at_limit(candidate, stage):
            return waiting_reasons.WaitReason.WORKER_LIMIT
        if constraints.is_cold_at_limit(candidate):
            return waiting_reasons.WaitReason.COLD
        return self._colocation.find_obstacle(candidate, spec) if spec.best_effort else None

    def _score(
        self,
        stage: job_registry.StageRecord,
        shape: candidates.Shape,
        candidate: candidates.CandidateWorker,
    ) -> candidates.Score | None:
        """Return a worker's sort key for a task of the stage; None if it must not run there."""
        if self._find_obstacle(candidate, stage) is not None:
            return None
        spec = stage.spec
        is_avoided = candidate.view.agent in shape.avoided_agents
        is_remote = bool(spec.data_rack) and spec.data_rack not in candidate.labels
        if shape.preferred_rack is not None:
            is_remote = is_remote or candidate.rack != shape.preferred_rack
        capacity = max(candidate.capacity.millicores, 1)
        if spec.target_ms:
            # Latency-critical tasks are packed on few workers, which leaves the other workers to
            # interfering tasks. A worker is shared by few images, as each best-effort image
            # interferes with some of them.
            latency_ratio = self._throttle_controller.predict_stage_latency_ratio(
                candidate.view, spec
            )
            is_over_limit = latency_ratio > throttling.PREDICTED_LIMIT
            other_images = len(candidate.latency_critical_images - {spec.image})
            is_first = not candidate.latency_critical_count
            return (
                is_avoided,
                is_remote,
                is_over_limit,
                is_first,
                other_images,
                candidate.millicores / capacity,
            )
        if spec.best_effort:
            idle = max(candidate.idle_millicores - candidate.best_effort_millicores, 0) / capacity
            return (is_avoided, is_remote, *self._colocation.rank(candidate, spec), -idle)
        return (is_avoided, is_remote, -candidate.millicores / capacity)

    def _score_last_resort(
        self,
        stage: job_registry.StageRecord,
        shape: candidates.Shape,
        candidate: candidates.CandidateWorker,
    ) -> candidates.Score | None:
        """Return a worker's sort key for a task of a job with nothing running."""
        spec = stage.spec
        view = candidate.view
        is_set_aside = view.agent not in self._usable
        if not spec.best_effort:
            score = self._score(stage, shape, candidate)
            self._last_resort_scores += score is not None
            return None if score is None else (is_set_aside, *score)
        shares_cpu = self._reserved_shares[shape] < MAX_RESERVED_SHARE
        has_room = candidate.fits_beside_cpu(spec) if shares_cpu else candidate.fits(spec)
        if not has_room or not constraints.allows(candidate, stage):
            return None
        self._last_resort_scores += 1
        return (
            is_set_aside,
            view.agent in shape.avoided_agents,
            self._throttle_controller.is_near_target(view),
            # The share of the image's other runs on the worker would be limited too.
            spec.image in view.usage.best_effort_by_image,
            self._throttle_controller.predict_latency_ratio(view, spec),
            candidate.best_effort_millicores / max(candidate.idle_millicores, 1),
        )
