"""Registry of jobs and their tasks, with the progress that is stored."""

import enum
import heapq
from collections.abc import Iterable
from collections.abc import Iterator

from crocusrudder.core import ids
from crocusrudder.workflows import job_progress
from crocusrudder.workflows import model
from crocusrudder.workflows import ready_stages

RUNS_PER_EPOCH = 10_000_000
"""Run numbers reserved for one ownership epoch, enough for five hours at 550 starts a second. Each
epoch has its own range, so that run numbers of a later epoch are always higher."""

MAX_REMOVED_JOBS = 20_000
"""Removed jobs of which a row that was read before the removal is recognised."""

MAX_NUMBER_DIGITS = 18
"""Most digits of a number in a task name; ``int`` raises an error from 4,301 on."""


class TaskPhase(enum.Enum):
    """Scheduling state of a task."""

    PENDING = "pending"
    ASSIGNED = "assigned"
    DONE = "done"


class Task:
    """A task in one occurrence of a job."""

    __slots__ = (
        "alive_run",
        "alive_since",
        "assigned_at",
        "avoided_agents",
        "checkpoint",
        "index",
        "name",
        "not_before",
        "progressed_at",
        "percent",
        "reported_run",
        "run",
        "stage",
        "_agent",
        "_phase",
    )

    def __init__(self, name: model.TaskName, stage: "StageRecord", index: int) -> None:
        self.name = name
        self.stage = stage
        self.index = index
        self._phase = TaskPhase.PENDING
        self._agent: ids.ProcessId | None = None
        self.run = 0
        self.reported_run = 0
        """Number of the last run that a worker has listed as running."""
        self.checkpoint = ""
        self.assigned_at = 0.0
        self.percent = 0
        self.progressed_at = 0.0
        self.not_before = 0.0
        self.avoided_agents: set[ids.ProcessId] = set()
        self.alive_run = 0
        """Number of the last run listed while workers had crashed under the task."""
        self.alive_since = 0.0

    @property
    def record(self) -> "JobRecord":
        return self.stage.record

    @property
    def is_running(self) -> bool:
        """Return whether the worker has listed the assigned run as running."""
        return self._phase is TaskPhase.ASSIGNED and self.reported_run == self.run

    @property
    def agent(self) -> ids.ProcessId | None:
        """Return the agent to which the task is assigned."""
        return self._agent

    @agent.setter
    def agent(self, agent: ids.ProcessId | None) -> None:
        counts = self.stage.agents
        if self._agent is not None:
            count = counts.pop(self._agent) - 1
            if count:
                counts[self._agent] = count
        if agent is not None:
            counts[agent] = counts.get(agent, 0) + 1
        self._agent = agent

    @property
    def phase(self) -> TaskPhase:
        return self._phase

    @phase.setter
    def phase(self, phase: TaskPhase) -> None:
        record = self.stage.record
        was_assigned = self._phase is TaskPhase.ASSIGNED
        record.assigned_count += (phase is TaskPhase.ASSIGNED) - was_assigned
        self._phase = phase
        if phase is not TaskPhase.ASSIGNED:
            record.needs_planning = True


