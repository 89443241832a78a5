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
    """Run an entry until SIGTERM, which shuts it down gracefully.

    Exit codes: 0 graceful shutdown, 3 invalid settings (every problem is printed).
    """
    document = loader.load_entry(settings)
    # Imported here so that the other commands start without loading the whole program.
    from crocusrudder.entry import daemon

    daemon.run(document)
