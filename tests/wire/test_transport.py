"""Tests of the transport's reaction to messages that cannot be handled."""

import socket
import unittest
from unittest import mock

import curio
import curio.io

from crocusrudder.core import ids
from crocusrudder.wire import codec
from crocusrudder.wire import transport
from crocusrudder.wire import workflow_messages


class DeliveryTest(unittest.TestCase):
    def setUp(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        self.counts: list[str] = []
        receiver = codec.Sender(ids.ProcessId("e1"), ids.Incarnation("i1"), address)
        self.link = transport.Transport(receiver, address, self.counts.append)
        self.addCleanup(self.link.close)

    def test_a_message_whose_handler_fails_does_not_end_the_process(self):
        # Guards against one unexpected message that takes the owner down, and after it each
        # process that becomes the owner and receives the same message.
        sender = codec.Sender(ids.ProcessId("a1"), ids.Incarnation("i2"), "127.0.0.1:9")
        data = sender.encode(workflow_messages.EntryHello(1), transport.ANY_INCARNATION)
        handled = []

        async def fail_once(_, message):
            handled.append(message)
            if len(handled) == 1:
                raise KeyError("unexpected")

        curio.run(self.link._deliver(data, fail_once))
        curio.run(self.link._deliver(data, fail_once))
        self.assertEqual(2, len(handled))
        self.assertEqual(["wire_delivery_failed"], self.counts)

    def test_a_message_to_an_address_that_is_none_is_dropped(self):
        # Addresses come from rows and envelopes of other processes.
        self.link.record_address(ids.ProcessId("a1"), "no address")
        self.link.send(
            ids.ProcessId("a1"), workflow_messages.EntryHello(1), transport.ANY_INCARNATION
        )
        self.assertEqual(["wire_dropped_unknown_peer"], self.counts)


class SilentRelay:
    """A relay to an address, whose open connections can go silent without a reset."""

    def __init__(self, target: str) -> None:
        self._target = target.split(":")
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._silent: set[int] = set()
        self._opened = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._socket.getsockname()[1]}"

    def silence(self) -> None:
        """Forward nothing more on the connections that are open."""
        self._silent.update(range(self._opened))

    async def run(self) -> None:
        listener = curio.io.Socket(self._socket)
        while True:
            client, _ = await listener.accept()
            number, self._opened = self._opened, self._opened + 1
            server = await curio.open_connection(self._target[0], int(self._target[1]))
            for source, target in ((client, server), (server, client)):
                await curio.spawn(self._forward, number, source, target, daemon=True)

    async def _forward(self, number: int, source, target) -> None:
        try:
            while data := await source.recv(65_536):
                if number not in self._silent:
                    await target.sendall(data)
        except OSError:
            pass


class SilentConnectionTest(unittest.TestCase):
    """Guards against a run that gets no stop, as its agent's connection from the owner is silent.

    The agent goes on renewing the lease by the owner's row, so the run does not end by itself.
    """

    CONTACT_SECONDS = 3.0
    """Time after which the platform expects orders again once connections have gone silent."""
    GUARD_SECONDS = 20.0
    """The test ends at the first message through a new connection; this ends it without one."""

    def _make_link(self, process: str) -> tuple[transport.Transport, str]:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        sender = codec.Sender(ids.ProcessId(process), ids.Incarnation("i"), address)
        link = transport.Transport(sender, address, lambda _: None)
        self.addCleanup(link.close)
        return link, address

    def test_a_silent_connection_is_replaced_before_orders_are_expected_again(self):
        milliseconds = transport.HEARTBEAT_INTERVAL_MS + transport.HEARTBEAT_TIMEOUT_MS
        self.assertLess(milliseconds / 1_000, self.CONTACT_SECONDS)

    def test_messages_go_through_a_new_connection_after_the_old_one_went_silent(self):
        owner, _ = self._make_link("e1")
        agent, address = self._make_link("a1")
        relay = SilentRelay(address)
        owner.record_address(ids.ProcessId("a1"), relay.address)
        received = curio.Queue()

        async def deliver(_, message) -> None:
            await received.put(message.epoch)

        async def send_until_received(epoch: int) -> None:
            while True:
                hello = workflow_messages.OwnerHello(epoch)
                owner.send(ids.ProcessId("a1"), hello, transport.ANY_INCARNATION)
                await owner.retry_unsent()
                answered = await curio.ignore_after(0.02, received.get)
                if answered == epoch:
                    return

        async def play() -> None:
            for task in (relay.run, owner.retry_forever):
                await curio.spawn(task, daemon=True)
            await curio.spawn(agent.receive_forever, deliver, daemon=True)
            async with curio.timeout_after(self.GUARD_SECONDS):
                await send_until_received(1)
                relay.silence()
                await send_until_received(2)

        times = {"HEARTBEAT_INTERVAL_MS": 20, "HEARTBEAT_TIMEOUT_MS": 100}
        with mock.patch.multiple(transport, **times):
            curio.run(play)


if __name__ == "__main__":
    unittest.main()
