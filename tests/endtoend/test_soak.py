"""A short seeded run of the soak, and its checks on made-up histories."""

import pathlib
import tempfile
import unittest

from tools.soak import checks
from tools.soak import faults
from tools.soak import runner

SEED = 2
SECONDS = 6.0
JOB = "00000000000000aa"


def make_run(task: str, run: int, begin: float, end: float | None, how: str = "done") -> dict:
    """Return a run as a worker reports it."""
    return {"task": task, "run": run, "worker": "w", "begin": begin, "end": end, "how": how}


class ChecksTest(unittest.TestCase):
    """Guards against a soak that would pass over a broken promise."""

    def _find(self, *runs: dict, refused=frozenset(), states=("completed",)) -> list[str]:
        told = {JOB: list(states)}
        accepted = set() if refused else {JOB}
        return [p.partition(":")[0] for p in checks.find_broken(runs, accepted, refused, told)]

    def test_what_keeps_the_promises_passes(self):
        first = make_run(f"{JOB}.0.0.0", 1, 1.0, 2.0)
        self.assertEqual([], self._find(first, make_run(f"{JOB}.0.1.0", 2, 2.1, 3.0)))

    def test_each_broken_promise_is_found(self):
        first = make_run(f"{JOB}.0.0.0", 1, 1.0, 2.0)
        cases = {
            "TWICE": self._find(first, make_run(f"{JOB}.0.0.0", 2, 1.5, 3.0)),
            "ORDER": self._find(first, make_run(f"{JOB}.0.1.0", 2, 1.5, 3.0)),
            "REFUSED": self._find(first, refused={JOB}),
            "LOST": self._find(first, states=("running",)),
            "MIXED": self._find(first, states=("completed", "running", "completed")),
        }
        self.assertEqual({rule: [rule] for rule in cases}, cases)

    def test_a_seed_draws_the_same_faults(self):
        targets = ["entry-1", "agent-1"]
        self.assertEqual(faults.draw(7, 20.0, targets), faults.draw(7, 20.0, targets))


class SoakTest(unittest.TestCase):
    def test_a_short_run_keeps_the_promises(self):
        with tempfile.TemporaryDirectory() as folder:
            problems = runner.Run(pathlib.Path(folder), SEED, SECONDS).play()
        self.assertEqual([], problems)


if __name__ == "__main__":
    unittest.main()
