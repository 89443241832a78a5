"""Command that runs an entry."""

import pathlib

import click

from crocusrudder.conf import loader
from crocusrudder.management import options
from crocusrudder.management import output


@click.command()
@click.option("--settings", required=True, type=options.FILE, help="JSON settings of the entry.")
@output.report_errors
def entry(settings: pathlib.Path) -> None:
    """Run an entry until it is told to stop (SIGTERM), which is a graceful shutdown.

    Exit codes: 0 stopped as planned, 3 the settings have problems, all of which are printed.
    """
    document = loader.load_entry(settings)
    # Imported late, so that the other commands start without the whole program.
    from crocusrudder.entry import daemon

    daemon.run(document)
