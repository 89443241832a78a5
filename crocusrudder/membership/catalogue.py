"""Endpoints known to an entry, grouped by the agent that serves them.

An entry receives endpoints from the owners of cells, from its own worker table and, while a cell
has no owner, from the agents themselves. Endpoints are retained across a change of owner so that
requests can be routed before the agents have reported to the new owner.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages

RETENTION_SECONDS = 90.0
"""How long endpoints are retained after the last report of an owner or agent."""
INHERITED_RETENTION_SECONDS = 15.0
"""How long endpoints reported by a former owner are retained once a new owner reports.

An agent needs up to 8 s to detect that its owner is gone, and more time to find the new one.
"""

Endpoints = tuple[messages.EndpointAt, ...]
_ServiceKey = tuple[ids.ServiceName, int]


class _AgentEndpoints(msgspec.Struct):
    """Endpoints of one agent, with the cell and the epoch under which they were reported."""

    cell: ids.CellId
    epoch: ids.CellEpoch
    endpoints: Endpoints
    expires_at: float


class EndpointCatalogue:
    """Store the endpoints of the region and look them up by service."""

    def __init__(self) -> None:
        self._agents: dict[ids.ProcessId, _AgentEndpoints] = {}
        self._index: dict[_ServiceKey, list[messages.EndpointAt]] = {}
        self._is_stale = False

    def find(self, service: ids.ServiceName, schema_version: int) -> list[messages.EndpointAt]:
        """Return the endpoints of a service that are not draining, in arbitrary order."""
        if self._is_stale:
            self._rebuild_index()
        return self._index.get((service, schema_version), [])

    def update_cell(
        self,
        cell: ids.CellId,
        epoch: ids.CellEpoch,
        reported: Mapping[ids.ProcessId, Endpoints],
        now: float,
    ) -> None:
        """Apply a complete list of a cell's endpoints, sent by its owner under ``epoch``.

        Agents missing from the list are removed if they were reported under this epoch. Those
        reported only under an earlier epoch are retained for ``INHERITED_RETENTION_SECONDS``.
        """
        self._is_stale = True
        for agent, known in list(self._agents.items()):
            if known.cell != cell or agent in reported:
                continue
            if known.epoch >= epoch:
                del self._agents[agent]
            else:
                known.expires_at = min(known.expires_at, now + INHERITED_RETENTION_SECONDS)
        for agent, endpoints in reported.items():
            self._agents[agent] = _AgentEndpoints(cell, epoch, endpoints, now + RETENTION_SECONDS)

    def refresh_cell(self, cell: ids.CellId, epoch: ids.CellEpoch, now: float) -> None:
        """Extend the retention of a cell's endpoints after a report without a complete list."""
        for known in self._agents.values():
            if known.cell == cell and known.epoch == epoch:
                known.expires_at = now + RETENTION_SECONDS

    def update_agent(
        self, agent: ids.ProcessId, cell: ids.CellId, endpoints: Endpoints, now: float
    ) -> None:
        """Record the endpoints that an agent itself has reported."""
        known = self._agents.get(agent)
        epoch = known.epoch if known else ids.CellEpoch(0)
        self._agents[agent] = _AgentEndpoints(cell, epoch, endpoints, now + RETENTION_SECONDS)
        self._is_stale = True

    def expire(self, now: float) -> None:
        """Remove the endpoints whose retention has ended."""
        expired = [agent for agent, known in self._agents.items() if now >= known.expires_at]
        for agent in expired:
            del self._agents[agent]
            self._is_stale = True

    def dump(self) -> dict[str, object]:
        """Return the endpoint ids by ``service@version``."""
        if self._is_stale:
            self._rebuild_index()
        return {
            f"{service}@{version}": sorted(found.status.endpoint for found in endpoints)
            for (service, version), endpoints in self._index.items()
        }

    def _rebuild_index(self) -> None:
        self._is_stale = False
        index: dict[_ServiceKey, list[messages.EndpointAt]] = collections.defaultdict(list)
        for known in self._agents.values():
            for found in known.endpoints:
                if not found.status.draining:
                    index[(found.status.service, found.status.schema_version)].append(found)
        self._index = dict(index)


def group_by_agent(endpoints: Iterable[messages.EndpointAt]) -> dict[ids.ProcessId, Endpoints]:
    grouped: dict[ids.ProcessId, list[messages.EndpointAt]] = collections.defaultdict(list)
    for found in endpoints:
        grouped[found.agent].append(found)
    return {agent: tuple(listed) for agent, listed in grouped.items()}
