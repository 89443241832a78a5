"""Agent process: sockets, clients and timers around its core."""

import random
import secrets

import curio

from crocusrudder.agent import core
from crocusrudder.conf import settings
from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.hosting import core_bridge
from crocusrudder.hosting import host
from crocusrudder.hosting import http_messages
from crocusrudder.hosting import http_server
from crocusrudder.hosting import inspection
from crocusrudder.hosting import wiring
from crocusrudder.observability import logs
from crocusrudder.observability import metrics
from crocusrudder.platform import http as http_client
from crocusrudder.platform import objects
from crocusrudder.platform import runtime


class AgentProcess:
    """Run an agent until a planned stop is complete."""

    def __init__(self, document: settings.AgentSettings) -> None:
        self._document = document
        self._incarnation = ids.Incarnation(secrets.token_hex(4))
        self._metrics = metrics.Metrics()
        self._core = core.AgentCore(document, self._incarnation, random.Random())
        self._link = wiring.make_transport(document, self._incarnation, self._metrics)
        wiring.record_peer_addresses(self._link, document.entries)
        self._http = core_bridge.CoreBridge(lambda event: self._host.post(event))
        self._inspection = inspection.Inspection(self._core, self._metrics)
        self._host = self._make_host()

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        document = self._document
        server = http_server.Server(
            document.listen_host, document.http_port, self._handle_http, self._metrics.count
        )
        await server.start()
        delivery_task = await curio.spawn(self._http.deliver_forever(), daemon=True)
        wiring.log_start(self._incarnation)
        await self._host.run()
        await server.stop()
        await delivery_task.cancel()
        self._link.close()
        wiring.log_stop(self._incarnation)

    def _make_host(self) -> host.Host:
        document = self._document
        runtime_host, _, runtime_port = document.runtime_address.partition(":")
        object_host, _, object_port = document.object_address.partition(":")
        runtime_client = runtime.RuntimeClient.from_config(
            runtime.RuntimeConfig(runtime_host, int(runtime_port), ids.WorkerId(document.worker))
        )
        object_client = objects.ObjectsClient.from_config(
            objects.ObjectsConfig(object_host, int(object_port))
        )
        endpoint_client = http_client.HttpClient.from_config(http_client.HttpConfig())
        async_handlers = {
            effects.CallRuntime: runtime_client.perform,
            effects.CallEndpoint: endpoint_client.perform,
            effects.PutObject: object_client.perform,
            effects.GetObject: object_client.perform,
        }
        sync_handlers = {
            **wiring.make_observation_handlers(self._metrics),
            effects.AnswerOperator: self._http.respond_to_operator,
        }
        return host.Host(
            self._core,
            self._link,
            async_handlers,
            sync_handlers,
            lambda: not self._http.pending_count,
        )

    async def _handle_http(self, request: http_messages.Request) -> http_messages.Response:
        response = self._inspection.respond(request)
        return response or await self._http.serve_operator(request)


def run(document: settings.AgentSettings) -> None:
    """Run an agent process with these settings."""
    logs.configure(document.log, document.process)
    curio.run(AgentProcess(document).run)
