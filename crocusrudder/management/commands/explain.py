"""Command that merges the log lines of all processes about one id."""

import pathlib
from collections.abc import Iterable
from collections.abc import Iterator

import click
import msgspec

from crocusrudder.management import options
from crocusrudder.management import output


class LogLine(msgspec.Struct, frozen=True):
    """One line of the log of a process."""

    time: str
    process: str
    event: str
    fields: dict[str, object] = {}
    level: str = ""


def read_lines(paths: Iterable[pathlib.Path], searched_id: str) -> Iterator[LogLine]:
    """Yield the log lines that contain an id; task ids contain the id of their job.

    Malformed lines are reported on standard error and skipped.
    """
    for path in paths:
        with path.open("rb") as file:
            for data in file:
                json_start = data.find(b"{")
                if json_start < 0 or searched_id.encode() not in data:
                    continue
                try:
                    yield msgspec.json.decode(data[json_start:].strip(), type=LogLine)
                except (msgspec.MsgspecError, RecursionError):
                    click.echo(f"{path}: malformed log line: {data[:80]!r}", err=True)


def format_line(line: LogLine) -> str:
    """Return a log line in readable form."""
    fields = " ".join(
        f"{name}={msgspec.json.encode(value).decode()}" for name, value in line.fields.items()
    )
    return f"{line.time} {line.process} {line.event} {fields}"


@click.command()
@click.argument("id_")
@click.option("--logs", type=options.FILE, multiple=True, required=True, help="A log file.")
@output.report_errors
def explain(id_: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Print the log lines of all processes about a job, task or worker, sorted by time.

    The order across processes is approximate, since their clocks can differ.

    Exit codes: 0 done, 5 no log line contains the id.
    """
    lines = sorted(read_lines(logs, id_), key=lambda line: line.time)
    for line in lines:
        click.echo(format_line(line))
    if not lines:
        click.echo(f"no log line contains {id_}", err=True)
        raise click.exceptions.Exit(5)
