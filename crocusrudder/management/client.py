"""HTTP client of the operators' commands: h11 over curio."""

from collections.abc import Sequence
from typing import Any

import curio
import h11
import msgspec

from crocusrudder.management import errors

CONNECT_SECONDS = 3.0
ANSWER_SECONDS = 12.0
MAX_ANSWER_BYTES = 32 * 1024 * 1024
READ_BYTES = 65_536


class Answer(msgspec.Struct, frozen=True):
    """A whole HTTP answer."""

    status: int
    body: bytes

    def decode(self) -> Any:
        """Return the JSON body; raise ``MalformedAnswerError``."""
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.MsgspecError, ValueError) as error:
            message = f"status {self.status} with a body that is not JSON: {error}"
            raise errors.MalformedAnswerError(message) from error


class Client:
    """Call one of several equal processes; the next one is tried if nothing could be sent."""

    def __init__(self, addresses: Sequence[str], answer_seconds: float = ANSWER_SECONDS) -> None:
        self._addresses = tuple(addresses)
        self._answer_seconds = answer_seconds

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses in the order in which they are tried."""
        return self._addresses

    def call(self, method: str, target: str, body: Any = None) -> Any:
        """Return the JSON body of a successful answer.

        Raises ``RefusedError``, ``UnreachableError``, ``AnswerLostError`` or
        ``MalformedAnswerError``.
        """
        answer = self.fetch(method, target, body)
        decoded = answer.decode()
        if 200 <= answer.status < 300:
            return decoded
        if not isinstance(decoded, dict):
            raise errors.MalformedAnswerError(f"status {answer.status} without an error")
        raise errors.RefusedError(answer.status, decoded)

    def fetch(self, method: str, target: str, body: Any = None) -> Answer:
        """Return the answer of the first process that accepts a connection."""
        failures = []
        for address in self._addresses:
            try:
                return curio.run(self._exchange, address, method, target, body)
            except errors.UnreachableError as error:
                failures.append(error.message)
        hint = "name a running entry with --entry"
        raise errors.UnreachableError("; ".join(failures) or "no address", hint)

    async def _exchange(self, address: str, method: str, target: str, body: Any) -> Answer:
        connection = await _connect(address)
        try:
            async with curio.timeout_after(self._answer_seconds):
                return await _send_and_read(connection, address, method, target, body)
        except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
            message = f"{address}: the answer was lost ({error!r})"
            raise errors.AnswerLostError(message, "the call may have taken effect") from error
        finally:
            await connection.close()


async def _connect(address: str) -> Any:
    host, _, port = address.rpartition(":")
    try:
        async with curio.timeout_after(CONNECT_SECONDS):
            return await curio.open_connection(host, int(port))
    except (OSError, OverflowError, ValueError, curio.TaskTimeout) as error:
        raise errors.UnreachableError(f"{address}: {error!r}") from error


async def _send_and_read(
    connection: Any, address: str, method: str, target: str, body: Any
) -> Answer:
    protocol = h11.Connection(h11.CLIENT)
    data = b"" if body is None else msgspec.json.encode(body)
    headers = [("Host", address), ("Connection", "close"), ("Content-Length", str(len(data)))]
    if data:
        headers.append(("Content-Type", "application/json"))
    request = h11.Request(method=method, target=target, headers=headers)
    parts = (request, h11.Data(data=data), h11.EndOfMessage())
    await connection.sendall(b"".join(protocol.send(part) for part in parts))
    return await _read_answer(connection, protocol)


async def _read_answer(connection: Any, protocol: h11.Connection) -> Answer:
    status = 0
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await connection.recv(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return Answer(status, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("closed before the end of the answer")
        if len(body) > MAX_ANSWER_BYTES:
            raise h11.RemoteProtocolError(f"an answer of more than {MAX_ANSWER_BYTES} bytes")
