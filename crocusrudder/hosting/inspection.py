"""HTTP responses on the state of a process: state dump, metrics and health."""

import time

import msgspec

from crocusrudder.hosting import composition
from crocusrudder.hosting import http_messages
from crocusrudder.observability import metrics

_TEXT = (("content-type", "text/plain; version=0.0.4"),)


class Inspectable(composition.Composition):
    """Process core that reports whether it is ready."""

    @property
    def is_ready(self) -> bool:
        """Return whether the process serves requests."""
        raise NotImplementedError


class Inspection:
    """Serve ``GET /v1/state``, ``/v1/metrics`` and ``/v1/health``."""

    def __init__(self, core: Inspectable, registry: metrics.Metrics) -> None:
        self._core = core
        self._registry = registry

    def respond(self, request: http_messages.Request) -> http_messages.Response | None:
        """Return the response, or None for any other method or path."""
        match request.method, request.path:
            case "GET", ("v1", "state"):
                return self._make_state_response()
            case "GET", ("v1", "metrics"):
                text = self._registry.render().encode()
                return http_messages.Response(200, _TEXT, text)
            case "GET", ("v1", "health"):
                is_ready = self._core.is_ready
                return http_messages.make_json_response(
                    200 if is_ready else 503, {"ready": is_ready}
                )
        return None

    def _make_state_response(self) -> http_messages.Response:
        state = self._core.assemble_dump(self._registry.counters, time.monotonic())
        body = msgspec.json.encode(state, enc_hook=str, order="sorted")
        return http_messages.Response(200, (("content-type", "application/json"),), body)
