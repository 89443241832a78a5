"""HTTP/1.1 server on h11 and curio that passes complete requests to an async handler."""

from collections.abc import Awaitable
from collections.abc import Callable

import curio
import curio.io
import curio.socket
import curio.task
from loguru import logger

from crocusrudder.hosting import errors
from crocusrudder.hosting import http_connection
from crocusrudder.hosting import http_messages

BACKLOG = 256
ACCEPT_PAUSE_SECONDS = 0.1
"""Delay after a failed accept, for example when the process is out of file descriptors."""

Handler = Callable[[http_messages.Request], Awaitable[http_messages.Response]]
CountEvent = Callable[[str], None]


class _BodyBudget:
    """Total size of the request bodies being read, with a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._size = 0

    @property
    def size(self) -> int:
        return self._size

    def try_add(self, size: int) -> bool:
        if self._size + size > self._limit:
            return False
        self._size += size
        return True

    def remove(self, size: int) -> None:
        self._size -= size


class Server:
    """Serve HTTP on one address.

    ``handler`` is called with each complete request, and cancelled if the client closes the
    connection before the response. ``count`` is called with the name of a counter to increment.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        count: CountEvent = lambda name: None,
        limits: http_connection.ServerLimits | None = None,
    ) -> None:
        self._address = (host, port)
        self._handler = handler
        self._count = count
        self._limits = limits or http_connection.ServerLimits()
        self._body_budget = _BodyBudget(self._limits.buffered_bytes)
        self._listener: curio.io.Socket | None = None
        self._accept_task: curio.task.Task | None = None
        self._tasks: set[curio.task.Task] = set()
        self._idle_tasks: set[curio.task.Task] = set()
        self._stopping = False
        self._connection_ended = curio.Event()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks)

    @property
    def is_stopping(self) -> bool:
        """Return whether ``stop`` has been called."""
        return self._stopping

    @property
    def buffered_bytes(self) -> int:
        """Return the total size of the request bodies being read."""
        return self._body_budget.size

    async def start(self) -> None:
        """Bind the address and accept connections in the background.

        Raises ``ServerStartError`` if the address cannot be bound.
        """
        listener = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
        listener.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
        try:
            listener.bind(self._address)
            listener.listen(BACKLOG)
        except OSError as error:
            await listener.close()
            raise errors.ServerStartError(f"cannot listen on {self._address}: {error}") from error
        self._listener = listener
        self._accept_task = await curio.spawn(self._accept_forever, daemon=True)

    async def stop(self) -> None:
        """Stop accepting, finish the requests in flight and wait until all connections close."""
        self._stopping = True
        await self._accept_task.cancel()
        await self._listener.close()
        for task in list(self._idle_tasks):
            # A task in any other state has been woken by a request, which must still be served.
            if task.state == "READ_WAIT":
                await task.cancel(blocking=False)
        while self._tasks:
            self._connection_ended.clear()
            await self._connection_ended.wait()

    async def close(self, seconds: float) -> None:
        """Stop, waiting at most ``seconds`` for the requests in flight.

        Without this, the process may accept connections while curio shuts down, which fails.
        """
        await curio.ignore_after(seconds, self.stop)

    async def _accept_forever(self) -> None:
        while True:
            try:
                client, _ = await self._listener.accept()
            except OSError:
                self._count("http_accept_failures")
                await curio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            self._count("http_connections")
            task = await curio.spawn(self._serve_client, client, daemon=True)
            self._tasks.add(task)

    async def _serve_client(self, client: curio.io.Socket) -> None:
        task = await curio.current_task()
        connection = http_connection.Connection(client, self._limits, self._body_budget)
        try:
            await self._serve_requests(connection, task)
        except (OSError, curio.TaskTimeout):
            self._count("http_connections_broken")
        except Exception:
            self._count("http_connections_failed")
            logger.exception("http connection failed")
        finally:
            await connection.close()
            self._tasks.discard(task)
            await self._connection_ended.set()

    async def _serve_requests(
        self, connection: http_connection.Connection, task: curio.task.Task
    ) -> None:
        if len(self._tasks) > self._limits.connections:
            await self._refuse(
                connection,
                errors.ServerBusyError(f"more than {self._limits.connections} connections"),
            )
            return
        while await self._wait_for_request(connection, task):
            try:
                request = await connection.read_request()
            except errors.HttpError as error:
                await self._refuse(connection, error)
                return
            if request is None or not await self._serve(connection, request):
                return

    async def _wait_for_request(
        self, connection: http_connection.Connection, task: curio.task.Task
    ) -> bool:
        """Wait for the next request; return False if the server stops before any byte of it.

        Raises ``curio.TaskTimeout`` after ``idle_seconds``.
        """
        if connection.has_buffered_bytes:
            return True
        if self._stopping:
            return bool(connection.peek())
        self._idle_tasks.add(task)
        try:
            async with curio.timeout_after(self._limits.idle_seconds):
                await connection.wait_readable()
        except curio.CancelledError:
            # A request received just before the stop is still served.
            return bool(connection.peek())
        finally:
            self._idle_tasks.discard(task)
        return True

    async def _serve(
        self, connection: http_connection.Connection, request: http_messages.Request
    ) -> bool:
        """Respond to a request; return whether the connection can serve another one."""
        async with curio.TaskGroup(wait=any) as group:
            handling = await group.spawn(self._call_handler, request)
            await group.spawn(connection.wait_closed)
        if group.completed is not handling:
            self._count("http_clients_left")
            return False
        self._count("http_responses")
        return await connection.write_response(handling.result, self._stopping)

    async def _call_handler(self, request: http_messages.Request) -> http_messages.Response:
        try:
            return await self._handler(request)
        except curio.CancelledError:
            raise
        except errors.HttpError as error:
            return http_messages.make_error_response(error)
        except Exception as error:
            logger.exception("http handler failed")
            failed = errors.HandlerFailedError(f"the handler raised {type(error).__name__}")
            return http_messages.make_error_response(failed)

    async def _refuse(
        self, connection: http_connection.Connection, error: errors.HttpError
    ) -> None:
        self._count(f"http_refused_{error.status}")
        await connection.write_response(http_messages.make_error_response(error), close=True)
