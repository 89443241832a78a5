"""Which revision other processes have reported, and when to push to them."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages

PUSH_SECONDS = 1.0
AGENT_SILENT_SECONDS = 15.0
"""Three heartbeats; a silent agent gets no pushes until it is heard again."""
ENTRY_SILENT_SECONDS = 90.0
"""Three digests across regions."""


class Receiver(msgspec.Struct):
    """A process that receives pushes; times are None before the first message."""

    process: ids.ProcessId
    data_centre: ids.DataCentre
    revision: ids.Revision | None = None
    heard_at: float | None = None
    pushed_at: float | None = None
    pushed_revision: int = -1
    cell: ids.CellId = ids.CellId("")
    incarnation: ids.Incarnation = ids.Incarnation("")
    cells: tuple[messages.CellDigest, ...] = ()

    def is_silent(self, now: float, seconds: float) -> bool:
        """Return whether nothing has been heard for this long."""
        return self.heard_at is None or now - self.heard_at > seconds

    def is_behind(self, revision: int) -> bool:
        """Return whether the process has not reported this revision."""
        return self.revision is None or self.revision < revision

    def needs_push(self, revision: int, now: float) -> bool:
        """Return whether the process lacks the revision and the last push is old enough."""
        if not self.is_behind(revision):
            return False
        if self.pushed_at is None or self.pushed_revision < revision:
            return True
        return now - self.pushed_at >= PUSH_SECONDS

    def note_push(self, revision: int, now: float) -> None:
        """Remember a push."""
        self.pushed_at = now
        self.pushed_revision = revision

    def note_report(self, incarnation: ids.Incarnation, revision: ids.Revision, now: float) -> None:
        """Remember a reported revision; a late report of the same incarnation cannot lower it."""
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
        """Return the other entries."""
        return list(self._entries.values())

    @property
    def agents(self) -> list[Receiver]:
        """Return the agents of owned cells."""
        return list(self._agents.values())

    def get(self, process: ids.ProcessId) -> Receiver | None:
        """Return a known process, or None."""
        return self._entries.get(process) or self._agents.get(process)

    def get_entry(self, process: ids.ProcessId) -> Receiver | None:
        """Return a known entry, or None."""
        return self._entries.get(process)

    def add_agent(
        self, process: ids.ProcessId, cell: ids.CellId, data_centre: ids.DataCentre
    ) -> Receiver:
        """Return the agent, which is new or known."""
        agent = self._agents.get(process)
        if agent is None:
            agent = self._agents[process] = Receiver(process, data_centre)
        agent.cell = cell
        return agent

    def keep_cells(self, owned: Iterable[ids.CellId]) -> None:
        """Forget the agents of cells that this entry no longer owns."""
        cells = set(owned)
        self._agents = {
            process: agent for process, agent in self._agents.items() if agent.cell in cells
        }

    def iterate_due(self, revision: int, origin: int, now: float) -> Iterator[Receiver]:
        """Yield whom to push to: agents behind ``revision``, entries behind ``origin``.

        ``origin`` is the highest revision that this entry accepted itself. Entries that another
        entry's change has not reached read it from the table.
        """
        for agent in self._agents.values():
            if agent.needs_push(revision, now) and not agent.is_silent(now, AGENT_SILENT_SECONDS):
                yield agent
        for entry in self._entries.values():
            if entry.needs_push(origin, now):
                yield entry
