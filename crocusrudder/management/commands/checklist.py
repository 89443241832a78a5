"""Command that prints the cutover checklist."""

from collections.abc import Iterator
from typing import Any

import click
import msgspec

from crocusrudder.management import client
from crocusrudder.management import options
from crocusrudder.management import output
from crocusrudder.management.commands import record


class Item(msgspec.Struct, frozen=True):
    """One line of the checklist; ``done`` is None if only a person can tell."""

    text: str
    done: bool | None = None

    def __str__(self) -> str:
        """Return the line with its box."""
        return f"[{'x' if self.done else ' '}] {self.text}"


@click.command()
@click.option("--service", default=None, help="Print the list of this service only.")
@options.entry_option
@output.json_option
@output.report_errors
def checklist(service: str | None, entry: client.Client, as_json: bool) -> None:
    """Print the items to tick off when order kinds migrate between schema versions.

    Items that the records in force prove are ticked already. docs/how-to/cutover.md explains them.
    """
    answer = record.fetch_records(entry)
    state = entry.call("GET", "/v1/records/status")
    sections = {"configuration": list(list_general(state))} | {
        f"service {name}": list(list_service(name, answer["records"]))
        for name in _find_services(answer["records"])
        if service in (None, name)
    }
    if as_json:
        output.print_json(sections)
        return
    for title, items in sections.items():
        click.echo(title)
        for item in items:
            click.echo(f"  {item}")


def list_general(state: dict[str, Any]) -> Iterator[Item]:
    """Yield the items about the whole configuration."""
    for name, centre in state["data_centres"].items():
        text = f"revision {state['revision']} is in force in {name}"
        behind = f" (behind: {', '.join(centre['behind'])})" if centre["behind"] else ""
        yield Item(text + behind, centre["complete"])
    silent = state["silent"]
    yield Item(f"every process is heard{f' (not: {silent})' if silent else ''}", not silent)
    yield Item("the records under version control equal those in force (crocusrudder diff)")


def list_service(name: str, records: list[dict[str, Any]]) -> Iterator[Item]:
    """Yield the items about one service in the order in which they come up."""
    versions = [item["schema_version"] for item in _select(records, "service", name)]
    for version in (1, 2):
        yield Item(f"schema version {version} has a record", version in versions)
    order_kinds = _find_order_kinds(name, records)
    if not order_kinds:
        yield Item("a cutover record names the order kinds", False)
    for order_kind, cutover in sorted(order_kinds.items()):
        version = cutover["schema_version"]
        signed = cutover["signed_off_by"]
        yield Item(f"{order_kind}: signed off for version {version} by {signed}", True)
        yield Item(f"{order_kind}: served by version 2", version == 2)
        yield Item(f"{order_kind}: orders compared with the old ledger, none lost or doubled")
    yield Item("no order kind is missing from the cutover record")
    yield Item("the old ledger is closed for writing and archived")
    yield Item("schema version 1 is retired", versions == [2])


def _find_services(records: list[dict[str, Any]]) -> list[str]:
    return sorted({item["name"] for item in records if item["kind"] == "service"})


def _select(records: list[dict[str, Any]], kind: str, name: str) -> list[dict[str, Any]]:
    return [item for item in records if item["kind"] == kind and item["name"] == name]


def _find_order_kinds(name: str, records: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    cutovers = _select(records, "cutover", name)
    newest = max(cutovers, key=lambda item: item["schema_version"], default=None)
    return newest["record"]["order_kinds"] if newest else {}
