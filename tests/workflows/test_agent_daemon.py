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
from tests.platform import test_messages
from tests.workflows import world

ENDED = workflow_messages.EndedRun(1, "j.0.0.0", 1, "done")
RUN = ("j.0.0.0", 1)
START = workflow_messages.StartOrder(*RUN, "spec")
ROUNDS = 50
"""Turns of the event loop, far more than a poll without a pause needs."""


class FakeWorkerClient:
    """A worker that answers each poll at once with the ends that are not acknowledged."""

    def __init__(self) -> None:
        self.polls = 0

    async def poll_runs(
        self, incarnation, epoch, acknowledged, lease_until_ms, wait_seconds, last_seen
    ):
        self.polls += 1
        if last_seen >= ENDED.number:
            await curio.Event().wait()
        return worker.RunList(1, (), (ENDED,))


class RefusingWorkerClient:
    """A worker that leaves a start unanswered, then refuses and then rejects a number of stops."""

    def __init__(self, refused_stops: int, rejected_stops: int = 0, fence: int = 0) -> None:
        self.refused_stops = refused_stops
        self.rejected_stops = rejected_stops
        self.fence = fence
        self.starts = 0
        self.stops = 0
        self.epoch = 0

    async def start(self, name, order, epoch, lease_until_ms):
        self.starts += 1
        raise errors.UnknownOutcomeError("connection reset")

    async def stop(self, name, task, run, epoch):
        self.stops += 1
        self.epoch = epoch
        if self.refused_stops:
            self.refused_stops -= 1
            raise errors.NotExecutedError("connection refused")
        if self.rejected_stops:
            self.rejected_stops -= 1
            return False
        return epoch >= self.fence


class SilentStartClient:
    """A worker that responds to stops only."""

    def __init__(self) -> None:
        self.starts = 0
        self.stopped: list[tuple[str, int]] = []

    async def start(self, name, order, epoch, lease_until_ms):
        self.starts += 1
        await curio.Event().wait()

    async def set_cpu_share(self, name, task, run, percent, epoch):
        await curio.Event().wait()

    async def stop(self, name, task, run, epoch):
        self.stopped.append((task, run))
        return True

    async def poll_runs(
        self, incarnation, epoch, acknowledged, lease_until_ms, wait_seconds, last_seen
    ):
        return worker.RunList(1, (), ())


class AgentTestCase(unittest.TestCase):
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
        self.worker = workflow_messages.WorkerState(
            ids.WorkerId("w1"),
            1,
            ids.ServiceName("s"),
            ids.DataCentre("z"),
            messages.Resources(8_000, 1_000, 0),
            (),
        )

    def _make_orders(self, acknowledged: int) -> workflow_messages.AgentOrders:
        now = agent_daemon.clocks.read_boot_time()
        return workflow_messages.AgentOrders(
            1, acknowledged + 1, now, self.worker.worker, 1, acknowledged=acknowledged
        )

    def _receive(self, epoch: int = 1, **orders: object) -> workflow_messages.AgentOrders:
        """Receive orders, after a heartbeat and a list; return those to carry out."""
        state = self.agent._state
        now = agent_daemon.clocks.read_boot_time()
        world.follow_worker(state, self.worker, 1, now)
        state.handle_list(worker.RunList(1, (), ()), epoch, now, now)
        orders = msgspec.structs.replace(self._make_orders(0), epoch=epoch, **orders)
        return state.handle_orders(orders, now)

    async def _deliver(self, **orders: object) -> None:
        """Deliver orders as a message, after a heartbeat and a list."""
        self._receive()
        envelope = messages.Envelope(1, 0, ids.ProcessId("e1"), ids.Incarnation("i"), "", "", None)
        await self.agent._deliver(envelope, msgspec.structs.replace(self._make_orders(0), **orders))

    def _set_constant(self, name: str, value: float) -> None:
        """Set a constant of the daemon until the end of the test."""
        self.addCleanup(setattr, agent_daemon, name, getattr(agent_daemon, name))
        setattr(agent_daemon, name, value)


class EpochTest(AgentTestCase):
    def test_orders_of_an_epoch_that_no_owner_can_have_are_counted_and_logged_once(self):
        # Guards against an agent that gives no reason for orders that it does not carry out.
        with mock.patch.object(agent_daemon.logs, "write_change") as write_change:
            for _ in range(3):
                curio.run(self._deliver(epoch=2**53))
        self.assertEqual(3, self.agent._metrics.counters["orders_epoch_refused"])
        names = [call.args[0].name for call in write_change.mock_calls]
        self.assertEqual(1, names.count("orders_epoch_refused"))