class StageRecord:
    """The tasks of one stage in one occurrence of a job."""

    __slots__ = (
        "agents",
        "done_count",
        "number",
        "occurrence",
        "passed_over_since",
        "record",
        "retry_at",
        "spec",
        "tasks",
    )

    def __init__(self, record: "JobRecord", occurrence: int, number: int) -> None:
        self.record = record
        self.occurrence = occurrence
        self.number = number
        self.spec = record.job.stages[number]
        self.agents: dict[ids.ProcessId, int] = {}
        """Number of assigned tasks by agent."""
        self.done_count = 0
        self.passed_over_since: float | None = None
        """Since when no worker was found for a task of this long-running stage."""
        self.retry_at = 0.0
        """When a worker may be sought as a last resort again; see ``starvation.postpone``."""
        self.tasks = [
            Task(model.make_task_name(record.job.job_id, occurrence, number, index), self, index)
            for index in range(self.spec.task_count)
        ]

    @property
    def key(self) -> str:
        """Return the key of the stage in ``model.Progress``."""
        return f"{self.occurrence}.{self.number}"

    @property
    def is_done(self) -> bool:
        return self.done_count == len(self.tasks)

    @property
    def is_untouched(self) -> bool:
        """Return whether no task has a worker, is done, or has failed or been rejected.

        Where such a stage finds no worker, those of later occurrences do not, either.
        """
        return not (
            self.done_count or self.agents or any(task.avoided_agents for task in self.tasks)
        )

    def list_pending(self) -> list[Task]:
        """Return the tasks that have not been placed."""
        return [task for task in self.tasks if task.phase is TaskPhase.PENDING]

    def list_assigned(self) -> list[Task]:
        """Return the tasks that are assigned to a worker."""
        return [task for task in self.tasks if task.phase is TaskPhase.ASSIGNED]

    def make_failure_key(self, task: Task) -> str:
        """Return the key of a task's failed runs in ``model.Progress``; gang members share one."""
        return self.key if self.spec.gang else f"{self.key}.{task.index}"


