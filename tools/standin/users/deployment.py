"""A deployment of entry and agent processes on the stand-in of the users' platform."""

import base64
import collections
import http.client
import itertools
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import types
from collections.abc import Mapping
from collections.abc import Sequence

import curio
import msgspec

from crocusrudder.core import effects
from crocusrudder.platform import errors
from crocusrudder.platform import http as platform_http

HOST = "127.0.0.1"
PREFIX = "/confirm/"
SERVER_PORTS = range(12_000, 29_000)
"""Ports below the range that Linux uses for outgoing connections, which starts at 32,768, and below
the fixed ports of tests, which start at 29,510."""
TIMEOUT_SECONDS = 60.0
"""Time after which a condition counts as not met."""


class PortReservation:
    """Free ports that no other reservation on the machine takes until they are released.

    No outgoing connection can take them either while a process is stopped.
    """

    def __init__(self, count: int) -> None:
        self._sockets: dict[int, socket.socket] = {}
        for port in random.SystemRandom().sample(SERVER_PORTS, len(SERVER_PORTS)):
            if len(self._sockets) == count:
                break
            self._try_port(port)

    @property
    def ports(self) -> list[int]:
        return list(self._sockets)

    def release(self) -> None:
        """Let others take the ports."""
        for reserved in self._sockets.values():
            reserved.close()

    def _try_port(self, port: int) -> None:
        probe = socket.socket()
        try:
            probe.bind((HOST, port))
        except OSError:
            probe.close()
            return
        # Set after the bind, which has to fail beside the socket of another reservation. Servers
        # set the same option, so they can listen beside a socket that is only bound.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sockets[port] = probe


