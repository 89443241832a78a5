"""Options and arguments shared by several commands."""

import ipaddress
import pathlib
import uuid
from collections.abc import Callable
from typing import Any

import click

from crocusrudder.management import client

ENTRY_VARIABLE = "CROCUSRUDDER_ENTRY"
DEFAULT_ENTRY = "127.0.0.1:8080"
MAX_PORT = 65_535

FILE = click.Path(exists=False, dir_okay=False, path_type=pathlib.Path)
DIRECTORY = click.Path(exists=True, file_okay=False, path_type=pathlib.Path)


def _make_client(context: click.Context, parameter: click.Parameter, value: Any) -> client.Client:
    addresses = [part for item in value for part in item.replace(",", " ").split()]
    return client.Client(addresses or [DEFAULT_ENTRY])


def parse_address(
    context: click.Context, parameter: click.Parameter, value: str | None
) -> str | None:
    """Return an address of the form ``ip:port``; raise ``BadParameter`` for another form.

    Names are refused, as the clients of the platform resolve none.
    """
    if value is None:
        return None
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
        if not 0 < int(port) <= MAX_PORT:
            raise ValueError(port)
    except ValueError as error:
        raise click.BadParameter(f"{value!r} is not of the form IP:PORT") from error
    return value


def entry_option(function: Callable) -> Callable:
    """Add the option ``--entry``, passed to the command as a ``Client`` named ``entry``."""
    return click.option(
        "--entry",
        metavar="HOST:PORT",
        multiple=True,
        envvar=ENTRY_VARIABLE,
        callback=_make_client,
        help=f"HTTP address of an entry; may be repeated; the next one is tried if one cannot "
        f"be reached. Also read from {ENTRY_VARIABLE}, separated by spaces or commas. "
        f"[default: {DEFAULT_ENTRY}]",
    )(function)


def make_id() -> str:
    """Return a new random id for a change or a job."""
    return uuid.uuid4().hex


change_option = click.option(
    "--change",
    metavar="ID",
    default=make_id,
    help="Id of the change. Repeat a command with the same id to make sure that the change takes "
    "effect once. [default: a new one]",
)
author_option = click.option(
    "--author",
    metavar="NAME",
    envvar="CROCUSRUDDER_AUTHOR",
    default="unknown",
    help="Who makes the change; recorded with it. Also read from CROCUSRUDDER_AUTHOR.",
)
