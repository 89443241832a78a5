"""Client of the object store.

HTTP: ``PUT /objects/<key>`` (200 or 204) and ``GET /objects/<key>`` (200 with the bytes, or 404).
"""

import urllib.parse
from typing import Self

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.platform import errors
from crocusrudder.platform import http

STATUS_OK = 200
STATUSES_STORED = frozenset({200, 201, 204})
STATUS_NOT_FOUND = 404


class ObjectsConfig(msgspec.Struct, frozen=True):
    """Address of the object store and limits of its client; the timeout is per operation."""

    host: str
    port: int
    timeout_seconds: float = 5.0
    connections: int = 4


class ObjectsClient:
    """Perform ``PutObject`` and ``GetObject`` effects.

    Every failure gives ``StoreUnavailable``, including a put whose response was lost: a put is
    idempotent, so the caller repeats it in either case.
    """

    def __init__(self, config: ObjectsConfig) -> None:
        self._config = config
        limits = http.HttpConfig(config.connections, max_body_bytes=http.MAX_PLATFORM_BODY_BYTES)
        self._http = http.HttpClient.from_config(limits)

    @classmethod
    def from_config(cls, config: ObjectsConfig) -> Self:
        return cls(config)

    async def perform(self, effect: effects.PutObject | effects.GetObject) -> events.Event:
        """Perform an effect and return the resulting event."""
        try:
            if isinstance(effect, effects.PutObject):
                return await self._put(effect)
            return await self._get(effect)
        except errors.PlatformError:
            return events.StoreUnavailable(effect.operation)

    async def close(self) -> None:
        await self._http.close()

    async def _put(self, effect: effects.PutObject) -> events.Event:
        response = await self._call("PUT", effect.key, effect.data)
        if response.status in STATUSES_STORED:
            return events.ObjectStored(effect.operation)
        return events.StoreUnavailable(effect.operation)

    async def _get(self, effect: effects.GetObject) -> events.Event:
        response = await self._call("GET", effect.key, b"")
        if response.status == STATUS_OK:
            return events.ObjectRead(effect.operation, response.body)
        if response.status == STATUS_NOT_FOUND:
            return events.ObjectRead(effect.operation, None)
        return events.StoreUnavailable(effect.operation)

    async def _call(self, method: str, key: str, body: bytes) -> effects.EndpointResponse:
        target = "/objects/" + urllib.parse.quote(key, safe="/")
        request = effects.EndpointRequest(method, target, (), body)
        config = self._config
        return await self._http.call(config.host, config.port, request, config.timeout_seconds)
