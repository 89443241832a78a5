"""Callers of the demo, which place orders and look up stock through the reachable entries."""

import itertools
import json

import curio

from crocusrudder.core import effects
from crocusrudder.platform import errors
from tools.demo import deployment as deployments
from tools.demo import outcomes

TEAM = "funeral-homes"
ORDER_KIND = "tray-order"
LOOKUP_KIND = "stock-lookup"
REPEAT_SECONDS = 0.5
MAX_REPEATS = 4
RESPONSE_MARGIN_SECONDS = 5.0
ORDER_INTERVAL_SECONDS = 0.05


class Callers:
    """Send requests through the entries in turn, as a load balancer does."""

    def __init__(self, deployment: deployments.Deployment, report: outcomes.Report) -> None:
        self._deployment = deployment
        self._report = report
        self._entries = itertools.cycle(deployment.layout.entries)
        self._numbers = itertools.count(1)
        self._stopping = False

    @property
    def report(self) -> outcomes.Report:
        return self._report

    def stop(self) -> None:
        """Let ``place_orders`` end without further orders."""
        self._stopping = True

    async def place_orders(self) -> None:
        """Place an order every ``ORDER_INTERVAL_SECONDS`` until ``stop`` is called."""
        async with curio.TaskGroup() as group:
            while not self._stopping:
                await group.spawn(self.place_order(f"order-{next(self._numbers)}"))
                await curio.sleep(ORDER_INTERVAL_SECONDS)

    async def place_order(self, key: str) -> outcomes.Outcome:
        """Place an order, and repeat it under its key until the outcome is known.

        Makes at most ``MAX_REPEATS`` attempts and records the last outcome.
        """
        outcome = outcomes.Outcome.NO_ANSWER
        for repeat in range(MAX_REPEATS):
            outcome = await self._send_order(key, repeat > 0)
            if outcome in (outcomes.Outcome.DONE, outcomes.Outcome.NOT_RUN):
                break
            await curio.sleep(REPEAT_SECONDS)
        self._report.outcomes[key] = outcome
        return outcome

    async def look_up(self, item: str) -> outcomes.Outcome:
        """Look up the stock of an item."""
        response = await self._send("GET", f"/v1/services/dispatch/{LOOKUP_KIND}/{item}", ())
        return outcomes.read_outcome(response.headers) if response else outcomes.Outcome.NO_ANSWER

    async def hold_trays(self, offset: str) -> str:
        """Send a standing request from an offset and return the offset to resume at.

        The result is an empty string if there was no complete response.
        """
        headers = (("Standing-Request", offset),)
        target = f"/v1/services/dispatch/{LOOKUP_KIND}/hold"
        response = await self._send("GET", target, headers, timeout_seconds=10.0)
        if response is None or outcomes.read_outcome(response.headers) is not outcomes.Outcome.DONE:
            return ""
        return {name.lower(): value for name, value in response.headers}.get("resume-offset", "")

    async def _send_order(self, key: str, is_repeat: bool) -> outcomes.Outcome:
        headers = [("Idempotency-Key", key)]
        if is_repeat:
            headers.append(("Request-Repeat", "true"))
        body = json.dumps({"trays": 12, "order": key}).encode()
        target = f"/v1/services/dispatch/{ORDER_KIND}"
        response = await self._send("POST", target, tuple(headers), body)
        if response is None:
            return outcomes.Outcome.NO_ANSWER
        outcome = outcomes.read_outcome(response.headers)
        self._report.record_code(response.headers)
        if outcome is outcomes.Outcome.DONE:
            self._check_response(key, response.body)
        return outcome

    def _check_response(self, key: str, body: bytes) -> None:
        content = json.loads(body)
        self._report.check(
            key in json.dumps(content), f"order {key} got the response to another order: {content}"
        )

    async def _send(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes = b"",
        timeout_seconds: float = 3.0,
    ) -> effects.EndpointResponse | None:
        """Return the response of the first reachable entry.

        Returns None if the response was lost or no entry was reachable.
        """
        headers = (("Team", TEAM), ("Request-Timeout", str(timeout_seconds)), *headers)
        for _ in self._deployment.layout.entries:
            port = next(self._entries).http_port
            try:
                return await self._deployment.call(
                    method, port, target, headers, body, timeout_seconds + RESPONSE_MARGIN_SECONDS
                )
            except errors.NotExecutedError:
                continue
            except errors.PlatformError:
                return None
        return None
