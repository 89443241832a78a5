"""Loads of the experiment: services, job classes and job arrivals by profile and scale."""

import math
import random as random_module

import msgspec

WORKER_MILLICORES = 60_000
WORKER_MEMORY_MB = 250_000
SIMULATED_SECONDS = 1200


class Scale(msgspec.Struct, frozen=True):
    """Size of a deployment, of which ``sampled`` cells are simulated.

    ``services`` and ``classes`` are per cell.
    """

    name: str
    workers: int
    cells: int
    sampled: int
    cell_workers: int
    services: int
    classes: int
    bad_workers: int
    """Workers per cell that fail every run from some time on."""


SCALES = {
    scale.name: scale
    for scale in (
        Scale("today", 10, 1, 1, 10, 5, 10, 1),
        Scale("ten", 100, 3, 3, 33, 6, 14, 2),
        Scale("letter", 1100, 32, 3, 35, 7, 18, 2),
    )
}


class LoadProfile(msgspec.Struct, frozen=True):
    """Load and policy limits of one operator of the scheduler."""

    name: str
    demand: float
    """Offered batch work as a fraction of the processors that services leave free."""
    slowdown_limit: float
    grace_period_seconds: float
    work_seconds: float
    """Median run time of a task."""
    job_tasks: float
    """Mean number of tasks of a job."""
    noisy_share: float
    """Fraction of the job classes that interfere strongly with some service."""


LOAD_PROFILES = {
    profile.name: profile
    for profile in (
        LoadProfile("arriola", 0.7, 1.3, 600.0, 60.0, 6.0, 0.3),
        LoadProfile("servicio", 1.3, 1.6, 300.0, 120.0, 12.0, 0.3),
    )
}


class Service(msgspec.Struct, frozen=True):
    """A latency-critical service; each replica reserves ``millicores`` and ``memory_mb``."""

    name: str
    median_ms: float
    millicores: int
    memory_mb: int
    phase: float
    shift_at: float
    shift: float
    """Change of the load (0 to 1) from ``shift_at`` on."""


class JobClass(msgspec.Struct, frozen=True):
    """A class of batch jobs with its true and its declared demand."""

    name: str
    millicores: int
    memory_mb: int
    declared_millicores: int
    declared_memory_mb: int
    work_seconds: float
    slopes: tuple[float, ...]
    """Per service, the logarithm of its slowdown by one task at full load."""
    weight: float


class Job(msgspec.Struct, frozen=True):
    """A job as it arrives; the work of its tasks is in seconds at full speed."""

    job: str
    arrives: float
    job_class: int
    scale: float
    """Factor on the true size of the class."""
    task_work_seconds: tuple[float, ...]
    urgent: bool = False
    never_runs: bool = False
    cancelled_at: float = math.inf


class Load(msgspec.Struct, frozen=True):
    """Everything that is drawn in advance, so that all policies get the same load."""

    services: tuple[Service, ...]
    replicas: tuple[tuple[int, ...], ...]
    """Indices of the services on each worker."""
    classes: tuple[JobClass, ...]
    jobs: tuple[Job, ...]
    bad_workers: tuple[tuple[int, float], ...]
    """Worker index and the time from which it fails every start."""
    report_gaps: tuple[tuple[int, float, float], ...]
    """Worker index, start and end of a period without reports."""


def _make_services(scale: Scale, random: random_module.Random) -> tuple[Service, ...]:
    return tuple(
        Service(
            name=f"service-{index}",
            median_ms=random.uniform(4.0, 12.0),
            millicores=random.randrange(2000, 6000, 500),
            memory_mb=random.randrange(4000, 16000, 1000),
            phase=random.uniform(0.0, 2.0 * math.pi),
            shift_at=random.uniform(0.3, 0.8) * SIMULATED_SECONDS,
            shift=random.choice((-0.25, 0.25)),
        )
        for index in range(scale.services)
    )


def _make_slopes(
    profile: LoadProfile, scale: Scale, random: random_module.Random
) -> tuple[float, ...]:
    slopes = [random.uniform(0.0, 0.03) for _ in range(scale.services)]
    if random.random() < profile.noisy_share:
        for service in random.sample(range(scale.services), random.choice((1, 1, 2))):
            slopes[service] = random.uniform(0.4, 0.9)
    return tuple(slopes)


def _make_class(
    profile: LoadProfile, scale: Scale, index: int, random: random_module.Random
) -> JobClass:
    millicores = round(random.uniform(1000, 5000))
    memory_mb = round(random.uniform(1000, 12000))
    cores_error = min(max(random.lognormvariate(0.2, 0.8), 0.3), 5.0)
    memory_error = min(max(random.lognormvariate(0.2, 0.8), 0.3), 5.0)
    slopes = _make_slopes(profile, scale, random)
    if index == 0:
        victim = random.randrange(scale.services)
        slopes = tuple(0.7 if service == victim else slope for service, slope in enumerate(slopes))
    return JobClass(
        name=f"class-{index}",
        millicores=millicores,
        memory_mb=memory_mb,
        declared_millicores=min(round(millicores * cores_error), 20_000),
        declared_memory_mb=min(round(memory_mb * memory_error), 60_000),
        work_seconds=profile.work_seconds * random.lognormvariate(0.0, 0.5),
        slopes=slopes,
        weight=random.uniform(0.5, 2.0),
    )


