"""Run one policy against the simulated workers of one cell and measure the outcome."""

import collections
import math
import random as random_module

import msgspec
import numpy

from crocusrudder.placement import model
from crocusrudder.wire import messages
from tools.experiment import fake
from tools.experiment import loads
from tools.experiment import policies

JOBS_PER_STEP = 12
"""Number of queued jobs that are offered to the policy per step, in round-robin order."""
STARTS_PER_JOB = 4
MAX_TASK_FAILURES = 20
"""Failures after which the scheduler abandons a task, whichever policy places it."""
RETRY_MAX_SECONDS = 60.0
URGENT_TARGET_SECONDS = 3.7


class Task:
    """Scheduler state of one task."""

    def __init__(self, job: loads.Job, index: int) -> None:
        self.task = f"{job.job}.{index}"
        self.index = index
        self.epoch = 0
        self.checkpointed = 0.0
        self.failures = 0
        self.memory_failures = 0
        self.not_before = job.arrives
        self.worker: str | None = None


class JobState:
    """Scheduler state of one job: its waiting and running tasks."""

    def __init__(self, job: loads.Job) -> None:
        self.job = job
        self.waiting = collections.deque(
            Task(job, index) for index in range(len(job.task_work_seconds))
        )
        self.running: dict[str, Task] = {}
        self.finished = 0
        self.starts = 0
        self.closed = False


class Result(msgspec.Struct):
    """Raw measures of one run of a policy on one cell."""

    jobs_finished: int = 0
    tasks_finished: int = 0
    progress: float = 0.0
    lost_seconds: float = 0.0
    repeated_seconds: float = 0.0
    evictions: int = 0
    moves: int = 0
    preemptions: int = 0
    throttles: int = 0
    violations: int = 0
    refusals: int = 0
    urgent_delays: list[float] = []
    bad_worker_starts: list[int] = []
    """Per worker that fails every run: starts on it while it was not quarantined."""
    probe_starts: int = 0
    """Starts on such workers while they were quarantined, as probes."""
    never_starts: list[int] = []
    """Starts of each job that can never run."""
    never_reported: int = 0
    """Jobs that can never run and that the policy reported as such."""
    false_verdicts: int = 0
    """Jobs that the policy wrongly reported as unable to run."""
    false_quarantines: int = 0
    """Healthy workers that are quarantined at the end of the run."""
    waiting_tasks: int = 0
    first_waits: list[float] = []
    """Time from the arrival of each ordinary job to its first start or to the end of the run."""


