"""Report the revision in force in each data centre and the processes that are behind."""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

import msgspec

from crocusrudder.core import ids
from crocusrudder.records import receivers
from crocusrudder.wire import messages

MAX_BEHIND_IN_DIGEST = 8


class Report(msgspec.Struct, frozen=True):
    """State of one process or, for a cell of another entry, of all its agents together."""

    process: str
    role: str
    data_centre: str
    revision: int | None
    silent: bool
    behind: bool


def summarise_cell(
    cell: ids.CellId, others: receivers.Receivers, revision: ids.Revision
) -> tuple[ids.Revision, tuple[ids.ProcessId, ...]]:
    """Return the lowest revision that the cell's agents reported, and the first agents behind."""
    agents = [agent for agent in others.agents if agent.cell == cell]
    lowest = min((agent.revision or 0 for agent in agents), default=revision)
    behind = [agent.process for agent in agents if agent.is_behind(revision)]
    return ids.Revision(lowest), tuple(sorted(behind)[:MAX_BEHIND_IN_DIGEST])


def build_status(
    own: receivers.Receiver,
    others: receivers.Receivers,
    cells: Mapping[str, str],
    owned: Collection[ids.CellId],
    now: float,
) -> dict[str, Any]:
    """Return the status as JSON types.

    ``in_force`` is the lowest revision that the processes of a data centre have reported, None
    while one of them has reported none. ``cells_unreported`` lists the cells that no responsive
    entry reports, because the revisions of their agents are unknown.
    """
    entries = [own, *others.entries]
    target = max(receiver.revision or 0 for receiver in entries)
    reports = [
        *(_report_entry(entry, target, now) for entry in entries),
        *(_report_agent(agent, target, now) for agent in others.agents),
        *_report_cells(others, target, now),
    ]
    unreported_cells = _find_unreported_cells(others, cells, owned, now)
    data_centres = sorted({report.data_centre for report in reports} | set(cells.values()))
    return {
        "revision": target,
        "data_centres": {
            data_centre: _summarise(data_centre, reports, unreported_cells, cells, target)
            for data_centre in data_centres
        },
        "behind": [msgspec.to_builtins(report) for report in reports if report.behind],
        "silent": sorted(report.process for report in reports if report.silent),
        "cells_unreported": unreported_cells,
    }


def _summarise(
    data_centre: str,
    reports: list[Report],
    unreported_cells: list[str],
    cells: Mapping[str, str],
    target: int,
) -> dict[str, Any]:
    local = [report for report in reports if report.data_centre == data_centre]
    revisions = [report.revision for report in local]
    known = [revision for revision in revisions if revision is not None]
    in_force = min(known) if known and len(known) == len(revisions) else None
    unreported = [cell for cell in unreported_cells if cells[cell] == data_centre]
    return {
        "in_force": in_force,
        "complete": in_force == target and not unreported,
        "processes": len(local),
        "behind": sorted(report.process for report in local if report.behind),
    }


def _report_entry(entry: receivers.Receiver, target: int, now: float) -> Report:
    is_unresponsive = entry.is_unresponsive(now, receivers.ENTRY_TIMEOUT_SECONDS)
    return _make_report(entry, "entry", target, is_unresponsive)


def _report_agent(agent: receivers.Receiver, target: int, now: float) -> Report:
    is_unresponsive = agent.is_unresponsive(now, receivers.AGENT_TIMEOUT_SECONDS)
    return _make_report(agent, "agent", target, is_unresponsive)


def _make_report(
    receiver: receivers.Receiver, role: str, target: int, is_unresponsive: bool
) -> Report:
    return Report(
        receiver.process,
        role,
        receiver.data_centre,
        receiver.revision,
        is_unresponsive,
        receiver.is_behind(target),
    )


def _iterate_digests(
    others: receivers.Receivers, now: float
) -> Iterator[tuple[receivers.Receiver, messages.CellDigest]]:
    for entry in others.entries:
        for digest in entry.cells:
            yield entry, digest


def _report_cells(others: receivers.Receivers, target: int, now: float) -> Iterator[Report]:
    """Yield reports for the agents of cells that other entries own."""
    for entry, digest in _iterate_digests(others, now):
        if digest.workers == 0:
            continue
        is_unresponsive = entry.is_unresponsive(now, receivers.ENTRY_TIMEOUT_SECONDS)
        revision = digest.lowest_revision
        for process in digest.behind:
            yield Report(
                process, "agent", digest.data_centre, revision, is_unresponsive, revision < target
            )
        if not digest.behind:
            name = f"agents of cell {digest.cell}"
            yield Report(
                name, "cell", digest.data_centre, revision, is_unresponsive, revision < target
            )


def _find_unreported_cells(
    others: receivers.Receivers, cells: Mapping[str, str], owned: Collection[ids.CellId], now: float
) -> list[str]:
    reported = {
        digest.cell
        for entry, digest in _iterate_digests(others, now)
        if not entry.is_unresponsive(now, receivers.ENTRY_TIMEOUT_SECONDS)
    }
    return sorted(set(cells) - reported - set(owned))
