"""Where the processor time of an owner and an agent goes: cProfile in real processes."""

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


class ProfiledLab(lab.Lab):
    """Read what the profiler of a process has written."""

    def read_profile(self, name: str) -> list[dict[str, object]]:
        """Return the functions of a stopped process with the most time of their own."""
        stats = pstats.Stats(str(self._folder / f"{name}.prof"))
        busy = {key: found for key, found in stats.stats.items() if "poll" not in key[2]}
        total = sum(found[2] for found in busy.values())
        ordered = sorted(busy.items(), key=lambda item: -item[1][2])[:ROWS]
        return [
            {
                "function": f"{'/'.join(path.split('/')[-2:])}:{function}",
                "calls/s": found[1] / SECONDS,
                "own ms/s": 1e3 * found[2] / SECONDS,
                "own %": 100 * found[2] / total,
            }
            for (path, _, function), found in ordered
        ]


async def run() -> dict[str, list[dict[str, object]]]:
    """Return the profiles of the owner and of an agent."""
    async with lab.open_lab(kind=ProfiledLab) as running:
        bench = daemons.Bench(running, TASKS, 0)
        await bench.grow(WORKERS)
        await curio.sleep(SETTLE_SECONDS)
        for number, seconds in ((signal.SIGUSR1, SECONDS), (signal.SIGUSR2, SETTLE_SECONDS)):
            for name in (ENTRY, AGENT):
                running.send_signal(name, number)
            await curio.sleep(seconds)
        return {name: running.read_profile(name) for name in (ENTRY, AGENT)}


@click.command()
@figures.json_option
def main(json_path) -> None:
    """Profile an owner of 20 workers with 12 tasks each, and one of its agents."""
    found = curio.run(run)
    for name, rows in found.items():
        figures.print_table(f"{name}, share of the time outside of poll", rows)
    figures.write_json(json_path, found)


if __name__ == "__main__":
    main()
