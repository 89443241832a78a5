"""Command that runs a workflow entry."""

import pathlib

import click

from crocusrudder.management import options
from crocusrudder.management import output
from crocusrudder.workflows import settings as workflow_settings


@click.command(name="workflow-entry")
@click.option(
    "--settings",
    type=options.FILE,
    envvar=workflow_settings.FILE_VARIABLE,
    required=True,
    help="JSON settings of the process.",
)
@output.report_errors
def workflow_entry(settings: pathlib.Path) -> None:
    """Run an entry for workflows (jobs made of stages); one of the entries owns the workers.

    Exit codes: 0 graceful shutdown, 3 invalid settings (every problem is printed).
    """
    document = workflow_settings.load(settings)
    # Imported here so that the other commands start without loading the whole program.
    from crocusrudder.workflows import entry_daemon

    entry_daemon.run(document)
