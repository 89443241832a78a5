"""Client of the worker runtime.

HTTP: ``POST /runtime/<worker>/call`` with a tagged call of ``runtime_calls`` as JSON; 200 with a
tagged answer.
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

STATUS_ANSWERED = 200

_DECODER = msgspec.json.Decoder(runtime_calls.RuntimeAnswer)


class RuntimeConfig(msgspec.Struct, frozen=True):
    """Address of the runtime, the worker, and the time allowed for one call."""

    host: str
    port: int
    worker: ids.WorkerId
    timeout_seconds: float = 5.0
    connections: int = 4


class RuntimeClient:
    """Carry out ``CallRuntime``.

    Every failure is answered with ``RuntimeUnknown``, also that of a call that never reached the
    runtime: all calls may be repeated, so the caller gains nothing from the difference.
    """

    def __init__(self, config: RuntimeConfig) -> None:
        self._config = config
        self._target = f"/runtime/{urllib.parse.quote(config.worker, safe='')}/call"
        limits = http.HttpConfig(config.connections, max_body_bytes=http.STORE_BODY_BYTES)
        self._http = http.HttpClient.from_config(limits)

    @classmethod
    def from_config(cls, config: RuntimeConfig) -> Self:
        """Return a client of the runtime of one worker."""
        return cls(config)

    async def perform(self, effect: effects.CallRuntime) -> events.Event:
        """Carry out a call and return the event that answers it."""
        config = self._config
        body = msgspec.json.encode(effect.call)
        headers = (("Content-Type", "application/json"),)
        request = effects.EndpointRequest("POST", self._target, headers, body)
        try:
            response = await self._http.call(
                config.host, config.port, request, config.timeout_seconds
            )
            if response.status == STATUS_ANSWERED:
                answer = _DECODER.decode(response.body)
                return events.RuntimeAnswered(effect.operation, answer)
        except (errors.PlatformError, msgspec.MsgspecError, RecursionError):
            pass
        return events.RuntimeUnknown(effect.operation)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._http.close()
