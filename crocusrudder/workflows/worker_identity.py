"""Which incarnation of a worker an agent follows.

Anyone may send a heartbeat, so it only claims that an incarnation exists. The proof is the worker's
own response to a call that names the incarnation. Until then the incarnation is a candidate, and
the agent goes on with the worker that it follows. Times of birth and clocks give no order between
incarnations, because either may be wrong or jump back.
"""

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import heartbeat_log

MAX_CANDIDATES = 8
"""Incarnations that wait for a probe; there is one worker, so more come from other writers."""
CANDIDATE_SECONDS = 3.0
"""Time after its last heartbeat for which a candidate is probed. Heartbeats come each 1.1 s or
1.5 s, depending on the deployment."""
PROBE_RETRY_SECONDS = 0.1
"""Delay before a probe without a usable response is repeated."""
FOLLOWED_SILENCE_SECONDS = 5.0
"""Time without a heartbeat, more than three of the longest intervals, after which the mark that
made the heartbeats of a worker look late may be wrong."""
MAX_SEQUENCE_STEP = 10_000
"""Greatest plausible step between two heartbeats that arrive; at one a second this takes 2.8 h."""
HEARTBEATS_OF_LIVE_WORKER = 2
"""Heartbeats after a deregistration that show that another writer sent it; one may be delayed."""
RESUMING_HEARTBEATS = 3
"""Consecutive heartbeats beside the expected range after which their numbers are believed."""

Incarnation = tuple[ids.WorkerId, int]


class SequenceFilter:
    """Recognise late heartbeats of one incarnation by their numbers.

    A number may come from another writer, so that the worker's own heartbeats look late. Several of
    them in order, without any in the expected range, correct the mark.
    """

    def __init__(self, sequence: int, now: float) -> None:
        self._last = sequence
        self._admitted_at = now
        self._other = -1
        self._other_count = 0

    @property
    def last(self) -> int:
        """Return the number of the last heartbeat that was admitted."""
        return self._last

    @property
    def admitted_at(self) -> float:
        """Return the time of the last heartbeat that was admitted."""
        return self._admitted_at

    def admit(self, sequence: int, now: float) -> bool:
        """Return whether the heartbeat is not a late one."""
        if sequence == self._last:
            return False
        if not _is_next(self._last, sequence) and not self._is_resuming(sequence, now):
            return False
        self._last = sequence
        self._admitted_at = now
        self._other_count = 0
        return True

    def _is_resuming(self, sequence: int, now: float) -> bool:
        is_continued = self._other_count > 0 and _is_next(self._other, sequence)
        self._other_count = self._other_count + 1 if is_continued else 1
        self._other = sequence
        is_silent = now - self._admitted_at >= FOLLOWED_SILENCE_SECONDS
        return is_silent and self._other_count >= RESUMING_HEARTBEATS


class _Candidate(msgspec.Struct):
    state: workflow_messages.WorkerState
    sequences: SequenceFilter
    heard_at: float
    due_at: float


