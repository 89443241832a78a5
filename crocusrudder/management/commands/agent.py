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
    """Run an agent until it is told to stop (SIGTERM), which is a graceful shutdown.

    Exit codes: 0 stopped as planned, 3 the settings have problems, all of which are printed.
    """
    document = loader.load_agent(settings)
    # Imported late, so that the other commands start without the whole program.
    from crocusrudder.agent import daemon

    daemon.run(document)
