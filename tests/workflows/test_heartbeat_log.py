"""Tests of the counters and log lines about heartbeats that an agent ignores."""

import unittest

from crocusrudder.core import effects
from crocusrudder.workflows import agent_state
from tests.workflows import test_agent_state
from tests.workflows import world


class HeartbeatLogTest(unittest.TestCase):
    def setUp(self):
        self.state = agent_state.AgentState(6.0, 100.0)
        world.follow_worker(self.state, test_agent_state.make_worker(), 50, 100.0)

    def _drain_lines(self) -> list[effects.LogChange]:
        return [e for e in self.state.identity.drain_effects() if isinstance(e, effects.LogChange)]

    def test_an_ignored_heartbeat_is_logged_with_its_reason(self):
        # Guards against an agent that ignores its worker without a trace.
        self.state.handle_heartbeat(test_agent_state.make_worker(), 50, 100.1)
        self.state.identity.record_unreadable("w1", "CR-PLT-005", 100.1)
        lines = self._drain_lines()
        self.assertEqual(
            ["repeated_sequence", "unreadable"], [line.fields["reason"] for line in lines]
        )

    def test_a_flood_of_ignored_heartbeats_is_counted_and_logged_once_a_second(self):
        # Guards against a log that another writer fills with one line for each heartbeat.
        for number in range(3_000):
            at = 101.0 + number / 1_000
            self.state.identity.record_unreadable(f"odd-{number}", "CR-PLT-005", at)
        drained = self.state.identity.drain_effects()
        self.assertEqual(3, len([e for e in drained if isinstance(e, effects.LogChange)]))
        self.assertEqual(3_000, len([e for e in drained if isinstance(e, effects.Count)]))


if __name__ == "__main__":
    unittest.main()
