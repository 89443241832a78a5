"""Tests of the transport's reaction to messages that cannot be handled."""

import socket
import unittest
from unittest import mock

import curio

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
        self.assertEqual(["wire_addresses_refused", "wire_dropped_unknown_peer"], self.counts)

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


if __name__ == "__main__":
    unittest.main()
