"""Let submissions and cancellations wait in line while the store refuses them."""

import bisect
import enum
import math
import operator
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import msgspec

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.observability import logs
from crocusrudder.workflows import calls
from crocusrudder.workflows.decisions import outage

RETRY_DELAY_SECONDS = 0.1
"""Delay before an attempt whose outcome is uncertain is repeated."""
MIN_ATTEMPT_SECONDS = 0.05
"""Least time left for an attempt; a commit takes 0.025 s or more."""

Attempt = Callable[[float], Awaitable[calls.Outcome]]
"""One attempt, given the seconds that it may take."""


class Event(enum.StrEnum):
    """Counters of the gate."""

    OUTAGE = "store_outages"
    STORED = "submissions_stored_after_hold"
    REFUSED = "submissions_refused_by_store"


class _Place(msgspec.Struct, frozen=True, eq=False):
    """Place of a request in the line, in order of the time at which it gives up."""

    give_up_at: float
    event: curio.Event


class SubmissionGate:
    """Order of the attempts of one entry while the store refuses some of them."""

    def __init__(self, store_outage: outage.StoreOutage, count: Callable[[str], None]) -> None:
        self._outage = store_outage
        self._count = count
        self._waiting: list[_Place] = []
        self._attempts = 0
        self._closes_at = math.inf

    async def close_after(self, seconds: float) -> None:
        """End all requests within a time, since the process stops then."""
        self._closes_at = clocks.read_boot_time() + seconds
        for place in list(self._waiting):
            await place.event.set()

    async def perform(self, attempt: Attempt, timeout_seconds: float) -> calls.Outcome:
        """Repeat an attempt until it is conclusive or the caller's time is used up.

        An attempt that may have had an effect is repeated for longer, to learn its outcome. The
        outcome is ``NOT_PERFORMED`` only if each attempt was refused.
        """
        now = clocks.read_boot_time()
        give_up_at = now + self._outage.compute_hold(now, timeout_seconds)
        answer_by = now + timeout_seconds * outage.ANSWER_SHARE
        is_held = self._outage.is_present
        outcome = calls.Outcome.NOT_PERFORMED
        while await self._enter(give_up_at):
            answered = await self._try(attempt, min(answer_by, self._closes_at))
            if answered not in calls.INCONCLUSIVE:
                if is_held:
                    self._count(Event.STORED)
                return answered
            is_held = True
            if answered is calls.Outcome.UNCERTAIN:
                outcome = answered
                give_up_at = answer_by - MIN_ATTEMPT_SECONDS
                await curio.sleep(RETRY_DELAY_SECONDS)
            # While attempts are not limited, one could begin at any time.
            if clocks.read_boot_time() >= give_up_at:
                break
        if outcome is calls.Outcome.NOT_PERFORMED:
            self._count(Event.REFUSED)
        return outcome

    async def _enter(self, give_up_at: float) -> bool:
        """Wait until an attempt may begin; return False if that is not before ``give_up_at``."""
        place = _Place(give_up_at, curio.Event())
        bisect.insort(self._waiting, place, key=operator.attrgetter("give_up_at"))
        try:
            while True:
                now = clocks.read_boot_time()
                deadline = min(give_up_at, self._closes_at)
                opens_at = self._find_opening(place)
                if opens_at <= now < self._closes_at:
                    self._attempts += 1
                    return True
                is_hopeless = deadline <= opens_at < math.inf
                if now >= deadline or is_hopeless:
                    return False
                place.event.clear()
                await curio.ignore_after(min(deadline, opens_at) - now, place.event.wait)
        finally:
            self._waiting.remove(place)
            await self._wake()

    def _find_opening(self, place: _Place) -> float:
        """Return when the next attempt may begin, infinity if it is that of another request."""
        return self._outage.next_attempt_at if place in self._list_first() else math.inf

    def _list_first(self) -> list[_Place]:
        """Return the requests that make the next attempts."""
        free = min(self._outage.attempt_limit - self._attempts, len(self._waiting))
        return self._waiting[: max(int(free), 0)]

    async def _wake(self) -> None:
        """Let the first requests in line look whether they may begin."""
        for place in self._list_first():
            await place.event.set()

    async def _try(self, attempt: Attempt, answer_by: float) -> calls.Outcome:
        outcome = None
        try:
            outcome = await attempt(max(answer_by - clocks.read_boot_time(), MIN_ATTEMPT_SECONDS))
            return outcome
        finally:
            self._attempts -= 1
            self._record(outcome)
            await self._wake()

    def _record(self, outcome: calls.Outcome | None) -> None:
        """Learn from an ended attempt; ``outcome`` is None if the caller left meanwhile."""
        now = clocks.read_boot_time()
        age = self._outage.compute_age(now)
        refused = outcome is calls.Outcome.NOT_PERFORMED
        # A store that does not respond may only be slow, so this alone does not limit attempts.
        unanswered = outcome is calls.Outcome.UNCERTAIN and self._outage.is_present
        if (refused or unanswered) and self._outage.record_refusal(now):
            self._count(Event.OUTAGE)
            self._log("store_outage_begun")
        is_answered = outcome is not None and outcome not in calls.INCONCLUSIVE
        if is_answered and self._outage.record_success(len(self._waiting)):
            self._log("store_outage_ended", seconds=round(age, 2))

    def _log(self, name: str, **fields: object) -> None:
        fields |= {"waiting": len(self._waiting), "attempts": self._attempts}
        logs.write_change(effects.LogChange(name, fields))