class Driver:
    """Schedule urgent jobs first, then the other jobs in round-robin order."""

    def __init__(
        self, name: str, profile: loads.LoadProfile, scale: loads.Scale, seed: str
    ) -> None:
        self._load = loads.make_load(profile, scale, seed)
        number = random_module.Random(seed).getrandbits(32)
        self._cell = fake.FakeCell(self._load, random_module.Random(f"fake {seed}"), number)
        self._now = 0.0
        policy_random = random_module.Random(f"policy {seed}")
        self._policy = policies.make_policy(
            name, profile, self._load, self._cell, lambda: self._now, policy_random
        )
        self._arrivals = collections.deque(self._load.jobs)
        self._jobs: dict[str, JobState] = {}
        self._queue: collections.deque[JobState] = collections.deque()
        self._urgent: list[JobState] = []
        self._cancellations: list[tuple[float, JobState]] = []
        self._result = Result()
        self._bad_since = {
            self._cell.views[index].worker: since for index, since in self._load.bad_workers
        }
        self._bad_starts: collections.Counter[str] = collections.Counter()
        self._never_starts: collections.Counter[str] = collections.Counter()

    @property
    def load(self) -> loads.Load:
        return self._load

    def run(self) -> tuple[Result, list[numpy.ndarray]]:
        """Run the load; return the measures and, per service, the latency samples in ms."""
        steps = int(loads.SIMULATED_SECONDS / fake.STEP_SECONDS)
        for step in range(steps):
            self._now = step * fake.STEP_SECONDS
            self._cell.step(self._now)
            self._handle_ends()
            self._handle_arrivals()
            self._cancel_due_jobs()
            self._handle_reports(step)
            if step % 2 == 0:
                self._apply_reactions()
            self._schedule()
        return self._collect_result(), [
            numpy.concatenate(samples) for samples in self._cell.latencies
        ]

    def _handle_ends(self) -> None:
        for end in self._cell.drain_ends(self._now):
            state = self._jobs[end.run.job.job]
            task = state.running.pop(end.run.task)
            task.worker = None
            usage = end.run.usage
            self._policy.record_end(task.task, end.worker, end.state, self._now, usage, end.reason)
            task.checkpointed = end.run.checkpointed
            if end.state is messages.RunState.SUCCEEDED:
                self._finish_task(state)
            else:
                self._retry(state, task, end)

    def _finish_task(self, state: JobState) -> None:
        state.finished += 1
        self._result.tasks_finished += 1
        if state.finished == len(state.job.task_work_seconds):
            self._result.jobs_finished += 1
            self._close(state)

    def _retry(self, state: JobState, task: Task, end: fake.End) -> None:
        if state.closed:
            return
        if end.state is messages.RunState.FAILED:
            task.failures += 1
            task.memory_failures += end.reason == "memory limit"
            delay = min(2.0 ** min(task.failures - 1, 10), RETRY_MAX_SECONDS)
            task.not_before = self._now + delay
        if task.failures >= MAX_TASK_FAILURES:
            return
        state.waiting.append(task)
        verdict = self._policy.find_permanent_failure(state.job.job)
        if verdict is not None:
            self._result.never_reported += state.job.never_runs
            self._result.false_verdicts += not state.job.never_runs
            self._stop_all(state)
            self._close(state)

    def _close(self, state: JobState) -> None:
        state.closed = True
        state.waiting.clear()

    def _stop_all(self, state: JobState) -> None:
        for task in state.running.values():
            self._cell.stop(task.worker, task.task, self._now, messages.RunState.STOPPED)

    def _handle_arrivals(self) -> None:
        while self._arrivals and self._arrivals[0].arrives <= self._now:
            job = self._arrivals.popleft()
            state = JobState(job)
            self._jobs[job.job] = state
            (self._urgent if job.urgent else self._queue).append(state)
            if job.cancelled_at < math.inf:
                self._cancellations.append((job.cancelled_at, state))

    def _cancel_due_jobs(self) -> None:
        due = [state for cancelled_at, state in self._cancellations if cancelled_at <= self._now]
        self._cancellations = [entry for entry in self._cancellations if entry[0] > self._now]
        for state in due:
            if not state.closed:
                self._stop_all(state)
                self._close(state)

    def _handle_reports(self, step: int) -> None:
        period = int(fake.HEARTBEAT_SECONDS / fake.STEP_SECONDS)
        for index in range(step % period, len(self._cell.views), period):
            report = self._cell.make_report(index, self._now)
            if report is not None:
                worker = self._cell.views[index].worker
                self._policy.record_report(worker, *report, self._now)

    def _apply_reactions(self) -> None:
        for reaction in self._policy.propose_reactions(self._cell.views, self._now):
            kind = reaction.kind
            if kind is model.ReactionKind.MOVE:
                started = self._cell.checkpoint(reaction.worker, reaction.task, self._now)
                self._result.moves += started
            elif kind is model.ReactionKind.EVICT:
                self._result.evictions += 1
                stopped = messages.RunState.STOPPED
                self._cell.stop(reaction.worker, reaction.task, self._now, stopped)
            else:
                self._result.throttles += kind is model.ReactionKind.THROTTLE
                self._cell.throttle(reaction.worker, reaction.task, reaction.share)

    def _schedule(self) -> None:
        for state in self._urgent:
            if state.waiting and not self._start_next(state):
                self._preempt(state)
        self._urgent = [state for state in self._urgent if not state.closed]
        for _ in range(min(JOBS_PER_STEP, len(self._queue))):
            state = self._queue.popleft()
            if state.closed:
                continue
            for _ in range(STARTS_PER_JOB):
                if not self._start_next(state):
                    break
            self._queue.append(state)

    def _start_next(self, state: JobState) -> bool:
        if not state.waiting or state.waiting[0].not_before > self._now:
            state.waiting.rotate(-1)
            return False
        task = state.waiting[0]
        placement_task = self._make_placement_task(state, task)
        worker = self._policy.choose_worker(placement_task, self._cell.views, self._now)
        if worker is None:
            return False
        task.epoch += 1
        started = self._cell.start(
            worker,
            task.task,
            task.epoch,
            state.job,
            task.index,
            task.checkpointed,
            placement_task.size,
            self._now,
        )
        if not started:
            return False
        if worker in self._bad_since and not self._policy.is_quarantined(worker, self._now):
            self._bad_starts[worker] += self._now >= self._bad_since[worker]
        self._policy.record_start(placement_task, worker, self._now)
        task.worker = worker
        state.running[task.task] = state.waiting.popleft()
        state.starts += 1
        if state.starts == 1 and not state.job.urgent:
            self._result.first_waits.append(self._now - state.job.arrives)
        if state.job.never_runs:
            self._never_starts[state.job.job] += 1
        if state.job.urgent and task.epoch == 1:
            delay = self._now + fake.START_SECONDS - state.job.arrives
            self._result.urgent_delays.append(delay)
        return True

    def _make_placement_task(self, state: JobState, task: Task) -> model.PlacementTask:
        job_class = self._load.classes[state.job.job_class]
        memory = job_class.declared_memory_mb * 2**task.memory_failures
        declared = messages.Resources(
            job_class.declared_millicores, min(memory, loads.WORKER_MEMORY_MB // 2), 0
        )
        return model.PlacementTask(
            task=task.task,
            job=state.job.job,
            job_class=job_class.name,
            team="team",
            size=self._policy.estimate_size(job_class.name, declared, task.task, state.job.job),
            urgent=state.job.urgent,
            failures=task.failures,
        )

    def _preempt(self, state: JobState) -> None:
        task = state.waiting[0]
        if task.not_before > self._now:
            return
        placement_task = self._make_placement_task(state, task)
        preemption = self._policy.propose_preemption(placement_task, self._cell.views, self._now)
        if preemption is None:
            return
        for name, _ in preemption.runs:
            preempted = self._jobs[name.rpartition(".")[0]]
            if name in preempted.running and self._cell.checkpoint(
                preemption.worker, name, self._now
            ):
                self._result.preemptions += 1

    def _collect_result(self) -> Result:
        result = self._result
        cell = self._cell
        result.progress = cell.core_seconds
        result.lost_seconds = cell.lost_seconds
        result.repeated_seconds = cell.repeated_seconds
        result.violations = cell.capacity_violations
        result.refusals = cell.refusals
        result.bad_worker_starts = [self._bad_starts[worker] for worker in self._bad_since]
        result.probe_starts = sum(cell.bad_starts.values()) - sum(result.bad_worker_starts)
        never = [state.job.job for state in self._jobs.values() if state.job.never_runs]
        result.never_starts = [self._never_starts[job] for job in never]
        result.waiting_tasks = sum(len(state.waiting) for state in self._jobs.values())
        result.first_waits += [
            self._now - state.job.arrives
            for state in self._jobs.values()
            if not (state.starts or state.closed or state.job.urgent)
        ]
        waiting = [state for state in self._jobs.values() if state.job.urgent and state.waiting]
        result.urgent_delays += [
            self._now - state.job.arrives for state in waiting if state.waiting[0].epoch == 0
        ]
        result.false_quarantines = sum(
            self._policy.is_quarantined(view.worker, self._now)
            for view in cell.views
            if view.worker not in self._bad_since
        )
        return result
