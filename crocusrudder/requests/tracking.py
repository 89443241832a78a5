"""State that an entry holds for a request in progress."""

import enum

import msgspec

from crocusrudder.core import ids
from crocusrudder.requests import ledger
from crocusrudder.requests import memory
from crocusrudder.requests import outcomes
from crocusrudder.wire import messages

NO_SCHEMA_VERSION = -1


class RequestState(enum.Enum):
    """State of a request at its entry."""

    READING = "reading"
    """The ledger row is being read, because the key may have been used before."""
    CLAIMING = "claiming"
    """The claim of an attempt, or its release, is being committed."""
    RESOLVING = "resolving"
    """The reply to the commit was lost; the row is being read."""
    IN_FLIGHT = "in-flight"
    """At least one attempt was sent and has not been answered."""
    ASKING = "asking"
    """Another submission claimed an attempt; its agent is being queried."""
    LINGERING = "lingering"
    """The caller was answered or has disconnected; a late outcome is still recorded."""


class InFlightAttempt(msgspec.Struct, eq=False):
    """An attempt that was sent and whose outcome is not known yet."""

    identity: memory.Identity
    endpoint: messages.EndpointStatus
    agent: ids.ProcessId
    incarnation: ids.Incarnation
    window: int
    sent_at: float
    probe_at: float
    is_own: bool = True
    """False for an attempt that another submission sent."""
    probe_backoff: int = 1
    """Factor by which the interval between probes is multiplied."""
    is_running: bool = False
    """Whether the agent has reported that the attempt is running."""


class TrackedRequest(msgspec.Struct, eq=False):
    """A request in progress."""

    request: ids.RequestId
    arrival: outcomes.Arrival
    deadline: float
    schema_version: int
    state: RequestState
    fingerprint: str = ""
    row_key: str = ""
    version: int = 0
    """Version of the ledger row on which the next write is based; 0 if the row is absent."""
    claim: ledger.Entry | None = None
    target: messages.EndpointAt | None = None
    """Endpoint reserved for the attempt that is being claimed."""
    commits: int = 0
    """Commits of the current claim; repeats after the first are rate-limited."""
    repeat_commit_at: float = 0.0
    is_repeat: bool = False
    """Whether another submission with this key may exist."""
    may_have_run_elsewhere: bool = False
    """Whether an attempt of another submission with this key may have run."""
    has_lost_attempt: bool = False
    """Whether an attempt of this submission may have run although it failed."""
    refusal: outcomes.Reason | None = None
    """Reason to return to the caller once the release of the last attempt is stored."""
    attempt_count: int = 0
    excluded: set[ids.EndpointId] = msgspec.field(default_factory=set)
    in_flight_attempts: dict[memory.Identity, InFlightAttempt] = msgspec.field(default_factory=dict)
    retry_read_at: float = float("inf")

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have run."""
        return self.may_have_run_elsewhere or self.has_lost_attempt or bool(self.in_flight_attempts)

    @property
    def overdue_reason(self) -> outcomes.Reason:
        """Return the reason to report if the deadline passes in the current state."""
        running = any(attempt.is_running for attempt in self.in_flight_attempts.values())
        if self.state is RequestState.ASKING and running:
            return outcomes.Reason.IN_PROGRESS
        if self.in_flight_attempts:
            return outcomes.Reason.ANSWER_LOST
        if self.state is RequestState.RESOLVING:
            return outcomes.Reason.STORE_DOWN
        return outcomes.Reason.DEADLINE_PASSED

    @property
    def answered(self) -> bool:
        """Return whether the caller was answered or has disconnected."""
        return self.state is RequestState.LINGERING


def make_tracked(
    request: ids.RequestId,
    arrival: outcomes.Arrival,
    schema_version: int | None,
    now: float,
) -> TrackedRequest:
    """Return the tracking state of a newly arrived request."""
    tracked = TrackedRequest(
        request,
        arrival,
        now + arrival.timeout_seconds,
        NO_SCHEMA_VERSION if schema_version is None else schema_version,
        RequestState.READING,
    )
    if not arrival.idempotent and arrival.key:
        tracked.fingerprint = ledger.compute_fingerprint(arrival)
        tracked.row_key = ledger.make_row_key(arrival.team, arrival.key)
    return tracked
