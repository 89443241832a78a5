"""Rows of the table that store the configuration.

- ``config/head``: the latest revision and its change id
- ``config/revision/<n>``: the change with revision n
- ``config/change/<id>``: the identity of a change, by which it takes effect at most once
- ``config/record/...``: the records in force
"""

from typing import Any

import msgspec
import xxhash

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.records import errors
from crocusrudder.records import schema
from crocusrudder.wire import messages

HEAD_KEY = "config/head"
RECORD_PREFIX = "config/record/"


class Head(msgspec.Struct, frozen=True):
    """Value of ``config/head``."""

    revision: ids.Revision
    change: ids.ChangeId


class RevisionRow(msgspec.Struct, frozen=True):
    """Value of ``config/revision/<n>``; ``record`` is None for a retired record."""

    revision: ids.Revision
    change: ids.ChangeId
    author: str
    action: str
    kind: str
    name: str
    schema_version: int
    record: dict[str, Any] | None


class RecordRow(msgspec.Struct, frozen=True):
    """Value of ``config/record/<kind>/<name>/<schema version>``."""

    record: dict[str, Any]
    revision: ids.Revision


class ChangeRow(msgspec.Struct, frozen=True):
    """Value of ``config/change/<id>``; ``revision`` is None if the change was withdrawn."""

    revision: ids.Revision | None
    fingerprint: str = ""


def get_revision_key(revision: int) -> str:
    return f"config/revision/{revision}"


def get_change_key(change: ids.ChangeId) -> str:
    return f"config/change/{change}"


def read(row: effects.Row | None, type_: type) -> Any:
    """Return the row's value as a struct, or None; raise ``StoredRecordError`` if malformed."""
    if row is None:
        return None
    try:
        return msgspec.convert(row.value, type_)
    except msgspec.ValidationError as error:
        raise errors.StoredRecordError(f"row {row.key} is malformed: {error}") from error


def read_change(row: effects.Row) -> messages.ConfigurationChange:
    """Return the change in a revision row; raise ``StoredRecordError`` if malformed."""
    value: RevisionRow = read(row, RevisionRow)
    return messages.ConfigurationChange(
        value.revision, value.change, value.kind, value.name, value.schema_version, value.record
    )


def read_record_key(key: str) -> schema.RecordKey:
    """Return the record's identity in a row key; raise ``StoredRecordError`` if malformed."""
    parts = key.removeprefix(RECORD_PREFIX).split("/")
    if len(parts) != 3 or not parts[2].isdecimal():
        raise errors.StoredRecordError(f"row key {key!r} does not identify a record")
    return schema.RecordKey(parts[0], parts[1], int(parts[2]))


def make_fingerprint(*parts: Any) -> str:
    """Return a digest of a change, to detect a change id that is reused for another change."""
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(parts, order="sorted"))
