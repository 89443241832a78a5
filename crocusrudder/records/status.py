"""Compose which revision is in force where, and which processes are behind."""

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
    """What is known of one process or, for another entry's cell, of its agents together."""

    process: str
    role: str
    data_centre: str
    revision: int | None
    silent: bool
    behind: bool


def summarise_cell(
    cell: ids.CellId, known: receivers.Receivers, revision: ids.Revision
) -> tuple[ids.Revision, tuple[ids.ProcessId, ...]]:
    """Return the lowest revision that the cell's agents reported and who is behind."""
    agents = [agent for agent in known.agents if agent.cell == cell]
    lowest = min((agent.revision or 0 for agent in agents), default=revision)
    behind = [agent.process for agent in agents if agent.is_behind(revision)]
    return ids.Revision(lowest), tuple(sorted(behind)[:MAX_BEHIND_IN_DIGEST])


def compose(
    own: receivers.Receiver,
    known: receivers.Receivers,
    cells: Mapping[str, str],
    owned: Collection[ids.CellId],
    now: float,
) -> dict[str, Any]:
    """Return the status as JSON types.

    ``in_force`` is the revision that every process of a data centre has reported, None while one
    of them has reported nothing. Cells that no live entry reports are listed, because their
    agents' revisions are unknown.
    """
    entries = [own, *known.entries]
    target = max(receiver.revision or 0 for receiver in entries)
    reports = [
        *(_report_entry(entry, target, now) for entry in entries),
        *(_report_agent(agent, target, now) for agent in known.agents),
        *_report_cells(known, target, now),
    ]
    unknown = _find_unknown_cells(known, cells, owned, now)
    centres = sorted({report.data_centre for report in reports} | set(cells.values()))
    return {
        "revision": target,
        "data_centres": {
            centre: _summarise(centre, reports, unknown, cells, target) for centre in centres
        },
        "behind": [msgspec.to_builtins(report) for report in reports if report.behind],
        "silent": sorted(report.process for report in reports if report.silent),
        "cells_unreported": unknown,
    }


def _summarise(
    centre: str, reports: list[Report], unknown: list[str], cells: Mapping[str, str], target: int
) -> dict[str, Any]:
    local = [report for report in reports if report.data_centre == centre]
    revisions = [report.revision for report in local]
    known = [revision for revision in revisions if revision is not None]
    in_force = min(known) if known and len(known) == len(revisions) else None
    unreported = [cell for cell in unknown if cells[cell] == centre]
    return {
        "in_force": in_force,
        "complete": in_force == target and not unreported,
        "processes": len(local),
        "behind": sorted(report.process for report in local if report.behind),
    }


def _report_entry(entry: receivers.Receiver, target: int, now: float) -> Report:
    silent = entry.is_silent(now, receivers.ENTRY_SILENT_SECONDS)
    return _make_report(entry, "entry", target, silent)


def _report_agent(agent: receivers.Receiver, target: int, now: float) -> Report:
    silent = agent.is_silent(now, receivers.AGENT_SILENT_SECONDS)
    return _make_report(agent, "agent", target, silent)


def _make_report(receiver: receivers.Receiver, role: str, target: int, silent: bool) -> Report:
    return Report(
        receiver.process,
        role,
        receiver.data_centre,
        receiver.revision,
        silent,
        receiver.is_behind(target),
    )


def _iterate_digests(
    known: receivers.Receivers, now: float
) -> Iterator[tuple[receivers.Receiver, messages.CellDigest]]:
    for entry in known.entries:
        for digest in entry.cells:
            yield entry, digest


def _report_cells(known: receivers.Receivers, target: int, now: float) -> Iterator[Report]:
    """Yield a report for the agents of each other entry's cell."""
    for entry, digest in _iterate_digests(known, now):
        if digest.workers == 0:
            continue
        silent = entry.is_silent(now, receivers.ENTRY_SILENT_SECONDS)
        revision = digest.lowest_revision
        for process in digest.behind:
            yield Report(process, "agent", digest.data_centre, revision, silent, revision < target)
        if not digest.behind:
            name = f"agents of cell {digest.cell}"
            yield Report(name, "cell", digest.data_centre, revision, silent, revision < target)


def _find_unknown_cells(
    known: receivers.Receivers, cells: Mapping[str, str], owned: Collection[ids.CellId], now: float
) -> list[str]:
    reported = {
        digest.cell
        for entry, digest in _iterate_digests(known, now)
        if not entry.is_silent(now, receivers.ENTRY_SILENT_SECONDS)
    }
    return sorted(set(cells) - reported - set(owned))
