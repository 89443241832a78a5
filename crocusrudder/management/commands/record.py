"""Commands for placement records."""

import pathlib
import sys
import urllib.parse
from typing import Any

import click

from crocusrudder.management import changes
from crocusrudder.management import client
from crocusrudder.management import errors
from crocusrudder.management import files
from crocusrudder.management import options
from crocusrudder.management import output
from crocusrudder.records import checks
from crocusrudder.records import schema

KIND = click.Choice([kind.value for kind in schema.Kind])


@click.group()
def record() -> None:
    """Submit, amend, retire and show placement records.

    A record is a JSON file with "kind" (service, batch, team or cutover), "schema_version" (1 or
    2) and the fields of docs/reference/records.md.
    """


@record.command()
@click.argument("file", type=options.FILE)
@options.change_option
@options.author_option
@options.entry_option
@output.json_option
@output.report_errors
def submit(
    file: pathlib.Path, change: str, author: str, entry: client.Client, as_json: bool
) -> None:
    """Submit the new record in FILE.

    Exit codes: 0 accepted, 3 invalid, 4 conflict, 6 unavailable (no effect), 7 outcome unknown
    (query it with "crocusrudder change show").
    """
    document = _read_record(file)
    body = {"change": change, "author": author, "record": document}
    _print_accepted_change(
        changes.submit_change(entry, "POST", "/v1/records", body, change), as_json
    )


@record.command()
@click.argument("file", type=options.FILE)
@click.option(
    "--revision",
    type=int,
    required=True,
    help="Revision of the record that the amendment is based on; see 'record show'.",
)
@options.change_option
@options.author_option
@options.entry_option
@output.json_option
@output.report_errors
def amend(
    file: pathlib.Path,
    revision: int,
    change: str,
    author: str,
    entry: client.Client,
    as_json: bool,
) -> None:
    """Replace a record with the one in FILE.

    The amendment is refused (exit code 4, with the current record and revision) if the record has
    changed since --revision. Other exit codes as for "record submit".
    """
    document = _read_record(file)
    body = {"change": change, "author": author, "record": document, "revision": revision}
    _print_accepted_change(
        changes.submit_change(entry, "PUT", "/v1/records", body, change), as_json
    )


@record.command()
@click.argument("kind", type=KIND)
@click.argument("name")
@click.argument("schema_version", type=int)
@click.option(
    "--revision",
    type=int,
    required=True,
    help="Revision of the record to retire; see 'record show'.",
)
@options.change_option
@options.author_option
@options.entry_option
@output.json_option
@output.report_errors
def retire(
    kind: str,
    name: str,
    schema_version: int,
    revision: int,
    change: str,
    author: str,
    entry: client.Client,
    as_json: bool,
) -> None:
    """Retire the record KIND NAME SCHEMA_VERSION.

    A service version that a cutover still names cannot be retired (exit code 4). Other exit codes
    as for "record submit".
    """
    query = urllib.parse.urlencode({"revision": revision, "change": change, "author": author})
    target = f"{_make_path(kind, name, schema_version)}?{query}"
    _print_accepted_change(changes.submit_change(entry, "DELETE", target, None, change), as_json)


@record.command(name="list")
@click.option("--kind", type=KIND, default=None, help="List the records of this kind only.")
@options.entry_option
@output.json_option
@output.report_errors
def list_(kind: str | None, entry: client.Client, as_json: bool) -> None:
    """List the records in force."""
    response = fetch_records(entry, kind)
    if as_json:
        output.print_json(response)
        return
    rows = (_make_row(item) for item in response["records"])
    header = ("KIND", "NAME", "SCHEMA", "REVISION", "TEAM")
    click.echo(output.format_table(header, rows))
    verified = "" if response["verified"] else ", not verified by the store yet"
    click.echo(f"revision {response['revision']}{verified}")


@record.command()
@click.argument("kind", type=KIND)
@click.argument("name")
@click.argument("schema_version", type=int, required=False)
@options.entry_option
@output.json_option
@output.report_errors
def show(
    kind: str, name: str, schema_version: int | None, entry: client.Client, as_json: bool
) -> None:
    """Show the record KIND NAME in all its schema versions or in SCHEMA_VERSION."""
    found = [
        item
        for item in fetch_records(entry, kind)["records"]
        if item["name"] == name and schema_version in (None, item["schema_version"])
    ]
    if not found:
        body = {"code": "CR-REC-004", "message": f"{kind} {name} does not exist"}
        raise errors.RefusedError(404, body)
    if as_json:
        output.print_json(found)
    else:
        click.echo("\n\n".join(output.format_fields(item) for item in found))


@record.command()
@options.entry_option
@output.json_option
@output.report_errors
def status(entry: client.Client, as_json: bool) -> None:
    """Show the revision in force in each data centre and the processes that are behind.

    Exit codes: 0 the latest revision is in force everywhere, 8 it is not, or a process is
    unresponsive.
    """
    response = entry.call("GET", "/v1/records/status")
    data_centres = response["data_centres"].values()
    if as_json:
        output.print_json(response)
    else:
        _print_status(response)
    if not all(centre["complete"] for centre in data_centres) or response["silent"]:
        sys.exit(errors.ExitCode.DIFFERENT)


def fetch_records(entry: client.Client, kind: str | None = None) -> dict[str, Any]:
    """Return the response that lists the records in force."""
    query = f"?kind={kind}" if kind else ""
    return entry.call("GET", f"/v1/records{query}")


def _read_record(file: pathlib.Path) -> dict[str, Any]:
    document = files.read_json(file)
    checks.parse(document)
    return document


def _make_path(kind: str, name: str, schema_version: int) -> str:
    return f"/v1/records/{kind}/{urllib.parse.quote(name, safe='')}/{schema_version}"


def _make_row(item: dict[str, Any]) -> tuple[Any, ...]:
    team = item["record"].get("team", "")
    return item["kind"], item["name"], item["schema_version"], item["revision"], team


def _print_accepted_change(response: dict[str, Any], as_json: bool) -> None:
    if as_json:
        output.print_json(response)
    else:
        click.echo(f"accepted as revision {response['revision']} (change {response['change']})")


def _print_status(response: dict[str, Any]) -> None:
    click.echo(f"latest revision: {response['revision']}")
    rows = (
        (name, centre["in_force"], centre["complete"], ", ".join(centre["behind"]) or "-")
        for name, centre in response["data_centres"].items()
    )
    click.echo(output.format_table(("DATA CENTRE", "IN FORCE", "COMPLETE", "BEHIND"), rows))
    for name, title in (("silent", "unresponsive"), ("cells_unreported", "cells without a report")):
        if response[name]:
            click.echo(f"{title}: {', '.join(response[name])}")
