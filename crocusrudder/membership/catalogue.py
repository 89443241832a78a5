"""The endpoints that an entry knows, by the agent that serves them.

Endpoints are learned from the owners of cells, from the own worker table and, while a cell has no
owner, from the agents themselves. They outlive a change of owner, because requests must find them
before the new owner has heard from the agents.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages

FORGET_SECONDS = 90.0
"""How long endpoints are kept of which no owner and no agent reports."""
INHERIT_SECONDS = 15.0
"""How long the endpoints that an earlier owner announced are kept once a new owner reports. An
agent needs up to 8 s to notice that its owner is gone and some more to find the new one."""

Endpoints = tuple[messages.EndpointAt, ...]
_ServiceKey = tuple[ids.ServiceName, int]


class _AgentEntry(msgspec.Struct):
    """The endpoints of one agent and who reported them."""

    cell: ids.CellId
    epoch: ids.CellEpoch
    endpoints: Endpoints
    expires_at: float


class EndpointCatalogue:
    """Hold the endpoints of the region and look them up by service."""

    def __init__(self) -> None:
        self._agents: dict[ids.ProcessId, _AgentEntry] = {}
        self._index: dict[_ServiceKey, list[messages.EndpointAt]] = {}
        self._is_stale = False

    def find(self, service: ids.ServiceName, schema_version: int) -> list[messages.EndpointAt]:
        """Return the endpoints of a service that are not draining, in no particular order."""
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
        """Take the complete list of a cell's endpoints from its owner under ``epoch``.

        Agents that the owner does not list are gone if it listed them before. Those that only an
        earlier owner listed are kept for ``INHERIT_SECONDS``.
        """
        self._is_stale = True
        for agent, known in list(self._agents.items()):
            if known.cell != cell or agent in reported:
                continue
            if known.epoch >= epoch:
                del self._agents[agent]
            else:
                known.expires_at = min(known.expires_at, now + INHERIT_SECONDS)
        for agent, endpoints in reported.items():
            self._agents[agent] = _AgentEntry(cell, epoch, endpoints, now + FORGET_SECONDS)

    def refresh_cell(self, cell: ids.CellId, epoch: ids.CellEpoch, now: float) -> None:
        """Keep the endpoints of a cell whose owner reported without a complete list."""
        for known in self._agents.values():
            if known.cell == cell and known.epoch == epoch:
                known.expires_at = now + FORGET_SECONDS

    def update_agent(
        self, agent: ids.ProcessId, cell: ids.CellId, endpoints: Endpoints, now: float
    ) -> None:
        """Take the endpoints of an agent from itself."""
        known = self._agents.get(agent)
        epoch = known.epoch if known else ids.CellEpoch(0)
        self._agents[agent] = _AgentEntry(cell, epoch, endpoints, now + FORGET_SECONDS)
        self._is_stale = True

    def expire(self, now: float) -> None:
        """Forget what nobody has reported for long enough."""
        expired = [agent for agent, known in self._agents.items() if now >= known.expires_at]
        for agent in expired:
            del self._agents[agent]
            self._is_stale = True

    def dump(self) -> dict[str, object]:
        """Return the endpoints by service and schema version."""
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
    """Return endpoints by the agent that serves them."""
    grouped: dict[ids.ProcessId, list[messages.EndpointAt]] = collections.defaultdict(list)
    for found in endpoints:
        grouped[found.agent].append(found)
    return {agent: tuple(listed) for agent, listed in grouped.items()}
