"""Tests of keep-alive connections: reuse, limits, and the events of closed connections."""

import functools
import unittest

import curio

from crocusrudder.core import events
from crocusrudder.platform import errors
from tests.platform import support

PORT = 29_520
CLOSED_PORT = 29_521
EMPTY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def make_numbered(number):
    """Return a response whose body is a number."""
    body = str(number).encode()
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Script:
    """Send the given responses to the requests of all connections, in order.

    None closes the connection without a response. ``closed`` is set when the sending direction has
    been closed after a response whose number is in ``close_after``.
    """

    def __init__(self, *responses, close_after=()):
        self._responses = list(responses)
        self._close_after = close_after
        self.requests = 0
        self.closed = curio.Event()

    async def __call__(self, peer):
        while await peer.read_request():
            response = self._responses[self.requests]
            self.requests += 1
            if response is None:
                return
            await peer.send(response)
            if self.requests in self._close_after:
                await peer.finish_sending()
                await self.closed.set()


async def call_twice(script, request=support.POST, between=None, **limits):
    """Make two endpoint calls in sequence; return their events and the number of connections."""
    call = support.make_endpoint_call(PORT, request=request)
    async with support.run_script(PORT, script, **limits) as (client, server):
        first = await client.perform(call)
        if between is not None:
            await between()
        second = await client.perform(call)
    return first, second, server.connections


class ReuseTest(unittest.TestCase):
    """Guards against requests sent twice and responses returned for another request."""

    def test_connection_is_reused(self):
        first, second, connections = curio.run(
            call_twice, Script(make_numbered(1), make_numbered(2))
        )
        self.assertEqual((first.response.body, second.response.body), (b"1", b"2"))
        self.assertEqual(connections, 1)

    def test_request_whose_connection_closes_is_broken_and_not_repeated(self):
        for request in (support.POST, support.GET):
            with self.subTest(method=request.method):
                script = Script(EMPTY, None, EMPTY)
                _, second, connections = curio.run(call_twice, script, request)
                self.assertIsInstance(second, events.EndpointConnectionLost)
                self.assertEqual((script.requests, connections), (2, 1))

    def test_connection_closed_while_idle_is_replaced(self):
        script = Script(EMPTY, EMPTY, close_after=(1,))
        _, second, connections = curio.run(call_twice, script, support.POST, script.closed.wait)
        self.assertIsInstance(second, events.EndpointAnswered)
        self.assertEqual((script.requests, connections), (2, 2))

    def test_a_timeout_replaces_all_connections_that_may_have_gone_silent(self):
        """A call after the first timeout must not wait on another connection as old as that one."""
        second, connections = curio.run(self._call_after_silence)
        self.assertIsInstance(second, events.EndpointAnswered)
        self.assertEqual(connections, 3)

    async def _call_after_silence(self):
        opened = []
        both_open = curio.Event()

        async def go_silent_after_one_response(peer):
            opened.append(peer)
            if len(opened) == 2:
                await both_open.set()
            await peer.read_request()
            await both_open.wait()
            await peer.send(EMPTY)
            await curio.Event().wait()

        call = support.make_endpoint_call(PORT)
        async with support.run_script(PORT, go_silent_after_one_response) as (client, server):
            async with curio.TaskGroup() as group:
                for _ in range(2):
                    await group.spawn(client.perform, call)
            short = support.make_endpoint_call(PORT, support.SHORT_TIMEOUT_SECONDS)
            await client.perform(short)
            second = await client.perform(call)
        return second, server.connections

    def test_bytes_after_a_response_do_not_answer_the_next_request(self):
        for extra in (make_numbered(9), b"\r\n", b"x"):
            with self.subTest(extra=extra):
                script = Script(make_numbered(1) + extra, make_numbered(2))
                _, second, connections = curio.run(call_twice, script)
                self.assertEqual(second.response.body, b"2")
                self.assertEqual(connections, 2)

    def test_connection_announced_as_closing_is_not_reused(self):
        closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        old = b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"
        for response in (closing, old):
            with self.subTest(response=response):
                _, second, connections = curio.run(call_twice, Script(response, EMPTY))
                self.assertIsInstance(second, events.EndpointAnswered)
                self.assertEqual(connections, 2)

    def test_hop_by_hop_headers_are_removed(self):
        response = (
            b"HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\n"
            b"X-End: 2\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
        )
        first, _, _ = curio.run(call_twice, Script(response, EMPTY))
        self.assertEqual(first.response.headers, (("x-end", "2"),))
        self.assertEqual(first.response.body, b"a")


