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
    """Submit, cancel and look at batch jobs."""


@job.command()
@click.argument("file", type=options.FILE)
@click.option(
    "--job",
    "job_id",
    metavar="ID",
    default=None,
    help="Id of the job. Repeat the command with the same id to make sure that the job is "
    'submitted once. [default: "job" in FILE, or a new one]',
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
    chosen = job_id or document.get("job") or options.make_id()
    try:
        answer = entry.call("POST", "/v1/jobs", document | {"job": chosen})
    except errors.AnswerLostError as error:
        hint = f"repeat the command with --job {chosen}"
        raise errors.AnswerLostError(error.message, hint) from error
    _print(answer, as_json)


@job.command()
@click.argument("job_id", metavar="JOB")
@options.entry_option
@output.json_option
@output.report_errors
def cancel(job_id: str, entry: client.Client, as_json: bool) -> None:
    """Cancel JOB; repeating it has no further effect.

    Exit codes: 0 cancelled, 5 no such job, 6 unavailable (no effect), 7 outcome unknown: repeat.
    """
    _print(entry.call("DELETE", _make_path(job_id)), as_json)


@job.command()
@click.argument("job_id", metavar="JOB")
@options.entry_option
@output.json_option
@output.report_errors
def show(job_id: str, entry: client.Client, as_json: bool) -> None:
    """Show JOB and the states of its tasks."""
    _print(entry.call("GET", _make_path(job_id)), as_json)


@job.command(name="list")
@options.entry_option
@output.json_option
@output.report_errors
def list_(entry: client.Client, as_json: bool) -> None:
    """List the jobs."""
    answer = entry.call("GET", "/v1/jobs")
    jobs = answer.get("jobs", []) if isinstance(answer, dict) else answer
    if as_json:
        output.print_json(answer)
        return
    names = ("job", "team", "state")
    lines = ([item.get(name, "") for name in names] for item in jobs)
    click.echo(output.format_table([name.upper() for name in names], lines))


def _make_path(job_id: str) -> str:
    return f"/v1/jobs/{urllib.parse.quote(job_id, safe='')}"


def _print(answer: Any, as_json: bool) -> None:
    if as_json:
        output.print_json(answer)
    else:
        click.echo(output.format_fields(answer))
