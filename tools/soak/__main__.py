"""Run seeds of the soak test: ``python -m tools.soak --seeds 50``."""

import pathlib
import random
import sys
import tempfile

import click

from tools.soak import runner


@click.command()
@click.option("--seeds", default=5, help="Number of random seeds.")
@click.option("--seed", "chosen", multiple=True, type=int, help="Run this seed; can be repeated.")
@click.option("--seconds", default=15.0, help="Time during which faults are injected.")
@click.option("--logs", type=click.Path(path_type=pathlib.Path), help="Folder for the logs.")
@click.option(
    "--processes", default=runner.PROCESSES_PER_ROLE, help="Number of entries, and of agents."
)
def main(
    seeds: int,
    chosen: tuple[int, ...],
    seconds: float,
    logs: pathlib.Path | None,
    processes: int,
) -> None:
    """Run the real programs under random faults; exit with 1 if a guarantee was violated."""
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    failed_seed_count = 0
    for seed in chosen or [random.SystemRandom().randrange(2**32) for _ in range(seeds)]:
        seed_folder = folder / str(seed)
        # A folder with the logs of an earlier run would hide whether a process has started.
        seed_folder.mkdir(parents=True)
        problems = runner.SoakRun(seed_folder, seed, seconds, processes).run()
        failed_seed_count += bool(problems)
        click.echo(f"seed {seed}: {'; '.join(problems) or 'no violation'}")
    click.echo(f"{failed_seed_count} seeds with violations; logs in {folder}")
    sys.exit(1 if failed_seed_count else 0)


if __name__ == "__main__":
    main()
