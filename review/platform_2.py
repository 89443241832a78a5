"""Stand-in of the users' platform for the second review: the store and the workers.

It is the project's stand-in with workers of the size in the users' sheets. Their lists and calls
follow the pages where the project's stand-in is simpler: ends are listed 500 at a time, an end
counts as noted once ``lastSeen`` reaches it, and a start may be left without an answer and be
carried out late.
"""

import os
import pathlib
import time

import click
import curio
import msgspec

from crocusrudder.hosting import http_messages
from tools.standin.users import host
from tools.standin.users import platform
from tools.standin.users import worker

LISTED_ENDS = 500
"""Ends in one response, as the users' pages say."""
MILLICORES = 64_000
MEMORY_MB = 250_000
"""Size of a worker in the users' sheets."""
RESTART_SECONDS = 1.0
"""Time from the crash of a worker to its next incarnation."""
SILENCE_SECONDS = 30.0
"""Time for which a call is left without an answer; agents give up long before."""


class Late:
    """One start that is left without an answer and carried out later."""

    spec = os.environ.get("LATE_SPEC", "")
    """Spec of the task whose first start is late; empty for none."""
    seconds = float(os.environ.get("LATE_SECONDS", "0"))
    arrived_at: float | None = None
    worker_name = ""


class Worker(worker.UsersWorker):
    """One incarnation of a worker that pages its ends and records when they were noted."""

    latest: "dict[str, Worker]" = {}
    """The latest incarnation under each id."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._capacities = [(time.monotonic(), MILLICORES)]
        self.latest[self.name] = self

    def make_heartbeat(self) -> dict:
        heartbeat = super().make_heartbeat()
        heartbeat["capacity"]["memMb"] = MEMORY_MB
        return heartbeat

    async def handle(self, request: http_messages.Request) -> http_messages.Response:
        content = msgspec.json.decode(request.body)
        is_start = request.path[-1] == "run-start"
        if is_start and Late.spec and content["spec"] == Late.spec and Late.arrived_at is None:
            Late.arrived_at = time.monotonic()
            Late.worker_name = self.name
            await curio.spawn(_carry_out_late, self.name, request, daemon=True)
            await curio.sleep(SILENCE_SECONDS)
        return await super().handle(request)

    async def _poll_runs(self, content: dict) -> http_messages.Response:
        self._note_ends(content.get("lastSeen", 0))
        response = await super()._poll_runs(content)
        lists = msgspec.json.decode(response.body)
        lists["ended"] = lists["ended"][:LISTED_ENDS]
        return http_messages.make_json_response(response.status, lists)

    def _note_ends(self, last_seen: int) -> None:
        for number, *run, _, _ in self._ended:
            if number <= last_seen:
                self.history[tuple(run)]["noted"] = time.monotonic()


async def _carry_out_late(name: str, request: http_messages.Request) -> None:
    """Let the worker with this id carry out a call, whichever incarnation that is by then."""
    await curio.sleep(Late.seconds)
    current = Worker.latest[name]
    if not current.crashing.is_set():
        await current.handle(request)


class Platform(platform.UsersPlatform):
    """The store and the workers, with what the review asks of them."""

    async def _handle(self, request: http_messages.Request) -> http_messages.Response:
        if request.path == ("standin", "late"):
            content = {"arrived_at": Late.arrived_at, "worker": Late.worker_name}
            return http_messages.make_json_response(200, content)
        return await super()._handle(request)


@click.command()
@click.option("--settings", type=click.Path(path_type=pathlib.Path), required=True)
def main(settings: pathlib.Path) -> None:
    """Serve the store and the workers that the settings list."""
    worker.UsersWorker = Worker
    host.RESTART_SECONDS = RESTART_SECONDS
    content = msgspec.json.decode(settings.read_bytes(), type=platform.PlatformSettings)
    curio.run(Platform(content).run)


if __name__ == "__main__":
    main()
