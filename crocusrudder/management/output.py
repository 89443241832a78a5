"""Print responses as JSON or as text, and errors with their exit codes."""

import functools
import sys
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NoReturn

import click
import msgspec

from crocusrudder.core import checks
from crocusrudder.core import errors as core_errors
from crocusrudder.management import errors

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")


def print_json(value: Any) -> None:
    """Print a value as indented JSON; types unknown to JSON are printed as strings."""
    text = msgspec.json.format(msgspec.json.encode(value, enc_hook=str), indent=2)
    click.echo(text.decode())


def format_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows in aligned columns under a header."""
    table = [tuple(header), *(tuple(_format_cell(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in table
    )


def format_fields(value: Any, indent: int = 0) -> str:
    """Return nested JSON values as indented lines."""
    pad = "  " * indent
    if isinstance(value, dict) and value:
        return "\n".join(
            f"{pad}{key}:\n{format_fields(item, indent + 1)}"
            if isinstance(item, (dict, list)) and item
            else f"{pad}{key}: {_format_cell(item)}"
            for key, item in value.items()
        )
    if isinstance(value, list) and value:
        return "\n".join(f"{pad}- {format_fields(item, indent + 1).lstrip()}" for item in value)
    return f"{pad}{_format_cell(value)}"


def format_problems(problems: Iterable[checks.Problem]) -> str:
    """Return one line for each problem."""
    return "\n".join(str(problem) for problem in problems)


def report_errors(function: Callable) -> Callable:
    """Decorate a command to print coded errors and exit with the matching exit code.

    Errors are printed as JSON if the command is called with ``as_json``.
    """

    @functools.wraps(function)
    def run(*args: Any, **kwargs: Any) -> Any:
        try:
            return function(*args, **kwargs)
        except core_errors.CrocusrudderError as error:
            exit_with_error(error, bool(kwargs.get("as_json")))

    return run


def exit_with_error(error: core_errors.CrocusrudderError, as_json: bool) -> NoReturn:
    """Print an error, as text to standard error or as JSON to standard output, and exit."""
    body = describe_error(error)
    if as_json:
        print_json(body)
    else:
        click.echo(_format_error(body), err=True)
    sys.exit(get_exit_code(error))


def describe_error(error: core_errors.CrocusrudderError) -> dict[str, Any]:
    """Return an error as JSON types, with the list of its problems if it has one."""
    if isinstance(error, checks.CheckFailedError):
        problems = [msgspec.to_builtins(problem) for problem in error.problems]
        return {
            "code": error.code,
            "message": f"{len(problems)} problems found",
            "hint": "",
            "problems": problems,
        }
    return error.to_dict()


def get_exit_code(error: core_errors.CrocusrudderError) -> errors.ExitCode:
    if isinstance(error, errors.CommandError):
        return error.exit_code
    if isinstance(error, checks.CheckFailedError) or error.code.startswith("CR-CONF"):
        return errors.ExitCode.INVALID
    return errors.ExitCode.INTERNAL


def _format_error(body: dict[str, Any]) -> str:
    lines = [f"error {body['code']}: {body['message']}"]
    for problem in body.get("problems") or ():
        lines.append(f"  {msgspec.convert(problem, checks.Problem)}")
    displayed_keys = {"state", "change", "revision", "record"} & body.keys()
    lines += [format_fields({name: body[name]}, 1) for name in sorted(displayed_keys)]
    if body.get("hint"):
        lines.append(f"  hint: {body['hint']}")
    return "\n".join(lines)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (dict, list)):
        return msgspec.json.encode(value).decode()
    return str(value)
