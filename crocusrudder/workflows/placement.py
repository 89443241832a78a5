"""Choose workers for tasks."""

import functools
from collections.abc import Mapping

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import candidates
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows import throttling

MAX_TESTS = 2
"""Workers on which a pair of images is tested at a time; the second covers one that fails or whose
latency is not measured."""


class CandidatePool:
    """The workers to which plans may assign tasks, by service.

    Free capacity is kept from plan to plan; ``refresh`` computes it again for workers that have
    changed.
    """

    def __init__(self, throttle_controller: throttling.ThrottleController) -> None:
        self._throttle_controller = throttle_controller
        self._views: Mapping[ids.ProcessId, fleet.AgentView] = {}
        self._known: dict[ids.ProcessId, candidates.CandidateWorker] = {}
        self._usable: dict[ids.ProcessId, candidates.CandidateWorker] = {}
        self._by_service: dict[ids.ServiceName, list[candidates.CandidateWorker]] = {}
        self._rankings: dict[candidates.Shape, candidates.Ranking] = {}
        self._changes: list[candidates.CandidateWorker] = []
        self._testing: dict[tuple[str, str], set[ids.ProcessId]] = {}
        """Agents on which the interference of an untested pair of images is being measured."""
        self._withheld: set[ids.ProcessId] = set()
        self._unplaceable: dict[tuple, list[messages.Resources]] = {}
        """Demands that no worker could meet, by service and the other constraints of placement."""

    def refresh(self, views: Mapping[ids.ProcessId, fleet.AgentView], now: float) -> None:
        """Begin a plan with the current state of the workers."""
        self._views = views
        self._usable = {}
        self._by_service = {}
        self._rankings = {}
        self._changes = []
        self._unplaceable = {}
        self._testing = {}
        self._withheld = set()
        for view in views.values():
            for image in view.usage.best_effort_by_image:
                # A paused run does not interfere, so its worker measures nothing.
                if not self._throttle_controller.is_paused(view, image):
                    self._record_tests(view, image)
            if view.is_schedulable(now):
                candidate = self._known.get(view.agent)
                if candidate is None or candidate.view is not view or not candidate.is_current:
                    candidate = candidates.CandidateWorker(view)
                    self._known[view.agent] = candidate
                same_service = self._by_service.setdefault(view.worker.service, [])
                candidate.index = len(same_service)
                same_service.append(candidate)
                self._usable[view.agent] = candidate

    def choose(
        self, task: job_registry.Task, service: ids.ServiceName
    ) -> candidates.CandidateWorker | None:
        """Return the best worker for a task; None if none fits."""
        spec = task.stage.spec
        key = (service, spec.required_label, spec.best_effort and spec.image)
        unplaceable = self._unplaceable.setdefault(key, [])
        # Free capacity only shrinks while a plan is made, so a demand at least as large as one that
        # did not fit will not fit either.
        if any(_is_within(demand, spec.demand) for demand in unplaceable):
            return None
        candidate = self._find_best(task, service)
        if candidate is None and not spec.max_per_worker:
            unplaceable.append(spec.demand)
        return candidate

    def reserve(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> None:
        """Reserve capacity of a worker for a task of the stage."""
        candidate.reserve(spec)
        self._changes.append(candidate)
        if spec.best_effort:
            self._record_tests(candidate.view, spec.image)

    def release(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> None:
        """Undo ``reserve``; demands that did not fit are tried again."""
        candidate.release(spec)
        self._changes.append(candidate)
        self._unplaceable.clear()

    def find(self, agent: ids.ProcessId) -> candidates.CandidateWorker | None:
        """Return the worker of an agent; None if plans may not assign tasks to it."""
        return self._usable.get(agent)

    def count_fitting(self, spec: model.Stage, service: ids.ServiceName) -> int:
        """Return an upper bound of how many tasks of a stage fit on all workers together."""
        return sum(
            candidate.count_fitting(spec)
            for candidate in self._by_service.get(service, ())
            if _has_label(candidate, spec) and candidate.view.agent not in self._withheld
        )

    def count_workers(self, service: ids.ServiceName) -> int:
        """Return the number of workers of a service to which plans may assign tasks."""
        return len(self._by_service.get(service, ()))

    def withhold(self, agent: ids.ProcessId) -> None:
        """Choose a worker for no further task of this plan."""
        self._withheld.add(agent)

    def is_allowed(self, candidate: candidates.CandidateWorker, task: job_registry.Task) -> bool:
        """Return whether a task may run on a worker, withheld or not."""
        spec = task.stage.spec
        return self._is_allowed(candidate, task.stage) and self._may_test(candidate, spec)

    def list_allowed(
        self, task: job_registry.Task, service: ids.ServiceName
    ) -> list[candidates.CandidateWorker]:
        """Return the workers on which a task may run and that are not withheld."""
        return [
            candidate
            for candidate in self._by_service.get(service, ())
            if candidate.view.agent not in self._withheld and self.is_allowed(candidate, task)
        ]

    def _find_best(
        self, task: job_registry.Task, service: ids.ServiceName
    ) -> candidates.CandidateWorker | None:
        shape = self._make_shape(task, service)
        ranking = self._rankings.get(shape)
        if ranking is None:
            ranking = self._rankings[shape] = candidates.Ranking(
                self._by_service.get(service, ()),
                functools.partial(self._score, task.stage, shape),
                self._changes,
            )
        return ranking.find_best(
            lambda candidate: (
                candidate.view.agent not in self._withheld
                and self._may_test(candidate, task.stage.spec)
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
            spec.latency_target_ms,
            spec.best_effort,
            self._find_preferred_rack(task.stage, service) if spec.same_rack else None,
            frozenset(task.avoided_agents),
            task.stage if spec.max_per_worker else None,
        )

    def _find_preferred_rack(
        self, stage: job_registry.StageRecord, service: ids.ServiceName
    ) -> str | None:
        """Return the rack for the rest of a stage; None if it already runs in several."""
        racks = {
            candidates.get_rack(self._views[task.agent]) if task.agent in self._views else ""
            for task in stage.tasks
            if task.agent
        }
        if racks:
            return racks.pop() if len(racks) == 1 else None
        # The first task chooses the rack with the most free capacity for the remaining ones.
        return self._find_rack_with_most_capacity(stage.spec, service)

    def _find_rack_with_most_capacity(self, spec: model.Stage, service: ids.ServiceName) -> str:
        counts: dict[str, int] = {}
        for candidate in self._by_service.get(service, ()):
            if _has_label(candidate, spec):
                count = candidate.count_fitting(spec)
                counts[candidate.rack] = counts.get(candidate.rack, 0) + count
        return max(counts, key=lambda rack: (counts[rack], rack), default="")

    def _is_allowed(
        self, candidate: candidates.CandidateWorker, stage: job_registry.StageRecord
    ) -> bool:
        spec = stage.spec
        return (
            candidate.fits(spec)
            and _has_label(candidate, spec)
            and (
                not spec.max_per_worker or _count_tasks(candidate.view, stage) < spec.max_per_worker
            )
            and (not spec.best_effort or self._is_safe(candidate, spec))
        )

    def _is_safe(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> bool:
        """Return whether latencies are expected to stay within target beside a best-effort task.

        While the interference of one image is being measured on a worker, no other image whose
        interference is unknown is added.
        """
        if not candidate.latency_critical_count:
            return True
        if self._throttle_controller.is_near_target(candidate.view):
            return False
        if self._throttle_controller.is_probing(
            candidate.view
        ) and not self._throttle_controller.is_tested(candidate.view, spec):
            return False
        return (
            self._throttle_controller.predict_latency_ratio(candidate.view, spec)
            < throttling.PREDICTED_LIMIT
        )

    def _may_test(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> bool:
        """Return whether a best-effort task may test its image beside others on a worker.

        Load pattern: a stage of dozens of tasks of a new image on workers that all serve. Each
        test costs the latency-critical tasks about a second over their target, and further tests
        of the same pair at the same time teach nothing.
        """
        return not spec.best_effort or all(
            len(self._testing.get(pair, ())) < MAX_TESTS
            for pair in self._throttle_controller.list_untested(candidate.view, spec.image)
        )

    def _record_tests(self, view: fleet.AgentView, image: str) -> None:
        for pair in self._throttle_controller.list_untested(view, image):
            self._testing.setdefault(pair, set()).add(view.agent)

    def _rank_colocation(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> int:
        """Rank a worker for a best-effort task by its latency-critical tasks; lower is better.

        Pairs of images whose interference is unknown come last, as each trial costs the
        latency-critical tasks about a second over their target.
        """
        if not candidate.latency_critical_count:
            return 0
        return 1 if self._throttle_controller.is_tested(candidate.view, spec) else 2

    def _score(
        self,
        stage: job_registry.StageRecord,
        shape: candidates.Shape,
        candidate: candidates.CandidateWorker,
    ) -> candidates.Score | None:
        """Return a worker's sort key for a task of the stage; None if it must not run there."""
        if not self._is_allowed(candidate, stage):
            return None
        spec = stage.spec
        is_avoided = candidate.view.agent in shape.avoided_agents
        is_remote = bool(spec.data_rack) and spec.data_rack not in candidate.labels
        if shape.preferred_rack is not None:
            is_remote = is_remote or candidate.rack != shape.preferred_rack
        capacity = max(candidate.capacity.millicores, 1)
        if spec.latency_target_ms:
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
            return (is_avoided, is_remote, self._rank_colocation(candidate, spec), -idle)
        return (is_avoided, is_remote, -candidate.millicores / capacity)


def _has_label(candidate: candidates.CandidateWorker, spec: model.Stage) -> bool:
    return not spec.required_label or spec.required_label in candidate.labels


def _is_within(demand: messages.Resources, other: messages.Resources) -> bool:
    """Return whether a demand does not exceed another one in any resource."""
    return (
        demand.millicores <= other.millicores
        and demand.memory_mb <= other.memory_mb
        and demand.accelerators <= other.accelerators
    )


def _count_tasks(view: fleet.AgentView, stage: job_registry.StageRecord) -> int:
    """Return how many runs of a stage's tasks may exist on the worker."""
    return sum(
        1
        for assignment in view.assignments.values()
        if assignment.task is not None and assignment.task.stage is stage
    )
