"""Attribute failed runs to a broken worker or to a job that cannot run anywhere.

Each worker and each job has a Beta posterior of its failure probability. A failure is added to the
worker's posterior with weight 1 minus the job's mean, and to the job's posterior with weight 1
minus the worker's mean.
"""

import collections

from crocusrudder.core import ids
from crocusrudder.placement import model
from crocusrudder.wire import messages

WORKER_PRIOR = (0.25, 4.75)
"""Pseudo-counts of failures and successes in a worker's prior."""
JOB_PRIOR = (0.5, 4.5)
WORKER_PSEUDO_COUNT_LIMIT = 5.0
"""Upper limit on the sum of a worker's pseudo-counts, so that old outcomes lose weight.

About six failures of weight 1 lead to quarantine.
"""
QUARANTINE_MEAN = 0.6
"""Failure probability from which a worker is quarantined."""
PROBE_AFTER_SECONDS = 600.0
"""Time in quarantine after which a worker gets one task as a probe."""
WORKER_UNPROVEN_STARTS = 8
"""Limit on starts on a worker with no run that succeeds or outlives ``STARTUP_SECONDS``.

The requirement is at most nine.
"""
STARTUP_SECONDS = 10.0
"""Age up to which a run may still fail at start; broken workers fail every task within seconds."""

JOB_UNPROVEN_STARTS = 6
"""Limit on starts of a job with no run that succeeds or outlives ``PROVEN_AFTER_SECONDS``."""
JOB_UNPROVEN_RUNNING = 3
"""Limit on concurrent runs of such a job.

The remaining starts can then use other workers or a larger reservation.
"""
PROVEN_AFTER_SECONDS = 30.0
"""Age from which a live run proves that its job can run."""
PERMANENT_FAILURE_WORKERS = 3
"""Healthy workers on which a job must fail before it is abandoned."""
SUSPECT_MEAN = 0.5
"""Failure probability from which a worker's failures are no evidence against a job."""
BACKOFF_SECONDS = 1.0
"""Delay before a job's next start after its first failure; doubles with each further failure."""
BACKOFF_MAX_SECONDS = 60.0


class _Beta:
    """Beta posterior of a failure probability."""

    def __init__(self, prior: tuple[float, float], pseudo_count_limit: float | None = None) -> None:
        self.failures, self.successes = prior
        self._pseudo_count_limit = pseudo_count_limit

    @property
    def mean(self) -> float:
        return self.failures / (self.failures + self.successes)

    def update(self, failures: float, successes: float) -> None:
        self.failures += failures
        self.successes += successes
        total = self.failures + self.successes
        if self._pseudo_count_limit is not None and total > self._pseudo_count_limit:
            self.failures *= self._pseudo_count_limit / total
            self.successes *= self._pseudo_count_limit / total


class _Worker:
    """Outcomes on one worker."""

    def __init__(self) -> None:
        self.posterior = _Beta(WORKER_PRIOR, WORKER_PSEUDO_COUNT_LIMIT)
        self.startup_runs: dict[ids.TaskId, tuple[ids.JobId, float]] = {}
        """Job and start time of the runs younger than ``STARTUP_SECONDS``."""
        self.failures_since_success: list[tuple[float, ids.JobId]] = []
        """Start time and job of the failed runs that started after the last good one."""
        self.failures = 0
        self.successes = 0
        self.quarantined_since: float | None = None
        self.probe: ids.TaskId | None = None


class _Job:
    """Outcomes of one job."""

    def __init__(self) -> None:
        self.posterior = _Beta(JOB_PRIOR)
        self.starts = 0
        self.successes = 0
        self.running: dict[ids.TaskId, tuple[ids.WorkerId, float]] = {}
        self.failed_on: collections.Counter[ids.WorkerId] = collections.Counter()
        self.longest_failure = 0.0
        """Longest time in seconds that a run took to fail."""
        self.memory_exceeded_runs = 0
        self.consecutive_failures = 0
        self.not_before = float("-inf")
        self.last_reason = ""
        self.permanent_failure: model.PermanentFailure | None = None


