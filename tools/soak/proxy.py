"""A loopback proxy that can delay, reset, or drop the traffic of a link in either direction."""

import enum
import socket
import struct
import threading

import curio

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.3
POLL_SECONDS = 0.02


class Mode(enum.Enum):
    """Fault mode of a link."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    REQUESTS_LOST = "requests-lost"
    RESPONSES_LOST = "responses-lost"
    UNRESPONSIVE = "unresponsive"


_DROPPING_MODES = {
    "request": (Mode.REQUESTS_LOST, Mode.UNRESPONSIVE),
    "response": (Mode.RESPONSES_LOST, Mode.UNRESPONSIVE),
}


class Link:
    """A listening port whose connections are forwarded to a target port."""

    def __init__(self, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self.mode = Mode.PASS
        self.silent_connections = 0
        """Number of directions of connections that have lost data, and so deliver nothing more."""


class Proxy:
    """Serve the links in a separate thread."""

    def __init__(self, links: list[Link]) -> None:
        self._links = links
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=curio.run, args=(self._serve,), daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Close all connections and listening ports."""
        self._is_stopping.set()
        self._thread.join()

    async def _serve(self) -> None:
        async with curio.TaskGroup(wait=any) as group:
            for link in self._links:
                await group.spawn(self._listen, link)
            await group.spawn(self._wait_for_stop)

    async def _wait_for_stop(self) -> None:
        while not self._is_stopping.is_set():
            await curio.sleep(POLL_SECONDS)

    async def _listen(self, link: Link) -> None:
        async def connect(client: curio.io.Socket, _: object) -> None:
            try:
                target = await curio.open_connection(HOST, link.target)
            except OSError:
                # Nothing listens on the target port; the caller sees a closed connection.
                return
            async with target, curio.TaskGroup(wait=any) as group:
                await group.spawn(self._copy, link, "request", client, target)
                await group.spawn(self._copy, link, "response", target, client)
                await group.spawn(self._reset, link, client)

        await curio.tcp_server(HOST, link.port, connect)

    async def _copy(
        self, link: Link, direction: str, source: curio.io.Socket, sink: curio.io.Socket
    ) -> None:
        try:
            while data := await source.recv(CHUNK_BYTES):
                if link.mode is Mode.DELAY:
                    await curio.sleep(DELAY_SECONDS)
                if link.mode in _DROPPING_MODES[direction]:
                    # A connection that has lost data delivers nothing more.
                    link.silent_connections += 1
                    await curio.Event().wait()
                await sink.sendall(data)
        except OSError:
            # One side has closed the connection, which closes the other side too.
            return

    async def _reset(self, link: Link, client: curio.io.Socket) -> None:
        while link.mode is not Mode.RESET:
            await curio.sleep(POLL_SECONDS)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
