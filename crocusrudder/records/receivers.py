"""Track the revisions that other processes have reported, and when to push to them."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages

PUSH_INTERVAL_SECONDS = 1.0
AGENT_TIMEOUT_SECONDS = 15.0
"""Three heartbeat intervals; an unresponsive agent gets no pushes until its next message."""
ENTRY_TIMEOUT_SECONDS = 90.0
"""Three intervals of the digests that are sent across regions."""


class Receiver(msgspec.Struct):
    """A process that receives pushes; times are None before the first message or push."""

    process: ids.ProcessId
    data_centre: ids.DataCentre
    revision: ids.Revision | None = None
    heard_at: float | None = None
    pushed_at: float | None = None
    pushed_revision: int = -1
    cell: ids.CellId = ids.CellId("")
    incarnation: ids.Incarnation = ids.Incarnation("")
    cells: tuple[messages.CellDigest, ...] = ()

    def is_unresponsive(self, now: float, seconds: float) -> bool:
        """Return whether no message has arrived for more than ``seconds``."""
        return self.heard_at is None or now - self.heard_at > seconds

    def is_behind(self, revision: int) -> bool:
        """Return whether the process has reported neither this revision nor a higher one."""
        return self.revision is None or self.revision < revision

    def needs_push(self, revision: int, now: float) -> bool:
        """Return whether the process lacks the revision and a first or repeated push is due."""
        if not self.is_behind(revision):
            return False
        if self.pushed_at is None or self.pushed_revision < revision:
            return True
        return now - self.pushed_at >= PUSH_INTERVAL_SECONDS

    def record_push(self, revision: int, now: float) -> None:
        self.pushed_at = now
        self.pushed_revision = revision

    def record_report(
        self, incarnation: ids.Incarnation, revision: ids.Revision, now: float
    ) -> None:
        """Record a reported revision; a late report of the same incarnation cannot lower it."""
        if incarnation == self.incarnation and self.revision is not None:
            revision = max(revision, self.revision)
        self.incarnation = incarnation
        self.revision = revision
        self.heard_at = now


class Receivers:
    """The other entries, and the agents that send heartbeats to this entry."""

    def __init__(self, entries: Iterable[Receiver]) -> None:
        self._entries = {receiver.process: receiver for receiver in entries}
        self._agents: dict[ids.ProcessId, Receiver] = {}

    @property
    def entries(self) -> list[Receiver]:
        return list(self._entries.values())

    @property
    def agents(self) -> list[Receiver]:
        """Return the agents of owned cells."""
        return list(self._agents.values())

    def get(self, process: ids.ProcessId) -> Receiver | None:
        """Return the entry or agent, None if it is unknown."""
        return self._entries.get(process) or self._agents.get(process)

    def get_entry(self, process: ids.ProcessId) -> Receiver | None:
        """Return the entry, None if it is unknown."""
        return self._entries.get(process)

    def add_agent(
        self, process: ids.ProcessId, cell: ids.CellId, data_centre: ids.DataCentre
    ) -> Receiver:
        """Return the agent, adding it if it is unknown, and set its cell."""
        agent = self._agents.get(process)
        if agent is None:
            agent = self._agents[process] = Receiver(process, data_centre)
        agent.cell = cell
        return agent

    def retain_cells(self, owned: Iterable[ids.CellId]) -> None:
        """Remove the agents of cells that this entry no longer owns."""
        cells = set(owned)
        self._agents = {
            process: agent for process, agent in self._agents.items() if agent.cell in cells
        }

    def iterate_due(self, revision: int, accepted_revision: int, now: float) -> Iterator[Receiver]:
        """Yield the agents behind ``revision`` and entries behind ``accepted_revision`` to push to.

        ``accepted_revision`` is the highest revision that this entry itself accepted. An entry that
        has missed another entry's push reads the change from the table.
        """
        for agent in self._agents.values():
            if agent.needs_push(revision, now) and not agent.is_unresponsive(
                now, AGENT_TIMEOUT_SECONDS
            ):
                yield agent
        for entry in self._entries.values():
            if entry.needs_push(accepted_revision, now):
                yield entry
