"""Effects: actions that a core component requests from its host process.

An effect with a reply carries an ``operation``; the event with the reply carries the same one.
"""

from typing import Any

import msgspec

from crocusrudder.core import ids


class Effect(msgspec.Struct, frozen=True):
    """Base class of all effects."""


class Send(Effect, frozen=True):
    """Send a message to another process; it may be lost, delayed, duplicated or reordered."""

    to: ids.ProcessId
    message: msgspec.Struct
    incarnation: ids.Incarnation = ids.Incarnation("")
    """The only incarnation that may accept the message; empty for any."""


class UpdateAddress(Effect, frozen=True):
    """Record that a process listens at ``address`` (``host:port``)."""

    process: ids.ProcessId
    address: str


class RowWrite(msgspec.Struct, frozen=True):
    """Write one table row, or delete it when ``value`` is None.

    ``expected_version`` 0 means that the row must be absent; None writes unconditionally.
    """

    key: str
    value: dict[str, Any] | None
    expected_version: int | None


class RowCheck(msgspec.Struct, frozen=True):
    """Make a transaction depend on the version of a row that it does not write."""

    key: str
    expected_version: int


class Row(msgspec.Struct, frozen=True):
    """A table row as read. Versions of existing rows start at 1 and increase with each write."""

    key: str
    value: dict[str, Any]
    version: int


class Commit(Effect, frozen=True):
    """Commit a transaction: all writes take effect or none."""

    operation: ids.OperationId
    writes: tuple[RowWrite, ...]
    checks: tuple[RowCheck, ...] = ()


class ReadRows(Effect, frozen=True):
    """Read rows by key."""

    operation: ids.OperationId
    keys: tuple[str, ...]


class ScanRows(Effect, frozen=True):
    """Read all rows whose key starts with ``prefix``, in key order."""

    operation: ids.OperationId
    prefix: str


class PutObject(Effect, frozen=True):
    """Store an object; storing the same bytes again under the same key is allowed."""

    operation: ids.OperationId
    key: str
    data: bytes


class GetObject(Effect, frozen=True):
    """Read an object."""

    operation: ids.OperationId
    key: str


class CallRuntime(Effect, frozen=True):
    """Call the worker runtime; ``call`` is a struct of ``platform.runtime_calls``."""

    operation: ids.OperationId
    call: msgspec.Struct


class EndpointRequest(msgspec.Struct, frozen=True):
    """An HTTP request as forwarded to an endpoint."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class EndpointResponse(msgspec.Struct, frozen=True):
    """A complete HTTP response of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallEndpoint(Effect, frozen=True):
    """Send an HTTP request to an endpoint; read the whole response in ``timeout_seconds``."""

    operation: ids.OperationId
    host: str
    port: int
    request: EndpointRequest
    timeout_seconds: float


class AnswerCaller(Effect, frozen=True):
    """Respond to a caller. ``outcome`` is one of the structs in ``requests.outcomes``."""

    request: ids.RequestId
    outcome: msgspec.Struct


class AnswerOperator(Effect, frozen=True):
    """Respond to an operator's call with an HTTP status and a JSON body."""

    operation: ids.OperationId
    status: int
    body: dict[str, Any]


class Count(Effect, frozen=True):
    """Add to a counter. Names are listed in ``docs/reference/metrics.md``."""

    name: str
    amount: int = 1


class Observe(Effect, frozen=True):
    """Record a value in a histogram; durations are in seconds."""

    name: str
    value: float


class LogChange(Effect, frozen=True):
    """Log a change of state."""

    name: str
    fields: dict[str, Any]
