"""Command that compares record files with the records in force."""

import pathlib
import sys
from collections.abc import Iterator
from typing import Any

import click
import msgspec

from crocusrudder.core import checks as core_checks
from crocusrudder.management import client
from crocusrudder.management import errors
from crocusrudder.management import files
from crocusrudder.management import options
from crocusrudder.management import output
from crocusrudder.management.commands import record
from crocusrudder.records import checks
from crocusrudder.records import schema

Documents = dict[schema.RecordKey, dict[str, Any]]
MISSING = "(missing)"


@click.command()
@click.argument("directory", type=options.DIRECTORY)
@options.entry_option
@output.json_option
@output.report_errors
def diff(directory: pathlib.Path, entry: client.Client, as_json: bool) -> None:
    """Compare the record files (*.json) under DIRECTORY with the records in force.

    Exit codes: 0 no difference, 3 invalid files, 6 unavailable, 8 differences.
    """
    directory_documents = read_directory(directory)
    documents_in_force = _read_in_force(entry)
    differences = list(compare(directory_documents, documents_in_force))
    if as_json:
        output.print_json({"differences": differences})
    elif differences:
        header = ("RECORD", "FIELD", "IN DIRECTORY", "IN FORCE")
        keys = ("record", "field", "directory", "in_force")
        click.echo(
            output.format_table(header, ([item[key] for key in keys] for item in differences))
        )
    else:
        click.echo(f"no differences in {len(directory_documents)} records")
    if differences:
        sys.exit(errors.ExitCode.DIFFERENT)


def read_directory(directory: pathlib.Path) -> Documents:
    """Return the records of all files; raise ``CheckFailedError`` with the problems of all."""
    documents: Documents = {}
    problems: list[core_checks.Problem] = []
    for path in sorted(directory.rglob("*.json")):
        name = str(path.relative_to(directory))
        try:
            parsed = checks.parse(files.read_json(path))
        except core_checks.CheckFailedError as error:
            problems += [_prefix_path(name, problem) for problem in error.problems]
            continue
        key = schema.get_key(parsed)
        if key in documents:
            hint = "keep one file for each record"
            problems.append(core_checks.Problem("CR-CMD-006", name, f"{key} occurs twice", hint))
        documents[key] = msgspec.to_builtins(parsed)
    if problems:
        raise core_checks.CheckFailedError(problems)
    return documents


def compare(
    directory_documents: Documents, documents_in_force: Documents
) -> Iterator[dict[str, Any]]:
    """Yield each field that differs, and each record that exists on one side only."""
    for key in sorted(directory_documents.keys() | documents_in_force.keys()):
        left, right = directory_documents.get(key), documents_in_force.get(key)
        if left is None:
            yield _describe_difference(key, "", MISSING, "present")
        elif right is None:
            yield _describe_difference(key, "", "present", MISSING)
        else:
            for field in sorted(left.keys() | right.keys()):
                values = left.get(field, MISSING), right.get(field, MISSING)
                if values[0] != values[1]:
                    yield _describe_difference(key, field, *values)


def _describe_difference(
    key: schema.RecordKey, field: str, left: Any, right: Any
) -> dict[str, Any]:
    return {"record": str(key), "field": field, "directory": left, "in_force": right}


def _prefix_path(name: str, problem: core_checks.Problem) -> core_checks.Problem:
    return msgspec.structs.replace(problem, path=f"{name}:{problem.path}")


def _read_in_force(entry: client.Client) -> Documents:
    return {
        schema.RecordKey(item["kind"], item["name"], item["schema_version"]): item["record"]
        for item in record.fetch_records(entry)["records"]
    }
