"""Serve the users' platform: ``python -m tools.standin.users.platform --settings FILE``."""

import base64
import pathlib
import random

import click
import curio
import msgspec

from crocusrudder.hosting import http_messages
from crocusrudder.hosting import http_server
from tools.standin import signals
from tools.standin.users import host
from tools.standin.users import store
from tools.standin.users import worker

HOST = "127.0.0.1"


class PlatformSettings(msgspec.Struct, frozen=True):
    """Ports of the store and the workers, and the configuration that the operator writes."""

    store_port: int
    workers: tuple[host.WorkerAddress, ...]
    configuration: dict
    service: str
    run_seconds: float = 0.3
    max_lease_ms: int = 0
    """Longest lease, if each incarnation of a worker has a clock of its own; 0 otherwise."""


class UsersPlatform:
    """The store and all workers in one process."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._store = store.UsersStore()
        self._hosts = {
            address.name: host.WorkerHost(address, settings.service, settings.run_seconds)
            for address in settings.workers
        }
        for worker_host in self._hosts.values():
            worker_host.max_lease_ms = settings.max_lease_ms

    async def run(self) -> None:
        """Serve until SIGTERM."""
        stop = signals.StopSignal()
        await self._write_configuration()
        await http_server.Server(HOST, self._settings.store_port, self._handle).start()
        for worker_host in self._hosts.values():
            await curio.spawn(worker_host.run, daemon=True)
        await stop.wait()

    async def _write_configuration(self) -> None:
        value = base64.b64encode(msgspec.json.encode(self._settings.configuration)).decode()
        row = {"table": store.OPERATOR_TABLE, "part": "", "key": "config", "value": value}
        await self._store.transact({"setKeys": [row]})

    async def _write_evacuation(self, data_centre: str, is_evacuated: bool) -> None:
        row = {"table": store.OPERATOR_TABLE, "part": "", "key": f"evacuate/{data_centre}"}
        value = {"value": base64.b64encode(b"{}").decode()}
        change = {"setKeys": [row | value]} if is_evacuated else {"remove": [row]}
        await self._store.transact(change)

    def _list_incarnations(self) -> list[worker.UsersWorker]:
        return [found for worker_host in self._hosts.values() for found in worker_host.incarnations]

    async def _handle(self, request: http_messages.Request) -> http_messages.Response:
        match request.method, request.path:
            case "GET", ("standin", "starts"):
                starts = [
                    run
                    for users_worker in self._list_incarnations()
                    for run in users_worker.started_runs
                ]
                return http_messages.make_json_response(200, starts)
            case "GET", ("standin", "runs"):
                runs = [
                    run
                    for users_worker in self._list_incarnations()
                    for run in users_worker.history.values()
                ]
                return http_messages.make_json_response(200, runs)
            case "PUT", ("standin", "down" | "up"):
                self._store.is_down = request.path[-1] == "down"
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "crash", name):
                await self._hosts[name].incarnations[-1].crashing.set()
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "rebirth", name):
                self._hosts[name].keeps_id = True
                await self._hosts[name].incarnations[-1].crashing.set()
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "dark", name, seconds):
                await self._hosts[name].darken(float(seconds))
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "late-writes", seed):
                self._store.deferral_draws = random.Random(seed)
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "writes-in-time"):
                self._store.deferral_draws = None
                return http_messages.make_json_response(200, {})
            case "GET", ("standin", "heartbeat", name):
                current = self._hosts[name].incarnations[-1]
                content = {"id": current.name, "heartbeat": current.make_heartbeat()}
                return http_messages.make_json_response(200, content)
            case "PUT", ("standin", "odd-entry", name, field):
                entry = base64.b64decode(msgspec.json.decode(request.body))
                self._hosts[name].incarnations[-1].set_odd_entry(field, entry)
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "odd-percents" | "percents" as action, name):
                self._hosts[name].incarnations[-1].set_odd_percents(action == "odd-percents")
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "capacity", name, millicores):
                self._hosts[name].incarnations[-1].set_capacity(int(millicores))
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "slowdown", name, factor):
                self._hosts[name].incarnations[-1].set_slowdown(float(factor))
                return http_messages.make_json_response(200, {})
            case "PUT", ("standin", "evacuate" | "take-back" as action, data_centre):
                await self._write_evacuation(data_centre, action == "evacuate")
                return http_messages.make_json_response(200, {})
        return await self._store.handle(request)


@click.command()
@click.option("--settings", type=click.Path(path_type=pathlib.Path), required=True)
def main(settings: pathlib.Path) -> None:
    """Serve the store and the workers that the settings list."""
    content = msgspec.json.decode(settings.read_bytes(), type=PlatformSettings)
    curio.run(UsersPlatform(content).run)


if __name__ == "__main__":
    main()
