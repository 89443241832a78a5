"""Stand-in of the users' platform for the cases: the project's own, with more troubles.

A worker has the capacity of the users' sheets and may have labels of its own. A task may name how
long it runs in its spec (``seconds=1.3``), and the history of a run shows when its end was
acknowledged. Workers can go down and up by turns, or go dark and start again under their ids, and
answers of the store to writes of a job's row can be lost, with the write done late, if its
condition holds by then.
"""

import pathlib
import time

import click
import curio
import msgspec

from crocusrudder.hosting import http_connection
from crocusrudder.hosting import http_messages
from tools.standin.users import host
from tools.standin.users import platform
from tools.standin.users import store
from tools.standin.users import worker

SECONDS_PREFIX = "seconds="
CAPACITY = {"cpu": 64_000, "memMb": 250_000, "gpu": 0}
"""Capacity of the workers on the users' sheets."""
TABLE_OF_JOBS = "jobs"
SILENCE_SECONDS = 30.0
"""Time for which a call is left without an answer; callers give up long before."""
RETRANSMISSION_SECONDS = 0.2
"""Time after the return of a dark machine at which it resets connections with unanswered bytes."""


class ReviewWorker(worker.UsersWorker):
    """A worker with labels, whose tasks may name their duration."""

    def __init__(self, name: str, labels: list[str], *arguments: object) -> None:
        super().__init__(name, *arguments)
        self._labels = labels
        self._lapsed_at = 0.0
        """Last time at which the lease was over."""

    def make_heartbeat(self) -> dict:
        return super().make_heartbeat() | {"labels": self._labels, "capacity": CAPACITY}

    def _start(self, content: dict) -> http_messages.Response:
        run = (content["task"], content["runId"])
        is_new = run not in self._running
        response = super()._start(content)
        spec = content["spec"]
        if is_new and response.status == 200 and spec.startswith(SECONDS_PREFIX):
            self._running[run] = time.monotonic() + float(spec.removeprefix(SECONDS_PREFIX))
        return response

    def _advance(self) -> None:
        if self.clock_ms > self._lease_expires_ms:
            self._lapsed_at = time.monotonic()
        super()._advance()

    async def _poll_runs(self, content: dict) -> http_messages.Response:
        for number, task, run, *_ in self._ended:
            known = self.history[(task, run)]
            # An end is not taken note of if the lease was over between the two.
            if number <= content.get("lastSeen", 0) and known["end"] > self._lapsed_at:
                known.setdefault("noted", time.monotonic())
        return await super()._poll_runs(content)


class _Incarnation(host._CrashableServer):
    """The server of one incarnation, which may also end as that of a machine without power does.

    Its connections are silent then. Once the machine is back, those are reset on which a call
    arrives, or had arrived while it was dark.
    """

    def __init__(self, port: int, users_worker: ReviewWorker) -> None:
        super().__init__(host.HOST, port, self._serve_worker)
        self._worker = users_worker
        self._is_dark = False
        self._returned_at: float | None = None

    async def darken(self, seconds: float) -> None:
        """Be silent for a time; nothing listens at its end."""
        self._is_dark = True
        await self._accept_task.cancel()
        await curio.sleep(seconds)
        await self._listener.close()
        self._returned_at = time.monotonic()

    async def _serve_worker(self, request: http_messages.Request) -> http_messages.Response:
        if self._is_dark:
            while self._returned_at is None:
                await curio.sleep(worker.POLL_SECONDS)
            await curio.sleep(
                max(self._returned_at + RETRANSMISSION_SECONDS - time.monotonic(), 0.0)
            )
            raise ConnectionResetError
        response = await self._worker.handle(request)
        if self._is_dark:
            # The call had arrived before, so nothing is sent again on its connection.
            await curio.sleep(SILENCE_SECONDS)
            raise ConnectionResetError
        return response

    async def _call_handler(self, request: http_messages.Request) -> http_messages.Response:
        return await self._serve_worker(request)

    async def _serve(
        self, connection: http_connection.Connection, request: http_messages.Request
    ) -> bool:
        try:
            return await super()._serve(connection, request)
        except curio.TaskError as error:
            raise ConnectionResetError from error


