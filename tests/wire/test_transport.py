"""Tests of the transport's reaction to messages that cannot be handled."""

import contextlib
import socket
import unittest
from unittest import mock

import curio

from crocusrudder.core import ids
from crocusrudder.wire import codec
from crocusrudder.wire import transport
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import leases
from tools.soak import proxy

PEER = ids.ProcessId("e1")


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
        self.assertEqual(["wire_addresses_refused", "wire_dropped_unknown_peer"], self.counts)

    def test_a_message_that_is_too_large_is_dropped(self):
        # Guards against a process that ends again after each start, as an agent whose worker lists
        # more than a message holds: the error ended the loop that sends reports.
        process = ids.ProcessId("a1")
        self.link.record_address(process, "127.0.0.1:9")
        row = bytes(codec.MAX_ENVELOPE_BYTES)
        large = workflow_messages.JobCall("c", "submit", ids.JobId("j"), row)
        with mock.patch.object(transport.logs, "write_change") as write_change:
            for _ in range(3):
                self.link.send(process, large, transport.ANY_INCARNATION)
        self.assertEqual(["wire_dropped_too_large"] * 3, self.counts)
        self.assertEqual(["message_not_sent"], [c.args[0].name for c in write_change.mock_calls])

    def test_an_invalid_address_does_not_replace_a_valid_one(self):
        # Guards against an agent that becomes unreachable, or an error that ends the owner's task,
        # as a port of 99999 was connected to as 34463 and a lone surrogate raised UnicodeError.
        process = ids.ProcessId("a1")
        self.link.record_address(process, "127.0.0.1:9")
        for odd in ("h:99999", "h:0", ":80", "h", "h:-1", "h:x", "h:\u00b2", "\u00e9:80", "h\0:80"):
            self.link.record_address(process, odd)
        self.link.record_address(process, "\ud800:80")
        self.link.record_address(process, "a;b:80")
        self.assertEqual({process: "127.0.0.1:9"}, self.link._addresses)
        self.assertEqual(["wire_addresses_refused"] * 11, self.counts)

    def test_connections_to_many_addresses_are_bounded(self):
        # Guards against a process that can reach no peer any more, because a changing address has
        # used up all sockets.
        with mock.patch.object(transport, "MAX_PEERS", 3):
            for port in (9, 10, 11, 9, 12, 13):
                self.link.record_address(ids.ProcessId("a1"), f"127.0.0.1:{port}")
                self.link.send(
                    ids.ProcessId("a1"), workflow_messages.EntryHello(1), transport.ANY_INCARNATION
                )
        self.assertEqual([9, 12, 13], [int(key.split(":")[1]) for key in self.link._peers])
        self.assertEqual(2, self.counts.count("wire_peers_closed"))
        self.assertLessEqual(len(self.link._unsent), 3)


class SilentConnectionTest(unittest.TestCase):
    """Guard against a cancelled run that goes on since its stop order is sent into a silence."""

    def test_a_silent_connection_is_replaced_while_orders_are_valid(self):
        silence_ms = transport.HEARTBEAT_INTERVAL_MS + transport.HEARTBEAT_TIMEOUT_MS
        self.assertLess(silence_ms, 1_000 * leases.ORDER_VALID_SECONDS)
        # A connection requested during a partition must not be awaited long after its end.
        self.assertLess(transport.CONNECT_TIMEOUT_MS, 1_000 * leases.ORDER_VALID_SECONDS)

    def test_messages_arrive_after_a_connection_has_gone_silent(self):
        own_port, peer_port, link_port = _find_free_ports(3)
        link = proxy.Link(link_port, peer_port)
        relay = proxy.Proxy([link])
        relay.start()
        self.addCleanup(relay.stop)
        sender = self._make_transport("a1", own_port)
        receiver = self._make_transport(PEER, peer_port)
        sender.record_address(PEER, f"{proxy.HOST}:{link_port}")
        arrived = []

        async def record(_, message):
            arrived.append(message.configuration)

        async def send_until_arrived(number):
            while number not in arrived:
                hello = workflow_messages.EntryHello(number)
                sender.send(PEER, hello, transport.ANY_INCARNATION)
                await sender.retry_unsent()
                await curio.sleep(0.05)

        async def exchange():
            await curio.spawn(receiver.receive_forever, record, daemon=True)
            await curio.spawn(sender.retry_forever, daemon=True)
            await send_until_arrived(1)
            # The open connection delivers nothing from the first message that it loses.
            link.mode = proxy.Mode.REQUESTS_LOST
            sender.send(PEER, workflow_messages.EntryHello(2), transport.ANY_INCARNATION)
            while not link.silent_connections:
                await curio.sleep(0.01)
            link.mode = proxy.Mode.PASS
            await send_until_arrived(3)

        curio.run(exchange)
        self.assertNotIn(2, arrived)

    def _make_transport(self, name: str, port: int) -> transport.Transport:
        address = f"{proxy.HOST}:{port}"
        identity = codec.Sender(ids.ProcessId(name), ids.Incarnation("i1"), address)
        link = transport.Transport(identity, address, lambda name: None)
        self.addCleanup(link.close)
        return link


def _find_free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((proxy.HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


if __name__ == "__main__":
    unittest.main()
