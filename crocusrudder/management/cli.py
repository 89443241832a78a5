"""The ``crocusrudder`` command."""

import click

from crocusrudder.management.commands import agent
from crocusrudder.management.commands import change
from crocusrudder.management.commands import checklist
from crocusrudder.management.commands import diff
from crocusrudder.management.commands import dump
from crocusrudder.management.commands import entry
from crocusrudder.management.commands import explain
from crocusrudder.management.commands import job
from crocusrudder.management.commands import record
from crocusrudder.management.commands import validate
from crocusrudder.management.commands import workflow_agent
from crocusrudder.management.commands import workflow_entry

COMMANDS = (
    record.record,
    change.change,
    job.job,
    checklist.checklist,
    diff.diff,
    dump.dump,
    explain.explain,
    validate.validate,
    entry.entry,
    agent.agent,
    workflow_entry.workflow_entry,
    workflow_agent.workflow_agent,
)


@click.group()
@click.version_option(package_name="crocusrudder")
def main() -> None:
    """Operate the crocusrudder scheduler.

    Exit codes: 0 done; 1 internal error; 2 wrong usage; 3 invalid file or call; 4 conflict; 5 not
    found; 6 unavailable, without effect; 7 outcome unknown; 8 differences found.
    """


for _command in COMMANDS:
    main.add_command(_command)
