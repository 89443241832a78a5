"""What waiting for a near place changes for callers, on simulated workers in simulated time.

Fleets and the far factor are those of the two newest deployments. Jobs arrive at random: ``data``
(half of them want the same rack, the others any), ``group`` (40 tasks in one rack), ``gang`` and
``plain``, which is what other callers ask for. Three policies see the same jobs: start anywhere at
once, always wait for a near place, and the decision of ``decisions/locality.py``.
"""

import functools
import random
import statistics
import unittest.mock
from typing import NamedTuple

import click

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import locality
from tests.workflows import racks
from tests.workflows import world

FAR_FACTOR = 3.0
ARRIVAL_SECONDS = 40.0
MAX_SECONDS = 200.0
HOT_SHARE = 0.5
"""Share of the jobs with data that want the same rack."""
ERROR_DEVIATION = 0.3
"""Deviation of the logarithm of a task's duration over the caller's estimate."""
SHARES = {"data": 0.35, "group": 0.2, "gang": 0.05, "plain": 0.4}
"""Share of the requested processor time, by kind."""

COLUMNS = (
    "fleet",
    "load",
    "policy",
    "kind",
    "jobs",
    "near",
    "wait s",
    "longest s",
    "end s",
    "p90 s",
    "in time",
)
"""The wait of tasks, and the longest that a job had to its first start, in seconds."""


class _Size(NamedTuple):
    workers: int
    workers_per_rack: int
    cores: int
    task_cores: float
    task_seconds: float


SIZES = {
    "61x64": _Size(61, 8, 64, 7.0, 3.4),
    "55x16": _Size(55, 9, 16, 1.8, 4.6),
}
"""Workers, and a large task, of the two deployments."""
TASKS = {"data": 10, "group": 40, "gang": 20, "plain": 10}


class _Lab(racks.RackWorld):
    """A deployment that records which tasks have run far from their data or group."""

    def __init__(self, size: _Size, planned_factor: float) -> None:
        self._planned_factor = planned_factor
        self.far_tasks: set[str] = set()
        capacity = messages.Resources(size.cores * 1_000, size.cores * 3_900, 0)
        super().__init__(size.workers, size.workers_per_rack, FAR_FACTOR, capacity)

    def take_over(self, *args, **named):
        """Replace the owner by one that knows the planned factor."""
        actual, self.far_factor = self.far_factor, self._planned_factor
        queues = (
            model.Queue(model.QueueName(kind), "host", f"/{kind}/", world.SERVICE, 0, 2, 1.5, 1.0)
            for kind in SHARES
        )
        self.queues = {queue.name: queue for queue in queues}
        super().take_over(*args, **named)
        self.far_factor = actual
        return self.owner

    def is_far(self, name: str, rack: str) -> bool:
        """Return whether a task is away from its data or group, and record it."""
        is_far = super().is_far(name, rack)
        if is_far:
            self.far_tasks.add(name)
        return is_far


class _Arrival(NamedTuple):
    at: float
    name: str
    kind: str
    stage: model.Stage


