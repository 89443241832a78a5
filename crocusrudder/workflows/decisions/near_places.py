"""Hold tasks back that wait for a place near their data or group; see ``locality``.

Load pattern: as for ``locality``. Nothing is reserved for a task that waits, and it holds up
neither other tasks nor other jobs. Each plan decides again, as runs end sooner or later than
expected and workers come and go; nothing is stored, and a later owner decides anew.
"""

import math
import weakref
from collections.abc import Iterable
from collections.abc import Iterator

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import crash_history
from crocusrudder.workflows import errors
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import candidates
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import locality
from crocusrudder.workflows.decisions import placement
from crocusrudder.workflows.decisions import rack_places
from crocusrudder.workflows.decisions import starvation
from crocusrudder.workflows.decisions import waiting

BEGUN = "near_wait_begun"
SERVED = "near_wait_served"
GIVEN_UP = "near_wait_given_up"
FAILED = "near_wait_failed"
"""Names of the log lines."""

MAX_ENTRIES = 1_000
"""Stages on which one plan decides, at 15 us each and more where runs are expected to end."""
MAX_RACKS = 3
"""Racks compared for a group that fits in none; those with the most places."""


_Taken = dict[tuple[ids.ServiceName, str], messages.Resources]
"""What the stages take that have been decided, by service and rack."""
_NOTHING = messages.Resources(0, 0, 0)


class _Entry:
    """A stage with tasks that run faster in one rack, in one plan."""

    def __init__(
        self, stage: job_registry.StageRecord, tasks: list[job_registry.Task], queue: model.Queue
    ) -> None:
        self.stage = stage
        self.tasks = tasks
        self._members = set(tasks)
        self.queue = queue
        self.rack = ""
        self.wish = locality.Wish(0, 0.0)
        self.order: tuple = ()
        self.taken = 0.0
        self.verdict = locality.Verdict(
            0, 0, 0, locality.NEVER, math.inf, math.inf, locality.Outcome.NO_RACK
        )
        self.near_used = 0
        self.far_used = 0
        self.held = 0
        self.is_reconsidered = False

    def has(self, task: job_registry.Task) -> bool:
        """Return whether the decision covers a task."""
        return task in self._members

    @property
    def request(self) -> rack_places.Request:
        """Return what the tasks need of the rack."""
        return rack_places.Request(self.stage, self.tasks, self.queue.service, self.rack)

    @property
    def is_outdated(self) -> bool:
        """Return whether others have taken near places, or the job has got something running."""
        has_begun = self.stage.record.assigned_count and not self.far_used
        is_idle = self.verdict.outcome is locality.Outcome.NOTHING_RUNNING
        return self.near_used < self.verdict.near or bool(has_begun and is_idle)


class _Wait:
    """A stage of which tasks wait."""

    __slots__ = ("expected_seconds", "placed_at", "rack", "since")

    def __init__(self, rack: str, expected_seconds: float, now: float) -> None:
        self.rack = rack
        self.expected_seconds = expected_seconds
        self.since = now
        self.placed_at = now
        """When a task of the stage last got a near place; at first, when the wait began."""


