"""Processor time of an idle agent by polling rate of its transport."""

import click
import curio

from benchmarks import daemons
from benchmarks import figures
from benchmarks import lab

POLLS_PER_SECOND = (0, 10, 20, 50)
"""Polls for queued messages; 0 is the current, event-driven transport, 50 an earlier version."""
AGENTS_EACH = 5
MEASURED_SECONDS = 20.0


class PollingDeployment(lab.MeteredDeployment):
    """A deployment in which agents poll at the rates of ``POLLS_PER_SECOND`` in turn."""

    def make_environment(self, name: str) -> dict[str, str]:
        """Return the environment variable that sets the polling rate of a process."""
        number = int(name.rsplit("-", 1)[-1]) if name.startswith("agent-") else 0
        return {"BENCH_LOOKS_PER_SECOND": str(POLLS_PER_SECOND[number % len(POLLS_PER_SECOND)])}


async def run() -> list[dict[str, float]]:
    """Return mean, minimum and maximum processor time of the agents per polling rate."""
    async with lab.open_deployment(kind=PollingDeployment) as deployment:
        places = deployment.layout.agents[: AGENTS_EACH * len(POLLS_PER_SECOND)]
        await deployment.add_agents(places)
        await curio.sleep(2)
        before = [await deployment.read_usage(place.name, place.http_port) for place in places]
        await curio.sleep(MEASURED_SECONDS)
        after = [await deployment.read_usage(place.name, place.http_port) for place in places]
    rows = [
        daemons.describe(place.name, len(places), *pair)
        for place, *pair in zip(places, before, after, strict=True)
    ]
    results = []
    for position, polls_per_second in enumerate(POLLS_PER_SECOND):
        group = [row["CPU %"] for row in rows[position :: len(POLLS_PER_SECOND)]]
        results.append(
            {
                "looks/s": polls_per_second,
                "CPU %": sum(group) / len(group),
                "least %": min(group),
                "most %": max(group),
            }
        )
    return results


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Measure idle agents that poll for messages at several rates."""
    rows = curio.run(run)
    figures.print_table("Idle agents", rows)
    line = figures.fit_line(rows, "looks/s", "CPU %")
    click.echo(f"CPU %: {line.constant:.3f} + {line.per_unit:.4f} per look/s")
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
