"""A deployment of real entries and agents on the stand-in of the users' platform."""

import collections
import contextlib
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import types
from collections.abc import Mapping

import curio
import msgspec

from crocusrudder.core import effects
from crocusrudder.platform import errors
from crocusrudder.platform import http

HOST = "127.0.0.1"
PREFIX = "/confirm/"
SERVER_PORTS = range(12_000, 32_000)
"""Below the ports that Linux gives to outgoing connections, from 32,768 on."""
LIMIT_SECONDS = 60.0
"""Time after which something counts as never happening."""


def find_ports(count: int) -> list[int]:
    """Return free ports that no outgoing connection takes while a process is away."""
    with contextlib.ExitStack() as stack:
        found = []
        for port in random.SystemRandom().sample(SERVER_PORTS, len(SERVER_PORTS)):
            probe = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                probe.bind((HOST, port))
                found.append(port)
            if len(found) == count:
                break
        return found


class Deployment:
    """Entries, agents with their workers, and the store.

    ``store_ports`` gives the port of the store for a process, as of a proxy before it.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        run_seconds: float = 0.3,
        count: int = 2,
        store_ports: Mapping[str, int] = types.MappingProxyType({}),
        store_port: int = 0,
    ) -> None:
        self._folder = folder
        self._store_ports = store_ports
        self._processes: dict[str, subprocess.Popen] = {}
        self._spawned: collections.Counter[str] = collections.Counter()
        ports = iter(find_ports(8 * count + 1))
        self.store_port = store_port or next(ports)
        numbers = range(1, count + 1)
        self.entries = {f"entry-{n}": [next(ports) for _ in range(4)] for n in numbers}
        self.agents = {f"agent-{n}": [next(ports) for _ in range(4)] for n in numbers}
        self._write_platform(run_seconds)
        for name, (peer, inspection, caller, ready) in self.entries.items():
            addresses = {
                "caller_address": f"{HOST}:{caller}",
                "ready_address": f"{HOST}:{ready}",
            }
            self._write_settings(name, peer, inspection, addresses)
        for name, (peer, inspection, heartbeat, worker) in self.agents.items():
            addresses = {
                "heartbeat_address": f"{HOST}:{heartbeat}",
                "worker_address": f"{HOST}:{worker}",
            }
            self._write_settings(name, peer, inspection, addresses)

    def start(self) -> None:
        """Start all processes."""
        self._spawn("platform", "-m", "tools.standin.users.platform")
        for name in self.entries:
            self.start_entry(name)
        for name in self.agents:
            self.start_agent(name)
        for name in self.entries:
            self.wait(name, lambda name=name: self.is_ready(name))

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        self._spawn(name, "-m", "crocusrudder", "workflow-entry")

    def start_agent(self, name: str) -> None:
        """Start an agent."""
        self._spawn(name, "-m", "crocusrudder", "workflow-agent")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def join(self, name: str) -> int:
        """Wait for the end of a process and return its exit code."""
        return self._processes.pop(name).wait(LIMIT_SECONDS)

    def has_started(self, name: str) -> bool:
        """Return whether the newest process of this name has logged that it has started."""
        log = (self._folder / f"{name}.log").read_text()
        return log.count('"event":"started"') == self._spawned[name]

    def list_ended(self) -> list[str]:
        """Return the processes that have ended by themselves."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    def kill(self, name: str) -> None:
        """Kill a process."""
        self._processes[name].kill()
        self._processes.pop(name).wait()

    def stop(self) -> None:
        """Stop all processes."""
        for process in self._processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self._processes.values():
            try:
                process.wait(LIMIT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def is_ready(self, name: str) -> bool:
        """Return whether an entry is ready."""
        return self._call(self.entries[name][3], "GET", "/")[0] == 200

    def is_answering(self, agent: str) -> bool:
        """Return whether an agent serves its state."""
        return self._call(self.agents[agent][1], "GET", "/v1/state")[0] == 200

    def call(self, entry: str, method: str, path: str, content: object = None) -> tuple[int, dict]:
        """Call an entry as a caller; the status is 0 if there was no answer."""
        return self._call(self.entries[entry][2], method, PREFIX + path, content)

    def find_owner(self) -> str | None:
        """Return the entry that owns the workers."""
        for name, (_, inspection, *_) in self.entries.items():
            status, state = self._call(inspection, "GET", "/v1/state")
            if status == 200 and state["owned"]:
                return name
        return None

    def list_starts(self) -> list[str]:
        """Return the tasks that workers have started, once a start."""
        _, starts = self._call(self.store_port, "GET", "/standin/starts")
        return [task for task, _ in starts]

    def list_runs(self) -> list[dict]:
        """Return each run of a task with its worker, times and end, as the workers saw it."""
        return self._call(self.store_port, "GET", "/standin/runs")[1]

    def switch_store(self, up: bool) -> None:
        """Turn the store off or on."""
        self._call(self.store_port, "PUT", "/standin/up" if up else "/standin/down")

    def wait(self, what: str, holds) -> None:
        """Wait until a condition holds; raises ``AssertionError``."""
        limit = time.monotonic() + LIMIT_SECONDS
        while not holds():
            if time.monotonic() > limit:
                raise AssertionError(f"{what}: not within {LIMIT_SECONDS} s")
            time.sleep(0.1)

    def _call(
        self, port: int, method: str, target: str, content: object = None
    ) -> tuple[int, dict]:
        body = b"" if content is None else msgspec.json.encode(content)

        async def exchange() -> effects.EndpointResponse:
            client = http.HttpClient.from_config(http.HttpConfig(1))
            request = effects.EndpointRequest(method, target, http.JSON_HEADERS, body)
            try:
                return await client.call(HOST, port, request, 5.0)
            finally:
                await client.close()

        try:
            response = curio.run(exchange)
        except errors.PlatformError:
            return 0, {}
        return response.status, msgspec.json.decode(response.body) if response.body else {}

    def _spawn(self, name: str, *words: str) -> None:
        self._spawned[name] += 1
        log = (self._folder / f"{name}.log").open("ab")
        with log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *words, "--settings", str(self._folder / f"{name}.json")],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _write_settings(
        self, name: str, peer: int, inspection: int, addresses: dict[str, str]
    ) -> None:
        content = {
            "process": name,
            "data_centre": "bilbao",
            "host": HOST,
            "peer_port": peer,
            "inspection_port": inspection,
            "store_address": f"{HOST}:{self._store_ports.get(name, self.store_port)}",
            **addresses,
        }
        (self._folder / f"{name}.json").write_bytes(msgspec.json.encode(content))

    def _write_platform(self, run_seconds: float) -> None:
        routes = [
            {
                "name": "confirm",
                "host": HOST,
                "pathPrefix": PREFIX,
                "service": "dispatch",
                "maxAttempts": 3,
            }
        ]
        content = {
            "store_port": self.store_port,
            "service": "dispatch",
            "run_seconds": run_seconds,
            "workers": [
                {"name": f"w-{name}", "port": ports[3], "agent_port": ports[2]}
                for name, ports in self.agents.items()
            ],
            "configuration": {
                "version": 1,
                "routes": routes,
                "services": [{"name": "dispatch"}],
            },
        }
        (self._folder / "platform.json").write_bytes(msgspec.json.encode(content))
