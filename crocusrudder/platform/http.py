"""HTTP/1.1 client over curio and h11 with a bounded pool of keep-alive connections per address.

A call fails in one of two ways. ``NotExecutedError`` means that no byte of the request was handed
to the network, so the request had no effect. ``UnknownOutcomeError`` means that the call failed
later, so the request may have had an effect. The client never sends a request twice.
"""

import collections
import ipaddress
import math
import time
from typing import Self

import curio
import curio.socket
import h11
import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.platform import errors
from crocusrudder.wire import codec

MAX_HEADER_BYTES = 64 * 1024
# The response of an endpoint is forwarded in one envelope, together with its headers.
MAX_BODY_BYTES = codec.MAX_ENVELOPE_BYTES - 256 * 1024
MAX_PLATFORM_BODY_BYTES = 16 * 1024 * 1024
"""Limit for the services of the platform; their scans exceed the largest response to a caller."""
MAX_INTERIM_RESPONSES = 8
RECEIVE_BYTES = 64 * 1024
STATUS_UNAVAILABLE = 503
PROCESSED_HEADER = "request-processed"
"""Header of a 503; ``no`` means that the server processed no part of the request."""
NOT_PROCESSED = "no"

# Headers of RFC 9110, section 7.6.1. The client does the message framing itself.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

JSON_HEADERS = (("Content-Type", "application/json"),)

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
_BODILESS_STATUSES = (204, 304)

Headers = tuple[tuple[str, str], ...]


class HttpConfig(msgspec.Struct, frozen=True):
    """Limits of a client; ``connections`` is the maximum per address."""

    connections: int = 60
    idle_seconds: float = 30.0
    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without those that apply to a single connection only."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    return tuple(
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_BY_HOP and key.lower() not in named
    )


class _SendProgress:
    """Number of bytes sent of a request; it decides which error a failure raises."""

    def __init__(self) -> None:
        self.bytes_sent = 0

    def make_error(self, text: str, is_connection_closed: bool = False) -> errors.PlatformError:
        type_ = errors.UnknownOutcomeError if self.bytes_sent else errors.NotExecutedError
        return type_(text, is_connection_closed=is_connection_closed)


