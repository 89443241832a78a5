"""HTTP endpoint for the state dump and metrics of a process."""

from collections.abc import Callable

import msgspec

from crocusrudder.hosting import http_messages
from crocusrudder.hosting import http_server
from crocusrudder.observability import metrics
from crocusrudder.workflows import settings

_TEXT = (("content-type", "text/plain; version=0.0.4"),)
_JSON = (("content-type", "application/json"),)


async def start(
    document: settings.WorkflowSettings,
    registry: metrics.Metrics,
    dump: Callable[[], dict[str, object]],
) -> http_server.Server:
    """Serve ``GET /v1/metrics`` and ``GET /v1/state``."""

    async def respond(request: http_messages.Request) -> http_messages.Response:
        match request.method, request.path:
            case "GET", ("v1", "metrics"):
                return http_messages.Response(200, _TEXT, registry.render().encode())
            case "GET", ("v1", "state"):
                body = msgspec.json.encode(dump(), enc_hook=str, order="sorted")
                return http_messages.Response(200, _JSON, body)
        return http_messages.Response(404)

    server = http_server.Server(document.host, document.inspection_port, respond, registry.count)
    await server.start()
    return server
