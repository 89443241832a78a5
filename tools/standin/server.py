"""A small HTTP/1.1 server for the stand-ins (curio + h11)."""

import socket
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import curio.io
import curio.network
import h11

from crocusrudder.core import effects

MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
BACKLOG = 1_024
DRAIN_POLL_SECONDS = 0.01

Request = effects.EndpointRequest
Response = effects.EndpointResponse
Handler = Callable[[Request], Awaitable[Response | None]]


def get_header(request: Request, name: str) -> str:
    """Return the value of a header, or an empty string."""
    wanted = name.lower()
    return next((value for key, value in request.headers if key.lower() == wanted), "")


class _Connection:
    """One accepted connection."""

    def __init__(self, client: curio.io.Socket) -> None:
        self._client = client
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._is_head_request = False

    def is_busy(self) -> bool:
        """Return whether a request has arrived, at least in part, and has no response yet."""
        if self._parser.their_state is not h11.IDLE or self._parser.trailing_data[0]:
            return True
        try:
            with self._client.blocking() as raw:
                return bool(raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    async def receive(self) -> Request | None:
        """Return the next request, or None if the connection has ended or the body is too large."""
        head = await self._read_event()
        if not isinstance(head, h11.Request):
            return None
        self._is_head_request = head.method == b"HEAD"
        body = bytearray()
        while not isinstance(event := await self._read_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                return None
        headers = tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers)
        return Request(head.method.decode(), head.target.decode(), headers, bytes(body))

    async def respond(self, response: Response, is_closing: bool) -> bool:
        """Send a response; return whether the connection can carry another request."""
        headers = [(key, value) for key, value in response.headers]
        if response.status != 204:
            headers.append(("Content-Length", str(len(response.body))))
        if is_closing:
            headers.append(("Connection", "close"))
        data = self._parser.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if not self._is_head_request:
            data += self._parser.send(h11.Data(data=response.body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        await self._client.sendall(data)
        if self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
        return True

    async def _read_event(self) -> object:
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._parser.receive_data(await self._client.recv(RECEIVE_BYTES))


class Server:
    """Serve requests with one coroutine per connection.

    ``handle`` returns the response, or None to close the connection without one.
    """

    def __init__(self, host: str, port: int, handle: Handler) -> None:
        self._host = host
        self._port = port
        self._handle = handle
        self._connections: set[_Connection] = set()
        self._is_closing = False
        self._listener: curio.io.Socket | None = None

    def listen(self) -> None:
        """Open the listening socket; raises ``OSError`` on failure."""
        self._listener = curio.network.tcp_server_socket(self._host, self._port, backlog=BACKLOG)

    async def run(self) -> None:
        """Accept connections until cancelled; ``listen`` must have been called."""
        listener = self._listener
        async with curio.TaskGroup(wait=None) as connections:
            try:
                while True:
                    client, _ = await listener.accept()
                    await connections.spawn(self._serve, client, daemon=True)
            finally:
                await listener.close()

    async def drain(self) -> None:
        """Respond with ``Connection: close`` from now on, and wait for requests in flight.

        A request whose bytes have arrived but are not yet read also counts as in flight. The first
        pause lets ``run`` accept the pending connections.
        """
        self._is_closing = True
        await curio.sleep(DRAIN_POLL_SECONDS)
        while any(connection.is_busy() for connection in self._connections):
            await curio.sleep(DRAIN_POLL_SECONDS)

    async def _serve(self, client: curio.io.Socket) -> None:
        connection = _Connection(client)
        self._connections.add(connection)
        try:
            await self._serve_requests(connection)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._connections.discard(connection)
            await client.close()

    async def _serve_requests(self, connection: _Connection) -> None:
        is_reusable = True
        while is_reusable:
            request = await connection.receive()
            if request is None:
                return
            response = await self._handle(request)
            if response is None:
                return
            is_reusable = await connection.respond(response, self._is_closing)
