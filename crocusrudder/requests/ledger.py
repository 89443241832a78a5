"""The rows ``request/<team>/<key>`` of the request ledger, as pure functions.

A claim is committed before the first send, so a repeat of the key through any entry finds the agent
that knows what became of the attempt.
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
    """State of a request as its row holds it."""

    CLAIMED = "claimed"
    """An attempt may have been sent to the agent that the row names."""
    RELEASED = "released"
    """The attempt certainly did not run, and no other was made."""
    DONE = "done"


class StoredAnswer(msgspec.Struct, frozen=True):
    """A whole response; the body is base64 because rows are JSON."""

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
    """Identity of the write, by which its author recognises it after a lost answer."""
    answer: StoredAnswer | None = None


class Decision(enum.Enum):
    """What a row means for a request with its key."""

    CLAIM = "claim"
    """No attempt has run or can run: claim the next one."""
    ASK_AGENT = "ask-agent"
    REPLAY = "replay"
    REFUSE_REUSE = "refuse-reuse"


class CommitEffect(enum.Enum):
    """What a read row tells about a commit whose answer was lost."""

    APPLIED = "applied"
    REPEATABLE = "repeatable"
    """The row is unchanged. The lost commit may still take effect, but the repeat expects the same
    version, so only one of the two does."""
    SUPERSEDED = "superseded"


def make_row_key(team: ids.TeamId, key: ids.IdempotencyKey) -> str:
    """Return the key of the ledger row of a request."""
    return f"request/{team}/{key}"


def compute_fingerprint(arrival: outcomes.Arrival) -> str:
    """Return a fingerprint of what the caller asks for, without its headers."""
    digest = xxhash.xxh3_128()
    parts = (arrival.service, arrival.order_kind, arrival.method, arrival.target)
    for part in (*(part.encode() for part in parts), arrival.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def make_claim(fingerprint: str, attempt: int, target: messages.EndpointAt, writer: str) -> Entry:
    """Return the row that claims an attempt for an endpoint."""
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
    """Return the row that records the response to a claimed attempt."""
    body = base64.b64encode(response.body).decode()
    answer = StoredAnswer(response.status, response.headers, body)
    return msgspec.structs.replace(claim, state=RowState.DONE, writer=writer, answer=answer)


def make_released(claim: Entry, writer: str) -> Entry:
    """Return the row that records that a claimed attempt certainly did not run."""
    return msgspec.structs.replace(claim, state=RowState.RELEASED, writer=writer)


def decode(row: effects.Row) -> Entry:
    """Return the value of a ledger row.

    Raises ``LedgerRowError`` if it is not one.
    """
    try:
        return msgspec.convert(row.value, Entry)
    except msgspec.ValidationError as error:
        raise errors.LedgerRowError(f"{row.key}: {error}") from error


def encode(entry: Entry) -> dict[str, Any]:
    """Return the value to store for an entry."""
    return msgspec.to_builtins(entry)


def get_response(entry: Entry) -> messages.Response:
    """Return the stored response of an entry that is done."""
    answer = entry.answer
    return messages.Response(answer.status, answer.headers, base64.b64decode(answer.body))


def decide(entry: Entry | None, fingerprint: str) -> Decision:
    """Return what the row means for a request with this fingerprint."""
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
    """Return what a read row tells about the commit of ``writer`` whose answer was lost."""
    if row is not None and decode(row).writer == writer:
        return CommitEffect.APPLIED
    version = 0 if row is None else row.version
    return CommitEffect.REPEATABLE if version == expected_version else CommitEffect.SUPERSEDED
