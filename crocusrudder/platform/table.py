"""Client of the table service.

HTTP, all bodies JSON: ``POST /table/commit`` (200 with versions, 409 with the current rows),
``POST /table/read`` and ``POST /table/scan`` (200 with rows). A 503 with ``Request-Processed: no``
means that nothing was processed. Any other 503 may come from a load balancer that lost the
response, so the outcome of such a commit is unknown.
"""

from collections.abc import Mapping
from typing import Any
from typing import Self

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.platform import errors
from crocusrudder.platform import http

STATUS_OK = 200
STATUS_CONFLICT = 409


class TableConfig(msgspec.Struct, frozen=True):
    """Address of the table service and limits of its client; the timeout is per operation."""

    host: str
    port: int
    timeout_seconds: float = 2.0
    connections: int = 8


class _Versions(msgspec.Struct):
    versions: dict[str, int]


class _Rows(msgspec.Struct):
    rows: dict[str, effects.Row]


class _CurrentRows(msgspec.Struct):
    rows: dict[str, effects.Row | None]


class TableClient:
    """Perform ``Commit``, ``ReadRows`` and ``ScanRows`` effects."""

    def __init__(self, config: TableConfig) -> None:
        self._config = config
        limits = http.HttpConfig(config.connections, max_body_bytes=http.MAX_PLATFORM_BODY_BYTES)
        self._http = http.HttpClient.from_config(limits)

    @classmethod
    def from_config(cls, config: TableConfig) -> Self:
        return cls(config)

    async def perform(
        self, effect: effects.Commit | effects.ReadRows | effects.ScanRows
    ) -> events.Event:
        """Perform an effect and return the resulting event."""
        if isinstance(effect, effects.Commit):
            return await self._commit(effect)
        if isinstance(effect, effects.ReadRows):
            rows = await self._read("read", {"keys": effect.keys})
            valid = rows is not None and rows.keys() <= set(effect.keys)
        else:
            rows = await self._read("scan", {"prefix": effect.prefix})
            valid = rows is not None and all(key.startswith(effect.prefix) for key in rows)
        if not valid:
            return events.StoreUnavailable(effect.operation)
        return events.RowsRead(effect.operation, rows)

    async def close(self) -> None:
        await self._http.close()

    async def _call(self, operation: str, content: dict[str, Any]) -> effects.EndpointResponse:
        headers = (("Content-Type", "application/json"),)
        body = msgspec.json.encode(content)
        request = effects.EndpointRequest("POST", f"/table/{operation}", headers, body)
        config = self._config
        return await self._http.call(config.host, config.port, request, config.timeout_seconds)

    async def _commit(self, effect: effects.Commit) -> events.Event:
        try:
            response = await self._call(
                "commit", {"writes": effect.writes, "checks": effect.checks}
            )
        except errors.NotExecutedError:
            return events.StoreUnavailable(effect.operation)
        except errors.UnknownOutcomeError:
            return events.CommitUnknown(effect.operation)
        if http.is_refusal(response):
            return events.StoreUnavailable(effect.operation)
        return _interpret_commit(effect, response) or events.CommitUnknown(effect.operation)

    async def _read(self, operation: str, content: dict) -> dict[str, effects.Row] | None:
        try:
            response = await self._call(operation, content)
            if response.status != STATUS_OK:
                return None
            rows = msgspec.json.decode(response.body, type=_Rows).rows
            return rows if _are_rows_named(rows) else None
        except (errors.PlatformError, msgspec.MsgspecError, RecursionError):
            return None


def _are_rows_named(rows: Mapping[str, effects.Row | None]) -> bool:
    return all(row is None or row.key == key for key, row in rows.items())


def _interpret_commit(
    effect: effects.Commit, response: effects.EndpointResponse
) -> events.Event | None:
    """Return the event of a complete response; None if it does not match this transaction."""
    written = {write.key for write in effect.writes}
    try:
        if response.status == STATUS_OK:
            versions = msgspec.json.decode(response.body, type=_Versions).versions
            if versions.keys() == written:
                return events.Committed(effect.operation, versions)
        if response.status == STATUS_CONFLICT:
            rows = msgspec.json.decode(response.body, type=_CurrentRows).rows
            keys = written | {check.key for check in effect.checks}
            if rows.keys() == keys and _are_rows_named(rows):
                return events.CommitConflicted(effect.operation, rows)
    except (msgspec.MsgspecError, RecursionError):
        pass
    return None
