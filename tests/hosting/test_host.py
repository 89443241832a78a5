"""Tests of the host with two real transports on loopback."""

import contextlib
import socket
import unittest

import curio
import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.hosting import host
from crocusrudder.wire import codec
from crocusrudder.wire import messages
from crocusrudder.wire import transport

PING = messages.ConfigurationRequest(ids.Revision(5))
REPEAT_SECONDS = 0.1


class PingCore:
    """Core that sends pings until it and its partner have received one and read their rows.

    A host that has finished sends nothing any more, not even what waits for a connection.
    """

    def __init__(self, other):
        self._other = other
        self._received = []
        self.stored = False
        self.partner = self

    @property
    def is_finished(self):
        return self.stored and self.partner.stored

    @property
    def received_messages(self):
        return self._received

    def handle(self, event, now):
        if isinstance(event, events.Received):
            self._received.append(event.message)
            return [effects.Send(self._other, PING), effects.ReadRows("x:1", ())]
        self.stored = isinstance(event, events.RowsRead)
        return []

    def tick(self, now):
        return [effects.Send(self._other, PING)]

    def dump(self):
        return {}


async def read_nothing(effect):
    """Return the event of a read that finds no rows."""
    return events.RowsRead(effect.operation, {})


def find_free_addresses(count):
    """Return addresses at which nothing listens."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{probe.getsockname()[1]}" for probe in probes]


def make_hosts():
    """Return two hosts with ping cores, each with its bound transport."""
    addresses = dict(zip("ab", find_free_addresses(2), strict=True))
    return [make_host(name, other, addresses) for name, other in ("ab", "ba")]


def make_host(name, other, addresses):
    """Return a host with a ping core, and its bound transport."""
    sender = codec.Sender(ids.ProcessId(name), ids.Incarnation("1"), addresses[name])
    link = transport.Transport(sender, addresses[name], lambda counter: None)
    link.record_address(ids.ProcessId(other), addresses[other])
    return host.Host(PingCore(other), link, {effects.ReadRows: read_nothing}, {}), link


class VersionTest(unittest.TestCase):
    """Guards against a mismatch of major versions that is not reported to the sender."""

    def test_a_newer_message_is_refused_to_its_sender(self):
        (first, first_link), (second, second_link) = make_hosts()
        newer = msgspec.msgpack.decode(first_link._sender.encode(PING))
        newer[0] = messages.PROTOCOL_MAJOR + 1

        async def exchange():
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(first.run())
                await group.spawn(second_link.retry_forever())
                while not first.core.received_messages:
                    # The refusal is dropped if there is no connection within the grace period.
                    await second_link._deliver(msgspec.msgpack.encode(newer), second.deliver)
                    await curio.sleep(REPEAT_SECONDS)

        curio.run(exchange)
        first_link.close()
        second_link.close()
        self.assertEqual(first.core.received_messages[0].code, "CR-WIRE-002")


class HostTest(unittest.TestCase):
    """Guards against messages that are lost and results of effects that never reach the core."""

    def test_delivers_messages_and_results_of_effects_to_the_core(self):
        (first, first_link), (second, second_link) = make_hosts()
        first.core.partner, second.core.partner = second.core, first.core

        async def run_both():
            async with curio.TaskGroup() as group:
                await group.spawn(first.run())
                await group.spawn(second.run())

        curio.run(run_both)
        first_link.close()
        second_link.close()
        self.assertEqual(first.core.received_messages[0], PING)
        self.assertEqual(second.core.received_messages[0], PING)