class JobRecord:
    """A job with the state of its tasks."""

    def __init__(
        self, job: model.Job, version: int, progress: model.Progress | None = None
    ) -> None:
        self.job = job
        self.version = version
        self._stored = job_progress.JobProgress(job, progress)
        self.is_started = self.progress.state is not model.JobState.QUEUED
        self.needs_planning = True
        """Whether a task may have become ready to start since the job was last planned."""
        self.passed_over_since: float | None = None
        """Since when no worker was found for a ready task while no run was listed or completed."""
        self.registry: JobRegistry | None = None
        self.stored_state = self.progress.state
        self.is_stored = progress is not None
        self.is_long_running = any(stage.long_running for stage in job.stages)
        self.worst_outlook = 0
        """Worst outlook that was logged while the job waited; see ``decisions.waiting``."""
        self.plan_not_before = 0.0
        """When the job may be planned again after an error."""
        self.last_assigned_at = 0.0
        """When a task of the job was last assigned to a worker."""
        self.assigned_count = 0
        """Number of tasks in the phase ``ASSIGNED``."""
        self.created_tasks = 0
        """Number of tasks that have got state so far."""
        self._stages: dict[tuple[int, int], StageRecord] = {}
        self._ready_stages = ready_stages.ReadyStages(self, self._stored)

    @property
    def is_final(self) -> bool:
        return self.progress.state in model.FINAL_STATES

    @property
    def progress(self) -> model.Progress:
        return self._stored.progress

    @property
    def has_unsaved_changes(self) -> bool:
        """Return whether a row of the job's progress is in no commit."""
        return bool(self._stored.unsaved)

    def take_rows(self, limit: int) -> list[job_progress.StoredRow]:
        """Return at most ``limit`` rows to store, which count as saved from now on."""
        taken = self._stored.take_rows(limit)
        self._record_change()
        return taken

    def mark_unsaved(self, numbers: Iterable[int]) -> None:
        """Mark rows for storing again."""
        self._stored.mark_unsaved(numbers)
        self._record_change()

    def _record_change(self) -> None:
        if self.registry is not None:
            self.registry.record_change(self)

    @property
    def visible_state(self) -> model.JobState:
        """Return the state to report to callers; a final state only once it is durable."""
        if self.stored_state in model.FINAL_STATES:
            return self.stored_state
        if self.progress.state is model.JobState.CANCELLED:
            # The row of the cancellation was stored before it was applied here.
            return model.JobState.CANCELLED
        return model.JobState.RUNNING if self.is_started else model.JobState.QUEUED

    @property
    def occurrence_count(self) -> int:
        return max(self.job.occurrences, 1)

    def get_due_time(self, occurrence: int) -> float:
        """Return the Unix time at which an occurrence is due; 0 if the job has no due times."""
        if not self.job.occurrences:
            return 0.0
        return self.job.first_due_at + occurrence * self.job.interval_seconds

    def get_stage(self, occurrence: int, number: int) -> StageRecord | None:
        """Return a stage, creating it on first use; None if the job has no such stage."""
        if not (0 <= number < len(self.job.stages) and 0 <= occurrence < self.occurrence_count):
            return None
        key = (occurrence, number)
        stage = self._stages.get(key)
        if stage is None:
            stage = self._stages[key] = self._restore(StageRecord(self, occurrence, number))
            self.created_tasks += len(stage.tasks)
            self._ready_stages.record_state(stage)
        return stage

    def find_stage(self, occurrence: int, number: int) -> StageRecord | None:
        """Return a stage; None if it has no state."""
        return self._stages.get((occurrence, number))

    def count_left(self, occurrence: int, number: int) -> int:
        """Return how many tasks of a stage are not done."""
        stage = self._stages.get((occurrence, number))
        if stage is not None:
            return len(stage.tasks) - stage.done_count
        return self._stored.count_left(occurrence, number)

    def list_completed_stages(self, occurrence: int) -> frozenset[int]:
        """Return the numbers of the stages whose tasks are all done."""
        if not self.progress.done_tasks:
            return frozenset()
        numbers = range(len(self.job.stages))
        return frozenset(n for n in numbers if not self.count_left(occurrence, n))

    def iterate_ready(
        self, wall_time: float, early_seconds: float, may_open: bool = True
    ) -> Iterator[StageRecord]:
        """Yield the incomplete stages that are due and whose preceding stages are complete.

        Only the first occurrences of a stage of which no task has found a place are among them;
        see ``ready_stages``. Unless ``may_open``, only stages that have state are.
        """
        if self.is_final or not self.job.stages:
            return iter(())
        limit = wall_time + early_seconds
        return self._ready_stages.iterate(
            lambda occurrence: self.get_due_time(occurrence) <= limit, may_open
        )

    def iterate_tasks(self) -> Iterator[Task]:
        """Yield the tasks of all stages that have state."""
        for stage in self._stages.values():
            yield from stage.tasks

    @property
    def is_running(self) -> bool:
        return bool(self.assigned_count) and any(task.is_running for task in self.iterate_tasks())

    def mark_done(self, task: Task, wall_time: float) -> None:
        """Mark a task as done, and the job as completed if it was the last task."""
        if task.phase is TaskPhase.DONE:
            return
        task.phase = TaskPhase.DONE
        task.agent = None
        self.passed_over_since = None
        stage = task.stage
        stage.done_count += 1
        key = stage.make_failure_key(task)
        self._stored.set_done(stage.occurrence, stage.number, task.index, key)
        self._record_change()
        if not stage.is_done:
            return
        self._ready_stages.record_done(stage)
        if self.job.occurrences:
            # The stored progress tells what is done, and a job may have 100,000 occurrences.
            self._stages.pop((stage.occurrence, stage.number), None)
        if self._stored.is_complete:
            self.finish(model.JobState.COMPLETED, wall_time)

    def count_failure(self, task: Task, run: int) -> int:
        """Record a failed run, once per run number; return how many runs have failed."""
        count = self._stored.count_failure(task.stage.make_failure_key(task), run)
        self._record_change()
        return count

    def set_crashes(self, task: Task, history: model.CrashHistory) -> None:
        """Record the crashes of workers under a task."""
        self._stored.set_crashes(task.stage.make_failure_key(task), history)
        self._record_change()

    def finish(self, state: model.JobState, wall_time: float) -> None:
        """Move the job to a final state."""
        self._stored.finish(state, wall_time)
        self._record_change()

    def mark_started(self) -> None:
        """Record that a task of the job is running."""
        self.is_started = True
        self.passed_over_since = None
        if self.progress.state is model.JobState.QUEUED:
            self.progress.state = model.JobState.RUNNING

    def _restore(self, stage: StageRecord) -> StageRecord:
        for task in stage.tasks:
            if self._stored.is_done(stage.occurrence, stage.number, task.index):
                task.phase = TaskPhase.DONE
                stage.done_count += 1
        return stage


