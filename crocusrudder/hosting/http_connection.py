"""HTTP/1.1 connection of the server: h11's state machine over a curio socket."""

import re
import socket
from typing import Protocol

import curio
import curio.io
import curio.traps
import h11
import msgspec

from crocusrudder.hosting import errors
from crocusrudder.hosting import http_messages

RECEIVE_BYTES = 16 * 1024
LINGER_SECONDS = 1.0
LINGER_BYTES = 256 * 1024

_FRAMING_HEADERS = {
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
_BODILESS_STATUSES = {204, 304}
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


class ServerLimits(msgspec.Struct, frozen=True):
    """Size limits, connection limit and timeouts of a server."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    buffered_bytes: int = 8 * 1024 * 1024
    """Size of the request bodies being read, summed over all connections."""
    connections: int = 1_000
    read_seconds: float = 10.0
    write_seconds: float = 30.0
    idle_seconds: float = 60.0


class ByteBudget(Protocol):
    """Limit on the total size of the request bodies being read by all connections."""

    def try_add(self, size: int) -> bool:
        """Reserve ``size`` bytes if they fit; return whether they did."""
        ...

    def remove(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        ...


class Connection:
    """Read requests from one client and write the responses to it."""

    def __init__(
        self, client: curio.io.Socket, limits: ServerLimits, body_budget: ByteBudget
    ) -> None:
        self._client = client
        self._limits = limits
        self._body_budget = body_budget
        self._state = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._method = ""

    @property
    def has_buffered_bytes(self) -> bool:
        """Return whether h11 already holds bytes of the next request."""
        return bool(self._state.trailing_data[0])

    async def wait_readable(self) -> None:
        """Wait until the client has sent data or closed the connection."""
        await curio.traps._read_wait(self._client._fileno)

    async def wait_closed(self) -> None:
        """Return once the client has closed its side; never return if it sends data instead."""
        await self.wait_readable()
        if self.peek() != b"":
            await curio.Event().wait()

    def peek(self) -> bytes | None:
        """Return the next byte unread, ``b""`` if the client has closed, or None without data."""
        try:
            return self._client._socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""

    async def read_request(self) -> http_messages.Request | None:
        """Return the next complete request, or None if the client closed before sending any of it.

        Raises ``HttpError`` if the request is malformed, too large or too slow, or if the request
        bodies being read exceed the server's limit.
        """
        try:
            async with curio.timeout_after(self._limits.read_seconds):
                return await self._read_request()
        except curio.TaskTimeout:
            raise errors.ReadTimeoutError(
                f"the request was not complete within {self._limits.read_seconds:g} s"
            ) from None
        except h11.RemoteProtocolError as error:
            raise _translate_protocol_error(error) from error

    async def write_response(self, response: http_messages.Response, close: bool) -> bool:
        """Write a complete response; return whether the connection can serve another request.

        Raises ``OSError`` or ``curio.TaskTimeout`` if the client does not read it.
        """
        if self._state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        try:
            data = self._encode(response, close)
        except h11.LocalProtocolError as error:
            failed = errors.HandlerFailedError(f"the response is not valid: {error}")
            data = self._encode(http_messages.make_error_response(failed), close)
        async with curio.timeout_after(self._limits.write_seconds):
            await self._client.sendall(data)
        if self._state.our_state is h11.DONE and self._state.their_state is h11.DONE:
            self._state.start_next_cycle()
            return True
        return False

    async def close(self) -> None:
        """Close the connection after the client has had time to read the last response.

        Closing a socket with unread data resets the connection, which may discard a response in
        transit. Data that the client still sends is therefore read for up to ``LINGER_SECONDS``
        and ``LINGER_BYTES``.
        """
        try:
            async with curio.ignore_after(LINGER_SECONDS):
                self._client._socket.shutdown(socket.SHUT_WR)
                remaining = LINGER_BYTES
                while remaining > 0:
                    data = await self._client.recv(RECEIVE_BYTES)
                    if not data:
                        break
                    remaining -= len(data)
        except OSError:
            pass
        finally:
            await self._client.close()

    async def _read_request(self) -> http_messages.Request | None:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        self._method = head.method.decode("ascii")
        self._check_head(head)
        body = await self._read_body()
        headers = tuple(
            (name.decode("ascii"), value.decode("latin-1")) for name, value in head.headers
        )
        target = head.target.decode("ascii")
        return http_messages.Request(self._method, target, headers, body)

    def _check_head(self, head: h11.Request) -> None:
        size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
        if size > self._limits.header_bytes:
            raise errors.HeadersTooLargeError(
                f"target and headers have {size} bytes, the limit is {self._limits.header_bytes}"
            )
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.body_bytes:
                raise errors.BodyTooLargeError(
                    f"Content-Length is {int(value)}, the limit is {self._limits.body_bytes}"
                )

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        try:
            while isinstance(event := await self._next_event(), h11.Data):
                if not self._body_budget.try_add(len(event.data)):
                    raise errors.ServerBusyError(
                        f"bodies being read exceed {self._limits.buffered_bytes} bytes in total"
                    )
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise errors.BodyTooLargeError(
                        f"the body exceeds {self._limits.body_bytes} bytes"
                    )
                parts.append(bytes(event.data))
        finally:
            self._body_budget.remove(size)
        return b"".join(parts)

    async def _next_event(self) -> object:
        while True:
            event = self._state.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._state.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await self._client.sendall(self._state.send(continue_response))
            self._state.receive_data(await self._client.recv(RECEIVE_BYTES))

    def _encode(self, response: http_messages.Response, close: bool) -> bytes:
        sendable = [
            header
            for header in response.headers
            if header[0].lower() not in _FRAMING_HEADERS and _is_sendable(header)
        ]
        bodiless = response.status in _BODILESS_STATUSES
        if not bodiless:
            sendable.append(("content-length", str(len(response.body))))
        if close:
            sendable.append(("connection", "close"))
        headers = [
            (name.encode("ascii"), value.strip().encode("latin-1")) for name, value in sendable
        ]
        data = self._state.send(h11.Response(status_code=response.status, headers=headers))
        if response.body and not bodiless and self._method != "HEAD":
            data += self._state.send(h11.Data(data=response.body))
        return data + self._state.send(h11.EndOfMessage())


def _is_sendable(header: tuple[str, str]) -> bool:
    name, value = header
    return bool(_HEADER_NAME.fullmatch(name) and _HEADER_VALUE.fullmatch(value.strip()))


def _translate_protocol_error(error: h11.RemoteProtocolError) -> errors.HttpError:
    if error.error_status_hint == 431:
        return errors.HeadersTooLargeError(str(error))
    if error.error_status_hint == 501:
        return errors.UnsupportedRequestError(str(error))
    return errors.MalformedRequestError(str(error))
