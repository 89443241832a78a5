"""An example endpoint: ``python -m tools.standin.endpoint --port N --service S --agent H:P``."""

import collections

import click
import curio
import msgspec
from loguru import logger

from crocusrudder.core import effects
from crocusrudder.platform import errors
from crocusrudder.platform import http
from tools.standin import server
from tools.standin import signals

ANNOUNCE_SECONDS = 2.0
AGENT_TIMEOUT_SECONDS = 1.0
WITHDRAW_ATTEMPTS = 5
WITHDRAW_RETRY_SECONDS = 0.2


class Announcement(msgspec.Struct, frozen=True):
    """Body of ``PUT /v1/endpoints/<id>`` at the agent."""

    service: str
    schema_version: int
    host: str
    port: int
    slots: int
    connections: int


def make_json_response(status: int, content: object, *headers: tuple[str, str]) -> server.Response:
    body = msgspec.json.encode(content)
    return server.Response(status, (("Content-Type", "application/json"), *headers), body)


class Service:
    """Count executions and record an event for each, without input or output.

    Events are numbered from 1; a standing request returns the events after its offset.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._executions: collections.Counter[str] = collections.Counter()
        self._events: list[dict[str, object]] = []
        self._requests = 0

    def respond(self, request: server.Request) -> server.Response:
        """Execute a request and return its response."""
        if request.method == "GET" and request.target == "/audit":
            return make_json_response(200, self.get_audit())
        self._requests += 1
        offset = server.get_header(request, "Standing-Request")
        if offset:
            return self._respond_to_standing_request(offset)
        if request.method in ("GET", "HEAD"):
            return make_json_response(200, {"service": self._service, "target": request.target})
        return self._execute(request)

    def get_audit(self) -> dict[str, object]:
        """Return the executions per idempotency key and the numbers of requests and events."""
        return {
            "service": self._service,
            "executions": dict(self._executions),
            "requests": self._requests,
            "events": len(self._events),
        }

    def _execute(self, request: server.Request) -> server.Response:
        key = server.get_header(request, "Idempotency-Key")
        self._executions[key] += 1
        event = {
            "offset": len(self._events) + 1,
            "key": key,
            "method": request.method,
            "target": request.target,
            "body": request.body.decode("utf-8", "replace"),
        }
        self._events.append(event)
        return make_json_response(200, {"service": self._service, **event})

    def _respond_to_standing_request(self, text: str) -> server.Response:
        if not text.isdecimal():
            return make_json_response(400, {"error": f"the offset is not a number: {text!r}"})
        offset = int(text)
        new = self._events[offset:]
        resume = ("Resume-Offset", str(offset + len(new)))
        if not new:
            return server.Response(204, (resume,), b"")
        return make_json_response(200, {"events": new, "next": offset + len(new)}, resume)


class Announcer:
    """Announce an endpoint to its agent and withdraw it."""

    def __init__(self, agent: str, endpoint: str, announcement: Announcement) -> None:
        host, _, port = agent.rpartition(":")
        self._host = host
        self._port = int(port)
        self._target = f"/v1/endpoints/{endpoint}"
        self._announcement = announcement
        self._withdrawal_requested = curio.Event()
        self._client = http.HttpClient.from_config(http.HttpConfig(connections=1))

    async def run(self) -> None:
        """Repeat the announcement until ``withdraw`` is called."""
        was_accepted = False
        while not self._withdrawal_requested.is_set():
            accepted = await self._call("PUT", msgspec.json.encode(self._announcement))
            if accepted != was_accepted:
                logger.info("announcement accepted by the agent: {}", accepted)
                was_accepted = accepted
            await curio.ignore_after(ANNOUNCE_SECONDS, self._withdrawal_requested.wait)

    async def withdraw(self, announcing: curio.Task) -> None:
        """Withdraw the endpoint from the agent, with at most ``WITHDRAW_ATTEMPTS`` attempts.

        Waits first until an announcement in flight has ended, because the agent could otherwise
        process it after the withdrawal.
        """
        await self._withdrawal_requested.set()
        await announcing.join()
        for _ in range(WITHDRAW_ATTEMPTS):
            if await self._call("DELETE", b""):
                break
            await curio.sleep(WITHDRAW_RETRY_SECONDS)
        await self._client.close()

    async def _call(self, method: str, body: bytes) -> bool:
        headers = (("Content-Type", "application/json"),)
        request = effects.EndpointRequest(method, self._target, headers, body)
        try:
            response = await self._client.call(
                self._host, self._port, request, AGENT_TIMEOUT_SECONDS
            )
        except errors.PlatformError:
            return False
        return response.status < 300 or (method == "DELETE" and response.status == 404)


async def serve(
    announcer: Announcer, service: Service, announcement: Announcement, delay: float
) -> None:
    """Serve until SIGTERM or SIGINT, then withdraw, finish the requests in flight and return."""

    async def handle(request: server.Request) -> server.Response:
        if delay and request.target != "/audit":
            await curio.sleep(delay)
        return service.respond(request)

    stop = signals.StopSignal()
    listener = server.Server(announcement.host, announcement.port, handle)
    listener.listen()
    serving = await curio.spawn(listener.run)
    announcing = await curio.spawn(announcer.run)
    await stop.wait()
    await announcer.withdraw(announcing)
    await listener.drain()
    await serving.cancel()
    logger.info("stopped")


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--service", required=True, help="Name of the service.")
@click.option("--agent", required=True, help="HOST:PORT of the agent's HTTP server.")
@click.option("--id", "endpoint", default="", help="Endpoint id; SERVICE-PORT by default.")
@click.option("--schema-version", default=1, show_default=True)
@click.option("--slots", default=8, show_default=True)
@click.option("--connections", default=60, show_default=True)
@click.option("--delay-ms", default=0, show_default=True, help="Delay before each execution.")
def main(
    host: str,
    port: int,
    service: str,
    agent: str,
    endpoint: str,
    schema_version: int,
    slots: int,
    connections: int,
    delay_ms: int,
) -> None:
    """Serve an example service and announce it to the agent."""
    announcement = Announcement(service, schema_version, host, port, slots, connections)
    announcer = Announcer(agent, endpoint or f"{service}-{port}", announcement)
    curio.run(serve, announcer, Service(service), announcement, delay_ms / 1_000)


if __name__ == "__main__":
    main()
