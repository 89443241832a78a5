"""Commands for configuration changes."""

import sys

import click

from crocusrudder.management import changes
from crocusrudder.management import client
from crocusrudder.management import errors
from crocusrudder.management import options
from crocusrudder.management import output


@click.group()
def change() -> None:
    """Look up changes to placement records."""


@change.command()
@click.argument("change_id", metavar="CHANGE")
@options.entry_option
@output.json_option
@output.report_errors
def show(change_id: str, entry: client.Client, as_json: bool) -> None:
    """Show whether CHANGE was accepted.

    Looking up a change that has not been accepted withdraws it: "not-accepted" is final, even if
    the change was still in progress.

    Exit codes: 0 accepted, 5 not accepted, 6 unavailable, 7 still unknown.
    """
    response = changes.query_change(entry, change_id)
    if as_json:
        output.print_json(response)
    else:
        click.echo(output.format_fields(response))
    if response.get("state") != "accepted":
        sys.exit(errors.ExitCode.NOT_FOUND)