class NearPlanner:
    """Decide which tasks wait for a place near their data or group."""

    def __init__(
        self,
        pool: placement.CandidatePool,
        duration_model: durations.DurationModel,
        far_factor: float,
        epoch: int,
    ) -> None:
        self._pool = pool
        self._duration_model = duration_model
        self._far_factor = far_factor
        self._epoch = epoch
        self._entries: dict[job_registry.StageRecord, _Entry] = {}
        self._waits: dict[job_registry.StageRecord, _Wait] = {}
        self._deferred: dict[job_registry.JobRecord, model.Queue] = {}
        self._may_defer = True
        self._failed: weakref.WeakSet[job_registry.JobRecord] = weakref.WeakSet()
        """Jobs that no longer wait after an error in their decision."""
        self._split: set[job_registry.StageRecord] = set()
        """Stages found to run in several racks in this plan, of which all runs are marked."""
        self._rack_places = rack_places.RackPlaces(pool, duration_model, far_factor)
        self._logged: list[effects.LogChange] = []

    @property
    def is_active(self) -> bool:
        """Return whether tasks run longer away from their data or group."""
        return self._far_factor > 1.0

    def decides(self, record: job_registry.JobRecord) -> bool:
        """Return whether tasks of a job may wait, so that each plan decides on its stages first."""
        return (
            self.is_active
            and record not in self._failed
            and any(stage.data_rack or stage.same_rack for stage in record.job.stages)
        )

    def is_waiting(self, stage: job_registry.StageRecord) -> bool:
        """Return whether tasks of a stage wait for a near place."""
        return stage in self._waits

    def begin_plan(
        self,
        jobs: Iterable[tuple[job_registry.JobRecord, model.Queue]],
        now: float,
        wall_time: float,
    ) -> set[job_registry.JobRecord]:
        """Decide for all tasks that run faster in one rack; those that gain most come first.

        Return the jobs for which there is no time, which this plan must leave out.
        """
        self._entries = {}
        self._rack_places.begin_plan()
        self._deferred = {}
        self._may_defer = True
        self._split = set()
        self._pool.preferred_racks.clear()
        if not self.is_active:
            return set()
        entries: list[_Entry] = []
        left_out = set()
        for record, queue in jobs:
            if not self.decides(record):
                continue
            if len(entries) < MAX_ENTRIES:
                entries += self._list_entries(record, queue, now, wall_time)
            else:
                left_out.add(record)
        taken: _Taken = {}
        for entry in sorted(entries, key=lambda entry: entry.order):
            if not self._try_to_decide(entry, taken, now):
                continue
            key = (entry.queue.service, entry.rack)
            used = taken.get(key, _NOTHING)
            taken[key] = locality.add_demand(used, entry.stage.spec, entry.verdict.used)
            self._entries[entry.stage] = entry
            if entry.stage.spec.same_rack:
                self._pool.preferred_racks[entry.stage] = entry.rack
        return left_out

    def holds(
        self, task: job_registry.Task, candidate: candidates.CandidateWorker, now: float
    ) -> bool:
        """Return whether a task waits although the worker has room for it."""
        entry = self._entries.get(task.stage)
        if entry is None or not entry.has(task):
            return False
        if entry.rack in candidate.labels:
            if entry.taken and entry.near_used >= entry.verdict.near and self._may_defer:
                # The place is that of a stage which gains more and is planned later.
                self._deferred[task.record] = entry.queue
                return True
            entry.near_used += 1
            return False
        if not entry.is_reconsidered and entry.is_outdated:
            self._reconsider(entry, now)
        if entry.far_used < entry.verdict.far_first:
            entry.far_used += 1
            return False
        if entry.held >= entry.verdict.waiting:
            return False
        entry.held += 1
        self._begin_wait(entry, now)
        starvation.record_passed_over(task, now)
        return True

    def holds_gang(
        self, stage: job_registry.StageRecord, service: ids.ServiceName, now: float
    ) -> bool:
        """Return whether a gang waits although the workers together have room for it."""
        entry = self._entries.get(stage)
        if entry is None:
            return False
        if entry.verdict.near and self._rack_places.count_free(entry.request) < len(stage.tasks):
            self._reconsider(entry, now)
        if not entry.verdict.waiting:
            return False
        if self._pool.count_fitting(stage.spec, service) < len(stage.tasks):
            return False
        entry.held = len(stage.tasks)
        self._begin_wait(entry, now)
        starvation.record_passed_over(stage.tasks[0], now)
        return True

    def take_deferred(self) -> list[tuple[job_registry.JobRecord, model.Queue]]:
        """Return the jobs to plan again, now that others have the places that they gain more by."""
        self._may_defer = False
        return list(self._deferred.items())

    def record_assignment(
        self, assignment: fleet.Assignment, candidate: candidates.CandidateWorker
    ) -> str | None:
        """Record whether a run is far from its data or group, and return it for the log.

        Runs whose duration says nothing about a near place are not learned from.
        """
        stage = assignment.task.stage
        spec = stage.spec
        if not self.is_active or not (spec.data_rack or spec.same_rack):
            return None
        racks = self._pool.list_racks(stage) if spec.same_rack else set()
        is_split = bool(racks - {candidate.rack})
        assignment.is_far = is_split or bool(
            spec.data_rack and spec.data_rack not in candidate.labels
        )
        assignment.is_comparable = assignment.is_comparable and not assignment.is_far
        if is_split and stage not in self._split:
            self._split.add(stage)
            for other in self._pool.list_runs(stage):
                other.is_far = True
                other.is_comparable = False
        return "far" if assignment.is_far else "near"

    def finish_plan(self, now: float) -> list[effects.LogChange]:
        """Return the lines about the waits that this plan has begun or ended."""
        for stage, wait in list(self._waits.items()):
            entry = self._entries.get(stage)
            if stage.record.is_final or (entry is None and not stage.list_pending()):
                self._end_wait(stage, wait, locality.Outcome.GONE, now)
            elif entry is not None and entry.held:
                wait.placed_at = now if entry.near_used else wait.placed_at
            elif entry is not None:
                self._check_end(entry, wait, now)
        logged, self._logged = self._logged, []
        return logged

    def _check_end(self, entry: _Entry, wait: _Wait, now: float) -> None:
        """End the wait of a stage of which no task waits any more if some were placed."""
        runs = [run for run in self._pool.list_runs(entry.stage) if entry.has(run.task)]
        if not runs:
            return
        is_near = not any(run.is_far for run in runs)
        outcome = locality.Outcome.NEAR if is_near else entry.verdict.outcome
        self._end_wait(entry.stage, wait, outcome, now)

    def _list_entries(
        self,
        record: job_registry.JobRecord,
        queue: model.Queue,
        now: float,
        wall_time: float,
    ) -> list[_Entry]:
        """Return the stages of a job that may wait; none after an error."""
        try:
            return list(self._make_entries(record, queue, now, wall_time))
        except Exception as error:
            self._record_failure(record, error)
            return []

    def _try_to_decide(self, entry: _Entry, taken: _Taken, now: float) -> bool:
        """Decide for a stage; return False after an error."""
        try:
            self._decide(entry, taken, now)
        except Exception as error:
            self._record_failure(entry.stage.record, error)
            return False
        return True

    def _record_failure(self, record: job_registry.JobRecord, error: Exception) -> None:
        """Let a job wait for near places no more, so that its error does not stop all planning."""
        self._failed.add(record)
        fields = {"code": errors.PlanningError.code, "error": repr(error)}
        fields |= {"epoch": self._epoch, "job": record.job.job_id}
        self._logged.append(effects.LogChange(FAILED, fields))

    def _make_entries(
        self,
        record: job_registry.JobRecord,
        queue: model.Queue,
        now: float,
        wall_time: float,
    ) -> Iterator[_Entry]:
        for stage in record.iterate_ready(wall_time, 0.0):
            spec = stage.spec
            tasks = [task for task in stage.list_pending() if _may_wait(task, now)]
            is_complete = not spec.gang or len(tasks) == len(stage.tasks)
            if not (spec.data_rack or spec.same_rack) or not tasks or not is_complete:
                continue
            racks = self._pool.list_racks(stage) if spec.same_rack else set()
            wanted = racks | ({spec.data_rack} if spec.data_rack else set())
            if spec.long_running or spec.estimated_seconds <= 0 or len(wanted) > 1:
                continue
            entry = _Entry(stage, tasks, queue)
            entry.rack = next(iter(wanted), "")
            entry.wish = self._make_wish(entry, now, wall_time)
            gain = locality.compute_gain(entry.wish, self._far_factor)
            rank = waiting.compute_rank(record, queue, wall_time)
            entry.order = (*rank[:-1], not gain.is_decisive, -gain.seconds, rank[-1], stage.number)
            yield entry

    def _make_wish(self, entry: _Entry, now: float, wall_time: float) -> locality.Wish:
        stage = entry.stage
        record = stage.record
        estimate = self._duration_model.estimate(stage)
        wait = self._waits.get(stage)
        completed = record.list_completed_stages(stage.occurrence)
        return locality.Wish(
            len(entry.tasks),
            locality.compute_mean(estimate.seconds, estimate.deviation),
            stage.spec.same_rack or stage.spec.gang,
            stage.spec.gang,
            locality.compute_slack(record.job, completed, entry.queue, wall_time),
            starvation.compute_idle_seconds(record, now),
            0.0 if wait is None else now - wait.placed_at,
        )

    def _decide(self, entry: _Entry, taken: _Taken, now: float) -> None:
        if entry.rack:
            entry.verdict = self._decide_in(entry, entry.rack, taken, now)
            return
        counts = self._pool.count_by_rack(entry.stage.spec, entry.queue.service)
        racks = sorted(counts, key=lambda rack: (-counts[rack], rack))[:MAX_RACKS]
        verdicts = {}
        for rack in racks:
            verdicts[rack] = self._decide_in(entry, rack, taken, now)
            if verdicts[rack].near == entry.wish.tasks:
                break
        entry.rack = min(verdicts, key=lambda rack: verdicts[rack].near_seconds, default="")
        if verdicts:
            entry.verdict = self._decide_in(entry, entry.rack, taken, now)

    def _decide_in(self, entry: _Entry, rack: str, taken: _Taken, now: float) -> locality.Verdict:
        """Return the verdict for one rack."""
        used = taken.get((entry.queue.service, rack), _NOTHING)
        entry.taken = locality.count_places(used, entry.stage.spec)
        request = entry.request._replace(rack=rack)
        needed = entry.taken + entry.wish.tasks
        places = self._rack_places.list_first(request, needed, now)
        if places is None:
            return entry.verdict._replace(outcome=locality.Outcome.NO_RACK)
        return locality.decide(entry.wish, places, entry.taken, self._far_factor)

    def _reconsider(self, entry: _Entry, now: float) -> None:
        """Decide again, as others have taken places since the plan began."""
        entry.is_reconsidered = True
        left = len(entry.tasks) - entry.near_used - entry.far_used
        places = self._rack_places.list_later(entry.request, now)
        wish = entry.wish._replace(tasks=left)
        idle_seconds = starvation.compute_idle_seconds(entry.stage.record, now)
        wish = wish._replace(idle_seconds=idle_seconds)
        verdict = locality.decide(wish, places, entry.taken, self._far_factor)
        entry.verdict = verdict._replace(near=entry.near_used)

    def _begin_wait(self, entry: _Entry, now: float) -> None:
        if entry.stage in self._waits:
            return
        verdict = entry.verdict
        self._waits[entry.stage] = _Wait(entry.rack, verdict.wait.seconds, now)
        self._log(BEGUN, entry.stage, entry.rack, _describe(entry))

    def _end_wait(
        self,
        stage: job_registry.StageRecord,
        wait: _Wait,
        outcome: locality.Outcome,
        now: float,
    ) -> None:
        del self._waits[stage]
        entry = self._entries.get(stage)
        fields = {
            "reason": outcome.value,
            "waited_s": round(now - wait.since, 3),
            "expected_s": _round(wait.expected_seconds),
            **(_describe(entry) if entry else {}),
        }
        name = SERVED if outcome is locality.Outcome.NEAR else GIVEN_UP
        self._log(name, stage, wait.rack, fields)

    def _log(
        self, name: str, stage: job_registry.StageRecord, rack: str, fields: dict[str, object]
    ) -> None:
        named = {"epoch": self._epoch, "job": stage.record.job.job_id, "stage": stage.key}
        self._logged.append(effects.LogChange(name, {**named, "rack": rack, **fields}))


def _may_wait(task: job_registry.Task, now: float) -> bool:
    """Return whether a task can be placed now and its duration is known.

    A task that resumes has less left to run than is learned, and a suspect is placed on its own.
    """
    return now >= task.not_before and not task.checkpoint and not crash_history.needs_trial(task)


def _describe(entry: _Entry) -> dict[str, object]:
    """Return the figures that have decided."""
    verdict, wish = entry.verdict, entry.wish
    return {
        "kind": "gang" if wish.is_gang else "group" if wish.is_together else "data",
        "tasks": wish.tasks,
        "near": verdict.near,
        "waiting": verdict.waiting,
        "wait_s": _round(verdict.wait.seconds),
        "late_wait_s": _round(verdict.wait.late_seconds),
        "near_end_s": _round(verdict.near_seconds),
        "far_end_s": _round(verdict.far_seconds),
        "slack_s": _round(wish.slack_seconds),
        "taken": round(entry.taken, 1),
    }


def _round(seconds: float) -> float | None:
    """Return seconds for the log; None if unknown or unlimited."""
    return round(seconds, 3) if math.isfinite(seconds) else None
