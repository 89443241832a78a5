"""A small fake of the workers of one cell: runs, interference, usage, late reports.

It stands for the agents and runtimes at the policy's interface and is no cluster simulator: there
is no network, no store, no loss of workers and no owner change.
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
"""From the decision to the running task: commit, message, start."""
CHECKPOINT_INTERVAL_SECONDS = 60.0
CHECKPOINT_SECONDS = 2.0
HEARTBEAT_SECONDS = 5.0
MEASURED_SECONDS = 10.0
REPORT_LOSS = 0.15
REPORT_NOISE = 0.15
"""Standard deviation of the logarithm of a reported p99."""
SPORADIC_FAILURES = 0.01
LATENCY_SIGMA = 0.35
"""Standard deviation of the logarithm of an undisturbed latency."""
P99_DEVIATIONS = 2.326
LOAD_EFFECT = 0.7
"""Logarithm of the slowdown of a service by its own full load."""
PRESSURE_EFFECT = 0.5
"""Logarithm of the slowdown at full use of a worker's processors, from 85% on."""
SATURATION = 2.5
"""Bound on the logarithm of the slowdown by interference."""
SAMPLES_PER_STEP = 4


class Run(msgspec.Struct):
    """One run on a worker."""

    task: str
    epoch: int
    job: loads.Job
    size: messages.Resources
    started: float
    work: float
    done: float
    saved: float
    usage: messages.Resources
    dies_at: float
    death: str
    share: float = 1.0
    checkpoint_at: float = math.inf


class End(msgspec.Struct, frozen=True):
    """The end of a run as the scheduler learns it at ``known_at``."""

    known_at: float
    worker: str
    run: Run
    state: messages.RunState
    reason: str


class WorkerView:
    """View of a worker as the owner has it."""

    def __init__(self, index: int, reserved: messages.Resources) -> None:
        self.worker = f"worker-{index}"
        self.capacity = messages.Resources(loads.WORKER_MILLICORES, loads.WORKER_MEMORY_MB, 0)
        self.reserved = reserved
        self.draining = False
        self.runs: dict[tuple[str, int], messages.TaskStatus] = {}
        self.latencies: tuple[tuple[str, float], ...] = ()

    def reserve(self, size: messages.Resources, sign: int) -> None:
        """Add or remove a reservation."""
        self.reserved = messages.Resources(
            self.reserved.millicores + sign * size.millicores,
            self.reserved.memory_mb + sign * size.memory_mb,
            self.reserved.accelerators + sign * size.accelerators,
        )


