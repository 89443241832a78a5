"""Tests of an agent's polls of its worker."""

import socket
import unittest
from unittest import mock

import curio
import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import errors
from crocusrudder.platform import worker
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import agent_daemon
from crocusrudder.workflows import settings

ENDED = workflow_messages.EndedRun(1, "j.0.0.0", 1, "done")
ROUNDS = 50
"""Turns of the event loop, far more than a poll without a pause needs."""


class FakeWorkerClient:
    """A worker that answers each poll at once with the ends that are not acknowledged."""

    def __init__(self) -> None:
        self.polls = 0
        self.stops = 0

    async def stop(self, name, task, run, epoch):
        self.stops += 1
        raise errors.UnknownOutcomeError("no answer")

    async def poll_runs(self, name, epoch, acknowledged, lease_until_ms, wait_seconds):
        self.polls += 1
        if acknowledged >= ENDED.number:
            await curio.Event().wait()
        return worker.RunList(1, (), (ENDED,))


class PollTest(unittest.TestCase):
    def setUp(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        document = settings.WorkflowSettings(
            ids.ProcessId("a1"),
            ids.DataCentre("z"),
            "127.0.0.1",
            port,
            port + 1,
            "127.0.0.1:9",
            worker_address="127.0.0.1:9",
        )
        self.agent = agent_daemon.AgentProcess(document)
        self.addCleanup(self.agent._link.close)
        self.client = self.agent._worker = FakeWorkerClient()
        self.worker = workflow_messages.WorkerState(
            ids.WorkerId("w1"),
            1,
            ids.ServiceName("s"),
            ids.DataCentre("z"),
            messages.Resources(8_000, 1_000, 0),
            (),
        )

    def _deliver_orders(self, acknowledged: int) -> workflow_messages.AgentOrders:
        now = agent_daemon.clocks.read_boot_time()
        return workflow_messages.AgentOrders(
            1, acknowledged + 1, now, self.worker.worker, 1, acknowledged=acknowledged
        )

    def test_ends_that_are_not_durable_yet_are_polled_again_only_after_a_pause(self):
        # Guards against about 40 polls a second for each worker, which made days with many ends
        # too slow to be played.
        self.addCleanup(
            setattr,
            agent_daemon,
            "UNACKNOWLEDGED_POLL_SECONDS",
            agent_daemon.UNACKNOWLEDGED_POLL_SECONDS,
        )
        agent_daemon.UNACKNOWLEDGED_POLL_SECONDS = 3_600.0
        envelope = messages.Envelope(1, 0, ids.ProcessId("e1"), ids.Incarnation("i"), "", "", None)

        async def poll() -> tuple[int, int]:
            self.agent._state.handle_heartbeat(self.worker, 1, 0.0)
            await self.agent._deliver(envelope, self._deliver_orders(0))
            polling = await curio.spawn(self.agent._poll_runs_forever)
            for _ in range(ROUNDS):
                await curio.sleep(0)
            before = self.client.polls
            await self.agent._deliver(envelope, self._deliver_orders(1))
            for _ in range(ROUNDS):
                await curio.sleep(0)
            await polling.cancel()
            return before, self.client.polls

        before, after = curio.run(poll())
        self.assertLessEqual(before, 2)
        self.assertEqual(before + 1, after)

    def test_a_stop_that_was_not_answered_is_repeated_with_the_next_orders(self):
        # Guards against LOST and UNASKED: repeated orders to stop the run were ignored for 5 s, in
        # which a run of a cancelled job worked on and a task could not be placed again.
        envelope = messages.Envelope(1, 0, ids.ProcessId("e1"), ids.Incarnation("i"), "", "", None)

        async def stop() -> None:
            self.agent._state.handle_heartbeat(self.worker, 1, 0.0)
            for _ in range(2):
                orders = msgspec.structs.replace(self._deliver_orders(0), stops=(("j.0.0.0", 1),))
                await self.agent._deliver(envelope, orders)
                for _ in range(ROUNDS):
                    await curio.sleep(0)

        curio.run(stop())
        self.assertEqual(2, self.client.stops)

    def test_a_start_that_can_be_neither_confirmed_nor_stopped_does_not_stay_in_reports(self):
        # Guards against LOST: reports showed the run as starting for good, so its task never ran.
        run = ("j.0.0.0", 1)

        async def block() -> None:
            self.agent._state.record_start_sent(run)
            await self.agent._block(self._deliver_orders(0), run)

        with mock.patch.object(agent_daemon, "RETRY_DELAY_SECONDS", 0):
            curio.run(block())
        report = self.agent._state.make_report(ids.DataCentre("z"), 0.0)
        self.assertEqual(agent_daemon.MAX_STOP_ATTEMPTS, self.client.stops)
        self.assertEqual((), report.starting)


if __name__ == "__main__":
    unittest.main()
