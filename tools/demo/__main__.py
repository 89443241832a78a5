"""Run the demo: ``python -m tools.demo``."""

import pathlib
import sys
import tempfile

import click
import curio

from tools.demo import deployment
from tools.demo import story


@click.command()
@click.option("--base-port", type=int, help="First of 100 ports; by default, free ones.")
@click.option("--keep", type=click.Path(path_type=pathlib.Path), help="Keep logs in this folder.")
def main(base_port: int | None, keep: pathlib.Path | None) -> None:
    """Run a small deployment, break parts of it, and check that nothing is lost or doubled."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        layout = deployment.Layout(base_port) if base_port else deployment.find_layout()
        running = deployment.Deployment(layout, folder)
        told = story.Story(running)
        try:
            curio.run(told.run)
        except (story.StoryError, deployment.DeploymentError) as error:
            told.sheet.problems.append(str(error))
        finally:
            running.kill_all()
    for problem in told.sheet.problems:
        click.echo(f"PROBLEM: {problem}")
    click.echo("demo failed" if told.sheet.problems else "demo passed: nothing lost or doubled")
    sys.exit(1 if told.sheet.problems else 0)


if __name__ == "__main__":
    main()
