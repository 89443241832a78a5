"""Profile the processor time of a real owner and a real agent with cProfile."""

import pstats
import signal

import click
import curio

from benchmarks import daemons
from benchmarks import figures
from benchmarks import lab

WORKERS = 20
TASKS = 12
SECONDS = 15.0
SETTLE_SECONDS = 2.0
ROWS = 14
ENTRY = "entry-0"
AGENT = "agent-0"


class ProfiledDeployment(lab.MeteredDeployment):
    """A deployment whose processes write profiles."""

    def read_profile(self, name: str) -> list[dict[str, object]]:
        """Return the functions of a process with the most own time, without those that poll.

        The profiler of the process must have been stopped.
        """
        stats = pstats.Stats(str(self._folder / f"{name}.prof"))
        busy = {key: entry for key, entry in stats.stats.items() if "poll" not in key[2]}
        total = sum(entry[2] for entry in busy.values())
        ordered = sorted(busy.items(), key=lambda item: -item[1][2])[:ROWS]
        return [
            {
                "function": f"{'/'.join(path.split('/')[-2:])}:{function}",
                "calls/s": entry[1] / SECONDS,
                "own ms/s": 1e3 * entry[2] / SECONDS,
                "own %": 100 * entry[2] / total,
            }
            for (path, _, function), entry in ordered
        ]


async def run() -> dict[str, list[dict[str, object]]]:
    """Return the profiles of the owner and of an agent."""
    async with lab.open_deployment(kind=ProfiledDeployment) as deployment:
        benchmark = daemons.DaemonBenchmark(deployment, TASKS, 0)
        await benchmark.grow(WORKERS)
        await curio.sleep(SETTLE_SECONDS)
        for number, seconds in ((signal.SIGUSR1, SECONDS), (signal.SIGUSR2, SETTLE_SECONDS)):
            for name in (ENTRY, AGENT):
                deployment.send_signal(name, number)
            await curio.sleep(seconds)
        return {name: deployment.read_profile(name) for name in (ENTRY, AGENT)}


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Profile an owner of 20 workers with 12 tasks each, and one of its agents."""
    profiles = curio.run(run)
    for name, rows in profiles.items():
        figures.print_table(f"{name}, share of the time outside poll", rows)
    figures.write_json(json_path, profiles)


if __name__ == "__main__":
    main()
