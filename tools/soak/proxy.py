"""A loopback proxy that delays, resets, cuts one way or silences the connections of one link."""

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
    """How a link behaves."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    REQUESTS_LOST = "requests-lost"
    ANSWERS_LOST = "answers-lost"
    SILENT = "silent"


_LOST = {
    "request": (Mode.REQUESTS_LOST, Mode.SILENT),
    "answer": (Mode.ANSWERS_LOST, Mode.SILENT),
}


class Link:
    """One listening port in front of a port behind."""

    def __init__(self, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self.mode = Mode.PASS


class Proxy:
    """Serve links in a thread of its own."""

    def __init__(self, links: list[Link]) -> None:
        self._links = links
        self._thread = threading.Thread(target=curio.run, args=(self._serve,), daemon=True)

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    async def _serve(self) -> None:
        async with curio.TaskGroup() as group:
            for link in self._links:
                await group.spawn(self._listen, link)

    async def _listen(self, link: Link) -> None:
        async def connect(client: curio.io.Socket, _: object) -> None:
            try:
                target = await curio.open_connection(HOST, link.target)
            except OSError:
                # Nothing listens behind; the caller sees the connection closed.
                return
            async with target, curio.TaskGroup(wait=any) as group:
                await group.spawn(self._copy, link, "request", client, target)
                await group.spawn(self._copy, link, "answer", target, client)
                await group.spawn(self._reset, link, client)

        await curio.tcp_server(HOST, link.port, connect)

    async def _copy(
        self, link: Link, way: str, source: curio.io.Socket, sink: curio.io.Socket
    ) -> None:
        try:
            while data := await source.recv(CHUNK_BYTES):
                if link.mode is Mode.DELAY:
                    await curio.sleep(DELAY_SECONDS)
                if link.mode in _LOST[way]:
                    # Nothing further arrives on a connection that has lost data.
                    await curio.Event().wait()
                await sink.sendall(data)
        except OSError:
            # Either side has closed the connection, which ends the other side too.
            return

    async def _reset(self, link: Link, client: curio.io.Socket) -> None:
        while link.mode is not Mode.RESET:
            await curio.sleep(POLL_SECONDS)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
