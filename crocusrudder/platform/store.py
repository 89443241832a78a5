"""Client of the metadata store: versioned rows, transactions and a change feed."""

import base64
import contextlib
import typing
import urllib.parse
from collections.abc import Iterable
from typing import Annotated
from typing import Any
from typing import Self

import msgspec

from crocusrudder.core import effects
from crocusrudder.observability import logs
from crocusrudder.platform import errors
from crocusrudder.platform import http
from crocusrudder.platform import json_parts
from crocusrudder.wire import messages

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
"""Start of the keys of evacuations in the operator's table; the data centre follows."""
EVACUATION_END = "evacuate0"
"""First key after those of all evacuations."""
PARTITION = ""
"""All rows are in one partition, because a transaction cannot span partitions."""

MAX_TRANSACTION_ENTRIES = 100
"""Limit of the store on the entries of one transaction."""
CALL_TIMEOUT_SECONDS = 1.5
"""A call takes about 0.04 s, and up to 0.5 s while the store is slow."""
CONNECTIONS = 12
MAX_QUOTED = 200
"""Characters of a decoding error that the log repeats."""

_STATUS_OK = 200
_STATUS_CONFLICT = 412
_STATUS_HISTORY_GONE = 410
_NOT_EXECUTED_STATUSES = (429, 503)


_Version = Annotated[int, msgspec.Meta(ge=0, le=messages.MAX_INTEGER)]


class StoreRow(msgspec.Struct, frozen=True):
    """A row as read; in the change feed, ``value`` is None if the row was removed.

    A value that cannot be read is empty, which is invalid for every decoder of this system.
    """

    table: str
    key: str
    value: bytes | None
    version: int


class Expectation(msgspec.Struct, frozen=True):
    """Condition of a transaction: the version of a row, 0 if the row must not exist."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A row to write, or to remove if ``value`` is None."""

    table: str
    key: str
    value: bytes | None


class Page(msgspec.Struct, frozen=True):
    """Rows and the store version at which they were read.

    Rows may be newer than the version, but all changes up to it are included.
    """

    rows: tuple[StoreRow, ...]
    version: int


class _WireRow(msgspec.Struct):
    key: str
    table: str = ""
    part: str = ""
    value: str | None = ""
    ver: _Version = 0
    deleted: bool = False


_ROW_TYPES = typing.get_type_hints(_WireRow, include_extras=True)


class _WireRows(msgspec.Struct):
    rows: list[_WireRow] = []
    ver: _Version = 0
    more: bool = msgspec.field(default=False, name="morePages")