class FailureAttribution:
    """Attribute failures to workers or jobs; quarantine workers and find jobs that cannot run."""

    def __init__(self) -> None:
        self._workers: dict[ids.WorkerId, _Worker] = {}
        self._jobs: dict[ids.JobId, _Job] = {}

    def record_start(
        self, task: ids.TaskId, job: ids.JobId, worker: ids.WorkerId, now: float
    ) -> None:
        worker_state = self._get_worker(worker)
        worker_state.startup_runs[task] = (job, now)
        if worker_state.quarantined_since is not None:
            worker_state.probe = task
        job_state = self._get_job(job)
        job_state.starts += 1
        job_state.running[task] = (worker, now)

    def record_inconclusive(self, task: ids.TaskId, job: ids.JobId, worker: ids.WorkerId) -> None:
        """Record an end that is no evidence for or against worker or job, e.g. a cancellation."""
        worker_state = self._get_worker(worker)
        if task == worker_state.probe:
            worker_state.probe = None
        worker_state.startup_runs.pop(task, None)
        job_state = self._jobs.get(job)
        if job_state is not None and job_state.running.pop(task, None) is not None:
            job_state.starts -= 1

    def record_memory_exceeded(
        self,
        task: ids.TaskId,
        job: ids.JobId,
        worker: ids.WorkerId,
        size: messages.Resources,
        now: float,
    ) -> None:
        """Record a run that was stopped at its memory reservation; not held against the worker."""
        self._get_worker(worker).startup_runs.pop(task, None)
        state = self._get_job(job)
        state.running.pop(task, None)
        state.memory_exceeded_runs += 1
        state.last_reason = f"memory exceeded the reservation of {size.memory_mb} MB"
        self._decide_permanent_failure(job, state, now)

    def record_success(
        self, task: ids.TaskId, job: ids.JobId, worker: ids.WorkerId, now: float
    ) -> None:
        """Record a successful run; the success of a probe ends the worker's quarantine."""
        worker_state = self._get_worker(worker)
        worker_state.startup_runs.pop(task, None)
        worker_state.successes += 1
        job_state = self._get_job(job)
        _, started = job_state.running.pop(task, (worker, now))
        self._discard_failures_until(worker_state, started)
        if not worker_state.failures_since_success:
            worker_state.posterior.update(0.0, 1.0)
        if task == worker_state.probe:
            self.release(worker)
        job_state.posterior.update(0.0, 1.0)
        job_state.successes += 1
        job_state.consecutive_failures = 0

    def record_failure(
        self, task: ids.TaskId, job: ids.JobId, worker: ids.WorkerId, now: float, reason: str
    ) -> None:
        """Record a failed run; may quarantine the worker or mark the job as unable to run."""
        worker_state = self._get_worker(worker)
        job_state = self._get_job(job)
        worker_weight = 1.0 - self._compute_job_mean_elsewhere(job_state, worker)
        job_weight = 1.0 - worker_state.posterior.mean
        worker_state.startup_runs.pop(task, None)
        worker_state.failures += 1
        worker_state.posterior.update(worker_weight, 0.0)
        _, started = job_state.running.pop(task, (worker, now))
        worker_state.failures_since_success.append((started, job))
        job_state.longest_failure = max(job_state.longest_failure, now - started)
        job_state.posterior.update(job_weight, 0.0)
        job_state.failed_on[worker] += 1
        job_state.consecutive_failures += 1
        job_state.last_reason = reason
        exponent = min(job_state.consecutive_failures - 1, 10)
        delay = min(BACKOFF_SECONDS * 2.0**exponent, BACKOFF_MAX_SECONDS)
        job_state.not_before = now + delay
        self._decide_quarantine(worker_state, task, now)
        self._decide_permanent_failure(job, job_state, now)

    def may_start_on(self, worker: ids.WorkerId, now: float) -> bool:
        """Return whether the worker may get one more start; in quarantine, only a due probe."""
        state = self._workers.get(worker)
        if state is None:
            return True
        self._complete_startups(state, now)
        if state.quarantined_since is not None:
            return self.is_probe_due(worker, now)
        if len(state.startup_runs) + len(state.failures_since_success) < WORKER_UNPROVEN_STARTS:
            return True
        return (
            self._count_attributed_failures(state) + len(state.startup_runs)
            < WORKER_UNPROVEN_STARTS
        )

    def may_start(self, job: ids.JobId, now: float, urgent: bool = False) -> bool:
        """Return whether the job may start one more task now.

        An urgent job is limited only after its first failure: all its tasks must start within
        seconds, which is less than ``PROVEN_AFTER_SECONDS``.
        """
        state = self._jobs.get(job)
        if state is None:
            return True
        if state.permanent_failure is not None or now < state.not_before:
            return False
        if self._is_proven(state, now) or (urgent and not state.failed_on):
            return True
        allowed = 1 if state.memory_exceeded_runs else JOB_UNPROVEN_RUNNING
        if state.starts < JOB_UNPROVEN_STARTS:
            return len(state.running) < allowed
        return not state.running and len(self._list_healthy_workers(state)) < self._count_required()

    def has_failed_on(self, job: ids.JobId, worker: ids.WorkerId) -> bool:
        """Return whether a run of the job failed on the worker."""
        state = self._jobs.get(job)
        return state is not None and worker in state.failed_on

    def is_unproven(self, job: ids.JobId) -> bool:
        """Return whether the job has failed and never succeeded."""
        state = self._jobs.get(job)
        return state is not None and not state.successes and bool(state.failed_on)

    def is_running_on(self, job: ids.JobId, worker: ids.WorkerId) -> bool:
        """Return whether a job without a success has a run on the worker."""
        state = self._jobs.get(job)
        if state is None or state.successes:
            return False
        return any(current == worker for current, _ in state.running.values())

    def find_permanent_failure(self, job: ids.JobId) -> model.PermanentFailure | None:
        """Return why the job can never run, or None if that is not established."""
        state = self._jobs.get(job)
        return state.permanent_failure if state is not None else None

    def is_quarantined(self, worker: ids.WorkerId) -> bool:
        state = self._workers.get(worker)
        return state is not None and state.quarantined_since is not None

    def is_probe_due(self, worker: ids.WorkerId, now: float) -> bool:
        """Return whether a quarantined worker should get one task to test whether it recovered."""
        state = self._workers.get(worker)
        if state is None or state.quarantined_since is None or state.probe is not None:
            return False
        return now - state.quarantined_since >= PROBE_AFTER_SECONDS

    def release(self, worker: ids.WorkerId) -> None:
        """End the worker's quarantine and discard its outcomes."""
        startup_runs = self._get_worker(worker).startup_runs
        self._workers[worker] = _Worker()
        self._workers[worker].startup_runs = startup_runs

    def remove_worker(self, worker: ids.WorkerId) -> None:
        """Discard a worker; failures on it no longer count against jobs."""
        self._workers.pop(worker, None)
        for state in self._jobs.values():
            state.failed_on.pop(worker, None)

    def remove_job(self, job: ids.JobId) -> None:
        """Discard a job; if it could never run, its failures no longer count against workers."""
        state = self._jobs.pop(job, None)
        if state is None or state.permanent_failure is None:
            return
        for worker in state.failed_on:
            worker_state = self._get_worker(worker)
            worker_state.failures_since_success = [
                entry for entry in worker_state.failures_since_success if entry[1] != job
            ]

    def explain_worker(self, worker: ids.WorkerId, now: float) -> str:
        """Return the worker's state and the evidence for it on one line."""
        state = self._workers.get(worker)
        if state is None:
            return f"worker {worker}: no outcomes yet"
        counts = f"{state.failures} failed, {state.successes} succeeded"
        probability = f"failure probability {state.posterior.mean:.2f}"
        if state.quarantined_since is None:
            return f"worker {worker}: in use; {counts}; {probability}"
        since = now - state.quarantined_since
        jobs = len({job for _, job in state.failures_since_success})
        return (
            f"worker {worker}: quarantined for {since:.0f} s; {counts}; {probability}; "
            f"tasks of {jobs} jobs failed here in a row"
        )

    def explain_job(self, job: ids.JobId) -> str:
        """Return the job's starts and failures, or why it can never run, on one line."""
        state = self._jobs.get(job)
        if state is None:
            return f"job {job}: no starts yet"
        if state.permanent_failure is not None:
            return f"job {job}: {state.permanent_failure.reason}"
        failures = sum(state.failed_on.values())
        return (
            f"job {job}: {state.starts} starts, {state.successes} succeeded, {failures} failed on "
            f"{len(state.failed_on)} workers; failure probability {state.posterior.mean:.2f}"
        )

    def dump(self) -> dict[str, object]:
        """Return the quarantined workers and the jobs that can never run, as JSON types."""
        return {
            "quarantined": sorted(w for w in self._workers if self.is_quarantined(w)),
            "never_runs": {
                job: state.permanent_failure.reason
                for job, state in sorted(self._jobs.items())
                if state.permanent_failure is not None
            },
        }

    def _get_worker(self, worker: ids.WorkerId) -> _Worker:
        return self._workers.setdefault(worker, _Worker())

    def _get_job(self, job: ids.JobId) -> _Job:
        return self._jobs.setdefault(job, _Job())

    def _is_suspect(self, job: ids.JobId) -> bool:
        """Return whether the job fails on enough healthy workers not to count against one."""
        state = self._jobs.get(job)
        if state is None:
            return False
        return (
            not state.successes
            and len(self._list_healthy_workers(state)) >= PERMANENT_FAILURE_WORKERS
        )

    def _is_proven(self, state: _Job, now: float) -> bool:
        if state.successes:
            return True
        needed = max(PROVEN_AFTER_SECONDS, state.longest_failure)
        return any(now - started >= needed for _, started in state.running.values())

    @staticmethod
    def _discard_failures_until(state: _Worker, started: float) -> None:
        """Discard failures of runs that started no later than ``started``, the start of a good run.

        A run from before a worker broke may still succeed, so failures of later starts are kept.
        """
        state.failures_since_success = [
            entry for entry in state.failures_since_success if entry[0] > started
        ]

    def _complete_startups(self, state: _Worker, now: float) -> None:
        """Count runs older than ``STARTUP_SECONDS`` as good starts."""
        while state.startup_runs:
            task, (_, started) = next(iter(state.startup_runs.items()))
            if now - started < STARTUP_SECONDS:
                return
            del state.startup_runs[task]
            if state.quarantined_since is None:
                self._discard_failures_until(state, started)

    def _compute_job_mean_elsewhere(self, state: _Job, worker: ids.WorkerId) -> float:
        """Return the job's failure mean without its failures on this worker.

        With them, a worker that fails many tasks of one job would raise the job's mean and so
        reduce the weight of its own failures.
        """
        elsewhere = sum(count for other, count in state.failed_on.items() if other != worker)
        total = sum(state.failed_on.values())
        prior_failures = JOB_PRIOR[0]
        observed = state.posterior.failures - prior_failures
        failures = prior_failures + (observed * elsewhere / total if total else 0.0)
        return failures / (failures + state.posterior.successes)

    def _list_healthy_workers(self, state: _Job) -> list[ids.WorkerId]:
        """Return the workers on which the job failed and other jobs do not."""
        return [
            worker
            for worker in state.failed_on
            if self._workers[worker].quarantined_since is None
            and self._workers[worker].posterior.mean < SUSPECT_MEAN
        ]

    def _count_attributed_failures(self, state: _Worker) -> int:
        """Return the failures since the last good start, without those of suspect jobs."""
        return sum(not self._is_suspect(job) for _, job in state.failures_since_success)

    def _decide_quarantine(self, state: _Worker, task: ids.TaskId, now: float) -> None:
        if task == state.probe:
            state.probe = None
            state.quarantined_since = now
        if state.quarantined_since is not None:
            return
        exhausted = self._count_attributed_failures(state) >= WORKER_UNPROVEN_STARTS
        if exhausted or state.posterior.mean >= QUARANTINE_MEAN:
            state.quarantined_since = now

    def _decide_permanent_failure(self, job: ids.JobId, state: _Job, now: float) -> None:
        if self._is_proven(state, now) or state.permanent_failure is not None:
            return
        healthy = self._list_healthy_workers(state)
        confirmed = [worker for worker in healthy if self._workers[worker].successes]
        enough = len(confirmed) >= PERMANENT_FAILURE_WORKERS
        exhausted = state.starts >= JOB_UNPROVEN_STARTS and not state.running
        if exhausted and state.memory_exceeded_runs:
            text = (
                f"exceeded its memory reservation {state.memory_exceeded_runs} times; "
                f"last failure: {state.last_reason}"
            )
            state.permanent_failure = model.PermanentFailure(
                job, text, state.starts, tuple(sorted(healthy))
            )
            return
        if not enough and not (exhausted and len(healthy) >= self._count_required()):
            return
        compared = "where other jobs succeed" if enough else "that do not fail other jobs"
        detail = f"; last failure: {state.last_reason}" if state.last_reason else ""
        text = f"failed on {len(healthy)} workers {compared}, never succeeded{detail}"
        state.permanent_failure = model.PermanentFailure(
            job, text, state.starts, tuple(sorted(healthy))
        )

    def _count_required(self) -> int:
        """Return on how many workers a job must fail; fewer if fewer are out of quarantine."""
        usable = sum(state.quarantined_since is None for state in self._workers.values())
        return max(min(PERMANENT_FAILURE_WORKERS, usable), 1)
