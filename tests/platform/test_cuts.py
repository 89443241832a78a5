"""Cut the connection between a client and the stand-in at every byte of both directions."""

import unittest

import curio
import curio.network
import curio.socket

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.platform import table
from tests.platform import support

PLATFORM_PORT = 29_530
RELAY_PORT = 29_531
EVERYTHING = 1_000_000


class Relay:
    """Forward one connection at a time, and close it after a number of bytes."""

    def __init__(self):
        self._listener = curio.network.tcp_server_socket(support.HOST, RELAY_PORT)
        self.request_bytes = EVERYTHING
        self.response_bytes = EVERYTHING

    async def run(self):
        """Accept connections until cancelled."""
        try:
            while True:
                client, _ = await self._listener.accept()
                server = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
                await server.connect((support.HOST, PLATFORM_PORT))
                try:
                    await self._forward_both(client, server)
                finally:
                    await server.close()
                    await client.close()
        finally:
            await self._listener.close()

    async def _forward_both(self, client, server):
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._forward, client, server, self.request_bytes)
            await group.spawn(self._forward, server, client, self.response_bytes)

    async def _forward(self, source, target, limit):
        while limit and (data := await source.recv(min(65_536, limit))):
            await target.sendall(data)
            limit -= len(data)


class CutTest(unittest.TestCase):
    """Guards against a commit that took effect and is reported as certainly without effect."""

    def test_no_cut_is_reported_untruly(self):
        outcomes = curio.run(self.commit_under_cuts)
        for name, event, written in outcomes:
            with self.subTest(cut=name):
                if isinstance(event, events.StoreUnavailable):
                    self.assertFalse(written)
                elif isinstance(event, events.Committed):
                    self.assertTrue(written)
                else:
                    self.assertIsInstance(event, events.CommitUnknown)
        kinds = {(type(event), written) for _, event, written in outcomes}
        self.assertIn((events.Committed, True), kinds)
        self.assertIn((events.CommitUnknown, True), kinds)
        self.assertIn((events.CommitUnknown, False), kinds)

    async def commit_under_cuts(self):
        platform = support.make_platform()
        relay = Relay()
        async with support.run_platform(PLATFORM_PORT, platform):
            relaying = await curio.spawn(relay.run)
            answers = {}
            for name, request, response in self.list_cuts():
                relay.request_bytes = request
                relay.response_bytes = response
                answers[f"row/{name}"] = await self.commit(f"row/{name}")
            await relaying.cancel()
            # All commits that reached the stand-in wait there before this read.
            written = await self.read_written_keys()
        return [(key, event, key in written) for key, event in answers.items()]

    def list_cuts(self):
        """Return cuts beyond the lengths of a request and a response, about 240 and 110 bytes."""
        cuts = [(f"request after {size}", size, EVERYTHING) for size in range(300)]
        cuts += [(f"response after {size}", EVERYTHING, size) for size in range(150)]
        return cuts

    async def commit(self, key):
        client = table.TableClient.from_config(
            table.TableConfig(support.HOST, RELAY_PORT, support.PATIENT_SECONDS)
        )
        write = effects.RowWrite(key, {"x": 1}, 0)
        event = await client.perform(effects.Commit(support.OPERATION, (write,)))
        await client.close()
        return event

    async def read_written_keys(self):
        """Read past the relay."""
        client = table.TableClient.from_config(
            table.TableConfig(support.HOST, PLATFORM_PORT, support.PATIENT_SECONDS)
        )
        event = await client.perform(effects.ScanRows(support.OPERATION, "row/"))
        await client.close()
        return event.rows.keys()
