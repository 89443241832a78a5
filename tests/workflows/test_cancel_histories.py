"""Runs of cancelled jobs end in time, in generated histories with lost and delayed messages.

Guards against UNASKED: a run that goes on although the machines have been calm for long enough, and
a start that follows a cancellation. Set ``CROCUSRUDDER_SEEDS`` to add that many seeds.
"""

import functools
import os
import unittest

from crocusrudder.core import ids
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import model
from tests.workflows import histories
from tests.workflows import shared_workers
from tests.workflows import world

SEEDS = 6
EXTRA_SEEDS = int(os.environ.get("CROCUSRUDDER_SEEDS", "0"))
IN_TOUCH_SECONDS = 3.0
"""Time after a disruption from which the rules hold again."""
CANCEL_SECONDS = 3.0
"""Time from a stored cancellation to the last start; a stop takes the worker's time in addition."""
CALM_SECONDS = 12.0
CANCEL_SHARE = 0.6
CANCEL_DELAYS = (0.0, 0.1, 0.3, 1.0, 3.0)
MESSAGE_DELAYS = (0.0, 0.0, 0.2, 1.0, float("inf"))
FEED_DELAYS = (0.1, 0.1, 0.3, 0.8)
ORDER_DELAYS = (0.0, 0.0, 0.3, 1.0, 2.5, float("inf"))
ORDER_TROUBLE_SECONDS = 4.0


class CancelHistory(histories.History):
    """A history in which most jobs are cancelled, soon after they were accepted."""

    def __init__(self, seed: int) -> None:
        self.cancelled_at: dict[ids.JobId, float] = {}
        self._due: list[tuple[float, int, ids.JobId]] = []
        """Arrivals at the owner: time, version of the row and its job; see ``_arrive``."""
        self._cancel_due: dict[ids.JobId, float] = {}
        self._rows: dict[int, model.Job | None] = {}
        self._fed_at = 100.0
        super().__init__(seed)
        self._order_trouble_until = 100.0
        self._in_flight: list[
            tuple[float, shared_workers.Agent, workflow_messages.AgentOrders]
        ] = []
        for agent in self.agents.values():
            carry_out = agent.handle_orders
            agent.handle_orders = functools.partial(self._delay_orders, agent, carry_out)

    def step(self) -> None:
        super().step()
        for job, due in list(self._cancel_due.items()):
            if due <= self.now and self.is_store_available:
                del self._cancel_due[job]
                self._cancel(job)

    def list_cancelled_runs(self) -> list[tuple[shared_workers.Worker, str, int]]:
        """Return the runs of cancelled jobs, with their workers."""
        return [
            (agent.worker, task, run)
            for agent in self.agents.values()
            if agent.worker.is_up
            for task, run in agent.worker.running
            if task.partition(".")[0] in self.cancelled_at
        ]

    def _submit_stages(self, stages, has_due_times) -> None:
        is_owner_up, self.is_owner_up = self.is_owner_up, False
        super()._submit_stages(stages, has_due_times)
        self.is_owner_up = is_owner_up
        job, version = self._submissions[-1]
        self._store_row(job.job_id, version, job)
        if self.random.random() < CANCEL_SHARE:
            self._cancel_due[job.job_id] = self.now + self.random.choice(CANCEL_DELAYS)

    def _begin_cancel(self, _) -> None:
        for job, _ in self._submissions:
            if self.random.random() < 0.3:
                self._cancel_due.setdefault(job.job_id, self.now)

    def _cancel(self, job: ids.JobId) -> None:
        self._version += 1
        self._cancelled.add(job)
        self.cancelled_at.setdefault(job, self.now)
        self._store_row(job, self._version, None)

    def _store_row(self, job: ids.JobId, version: int, content: model.Job | None) -> None:
        """Send the owner a message, which may be lost, and the feed's row, which is in order."""
        self._rows[version] = content
        draw = self.call_random
        self._fed_at = max(self._fed_at, self.now + draw.choice(FEED_DELAYS))
        message_at = self.now + draw.choice(MESSAGE_DELAYS)
        self._due += [(message_at, version, job), (self._fed_at, version, job)]

    def _step_owner(self) -> None:
        arrived = sorted(item for item in self._due if item[0] <= self.now)
        self._due = [item for item in self._due if item[0] > self.now]
        for _, version, job in arrived:
            if self._rows[version] is not None:
                self.owner.add_job(self._rows[version], version)
            else:
                wall_time = world.WALL_TIME_OFFSET + self.now
                self.owner.apply_cancellation(job, wall_time, version)
        for item in [item for item in self._in_flight if item[0] <= self.now]:
            self._in_flight.remove(item)
            shared_workers.Agent.handle_orders(item[1], item[2], self.now)
        super()._step_owner()

    def _start_owner(self) -> None:
        # A new owner reads all rows before it follows the feed, and drops earlier messages.
        self._due.clear()
        super()._start_owner()

    def _apply_troubles(self) -> None:
        super()._apply_troubles()
        if self.now < self.ends_at and self.call_random.random() < 0.004:
            until = min(self.now + ORDER_TROUBLE_SECONDS, self.ends_at)
            self._order_trouble_until = until
            self.disrupted_until = max(self.disrupted_until, until)

    def _delay_orders(self, agent, carry_out, orders, now) -> None:
        is_troubled = now < self._order_trouble_until
        delay = self.call_random.choice(ORDER_DELAYS) if is_troubled else 0.0
        if delay:
            self._in_flight.append((now + delay, agent, orders))
        else:
            carry_out(orders, now)


class Judge:
    """Checks the rule UNASKED at each tick of a history."""

    def __init__(self, history: CancelHistory) -> None:
        self._history = history
        self._seen_at: dict[tuple[str, int], float] = {}
        self.violations: dict[str, str] = {}

    def check(self) -> None:
        history = self._history
        calm_since = history.disrupted_until + IN_TOUCH_SECONDS
        for worker, task, run in history.list_cancelled_runs():
            started_at = self._seen_at.setdefault((task, run), history.now)
            cancelled_at = history.cancelled_at[ids.JobId(task.partition(".")[0])]
            end = max(calm_since, cancelled_at) + CANCEL_SECONDS + worker.stop_seconds
            if round(history.now - end, 3) > world.TICK:
                self.violations.setdefault(task, f"runs {history.now - cancelled_at:.1f} s later")
            if started_at == history.now > max(calm_since, cancelled_at + CANCEL_SECONDS):
                self.violations.setdefault(task, "started after the cancellation")


def play(seed: int) -> dict[str, str]:
    """Return the violations of a history by task."""
    history = CancelHistory(seed)
    judge = Judge(history)
    while history.now < history.ends_at + CALM_SECONDS:
        history.step()
        judge.check()
    left = {f"{task} {run}" for _, task, run in history.list_cancelled_runs()}
    return judge.violations | dict.fromkeys(left, "runs at the end")


class CancelHistoriesTest(unittest.TestCase):
    def test_runs_of_cancelled_jobs_end_in_time_and_none_starts(self):
        for seed in range(SEEDS + EXTRA_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual({}, play(seed))


if __name__ == "__main__":
    unittest.main()
