"""Stand-in of the users' store: versioned rows, transactions and a change feed."""

import random

import curio
import msgspec

from crocusrudder.hosting import http_messages

OPERATOR_TABLE = "op"
PAGE_ROWS = 500
MAX_WAIT_SECONDS = 30.0
LATE_SHARE = 0.3
"""Share of the writes that are performed late, as on the users' platform."""
LATE_SECONDS = (1.0, 6.0)
SILENCE_SECONDS = 30.0
"""Time for which a call is left without an answer; callers give up long before."""

RowKey = tuple[str, str, str]
"""Table, part and key."""


class UsersStore:
    """Versioned rows in memory; while ``is_down`` is set, every request is refused with 503."""

    def __init__(self) -> None:
        self._rows: dict[RowKey, tuple[str, int]] = {}
        self._changes: list[tuple[int, RowKey, str | None]] = []
        self._version = 0
        self._changed = curio.Condition()
        self.is_down = False
        self.deferral_draws: random.Random | None = None
        """Draws the writes that are left unanswered and performed late; None for no such writes."""

    async def handle(self, request: http_messages.Request) -> http_messages.Response:
        """Return the response to a request."""
        if self.is_down:
            return http_messages.Response(503)
        match request.path[-1]:
            case "rows-tx":
                return await self._transact_or_defer(msgspec.json.decode(request.body))
            case "rows-get":
                return self._read(request.query)
            case "rows-feed":
                return await self._watch(request.query)
        return http_messages.Response(404)

    async def _transact_or_defer(self, content: dict) -> http_messages.Response:
        draws = self.deferral_draws
        if draws is None or draws.random() >= LATE_SHARE:
            return await self.transact(content)
        await curio.spawn(
            self._perform_deferred, content, draws.uniform(*LATE_SECONDS), daemon=True
        )
        await curio.sleep(SILENCE_SECONDS)
        return http_messages.Response(503)

    async def _perform_deferred(self, content: dict, seconds: float) -> None:
        await curio.sleep(seconds)
        await self.transact(content)

    async def transact(self, content: dict) -> http_messages.Response:
        """Apply all entries of a transaction, or none if an expected version differs."""
        for row in content.get("expectRev", ()):
            if self._rows.get(_make_row_key(row), ("", 0))[1] != row["ver"]:
                return http_messages.make_json_response(412, {"rows": []})
        self._version += 1
        for row in content.get("setKeys", ()):
            self._apply(_make_row_key(row), row["value"])
        for row in content.get("remove", ()):
            self._apply(_make_row_key(row), None)
        async with self._changed:
            await self._changed.notify_all()
        return http_messages.make_json_response(200, {"ver": self._version})

    def _apply(self, key: RowKey, value: str | None) -> None:
        if value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = (value, self._version)
        self._changes.append((self._version, key, value))

    def _read(self, query: dict[str, str]) -> http_messages.Response:
        first = query.get("from", "")
        end = query.get("to")
        found = sorted(
            (key, value)
            for key, value in self._rows.items()
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        page = [
            {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}
            for key, (value, version) in found[:PAGE_ROWS]
        ]
        content = {"rows": page, "ver": self._version, "morePages": len(found) > PAGE_ROWS}
        return http_messages.make_json_response(200, content)

    async def _watch(self, query: dict[str, str]) -> http_messages.Response:
        after = int(query["after"])
        wait = min(int(query["waitMs"]) / 1_000, MAX_WAIT_SECONDS)

        async def wait_for_change() -> None:
            async with self._changed:
                while not self._list_changes(query["table"], after):
                    await self._changed.wait()

        await curio.ignore_after(wait, wait_for_change)
        content = {"rows": self._list_changes(query["table"], after), "ver": self._version}
        return http_messages.make_json_response(200, content)

    def _list_changes(self, table: str, after: int) -> list[dict]:
        return [
            {
                "table": key[0],
                "part": key[1],
                "key": key[2],
                "value": value or "",
                "ver": version,
                "deleted": value is None,
            }
            for version, key, value in self._changes
            if version > after and key[0] == table
        ]


def _make_row_key(row: dict) -> RowKey:
    return row["table"], row.get("part", ""), row["key"]
