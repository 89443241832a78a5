"""Processor time of the owner's planning, reports and orders, by number of workers.

Each worker runs eight tasks. A plan has eight stages of 39 tasks: every second one best effort,
every third one in one rack. The plans with nothing placeable have 30 waiting stages; the last ones
have 6 or 600 jobs that no worker suits, each with 100,000 occurrences that are due.
"""

import time

import click

from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import model
from crocusrudder.workflows import owner

WORKER_COUNTS = (11, 60, 160, 300, 1_128)
RUNS_PER_WORKER = 8
WORKERS_PER_RACK = 12
STAGES = 8
STAGE_TASKS = (9, 39, 78)
LARGE_STAGE_TASKS = 5_000
MAX_PLANS = 100
"""Plans after which a large stage counts as not placeable."""
WAITING_STAGES = 30
HOPELESS_JOBS = (6, 600)
OCCURRENCES = 100_000
HOPELESS_PLANS = 3
ROUNDS = 5
QUEUE = model.QueueName("sheet")
SERVICE = ids.ServiceName("dispatch")
CAPACITY = messages.Resources(64_000, 256_000, 0)
SERVING = messages.Resources(3_800, 2_000, 0)
BATCH = messages.Resources(7_000, 4_000, 0)
TINY = messages.Resources(10, 10, 0)
OVERSIZED = messages.Resources(60_000, 4_000, 0)
START = 100.0


class _Fleet:
    """An owner with workers that report when they are asked to."""

    def __init__(self, workers: int) -> None:
        self.owner = owner.Owner(model.OwnerEpoch(1), 0, START)
        queue = model.Queue(QUEUE, "host", "/q/", SERVICE, 0, 2)
        self.owner.set_configuration(model.Configuration(1, (queue,), (model.Service(SERVICE),)))
        self._now = START
        self._jobs = 0
        self._agents = [ids.ProcessId(f"agent-{index}") for index in range(workers)]
        self._workers = [self._make_worker(index) for index in range(workers)]
        for agent in self._agents:
            self.owner.handle_agent_start(agent, f"{agent}:1")
        self.seconds: dict[str, float] = {}
        self.calls: dict[str, int] = {}
        self.report_all({})
        self._commit()
        self.submit(
            workers * RUNS_PER_WORKER // 4, model.Stage(4, SERVING, image="s", latency_target_ms=50)
        )
        self.plan()
        self.report_all(self._list_runs())

    def submit(self, jobs: int, stage: model.Stage, occurrences: int = 0) -> None:
        """Add jobs of one stage, whose occurrences are all due."""
        for _ in range(jobs):
            self._jobs += 1
            name = ids.JobId(f"{self._jobs:016x}")
            job = model.Job(name, QUEUE, "spec", (stage,), START, occurrences)
            self.owner.add_job(job, 1)

    def plan(self, name: str = "") -> int:
        """Plan once; return how many tasks were placed."""
        before = self._count_runs()
        self._now += 0.1
        self._measure(name, self.owner.tick, self._now, START + self._now)
        self.owner.drain_log()
        return self._count_runs() - before

    def order(self) -> None:
        """Make the orders that are due."""
        orders = self._measure("order", self.owner.make_orders, self._now)
        self.calls["order"] += len(orders) - 1

    def report_all(self, runs: dict[ids.ProcessId, list[tuple[str, int]]], name: str = "") -> None:
        """Handle a report of each agent."""
        self._now += 0.5
        for index, agent in enumerate(self._agents):
            running = tuple(
                workflow_messages.RunningTask(*run, percent=1, measure=20.0)
                for run in runs.get(agent, ())
            )
            report = workflow_messages.AgentReport(
                ids.DataCentre("bilbao"),
                self._now,
                1,
                1_000_000,
                self._workers[index],
                True,
                False,
                running,
            )
            self._measure(
                name, self.owner.handle_report, agent, report, self._now, START + self._now
            )

    def report_running(self) -> None:
        """Handle a report of each agent that repeats its runs."""
        self.report_all(self._list_runs(), "report")

    def _measure(self, name: str, method, *arguments: object) -> object:
        begin = time.process_time()
        result = method(*arguments)
        self.seconds[name] = self.seconds.get(name, 0.0) + time.process_time() - begin
        self.calls[name] = self.calls.get(name, 0) + 1
        return result

    def _list_runs(self) -> dict[ids.ProcessId, list[tuple[str, int]]]:
        return {agent: list(view.assignments) for agent, view in self.owner.views.items()}

    def _count_runs(self) -> int:
        return sum(len(view.assignments) for view in self.owner.views.values())

    def _commit(self) -> None:
        while self.owner.has_changes():
            self.owner.record_commit(self.owner.make_commit(START), self._now)

    @staticmethod
    def _make_worker(index: int) -> workflow_messages.WorkerState:
        return workflow_messages.WorkerState(
            ids.WorkerId(f"worker-{index}"),
            1_000,
            SERVICE,
            ids.DataCentre("bilbao"),
            CAPACITY,
            ("a", f"r{index // WORKERS_PER_RACK}"),
        )


