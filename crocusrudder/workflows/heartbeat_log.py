"""Counters and log lines about ignored heartbeats and about changes of an agent's worker."""

import collections
import enum

import msgspec

from crocusrudder.core import effects
from crocusrudder.wire import workflow_messages

LINE_INTERVAL_SECONDS = 1.0
"""Least time between two lines for one reason; another writer may send many heartbeats."""
REPEATED_LINE_INTERVAL_SECONDS = 10.0
"""Least time between two lines that name the same reason and sender."""
MAX_SENDER_LENGTH = 100
"""Characters of a worker id that a line shows; the id comes from the path of a request."""


class IgnoreReason(enum.Enum):
    """Why a heartbeat does not change what the agent knows of its worker."""

    REFUSED_BY_WORKER = "refused_by_worker"
    REPEATED_SEQUENCE = "repeated_sequence"
    TOO_MANY_CANDIDATES = "too_many_candidates"
    UNCONFIRMED = "unconfirmed"
    UNREADABLE = "unreadable"


class _LastLine(msgspec.Struct):
    sender: tuple[str, int]
    logged_at: float
    omitted: int = 0


class HeartbeatLog:
    """Count every ignored heartbeat, and log a bounded number of them."""

    def __init__(self) -> None:
        self._ignored: collections.Counter[str] = collections.Counter()
        self._changes = 0
        self._last_lines: dict[IgnoreReason, _LastLine] = {}
        self._effects: list[effects.LogChange | effects.Count] = []

    @property
    def ignored(self) -> dict[str, int]:
        """Return the numbers of ignored heartbeats by reason."""
        return dict(self._ignored)

    @property
    def changes(self) -> int:
        """Return how often another incarnation has replaced the agent's worker."""
        return self._changes

    def drain_effects(self) -> list[effects.LogChange | effects.Count]:
        """Return the lines and counts since the last call, and clear them."""
        drained, self._effects = self._effects, []
        return drained

    def record_ignored(
        self,
        reason: IgnoreReason,
        worker: str,
        born_ms: int,
        now: float,
        **fields: object,
    ) -> None:
        """Count an ignored heartbeat, and log it unless a similar line was written recently."""
        self._ignored[reason.value] += 1
        self._effects.append(effects.Count(f"heartbeats_ignored_{reason.value}"))
        sender = (worker, born_ms)
        last = self._last_lines.get(reason)
        omitted = 0
        if last is not None:
            is_same = last.sender == sender
            interval = REPEATED_LINE_INTERVAL_SECONDS if is_same else LINE_INTERVAL_SECONDS
            if now - last.logged_at < interval:
                last.omitted += 1
                return
            omitted = last.omitted
        self._last_lines[reason] = _LastLine(sender, now)
        line = {
            "reason": reason.value,
            "worker": worker[:MAX_SENDER_LENGTH],
            "born_ms": born_ms,
            **fields,
            "omitted": omitted,
        }
        self._effects.append(effects.LogChange("heartbeat_ignored", line))

    def record_replacement(
        self, old: workflow_messages.WorkerState, new: workflow_messages.WorkerState
    ) -> None:
        """Count and log that the agent follows another incarnation from now on."""
        self._changes += 1
        self._effects.append(effects.Count("worker_replacements"))
        line = {
            "worker": new.worker,
            "born_ms": new.born_ms,
            "old_worker": old.worker,
            "old_born_ms": old.born_ms,
        }
        self._effects.append(effects.LogChange("worker_replaced", line))

    def record_live(self, worker: workflow_messages.WorkerState) -> None:
        """Count and log that a worker sends heartbeats after its deregistration."""
        self._effects.append(effects.Count("deregistrations_withdrawn"))
        line = {"worker": worker.worker, "born_ms": worker.born_ms}
        self._effects.append(effects.LogChange("deregistration_withdrawn", line))