class ReviewHost(host.WorkerHost):
    """A worker's address, with a chosen time from a crash to the next incarnation."""

    def __init__(
        self, address: host.WorkerAddress, labels: list[str], service: str, run_seconds: float
    ) -> None:
        super().__init__(address, service, run_seconds)
        self._labels = labels
        self._down_seconds = host.RESTART_SECONDS
        self._dark_seconds: float | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        name = ""
        while True:
            if self._dark_seconds is None:
                name = f"{self._address.name}-{len(self.incarnations) + 1}"
            self._dark_seconds = None
            current = ReviewWorker(name, self._labels, *self._worker_arguments)
            self.incarnations.append(current)
            server = _Incarnation(self._address.port, current)
            await server.start()
            running = await curio.spawn(current.run, daemon=True)
            await current.crashing.wait()
            dark_seconds = self._dark_seconds
            await running.cancel()
            current.end_all("crashed")
            if dark_seconds is None:
                await server.crash()
                await curio.sleep(self._down_seconds)
            else:
                await server.darken(dark_seconds)

    async def darken(self, seconds: float) -> None:
        """Go dark for a time, and start again under the same id."""
        self._dark_seconds = seconds
        await self.incarnations[-1].crashing.set()

    async def flap(self, period_seconds: float, seconds: float) -> None:
        """Go down and up for a time; each period begins with its half of being down."""
        self._down_seconds = period_seconds / 2
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await self.incarnations[-1].crashing.set()
            await curio.sleep(period_seconds)


class ReviewStore(store.UsersStore):
    """A store that does the writes of chosen rows late and leaves them unanswered."""

    def __init__(self) -> None:
        super().__init__()
        self.late_key = ""
        self.late_seconds = 0.0
        self.writes = 0
        self.late_writes = 0

    async def transact(self, content: dict) -> http_messages.Response:
        self.writes += 1
        rows = content.get("setKeys", ())
        if not any((row["table"], row["key"]) == (TABLE_OF_JOBS, self.late_key) for row in rows):
            return await super().transact(content)
        self.late_writes += 1
        await curio.spawn(self._transact_late, content, daemon=True)
        await curio.sleep(SILENCE_SECONDS)
        return http_messages.Response(503)

    async def _transact_late(self, content: dict) -> None:
        await curio.sleep(self.late_seconds)
        await super().transact(content)


class ReviewPlatform(platform.UsersPlatform):
    """The store and all workers in one process."""

    def __init__(self, settings: platform.PlatformSettings, labels: dict[str, list[str]]) -> None:
        super().__init__(settings)
        self._store = ReviewStore()
        self._hosts = {
            address.name: ReviewHost(
                address, labels.get(address.name, ["a"]), settings.service, settings.run_seconds
            )
            for address in settings.workers
        }

    async def _handle(self, request: http_messages.Request) -> http_messages.Response:
        match request.method, request.path:
            case "PUT", ("standin", "flap", name, period_ms, for_ms):
                flapping = self._hosts[name].flap(int(period_ms) / 1_000, int(for_ms) / 1_000)
                await curio.spawn(flapping, daemon=True)
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "darken", name, for_ms):
                await self._hosts[name].darken(int(for_ms) / 1_000)
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "late", key, delay_ms):
                self._store.late_key = key
                self._store.late_seconds = int(delay_ms) / 1_000
                self._store.writes = self._store.late_writes = 0
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "in-time"):
                self._store.late_key = ""
                counts = {"writes": self._store.writes, "late": self._store.late_writes}
                return http_messages.make_json_response(200, counts)
        return await super()._handle(request)


@click.command()
@click.option("--settings", type=click.Path(path_type=pathlib.Path), required=True)
def main(settings: pathlib.Path) -> None:
    """Serve the store and the workers that the settings list."""
    content = msgspec.json.decode(settings.read_bytes())
    labels = content.get("labels", {})
    decoded = msgspec.convert(content, type=platform.PlatformSettings)
    curio.run(ReviewPlatform(decoded, labels).run)


if __name__ == "__main__":
    main()
