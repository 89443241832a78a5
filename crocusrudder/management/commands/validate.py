"""Commands that check files."""

import pathlib
import sys

import click
import msgspec

from crocusrudder.conf import loader
from crocusrudder.core import checks as core_checks
from crocusrudder.core import documents
from crocusrudder.management import errors
from crocusrudder.management import files
from crocusrudder.management import options
from crocusrudder.management import output
from crocusrudder.management import store_reader
from crocusrudder.platform import configuration_file
from crocusrudder.records import checks
from crocusrudder.workflows import checks as workflow_checks
from crocusrudder.workflows import configuration_differences


@click.group()
def validate() -> None:
    """Check a file and print every problem; only --in-force contacts another process.

    Exit codes: 0 no errors (warnings are possible), 2 wrong usage, 3 errors or an unreadable file,
    5 the store holds no configuration in force, 6 the store is unavailable.
    """


@validate.command()
@click.argument("file", type=options.FILE)
@output.json_option
@output.report_errors
def settings(file: pathlib.Path, as_json: bool) -> None:
    """Check the settings of an entry or an agent; settings with a worker are those of an agent."""
    data = files.read_bytes(file)
    value, _ = documents.decode_json(data)
    _report(loader.find_problems(data, loader.guess_type(value)), as_json)


@validate.command()
@click.argument("file", type=options.FILE)
@output.json_option
@output.report_errors
def record(file: pathlib.Path, as_json: bool) -> None:
    """Check a placement record."""
    _report(checks.find_problems(files.read_bytes(file)), as_json)


@validate.command()
@click.argument("file", type=options.FILE, default="deploy/system.toml")
@output.json_option
@output.report_errors
@click.pass_context
def deployment(context: click.Context, file: pathlib.Path, as_json: bool) -> None:
    """Check the deploy file of the platform and the template that it references."""
    commands = context.find_root().command.list_commands(context)
    _report(workflow_checks.find_problems(file, commands), as_json)


@validate.command()
@click.argument("file", type=options.FILE)
@click.option(
    "--against", type=options.FILE, help="File with the configuration in force, to compare with."
)
@click.option(
    "--in-force",
    metavar="IP:PORT",
    callback=options.parse_address,
    help="Address of the platform's store, whose configuration in force to compare with.",
)
@output.json_option
@output.report_errors
def configuration(
    file: pathlib.Path,
    against: pathlib.Path | None,
    in_force: str | None,
    as_json: bool,
) -> None:
    """Check a configuration of the platform before it is sent.

    Errors come before warnings, and differences from the version in force after both. Differences
    do not change the exit code.
    """
    if against and in_force:
        raise click.UsageError("use one of --against and --in-force")
    data = files.read_bytes(file)
    current = None
    if against:
        current = configuration_file.read_in_force(files.read_bytes(against), str(against))
    elif in_force:
        current = configuration_file.read_in_force(store_reader.read(in_force), in_force)
    result = configuration_file.check(data, current)
    _report(result.problems, as_json, result.differences)


def _report(
    problems: list[core_checks.Problem],
    as_json: bool,
    differences: list[configuration_differences.Difference] | None = None,
) -> None:
    if as_json:
        lists = {"problems": problems} | (
            {} if differences is None else {"differences": differences}
        )
        output.print_json({name: msgspec.to_builtins(items) for name, items in lists.items()})
    else:
        click.echo(output.format_problems(problems) or "no problems found")
        if differences is not None:
            lines = [f"difference at {difference}" for difference in differences]
            click.echo("\n".join(lines) or "no differences from the version in force")
    if any(problem.severity is core_checks.Severity.ERROR for problem in problems):
        sys.exit(errors.ExitCode.INVALID)