class FakeCell:
    """Workers of one cell with true interference, advanced in steps."""

    def __init__(self, load: loads.Load, random: random_module.Random, seed: int) -> None:
        self._load = load
        self._random = random
        self._samples = numpy.random.default_rng(seed)
        self.views = [self._make_view(index) for index in range(len(load.replicas))]
        self._index = {view.worker: at for at, view in enumerate(self.views)}
        self._runs: list[dict[str, Run]] = [{} for _ in self.views]
        self._bad = {self.views[at].worker: since for at, since in load.bad_workers}
        self._ends: list[End] = []
        self._slopes = numpy.array([known.slopes for known in load.classes])
        self._hosted = numpy.zeros((len(self.views), len(load.services)), dtype=bool)
        for at, held in enumerate(load.replicas):
            self._hosted[at, list(held)] = True
        self._log_p99: collections.deque[tuple[float, numpy.ndarray]] = collections.deque()
        self.latencies: list[list[numpy.ndarray]] = [[] for _ in load.services]
        self.capacity_violations = 0
        self.refusals = 0
        self.bad_starts: collections.Counter[str] = collections.Counter()
        self.core_seconds = 0.0
        self.lost_seconds = 0.0
        self.repeated_seconds = 0.0

    def _make_view(self, index: int) -> WorkerView:
        held = [self._load.services[at] for at in self._load.replicas[index]]
        cores = sum(service.millicores for service in held)
        memory = sum(service.memory_mb for service in held)
        return WorkerView(index, messages.Resources(cores, memory, 0))

    def load_of(self, service: int, now: float) -> float:
        """Return the load of a service, 0 to 1."""
        known = self._load.services[service]
        wave = 0.55 + 0.25 * math.sin(2.0 * math.pi * now / 900.0 + known.phase)
        shifted = wave + (known.shift if now >= known.shift_at else 0.0)
        return min(max(shifted, 0.05), 1.0)

    def slope_factor(self, service: int, now: float) -> float:
        """Return the factor of a service's load on its interference."""
        return 0.5 + 0.7 * self.load_of(service, now)

    def start(
        self,
        worker: str,
        task: str,
        epoch: int,
        job: loads.Job,
        index: int,
        saved: float,
        size: messages.Resources,
        now: float,
    ) -> bool:
        """Start a run, or refuse it if it does not fit, as the agent's admission control does."""
        view = self.views[self._index[worker]]
        if not scoring.compute_free(view.capacity, view.reserved, ()).fits(size):
            self.refusals += 1
            return False
        run = self._make_run(worker, task, epoch, job, index, saved, size, now)
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
        saved: float,
        size: messages.Resources,
        now: float,
    ) -> Run:
        known = self._load.classes[job.job_class]
        cores = round(known.millicores * job.scale)
        memory = round(known.memory_mb * job.scale)
        usage = messages.Resources(min(cores, size.millicores), min(memory, size.memory_mb), 0)
        dies_at, death = math.inf, ""
        if now >= self._bad.get(worker, math.inf):
            self.bad_starts[worker] += 1
            dies_at, death = now + self._random.uniform(0.5, 4.0), "exit status 127"
        elif job.never_runs:
            dies_at, death = now + self._random.uniform(1.0, 5.0), "input does not exist"
        elif memory > size.memory_mb:
            dies_at, death = now + self._random.uniform(2.0, 6.0), "memory limit"
        elif self._random.random() < SPORADIC_FAILURES:
            dies_at, death = now + self._random.uniform(1.0, 60.0), "exit status 1"
        if death != "memory limit" and death:
            usage = messages.Resources(usage.millicores // 4, usage.memory_mb // 4, 0)
        started = now + START_SECONDS
        return Run(
            task, epoch, job, size, started, job.works[index], saved, saved, usage, dies_at, death
        )

    def stop(self, worker: str, task: str, now: float, state: messages.RunState) -> None:
        """Stop a run at once; its work since the last checkpoint is lost."""
        run = self._runs[self._index[worker]].get(task)
        if run is not None:
            self._end(worker, run, state, now, "")

    def checkpoint(self, worker: str, task: str, now: float) -> bool:
        """Begin to checkpoint a run, which ends it; return False if it has begun or is gone."""
        run = self._runs[self._index[worker]].get(task)
        if run is None or run.checkpoint_at < math.inf:
            return False
        run.checkpoint_at = now + CHECKPOINT_SECONDS
        return True

    def throttle(self, worker: str, task: str, share: float) -> None:
        """Limit a run to a share of its processors."""
        run = self._runs[self._index[worker]].get(task)
        if run is not None:
            run.share = share

    def take_ends(self, now: float) -> list[End]:
        """Return the ends that are known by now."""
        known = [end for end in self._ends if end.known_at <= now]
        self._ends = [end for end in self._ends if end.known_at > now]
        for end in known:
            view = self.views[self._index[end.worker]]
            view.reserve(end.run.size, -1)
            del view.runs[(end.run.task, end.run.epoch)]
        return known

    def step(self, now: float) -> None:
        """Advance all runs by one step and sample latencies."""
        for view, runs in zip(self.views, self._runs, strict=True):
            for run in list(runs.values()):
                self._advance(view.worker, run, now)
            self._check_capacity(view, runs)
        self._measure(now)

    def _advance(self, worker: str, run: Run, now: float) -> None:
        if now < run.started:
            return
        if now >= run.dies_at:
            self._end(worker, run, messages.RunState.FAILED, now, run.death)
            return
        if now >= run.checkpoint_at:
            run.saved = run.done
            self._end(worker, run, messages.RunState.CHECKPOINTED, now, "")
            return
        cores = self._load.classes[run.job.job_class].millicores * run.job.scale
        rate = run.share * min(1.0, run.size.millicores / cores)
        if run.checkpoint_at < math.inf:
            rate = 0.0
        run.done += rate * STEP_SECONDS
        self.core_seconds += rate * STEP_SECONDS * cores / 1000.0
        self.lost_seconds += (1.0 - rate) * STEP_SECONDS
        if run.done >= run.work:
            run.done = run.saved = run.work
            self._end(worker, run, messages.RunState.SUCCEEDED, now, "")
        elif run.done - run.saved >= CHECKPOINT_INTERVAL_SECONDS:
            run.saved = run.done

    def _end(
        self, worker: str, run: Run, state: messages.RunState, now: float, reason: str
    ) -> None:
        del self._runs[self._index[worker]][run.task]
        repeated = run.done - run.saved
        self.repeated_seconds += repeated
        self.lost_seconds += repeated
        cores = self._load.classes[run.job.job_class].millicores * run.job.scale
        self.core_seconds -= repeated * cores / 1000.0
        known_at = now + self._random.uniform(0.1, 1.0)
        self._ends.append(End(known_at, worker, run, state, reason))

    def _check_capacity(self, view: WorkerView, runs: dict[str, Run]) -> None:
        """Count a violation of invariant I1 by reservations or by usage."""
        free = scoring.compute_free(view.capacity, view.reserved, ())
        used = sum(run.usage.millicores for run in runs.values())
        if min(free) < 0 or used > view.capacity.millicores:
            self.capacity_violations += 1

    def _counts(self) -> numpy.ndarray:
        """Return the running tasks per worker and class, weighted by processor share."""
        counts = numpy.zeros((len(self.views), len(self._load.classes)))
        for at, runs in enumerate(self._runs):
            for run in runs.values():
                counts[at, run.job.job_class] += run.share
        return counts

    def _pressure(self) -> numpy.ndarray:
        used = [
            sum(run.usage.millicores * run.share for run in runs.values()) for runs in self._runs
        ]
        held = [
            sum(self._load.services[at].millicores for at in hosted)
            for hosted in self._load.replicas
        ]
        share = (numpy.array(used) + 0.7 * numpy.array(held)) / loads.WORKER_MILLICORES
        return PRESSURE_EFFECT * numpy.clip((share - 0.85) / 0.15, 0.0, 1.5)

    def _measure(self, now: float) -> None:
        """Compute the p99 of each service on each worker and sample latencies from it."""
        services = range(len(self._load.services))
        factors = numpy.array([self.slope_factor(at, now) for at in services])
        raw = (self._counts() @ self._slopes) * factors
        disturbed = SATURATION * (1.0 - numpy.exp(-raw / SATURATION))
        own = numpy.array([LOAD_EFFECT * self.load_of(at, now) ** 2 for at in services])
        medians = numpy.array([math.log(known.median_ms) for known in self._load.services])
        log_median = medians + own + disturbed + self._pressure()[:, None]
        self._log_p99.append((now, log_median + P99_DEVIATIONS * LATENCY_SIGMA))
        while self._log_p99[0][0] < now - 40.0:
            self._log_p99.popleft()
        for at in services:
            means = numpy.repeat(log_median[self._hosted[:, at], at], SAMPLES_PER_STEP)
            noise = self._samples.normal(0.0, LATENCY_SIGMA, means.shape)
            self.latencies[at].append(numpy.exp(means + noise).astype(numpy.float32))

    def take_report(self, index: int, now: float) -> tuple[dict[str, float], list[str]] | None:
        """Return a heartbeat of a worker: late p99 of its services, classes running now.

        None if the heartbeat is lost; the p99 may be missing by itself.
        """
        silent = any(at == index and begin <= now < end for at, begin, end in self._load.silent)
        if silent or self._random.random() < REPORT_LOSS:
            return None
        view = self.views[index]
        for key, status in list(view.runs.items()):
            run = self._runs[index].get(key[0])
            if run is not None:
                view.runs[key] = msgspec.structs.replace(status, usage=run.usage)
        classes = [self._load.classes[run.job.job_class].name for run in self._runs[index].values()]
        latencies = self._measured(index, now - self._random.uniform(3.0, 14.0))
        view.latencies = tuple(latencies.items())
        return latencies, classes

    def _measured(self, index: int, until: float) -> dict[str, float]:
        window = [
            values[index] for at, values in self._log_p99 if until - MEASURED_SECONDS <= at <= until
        ]
        if not window:
            return {}
        mean = numpy.mean(window, axis=0)
        return {
            self._load.services[at].name: math.exp(
                float(mean[at]) + self._random.gauss(0.0, REPORT_NOISE)
            )
            for at in self._load.replicas[index]
        }
