"""Tests of accepted jobs whose numbers are at the limits of what a submission may hold.

Load pattern: one job with such numbers beside sound jobs of the same images and the same queue, on
workers of its own, through reports, commits and a change of the owner.
"""

import json
import math
import os
import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from crocusrudder.core import ids
from crocusrudder.platform import errors
from crocusrudder.platform import operator
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import model
from crocusrudder.workflows import rows
from tests.workflows import world

SOUND, ODD = "sound", "odd"
"""Labels of the workers for the sound jobs and for the odd ones."""
JOBS = ("serving", "plain", "filling", "later")
WORKERS = {"a0": SOUND, "a1": SOUND, "a2": ODD}
RACKS = {"a0": "r1", "a1": "r2", "a2": "r1"}
FAR_FACTOR = 3.0
LATENCY_MS = 20.0
INFLATION = 0.6
"""Increase of a latency for each best-effort task beside it."""
SERVING = {"taskCount": 2, "cpu": 2_000, "longRunning": True, "image": "web", "targetMs": 50}
SERVING |= {"antiAffinity": 1}
FILLING = {"taskCount": 4, "cpu": 3_000, "estRuntimeMs": 3_000, "image": "fill", "fills": True}
FILLING_SECONDS = 3.0
PLAIN = {"taskCount": 6, "cpu": 500, "estRuntimeMs": 1_000}
TARGETS_MS = (0, 5e-324, 1e-323, 1.5e-323, 1e-300, 0.001, 0.5, 1, 1e15)
ESTIMATES_MS = (0, 5e-324, 1e-310, 1e-305, 1e-9, 0.001, 1, 1e15)

COUNTS = strategies.sampled_from((0, 1, 3, operator.MAX_COUNT, operator.MAX_COUNT + 1, -1))
BEYOND_MS = math.nextafter(operator.MAX_MILLISECONDS, math.inf)
STEPS = strategies.fixed_dictionaries(
    {"taskCount": strategies.sampled_from((1, 2, 3))},
    optional={
        "cpu": strategies.sampled_from((0, 1, 2_000, 2_000, operator.MAX_COUNT)),
        "memMb": COUNTS,
        "gpu": COUNTS,
        "antiAffinity": COUNTS,
        "mayMiss": COUNTS,
        "targetMs": strategies.sampled_from((*TARGETS_MS, BEYOND_MS, -1)),
        "estRuntimeMs": strategies.sampled_from((*ESTIMATES_MS, BEYOND_MS, -1)),
        "image": strategies.sampled_from(("web", "fill")),
        "dataRack": strategies.sampled_from(("r1", "none")),
        "longRunning": strategies.booleans(),
        "fills": strategies.booleans(),
        "gang": strategies.booleans(),
        "sameRack": strategies.booleans(),
        "checkpoint": strategies.booleans(),
    },
)
"""Steps of an odd job. Few draws combine the fields in which every number is accepted."""
TIMES = strategies.fixed_dictionaries(
    {},
    optional={
        "maxRuns": strategies.sampled_from((0, 1, 3, -1)),
        "startAtMs": strategies.sampled_from((0, 5e-324, 0.001, 1e15, BEYOND_MS)),
        "intervalMs": strategies.sampled_from((0, 5e-324, 1e-300, 1, 1e15)),
    },
)
EXAMPLES = int(os.environ.get("CROCUSRUDDER_EXAMPLES", "60"))


class Worker(world.FakeWorker):
    """A worker that measures latencies of tasks that last."""

    def __init__(self, name: str, label: str, rack: str) -> None:
        super().__init__(name, 1_000)
        self.state = msgspec.structs.replace(self.state, labels=(label, rack))

    def _make_running(
        self, run: tuple[str, int], end: float, now: float
    ) -> workflow_messages.RunningTask:
        is_lasting = self.stage_durations.get(run[0].rpartition(".")[0]) == math.inf
        neighbours = (self.stage_durations.get(n.rpartition(".")[0]) for n, _ in self.running)
        latency_ms = LATENCY_MS * (1 + INFLATION * list(neighbours).count(FILLING_SECONDS))
        percent = 100 if is_lasting else self._get_percent(run, end, now)
        return workflow_messages.RunningTask(*run, "", percent, latency_ms if is_lasting else 500.0)


