"""Command that runs an agent."""

import pathlib

import click

from crocusrudder.conf import loader
from crocusrudder.management import options
from crocusrudder.management import output


@click.command()
@click.option("--settings", required=True, type=options.FILE, help="JSON settings of the agent.")
@output.report_errors
def agent(settings: pathlib.Path) -> None:
    """Run an agent until SIGTERM, which shuts it down gracefully.

    Exit codes: 0 graceful shutdown, 3 invalid settings (every problem is printed).
    """
    document = loader.load_agent(settings)
    # Imported here so that the other commands start without loading the whole program.
    from crocusrudder.agent import daemon

    daemon.run(document)
