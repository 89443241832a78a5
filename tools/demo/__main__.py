"""Run the demo: ``python -m tools.demo``."""

import pathlib
import sys
import tempfile

import click
import curio

from tools.demo import deployment as deployments
from tools.demo import scenario


@click.command()
@click.option("--base-port", type=int, help="First of 100 ports; free ports by default.")
@click.option("--keep", type=click.Path(path_type=pathlib.Path), help="Keep logs in this folder.")
def main(base_port: int | None, keep: pathlib.Path | None) -> None:
    """Run a small deployment with faults, and check that nothing is lost or executed twice."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        layout = deployments.Layout(base_port) if base_port else deployments.find_layout()
        deployment = deployments.Deployment(layout, folder)
        demo = scenario.Scenario(deployment)
        try:
            curio.run(demo.run)
        except (scenario.ScenarioError, deployments.DeploymentError) as error:
            demo.report.problems.append(str(error))
        finally:
            deployment.kill_all()
    for problem in demo.report.problems:
        click.echo(f"PROBLEM: {problem}")
    click.echo("demo failed" if demo.report.problems else "demo passed: nothing lost or doubled")
    sys.exit(1 if demo.report.problems else 0)


if __name__ == "__main__":
    main()
