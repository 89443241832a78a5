"""Decode the heartbeats that workers send to their agents."""

import re
from typing import Annotated
from typing import Any

import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import errors
from crocusrudder.platform import json_parts
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages

HEARTBEAT_PATH = re.compile(r"/crocusrudder/Workers\.Heartbeat/([^/?]+)")
DEREGISTER_PATH = re.compile(r"/crocusrudder/Workers\.Deregister/([^/?]+)")

MAX_SPLIT_BYTES = 256 * 1024
"""Greatest length of a heartbeat with odd fields that is read; one has less than 1 KB. The split
takes about 0.15 s at that length and holds up the process."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=messages.MAX_INTEGER)]

MAX_CAPACITY = 2**31 - 1
"""Greatest figure of a capacity that is believed: two million processors or two petabytes, which no
machine has. Sums over all workers stay far below 64 bits."""
MAX_TEXT_CHARACTERS = 1_000
MAX_LABELS = 100
"""Far above what workers send, and small enough for a report, which repeats them all."""

_CapacityFigure = Annotated[int, msgspec.Meta(ge=0, le=MAX_CAPACITY)]
_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS)]

_DRAINING_BY_STATE = {"ready": False, "draining": True}


class _WireCapacity(msgspec.Struct):
    cpu: _CapacityFigure
    memory_mb: _CapacityFigure = msgspec.field(name="memMb")
    gpu: _CapacityFigure = 0


class _WireHeartbeat(msgspec.Struct):
    service: _Text
    state: str
    seq: _Count
    capacity: _WireCapacity
    zone: _Text = ""
    cold_left_ms: float = msgspec.field(default=0.0, name="coldLeftMs")
    labels: Annotated[list[_Text], msgspec.Meta(max_length=MAX_LABELS)] = []
    born: _Count = 0


_FIELDS = frozenset(field.encode_name for field in msgspec.structs.fields(_WireHeartbeat))


class Heartbeat(msgspec.Struct, frozen=True):
    """A decoded heartbeat; ``sequence`` increases within one incarnation of a worker."""

    sequence: int
    state: workflow_messages.WorkerState


def decode_heartbeat(worker: str, body: bytes) -> Heartbeat:
    """Decode the body of a heartbeat request.

    Raises ``MalformedInputError``.
    """
    try:
        wire: Any = _decode(body)
    except errors.MalformedInputError as error:
        raise errors.MalformedInputError(f"heartbeat of {worker}: {error}") from error
    if wire.state not in _DRAINING_BY_STATE:
        raise errors.MalformedInputError(
            f"heartbeat of {worker}: unknown state {wire.state[:99]!r}"
        )
    capacity = messages.Resources(wire.capacity.cpu, wire.capacity.memory_mb, wire.capacity.gpu)
    state = workflow_messages.WorkerState(
        ids.WorkerId(worker),
        wire.born,
        ids.ServiceName(wire.service),
        ids.DataCentre(wire.zone),
        capacity,
        tuple(wire.labels),
        _DRAINING_BY_STATE[wire.state],
        wire.cold_left_ms > 0,
    )
    return Heartbeat(wire.seq, state)


def _decode(body: bytes) -> _WireHeartbeat:
    """Decode a heartbeat; other fields than those of ``_WireHeartbeat`` may hold any value."""
    try:
        return json_parts.decode(body, _WireHeartbeat)
    except errors.MalformedInputError:
        if len(body) > MAX_SPLIT_BYTES:
            raise
        members = json_parts.split_object(body)
    fields = (
        b'"%b":%b' % (name.encode(), part) for name, part in members.items() if name in _FIELDS
    )
    return json_parts.decode(b"{%b}" % b",".join(fields), _WireHeartbeat)
