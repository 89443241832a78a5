"""Pure functions on the ledger rows ``request/<team>/<key>``.

A claim is committed before the attempt is sent, so a repeat of the key through any entry finds the
agent that knows the state of the attempt.
"""

import base64
import enum
from typing import Any

import msgspec
import xxhash

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.requests import errors
from crocusrudder.requests import outcomes
from crocusrudder.wire import messages


class RowState(enum.Enum):
    """State of a request in its ledger row."""

    CLAIMED = "claimed"
    """An attempt may have been sent to the agent named in the row."""
    RELEASED = "released"
    """The attempt certainly did not run, and no later attempt was claimed."""
    DONE = "done"


class StoredAnswer(msgspec.Struct, frozen=True):
    """A complete response; the body is base64-encoded because rows are JSON."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


class Entry(msgspec.Struct, frozen=True):
    """Value of a ledger row."""

    fingerprint: str
    state: RowState
    attempt: int
    endpoint: ids.EndpointId
    agent: ids.ProcessId
    incarnation: ids.Incarnation
    window: int
    writer: str
    """Unique identity of the write; it shows whether a commit with a lost reply took effect."""
    answer: StoredAnswer | None = None


class Decision(enum.Enum):
    """Action that a row requires for a request with the same key."""

    CLAIM = "claim"
    """No attempt has run or can run: claim the next one."""
    ASK_AGENT = "ask-agent"
    REPLAY = "replay"
    REFUSE_REUSE = "refuse-reuse"


class CommitEffect(enum.Enum):
    """Result of a commit whose reply was lost, derived from the row read afterwards."""

    APPLIED = "applied"
    REPEATABLE = "repeatable"
    """The row is unchanged. The lost commit may still take effect, but a repeat expects the same
    version, so at most one of the two does."""
    SUPERSEDED = "superseded"


def make_row_key(team: ids.TeamId, key: ids.IdempotencyKey) -> str:
    """Return the row key of a request."""
    return f"request/{team}/{key}"


def compute_fingerprint(arrival: outcomes.Arrival) -> str:
    """Return a fingerprint of a request, excluding its headers."""
    digest = xxhash.xxh3_128()
    parts = (arrival.service, arrival.order_kind, arrival.method, arrival.target)
    for part in (*(part.encode() for part in parts), arrival.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def make_claim(fingerprint: str, attempt: int, target: messages.EndpointAt, writer: str) -> Entry:
    """Return the entry that claims an attempt at an endpoint."""
    return Entry(
        fingerprint,
        RowState.CLAIMED,
        attempt,
        target.status.endpoint,
        target.agent,
        target.incarnation,
        target.status.window,
        writer,
    )


def make_done(claim: Entry, response: messages.Response, writer: str) -> Entry:
    """Return the entry that records the response to a claimed attempt."""
    body = base64.b64encode(response.body).decode()
    answer = StoredAnswer(response.status, response.headers, body)
    return msgspec.structs.replace(claim, state=RowState.DONE, writer=writer, answer=answer)


def make_released(claim: Entry, writer: str) -> Entry:
    """Return the entry which records that a claimed attempt certainly did not run."""
    return msgspec.structs.replace(claim, state=RowState.RELEASED, writer=writer)


def decode(row: effects.Row) -> Entry:
    """Return the entry in a ledger row.

    Raise ``LedgerRowError`` if the row is malformed.
    """
    try:
        return msgspec.convert(row.value, Entry)
    except msgspec.ValidationError as error:
        raise errors.LedgerRowError(f"malformed ledger row {row.key}: {error}") from error


def encode(entry: Entry) -> dict[str, Any]:
    """Return the row value of an entry."""
    return msgspec.to_builtins(entry)


def get_response(entry: Entry) -> messages.Response:
    """Return the response stored in an entry in state DONE."""
    answer = entry.answer
    return messages.Response(answer.status, answer.headers, base64.b64decode(answer.body))


def decide(entry: Entry | None, fingerprint: str) -> Decision:
    """Return the action for a request with this fingerprint.

    ``entry`` is None if there is no row.
    """
    if entry is None:
        return Decision.CLAIM
    if entry.fingerprint != fingerprint:
        return Decision.REFUSE_REUSE
    if entry.state is RowState.DONE:
        return Decision.REPLAY
    if entry.state is RowState.RELEASED:
        return Decision.CLAIM
    return Decision.ASK_AGENT


def resolve_lost_commit(
    row: effects.Row | None, writer: str, expected_version: int
) -> CommitEffect:
    """Return from the current row the result of the commit by ``writer`` whose reply was lost."""
    if row is not None and decode(row).writer == writer:
        return CommitEffect.APPLIED
    version = 0 if row is None else row.version
    return CommitEffect.REPEATABLE if version == expected_version else CommitEffect.SUPERSEDED
