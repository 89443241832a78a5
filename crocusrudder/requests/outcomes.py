"""Requests of callers and the outcomes returned to them."""

import enum

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import messages


class Arrival(msgspec.Struct, frozen=True):
    """A caller's request, read in full from HTTP.

    ``key`` is empty if the caller sent none. ``timeout_seconds`` starts at the arrival. ``repeat``
    states that the caller has sent the key before and does not know the outcome.
    """

    team: ids.TeamId
    service: ids.ServiceName
    order_kind: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: ids.IdempotencyKey
    timeout_seconds: float
    standing: bool = False
    repeat: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether the request may safely run more than once."""
        return self.method in {"GET", "HEAD"}


class Reason(enum.Enum):
    """Why a request did not run or its outcome is unknown; the value is a stable error code."""

    KEY_MISSING = "CR-REQ-001"
    KEY_REUSED = "CR-REQ-002"
    NO_SUCH_SERVICE = "CR-REQ-003"
    NO_ENDPOINT = "CR-REQ-004"
    OVERLOADED = "CR-REQ-005"
    STORE_DOWN = "CR-REQ-006"
    DEADLINE_PASSED = "CR-REQ-007"
    STOPPING = "CR-REQ-008"
    NOT_READY = "CR-REQ-009"
    REFUSED = "CR-REQ-010"
    IN_PROGRESS = "CR-REQ-011"
    ANSWER_LOST = "CR-REQ-012"
    AGENT_GONE = "CR-REQ-013"
    ENDPOINT_BROKE = "CR-REQ-014"


class Done(msgspec.Struct, frozen=True):
    """The request ran. ``replayed`` is set if the response comes from the ledger."""

    response: messages.Response
    replayed: bool = False


class NotRun(msgspec.Struct, frozen=True):
    """The request certainly did not run and will not."""

    reason: Reason
    retry_after_seconds: int = 1


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """The request may have run; a repeat with the same key may return its outcome."""

    reason: Reason


Outcome = Done | NotRun | OutcomeUnknown