def _measure_stages(workers: int, tasks: int) -> tuple[float, int]:
    """Return the processor time of a plan of eight stages in ms, and the tasks placed."""
    results = []
    for _ in range(ROUNDS):
        fleet = _Fleet(workers)
        for number in range(STAGES):
            is_best_effort = number % 2 == 1
            same_rack = number % 3 == 2
            stage = model.Stage(
                tasks,
                BATCH,
                image=f"b{number % 2}",
                best_effort=is_best_effort,
                same_rack=same_rack,
            )
            fleet.submit(1, stage)
        placed = fleet.plan("plan")
        results.append((fleet.seconds["plan"] * 1e3, placed))
    return min(results)


def _measure_large_stage(workers: int) -> tuple[float, float, int]:
    """Return the longest plan and all plans of one stage of small tasks in ms, and their number."""
    fleet = _Fleet(workers)
    fleet.submit(
        1, model.Stage(LARGE_STAGE_TASKS, TINY, long_running=True, image="s", latency_target_ms=50)
    )
    plans = []
    placed = 0
    while placed < LARGE_STAGE_TASKS and len(plans) < MAX_PLANS:
        before = fleet.seconds.get("large", 0.0)
        placed += fleet.plan("large")
        plans.append(fleet.seconds["large"] - before)
        fleet.order()
        fleet.report_running()
    return max(plans) * 1e3, sum(plans) * 1e3, len(plans)


def _measure_steady_state(workers: int) -> dict[str, float]:
    """Return processor times in ms of calls that place nothing, and of a report and an order."""
    fleet = _Fleet(workers)
    fleet.report_running()
    fleet.order()
    fleet.submit(WAITING_STAGES, model.Stage(39, OVERSIZED, image="b0"))
    for _ in range(ROUNDS):
        fleet.plan("nothing_fits")
        fleet.report_running()
    return {name: fleet.seconds[name] / fleet.calls[name] * 1e3 for name in fleet.seconds if name}


def _measure_hopeless(workers: int, jobs: int) -> tuple[float, float]:
    """Return the first plan and the longest later one in ms beside jobs that no worker suits."""
    fleet = _Fleet(workers)
    fleet.submit(jobs, model.Stage(1, BATCH, required_label="none"), OCCURRENCES)
    plans = []
    for _ in range(HOPELESS_PLANS):
        before = fleet.seconds.get("hopeless", 0.0)
        fleet.plan("hopeless")
        plans.append((fleet.seconds["hopeless"] - before) * 1e3)
    return plans[0], max(plans[1:])


@click.command()
@click.option("--workers", type=int, multiple=True, help="Number of workers; repeatable.")
def main(workers: tuple[int, ...]) -> None:
    """Print the processor time of plans, reports and orders."""
    for count in workers or WORKER_COUNTS:
        for tasks in STAGE_TASKS:
            plan_ms, placed = _measure_stages(count, tasks)
            each = plan_ms / max(placed, 1) * 1e3
            click.echo(
                f"{count} workers, {STAGES} stages of {tasks}: {plan_ms:.2f} ms, "
                f"{placed} placed, {each:.1f} us each"
            )
        longest, total, plans = _measure_large_stage(count)
        click.echo(
            f"{count} workers, one stage of {LARGE_STAGE_TASKS} small tasks: {plans} plans, "
            f"longest {longest:.1f} ms, all {total:.1f} ms"
        )
        steady = _measure_steady_state(count)
        values = ", ".join(f"{name} {value:.3f} ms" for name, value in steady.items())
        click.echo(f"{count} workers: {values}")
        for jobs in HOPELESS_JOBS:
            first, later = _measure_hopeless(count, jobs)
            click.echo(
                f"{count} workers, {jobs} jobs of {OCCURRENCES} occurrences that no worker suits: "
                f"first plan {first:.1f} ms, later ones up to {later:.1f} ms"
            )


if __name__ == "__main__":
    main()
