"""Processor time, memory and bytes of a real owner and its agents at several cell sizes."""

import time

import click
import curio

from benchmarks import figures
from benchmarks import lab

SIZES = (10, 20, 35, 55)
LOADED_SIZES = (10, 20, 35)
JOB_TASKS = 3
"""Tasks per job; a job that has not yet shown that it runs is limited to 3 running for 30 s."""
ANNOUNCE_SECONDS = 3.0
"""Less than the 6 s without announcements after which an agent withdraws an endpoint."""
SETTLE_SECONDS = 1.0
MEASURED_SECONDS = 5.0
ENTRY = "entry-0"


class DaemonBenchmark:
    """Add workers to a cell in steps and measure it at each size."""

    def __init__(self, deployment: lab.MeteredDeployment, tasks: int, endpoints: int) -> None:
        self._deployment = deployment
        self._tasks = tasks
        self._endpoints = endpoints
        self._places = []

    async def grow(self, size: int) -> None:
        """Add agents up to ``size`` with endpoints and tasks; wait until the tasks run."""
        added = self._deployment.layout.agents[len(self._places) : size]
        await self._deployment.add_agents(added)
        for place in added:
            await self._deployment.announce(place, self._endpoints)
        self._places += added
        for number in range(self._tasks * len(added) // JOB_TASKS):
            name = f"job-{size}-{number}"
            job = {"job": name, "batch": "urgent-rounds", "tasks": JOB_TASKS}
            await self._deployment.post_json("/v1/jobs", job)
        await self._deployment.wait("tasks run", self._is_busy)

    async def announce_forever(self) -> None:
        """Announce the endpoints of all agents every ``ANNOUNCE_SECONDS`` until cancelled."""
        while True:
            start = time.monotonic()
            for place in list(self._places):
                await self._deployment.announce(place, self._endpoints)
            await curio.sleep(max(0.1, ANNOUNCE_SECONDS - (time.monotonic() - start)))

    async def measure(self) -> list[dict[str, float]]:
        """Return the usage of the owner and of the agent with the median processor time."""
        names = {ENTRY: self._deployment.layout.entries[0].http_port}
        names |= {place.name: place.http_port for place in self._places[:5]}
        before = {
            name: await self._deployment.read_usage(name, port) for name, port in names.items()
        }
        await curio.sleep(MEASURED_SECONDS)
        rows = []
        for name, port in names.items():
            after = await self._deployment.read_usage(name, port)
            rows.append(describe(name, len(self._places), before[name], after))
        agents = sorted(rows[1:], key=lambda row: row["CPU %"])
        return [rows[0], agents[len(agents) // 2]]

    async def _is_busy(self) -> bool:
        port = self._deployment.layout.entries[0].http_port
        state = await self._deployment.get_json(port, "/v1/state")
        workers = state["components"]["worker"]["cell-bilbao"].values()
        return sum(len(worker["runs"]) for worker in workers) >= self._tasks * len(self._places)


def describe(name: str, size: int, before: lab.Usage, after: lab.Usage) -> dict[str, float]:
    """Return the rates of a process between two readings."""
    seconds = after.read_at - before.read_at

    def rate(counter: str) -> float:
        return (after.counters.get(counter, 0) - before.counters.get(counter, 0)) / seconds

    packets = rate("wire_sent") + rate("wire_received")
    envelopes = rate("wire_sent_bytes") + rate("wire_received_bytes")
    return {
        "role": "owner" if name == ENTRY else "agent",
        "workers": size,
        "CPU %": 100 * (after.cpu_seconds - before.cpu_seconds) / seconds,
        "memory MB": after.resident_mb,
        "messages/s": packets,
        "envelope B/s": envelopes,
        "wire B/s": envelopes + packets * figures.PACKET_HEADER_BYTES,
    }


async def run(tasks: int, endpoints: int) -> list[dict[str, float]]:
    """Return the measurements at all sizes."""
    rows = []
    async with lab.open_deployment() as deployment:
        benchmark = DaemonBenchmark(deployment, tasks, endpoints)
        announcing = None
        if endpoints:
            announcing = await curio.spawn(benchmark.announce_forever(), daemon=True)
        for size in LOADED_SIZES if tasks else SIZES:
            await benchmark.grow(size)
            await curio.sleep(SETTLE_SECONDS)
            rows += await benchmark.measure()
        if announcing is not None:
            await announcing.cancel()
    return rows


@click.command()
@click.option("--tasks", default=0, help="Running tasks on each worker.")
@click.option("--endpoints", default=0, help="Endpoints beside each agent.")
@figures.json_option
def main(tasks: int, endpoints: int, json_path) -> None:
    """Measure an owner and its agents as the cell grows."""
    rows = curio.run(run, tasks, endpoints)
    figures.print_table(f"Daemons with {tasks} tasks and {endpoints} endpoints per worker", rows)
    for role in ("owner", "agent"):
        chosen = [row for row in rows if row["role"] == role]
        for column in ("CPU %", "memory MB", "wire B/s"):
            line = figures.fit_line(chosen, "workers", column)
            click.echo(f"{role} {column}: {line.constant:.2f} + {line.per_unit:.4f} per worker")
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