class System(world.World):
    """A deployment that reads everything back from its rows when the owner changes."""

    def __init__(self) -> None:
        super().__init__(len(WORKERS), far_factor=FAR_FACTOR, learned_order=True)
        self.shares: list[dict[str, list[tuple[str, int]]]] = []
        """CPU shares on the workers for the sound jobs, after each change."""
        for name, agent in self.agents.items():
            agent.worker = Worker(f"w-{name}", WORKERS[name], RACKS[name])

    def submit_wire(self, name: str, label: str, *steps: dict, **fields: object) -> None:
        """Submit a job as an entry does; raises ``MalformedInputError`` if it is refused."""
        steps = [{"requires": label, **step} for step in steps]
        body = json.dumps({"spec": "", "steps": steps, **fields}).encode()
        accepted_at = world.WALL_TIME_OFFSET + self.now
        job = operator.decode_job(ids.JobId(name), world.QUEUE, body, accepted_at)
        self.owner.add_job(rows.decode_job(rows.encode(job), job.job_id), 10)
        for number, step in enumerate(steps):
            seconds = FILLING_SECONDS if step.get("fills") else 1.0
            for agent in self.agents.values():
                lasting = math.inf if step.get("longRunning") else seconds
                agent.worker.stage_durations[f"{name}.0.{number}"] = lasting

    def change_owner(self, epoch: int) -> None:
        """Let a later owner read the learned figures and the jobs from the rows of this one."""
        learned = rows.encode(self.owner.export_estimates())
        for record in self.owner.job_registry.records.values():
            rows.decode_job(rows.encode(record.job), record.job.job_id)
        self.replace_owner(epoch)
        restored, left_out = rows.decode_estimates(learned)
        # Whatever this owner has learned, the later one takes all of it.
        assert not left_out + self.owner.restore_estimates(restored)

    def submit_sound(self) -> None:
        self.submit_wire("serving", SOUND, SERVING)
        self.submit_wire("plain", SOUND, PLAIN, {**PLAIN, "dataRack": "r1"})
        self.submit_wire("filling", SOUND, FILLING, {**FILLING, "after": [0]})

    def step(self) -> None:
        super().step()
        shares = {
            view.agent: sorted((task, share) for (task, _), share in view.cpu_shares.items())
            for view in self.owner.views.values()
            if WORKERS[view.agent] == SOUND
        }
        if not self.shares or shares != self.shares[-1]:
            self.shares.append(shares)

    def describe(self) -> dict[str, object]:
        """Return the placement, the CPU shares and the learned durations of the sound jobs."""
        owner = self.owner
        records = [owner.job_registry.get(ids.JobId(name)) for name in JOBS]
        return {
            "started": {
                agent.process: [
                    (round(at, 1), task)
                    for at, task, _ in agent.worker.started
                    if task.partition(".")[0] in JOBS
                ]
                for agent in self.agents.values()
            },
            "states": [record.visible_state for record in records if record is not None],
            "shares": self.shares,
            "durations": owner.export_estimates().durations,
        }


def play(odd_steps: tuple[dict, ...] = (), **fields: object) -> list[dict[str, object]]:
    """Play sound jobs beside an odd one; return what became of the sound ones."""
    system = System()
    system.run(2.0)
    if odd_steps:
        system.submit_wire("odd", ODD, *odd_steps, **fields)
    system.run(4.0)
    system.submit_sound()
    system.run(8.0)
    found = [system.describe()]
    system.change_owner(2)
    system.submit_wire("later", SOUND, PLAIN)
    system.run(12.0)
    return [*found, system.describe()]


class OddNumbersTest(unittest.TestCase):
    maxDiff = None

    @classmethod
    def setUpClass(cls) -> None:
        cls.expected = play()

    def _check(self, *steps: dict, **fields: object) -> None:
        self.assertEqual(self.expected, play(steps, **fields))

    def test_the_sound_jobs_run_and_share_workers(self):
        # Guards against a comparison of jobs that never meet.
        states = dict(zip(JOBS, self.expected[-1]["states"], strict=True))
        self.assertIs(model.JobState.RUNNING, states["serving"])
        self.assertIs(model.JobState.COMPLETED, states["plain"])
        self.assertIs(model.JobState.COMPLETED, states["later"])
        self.assertTrue(any(any(shares.values()) for shares in self.expected[0]["shares"]))

    def test_a_latency_target_ends_no_owner_and_moves_no_other_job(self):
        # Guards against owners that end while the job is there: the floor of the image, a share of
        # the target, was 0, and its logarithm and the division by it raised errors.
        for target_ms in TARGETS_MS:
            with self.subTest(target_ms=target_ms):
                # Runs without an estimate teach no durations.
                filling = {**FILLING, "estRuntimeMs": 0}
                self._check({**SERVING, "targetMs": target_ms}, filling)

    def test_an_estimate_of_a_duration_moves_no_other_job_of_its_queue(self):
        # Guards against one job that makes the expected durations of its queue infinite, zero or
        # not a number, for later owners too, which then refuse the whole row.
        for estimated_ms in ESTIMATES_MS:
            with self.subTest(estimated_ms=estimated_ms):
                steps = [{**PLAIN, "estRuntimeMs": estimated_ms}] * 4
                self._check(*steps)

    @hypothesis.settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @hypothesis.given(steps=strategies.lists(STEPS, min_size=1, max_size=3), times=TIMES)
    def test_no_accepted_number_moves_another_job_or_ends_an_owner(self, steps, times):
        # Guards against the class of review/11: a number of one job that an owner cannot compute
        # with, or that moves what is learned for all jobs, also for later owners.
        try:
            found = play(tuple(steps), **times)
        except errors.MalformedInputError:
            return
        self.assertEqual(self.expected, found)


if __name__ == "__main__":
    unittest.main()
