"""Stand-in of one of the users' workers.

It implements leases, fencing and run numbers, and reports ended runs until they are acknowledged.
"""

import random
import time

import curio
import msgspec

from crocusrudder.core import effects
from crocusrudder.hosting import http_messages
from crocusrudder.platform import errors
from crocusrudder.platform import http

HEARTBEAT_SECONDS = 0.5
POLL_SECONDS = 0.02
MAX_LEASE_MS = 6_000
MAX_LISTED_ENDS = 500
"""Ends in one list; the others follow once these have been acknowledged."""
MAX_CLOCK_OFFSET_MS = 10_000_000
MAX_WAIT_MS = 2_000
STOP_SECONDS = 0.15
"""Time that a stop takes; ``stopTimeoutMs`` of the users' pages is 0.2 s."""
DEADLY_SPEC = "deadly"
"""Spec of the tasks that crash each worker that starts them."""
LASTING_SPEC = "lasting"
"""Spec of the tasks that run ``LASTING_FACTOR`` times as long as others."""
LASTING_FACTOR = 40.0
FULL_MILLICORES = 8_000
CAPACITY_GRACE_SECONDS = 3.0 + HEARTBEAT_SECONDS
"""Time after which a smaller capacity counts: ``contactMs`` of the users' pages and a heartbeat."""

RunKey = tuple[str, int]


