"""A small deployment on loopback addresses: the project's programs as processes, and stand-ins.

Each machine has an address of its own in 127.0.0.0/8, and the ports are the same on all machines.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time

from review import platform_3

ZONES = ("bilbao", "santander", "oviedo")
QUEUE_HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "dispatch"
STORE_HOST = "127.20.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script."""
ROOT = pathlib.Path(__file__).resolve().parent.parent


class Machine:
    """A machine of the system and the process on it."""

    def __init__(self, name, role, host, settings):
        self.name = name
        self.role = role
        self.host = host
        self.settings = settings
        self.process = None
        self.log = None


class Fleet:
    """Fronts, sides with a worker each, and the store."""

    def __init__(self, folder, fronts=3, sides=4, labels=(), lease_max_ms=6_000):
        self._folder = pathlib.Path(folder)
        self._scratch = tempfile.TemporaryDirectory()
        self.record = platform_3.Record(self._folder / "record.txt")
        self.ports = find_ports(5)
        self.is_disturbed = os.environ.get("TROUBLE", "1") != "0"
        store_port = self.ports[4]
        self.store = platform_3.Store(STORE_HOST, store_port)
        self.board = platform_3.Board()
        self.fronts = {}
        self.sides = {}
        self.workers = {}
        base = {"store_address": f"{STORE_HOST}:{store_port}", "lease_max_ms": lease_max_ms}
        for number in range(fronts):
            host = f"127.21.0.{number + 1}"
            zone = ZONES[number % 3]
            name = f"front-{zone}-{number + 1}"
            settings = self._make_settings(name, zone, host)
            settings |= {
                "caller_address": f"{host}:{self.ports[0]}",
                "ready_address": f"{host}:{self.ports[1]}",
                "cpu_share": 0.537,
                "cpu_speed": 2,
                **base,
            }
            self.fronts[name] = Machine(name, "workflow-entry", host, settings)
        for number in range(sides):
            host = f"127.22.0.{number + 1}"
            zone = ZONES[number % 3]
            name = f"side-{zone}-{number + 1}"
            settings = self._make_settings(name, zone, host)
            settings |= {
                "heartbeat_address": f"{host}:{self.ports[0]}",
                "worker_address": f"{host}:{self.ports[1]}",
                "cpu_share": 0.323,
                "cpu_speed": 2,
                "far_factor": 1.5,
                **base,
            }
            self.sides[name] = Machine(name, "workflow-agent", host, settings)
            own = list(labels[number]) if number < len(labels) else ["a", f"r{number % 3 + 1}-1"]
            self.workers[name] = platform_3.Worker(
                self.record,
                self.board,
                name,
                host,
                (self.ports[1], self.ports[0]),
                SERVICE,
                zone,
                own,
                {"cpu": 64_000, "memMb": 250_000, "gpu": 0},
            )
        for machine in self.fronts.values():
            machine.settings["far_factor"] = 1.5

    def _make_settings(self, name, zone, host):
        return {
            "process": name,
            "data_centre": zone,
            "host": host,
            "peer_port": self.ports[2],
            "inspection_port": self.ports[3],
        }

    @property
    def machines(self):
        return {**self.fronts, **self.sides}

    async def start(self, max_attempts=3, routes=None):
        """Start all and wait until the fronts are ready."""
        await self.store.start()
        await self.write_configuration(1, max_attempts, routes)
        for machine in self.machines.values():
            self.spawn(machine)
        for worker in self.workers.values():
            await worker.start()
        for machine in self.fronts.values():
            await self.wait_until(f"{machine.name} ready", lambda m=machine: self.is_ready(m))

    async def write_configuration(self, version, max_attempts=3, routes=None, attributes=None):
        """Write a configuration as the operator does."""
        route = {
            "name": "sheets",
            "host": QUEUE_HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "prio": 0,
            "maxAttempts": max_attempts,
            "stretch": 2.0,
            "sloMs": 1_000,
            "timeoutMs": 3_000,
            **(attributes or {}),
        }
        content = {
            "version": version,
            "routes": [route] if routes is None else routes,
            "services": [{"name": SERVICE, "enforcesCapacity": True}],
            "limits": {"maxBodyBytes": 262_144},
        }
        await self.store.write("op", "config", content)
        self.record.add("configuration", version=version)

    def spawn(self, machine):
        path = pathlib.Path(self._scratch.name) / f"{machine.name}.json"
        path.write_text(json.dumps(machine.settings))
        machine.log = (path.parent / f"{machine.name}.log").open("ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        command = [sys.executable, "-m", "crocusrudder", machine.role, "--settings", str(path)]
        machine.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=machine.log, stderr=machine.log
        )
        self.record.add("process-start", machine=machine.name)

    def read_log(self, machine):
        path = pathlib.Path(self._scratch.name) / f"{machine.name}.log"
        return path.read_text(errors="replace")

    def signal(self, machine, number):
        self.record.add("signal", machine=machine.name, signal=signal.Signals(number).name)
        machine.process.send_signal(number)

    async def kill(self, machine):
        """Kill a process, and wait for its end."""
        self.signal(machine, signal.SIGKILL)
        await asyncio.to_thread(machine.process.wait)

    async def stop(self):
        """End all that was started."""
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.terminate()
        for machine in self.machines.values():
            if machine.process is None:
                continue
            try:
                await asyncio.to_thread(machine.process.wait, 8)
            except subprocess.TimeoutExpired:
                machine.process.kill()
                machine.process.wait()
            machine.log.close()
        for worker in self.workers.values():
            if worker.is_up:
                await worker.crash()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for path in pathlib.Path(self._scratch.name).iterdir():
                (target / path.name).write_bytes(path.read_bytes())
        self._scratch.cleanup()

    async def is_ready(self, machine):
        status, _ = await platform_3.call(
            machine.host, self.ports[1], "GET", "/crocusrudder/readyz", timeout=1.0
        )
        return status == 200

    async def find_owner(self):
        """Return the front that has orders to give, by its own page."""
        for machine in self.fronts.values():
            status, state = await platform_3.call(
                machine.host, self.ports[3], "GET", "/v1/state", timeout=1.0
            )
            if status == 200 and state["owned"]:
                return machine
        return None

    async def wait_until(self, what, condition, seconds=30.0):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise SceneError(f"{what}: not within {seconds:g} s")

    async def request(self, machine, method, job="", content=None, timeout=3.0, prefix=PREFIX):
        """Make a call of a client."""
        headers = {"Host": QUEUE_HOST, "X-Crocusrudder-Timeout-Ms": str(round(timeout * 1_000))}
        target = prefix + job
        self.record.add("send", method=method, target=target, to=machine.name)
        status, answer = await platform_3.call(
            machine.host, self.ports[0], method, target, content, headers.items(), timeout
        )
        self.record.add("answer", method=method, target=target, status=status, body=answer)
        return status, answer

    async def submit(self, job, spec, steps, machine=None, **fields):
        """Submit a job, again with the same id as long as there is no conclusive answer."""
        self.board.steps[job] = steps
        content = {"spec": json.dumps(spec), "steps": steps, **fields}
        for _ in range(5):
            front = machine or random.choice(list(self.fronts.values()))
            status, _ = await self.request(front, "POST", job, content)
            if status not in (0, 502, 504):
                return status
        return status

    async def read_state(self, job):
        """Return the state of a job, or the status of the answer."""
        for _ in range(5):
            front = random.choice(list(self.fronts.values()))
            status, answer = await self.request(front, "GET", job)
            if status == 200:
                return answer["state"]
            if status == 410:
                return 410
            await asyncio.sleep(0.3)
        return status

    def list_ends(self, job):
        return sorted(
            end for w in self.workers.values() for end in w.ends if end[1].startswith(job)
        )

    def list_starts(self, job):
        return sorted(
            start for w in self.workers.values() for start in w.starts if start[1].startswith(job)
        )


class SceneError(Exception):
    """The case could not run."""


def make_job_id():
    return secrets.token_hex(8)


def find_ports(count):
    """Return ports that are free on all loopback addresses, below those of outgoing connections."""
    found = []
    for port in random.SystemRandom().sample(range(12_000, 29_000), 2_000):
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise SceneError("no free ports")


def run(fleet, play):
    """Play a scene on a fleet and exit with its result."""

    async def main():
        try:
            return await asyncio.wait_for(play(fleet), 105)
        except (TimeoutError, SceneError) as error:
            fleet.record.add("not-run", error=repr(error))
            return NOT_RUN
        finally:
            await fleet.stop()

    code = asyncio.run(main())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)