def _place_replicas(scale: Scale, random: random_module.Random) -> tuple[tuple[int, ...], ...]:
    """Place each service on about 60% of the workers."""
    return tuple(
        tuple(service for service in range(scale.services) if random.random() < 0.6)
        for _ in range(scale.cell_workers)
    )


class _JobSource:
    """Draw random jobs with consecutive names."""

    def __init__(
        self, profile: LoadProfile, classes: tuple[JobClass, ...], random: random_module.Random
    ) -> None:
        self._profile = profile
        self._classes = classes
        self._random = random
        self._count = 0

    def draw(self, arrives: float, job_class: int | None = None, tasks: int | None = None) -> Job:
        random = self._random
        if job_class is None:
            weights = [each.weight for each in self._classes]
            job_class = random.choices(range(len(self._classes)), weights)[0]
        if tasks is None:
            tasks = min(1 + int(random.expovariate(1.0 / self._profile.job_tasks)), 64)
        median = self._classes[job_class].work_seconds
        self._count += 1
        cancelled = random.random() < 0.03
        return Job(
            job=f"job-{self._count}",
            arrives=arrives,
            job_class=job_class,
            scale=random.lognormvariate(0.0, 0.1),
            task_work_seconds=tuple(
                min(max(median * random.lognormvariate(0.0, 0.5), 5.0), 600.0) for _ in range(tasks)
            ),
            never_runs=random.random() < 0.04,
            cancelled_at=arrives + random.uniform(5.0, 200.0) if cancelled else math.inf,
        )

    def draw_urgent(self, arrives: float) -> Job:
        job = self.draw(arrives, tasks=1)
        task_work_seconds = (self._random.uniform(5.0, 20.0),)
        return msgspec.structs.replace(
            job,
            urgent=True,
            task_work_seconds=task_work_seconds,
            never_runs=False,
            cancelled_at=math.inf,
        )


def _make_jobs(
    profile: LoadProfile,
    scale: Scale,
    services: tuple[Service, ...],
    replicas: tuple[tuple[int, ...], ...],
    classes: tuple[JobClass, ...],
    random: random_module.Random,
) -> tuple[Job, ...]:
    source = _JobSource(profile, classes, random)
    reserved = sum(services[index].millicores for hosted in replicas for index in hosted)
    free = scale.cell_workers * WORKER_MILLICORES - reserved
    budget = free * SIMULATED_SECONDS * profile.demand
    jobs: list[Job] = []
    while budget > 0.0:
        job = source.draw(random.uniform(0.0, 0.9 * SIMULATED_SECONDS))
        budget -= sum(job.task_work_seconds) * classes[job.job_class].millicores
        jobs.append(job)
    noisy = [index for index, job_class in enumerate(classes) if max(job_class.slopes) > 0.3]
    for burst_start in (0.35, 0.65):
        for _ in range(scale.cell_workers // 2):
            arrives = burst_start * SIMULATED_SECONDS + random.uniform(0.0, 10.0)
            jobs.append(source.draw(arrives, job_class=random.choice(noisy), tasks=4))
    jobs = _cancel_burst(jobs, random)
    for _ in range(scale.cell_workers * SIMULATED_SECONDS // 200):
        jobs.append(source.draw_urgent(random.uniform(0.0, 0.95 * SIMULATED_SECONDS)))
    return tuple(sorted(jobs, key=lambda job: job.arrives))


def _cancel_burst(jobs: list[Job], random: random_module.Random) -> list[Job]:
    """Cancel 30% of the jobs that arrived in the 150 s before half-time, all within 2 s."""
    burst_at = 0.5 * SIMULATED_SECONDS
    return [
        msgspec.structs.replace(job, cancelled_at=burst_at + random.uniform(0.0, 2.0))
        if burst_at - 150.0 < job.arrives < burst_at and random.random() < 0.3
        else job
        for job in jobs
    ]


def make_load(profile: LoadProfile, scale: Scale, seed: str) -> Load:
    """Return the load of one cell, which depends only on the arguments."""
    random = random_module.Random(f"{profile.name} {scale.name} {seed}")
    services = _make_services(scale, random)
    classes = tuple(_make_class(profile, scale, index, random) for index in range(scale.classes))
    replicas = _place_replicas(scale, random)
    jobs = _make_jobs(profile, scale, services, replicas, classes, random)
    bad = random.sample(range(scale.cell_workers), scale.bad_workers)
    affected = random.sample(range(scale.cell_workers), max(scale.cell_workers // 8, 1))
    return Load(
        services=services,
        replicas=replicas,
        classes=classes,
        jobs=jobs,
        bad_workers=tuple((worker, random.uniform(0.1, 0.7) * SIMULATED_SECONDS) for worker in bad),
        report_gaps=tuple(
            (worker, start, start + 150.0)
            for worker in affected
            for start in (random.uniform(0.0, 0.8) * SIMULATED_SECONDS,)
        ),
    )
