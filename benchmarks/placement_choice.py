"""Processor time of the placement policy for a cell of 40 workers.

Every worker hosts 12 runs, drawn from 18 job classes, and 7 services. Reports arrive at the rate of
the heartbeats while tasks are placed at 20 per second.
"""

import random
import time

import click

from crocusrudder.placement import model
from crocusrudder.placement import policy
from crocusrudder.wire import messages

WORKERS = 40
RUNS = 12
CLASSES = 18
SERVICES = 7
WARM_UP_ROUNDS = 40
CHOICES = 2000
CHOICES_PER_SECOND = 20.0
REPORTS_PER_SECOND = 8.0


class _WorkerView:
    """A worker with free capacity."""

    def __init__(self, index: int) -> None:
        self.worker = f"worker-{index}"
        self.capacity = messages.Resources(60_000, 250_000, 0)
        self.reserved = messages.Resources(32_000, 62_000, 0)
        self.draining = False
        self.runs: dict = {}


class _PolicyBenchmark:
    """Time the calls of a policy that has learned its pairs of service and job class."""

    def __init__(self) -> None:
        self._random = random.Random(1)
        self._policy = policy.PlacementPolicy(random.Random(2))
        self._views = [_WorkerView(index) for index in range(WORKERS)]
        self._now = 0.0
        self.seconds = {"choose_worker": 0.0, "record_start": 0.0, "record_report": 0.0}
        self.calls = dict.fromkeys(self.seconds, 0)
        for index, view in enumerate(self._views):
            for run in range(RUNS):
                self._add_run(view, f"old-{index}-{run}", (index + run) % CLASSES)
        for _ in range(WARM_UP_ROUNDS):
            self._now += 5.0
            for index in range(WORKERS):
                self._record_report(index)
        self.seconds = dict.fromkeys(self.seconds, 0.0)
        self.calls = dict.fromkeys(self.seconds, 0)

    def run(self) -> None:
        """Place tasks that end at once while reports arrive at the rate of the heartbeats."""
        due = 0.0
        for number in range(CHOICES):
            self._now += 1.0 / CHOICES_PER_SECOND
            due += REPORTS_PER_SECOND / CHOICES_PER_SECOND
            while due >= 1.0:
                due -= 1.0
                self._record_report(self._random.randrange(WORKERS))
            task = self._make_task(f"new-{number}", number % CLASSES)
            worker = self._measure_call("choose_worker", task, self._views, self._now)
            if worker is not None:
                self._measure_call("record_start", task, worker, self._now)
                succeeded = messages.RunState.SUCCEEDED
                self._policy.record_end(task.task, worker, succeeded, self._now + 0.01)

    def _measure_call(self, name: str, *arguments: object) -> object:
        method = getattr(self._policy, name)
        start = time.process_time()
        result = method(*arguments)
        self.seconds[name] += time.process_time() - start
        self.calls[name] += 1
        return result

    def _add_run(self, view: _WorkerView, job: str, job_class: int) -> None:
        task = self._make_task(job, job_class)
        self._policy.record_start(task, view.worker, self._now)
        status = messages.TaskStatus(task.task, 1, messages.RunState.RUNNING)
        view.runs[(task.task, 1)] = status

    def _record_report(self, index: int) -> None:
        latencies = {f"service-{at}": 10.0 + self._random.random() for at in range(SERVICES)}
        classes = [f"class-{(index + run) % CLASSES}" for run in range(RUNS)]
        worker = self._views[index].worker
        self._measure_call("record_report", worker, latencies, classes, self._now)

    @staticmethod
    def _make_task(job: str, job_class: int) -> model.PlacementTask:
        size = messages.Resources(1000, 1000, 0)
        return model.PlacementTask(f"{job}.0", job, f"class-{job_class}", "team", size)


@click.command()
def main() -> None:
    """Print the mean processor time of each call."""
    benchmark = _PolicyBenchmark()
    benchmark.run()
    for name, seconds in benchmark.seconds.items():
        calls = benchmark.calls[name]
        click.echo(f"{name}: {seconds / calls * 1e3:.3f} ms mean of {calls} calls")


if __name__ == "__main__":
    main()