class _Connection:
    """One connection to a server and the state of its HTTP parser."""

    def __init__(self, stream: curio.socket.socket, config: HttpConfig) -> None:
        self._stream = stream
        self._config = config
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=config.max_header_bytes)
        self._used_at = time.monotonic()
        self._send_failed = False
        self._has_peer_closed = False
        self._method = ""

    @property
    def has_peer_closed(self) -> bool:
        """Return whether the end of the peer's data has been received."""
        return self._has_peer_closed

    @property
    def used_at(self) -> float:
        """Return the monotonic time of the last use."""
        return self._used_at

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can carry another request after the last exchange."""
        parser = self._parser
        finished = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        return finished and not self._send_failed and parser.trailing_data == (b"", False)

    def is_still_idle(self) -> bool:
        """Return whether the peer has neither closed the connection nor sent unsolicited bytes."""
        flags = curio.socket.MSG_PEEK | curio.socket.MSG_DONTWAIT
        try:
            with self._stream.blocking() as raw:
                raw.recv(1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def exchange(self, data: bytes, progress: _SendProgress) -> effects.EndpointResponse:
        """Send an encoded request and return the complete response."""
        try:
            await self._send(data, progress)
        except OSError:
            if not progress.bytes_sent:
                raise
            # A server may respond and close before it has read the whole request.
            self._send_failed = True
        response = await self._receive()
        self._used_at = time.monotonic()
        return response

    def encode(self, request: effects.EndpointRequest, host: str, port: int) -> bytes:
        """Encode a request; raises ``h11.LocalProtocolError``."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        self._method = request.method
        headers = [
            (key.encode("latin-1"), value.encode("latin-1"))
            for key, value in strip_hop_by_hop(request.headers)
            if key.lower() not in ("host", "content-length")
        ]
        host_literal = f"[{host}]" if ":" in host else host
        headers.insert(0, (b"Host", f"{host_literal}:{port}".encode("ascii")))
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = (head, h11.Data(data=request.body), h11.EndOfMessage())
        return b"".join(self._parser.send(part) or b"" for part in parts)

    async def close(self) -> None:
        await self._stream.close()

    async def _send(self, data: bytes, progress: _SendProgress) -> None:
        remaining = memoryview(data)
        while remaining:
            sent = await self._stream.send(remaining)
            progress.bytes_sent += sent
            remaining = remaining[sent:]

    async def _receive(self) -> effects.EndpointResponse:
        head = await self._receive_head()
        self._check_framing(head)
        body = bytearray()
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError(
                    "connection closed before the end of the response body"
                )
            body += event.data
            self._check_size(len(body))
        headers = tuple(
            (key.decode("latin-1"), value.decode("latin-1")) for key, value in head.headers
        )
        return effects.EndpointResponse(head.status_code, strip_hop_by_hop(headers), bytes(body))

    async def _receive_head(self) -> h11.Response:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise h11.RemoteProtocolError(
                    "connection closed or upgraded before the response headers"
                )
            # The parser limits only headers that arrive in several segments.
            size = sum(len(key) + len(value) for key, value in event.headers)
            if size > self._config.max_header_bytes:
                raise h11.RemoteProtocolError(f"response headers too large: {size} bytes")
            if isinstance(event, h11.Response):
                return event
        raise h11.RemoteProtocolError(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    def _check_framing(self, head: h11.Response) -> None:
        """Reject a response whose end is ambiguous or that is too large.

        Without a length, the end of the body looks the same as a lost connection. With two lengths,
        recipients may disagree about the end (RFC 9112, section 6.3).
        """
        framing = {key: value for key, value in head.headers if key in _FRAMING_HEADERS}
        if len(framing) > 1:
            raise h11.RemoteProtocolError("response has both Content-Length and Transfer-Encoding")
        if head.status_code in _BODILESS_STATUSES or self._method == "HEAD":
            return
        if not framing:
            raise h11.RemoteProtocolError(
                "response has neither Content-Length nor Transfer-Encoding"
            )
        self._check_size(int(framing.get(b"content-length", 0)))

    def _check_size(self, size: int) -> None:
        if size > self._config.max_body_bytes:
            raise h11.RemoteProtocolError(f"response body too large: at least {size} bytes")

    async def _next_event(self) -> object:
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._stream.recv(RECEIVE_BYTES)
            self._has_peer_closed = not data
            self._parser.receive_data(data)


class _AddressPool:
    """The connection pool of one address."""

    def __init__(self, host: str, port: int, config: HttpConfig) -> None:
        self._host = host
        self._port = port
        self._config = config
        self._slots = curio.Semaphore(config.connections)
        self._idle: collections.deque[_Connection] = collections.deque()
        self._calls = 0

    @property
    def is_unused(self) -> bool:
        """Return whether there is neither a running call nor an idle connection."""
        return not self._calls and not self._idle

    async def call(
        self, request: effects.EndpointRequest, timeout_seconds: float
    ) -> effects.EndpointResponse:
        """Send one request; raises ``NotExecutedError`` or ``UnknownOutcomeError``."""
        if timeout_seconds <= 0:
            raise errors.NotExecutedError(
                f"no time left for the call (timeout {timeout_seconds} s)"
            )
        progress = _SendProgress()
        started_at = time.monotonic()
        self._calls += 1
        try:
            async with curio.timeout_after(timeout_seconds), self._slots:
                return await self._exchange(await self._acquire(), request, progress)
        except curio.TaskTimeout as error:
            # Open connections may go silent together; each would cost another call its timeout.
            await self.close_idle(started_at)
            raise progress.make_error(f"no response within {timeout_seconds} s") from error
        finally:
            self._calls -= 1

    async def close_idle(self, used_before: float) -> None:
        """Close the idle connections that were last used before this monotonic time."""
        while self._idle and self._idle[0].used_at < used_before:
            await self._idle.popleft().close()

    async def _exchange(
        self, connection: _Connection, request: effects.EndpointRequest, progress: _SendProgress
    ) -> effects.EndpointResponse:
        try:
            data = connection.encode(request, self._host, self._port)
            response = await connection.exchange(data, progress)
        except (OSError, h11.ProtocolError, UnicodeError) as error:
            await connection.close()
            is_closed = isinstance(error, ConnectionError) or connection.has_peer_closed
            raise progress.make_error(str(error), is_closed) from error
        except curio.CancelledError:
            await connection.close()
            raise
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            await connection.close()
        return response

    async def _acquire(self) -> _Connection:
        """Return a usable idle connection or open a new one."""
        oldest = time.monotonic() - self._config.idle_seconds
        while self._idle:
            connection = self._idle.pop()
            if connection.used_at >= oldest and connection.is_still_idle():
                return connection
            await connection.close()
        return await self._connect()

    def _open_stream(self) -> curio.socket.socket:
        """Return an unconnected socket; raises ``NotExecutedError``."""
        try:
            # Host names are refused: resolving one would block the process.
            ipaddress.ip_address(self._host)
            family = curio.socket.AF_INET6 if ":" in self._host else curio.socket.AF_INET
            return curio.socket.socket(family, curio.socket.SOCK_STREAM)
        except (OSError, ValueError) as error:
            raise errors.NotExecutedError(str(error)) from error

    async def _connect(self) -> _Connection:
        stream = self._open_stream()
        try:
            await stream.connect((self._host, self._port))
            # A connection to an unused local port can reach itself (TCP simultaneous open).
            if stream.getsockname() == stream.getpeername():
                raise ConnectionRefusedError("socket connected to itself")
            stream.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        except (OSError, OverflowError) as error:
            await stream.close()
            is_closed = isinstance(error, ConnectionError)
            raise errors.NotExecutedError(str(error), is_connection_closed=is_closed) from error
        except curio.CancelledError:
            await stream.close()
            raise
        return _Connection(stream, self._config)


class HttpClient:
    """Call servers by address and perform ``CallEndpoint`` effects."""

    def __init__(self, config: HttpConfig) -> None:
        self._config = config
        self._pools: dict[tuple[str, int], _AddressPool] = {}
        self._expiry_checked_at = time.monotonic()

    @classmethod
    def from_config(cls, config: HttpConfig) -> Self:
        return cls(config)

    async def call(
        self, host: str, port: int, request: effects.EndpointRequest, timeout_seconds: float
    ) -> effects.EndpointResponse:
        """Send one request and return the complete response.

        Raises ``NotExecutedError`` or ``UnknownOutcomeError``. The timeout covers the whole call,
        including the wait for a free connection.
        """
        await self._close_expired()
        pool = self._pools.get((host, port))
        if pool is None:
            pool = self._pools[(host, port)] = _AddressPool(host, port, self._config)
        return await pool.call(request, timeout_seconds)

    async def perform(self, effect: effects.CallEndpoint) -> events.Event:
        """Perform an endpoint call and return the resulting event."""
        try:
            response = await self.call(
                effect.host, effect.port, effect.request, effect.timeout_seconds
            )
        except errors.NotExecutedError:
            return events.EndpointUnreachable(effect.operation)
        except errors.UnknownOutcomeError:
            return events.EndpointConnectionLost(effect.operation)
        if is_refusal(response):
            return events.EndpointUnreachable(effect.operation)
        return events.EndpointAnswered(effect.operation, response)

    async def close(self) -> None:
        await self._close_idle(math.inf)

    async def _close_expired(self) -> None:
        """Close connections that exceed the idle time, including those of unused addresses."""
        now = time.monotonic()
        if now - self._expiry_checked_at >= self._config.idle_seconds:
            self._expiry_checked_at = now
            await self._close_idle(now - self._config.idle_seconds)

    async def _close_idle(self, used_before: float) -> None:
        for key, pool in list(self._pools.items()):
            await pool.close_idle(used_before)
            if pool.is_unused:
                self._pools.pop(key, None)


def is_refusal(response: effects.EndpointResponse) -> bool:
    """Return whether the server refused the request before processing any part of it."""
    return response.status == STATUS_UNAVAILABLE and any(
        key.lower() == PROCESSED_HEADER and value.lower() == NOT_PROCESSED
        for key, value in response.headers
    )
