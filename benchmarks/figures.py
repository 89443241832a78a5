"""Design sizes and limits, and helpers to run benchmarks, fit lines and print results."""

import concurrent.futures
import json
import pathlib
import statistics
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import click

WORKERS = 1_100
ENTRIES = 32
CELLS = 32
CELL_WORKERS = 35
PEAK_STARTS_PER_SECOND = 550
JOBS_PER_DAY = 17_000
LATENCY_CRITICAL_TASKS = 7_500
BATCH_TASKS = 13_000
CHANGES_PER_DAY = 1_900
ROW_WRITES_PER_SECOND = 300
READS_PER_SECOND = 2_000
DAEMON_CPU_PERCENT = 1.2
DAEMON_MEMORY_MB = 64
DAEMON_BYTES_PER_SECOND = 4_000

ENDPOINTS_PER_WORKER = 7
"""From 7,500 latency-critical tasks on 1,100 workers."""
TASKS_PER_WORKER = 12
"""From 13,000 batch tasks on 1,100 workers."""
PACKET_HEADER_BYTES = 60
"""TCP and IP headers of one packet."""

MAX_PROCESSES = 4
"""Maximum number of processes; leaves processors for other work on the machine."""

Row = Mapping[str, Any]


class LinearFit:
    """A least-squares line through measurements."""

    def __init__(self, sizes: Sequence[float], values: Sequence[float]) -> None:
        line = statistics.linear_regression(sizes, values)
        self.per_unit = line.slope
        self.constant = line.intercept

    def predict(self, size: float) -> float:
        return self.constant + self.per_unit * size

    def to_dict(self) -> dict[str, float]:
        return {"constant": self.constant, "per_unit": self.per_unit}


def fit_line(rows: Iterable[Row], size: str, value: str) -> LinearFit:
    """Return the least-squares line of the column ``value`` over the column ``size``."""
    listed = list(rows)
    return LinearFit([row[size] for row in listed], [row[value] for row in listed])


def print_table(title: str, rows: Sequence[Row]) -> None:
    """Print a table of rows that all have the same columns."""
    click.echo(f"\n{title}")
    names = list(rows[0])
    cells = [names] + [[format_value(row[name]) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    for line in cells:
        click.echo("  ".join(text.rjust(width) for text, width in zip(line, widths, strict=True)))


def format_value(value: object) -> str:
    """Format a value with a precision that suits its magnitude."""
    if not isinstance(value, float):
        return str(value)
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.2f}" if abs(value) >= 0.1 else f"{value:.4f}"


def run_all(function: Callable[..., Any], arguments: Sequence[tuple]) -> list[Any]:
    """Call ``function`` with each tuple in a process pool; return the results in order."""
    with concurrent.futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        return list(pool.map(function, *zip(*arguments, strict=True)))


def write_json(path: pathlib.Path | None, content: object) -> None:
    """Write ``content`` as JSON unless ``path`` is None."""
    if path is not None:
        path.write_text(json.dumps(content, indent=2) + "\n", encoding="utf-8")


json_option = click.option(
    "--json",
    "json_path",
    type=click.Path(path_type=pathlib.Path),
    help="Write the results to this file.",
)
