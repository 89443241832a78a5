"""Command that prints the state dump of a process."""

import click

from crocusrudder.management import client
from crocusrudder.management import output


@click.command()
@click.argument("address", metavar="ADDRESS")
@output.json_option
@output.report_errors
def dump(address: str, as_json: bool) -> None:
    """Print the state of the entry or agent whose HTTP address is ADDRESS (host:port).

    Exit codes: 0 printed, 6 the process cannot be reached, 7 the response was lost.
    """
    response = client.Client([address]).call("GET", "/v1/state")
    if as_json:
        output.print_json(response)
    else:
        click.echo(output.format_fields(response))