class WorkerIdentity:
    """The worker that an agent follows, and the candidates to replace it."""

    def __init__(self) -> None:
        self._log = heartbeat_log.HeartbeatLog()
        self._followed: workflow_messages.WorkerState | None = None
        self._sequences = SequenceFilter(-1, float("-inf"))
        self._deregistered_at: float | None = None
        self._heartbeats_since = 0
        """Heartbeats of the followed worker since its deregistration."""
        self._candidates: dict[Incarnation, _Candidate] = {}
        """Candidates, that of the latest heartbeat last."""

    @property
    def followed(self) -> workflow_messages.WorkerState | None:
        """Return the last state of the worker that the agent follows; None before the first."""
        return self._followed

    @property
    def deregistered_at(self) -> float | None:
        """Return when the followed worker deregistered; None if it has not."""
        return self._deregistered_at

    def describe(self) -> dict[str, object]:
        """Return what a state dump shows."""
        return {
            "sequence": self._sequences.last,
            "candidates": list(self._candidates),
            "ignored": self._log.ignored,
            "worker_replacements": self._log.changes,
        }

    def drain_effects(self) -> list[effects.LogChange | effects.Count]:
        """Return the lines and counts since the last call, and clear them."""
        return self._log.drain_effects()

    def record_unreadable(self, worker_id: str, error: str, now: float) -> None:
        """Record a heartbeat that cannot be decoded."""
        reason = heartbeat_log.IgnoreReason.UNREADABLE
        self._log.record_ignored(reason, worker_id, 0, now, error=error)

    def handle_heartbeat(
        self, state: workflow_messages.WorkerState, sequence: int, now: float
    ) -> None:
        """Apply a heartbeat of the followed incarnation.

        One of any other incarnation makes it a candidate, to be probed at once.
        """
        self._drop_expired(now)
        if self._followed is None or self._followed.incarnation != state.incarnation:
            self._add_candidate(state, sequence, now)
        elif self._sequences.admit(sequence, now):
            self._followed = state
            self._withdraw_deregistration()
        else:
            reason = heartbeat_log.IgnoreReason.REPEATED_SEQUENCE
            self._ignore(reason, state, now, sequence=sequence)
            if state.draining and not self._followed.draining:
                # A worker that drains does not become ready again, so a late notice holds, too.
                self._followed = msgspec.structs.replace(self._followed, draining=True)

    def handle_deregistration(self, worker_id: str, now: float) -> bool:
        """Record that a worker is ending; return whether it is the followed one."""
        if self._followed is None or self._followed.worker != worker_id:
            return False
        self._followed = msgspec.structs.replace(self._followed, draining=True)
        self._deregistered_at = now
        self._heartbeats_since = 0
        return True

    def get_probe_delay(self, now: float) -> float | None:
        """Return the time until the next probe is due; None if there is none."""
        self._drop_expired(now)
        due_at = min((each.due_at for each in self._candidates.values()), default=None)
        return None if due_at is None else max(due_at - now, 0.0)

    def find_probe(self, now: float) -> workflow_messages.WorkerState | None:
        """Return the candidate to probe, the one heard last if several are due."""
        self._drop_expired(now)
        due = [each.state for each in self._candidates.values() if each.due_at <= now]
        return due[-1] if due else None

    def record_probe_failure(self, incarnation: Incarnation, now: float) -> None:
        """Record a probe without a usable response, which proves nothing."""
        candidate = self._candidates.get(incarnation)
        if candidate is not None:
            candidate.due_at = now + PROBE_RETRY_SECONDS

    def record_probe_refusal(self, incarnation: Incarnation, now: float) -> None:
        """Record that another worker responded to the probe."""
        candidate = self._candidates.pop(incarnation, None)
        if candidate is not None:
            self._ignore(heartbeat_log.IgnoreReason.REFUSED_BY_WORKER, candidate.state, now)

    def record_probe_answer(self, incarnation: Incarnation, born_ms: int, now: float) -> bool:
        """Record that a worker with the candidate's id responded; return whether it is followed.

        ``born_ms`` is the time of birth in the response, 0 if it has none.
        """
        candidate = self._candidates.get(incarnation)
        if candidate is None:
            return False
        if not self._is_proven(candidate.state, born_ms, now):
            self.record_probe_refusal(incarnation, now)
            return False
        del self._candidates[incarnation]
        if self._followed is not None:
            self._log.record_replacement(self._followed, candidate.state)
        self._followed = candidate.state
        self._sequences = candidate.sequences
        self._deregistered_at = None
        return True

    def _withdraw_deregistration(self) -> None:
        if self._deregistered_at is None:
            return
        self._heartbeats_since += 1
        if self._heartbeats_since >= HEARTBEATS_OF_LIVE_WORKER:
            self._deregistered_at = None
            self._log.record_live(self._followed)

    def _is_proven(self, claimed: workflow_messages.WorkerState, born_ms: int, now: float) -> bool:
        if born_ms:
            return claimed.born_ms == born_ms
        known = self._followed
        if known is None or known.worker != claimed.worker:
            return True
        # Only the heartbeats tell these incarnations apart. A delayed one of the earlier does not
        # count while the later one sends its own, nor does a time of birth beside heartbeats
        # without any, which another writer must have added.
        is_silent = now - self._sequences.admitted_at >= FOLLOWED_SILENCE_SECONDS
        return claimed.born_ms > known.born_ms > 0 or is_silent

    def _add_candidate(
        self, state: workflow_messages.WorkerState, sequence: int, now: float
    ) -> None:
        candidate = self._candidates.pop(state.incarnation, None)
        if candidate is None:
            candidate = _Candidate(state, SequenceFilter(sequence, now), now, now)
        else:
            self._ignore(heartbeat_log.IgnoreReason.UNCONFIRMED, candidate.state, now)
            if candidate.sequences.admit(sequence, now):
                candidate.state = state
        candidate.heard_at = candidate.due_at = now
        self._candidates[state.incarnation] = candidate
        if len(self._candidates) > MAX_CANDIDATES:
            oldest = self._candidates.pop(next(iter(self._candidates)))
            self._ignore(heartbeat_log.IgnoreReason.TOO_MANY_CANDIDATES, oldest.state, now)

    def _drop_expired(self, now: float) -> None:
        expired = [
            incarnation
            for incarnation, candidate in self._candidates.items()
            if now - candidate.heard_at > CANDIDATE_SECONDS
        ]
        for incarnation in expired:
            state = self._candidates.pop(incarnation).state
            self._ignore(heartbeat_log.IgnoreReason.UNCONFIRMED, state, now)

    def _ignore(
        self,
        reason: heartbeat_log.IgnoreReason,
        state: workflow_messages.WorkerState,
        now: float,
        **fields: object,
    ) -> None:
        known = self._followed
        self._log.record_ignored(
            reason,
            state.worker,
            state.born_ms,
            now,
            **fields,
            known_sequence=self._sequences.last,
            followed=known and known.worker,
            followed_born_ms=known and known.born_ms,
        )


def _is_next(earlier: int, later: int) -> bool:
    return 0 < later - earlier <= MAX_SEQUENCE_STEP
