"""Tests of an agent process with the stand-in of a worker and heartbeats of other writers."""

import unittest

import curio
import msgspec

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.hosting import http_server
from crocusrudder.platform import http
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import agent_daemon
from crocusrudder.workflows import settings
from tools.standin.users import deployment
from tools.standin.users import worker

HOST = deployment.HOST
TIMEOUT_SECONDS = 20.0
"""Time after which a condition counts as not met; it takes a second at most on an idle machine."""
RUN = ("j.0.0.0", 1)
ODD = {
    "service": "s",
    "state": "ready",
    "seq": 1,
    "born": 2**62,
    "capacity": {"cpu": 8_000, "memMb": 1_000, "gpu": 0},
}


class FollowedWorkerTest(unittest.TestCase):
    def setUp(self):
        reservation = deployment.PortReservation(4)
        self.addCleanup(reservation.release)
        peer_port, inspection_port, self.port, self.worker_port = reservation.ports
        document = settings.WorkflowSettings(
            ids.ProcessId("a1"),
            ids.DataCentre("z"),
            HOST,
            peer_port,
            inspection_port,
            f"{HOST}:9",
            heartbeat_address=f"{HOST}:{self.port}",
            worker_address=f"{HOST}:{self.worker_port}",
        )
        self.agent = agent_daemon.AgentProcess(document)
        self.addCleanup(self.agent._link.close)
        self.worker = worker.UsersWorker("w1", "s", self.port, run_seconds=3_600.0)
        self.client = http.HttpClient.from_config(http.HttpConfig(1))
        self._orders = 0

    def _run(self, scenario) -> None:
        """Run a scenario beside the agent's tasks and the worker."""

        async def main() -> None:
            count = self.agent._metrics.count
            servers = (
                http_server.Server(HOST, self.port, self.agent._handle_call, count),
                http_server.Server(HOST, self.worker_port, self.worker.handle, count),
            )
            for server in servers:
                await server.start()
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self.agent._prober.run_forever)
                await group.spawn(self.agent._poll_runs_forever)
                await group.spawn(self.worker.run)
                await group.spawn(scenario)
            await self.client.close()
            await self.agent._worker._http.close()
            for server in servers:
                await server.close(0.1)
            if group.exception:
                raise group.exception

        curio.run(main)

    async def _wait_until(self, condition) -> None:
        async with curio.timeout_after(TIMEOUT_SECONDS):
            while not condition():
                await curio.sleep(0.01)

    async def _wait_for_worker(self) -> workflow_messages.WorkerState:
        await self._wait_until(lambda: self.agent._state.current_worker is not None)
        return self.agent._state.current_worker

    async def _send_heartbeat(self, name: str, **fields: object) -> None:
        body = msgspec.json.encode(ODD | fields)
        target = f"/crocusrudder/Workers.Heartbeat/{name}"
        request = effects.EndpointRequest("POST", target, http.JSON_HEADERS, body)
        response = await self.client.call(HOST, self.port, request, 5.0)
        self.assertEqual(200, response.status)

    async def _send_orders(self, known: workflow_messages.WorkerState, **fields) -> None:
        self._orders += 1
        envelope = messages.Envelope(1, 0, ids.ProcessId("e1"), ids.Incarnation("i"), "", "", None)
        orders = workflow_messages.AgentOrders(
            1, self._orders, clocks.read_boot_time(), known.worker, known.born_ms, **fields
        )
        await self.agent._deliver(envelope, orders)

    async def _start_run(self, known: workflow_messages.WorkerState) -> None:
        await self._send_orders(known)
        await self._wait_until(lambda: self.agent._state._clock is not None)
        await self._send_orders(known, starts=(workflow_messages.StartOrder(*RUN, "spec"),))
        await self._wait_until(lambda: self.worker.started_runs)

    def test_stops_reach_the_worker_after_heartbeats_of_workers_that_do_not_exist(self):
        # Guards against UNASKED: a run of a cancelled job went on, because the agent followed a
        # worker that does not exist.
        async def scenario() -> None:
            known = await self._wait_for_worker()
            await self._start_run(known)
            for name in ("odd", known.worker):
                await self._send_heartbeat(name)
            await self._wait_until(lambda: not self.agent._state.identity.describe()["candidates"])
            await self._send_orders(known, stops=(RUN,))
            await self._wait_until(lambda: self.worker.history[RUN]["how"])

        self._run(scenario)
        self.assertEqual("stopped", self.worker.history[RUN]["how"])
        self.assertEqual(2, self.agent._metrics.counters["heartbeats_ignored_refused_by_worker"])
        self.assertNotIn("worker_replacements", self.agent._metrics.counters)

    def test_a_free_worker_gets_starts_after_a_first_heartbeat_of_another_writer(self):
        # Guards against LOST: nothing was started on a free worker, because the agent's first
        # heartbeat came from another writer.
        async def scenario() -> None:
            await self._send_heartbeat("odd")
            await self._send_heartbeat("w1")
            known = await self._wait_for_worker()
            self.assertEqual(("w1", self.worker._born_ms), known.incarnation)
            await self._start_run(known)

        self._run(scenario)
        self.assertEqual([RUN], self.worker.started_runs)

    def test_a_new_agent_finds_a_worker_that_has_seen_an_epoch(self):
        # Guards against an agent process that reports no worker, and so gets no orders, because the
        # worker refuses calls without the epoch that an earlier process used.
        self.worker._fence_token = 7
        respond = self.worker._respond

        def respond_without_birth(status: int, **fields: object):
            response = respond(status, **fields)
            content = msgspec.json.decode(response.body)
            del content["born"]
            return worker.http_messages.make_json_response(status, content)

        self.worker._respond = respond_without_birth

        async def scenario() -> None:
            await self._wait_until(lambda: self.agent._state.identity.describe()["candidates"])
            self.assertIsNone(self.agent._state.current_worker)
            self.agent._prober.record_row_epoch(7)
            self.assertEqual("w1", (await self._wait_for_worker()).worker)

        self._run(scenario)


if __name__ == "__main__":
    unittest.main()