class JobRegistry:
    """All jobs known to the owner, until they are removed after their retention period."""

    def __init__(self) -> None:
        self._records: dict[ids.JobId, JobRecord] = {}
        self._active: dict[ids.JobId, JobRecord] = {}
        self._unsaved: dict[ids.JobId, JobRecord] = {}
        self._newly_final: dict[ids.JobId, JobRecord] = {}
        self._finished: list[tuple[float, ids.JobId]] = []
        """Heap of the jobs in a final state by the time at which they reached it."""
        self._removed: dict[ids.JobId, int] = {}
        """Version of the row of jobs that were removed, oldest first."""

    @property
    def unsaved(self) -> dict[ids.JobId, JobRecord]:
        """Return the jobs with changes that are not in a commit, by id."""
        return self._unsaved

    @property
    def active(self) -> dict[ids.JobId, JobRecord]:
        """Return the jobs that have not been deactivated, by id."""
        return self._active

    @property
    def records(self) -> dict[ids.JobId, JobRecord]:
        return self._records

    def get(self, job: ids.JobId) -> JobRecord | None:
        """Return a job's record; None if the job is unknown."""
        return self._records.get(job)

    def add(self, record: JobRecord) -> None:
        """Add a job that is not registered yet."""
        job = record.job.job_id
        record.registry = self
        self._records[job] = record
        if record.is_final:
            heapq.heappush(self._finished, (record.progress.finished_at, job))
        else:
            self._active[job] = record
        if record.has_unsaved_changes:
            self._unsaved[job] = record

    def record_change(self, record: JobRecord) -> None:
        """Update the sets of jobs that depend on a record's state."""
        job = record.job.job_id
        if record.has_unsaved_changes:
            self._unsaved[job] = record
        else:
            self._unsaved.pop(job, None)
        if record.is_final and job in self._active:
            self._newly_final[job] = record

    def deactivate_final(self) -> list[JobRecord]:
        """Remove the jobs that have reached a final state from the active jobs; return them."""
        final = list(self._newly_final.values())
        self._newly_final.clear()
        for record in final:
            job = record.job.job_id
            self._active.pop(job, None)
            heapq.heappush(self._finished, (record.progress.finished_at, job))
        return final

    def list_finished_before(self, wall_time: float, limit: int) -> list[JobRecord]:
        """Return at most ``limit`` of the jobs that were in a final state by a Unix time."""
        old: list[tuple[float, ids.JobId]] = []
        while self._finished and self._finished[0][0] < wall_time and len(old) < limit:
            entry = heapq.heappop(self._finished)
            record = self._records.get(entry[1])
            if record is not None and record.progress.finished_at == entry[0]:
                old.append(entry)
        for entry in old:
            heapq.heappush(self._finished, entry)
        return [self._records[job] for _, job in old]

    def was_removed(self, job: ids.JobId, version: int) -> bool:
        """Return whether a row is that of a job that has been removed since it was read."""
        return version <= self._removed.get(job, -1)

    def remove(self, job: ids.JobId) -> None:
        record = self._records.pop(job, None)
        if record is not None:
            self._removed.pop(job, None)
            self._removed[job] = record.version
            if len(self._removed) > MAX_REMOVED_JOBS:
                del self._removed[next(iter(self._removed))]
        self._active.pop(job, None)
        self._unsaved.pop(job, None)
        self._newly_final.pop(job, None)

    def find_task(self, name: str) -> Task | None:
        """Return a task by name; None for a malformed name or an unknown task.

        Only the name that starts use is accepted: a run listed under another spelling, such as an
        index with a leading zero, is no run of the task.
        """
        job, *numbers = name.split(".")
        record = self._records.get(ids.JobId(job))
        if record is None or len(numbers) != 3 or not all(map(_is_number, numbers)):
            return None
        occurrence, number, index = map(int, numbers)
        stage = record.get_stage(occurrence, number)
        if stage is None or index >= len(stage.tasks) or stage.tasks[index].name != name:
            return None
        return stage.tasks[index]


def _is_number(text: str) -> bool:
    """Return whether a part of a task name is a number; ``int`` refuses some other digits."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