class StartTest(AgentTestCase):
    def test_a_start_without_an_answer_is_blocked_however_many_stops_are_refused(self):
        # Guards against a run that stays in the agent's list of starts after the worker could not
        # be reached for some seconds. The owner then takes its task for assigned for good.
        self._set_constant("RETRY_DELAY_SECONDS", 0.0)
        self.agent._worker = RefusingWorkerClient(refused_stops=500)
        order = workflow_messages.StartOrder("j.0.0.0", 1, "spec")

        async def start() -> None:
            state = self.agent._state
            now = agent_daemon.clocks.read_boot_time()
            world.follow_worker(state, self.worker, 1, now)
            orders = state.handle_orders(
                msgspec.structs.replace(self._make_orders(0), starts=(order,)), now
            )
            state.handle_list(worker.RunList(1, (), ()), 1, now, now)
            state.record_start_sent((order.task, order.run), now)
            await self.agent._start(orders, order)
            now = agent_daemon.clocks.read_boot_time()
            state.handle_list(worker.RunList(1, (), ()), 1, now, now)

        curio.run(start())
        report = self.agent._state.make_report(
            ids.DataCentre("z"), agent_daemon.clocks.read_boot_time()
        )
        self.assertEqual((), report.starting)
        self.assertEqual(["j.0.0.0"], [rejected.task for rejected in report.rejected])

    def test_a_stop_without_an_answer_is_repeated_without_another_order_or_list(self):
        # Guards against a run that goes on after one lost call: the stop was repeated only by the
        # owner's next order after the next list, and each of them may be lost too.
        self._set_constant("RETRY_DELAY_SECONDS", 0.0)
        client = self.agent._worker = RefusingWorkerClient(refused_stops=5)
        orders = self._receive(stops=(RUN,))

        async def stop() -> None:
            await self.agent._stop(orders, RUN)

        self.assertEqual((RUN,), orders.stops)
        curio.run(stop())
        self.assertEqual(6, client.stops)
        self.assertEqual((), self._receive(stops=(RUN,)).stops)

    def test_a_stop_is_repeated_under_the_epoch_of_the_newest_owner(self):
        # Guards against a stop that the worker refuses for ever, as it has been fenced meanwhile.
        self._set_constant("RETRY_DELAY_SECONDS", 0.0)
        client = self.agent._worker = RefusingWorkerClient(refused_stops=0, fence=2)
        orders = self._receive(stops=(RUN,))

        async def stop() -> None:
            task = await curio.spawn(self.agent._stop, orders, RUN)
            for _ in range(ROUNDS):
                await curio.sleep(0)
            self._receive(epoch=2)
            await task.join()

        curio.run(stop())
        self.assertEqual(2, client.epoch)

    def test_an_unanswered_start_is_blocked_although_the_worker_refuses_the_first_stop(self):
        # Guards against a run that starts late: a refused stop (429) counted as an answered one.
        self._set_constant("RETRY_DELAY_SECONDS", 0.0)
        client = self.agent._worker = RefusingWorkerClient(refused_stops=0, rejected_stops=3)
        orders = self._receive(starts=(START,))

        async def start() -> None:
            self.agent._state.record_start_sent(RUN, 0.0)
            await self.agent._block(orders.worker, RUN)

        curio.run(start())
        self.assertEqual(4, client.stops)

    def test_a_start_whose_stop_was_received_while_it_waited_is_not_sent(self):
        # Guards against UNASKED: a start of a cancelled job that waited behind other calls.
        client = self.agent._worker = RefusingWorkerClient(refused_stops=0)
        self._receive(stops=(RUN,), starts=(START,))
        orders = self._receive()

        async def start() -> None:
            await self.agent._start(orders, START)

        curio.run(start())
        self.assertEqual(0, client.starts)


class ConcurrencyTest(AgentTestCase):
    def test_a_stop_does_not_wait_behind_starts_and_blocks_without_a_response(self):
        # Guards against a run of a cancelled job that goes on for the timeouts of other calls.
        client = self.agent._worker = SilentStartClient()
        starts = tuple(
            workflow_messages.StartOrder(f"k.0.0.{number}", 1, "spec") for number in range(40)
        )
        paces = tuple((f"p.0.0.{number}", 1, 50) for number in range(40))

        async def play() -> None:
            await self._deliver(starts=starts, paces=paces)
            for _ in range(ROUNDS):
                await curio.sleep(0)
            await self._deliver(stops=(RUN,))
            for _ in range(ROUNDS):
                await curio.sleep(0)

        curio.run(play())
        self.assertLess(0, client.starts)
        self.assertEqual([RUN], client.stopped)


class ReportTest(AgentTestCase):
    def test_reports_of_many_runs_leave_the_owner_time_for_others(self):
        # Guards against an owner that is busy for seconds: each of thousands of starts caused a
        # report that named all of them.
        self._set_constant("REPORT_PAUSE_SECONDS", 3_600.0)
        self._set_constant("MAX_REPORT_PAUSE_SECONDS", 3_600.0)
        sent = []
        self.agent._link.send = lambda *message: sent.append(message)
        self.agent._owner = ids.ProcessId("e1")

        async def report(runs: int) -> int:
            for number in range(runs):
                self.agent._state.record_start_sent((f"j.0.0.{number}", 1), 0.0)
            sent.clear()
            reporting = await curio.spawn(self.agent._report_forever)
            for _ in range(ROUNDS):
                await self.agent._updates.set()
                await curio.sleep(0)
            await reporting.cancel()
            return len(sent)

        self.assertLess(1, curio.run(report(1)))
        self.assertEqual(1, curio.run(report(agent_daemon.MIN_RUNS_WITH_PAUSE)))


