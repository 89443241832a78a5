"""Tests of the evidence that a worker crashed and of the runs that may have caused it."""

import unittest

from crocusrudder.core import ids
from crocusrudder.platform import worker
from crocusrudder.workflows import agent_state
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import crash_evidence
from tests.workflows import test_agent_state
from tests.workflows import world

OLD = ("j.0.0.0", 1)
FRESH = ("j.0.0.1", 2)


class CrashEvidenceTest(unittest.TestCase):
    """A worker with an old and a fresh run, which another incarnation replaces at 110 s."""

    def setUp(self):
        self.state = agent_state.AgentState(6.0, 100.0)
        self.worker = test_agent_state.make_worker()
        world.follow_worker(self.state, self.worker, 1, 100.0)
        self._start(OLD, 100.0)
        self._list(105.0, OLD)
        self._start(FRESH, 105.1)

    def _start(self, run, at: float) -> None:
        self.state.record_start_sent(run, at)
        self.state.record_start_result(run, None, at)
        self.state.record_response(1, at)

    def _list(self, at: float, *running, ended=()) -> None:
        runs = tuple(agent_state.workflow_messages.RunningTask(*run) for run in running)
        self.state.handle_list(worker.RunList(1_000, runs, ended), 0, at, at)

    def _close(self, at: float) -> None:
        self.state.record_call_failure(self.worker.worker, True, at)

    def _replace(self, at: float = 110.0):
        """Register the next incarnation; return the suspects of each crash reported then."""
        world.follow_worker(self.state, test_agent_state.make_worker("w2", 9), 1, at)
        crashes = self.state.make_report(ids.DataCentre("z"), at).crashes
        return [[(run.task, run.run) for run in crash.suspects] for crash in crashes]

    def test_only_runs_that_started_shortly_before_the_crash_are_suspects(self):
        self._close(105.11)
        self.assertEqual([[FRESH]], self._replace())

    def test_a_start_that_was_not_answered_is_a_suspect(self):
        self.state.record_start_sent(("j.0.0.2", 3), 105.11)
        self._close(105.12)
        self.assertEqual([[FRESH, ("j.0.0.2", 3)]], self._replace())

    def test_a_crash_that_is_noticed_late_does_not_hide_the_suspect(self):
        # A busy agent handled the responses to other starts after the connections were closed.
        self._close(105.11)
        self._start(("j.0.0.2", 3), 105.12)
        self._close(106.3)
        self.assertEqual([[FRESH, ("j.0.0.2", 3)]], self._replace())
        (crash,) = self.state.make_report(ids.DataCentre("z"), 110.0).crashes
        self.assertLess(crash.suspects[0].least_age_seconds, 0.05)

    def test_a_refused_start_is_no_suspect(self):
        self.state.record_start_sent(("j.0.0.2", 3), 105.12)
        self._close(105.12)
        self.state.record_start_result(("j.0.0.2", 3), model.RejectReason.UNHEALTHY, 105.13)
        self.assertEqual([[FRESH]], self._replace())

    def test_a_run_that_had_ended_is_no_suspect(self):
        ended = agent_state.workflow_messages.EndedRun(1, *FRESH, "done")
        self._list(105.2, OLD, ended=(ended,))
        self._close(105.3)
        self.assertEqual([[]], self._replace())

    def test_a_worker_that_was_silent_before_has_not_crashed(self):
        # Its machine may have been suspended or cut off, which is no evidence against its runs.
        self._close(105.1 + crash_evidence.SILENCE_SECONDS)
        self.assertEqual([], self._replace())

    def test_a_worker_that_only_went_unanswered_has_not_crashed(self):
        self.state.record_call_failure(self.worker.worker, False, 105.2)
        self.assertEqual([], self._replace())

    def test_a_worker_that_responded_after_a_reset_has_not_crashed(self):
        self._close(105.2)
        self.state.record_response(1, 105.3)
        self.assertEqual([], self._replace())

    def test_a_draining_or_deregistered_worker_has_not_crashed(self):
        self.state.handle_deregistration("w1", 105.2)
        self._close(105.3)
        self.assertEqual([], self._replace())

    def test_reports_repeat_a_crash_for_a_new_owner(self):
        self._close(105.2)
        self._replace()
        for after, count in ((9.9, 1), (crash_evidence.RETENTION_SECONDS, 0)):
            report = self.state.make_report(ids.DataCentre("z"), 110.0 + after)
            self.assertEqual(count, len(report.crashes))


if __name__ == "__main__":
    unittest.main()
