"""Entry process: sockets, clients and timers around its core."""

import random
import secrets

import curio

from crocusrudder.conf import settings
from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.entry import core
from crocusrudder.entry import http
from crocusrudder.hosting import host
from crocusrudder.hosting import http_connection
from crocusrudder.hosting import http_messages
from crocusrudder.hosting import http_server
from crocusrudder.hosting import inspection
from crocusrudder.hosting import wiring
from crocusrudder.observability import logs
from crocusrudder.observability import metrics
from crocusrudder.platform import table


class EntryProcess:
    """Run an entry until a planned stop is complete."""

    def __init__(self, document: settings.EntrySettings) -> None:
        self._document = document
        self._incarnation = ids.Incarnation(secrets.token_hex(4))
        self._metrics = metrics.Metrics()
        self._core = core.EntryCore(document, self._incarnation, random.Random())
        self._link = wiring.make_transport(document, self._incarnation, self._metrics)
        wiring.record_peer_addresses(self._link, document.peers)
        timeouts = http.CallerTimeouts(
            document.requests.default_timeout_seconds, document.requests.max_timeout_seconds
        )
        self._http = http.EntryHttp(lambda event: self._host.post(event), timeouts)
        self._inspection = inspection.Inspection(self._core, self._metrics)
        self._host = self._make_host()

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        server = http_server.Server(
            self._document.listen_host,
            self._document.http_port,
            self._handle_http,
            self._metrics.count,
            self._make_server_limits(),
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
        client = table.TableClient.from_config(self._make_table_config())
        async_handlers = {
            effects.Commit: client.perform,
            effects.ReadRows: client.perform,
            effects.ScanRows: client.perform,
        }
        sync_handlers = {
            **wiring.make_observation_handlers(self._metrics),
            effects.AnswerCaller: self._http.respond_to_caller,
            effects.AnswerOperator: self._http.respond_to_operator,
        }
        return host.Host(
            self._core,
            self._link,
            async_handlers,
            sync_handlers,
            lambda: not self._http.pending_count,
        )

    def _make_table_config(self) -> table.TableConfig:
        store = self._document.store
        address, _, port = store.table_address.partition(":")
        return table.TableConfig(address, int(port), store.request_timeout_seconds)

    def _make_server_limits(self) -> http_connection.ServerLimits:
        limits = self._document.requests
        return http_connection.ServerLimits(
            header_bytes=limits.max_header_bytes, body_bytes=limits.max_body_bytes
        )

    async def _handle_http(self, request: http_messages.Request) -> http_messages.Response:
        response = self._inspection.respond(request)
        return response or await self._http.handle_request(request)


def run(document: settings.EntrySettings) -> None:
    """Run an entry process with these settings."""
    logs.configure(document.log, document.process)
    curio.run(EntryProcess(document).run)