class PollTest(AgentTestCase):
    def setUp(self):
        super().setUp()
        self.client = self.agent._worker = FakeWorkerClient()

    def test_ends_that_are_not_durable_yet_are_polled_again_only_after_a_pause(self):
        # Guards against about 40 polls a second for each worker, which made days with many ends
        # too slow to be played.
        self._set_constant("UNACKNOWLEDGED_POLL_SECONDS", 3_600.0)
        envelope = messages.Envelope(1, 0, ids.ProcessId("e1"), ids.Incarnation("i"), "", "", None)

        async def poll() -> tuple[int, int]:
            world.follow_worker(self.agent._state, self.worker, 1, 0.0)
            await self.agent._deliver(envelope, self._make_orders(0))
            polling = await curio.spawn(self.agent._poll_runs_forever)
            for _ in range(ROUNDS):
                await curio.sleep(0)
            before = self.client.polls
            await self.agent._deliver(envelope, self._make_orders(1))
            for _ in range(ROUNDS):
                await curio.sleep(0)
            await polling.cancel()
            return before, self.client.polls

        before, after = curio.run(poll())
        self.assertLessEqual(before, 2)
        self.assertEqual(before + 1, after)

    def test_ends_that_cannot_be_read_are_polled_again_only_after_a_pause(self):
        # Guards against polls without a pause, as an end that is never acknowledged lets the worker
        # answer at once each time.
        self._set_constant("UNACKNOWLEDGED_POLL_SECONDS", 3_600.0)
        client = self.agent._worker = worker.WorkerClient("127.0.0.1:9")
        content = {"clockMs": 900, "born": 1, "running": [], "ended": [["1", "j.0.0.0", 1]]}
        response = test_messages.make_response(200, content)
        client._http = test_messages.FakeHttp(*[response] * ROUNDS)
        envelope = messages.Envelope(1, 0, ids.ProcessId("e1"), ids.Incarnation("i"), "", "", None)

        async def poll() -> None:
            world.follow_worker(self.agent._state, self.worker, 1, 0.0)
            await self.agent._deliver(envelope, self._make_orders(0))
            polling = await curio.spawn(self.agent._poll_runs_forever)
            for _ in range(ROUNDS):
                await curio.sleep(0)
            await polling.cancel()

        curio.run(poll())
        self.assertLessEqual(len(client._http.requests), 2)
        counters = self.agent._metrics.counters
        self.assertEqual(len(client._http.requests), counters["list_entries_unreadable"])
        self.assertEqual(
            counters["list_entries_unreadable"], self.agent._dump()["list_entries_unreadable"]
        )

    def test_a_list_of_another_incarnation_with_the_same_id_is_not_taken_for_the_known_one(self):
        # Guards against ends of the new incarnation that are taken for ends of the old one, whose
        # numbers have already been acknowledged: the task of such an end runs again.
        client = worker.WorkerClient("127.0.0.1:9")
        self.agent._worker = client
        world.follow_worker(self.agent._state, self.worker, 1, 0.0)
        listed = {"clockMs": 900_000, "born": 1, "running": [["j.0.0.0", 7, "", 5]], "ended": []}
        restarted = {
            "clockMs": 90,
            "born": 2,
            "running": [],
            "ended": [[1, "k.0.0.0", 8, "done", ""]],
        }
        client._http = test_messages.FakeHttp(
            *(test_messages.make_response(200, content) for content in (listed, restarted))
        )

        async def poll_twice() -> None:
            for _ in range(2):
                await self.agent._poll_runs(self.worker)

        curio.run(poll_twice())
        report = self.agent._state.make_report(ids.DataCentre("z"), 1.0)
        self.assertEqual(["j.0.0.0"], [run.task for run in report.running])
        self.assertEqual((), report.ended)

    def test_ends_are_not_acknowledged_to_a_worker_that_may_have_restarted(self):
        # Guards against an end that a new incarnation with the same id drops unread, because its
        # number was acknowledged to the old one: the task runs again.
        client = worker.WorkerClient("127.0.0.1:9")
        self.agent._worker = client
        ended = [[58, "j.0.0.0", 7, "done", ""]]
        listed = test_messages.make_response(200, {"clockMs": 900, "born": 1, "ended": ended})
        broken = errors.UnknownOutcomeError("connection reset")
        client._http = test_messages.FakeHttp(listed, broken, listed, listed)

        async def poll() -> None:
            world.follow_worker(self.agent._state, self.worker, 1, 0.0)
            self.agent._state.handle_orders(self._make_orders(58), 0.0)
            for _ in range(4):
                await self.agent._poll_runs(self.worker)

        curio.run(poll())
        seen = [msgspec.json.decode(r.body)["lastSeen"] for r in client._http.requests]
        self.assertEqual([0, 58, 0, 58], seen)


if __name__ == "__main__":
    unittest.main()
