"""Tests of a request from an entry to an agent and back."""

import unittest

from crocusrudder.requests import outcomes
from tests.requests import fakes


class GoodPathTest(unittest.TestCase):
    """Guards against requests that are lost or run twice without any fault."""

    def test_runs_each_request_once_and_replays_the_stored_answer(self):
        world = fakes.World()
        first = world.submit()
        world.settle()
        repeated = world.submit(entry="e2", repeat=True)
        world.settle()
        read = world.submit(method="GET")
        world.settle()
        self.assertFalse(world.answers[first].replayed)
        self.assertTrue(world.answers[repeated].replayed)
        self.assertEqual(world.answers[first].response, world.answers[repeated].response)
        self.assertIsInstance(world.answers[read], outcomes.Done)
        self.assertEqual(world.executions["k1"], 1)
        self.assertEqual(world.violations, [])
