"""The address of a worker, with crashes of its process and a new incarnation after each."""

import contextlib
import socket
import struct

import curio
import curio.io
import msgspec

from crocusrudder.hosting import http_connection
from crocusrudder.hosting import http_messages
from crocusrudder.hosting import http_server
from tools.standin.users import worker

HOST = "127.0.0.1"
CRASH_DELAY_SECONDS = 0.01
"""Time from the start of a deadly task to the crash, as on the users' platform."""
SILENCE_SECONDS = 30.0
"""Time for which a silent server leaves a call open; callers give up long before."""
RESTART_SECONDS = 3.0
"""Time from a crash to the next incarnation, as on the users' platform."""


class WorkerAddress(msgspec.Struct, frozen=True):
    """Name and ports of a worker and its agent."""

    name: str
    port: int
    agent_port: int
    data_centre: str = "bilbao"


class _CrashableServer(http_server.Server):
    """A server that can end as a killed process does: its connections are reset."""

    async def crash(self) -> None:
        self._stopping = True
        await self._accept_task.cancel()
        await self._listener.close()
        for task in list(self._tasks):
            await task.cancel()

    async def _serve_client(self, client: curio.io.Socket) -> None:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        task = await curio.current_task()
        connection = http_connection.Connection(client, self._limits, self._body_budget)
        try:
            with contextlib.suppress(OSError, curio.TaskTimeout):
                await self._serve_requests(connection, task)
        finally:
            await client.close()
            self._tasks.discard(task)


class _SilentServer(_CrashableServer):
    """A server that can also go silent, as that of a machine without power does.

    Its open connections stay silent for good, and calls in progress get no response.
    """

    def __init__(self, host: str, port: int, handler: http_server.Handler) -> None:
        super().__init__(host, port, self._handle_unless_silent)
        self._worker_handler = handler
        self._is_silent = False

    async def silence(self, seconds: float) -> None:
        """Answer nothing from now on; another server can listen after some time."""
        self._is_silent = True
        await self._accept_task.cancel()
        await curio.sleep(seconds)
        await self._listener.close()

    async def _handle_unless_silent(self, request: http_messages.Request) -> http_messages.Response:
        response = http_messages.Response(503)
        if not self._is_silent:
            response = await self._worker_handler(request)
        if self._is_silent:
            await curio.sleep(SILENCE_SECONDS)
        return response


class WorkerHost:
    """Serve one incarnation of a worker after the other."""

    def __init__(self, address: WorkerAddress, service: str, run_seconds: float) -> None:
        self._address = address
        self._worker_arguments = (service, address.agent_port, run_seconds, address.data_centre)
        self.incarnations: list[worker.UsersWorker] = []
        self.keeps_id = False
        """Whether the next incarnation starts under the id of the one before."""
        self.max_lease_ms = 0
        """Longest lease, if each incarnation has a clock of its own; 0 otherwise."""
        self._dark_seconds: float | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        name = ""
        while True:
            if not self.keeps_id:
                name = f"{self._address.name}-{len(self.incarnations) + 1}"
            self.keeps_id = False
            current = worker.UsersWorker(name, *self._worker_arguments)
            if self.max_lease_ms:
                current.use_own_clock(self.max_lease_ms)
            self.incarnations.append(current)
            server = _SilentServer(HOST, self._address.port, current.handle)
            await server.start()
            running = await curio.spawn(current.run, daemon=True)
            await current.crashing.wait()
            dark_seconds, self._dark_seconds = self._dark_seconds, None
            if dark_seconds is not None:
                self.keeps_id = True
                await running.cancel()
                current.end_all("crashed")
                await server.silence(dark_seconds)
                continue
            await curio.sleep(CRASH_DELAY_SECONDS)
            await server.crash()
            await running.cancel()
            current.end_all("crashed")
            await curio.sleep(RESTART_SECONDS)

    async def darken(self, seconds: float) -> None:
        """Let the worker's machine be without power for a time; it keeps its id."""
        if not self.incarnations[-1].crashing.is_set():
            self._dark_seconds = seconds
            await self.incarnations[-1].crashing.set()
