"""Deployments of real processes on loopback, with resource usage read from ``/proc``."""

import contextlib
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import msgspec

from benchmarks import world
from crocusrudder.platform import errors
from tools.demo import deployment

BASE_PORT = 27_000
MAX_AGENTS = 56
"""Keeps the total, with the platform and the entries, below 60 processes."""
READY_SECONDS = 25.0
_COUNTER = re.compile(r"^crocusrudder_(\w+?)(?:_total)? (\S+)$", re.MULTILINE)


class BenchmarkError(Exception):
    """Raised if a process does not become ready in time or rejects a call."""


class Layout(deployment.Layout, frozen=True):
    """Addresses of a deployment of one cell in one data centre."""

    entry_count: int = 1
    agent_count: int = MAX_AGENTS

    @property
    def entries(self) -> list[deployment.EntryAddress]:
        first = self.base_port + 10
        return [
            deployment.EntryAddress(
                f"entry-{number}", world.DATA_CENTRE, first + 2 * number, first + 2 * number + 1
            )
            for number in range(self.entry_count)
        ]

    @property
    def agents(self) -> list[deployment.AgentAddress]:
        first = self.base_port + 100
        return [
            deployment.AgentAddress(
                f"agent-{number}",
                f"worker-{number}",
                world.DATA_CENTRE,
                first + 3 * number,
                first + 3 * number + 1,
                first + 3 * number + 2,
            )
            for number in range(self.agent_count)
        ]

    def make_entry_settings(self, place: deployment.EntryAddress) -> dict:
        """Return the settings of an entry for one cell, with the default leases."""
        cells = [{"cell": f"cell-{world.DATA_CENTRE}", "data_centre": world.DATA_CENTRE}]
        return {**super().make_entry_settings(place), "cells": cells}


class Usage(msgspec.Struct, frozen=True):
    """Totals of a process, read at the monotonic time ``read_at``."""

    read_at: float
    cpu_seconds: float
    resident_mb: float
    counters: dict[str, float]


class MeteredDeployment(deployment.Deployment):
    """A deployment whose entries and agents count the envelopes that they send and receive."""

    async def wait(
        self, what: str, condition: Callable[[], Awaitable[bool]], limit: float = READY_SECONDS
    ) -> float:
        """Wait until a condition holds and return the elapsed seconds.

        Raise `BenchmarkError` after ``limit`` seconds.
        """
        start = time.monotonic()
        while not await condition():
            if time.monotonic() - start > limit:
                raise BenchmarkError(f"{what}: timed out after {limit:.0f} s")
            await curio.sleep(0.05)
        return time.monotonic() - start

    async def start_all(self) -> None:
        """Start the platform and the entries, wait until they are healthy, and submit records."""
        self.start_platform()
        await self.wait("platform", lambda: self.is_healthy(self.layout.base_port, "/health"))
        for place in self.layout.entries:
            self.start_entry(place)
        for place in self.layout.entries:
            await self.wait(place.name, lambda port=place.http_port: self.is_healthy(port))
        for number, record in enumerate(world.RECORDS):
            await self.post_json("/v1/records", {"change": f"bench-{number}", "record": record})

    async def post_json(self, target: str, content: dict) -> dict:
        """Post JSON to the first entry; raise `BenchmarkError` unless the status is below 300."""
        port = self.layout.entries[0].http_port
        headers = (("content-type", "application/json"), ("author", "benchmark"))
        answer = await self.call("POST", port, target, headers, json.dumps(content).encode())
        if answer.status >= 300:
            raise BenchmarkError(
                f"{target}: unexpected HTTP status {answer.status}: {answer.body!r}"
            )
        return json.loads(answer.body)

    async def add_agents(self, places: list[deployment.AgentAddress]) -> None:
        """Start agents and wait until they are healthy."""
        for place in places:
            self.start_agent(place)
        for place in places:
            await self.wait(place.name, lambda port=place.http_port: self.is_healthy(port))

    async def announce(self, place: deployment.AgentAddress, count: int) -> None:
        """Announce ``count`` endpoints to an agent once; endpoint processes do so every 2 s.

        Errors of single announcements are ignored.
        """
        for number in range(count):
            body = {
                "service": "dispatch",
                "schema_version": 2,
                "host": "127.0.0.1",
                "port": place.endpoint_port,
            }
            with contextlib.suppress(errors.PlatformError):
                target = f"/v1/endpoints/{place.worker}-{number}"
                await self.call("PUT", place.http_port, target, (), json.dumps(body).encode())

    async def read_usage(self, name: str, port: int) -> Usage:
        text = (await self.call("GET", port, "/v1/metrics")).body.decode()
        counters = {match[1]: float(match[2]) for match in _COUNTER.finditer(text)}
        pid = self.get_pid(name)
        return Usage(time.monotonic(), read_cpu(pid), read_resident_mb(pid), counters)

    def _start(self, name: str, arguments: list[str]) -> None:
        if arguments[:2] == ["-m", "crocusrudder"]:
            arguments = ["-m", "benchmarks.metered", *arguments[2:]]
        environment = {**os.environ, **self.make_environment(name)}
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
            )

    def make_environment(self, name: str) -> dict[str, str]:
        """Return the environment variables that ``benchmarks.metered`` reads."""
        return {"BENCH_PROFILE": str(self._folder / f"{name}.prof")}


def read_cpu(pid: int) -> float:
    """Return the processor seconds used by all threads of a process.

    The 10 ms clock ticks of ``/proc/<pid>/stat`` are too coarse to measure 1% over a few seconds.
    """
    threads = pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in threads) / 1e9


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024


@contextlib.asynccontextmanager
async def open_deployment(
    entries: int = 1,
    task_lease_seconds: float = 300.0,
    kind: type[MeteredDeployment] = MeteredDeployment,
) -> AsyncIterator[MeteredDeployment]:
    """Start a deployment without agents and kill all its processes on exit."""
    layout = Layout(
        BASE_PORT,
        entry_count=entries,
        task_lease_seconds=task_lease_seconds,
    )
    with tempfile.TemporaryDirectory() as folder:
        metered_deployment = kind(layout, pathlib.Path(folder))
        try:
            await metered_deployment.start_all()
            yield metered_deployment
        finally:
            metered_deployment.kill_all()