def _draw_arrivals(size: _Size, load: float, seed: int) -> list[_Arrival]:
    draw = random.Random(seed)
    rack_count = -(-size.workers // size.workers_per_rack)
    arrivals = []
    for kind, share in SHARES.items():
        work = TASKS[kind] * size.task_seconds * size.task_cores
        rate = load * share * size.workers * size.cores / work
        at = 0.0
        while (at := at + draw.expovariate(rate)) < ARRIVAL_SECONDS:
            is_hot = draw.random() < HOT_SHARE
            rack = "r0" if is_hot else f"r{draw.randrange(rack_count)}"
            stage = model.Stage(
                TASKS[kind],
                messages.Resources(round(size.task_cores * 1_000), 1_000, 0),
                size.task_seconds * draw.uniform(0.5, 1.5),
                gang=kind == "gang",
                same_rack=kind in ("group", "gang"),
                data_rack=rack if kind == "data" else "",
            )
            arrivals.append(_Arrival(at, f"{kind}-{len(arrivals)}", kind, stage))
    return sorted(arrivals)


def _always_wait(wish, places, taken, far_factor) -> locality.Verdict:
    """Let all tasks without a place that is free now wait for one."""
    free = sum(place.seconds <= 0 for place in places)
    near = max(min(wish.tasks, free - round(taken)), 0)
    if wish.is_gang and near < wish.tasks:
        near = 0
    return locality.Verdict(
        near, wish.tasks - near, wish.tasks, locality.NOW, 0.0, 0.0, locality.Outcome.NEAR
    )


def _play(size: _Size, policy: str, load: float, seed: int) -> dict[str, list[str]]:
    """Return the figures of one play by kind."""
    lab = _Lab(size, 1.0 if policy == "never" else FAR_FACTOR)
    lab.work_seconds = functools.cache(lambda task: _draw_work(task, seed))
    lab.run(1.0)
    begin = lab.now
    pending = _draw_arrivals(size, load, seed)
    jobs = list(pending)
    started: dict[str, float] = {}
    while lab.now - begin < MAX_SECONDS and (pending or lab.owner.job_registry.active):
        while pending and pending[0].at <= lab.now - begin:
            arrival = pending.pop(0)
            lab.submit(arrival.name, arrival.stage, queue=model.QueueName(arrival.kind))
        lab.step()
        for line in lab.logged:
            if line.name == "run_assigned":
                started[line.fields["task"]] = lab.now - begin
        lab.logged.clear()
    return {
        kind: _summarize(lab, [job for job in jobs if job.kind == kind], begin, started)
        for kind in SHARES
    }


def _draw_work(task: job_registry.Task, seed: int) -> float:
    """Return a task's duration near its data, which is the same under each policy."""
    # The members of a gang end together.
    unit = task.name.rpartition(".")[0] if task.stage.spec.gang else task.name
    error = random.Random(f"{seed}-{unit}").lognormvariate(0.0, ERROR_DEVIATION)
    return task.stage.spec.estimated_seconds * error


def _summarize(
    lab: _Lab, jobs: list[_Arrival], begin: float, started: dict[str, float]
) -> list[str]:
    near = tasks = in_time = 0
    waits, firsts, ends = [], [], []
    for job in jobs:
        record = lab.owner.job_registry.get(ids.JobId(job.name))
        names = [task.name for task in record.iterate_tasks()]
        tasks += len(names)
        near += sum(name not in lab.far_tasks for name in names)
        of_tasks = [started.get(name, MAX_SECONDS) - job.at for name in names]
        waits += of_tasks
        firsts.append(min(of_tasks))
        finished_at = record.progress.finished_at - world.WALL_TIME_OFFSET - begin
        ends.append(finished_at - job.at if record.is_final else MAX_SECONDS)
        in_time += ends[-1] <= 1.5 * job.stage.estimated_seconds + 1.0
    tail = statistics.quantiles(ends, n=10)[-1]
    return [
        f"{len(jobs)}",
        f"{near / tasks:.2f}",
        f"{statistics.mean(waits):.2f}",
        f"{max(firsts):.1f}",
        f"{statistics.mean(ends):.2f}",
        f"{tail:.2f}",
        f"{in_time / len(jobs):.2f}",
    ]


@click.command()
@click.option("--load", type=float, multiple=True, default=(0.5, 0.7, 0.9))
@click.option("--seed", type=int, default=1)
@click.option("--size", type=click.Choice(tuple(SIZES)), multiple=True)
def main(load: tuple[float, ...], seed: int, size: tuple[str, ...]) -> None:
    """Print the figures by fleet, load, policy and kind."""
    click.echo(f"| {' | '.join(COLUMNS)} |\n|{'---|' * len(COLUMNS)}")
    for name in size or SIZES:
        for share in load:
            for policy in ("never", "always", "decision"):
                decide = _always_wait if policy == "always" else locality.decide
                with unittest.mock.patch.object(locality, "decide", decide):
                    found = _play(SIZES[name], policy, share, seed)
                for kind, values in found.items():
                    click.echo(f"| {name} | {share} | {policy} | {kind} | {' | '.join(values)} |")


if __name__ == "__main__":
    main()