class SilentConnectionTest(unittest.TestCase):
    """Guards against a stop of a run that times out once for each connection that went silent."""

    def test_a_call_without_a_response_costs_one_timeout_for_all_silent_connections(self):
        opened = []

        async def answer_first_request_of_old_connections(peer):
            opened.append(peer)
            if len(opened) <= 4:
                await peer.read_request()
                while len(opened) < 4:
                    await curio.sleep(0)
                await peer.send(EMPTY)
                await peer.hang()
            while await peer.read_request():
                await peer.send(EMPTY)

        async def run_calls():
            running = support.run_script(PORT, answer_first_request_of_old_connections)
            async with running as (client, _):
                call = support.make_endpoint_call(PORT)
                async with curio.TaskGroup() as group:
                    for _ in range(4):
                        await group.spawn(client.perform, call)
                lost = await client.perform(
                    support.make_endpoint_call(PORT, support.SHORT_TIMEOUT_SECONDS)
                )
                seconds = support.INCREASING_TIMEOUTS_SECONDS[-2]
                return lost, await client.perform(support.make_endpoint_call(PORT, seconds))

        lost, answered = curio.run(run_calls)
        self.assertIsInstance(lost, events.EndpointConnectionLost)
        self.assertIsInstance(answered, events.EndpointAnswered)


class FailureCauseTest(unittest.TestCase):
    """Guards against taking a suspended peer for one whose process has ended, and vice versa."""

    def _call(self, script, port=PORT, seconds=support.LONG_TIMEOUT_SECONDS):
        async def call():
            async with support.run_script(PORT, script) as (client, _):
                await client.call(support.HOST, port, support.POST, seconds)

        with self.assertRaises(errors.PlatformError) as caught:
            curio.run(call)
        return caught.exception.is_connection_closed

    def test_refused_reset_and_closed_connections_are_told_from_missing_responses(self):
        async def reset(peer):
            await peer.read_request()
            peer.reset_on_close()

        async def close(peer):
            await peer.read_request()

        async def hang(peer):
            await peer.hang()

        self.assertTrue(self._call(reset))
        self.assertTrue(self._call(close))
        self.assertTrue(self._call(close, port=CLOSED_PORT))
        self.assertFalse(self._call(hang, seconds=0.05))


class ConnectionLimitTest(unittest.TestCase):
    """Guards against exceeding the connection limit and against leaking slots."""

    def test_number_of_connections_is_limited(self):
        async def run_calls():
            call = support.make_endpoint_call(PORT)
            script = Script(*[EMPTY] * 10)
            running = support.run_script(PORT, script, connections=2)
            async with running as (client, server), curio.TaskGroup() as group:
                for _ in range(10):
                    await group.spawn(client.perform, call)
            return group.results, server.most_open

        results, most_open = curio.run(run_calls)
        self.assertEqual({type(event) for event in results}, {events.EndpointAnswered})
        self.assertLessEqual(most_open, 2)

    def test_call_without_a_free_connection_had_no_effect(self):
        async def run_calls():
            reached = curio.Event()

            async def script(peer):
                await peer.read_request()
                await reached.set()
                await peer.hang()

            async with support.run_script(PORT, script, connections=1) as (client, server):
                first = await curio.spawn(client.perform, support.make_endpoint_call(PORT))
                await reached.wait()
                call = support.make_endpoint_call(PORT, support.SHORT_TIMEOUT_SECONDS)
                second = await client.perform(call)
                await first.cancel()
            return second, server.connections

        second, connections = curio.run(run_calls)
        self.assertIsInstance(second, events.EndpointUnreachable)
        self.assertEqual(connections, 1)

    def test_cancelled_and_broken_calls_release_their_slot(self):
        async def run_calls():
            reached = curio.Event()
            requests = []

            async def script(peer):
                await peer.read_request()
                requests.append(peer)
                await reached.set()
                if len(requests) == 1:
                    await peer.hang()
                if len(requests) == 3:
                    await peer.send(make_numbered(3))

            call = support.make_endpoint_call(PORT)
            async with support.run_script(PORT, script, connections=1) as (client, _):
                first = await curio.spawn(client.perform, call)
                await reached.wait()
                await first.cancel()
                return await client.perform(call), await client.perform(call)

        broken, answered = curio.run(run_calls)
        self.assertIsInstance(broken, events.EndpointConnectionLost)
        self.assertEqual(answered.response.body, b"3")

    def test_timeout_of_the_caller_is_not_converted_into_an_event(self):
        async def run_call():
            # This timeout belongs to the caller of the client.
            outer = curio.ignore_after(support.SHORT_TIMEOUT_SECONDS)
            running = support.run_script(PORT, support.Peer.hang)
            async with running as (client, _), outer:
                await client.perform(support.make_endpoint_call(PORT))
            return outer.expired

        self.assertTrue(curio.run(run_call))

    def test_expired_connections_are_not_reused(self):
        _, second, connections = curio.run(
            functools.partial(call_twice, Script(EMPTY, EMPTY), idle_seconds=-1.0)
        )
        self.assertIsInstance(second, events.EndpointAnswered)
        self.assertEqual(connections, 2)

    def test_connections_to_an_unused_address_expire(self):
        async def run_calls():
            ended = curio.Event()

            async def script(peer):
                while await peer.read_request():
                    await peer.send(EMPTY)
                await ended.set()

            async with support.run_script(PORT, script, idle_seconds=-1.0) as (client, _):
                await client.perform(support.make_endpoint_call(PORT))
                await client.perform(support.make_endpoint_call(CLOSED_PORT))
                await ended.wait()

        curio.run(run_calls)
