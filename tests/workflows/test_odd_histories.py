"""Accepted jobs run once and in time, in generated histories with odd entries in workers' lists.

The troubles are those of ``histories``, and besides lists that hold runs of unknown tasks or cannot
be read, stops that workers refuse, and power losses of the whole deployment. Set
``CROCUSRUDDER_SEEDS`` to add that many seeds.
"""

import collections
import os
import unittest

import msgspec

from crocusrudder.platform import worker as worker_client
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from tests.workflows import histories
from tests.workflows import shared_workers
from tests.workflows import test_lost_histories
from tests.workflows import world

SEEDS = 8
EXTRA_SEEDS = int(os.environ.get("CROCUSRUDDER_SEEDS", "0"))
STAGE_SECONDS = 2.0


class OddAgent(shared_workers.Agent):
    """An agent whose worker may refuse stops, or send lists that are odd or unreadable."""

    def __init__(self, *args) -> None:
        self.is_list_unreadable = False
        self.is_list_incomplete = False
        self.is_refusing_stops = False
        self.odd_running: tuple[workflow_messages.RunningTask, ...] = ()
        self.odd_ended: tuple[workflow_messages.EndedRun, ...] = ()
        super().__init__(*args)

    def replace_worker(self) -> None:
        """Start another incarnation of the worker, half of the times under the same id."""
        known = getattr(self, "worker", None)
        super().replace_worker()
        if known is not None and self._history.call_random.random() < 0.5:
            name = known.state.worker
            self.worker.state = msgspec.structs.replace(self.worker.state, worker=name)

    def _read_list(self, listed: worker_client.RunList) -> worker_client.RunList | None:
        if self.is_list_unreadable:
            return None
        odd_ended = (entry for entry in self.odd_ended if entry.number > self.state.acknowledged)
        ended = (*listed.ended, *odd_ended)
        running = listed.running
        if self.is_list_incomplete:
            # The same entries stay unreadable; ``sum`` does not depend on the process.
            running = (entry for entry in running if sum(entry.task.encode()) % 2)
        return msgspec.structs.replace(
            listed,
            running=(*self.odd_running, *running),
            ended=worker_client.select_consecutive(ended, self.state.acknowledged),
            is_complete=not self.is_list_incomplete,
            unreadable=int(self.is_list_incomplete),
        )

    def _stop(self, run: tuple[str, int], now: float) -> bool:
        if self.is_refusing_stops:
            self.is_changed = True
            self.state.record_stop_result(run, False, now)
            return False
        return super()._stop(run, now)


class OddHistory(histories.History):
    """A history with odd lists, in which most jobs have two stages of up to nine tasks."""

    agent_type = OddAgent
    troubles = (
        *("unreadable", "incomplete", "refuse_stop", "odd_run", "odd_run", "odd_end", "power_loss"),
        *("crash", "agent_restart", "owner", "cancel", "drain", "cut_off", "lost_calls", "gone"),
    )

    def __init__(self, seed: int, far_factor: float = 1.0) -> None:
        super().__init__(seed, far_factor)
        self.learned_order = seed % 4 >= 2
        self.take_over(1, 0)

    def _submit_random(self) -> None:
        draw = self.random
        if draw.random() < 0.3:
            super()._submit_random()
            return
        demand = messages.Resources(draw.choice((1_000, 9_250)), 11_920, 0)
        stages = [
            model.Stage(draw.choice((1, 3, 9)), demand, STAGE_SECONDS),
            model.Stage(9, demand, STAGE_SECONDS, (0,)),
        ]
        self._submit_stages(stages, False)

    def _begin_trouble(self, kind: str) -> None:
        if kind != "power_loss":
            super()._begin_trouble(kind)
            return
        seconds = self.random.uniform(0.5, 4.0)
        end = min(self.now + seconds, self.ends_at)
        self.disrupted_until = max(self.disrupted_until, end)
        self.events.append((round(self.now - 100, 1), f"{kind} {seconds:.1f}s"))
        for agent in self.agents.values():
            if not agent.is_gone:
                self._begin_crash(agent)
                agent.is_connected = False
        self.is_owner_up = False
        # Machines, and the owner among them, come back in any order.
        for agent in self.agents.values():
            at = self.now + seconds * self.random.uniform(0.3, 1.0)
            self._ends.append((at, len(self._ends), "power_loss", agent))
        self._ends.append((self.now + seconds, len(self._ends), "owner", None))

    def _end_power_loss(self, agent: OddAgent) -> None:
        if not agent.is_gone:
            agent.restart(self.now)
            agent.is_connected = True
            self._end_crash(agent)

    def _begin_unreadable(self, agent: OddAgent) -> None:
        agent.is_list_unreadable = True

    def _end_unreadable(self, agent: OddAgent) -> None:
        agent.is_list_unreadable = False

    def _begin_incomplete(self, agent: OddAgent) -> None:
        agent.is_list_incomplete = True

    def _end_incomplete(self, agent: OddAgent) -> None:
        agent.is_list_incomplete = False

    def _begin_refuse_stop(self, agent: OddAgent) -> None:
        agent.is_refusing_stops = True

    def _end_refuse_stop(self, agent: OddAgent) -> None:
        agent.is_refusing_stops = False

    def _begin_odd_run(self, agent: OddAgent) -> None:
        """List a run for the rest of the history that is none, under one of several names."""
        draw = self.random
        names = (
            "x.0.0.0",
            "j0.0.0.\u00b2",
            "j1.0.0.00",
            "j2.0.7.0",
            "",
            f"j{len(self.stages)}.0.0.0",
        )
        runs = (0, 1, (self.owner.epoch + 1) * job_registry.RUNS_PER_EPOCH - 7, 2**62)
        name = draw.choice(names)
        run = draw.choice(runs[:2] + runs[3:] if name == names[-1] else runs)
        agent.odd_running = (workflow_messages.RunningTask(name, run),)

    def _begin_odd_end(self, agent: OddAgent) -> None:
        agent.odd_ended = (workflow_messages.EndedRun(2**62, "x.0.0.0", 1, "done"),)


class OddHistoriesTest(unittest.TestCase):
    def test_accepted_jobs_run_once_and_in_time(self):
        # Guards against LOST and TWICE around lists that cannot be trusted.
        for seed in (*range(SEEDS), *range(1_000, 1_000 + EXTRA_SEEDS)):
            with self.subTest(seed=seed):
                violations, events = play(seed, (1.0, 3.0)[seed % 2])
                self.assertEqual({}, violations, events)


def play(seed: int, far_factor: float = 1.0) -> tuple[dict[str, str], list]:
    """Play a history; return the violations and the troubles."""
    history = OddHistory(seed, far_factor)
    judge = test_lost_histories.Judge(history)
    seconds = histories.TROUBLE_SECONDS + test_lost_histories.JUDGED_SECONDS
    for _ in range(round(seconds / world.TICK)):
        history.step()
        judge.check()
        runs = collections.Counter(
            task
            for agent in history.agents.values()
            if agent.worker.is_up
            for task, _ in agent.worker.running
        )
        for task, count in runs.items():
            if count > 1:
                judge.violations.setdefault(f"TWICE {task}", f"at {history.now - 100:.1f} s")
    for record in history.owner.job_registry.records.values():
        job = record.job.job_id
        if record.progress.state is model.JobState.FAILED and job not in history.hopeless:
            judge.violations[f"FAILED {job}"] = "at the end"
    return judge.violations, history.events


if __name__ == "__main__":
    unittest.main()
