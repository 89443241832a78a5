"""Simplified simulation of the workers of one cell: runs, interference, usage and late reports.

It replaces agents and runtimes at the interface of the placement policy. It is not a cluster
simulator: there is no network, no store, no loss of workers and no change of owner.
"""

import collections
import math
import random as random_module

import msgspec
import numpy

from crocusrudder.placement import scoring
from crocusrudder.wire import messages
from tools.experiment import loads

STEP_SECONDS = 0.5
START_SECONDS = 0.4
"""Delay from the decision to the running task: commit, message and start."""
CHECKPOINT_INTERVAL_SECONDS = 60.0
CHECKPOINT_SECONDS = 2.0
HEARTBEAT_SECONDS = 5.0
MEASURED_SECONDS = 10.0
"""Window of a reported p99."""
REPORT_LOSS = 0.15
"""Probability that a heartbeat is lost."""
REPORT_NOISE = 0.15
"""Standard deviation of the logarithm of a reported p99."""
SPORADIC_FAILURES = 0.01
"""Probability that a run fails for no lasting reason."""
LATENCY_SIGMA = 0.35
"""Standard deviation of the logarithm of a latency without interference."""
P99_DEVIATIONS = 2.326
"""Standard deviations from the median to the p99 of a normal distribution."""
LOAD_EFFECT = 0.7
"""Logarithm of the slowdown of a service at its own full load."""
PRESSURE_EFFECT = 0.5
"""Logarithm of the slowdown at full use of a worker's processors; sets in at 85% use."""
MAX_LOG_SLOWDOWN = 2.5
"""Upper bound on the logarithm of the slowdown by interference, approached asymptotically."""
SAMPLES_PER_STEP = 4


class Run(msgspec.Struct):
    """A run on a worker; ``work``, ``completed`` and ``checkpointed`` are seconds at full speed."""

    task: str
    epoch: int
    job: loads.Job
    size: messages.Resources
    started: float
    work: float
    completed: float
    checkpointed: float
    usage: messages.Resources
    fails_at: float
    failure_reason: str
    share: float = 1.0
    checkpoint_at: float = math.inf


class End(msgspec.Struct, frozen=True):
    """The end of a run, of which the scheduler is notified at ``known_at``."""

    known_at: float
    worker: str
    run: Run
    state: messages.RunState
    reason: str


class WorkerView:
    """State of a worker as the owner of the cell sees it."""

    def __init__(self, index: int, reserved: messages.Resources) -> None:
        self.worker = f"worker-{index}"
        self.capacity = messages.Resources(loads.WORKER_MILLICORES, loads.WORKER_MEMORY_MB, 0)
        self.reserved = reserved
        self.draining = False
        self.runs: dict[tuple[str, int], messages.TaskStatus] = {}
        self.latencies: tuple[tuple[str, float], ...] = ()

    def reserve(self, size: messages.Resources, sign: int) -> None:
        """Add a reservation (``sign`` 1) or remove it (``sign`` -1)."""
        self.reserved = messages.Resources(
            self.reserved.millicores + sign * size.millicores,
            self.reserved.memory_mb + sign * size.memory_mb,
            self.reserved.accelerators + sign * size.accelerators,
        )


