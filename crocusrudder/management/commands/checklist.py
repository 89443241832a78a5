"""Command that prints the cutover checklist."""

from collections.abc import Iterator
from typing import Any

import click
import msgspec

from crocusrudder.management import client
from crocusrudder.management import options
from crocusrudder.management import output
from crocusrudder.management.commands import record


class ChecklistItem(msgspec.Struct, frozen=True):
    """One line of the checklist; ``done`` is None if an operator has to verify the item."""

    text: str
    done: bool | None = None

    def __str__(self) -> str:
        """Return the line with its checkbox."""
        return f"[{'x' if self.done else ' '}] {self.text}"


@click.command()
@click.option("--service", default=None, help="Print the checklist of this service only.")
@options.entry_option
@output.json_option
@output.report_errors
def checklist(service: str | None, entry: client.Client, as_json: bool) -> None:
    """Print the checklist for migrating order kinds between schema versions.

    Items confirmed by the records in force are already checked. See docs/how-to/cutover.md.
    """
    response = record.fetch_records(entry)
    status = entry.call("GET", "/v1/records/status")
    sections = {"configuration": list(list_global_items(status))} | {
        f"service {name}": list(list_service_items(name, response["records"]))
        for name in _find_services(response["records"])
        if service in (None, name)
    }
    if as_json:
        output.print_json(sections)
        return
    for title, items in sections.items():
        click.echo(title)
        for item in items:
            click.echo(f"  {item}")


def list_global_items(status: dict[str, Any]) -> Iterator[ChecklistItem]:
    """Yield the items that concern the whole configuration."""
    for name, centre in status["data_centres"].items():
        text = f"revision {status['revision']} is in force in {name}"
        behind = f" (behind: {', '.join(centre['behind'])})" if centre["behind"] else ""
        yield ChecklistItem(text + behind, centre["complete"])
    unresponsive = status["silent"]
    yield ChecklistItem(
        f"every process is responsive{f' (not: {unresponsive})' if unresponsive else ''}",
        not unresponsive,
    )
    yield ChecklistItem(
        "the records under version control equal those in force (crocusrudder diff)"
    )


def list_service_items(name: str, records: list[dict[str, Any]]) -> Iterator[ChecklistItem]:
    """Yield the items of one service in the order of the migration steps."""
    versions = [item["schema_version"] for item in _select(records, "service", name)]
    for version in (1, 2):
        yield ChecklistItem(f"schema version {version} has a record", version in versions)
    order_kinds = _find_order_kinds(name, records)
    if not order_kinds:
        yield ChecklistItem("a cutover record names the order kinds", False)
    for order_kind, cutover in sorted(order_kinds.items()):
        version = cutover["schema_version"]
        signed_off_by = cutover["signed_off_by"]
        yield ChecklistItem(
            f"{order_kind}: signed off for version {version} by {signed_off_by}", True
        )
        yield ChecklistItem(f"{order_kind}: served by version 2", version == 2)
        yield ChecklistItem(
            f"{order_kind}: orders compared with the old ledger, none lost or doubled"
        )
    yield ChecklistItem("no order kind is missing from the cutover record")
    yield ChecklistItem("the old ledger is closed for writing and archived")
    yield ChecklistItem("schema version 1 is retired", versions == [2])


def _find_services(records: list[dict[str, Any]]) -> list[str]:
    return sorted({item["name"] for item in records if item["kind"] == "service"})


def _select(records: list[dict[str, Any]], kind: str, name: str) -> list[dict[str, Any]]:
    return [item for item in records if item["kind"] == kind and item["name"] == name]


def _find_order_kinds(name: str, records: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    cutovers = _select(records, "cutover", name)
    newest = max(cutovers, key=lambda item: item["schema_version"], default=None)
    return newest["record"]["order_kinds"] if newest else {}
