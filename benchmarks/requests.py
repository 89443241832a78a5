"""Processor time and latency of requests through real entries and agents on loopback."""

import itertools
import time

import click
import curio

from benchmarks import figures
from benchmarks import lab
from crocusrudder.platform import errors

RATES = (20, 40, 80)
AGENTS = 4
MEASURED_SECONDS = 5.0
DRAIN_SECONDS = 1.0
ENTRY = "entry-0"


class RequestBenchmark:
    """Send requests at a fixed rate and measure the processor time of entry and agents."""

    def __init__(self, deployment: lab.MeteredDeployment) -> None:
        self._deployment = deployment
        self._port = deployment.layout.entries[0].http_port
        self._places = deployment.layout.agents[:AGENTS]
        self._numbers = itertools.count(1)
        self._latencies: list[float] = []
        self._failed = 0

    async def prepare(self) -> None:
        """Start agents and endpoints, and wait until requests succeed."""
        await self._deployment.add_agents(self._places)
        for place in self._places:
            self._deployment.start_endpoint(place, 2, 0)
        await self._deployment.wait("requests succeed", self._is_serving)
        await curio.sleep(6)

    async def measure(self, method: str, rate: float) -> dict[str, float]:
        """Return the processor time and latencies at a request rate."""
        self._latencies.clear()
        self._failed = 0
        before = await self._read()
        async with curio.TaskGroup() as group:
            for _ in range(round(rate * MEASURED_SECONDS)):
                await group.spawn(self._send, method)
                await curio.sleep(1 / rate)
        await curio.sleep(DRAIN_SECONDS)
        after = await self._read()
        ordered = sorted(self._latencies)
        entry_ms = 1e3 * (after[0] - before[0])
        agents_ms = 1e3 * (after[1] - before[1])
        return {
            "method": method,
            "requests": len(ordered),
            "failed": self._failed,
            "requests/s": len(ordered) / (MEASURED_SECONDS + DRAIN_SECONDS),
            "entry ms/s": entry_ms / (MEASURED_SECONDS + DRAIN_SECONDS),
            "agents ms/s": agents_ms / (MEASURED_SECONDS + DRAIN_SECONDS),
            "p50 ms": 1e3 * ordered[len(ordered) // 2],
            "p99 ms": 1e3 * ordered[int(len(ordered) * 0.99)],
        }

    async def _read(self) -> tuple[float, float]:
        agents = sum(lab.read_cpu(self._deployment.get_pid(place.name)) for place in self._places)
        return lab.read_cpu(self._deployment.get_pid(ENTRY)), agents

    async def _is_serving(self) -> bool:
        return await self._send("GET")

    async def _send(self, method: str) -> bool:
        number = next(self._numbers)
        headers = (("team", "funeral-homes"),)
        if method == "POST":
            headers += (("idempotency-key", f"order-{number}"),)
        body = b"{}" if method == "POST" else b""
        target = f"/v1/services/dispatch/tray-order/{number}"
        start = time.monotonic()
        try:
            answer = await self._deployment.call(method, self._port, target, headers, body)
        except errors.PlatformError:
            self._failed += 1
            return False
        if answer.status != 200:
            self._failed += 1
            return False
        self._latencies.append(time.monotonic() - start)
        return True


async def run() -> list[dict[str, float]]:
    """Return the measurements of both methods at all rates."""
    async with lab.open_deployment() as deployment:
        benchmark = RequestBenchmark(deployment)
        await benchmark.prepare()
        return [
            await benchmark.measure(method, rate) for method in ("GET", "POST") for rate in RATES
        ]


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Measure lookups (GET) and orders (POST) through one entry and 4 agents."""
    rows = curio.run(run)
    figures.print_table("Requests", rows)
    for method in ("GET", "POST"):
        chosen = [row for row in rows if row["method"] == method]
        for column in ("entry ms/s", "agents ms/s"):
            line = figures.fit_line(chosen, "requests/s", column)
            click.echo(f"{method} {column}: {line.constant:.1f} + {line.per_unit:.2f} per request")
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