class FakeCell:
    """Simulate the workers of one cell, with the true interference, in steps."""

    def __init__(self, load: loads.Load, random: random_module.Random, seed: int) -> None:
        self._load = load
        self._random = random
        self._samples = numpy.random.default_rng(seed)
        self.views = [self._make_view(index) for index in range(len(load.replicas))]
        self._index = {view.worker: index for index, view in enumerate(self.views)}
        self._runs: list[dict[str, Run]] = [{} for _ in self.views]
        self._bad_since = {self.views[index].worker: since for index, since in load.bad_workers}
        self._ends: list[End] = []
        self._slopes = numpy.array([job_class.slopes for job_class in load.classes])
        self._hosted = numpy.zeros((len(self.views), len(load.services)), dtype=bool)
        for index, replicas in enumerate(load.replicas):
            self._hosted[index, list(replicas)] = True
        self._log_p99: collections.deque[tuple[float, numpy.ndarray]] = collections.deque()
        self.latencies: list[list[numpy.ndarray]] = [[] for _ in load.services]
        self.capacity_violations = 0
        self.refusals = 0
        self.bad_starts: collections.Counter[str] = collections.Counter()
        self.core_seconds = 0.0
        self.lost_seconds = 0.0
        self.repeated_seconds = 0.0

    def _make_view(self, index: int) -> WorkerView:
        services = [self._load.services[service] for service in self._load.replicas[index]]
        cores = sum(service.millicores for service in services)
        memory = sum(service.memory_mb for service in services)
        return WorkerView(index, messages.Resources(cores, memory, 0))

    def compute_load(self, service: int, now: float) -> float:
        """Return the load of a service, from 0 to 1."""
        parameters = self._load.services[service]
        wave = 0.55 + 0.25 * math.sin(2.0 * math.pi * now / 900.0 + parameters.phase)
        shifted = wave + (parameters.shift if now >= parameters.shift_at else 0.0)
        return min(max(shifted, 0.05), 1.0)

    def compute_slope_factor(self, service: int, now: float) -> float:
        """Return the factor by which the present load of a service scales its interference."""
        return 0.5 + 0.7 * self.compute_load(service, now)

    def start(
        self,
        worker: str,
        task: str,
        epoch: int,
        job: loads.Job,
        index: int,
        checkpointed: float,
        size: messages.Resources,
        now: float,
    ) -> bool:
        """Start a run; return False if it does not fit, like the admission control of the agent."""
        view = self.views[self._index[worker]]
        if not scoring.compute_free(view.capacity, view.reserved, ()).fits(size):
            self.refusals += 1
            return False
        run = self._make_run(worker, task, epoch, job, index, checkpointed, size, now)
        self._runs[self._index[worker]][task] = run
        view.reserve(size, 1)
        view.runs[(task, epoch)] = messages.TaskStatus(task, epoch, messages.RunState.RUNNING)
        return True

    def _make_run(
        self,
        worker: str,
        task: str,
        epoch: int,
        job: loads.Job,
        index: int,
        checkpointed: float,
        size: messages.Resources,
        now: float,
    ) -> Run:
        job_class = self._load.classes[job.job_class]
        cores = round(job_class.millicores * job.scale)
        memory = round(job_class.memory_mb * job.scale)
        usage = messages.Resources(min(cores, size.millicores), min(memory, size.memory_mb), 0)
        fails_at, failure_reason = math.inf, ""
        if now >= self._bad_since.get(worker, math.inf):
            self.bad_starts[worker] += 1
            fails_at, failure_reason = now + self._random.uniform(0.5, 4.0), "exit status 127"
        elif job.never_runs:
            fails_at, failure_reason = now + self._random.uniform(1.0, 5.0), "input does not exist"
        elif memory > size.memory_mb:
            fails_at, failure_reason = now + self._random.uniform(2.0, 6.0), "memory limit"
        elif self._random.random() < SPORADIC_FAILURES:
            fails_at, failure_reason = now + self._random.uniform(1.0, 60.0), "exit status 1"
        if failure_reason != "memory limit" and failure_reason:
            usage = messages.Resources(usage.millicores // 4, usage.memory_mb // 4, 0)
        started = now + START_SECONDS
        return Run(
            task,
            epoch,
            job,
            size,
            started,
            job.task_work_seconds[index],
            checkpointed,
            checkpointed,
            usage,
            fails_at,
            failure_reason,
        )

    def stop(self, worker: str, task: str, now: float, state: messages.RunState) -> None:
        """Stop a run, if it exists, at once; its work since the last checkpoint is lost."""
        run = self._runs[self._index[worker]].get(task)
        if run is not None:
            self._end(worker, run, state, now, "")

    def checkpoint(self, worker: str, task: str, now: float) -> bool:
        """Start to checkpoint a run, which ends it.

        Return False if the run is being checkpointed already or has ended.
        """
        run = self._runs[self._index[worker]].get(task)
        if run is None or run.checkpoint_at < math.inf:
            return False
        run.checkpoint_at = now + CHECKPOINT_SECONDS
        return True

    def throttle(self, worker: str, task: str, share: float) -> None:
        """Limit a run, if it exists, to a share of its processors."""
        run = self._runs[self._index[worker]].get(task)
        if run is not None:
            run.share = share

    def drain_ends(self, now: float) -> list[End]:
        """Remove and return the ends known by now, and release their reservations."""
        due = [end for end in self._ends if end.known_at <= now]
        self._ends = [end for end in self._ends if end.known_at > now]
        for end in due:
            view = self.views[self._index[end.worker]]
            view.reserve(end.run.size, -1)
            del view.runs[(end.run.task, end.run.epoch)]
        return due

    def step(self, now: float) -> None:
        """Advance all runs by one step, check capacities and sample latencies."""
        for view, runs in zip(self.views, self._runs, strict=True):
            for run in list(runs.values()):
                self._advance(view.worker, run, now)
            self._check_capacity(view, runs)
        self._sample_latencies(now)

    def _advance(self, worker: str, run: Run, now: float) -> None:
        if now < run.started:
            return
        if now >= run.fails_at:
            self._end(worker, run, messages.RunState.FAILED, now, run.failure_reason)
            return
        if now >= run.checkpoint_at:
            run.checkpointed = run.completed
            self._end(worker, run, messages.RunState.CHECKPOINTED, now, "")
            return
        cores = self._load.classes[run.job.job_class].millicores * run.job.scale
        rate = run.share * min(1.0, run.size.millicores / cores)
        if run.checkpoint_at < math.inf:
            rate = 0.0
        run.completed += rate * STEP_SECONDS
        self.core_seconds += rate * STEP_SECONDS * cores / 1000.0
        self.lost_seconds += (1.0 - rate) * STEP_SECONDS
        if run.completed >= run.work:
            run.completed = run.checkpointed = run.work
            self._end(worker, run, messages.RunState.SUCCEEDED, now, "")
        elif run.completed - run.checkpointed >= CHECKPOINT_INTERVAL_SECONDS:
            run.checkpointed = run.completed

    def _end(
        self, worker: str, run: Run, state: messages.RunState, now: float, reason: str
    ) -> None:
        del self._runs[self._index[worker]][run.task]
        repeated = run.completed - run.checkpointed
        self.repeated_seconds += repeated
        self.lost_seconds += repeated
        cores = self._load.classes[run.job.job_class].millicores * run.job.scale
        self.core_seconds -= repeated * cores / 1000.0
        known_at = now + self._random.uniform(0.1, 1.0)
        self._ends.append(End(known_at, worker, run, state, reason))

    def _check_capacity(self, view: WorkerView, runs: dict[str, Run]) -> None:
        """Count a violation of invariant I1 (capacity) by reservations or by usage."""
        free = scoring.compute_free(view.capacity, view.reserved, ())
        used = sum(run.usage.millicores for run in runs.values())
        if min(free) < 0 or used > view.capacity.millicores:
            self.capacity_violations += 1

    def _count_tasks(self) -> numpy.ndarray:
        """Return the running tasks per worker and job class, weighted by their processor shares."""
        counts = numpy.zeros((len(self.views), len(self._load.classes)))
        for index, runs in enumerate(self._runs):
            for run in runs.values():
                counts[index, run.job.job_class] += run.share
        return counts

    def _compute_pressure(self) -> numpy.ndarray:
        used = [
            sum(run.usage.millicores * run.share for run in runs.values()) for runs in self._runs
        ]
        reserved = [
            sum(self._load.services[service].millicores for service in replicas)
            for replicas in self._load.replicas
        ]
        share = (numpy.array(used) + 0.7 * numpy.array(reserved)) / loads.WORKER_MILLICORES
        return PRESSURE_EFFECT * numpy.clip((share - 0.85) / 0.15, 0.0, 1.5)

    def _sample_latencies(self, now: float) -> None:
        """Compute the p99 of each service on each worker and sample latencies from it."""
        services = range(len(self._load.services))
        factors = numpy.array([self.compute_slope_factor(service, now) for service in services])
        raw = (self._count_tasks() @ self._slopes) * factors
        interference_effect = MAX_LOG_SLOWDOWN * (1.0 - numpy.exp(-raw / MAX_LOG_SLOWDOWN))
        load_effect = numpy.array(
            [LOAD_EFFECT * self.compute_load(service, now) ** 2 for service in services]
        )
        medians = numpy.array([math.log(service.median_ms) for service in self._load.services])
        log_median = medians + load_effect + interference_effect + self._compute_pressure()[:, None]
        self._log_p99.append((now, log_median + P99_DEVIATIONS * LATENCY_SIGMA))
        while self._log_p99[0][0] < now - 40.0:
            self._log_p99.popleft()
        for service in services:
            means = numpy.repeat(log_median[self._hosted[:, service], service], SAMPLES_PER_STEP)
            noise = self._samples.normal(0.0, LATENCY_SIGMA, means.shape)
            self.latencies[service].append(numpy.exp(means + noise).astype(numpy.float32))

    def make_report(self, index: int, now: float) -> tuple[dict[str, float], list[str]] | None:
        """Return the heartbeat of a worker: delayed p99 of its services, job classes running now.

        Return None if the heartbeat is lost. The p99 may be missing from a heartbeat. Updates the
        usages and latencies in the view of the worker.
        """
        has_gap = any(
            worker_index == index and start <= now < end
            for worker_index, start, end in self._load.report_gaps
        )
        if has_gap or self._random.random() < REPORT_LOSS:
            return None
        view = self.views[index]
        for key, status in list(view.runs.items()):
            run = self._runs[index].get(key[0])
            if run is not None:
                view.runs[key] = msgspec.structs.replace(status, usage=run.usage)
        classes = [self._load.classes[run.job.job_class].name for run in self._runs[index].values()]
        latencies = self._measure_p99(index, now - self._random.uniform(3.0, 14.0))
        view.latencies = tuple(latencies.items())
        return latencies, classes

    def _measure_p99(self, index: int, until: float) -> dict[str, float]:
        window = [
            values[index]
            for measured_at, values in self._log_p99
            if until - MEASURED_SECONDS <= measured_at <= until
        ]
        if not window:
            return {}
        mean = numpy.mean(window, axis=0)
        return {
            self._load.services[service].name: math.exp(
                float(mean[service]) + self._random.gauss(0.0, REPORT_NOISE)
            )
            for service in self._load.replicas[index]
        }
