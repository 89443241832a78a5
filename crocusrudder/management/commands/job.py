"""Commands for batch jobs."""

import pathlib
import urllib.parse
from typing import Any

import click

from crocusrudder.core import checks
from crocusrudder.core import documents
from crocusrudder.management import client
from crocusrudder.management import errors
from crocusrudder.management import files
from crocusrudder.management import options
from crocusrudder.management import output


@click.group()
def job() -> None:
    """Submit, cancel and show batch jobs."""


@job.command()
@click.argument("file", type=options.FILE)
@click.option(
    "--job",
    "job_id",
    metavar="ID",
    default=None,
    help="Id of the job. Repeat the command with the same id to submit the job only once. "
    '[default: "job" in FILE, or a new one]',
)
@options.entry_option
@output.json_option
@output.report_errors
def submit(file: pathlib.Path, job_id: str | None, entry: client.Client, as_json: bool) -> None:
    """Submit the job whose specification is the JSON object in FILE.

    Exit codes: 0 accepted, 3 invalid, 4 conflict, 6 unavailable (no effect), 7 outcome unknown:
    repeat the command with the printed id.
    """
    document = files.read_json(file)
    if not isinstance(document, dict):
        problem = checks.Problem(documents.WRONG_TYPE, "$", "expected an object")
        raise checks.CheckFailedError([problem])
    submitted_id = job_id or document.get("job") or options.make_id()
    try:
        response = entry.call("POST", "/v1/jobs", document | {"job": submitted_id})
    except errors.ResponseLostError as error:
        hint = f"repeat the command with --job {submitted_id}"
        raise errors.ResponseLostError(error.message, hint) from error
    _print_response(response, as_json)


@job.command()
@click.argument("job_id", metavar="JOB")
@options.entry_option
@output.json_option
@output.report_errors
def cancel(job_id: str, entry: client.Client, as_json: bool) -> None:
    """Cancel JOB; the command can be repeated safely.

    Exit codes: 0 cancelled, 5 no such job, 6 unavailable (no effect), 7 outcome unknown: repeat.
    """
    _print_response(entry.call("DELETE", _make_path(job_id)), as_json)


@job.command()
@click.argument("job_id", metavar="JOB")
@options.entry_option
@output.json_option
@output.report_errors
def show(job_id: str, entry: client.Client, as_json: bool) -> None:
    """Show JOB and the states of its tasks."""
    _print_response(entry.call("GET", _make_path(job_id)), as_json)


@job.command(name="list")
@options.entry_option
@output.json_option
@output.report_errors
def list_(entry: client.Client, as_json: bool) -> None:
    """List the jobs."""
    response = entry.call("GET", "/v1/jobs")
    jobs = response.get("jobs", []) if isinstance(response, dict) else response
    if as_json:
        output.print_json(response)
        return
    names = ("job", "team", "state")
    rows = ([item.get(name, "") for name in names] for item in jobs)
    click.echo(output.format_table([name.upper() for name in names], rows))


def _make_path(job_id: str) -> str:
    return f"/v1/jobs/{urllib.parse.quote(job_id, safe='')}"


def _print_response(response: Any, as_json: bool) -> None:
    if as_json:
        output.print_json(response)
    else:
        click.echo(output.format_fields(response))
