"""Sizes of the design, slopes of measurements, tables and JSON."""

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
"""7,500 latency-critical tasks on 1,100 workers."""
TASKS_PER_WORKER = 12
"""13,000 batch tasks on 1,100 workers."""
PACKET_HEADER_BYTES = 60
"""TCP and IP headers of one packet."""

MAX_POOL = 4
"""The machine has other work too."""

Row = Mapping[str, Any]


class Slope:
    """A straight line through measurements, by least squares."""

    def __init__(self, sizes: Sequence[float], values: Sequence[float]) -> None:
        line = statistics.linear_regression(sizes, values)
        self.per_unit = line.slope
        self.constant = line.intercept

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.constant + self.per_unit * size

    def to_dict(self) -> dict[str, float]:
        """Return the line for JSON."""
        return {"constant": self.constant, "per_unit": self.per_unit}


def fit(rows: Iterable[Row], size: str, value: str) -> Slope:
    """Return the line of one column over another."""
    listed = list(rows)
    return Slope([row[size] for row in listed], [row[value] for row in listed])


def print_table(title: str, rows: Sequence[Row]) -> None:
    """Print rows with the same columns."""
    click.echo(f"\n{title}")
    names = list(rows[0])
    cells = [names] + [[format_value(row[name]) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    for line in cells:
        click.echo("  ".join(text.rjust(width) for text, width in zip(line, widths, strict=True)))


def format_value(value: object) -> str:
    """Return a number with as many digits as matter."""
    if not isinstance(value, float):
        return str(value)
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.2f}" if abs(value) >= 0.1 else f"{value:.4f}"


def run_all(function: Callable[..., Any], arguments: Sequence[tuple]) -> list[Any]:
    """Call a function with each tuple of arguments, in a few processes at a time."""
    with concurrent.futures.ProcessPoolExecutor(MAX_POOL) as pool:
        return list(pool.map(function, *zip(*arguments, strict=True)))


def write_json(path: pathlib.Path | None, content: object) -> None:
    """Write the results if a path is given."""
    if path is not None:
        path.write_text(json.dumps(content, indent=2) + "\n", encoding="utf-8")


json_option = click.option(
    "--json",
    "json_path",
    type=click.Path(path_type=pathlib.Path),
    help="Write the results to this file.",
)
