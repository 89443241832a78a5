"""Command that runs a workflow agent."""

import pathlib

import click

from crocusrudder.management import options
from crocusrudder.management import output
from crocusrudder.workflows import settings as workflow_settings


@click.command(name="workflow-agent")
@click.option(
    "--settings",
    type=options.FILE,
    envvar=workflow_settings.FILE_VARIABLE,
    required=True,
    help="JSON settings of the process.",
)
@output.report_errors
def workflow_agent(settings: pathlib.Path) -> None:
    """Run an agent for workflows (jobs made of stages) next to its worker.

    Exit codes: 0 graceful shutdown, 3 invalid settings (every problem is printed).
    """
    document = workflow_settings.load(settings)
    # Imported here so that the other commands start without loading the whole program.
    from crocusrudder.workflows import agent_daemon

    agent_daemon.run(document)