class Deployment:
    """Entries, agents with their workers, and the store.

    ``store_ports`` maps processes to the port through which they reach the store, as of a proxy;
    others use ``store_port``, which is chosen here if it is 0. ``count_per_role`` is the number of
    entries, and of agents. ``data_centres`` are those of the agents in turn, the first that of all
    entries. ``settings`` are added to those of each process. With ``max_lease_ms``, workers allow
    such leases, and each incarnation of one has a clock of its own.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        run_seconds: float = 0.3,
        count_per_role: int = 2,
        store_ports: Mapping[str, int] = types.MappingProxyType({}),
        store_port: int = 0,
        data_centres: Sequence[str] = ("bilbao",),
        settings: Mapping[str, object] = types.MappingProxyType({}),
        max_lease_ms: int = 0,
    ) -> None:
        self._folder = folder
        self._settings = {**settings, **({"lease_max_ms": max_lease_ms} if max_lease_ms else {})}
        self._max_lease_ms = max_lease_ms
        self._store_ports = store_ports
        self._processes: dict[str, subprocess.Popen] = {}
        self._connections: dict[tuple[int, str], http.client.HTTPConnection] = {}
        self._spawn_counts: collections.Counter[str] = collections.Counter()
        self._reservation = PortReservation(8 * count_per_role + 1)
        ports = iter(self._reservation.ports)
        self.store_port = store_port or next(ports)
        numbers = range(1, count_per_role + 1)
        self.entries = {f"entry-{n}": [next(ports) for _ in range(4)] for n in numbers}
        self.agents = {f"agent-{n}": [next(ports) for _ in range(4)] for n in numbers}
        self._data_centres = dict(zip(self.agents, itertools.cycle(data_centres), strict=False))
        self._data_centres |= dict.fromkeys(self.entries, data_centres[0])
        self._write_platform_settings(run_seconds)
        for name, (peer_port, inspection_port, caller_port, ready_port) in self.entries.items():
            addresses = {
                "caller_address": f"{HOST}:{caller_port}",
                "ready_address": f"{HOST}:{ready_port}",
            }
            self._write_settings(name, peer_port, inspection_port, addresses)
        for name, (peer_port, inspection_port, heartbeat_port, worker_port) in self.agents.items():
            addresses = {
                "heartbeat_address": f"{HOST}:{heartbeat_port}",
                "worker_address": f"{HOST}:{worker_port}",
            }
            self._write_settings(name, peer_port, inspection_port, addresses)

    def start(self) -> None:
        """Start all processes and wait until the entries are ready."""
        self._spawn("platform", "-m", "tools.standin.users.platform")
        for name in self.entries:
            self.start_entry(name)
        for name in self.agents:
            self.start_agent(name)
        for name in self.entries:
            self.wait_until(name, lambda name=name: self.is_ready(name))

    def start_entry(self, name: str) -> None:
        self._spawn(name, "-m", "crocusrudder", "workflow-entry")

    def start_agent(self, name: str) -> None:
        self._spawn(name, "-m", "crocusrudder", "workflow-agent")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)

    def wait_for_exit(self, name: str) -> int:
        """Wait until a process has ended and return its exit code."""
        return self._processes.pop(name).wait(TIMEOUT_SECONDS)

    def has_started(self, name: str) -> bool:
        """Return whether the latest process of this name has logged that it has started."""
        log = (self._folder / f"{name}.log").read_text()
        return log.count('"event":"started"') == self._spawn_counts[name]

    def list_exited(self) -> list[str]:
        """Return the processes that have exited by themselves."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    def kill(self, name: str) -> None:
        self._processes[name].kill()
        self._processes.pop(name).wait()

    def stop(self) -> None:
        """Stop all processes; kill those that do not end in time."""
        for process in self._processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self._processes.values():
            try:
                process.wait(TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for connection in self._connections.values():
            connection.close()
        self._reservation.release()

    def is_ready(self, name: str) -> bool:
        return self._call(self.entries[name][3], "GET", "/")[0] == 200

    def is_agent_serving(self, agent: str) -> bool:
        """Return whether an agent responds on its inspection port."""
        return self._call(self.agents[agent][1], "GET", "/v1/state")[0] == 200

    def call(self, entry: str, method: str, path: str, content: object = None) -> tuple[int, dict]:
        """Call an entry as a caller does; the status is 0 if there was no response.

        A thread uses its connection to an entry until that fails or is closed by the entry.
        """
        connection = self._connections.setdefault(
            (threading.get_ident(), entry),
            http.client.HTTPConnection(HOST, self.entries[entry][2], timeout=5.0),
        )
        body = None if content is None else msgspec.json.encode(content)
        try:
            connection.request(method, PREFIX + path, body, dict(platform_http.JSON_HEADERS))
            response = connection.getresponse()
            payload = response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return 0, {}
        return response.status, msgspec.json.decode(payload) if payload else {}

    def find_owner(self) -> str | None:
        """Return the entry that owns the workers, or None."""
        for name, (_, inspection_port, *_) in self.entries.items():
            status, state = self._call(inspection_port, "GET", "/v1/state")
            if status == 200 and state["owned"]:
                return name
        return None

    def list_starts(self) -> list[str]:
        """Return the tasks that workers have started, with one element for each start."""
        _, starts = self._call(self.store_port, "GET", "/standin/starts")
        return [task for task, _ in starts]

    def list_runs(self) -> list[dict]:
        """Return the runs of all tasks with worker, times and outcome, as the workers saw them."""
        return self._call(self.store_port, "GET", "/standin/runs")[1]

    def set_store_available(self, available: bool) -> None:
        """Make the store refuse or accept all requests."""
        self._call(self.store_port, "PUT", "/standin/up" if available else "/standin/down")

    def crash_worker(self, worker: str) -> None:
        """Make a worker crash; a new incarnation follows at its address."""
        self._call(self.store_port, "PUT", f"/standin/crash/{worker}")

    def rebirth_worker(self, worker: str) -> None:
        """Make a worker crash; a new incarnation follows under the same id."""
        self._call(self.store_port, "PUT", f"/standin/rebirth/{worker}")

    def darken_worker(self, worker: str, seconds: float) -> None:
        """Make a worker silent for a time; it starts again under the same id."""
        self._call(self.store_port, "PUT", f"/standin/dark/{worker}/{seconds}")

    def begin_late_writes(self, seed: str) -> None:
        """Make the store leave some writes unanswered, and perform them seconds later."""
        self._call(self.store_port, "PUT", f"/standin/late-writes/{seed}")

    def end_late_writes(self) -> None:
        self._call(self.store_port, "PUT", "/standin/writes-in-time")

    def read_heartbeat(self, worker: str) -> tuple[str, dict]:
        """Return the id of the current incarnation of a worker and its latest heartbeat."""
        content = self._call(self.store_port, "GET", f"/standin/heartbeat/{worker}")[1]
        return content["id"], content["heartbeat"]

    def call_agent(self, agent: str, target: str, body: bytes) -> int:
        """Call an agent on the address for heartbeats; the status is 0 if there is no response."""
        connection = http.client.HTTPConnection(HOST, self.agents[agent][2], timeout=5.0)
        try:
            connection.request("POST", target, body, dict(platform_http.JSON_HEADERS))
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def set_odd_entry(self, worker: str, field: str, entry: bytes) -> None:
        """Add an entry to a list of runs of a worker's incarnation; an empty one removes it."""
        encoded = base64.b64encode(entry).decode()
        self._call(self.store_port, "PUT", f"/standin/odd-entry/{worker}/{field}", encoded)

    def set_odd_percents(self, worker: str, is_odd: bool) -> None:
        """Let a worker's incarnation list its runs with negative percents, or with valid ones."""
        action = "odd-percents" if is_odd else "percents"
        self._call(self.store_port, "PUT", f"/standin/{action}/{worker}")

    def write_row(self, table: str, key: str, value: str | None) -> None:
        """Write a row with a value that may be no base64, or remove it."""
        row = {"table": table, "part": "", "key": key}
        change = {"remove": [row]} if value is None else {"setKeys": [row | {"value": value}]}
        self._call(self.store_port, "POST", "/crocusrudder/rows-tx", change)

    def set_worker_capacity(self, worker: str, millicores: int) -> None:
        """Change the capacity that the current incarnation of a worker reports."""
        self._call(self.store_port, "PUT", f"/standin/capacity/{worker}/{millicores}")

    def set_worker_slowdown(self, worker: str, factor: float) -> None:
        """Let the runs that a worker starts from now on take ``factor`` times as long."""
        self._call(self.store_port, "PUT", f"/standin/slowdown/{worker}/{factor}")

    def set_evacuated(self, data_centre: str, evacuated: bool) -> None:
        """Evacuate a data centre, or take it back, as the operator does."""
        action = "evacuate" if evacuated else "take-back"
        self._call(self.store_port, "PUT", f"/standin/{action}/{data_centre}")

    def wait_until(self, description: str, condition) -> None:
        """Wait until a condition holds; raise ``AssertionError`` after ``TIMEOUT_SECONDS``."""
        limit = time.monotonic() + TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > limit:
                raise AssertionError(f"{description}: not within {TIMEOUT_SECONDS} s")
            time.sleep(0.1)

    def _call(
        self, port: int, method: str, target: str, content: object = None
    ) -> tuple[int, dict]:
        body = b"" if content is None else msgspec.json.encode(content)

        async def exchange() -> effects.EndpointResponse:
            client = platform_http.HttpClient.from_config(platform_http.HttpConfig(1))
            request = effects.EndpointRequest(method, target, platform_http.JSON_HEADERS, body)
            try:
                return await client.call(HOST, port, request, 5.0)
            finally:
                await client.close()

        try:
            response = curio.run(exchange)
        except errors.PlatformError:
            return 0, {}
        return response.status, msgspec.json.decode(response.body) if response.body else {}

    def _spawn(self, name: str, *arguments: str) -> None:
        self._spawn_counts[name] += 1
        log = (self._folder / f"{name}.log").open("ab")
        with log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments, "--settings", str(self._folder / f"{name}.json")],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _write_settings(
        self, name: str, peer_port: int, inspection_port: int, addresses: dict[str, str]
    ) -> None:
        content = {
            "process": name,
            "data_centre": self._data_centres[name],
            "host": HOST,
            "peer_port": peer_port,
            "inspection_port": inspection_port,
            "store_address": f"{HOST}:{self._store_ports.get(name, self.store_port)}",
            **addresses,
            **self._settings,
        }
        (self._folder / f"{name}.json").write_bytes(msgspec.json.encode(content))

    def _write_platform_settings(self, run_seconds: float) -> None:
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
            "max_lease_ms": self._max_lease_ms,
            "workers": [
                {
                    "name": f"w-{name}",
                    "port": ports[3],
                    "agent_port": ports[2],
                    "data_centre": self._data_centres[name],
                }
                for name, ports in self.agents.items()
            ],
            "configuration": {
                "version": 1,
                "routes": routes,
                "services": [{"name": "dispatch", "enforcesCapacity": False}],
            },
        }
        (self._folder / "platform.json").write_bytes(msgspec.json.encode(content))
