"""Start, kill, suspend and stop the processes of a small deployment on the loopback interface."""

import itertools
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time

import msgspec

from crocusrudder.core import effects
from crocusrudder.platform import errors
from crocusrudder.platform import http

HOST = "127.0.0.1"
REGION = "cantabrico"
DATA_CENTRES = ("bilbao", "santander")
SERVICE = "dispatch"
CALL_TIMEOUT_SECONDS = 8.0
FIRST_BASE_PORT = 24_000
LAST_BASE_PORT = 28_900
PORTS_PER_LAYOUT = 100
STOP_TIMEOUT_SECONDS = 30.0


class DeploymentError(Exception):
    """No free ports were found, or a process did not stop in time."""


class EntryAddress(msgspec.Struct, frozen=True):
    """Name, data centre and ports of an entry."""

    name: str
    data_centre: str
    wire_port: int
    http_port: int


class AgentAddress(msgspec.Struct, frozen=True):
    """Names, data centre and ports of an agent, its worker and its endpoint."""

    name: str
    worker: str
    data_centre: str
    wire_port: int
    http_port: int
    endpoint_port: int


class Layout(msgspec.Struct, frozen=True):
    """All addresses of a deployment; ``base_port`` is the first of 100 ports."""

    base_port: int
    entries_per_data_centre: int = 2
    workers_per_data_centre: int = 2
    task_lease_seconds: float = 5.0
    capacity: tuple[int, int, int] = (8_000, 16_000, 0)

    @property
    def platform_address(self) -> str:
        return f"{HOST}:{self.base_port}"

    @property
    def entries(self) -> list[EntryAddress]:
        names = [
            (f"entry-{data_centre}-{number}", data_centre)
            for data_centre in DATA_CENTRES
            for number in range(1, self.entries_per_data_centre + 1)
        ]
        first = self.base_port + 10
        return [
            EntryAddress(name, data_centre, first + 2 * index, first + 2 * index + 1)
            for index, (name, data_centre) in enumerate(names)
        ]

    @property
    def agents(self) -> list[AgentAddress]:
        names = [
            (f"{data_centre}-{number}", data_centre)
            for data_centre in DATA_CENTRES
            for number in range(1, self.workers_per_data_centre + 1)
        ]
        first = self.base_port + 30
        return [
            AgentAddress(
                f"agent-{name}",
                f"worker-{name}",
                data_centre,
                first + 3 * index,
                first + 3 * index + 1,
                first + 3 * index + 2,
            )
            for index, (name, data_centre) in enumerate(names)
        ]

    def list_ports(self) -> list[int]:
        """Return all ports that the deployment listens on."""
        entries = [(entry.wire_port, entry.http_port) for entry in self.entries]
        agents = [
            (agent.wire_port, agent.http_port, agent.endpoint_port, agent.endpoint_port + 40)
            for agent in self.agents
        ]
        return [self.base_port, *itertools.chain.from_iterable([*entries, *agents])]

    def make_peers(self, own_name: str = "") -> list[dict]:
        """Return the entries in the form of the settings, without ``own_name``."""
        return [
            {
                "process": entry.name,
                "address": f"{HOST}:{entry.wire_port}",
                "data_centre": entry.data_centre,
            }
            for entry in self.entries
            if entry.name != own_name
        ]

    def make_entry_settings(self, entry: EntryAddress) -> dict:
        return {
            "process": entry.name,
            "region": REGION,
            "data_centre": entry.data_centre,
            "wire_port": entry.wire_port,
            "http_port": entry.http_port,
            "peers": self.make_peers(entry.name),
            "cells": [
                {"cell": f"cell-{data_centre}", "data_centre": data_centre}
                for data_centre in DATA_CENTRES
            ],
            "store": {
                "table_address": self.platform_address,
                "object_address": self.platform_address,
            },
            "leases": {"task_lease_seconds": self.task_lease_seconds},
        }

    def make_agent_settings(self, agent: AgentAddress) -> dict:
        millicores, memory_mb, accelerators = self.capacity
        return {
            "process": agent.name,
            "worker": agent.worker,
            "cell": f"cell-{agent.data_centre}",
            "rack": f"rack-{agent.data_centre}",
            "region": REGION,
            "data_centre": agent.data_centre,
            "wire_port": agent.wire_port,
            "http_port": agent.http_port,
            "entries": self.make_peers(),
            "runtime_address": self.platform_address,
            "object_address": self.platform_address,
            "capacity": {
                "millicores": millicores,
                "memory_mb": memory_mb,
                "accelerators": accelerators,
            },
            "task_lease_seconds": self.task_lease_seconds,
        }