class UsersWorker:
    """One incarnation of a worker on the same host as its agent."""

    def __init__(
        self,
        name: str,
        service: str,
        agent_port: int,
        run_seconds: float,
        data_centre: str = "bilbao",
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._service = service
        self._agent_port = agent_port
        self._run_seconds = run_seconds
        self._slowdown = 1.0
        self._born_at = time.monotonic()
        self._born_ms = round(time.time() * 1_000)
        self._clock_offset_ms = 0
        self._max_lease_ms = MAX_LEASE_MS
        self._fence_token = 0
        self._lease_expires_ms = 0
        self._running: dict[RunKey, float] = {}
        self._stopping: dict[RunKey, float] = {}
        self._ended: list[list] = []
        self._last_end_number = 0
        self._highest_run_numbers: dict[str, int] = {}
        self._odd_entries: dict[str, bytes] = {}
        self._has_odd_percents = False
        self._sequence = 0
        self._capacities = [(self._born_at, FULL_MILLICORES)]
        self.crashing = curio.Event()
        self.started_runs: list[RunKey] = []
        self.history: dict[RunKey, dict] = {}
        """Start, end and outcome of each run, in seconds on a clock that all processes share."""

    @property
    def name(self) -> str:
        return self._name

    @property
    def clock_ms(self) -> int:
        """Return the milliseconds since the worker was created, and the offset of its clock."""
        return round((time.monotonic() - self._born_at) * 1_000) + self._clock_offset_ms

    def use_own_clock(self, max_lease_ms: int) -> None:
        """Use a clock that no other incarnation has, and allow leases of a length."""
        self._clock_offset_ms = random.Random(self._born_ms).randrange(MAX_CLOCK_OFFSET_MS)
        self._max_lease_ms = max_lease_ms

    def set_capacity(self, millicores: int) -> None:
        """Change the capacity that the next heartbeats report."""
        self._capacities.append((time.monotonic(), millicores))

    def set_slowdown(self, factor: float) -> None:
        """Let runs that start from now on take ``factor`` times as long as those of a new worker.

        Runs that have started keep their duration.
        """
        self._slowdown = factor

    def set_odd_entry(self, field: str, entry: bytes) -> None:
        """Add an entry to a list of runs; an empty one removes it."""
        self._odd_entries[field] = entry

    def set_odd_percents(self, is_odd: bool) -> None:
        """List all runs with a negative percent."""
        self._has_odd_percents = is_odd

    def make_heartbeat(self) -> dict:
        """Return the content of the latest heartbeat."""
        return {
            "service": self._service,
            "zone": self._data_centre,
            "state": "ready",
            "seq": self._sequence,
            "born": self._born_ms,
            "capacity": {"cpu": self._capacities[-1][1], "memMb": 32_000, "gpu": 0},
            "labels": ["a", "r1"],
        }

    def end_all(self, how: str) -> None:
        """End all runs."""
        for run in list(self._running):
            self._end(run, how)

    async def handle(self, request: http_messages.Request) -> http_messages.Response:
        """Return the response to a call of the agent."""
        expected = request.get_header("x-crocusrudder-expect-worker")
        if expected and expected != self._name:
            return http_messages.Response(421)
        content = msgspec.json.decode(request.body)
        if not all(isinstance(content.get(name, 0), int) for name in ("expiresMs", "waitMs")):
            return self._respond(400)
        if content.get("fenceToken", 0) < self._fence_token:
            return self._respond(409, reason="fence")
        self._fence_token = content.get("fenceToken", 0)
        limit = self.clock_ms + self._max_lease_ms
        self._lease_expires_ms = max(
            self._lease_expires_ms, min(content.get("expiresMs", 0), limit)
        )
        match request.path[-1]:
            case "run-start":
                response = self._start(content)
                if content.get("spec") == DEADLY_SPEC and response.status == 200:
                    await self.crashing.set()
                return response
            case "run-stop":
                self._stop((content["task"], content["runId"]))
                return self._respond(200)
            case "pace":
                return self._respond(200)
            case "hold":
                return await self._poll_runs(content)
        return http_messages.Response(404)

    async def run(self) -> None:
        """Advance the runs and send heartbeats until cancelled."""
        client = http.HttpClient.from_config(http.HttpConfig(2))
        next_heartbeat_at = 0.0
        while True:
            self._advance()
            if time.monotonic() >= next_heartbeat_at:
                next_heartbeat_at = time.monotonic() + HEARTBEAT_SECONDS
                self._sequence += 1
                await self._send_heartbeat(client)
            await curio.sleep(POLL_SECONDS)

    async def _send_heartbeat(self, client: http.HttpClient) -> None:
        target = f"/crocusrudder/Workers.Heartbeat/{self._name}"
        body = msgspec.json.encode(self.make_heartbeat())
        request = effects.EndpointRequest("POST", target, http.JSON_HEADERS, body)
        try:
            await client.call("127.0.0.1", self._agent_port, request, 1.0)
        except errors.PlatformError:
            # The agent is unreachable; the next heartbeat follows in any case.
            return

    def _start(self, content: dict) -> http_messages.Response:
        run = (content["task"], content["runId"])
        if run in self._running:
            return self._respond(200)
        if run[1] <= self._highest_run_numbers.get(run[0], 0):
            return self._respond(409, reason="old")
        if content["expiresMs"] <= self.clock_ms:
            return self._respond(409, reason="late")
        self._highest_run_numbers[run[0]] = run[1]
        factor = LASTING_FACTOR if content["spec"] == LASTING_SPEC else 1.0
        self._running[run] = time.monotonic() + self._run_seconds * self._slowdown * factor
        self.started_runs.append(run)
        self.history[run] = {
            "task": run[0],
            "run": run[1],
            "worker": self._name,
            "data_centre": self._data_centre,
            "running": len(self._running),
            "capacity": self._get_binding_capacity(),
            "begin": time.monotonic(),
            "end": None,
            "how": "",
        }
        return self._respond(200)

    def _get_binding_capacity(self) -> int:
        """Return the greatest capacity that a start may still rely on, in millicores."""
        limit = time.monotonic() - CAPACITY_GRACE_SECONDS
        while len(self._capacities) > 1 and self._capacities[1][0] <= limit:
            del self._capacities[0]
        return max(millicores for _, millicores in self._capacities)

    def _stop(self, run: RunKey) -> None:
        self._highest_run_numbers[run[0]] = max(self._highest_run_numbers.get(run[0], 0), run[1])
        if run in self._running:
            self._stopping.setdefault(run, time.monotonic() + STOP_SECONDS)

    async def _poll_runs(self, content: dict) -> http_messages.Response:
        last_seen = content.get("lastSeen", 0)
        self._ended = [entry for entry in self._ended if entry[0] > last_seen]
        deadline = time.monotonic() + min(content.get("waitMs", 0), MAX_WAIT_MS) / 1_000
        known_number = self._last_end_number
        while time.monotonic() < deadline and self._last_end_number == known_number:
            await curio.sleep(POLL_SECONDS)
        running = [
            [task, run, "", self._get_percent((task, run)), 1_000] for task, run in self._running
        ]
        lists = {"running": running, "ended": self._ended[:MAX_LISTED_ENDS]}
        odd = {field: [msgspec.Raw(entry)] for field, entry in self._odd_entries.items() if entry}
        content = {field: odd.get(field, []) + entries for field, entries in lists.items()}
        return self._respond(200, **content)

    def _advance(self) -> None:
        now = time.monotonic()
        for run, ends_at in list(self._running.items()):
            if self.clock_ms > self._lease_expires_ms:
                self._end(run, "lapsed")
            elif self._stopping.get(run, now) < now:
                self._end(run, "stopped")
            elif now >= ends_at:
                self._end(run, "done")

    def _get_percent(self, run: RunKey) -> int:
        if self._has_odd_percents:
            return -1
        begun_at, ends_at = self.history[run]["begin"], self._running[run]
        left = max(ends_at - time.monotonic(), 0.0)
        return max(round(100 * (1 - left / (ends_at - begun_at))), 0)

    def _end(self, run: RunKey, how: str) -> None:
        del self._running[run]
        self._stopping.pop(run, None)
        self.history[run] |= {"end": time.monotonic(), "how": how}
        self._last_end_number += 1
        self._ended.append([self._last_end_number, *run, how, ""])

    def _respond(self, status: int, **fields: object) -> http_messages.Response:
        content = {"clockMs": self.clock_ms, "born": self._born_ms, **fields}
        return http_messages.make_json_response(status, content)
