"""Processor time of an agent at rest by its wake-ups: the transport of today and a polling one."""

import click
import curio

from benchmarks import daemons
from benchmarks import figures
from benchmarks import lab

LOOKS_PER_SECOND = (0, 10, 20, 50)
"""Looks for waiting messages; 0 is today's transport, 50 that of an earlier version."""
AGENTS_EACH = 5
MEASURED_SECONDS = 20.0


class PacedLab(lab.Lab):
    """Give each group of agents its own rate."""

    def make_environment(self, name: str) -> dict[str, str]:
        """Return the rate of an agent."""
        number = int(name.rsplit("-", 1)[-1]) if name.startswith("agent-") else 0
        return {"BENCH_LOOKS_PER_SECOND": str(LOOKS_PER_SECOND[number % len(LOOKS_PER_SECOND)])}


async def run() -> list[dict[str, float]]:
    """Return the mean processor time of each group."""
    async with lab.open_lab(kind=PacedLab) as running:
        places = running.layout.agents[: AGENTS_EACH * len(LOOKS_PER_SECOND)]
        await running.add_agents(places)
        await curio.sleep(2)
        before = [await running.read_usage(place.name, place.http_port) for place in places]
        await curio.sleep(MEASURED_SECONDS)
        after = [await running.read_usage(place.name, place.http_port) for place in places]
    rows = [
        daemons.describe(place.name, len(places), *pair)
        for place, *pair in zip(places, before, after, strict=True)
    ]
    found = []
    for position, looks in enumerate(LOOKS_PER_SECOND):
        group = [row["CPU %"] for row in rows[position :: len(LOOKS_PER_SECOND)]]
        found.append(
            {
                "looks/s": looks,
                "CPU %": sum(group) / len(group),
                "least %": min(group),
                "most %": max(group),
            }
        )
    return found


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Measure agents at rest with several rates of looks for messages."""
    rows = curio.run(run)
    figures.print_table("Agents at rest", rows)
    line = figures.fit(rows, "looks/s", "CPU %")
    click.echo(f"CPU %: {line.constant:.3f} + {line.per_unit:.4f} per look a second")
    figures.write_json(json_path, rows)


if __name__ == "__main__":
    main()