def find_layout(first_port: int = FIRST_BASE_PORT) -> Layout:
    """Return a layout of which no port is in use; raises ``DeploymentError`` if there is none.

    Ports may be in use by an earlier run that was killed.
    """
    for base_port in range(first_port, LAST_BASE_PORT, PORTS_PER_LAYOUT):
        layout = Layout(base_port)
        if all(map(_is_port_free, layout.list_ports())):
            return layout
    raise DeploymentError(
        f"every range of {PORTS_PER_LAYOUT} ports from {first_port} to {LAST_BASE_PORT} is in use"
    )


def _is_port_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class Deployment:
    """The running processes; each writes its log to a file in ``folder``."""

    def __init__(self, layout: Layout, folder: pathlib.Path) -> None:
        self._layout = layout
        self._folder = folder
        self._processes: dict[str, subprocess.Popen] = {}
        self._client = http.HttpClient.from_config(http.HttpConfig())

    @property
    def layout(self) -> Layout:
        return self._layout

    @property
    def running_processes(self) -> list[str]:
        """Return the names of the running processes."""
        return [name for name, process in self._processes.items() if process.poll() is None]

    def get_pid(self, name: str) -> int:
        return self._processes[name].pid

    def start_platform(self) -> None:
        millicores, memory_mb, accelerators = self._layout.capacity
        self._start(
            "platform",
            ["-m", "tools.standin.platform", "--port", str(self._layout.base_port)]
            + ["--millicores", str(millicores), "--memory-mb", str(memory_mb)]
            + ["--accelerators", str(accelerators)],
        )

    def start_entry(self, entry: EntryAddress) -> None:
        settings = self._write_settings(entry.name, self._layout.make_entry_settings(entry))
        self._start(entry.name, ["-m", "crocusrudder", "entry", "--settings", settings])

    def start_agent(self, agent: AgentAddress) -> None:
        settings = self._write_settings(agent.name, self._layout.make_agent_settings(agent))
        self._start(agent.name, ["-m", "crocusrudder", "agent", "--settings", settings])

    def start_endpoint(
        self, agent: AgentAddress, schema_version: int = 1, delay_ms: int = 20
    ) -> None:
        """Start an example endpoint for an agent."""
        port = agent.endpoint_port + 40 * (schema_version - 1)
        self._start(
            f"endpoint-{agent.worker}-v{schema_version}",
            ["-m", "tools.standin.endpoint", "--port", str(port), "--service", SERVICE]
            + ["--agent", f"{HOST}:{agent.http_port}", "--delay-ms", str(delay_ms)]
            + ["--schema-version", str(schema_version)],
        )

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self._processes[name].kill()
        self._processes[name].wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)

    def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit code.

        Kills it and raises ``DeploymentError`` after ``STOP_TIMEOUT_SECONDS``.
        """
        process = self._processes[name]
        process.terminate()
        try:
            return process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            raise DeploymentError(f"{name} did not stop in {STOP_TIMEOUT_SECONDS:.0f} s") from None

    def kill_all(self) -> None:
        """Kill all running processes, so that none outlives the command."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run an operator command against all entries and return its exit code and output."""
        entries = ",".join(f"{HOST}:{entry.http_port}" for entry in self._layout.entries)
        return subprocess.run(
            [sys.executable, "-m", "crocusrudder", *arguments],
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
            env={"CROCUSRUDDER_ENTRY": entries, "CROCUSRUDDER_AUTHOR": "dispatch-lead"},
        )

    def write_json(self, name: str, content: dict) -> str:
        """Write a JSON file into the deployment's folder and return its path."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(content, indent=2), encoding="utf-8")
        return str(path)

    async def call(
        self,
        method: str,
        port: int,
        target: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> effects.EndpointResponse:
        """Send one HTTP request to a process."""
        request = effects.EndpointRequest(method, target, headers, body)
        return await self._client.call(HOST, port, request, timeout_seconds)

    async def get_json(self, port: int, target: str) -> dict:
        """Return the decoded JSON body of a process's response."""
        return json.loads((await self.call("GET", port, target)).body)

    async def set_faults(self, **faults: object) -> None:
        """Replace the fault switches of the platform."""
        body = json.dumps(faults).encode()
        await self.call("PUT", self._layout.base_port, "/faults", (), body)

    async def is_healthy(self, port: int, target: str = "/v1/health") -> bool:
        """Return whether a process responds to ``target`` with status 200 within 1 s."""
        try:
            return (await self.call("GET", port, target, timeout_seconds=1.0)).status == 200
        except errors.PlatformError:
            return False

    def _write_settings(self, name: str, settings: dict) -> str:
        return self.write_json(f"settings-{name}", settings)

    def _start(self, name: str, arguments: list[str]) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )


def format_elapsed(start: float) -> str:
    """Return the time since ``start`` in seconds, as text."""
    return f"{time.monotonic() - start:.1f} s"
