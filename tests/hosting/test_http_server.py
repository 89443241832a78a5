"""Tests of the HTTP server over loopback."""

import unittest

import curio
import curio.socket

from crocusrudder.hosting import http_connection
from crocusrudder.hosting import http_messages
from crocusrudder.hosting import http_server

HOST = "127.0.0.1"
PORT = 29610


async def echo(request):
    """Answer with what the request was."""
    return http_messages.Response(200, (), request.target.encode() + b" " + request.body)


async def exchange(port, data, end=True):
    """Send bytes on a new connection and return all that comes back."""
    client = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
    async with client:
        await client.connect((HOST, port))
        await client.sendall(data)
        received = b""
        while chunk := await client.recv(65536):
            received += chunk
        return received


def run_server(handler, scenario, port=PORT, **limits):
    """Run a scenario against a server and return its result and the server."""

    async def run():
        server = http_server.Server(
            HOST, port, handler, limits=http_connection.ServerLimits(**limits)
        )
        await server.start()
        result = await scenario(server)
        await server.stop()
        return result, server

    return curio.run(run)


class ServerTest(unittest.TestCase):
    """Guards against answers that are lost or cut off."""

    def test_answers_pipelined_requests_and_keeps_the_connection(self):
        async def scenario(server):
            return await exchange(
                PORT,
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                b"GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            )

        received, server = run_server(echo, scenario)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
        self.assertIn(b"/a abc", received)
        self.assertTrue(received.endswith(b"/b "))
        self.assertEqual(server.connections, 0)