class StoreClient:
    """Call the store.

    A call raises ``NotExecutedError`` if it had no effect, ``UnknownOutcomeError`` if it may have
    taken effect or may still do so, and ``ConflictError`` if a row had an unexpected version.
    """

    def __init__(self, address: str, http_client: http.HttpClient) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._http = http_client

    @classmethod
    def from_address(cls, address: str) -> Self:
        """Return a client of the store at ``host:port``."""
        limits = http.HttpConfig(CONNECTIONS, max_body_bytes=http.MAX_PLATFORM_BODY_BYTES)
        return cls(address, http.HttpClient.from_config(limits))

    async def commit(
        self,
        writes: Iterable[Write],
        expectations: Iterable[Expectation] = (),
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> int:
        """Commit all writes atomically and return the version of the transaction."""
        body = _encode_transaction(writes, expectations)
        request = effects.EndpointRequest("POST", "/crocusrudder/rows-tx", http.JSON_HEADERS, body)
        response = await self._call(request, timeout_seconds)
        if response.status == _STATUS_CONFLICT:
            raise errors.ConflictError("a row does not have the expected version")
        _require_success(response)
        return _decode(response).ver

    async def read(
        self, table: str, first: str = "", end: str = "", timeout: float = CALL_TIMEOUT_SECONDS
    ) -> Page:
        """Return all rows of a table with ``first <= key < end``."""
        rows: list[StoreRow] = []
        version: int | None = None
        while True:
            bounds = {"from": first} if first else {}
            bounds |= {"to": end} if end else {}
            page = await self._get(
                "rows-get", {"table": table, "part": PARTITION, **bounds}, timeout
            )
            rows += [_convert(row, table) for row in page.rows]
            # Later pages do not show what has changed in the range of the first one since.
            version = page.ver if version is None else version
            if not page.more:
                return Page(tuple(rows), version)
            if not page.rows:
                raise errors.UnknownOutcomeError(
                    f"a page of the table {table!r} has no readable key, and others follow it"
                )
            first = page.rows[-1].key + "\x00"

    async def read_row(self, table: str, key: str) -> StoreRow | None:
        """Return one row, or None if it does not exist."""
        page = await self.read(table, key, key + "\x00")
        return page.rows[0] if page.rows else None

    async def watch(self, table: str, after: int, wait_seconds: float) -> Page:
        """Wait for changes of a table after a version and return them.

        The page is empty if there is none within ``wait_seconds``. Raises ``HistoryGoneError`` if
        the store no longer has some of the changes.
        """
        query = {"table": table, "after": after, "waitMs": round(wait_seconds * 1_000)}
        page = await self._get("rows-feed", query, wait_seconds + CALL_TIMEOUT_SECONDS)
        # The feed of a table covers all partitions.
        rows = (row for row in page.rows if row.part == PARTITION)
        return Page(tuple(_convert(row, table) for row in rows), page.ver)

    async def _get(self, name: str, query: dict[str, Any], timeout: float) -> _WireRows:
        target = f"/crocusrudder/{name}?{urllib.parse.urlencode(query)}"
        request = effects.EndpointRequest("GET", target, (), b"")
        response = await self._call(request, timeout)
        if response.status == _STATUS_HISTORY_GONE:
            raise errors.HistoryGoneError("the store no longer has the requested changes")
        _require_success(response)
        return _decode(response)

    async def _call(
        self, request: effects.EndpointRequest, timeout: float
    ) -> effects.EndpointResponse:
        return await self._http.call(self._host, self._port, request, timeout)


def _encode_transaction(writes: Iterable[Write], expectations: Iterable[Expectation]) -> bytes:
    written = []
    removed = []
    for write in writes:
        row = {"table": write.table, "part": PARTITION, "key": write.key}
        if write.value is None:
            removed.append(row)
        else:
            written.append({**row, "value": base64.b64encode(write.value).decode()})
    expected = [
        {"table": item.table, "part": PARTITION, "key": item.key, "ver": item.version}
        for item in expectations
    ]
    content = {"expectRev": expected, "setKeys": written, "remove": removed}
    return msgspec.json.encode({name: rows for name, rows in content.items() if rows})


def _require_success(response: effects.EndpointResponse) -> None:
    if response.status in _NOT_EXECUTED_STATUSES:
        raise errors.NotExecutedError(f"the store responded with status {response.status}")
    if response.status != _STATUS_OK:
        text = response.body[:200].decode(errors="replace")
        raise errors.UnknownOutcomeError(
            f"the store responded with status {response.status}: {text}"
        )


def _decode(response: effects.EndpointResponse) -> _WireRows:
    try:
        return msgspec.json.decode(response.body, type=_WireRows)
    except (msgspec.MsgspecError, RecursionError):
        pass
    try:
        members = json_parts.split_object(response.body)
        items = json_parts.split_array(members.get("rows", b"[]"))
        # Without its version and its end, a page cannot be followed by the next one.
        version = json_parts.decode(members.get("ver", b"0"), _Version)
        more = json_parts.decode(members.get("morePages", b"false"), bool)
    except errors.MalformedInputError as error:
        raise errors.UnknownOutcomeError(
            f"cannot decode the response of the store: {error}"
        ) from error
    return _WireRows([row for row in map(_decode_row, items) if row is not None], version, more)


def _decode_row(item: bytes) -> _WireRow | None:
    """Decode a row; one with a readable key has an empty value if the rest cannot be read."""
    try:
        return json_parts.decode(item, _WireRow)
    except errors.MalformedInputError as error:
        failure = error
    row = None
    with contextlib.suppress(errors.MalformedInputError):
        members = json_parts.split_object(item)
        row = _WireRow(json_parts.decode(members.get("key", b""), str))
        for name in ("table", "part", "ver"):
            with contextlib.suppress(errors.MalformedInputError):
                type_ = _ROW_TYPES[name]
                setattr(row, name, json_parts.decode(members.get(name, b""), type_))
    fields = {"key": row and row.key, "code": failure.code, "error": failure.message[:MAX_QUOTED]}
    logs.write_change(effects.LogChange("store_row_unreadable", fields))
    return row


def _convert(row: _WireRow, table: str) -> StoreRow:
    try:
        value = None if row.deleted else base64.b64decode(row.value or "")
    except ValueError:
        value = b""
    return StoreRow(row.table or table, row.key, value, row.ver)
