"""Play seeds of the soak: ``python -m tools.soak --seeds 50``."""

import pathlib
import random
import sys
import tempfile

import click

from tools.soak import runner


@click.command()
@click.option("--seeds", default=5, help="Number of fresh seeds.")
@click.option("--seed", "chosen", multiple=True, type=int, help="Play this seed; can be repeated.")
@click.option("--seconds", default=15.0, help="Time during which faults strike.")
@click.option("--logs", type=click.Path(path_type=pathlib.Path), help="Folder for the logs.")
def main(seeds: int, chosen: tuple[int, ...], seconds: float, logs: pathlib.Path | None) -> None:
    """Run the real programs under random faults; exit with 1 if a promise was broken."""
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    broken = 0
    for seed in chosen or [random.SystemRandom().randrange(2**32) for _ in range(seeds)]:
        place = folder / str(seed)
        place.mkdir(parents=True, exist_ok=True)
        problems = runner.Run(place, seed, seconds).play()
        broken += bool(problems)
        click.echo(f"seed {seed}: {'; '.join(problems) or 'kept'}")
    click.echo(f"{broken} seeds with a broken promise; logs in {folder}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
