"""Client of the worker runtime.

HTTP: ``POST /runtime/<worker>/call`` with a tagged call of ``runtime_calls`` as JSON. The response
is 200 with a tagged answer.
"""

import urllib.parse
from typing import Self

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.platform import errors
from crocusrudder.platform import http
from crocusrudder.platform import runtime_calls

STATUS_OK = 200

_DECODER = msgspec.json.Decoder(runtime_calls.RuntimeAnswer)


class RuntimeConfig(msgspec.Struct, frozen=True):
    """Address of the runtime, its worker and limits of its client; the timeout is per call."""

    host: str
    port: int
    worker: ids.WorkerId
    timeout_seconds: float = 5.0
    connections: int = 4


class RuntimeClient:
    """Perform ``CallRuntime`` effects.

    Every failure gives ``RuntimeUnknown``, including a call that never reached the runtime: all
    calls are idempotent, so callers need not distinguish the cases.
    """

    def __init__(self, config: RuntimeConfig) -> None:
        self._config = config
        self._target = f"/runtime/{urllib.parse.quote(config.worker, safe='')}/call"
        limits = http.HttpConfig(config.connections, max_body_bytes=http.MAX_PLATFORM_BODY_BYTES)
        self._http = http.HttpClient.from_config(limits)

    @classmethod
    def from_config(cls, config: RuntimeConfig) -> Self:
        return cls(config)

    async def perform(self, effect: effects.CallRuntime) -> events.Event:
        """Perform a call and return the resulting event."""
        config = self._config
        body = msgspec.json.encode(effect.call)
        headers = (("Content-Type", "application/json"),)
        request = effects.EndpointRequest("POST", self._target, headers, body)
        try:
            response = await self._http.call(
                config.host, config.port, request, config.timeout_seconds
            )
            if response.status == STATUS_OK:
                answer = _DECODER.decode(response.body)
                return events.RuntimeAnswered(effect.operation, answer)
        except (errors.PlatformError, msgspec.MsgspecError, RecursionError):
            pass
        return events.RuntimeUnknown(effect.operation)

    async def close(self) -> None:
        await self._http.close()
