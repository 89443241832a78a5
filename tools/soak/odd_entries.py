"""Heartbeats, list entries and rows of another writer, drawn from a seed.

None of them names a worker, a run or a row to use, and what stands beside them has to keep working.
"""

import base64
import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec

UNKNOWN_JOB = "ffffffffffffffff"
UNKNOWN_TASK = f"{UNKNOWN_JOB}.0.0.0"
LARGE_NUMBER = 2**53 - 1
"""Largest integer that all JSON decoders read exactly."""
_HUGE_NUMBER = b"9" * 5_000
"""More digits than Python converts to an integer."""
_NOT_A_NUMBER = b"1e400"
_NOT_TEXT = b'"\xff\xfe"'
_DEEP_LIST = b"[" * 1_100 + b"]" * 1_100
"""Nested deeper than Python's limit of recursion."""

_HeartbeatVariant = Callable[[dict], bytes]


class Row(NamedTuple):
    """A row of the store; ``value`` should be base64."""

    table: str
    key: str
    value: str


def _replace_fields(**fields: object) -> _HeartbeatVariant:
    return lambda heartbeat: msgspec.json.encode(heartbeat | fields)


def _add_field(value: bytes) -> _HeartbeatVariant:
    return lambda heartbeat: msgspec.json.encode(heartbeat | {"other": msgspec.Raw(value)})


HEARTBEAT_VARIANTS: dict[str, _HeartbeatVariant] = {
    "late-born": _replace_fields(born=LARGE_NUMBER),
    "greatest-born": _replace_fields(born=2**62),
    "early-born": _replace_fields(born=1),
    "negative-born": _replace_fields(born=-1),
    "large-sequence": _replace_fields(seq=LARGE_NUMBER, service="elsewhere"),
    "text-sequence": _replace_fields(seq="next"),
    "other-service": _replace_fields(service="elsewhere"),
    "no-service": lambda heartbeat: msgspec.json.encode(heartbeat | {"service": None}),
    "unknown-state": _replace_fields(state="asleep"),
    "large-capacity": _replace_fields(capacity={"cpu": msgspec.Raw(_HUGE_NUMBER), "memMb": 1}),
    "infinite-capacity": _replace_fields(capacity={"cpu": msgspec.Raw(_NOT_A_NUMBER), "memMb": 1}),
    "deep-field": _add_field(b"[" * 100_000 + b"]" * 100_000),
    "huge-field": _add_field(_HUGE_NUMBER),
    "not-text": _add_field(_NOT_TEXT),
    "cut-off": lambda heartbeat: msgspec.json.encode(heartbeat)[:-9],
    "empty": lambda heartbeat: b"",
}

LIST_ENTRIES = {
    "deep": _DEEP_LIST,
    "huge": b"[" + _HUGE_NUMBER + b"]",
    "infinite": b'["%b",1,"",%b,0]' % (UNKNOWN_TASK.encode(), _NOT_A_NUMBER),
    "not-text": b"[" + _NOT_TEXT + b',1,"",50,0]',
    "negative-percent": b'["%b",1,"",-5,0]' % UNKNOWN_TASK.encode(),
    "long-number": b'["%b",%b,"",50,0]' % (UNKNOWN_TASK.encode(), b"9" * 31),
    "unknown-task": b'["%b",1,"",50,0]' % UNKNOWN_TASK.encode(),
    "no-task": b'["",1,"",50,0]',
    "null": b"null",
    "object": b'{"task":1}',
}
END_ENTRIES = {
    "deep": _DEEP_LIST,
    "huge": b'[%b,"%b",1,"done",""]' % (_HUGE_NUMBER, UNKNOWN_TASK.encode()),
    "late-number": b'[%d,"%b",1,"done",""]' % (LARGE_NUMBER, UNKNOWN_TASK.encode()),
    "not-text": b"[1," + _NOT_TEXT + b',1,"done",""]',
    "unknown-end": b'[1,"%b",1,"vanished",""]' % UNKNOWN_TASK.encode(),
    "null": b"null",
}

_ADDRESSES = (b"127.0.0.1:99999", b"127.0.0.1:-1", b"127.0.0.1", b":", b"", b"\xff\xfe:80", b"[::")
_MESSAGES = (b"\xff\xfe", b"", b"\x91" * 1_100, b"\xc1", msgspec.msgpack.encode({"epoch": -1}))
_NOT_BASE64 = "!!!"
ROW_VALUES = {
    ("roster", "agent-odd"): _ADDRESSES,
    ("entries", "entry-odd"): _ADDRESSES,
    ("cores", "entry-odd"): (b"1e400", b"nan", b"-1", b"\xff", b"", b"9" * 5_000),
    ("control", "learned"): _MESSAGES,
    ("progress", UNKNOWN_JOB): _MESSAGES,
    ("jobs", UNKNOWN_JOB): _MESSAGES,
    ("jobs", f"{UNKNOWN_JOB}.cancel"): (b"1", b"\xff"),
    ("op", "evacuate/"): _MESSAGES,
    ("op", "evacuate/nowhere"): _MESSAGES,
    ("op", "other"): _MESSAGES,
}


def draw_heartbeat(generator: random.Random, heartbeat: dict) -> tuple[str, bytes]:
    """Return the name of a variant and its body, made from the content of a valid heartbeat."""
    name = generator.choice(list(HEARTBEAT_VARIANTS))
    return name, HEARTBEAT_VARIANTS[name](heartbeat)


def draw_entry(generator: random.Random) -> tuple[str, str, bytes]:
    """Return a list of a worker, the name of a variant, and an entry for that list."""
    field, entries = generator.choice([("running", LIST_ENTRIES), ("ended", END_ENTRIES)])
    name = generator.choice(list(entries))
    return field, name, entries[name]


def draw_row(generator: random.Random) -> Row:
    """Return a row that no process of the deployment would write."""
    table, key = generator.choice(list(ROW_VALUES))
    value = generator.choice([*ROW_VALUES[table, key], None])
    encoded = _NOT_BASE64 if value is None else base64.b64encode(value).decode()
    return Row(table, key, encoded)
