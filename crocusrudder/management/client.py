"""HTTP client of the command line: h11 over curio."""

from collections.abc import Sequence
from typing import Any

import curio
import h11
import msgspec

from crocusrudder.management import errors

CONNECT_TIMEOUT_SECONDS = 3.0
RESPONSE_TIMEOUT_SECONDS = 12.0
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
READ_SIZE_BYTES = 65_536


class Response(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    body: bytes

    def decode(self) -> Any:
        """Return the decoded JSON body; raise ``MalformedResponseError``."""
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.MsgspecError, ValueError) as error:
            message = f"HTTP status {self.status}: the body is not valid JSON: {error}"
            raise errors.MalformedResponseError(message) from error


class Client:
    """Client for several equivalent processes.

    The next address is tried only if no connection could be opened, so nothing was sent.
    """

    def __init__(
        self, addresses: Sequence[str], response_timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS
    ) -> None:
        self._addresses = tuple(addresses)
        self._response_timeout_seconds = response_timeout_seconds

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses in the order in which they are tried."""
        return self._addresses

    def split_addresses(self) -> list["Client"]:
        """Return one client for each address."""
        return [Client([address], self._response_timeout_seconds) for address in self._addresses]

    def call(self, method: str, target: str, body: Any = None) -> Any:
        """Send a request and return the JSON body of a successful response.

        Raises ``RefusedError``, ``UnreachableError``, ``ResponseLostError`` or
        ``MalformedResponseError``.
        """
        response = self.fetch(method, target, body)
        decoded = response.decode()
        if 200 <= response.status < 300:
            return decoded
        if not isinstance(decoded, dict):
            raise errors.MalformedResponseError(
                f"HTTP status {response.status}: expected a JSON object that describes the error"
            )
        raise errors.RefusedError(response.status, decoded)

    def fetch(self, method: str, target: str, body: Any = None) -> Response:
        """Return the response of the first process that accepts a connection."""
        failures = []
        for address in self._addresses:
            try:
                return curio.run(self._send_request, address, method, target, body)
            except errors.UnreachableError as error:
                failures.append(error.message)
        hint = "give the address of a running entry with --entry"
        raise errors.UnreachableError("; ".join(failures) or "no entry address given", hint)

    async def _send_request(self, address: str, method: str, target: str, body: Any) -> Response:
        connection = await _connect(address)
        try:
            async with curio.timeout_after(self._response_timeout_seconds):
                return await _send_and_receive(connection, address, method, target, body)
        except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
            message = f"{address}: the response was lost ({error!r})"
            raise errors.ResponseLostError(message, "the request may have taken effect") from error
        finally:
            await connection.close()


async def _connect(address: str) -> Any:
    host, _, port = address.rpartition(":")
    try:
        async with curio.timeout_after(CONNECT_TIMEOUT_SECONDS):
            return await curio.open_connection(host, int(port))
    except (OSError, OverflowError, ValueError, curio.TaskTimeout) as error:
        raise errors.UnreachableError(f"{address}: {error!r}") from error


async def _send_and_receive(
    connection: Any, address: str, method: str, target: str, body: Any
) -> Response:
    protocol = h11.Connection(h11.CLIENT)
    data = b"" if body is None else msgspec.json.encode(body)
    headers = [("Host", address), ("Connection", "close"), ("Content-Length", str(len(data)))]
    if data:
        headers.append(("Content-Type", "application/json"))
    request = h11.Request(method=method, target=target, headers=headers)
    parts = (request, h11.Data(data=data), h11.EndOfMessage())
    await connection.sendall(b"".join(protocol.send(part) for part in parts))
    return await _read_response(connection, protocol)


async def _read_response(connection: Any, protocol: h11.Connection) -> Response:
    status = 0
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await connection.recv(READ_SIZE_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("connection closed before the end of the response")
        if len(body) > MAX_RESPONSE_BYTES:
            raise h11.RemoteProtocolError(f"response of more than {MAX_RESPONSE_BYTES} bytes")
