"""Tests of the experiment tool on a shortened load."""

import unittest
from unittest import mock

from tools.experiment import driver
from tools.experiment import loads
from tools.experiment import policies

SECONDS = 60


def _run(name: str) -> tuple:
    with mock.patch.object(loads, "SIMULATED_SECONDS", SECONDS):
        found = driver.Driver(name, loads.USERS["servicio"], loads.SCALES["today"], "1.0")
        result, latencies = found.run()
    return result, [float(known.sum()) for known in latencies]


class DriverTest(unittest.TestCase):
    def test_every_policy_runs_without_capacity_violations(self) -> None:
        """Guards against a policy that the fake cannot drive, and against a breach of I1."""
        for name in policies.NAMES:
            with self.subTest(name):
                result, _ = _run(name)
                self.assertGreater(result.progress, 0.0)
                self.assertEqual(result.violations, 0)

    def test_runs_are_reproducible(self) -> None:
        """Guards against figures that a second run of the same command does not give."""
        self.assertEqual(_run("ours"), _run("ours"))

    def test_all_policies_meet_the_same_load(self) -> None:
        """Guards against comparing policies on different jobs."""
        first, second = (
            driver.Driver(name, loads.USERS["arriola"], loads.SCALES["today"], "2.0")
            for name in ("random", "ours")
        )
        self.assertEqual(first.load, second.load)
