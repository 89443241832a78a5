"""Mapping of agent refusals to caller outcomes, and outcome counters."""

import random as random_module

from crocusrudder.core import effects
from crocusrudder.requests import outcomes
from crocusrudder.requests import tracking
from crocusrudder.wire import messages

MAX_RETRY_AFTER_SECONDS = 3
"""Upper bound of Retry-After. The value is drawn at random from 1 to this bound, so that refused
callers do not all retry at the same time."""

Reason = outcomes.Reason
RefusalReason = messages.RefusalReason

_REASON_BY_REFUSAL = {
    RefusalReason.OVERLOADED: Reason.OVERLOADED,
    RefusalReason.NO_CAPACITY: Reason.OVERLOADED,
    RefusalReason.DEADLINE_PASSED: Reason.DEADLINE_PASSED,
    RefusalReason.NOT_READY: Reason.NOT_READY,
    RefusalReason.ENDPOINT_DOWN: Reason.NO_ENDPOINT,
    RefusalReason.UNKNOWN_ENDPOINT: Reason.NO_ENDPOINT,
    RefusalReason.DRAINING: Reason.NO_ENDPOINT,
}

AVOID_ENDPOINT = {
    RefusalReason.NOT_READY,
    RefusalReason.ENDPOINT_DOWN,
    RefusalReason.UNKNOWN_ENDPOINT,
    RefusalReason.DRAINING,
}
"""Refusals after which an endpoint is avoided for a short time. It refuses faster than other
endpoints respond, so it would otherwise appear idle and attract requests."""

RETRY_SAME_ENDPOINT = {RefusalReason.TOMBSTONED, RefusalReason.STALE_CONFIGURATION}
"""Refusals after which the next attempt may go to the same endpoint."""

DIRECTORY_OUTDATED = {
    RefusalReason.DRAINING,
    RefusalReason.UNKNOWN_ENDPOINT,
    RefusalReason.STALE_INCARNATION,
}
"""Refusals which show that the entry's directory of endpoints is outdated. A retry after one is
exempt from the retry budget: it adds no load to any endpoint, and an entry with little traffic has
no budget when an endpoint is removed."""


def translate_refusal(reason: RefusalReason) -> Reason:
    """Map an agent's refusal to the reason returned to the caller."""
    return _REASON_BY_REFUSAL.get(reason, Reason.REFUSED)


def make_refusal(
    tracked: tracking.TrackedRequest, reason: Reason, random: random_module.Random
) -> outcomes.Outcome:
    """Return ``NotRun`` if the request certainly did not run, otherwise ``OutcomeUnknown``."""
    if tracked.may_have_run:
        return outcomes.OutcomeUnknown(reason)
    return outcomes.NotRun(reason, random.randint(1, MAX_RETRY_AFTER_SECONDS))


def count_outcome(outcome: outcomes.Outcome) -> effects.Effect:
    if isinstance(outcome, outcomes.Done):
        return effects.Count("request_done")
    kind = "not_run" if isinstance(outcome, outcomes.NotRun) else "unknown"
    return effects.Count(f"request_{kind}_{outcome.reason.name.lower()}")
