"""Events: inputs that a core component receives from its host process."""

from typing import Any

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids


class Event(msgspec.Struct, frozen=True):
    """Base class of all events."""


class Received(Event, frozen=True):
    """A message from another process arrived."""

    sender: ids.ProcessId
    incarnation: ids.Incarnation
    message: msgspec.Struct
    address: str = ""
    """Address at which the sender listens, as ``host:port``."""


class Committed(Event, frozen=True):
    """A transaction took effect; ``versions`` maps each written key to its new version."""

    operation: ids.OperationId
    versions: dict[str, int]


class CommitConflicted(Event, frozen=True):
    """A transaction had no effect because a row version did not match.

    ``rows`` maps each key of the transaction to the current row, or to None if it is absent.
    """

    operation: ids.OperationId
    rows: dict[str, effects.Row | None]


class CommitUnknown(Event, frozen=True):
    """The reply to a transaction was lost; it may have taken effect or may still do so."""

    operation: ids.OperationId


class StoreUnavailable(Event, frozen=True):
    """The store did not process an operation, so it certainly had no effect."""

    operation: ids.OperationId


class RowsRead(Event, frozen=True):
    """Rows read by key or scan; keys that do not exist are missing."""

    operation: ids.OperationId
    rows: dict[str, effects.Row]


class ObjectStored(Event, frozen=True):
    """An object was stored."""

    operation: ids.OperationId


class ObjectRead(Event, frozen=True):
    """An object was read; ``data`` is None if it does not exist."""

    operation: ids.OperationId
    data: bytes | None


class RuntimeAnswered(Event, frozen=True):
    """The worker runtime replied; ``answer`` is a struct of ``platform.runtime_calls``."""

    operation: ids.OperationId
    answer: msgspec.Struct


class RuntimeUnknown(Event, frozen=True):
    """The worker runtime's reply was lost; the call may have taken effect."""

    operation: ids.OperationId


class EndpointAnswered(Event, frozen=True):
    """An endpoint returned a complete response."""

    operation: ids.OperationId
    response: effects.EndpointResponse


class EndpointUnreachable(Event, frozen=True):
    """The request did not run: no byte was sent, or the endpoint refused it unprocessed."""

    operation: ids.OperationId


class EndpointConnectionLost(Event, frozen=True):
    """The connection failed or timed out after bytes were sent; the request may have run."""

    operation: ids.OperationId


class CallerArrived(Event, frozen=True):
    """A caller's request was read in full. ``arrival`` is a struct of ``requests.outcomes``."""

    request: ids.RequestId
    arrival: msgspec.Struct


class CallerDisconnected(Event, frozen=True):
    """A caller closed its connection before it received a response."""

    request: ids.RequestId


class OperatorAsked(Event, frozen=True):
    """An operator's call arrived: method, path segments, query and JSON body."""

    operation: ids.OperationId
    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    body: Any


class StopRequested(Event, frozen=True):
    """A planned stop of the process was requested, for example by SIGTERM."""
