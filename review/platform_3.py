"""Stand-ins of the users' store, workers and links for the scripts of this review.

They follow the users' pages and use the standard library only. All times are seconds on the
monotonic clock unless a name says otherwise.
"""

import asyncio
import base64
import contextlib
import json
import math
import random
import socket
import struct
import time
import urllib.parse

HEARTBEAT_SECONDS = 1.1
STORE_ANSWER_SECONDS = 0.004
STORE_TRANSACTION_SECONDS = 0.006
STORE_HISTORY_SECONDS = 20.0
STORE_PAGE_ROWS = 500
HOLD_MAX_MS = 6_000
STOP_SECONDS = 0.15
"""Time that a stop takes; ``stopTimeoutMs`` is 200."""
GANG_SECONDS = 3.0
MAX_LISTED_ENDS = 500
SILENCE_SECONDS = 60.0
LATE_CALLS = ("run-start", "run-stop")
LATE_SECONDS = (2.0, 12.0)
"""Delay of an order that gets no answer, as the bench's page of kinds gives it."""


class NoAnswerError(Exception):
    """The call gets no answer, and its connection delivers nothing further."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._path = path
        self._path.write_text("", encoding="utf-8")
        self._began_at = time.monotonic()

    @property
    def now(self):
        return time.monotonic() - self._began_at

    def add(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now:8.3f} {kind} {text}\n")


class Request:
    """A complete HTTP request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


class HttpServer:
    """HTTP/1.1 server; ``handle`` returns a status and a JSON value or None."""

    def __init__(self, host, port, handle):
        self._address = (host, port)
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, *self._address, reuse_address=True, limit=1 << 24
        )

    async def stop(self, is_reset=True):
        """Close the listening socket and all connections, as the end of the process does."""
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if is_reset and sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                status, content = await self._handle(request)
                body = b"" if content is None else json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except NoAnswerError:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(SILENCE_SECONDS)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


async def read_request(reader):
    """Read one request; None if the peer closed before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def call(host, port, method, target, content=None, headers=(), timeout=3.0):
    """Make one call on a connection of its own.

    Returns the status, 0 without an answer, and the decoded body.
    """
    try:
        return await asyncio.wait_for(
            _exchange(host, port, method, target, content, headers), timeout
        )
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, None


async def _exchange(host, port, method, target, content, headers):
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 24)
    try:
        body = b"" if content is None else json.dumps(content).encode()
        fields = {"Host": f"{host}:{port}", "Content-Length": len(body), **dict(headers)}
        if body:
            fields["Content-Type"] = "application/json"
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        lengths = [
            int(line.partition(":")[2])
            for line in head.split("\r\n")
            if line.lower().startswith("content-length:")
        ]
        payload = await reader.readexactly(lengths[0]) if lengths else b""
        return status, json.loads(payload) if payload else None
    finally:
        writer.close()


class Store:
    """The platform's store: versioned rows, transactions and a feed."""

    def __init__(self, host, port):
        self.address = (host, port)
        self._server = HttpServer(host, port, self._handle)
        self._rows = {}
        self._changes = []
        self._forgotten = 0
        self._version = 0
        self._changed = asyncio.Condition()
        self.is_down = False

    async def start(self):
        await self._server.start()

    async def stop(self):
        await self._server.stop()

    def get_value(self, table, key):
        """Return the value of a row, or None."""
        found = self._rows.get((table, "", key))
        return None if found is None else base64.b64decode(found[0])

    async def write(self, table, key, content):
        """Write a row as the operator does."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        await self._transact({"setKeys": [{"table": table, "key": key, "value": value}]})

    async def _handle(self, request):
        if self.is_down:
            return 503, None
        name = request.path.rsplit("/", 1)[-1]
        if name == "rows-tx":
            await asyncio.sleep(STORE_TRANSACTION_SECONDS)
            return await self._transact(json.loads(request.body))
        await asyncio.sleep(STORE_ANSWER_SECONDS)
        if name == "rows-get":
            return self._read(request.query)
        if name == "rows-feed":
            return await self._watch(request.query)
        return 404, None

    async def _transact(self, content):
        expected = content.get("expectRev", ())
        if any(self._rows.get(make_key(row), ("", 0))[1] != row.get("ver", 0) for row in expected):
            return 412, {"rows": [], **self._make_header()}
        self._version += 1
        for row in content.get("setKeys", ()):
            self._rows[make_key(row)] = (row["value"], self._version)
            self._changes.append((self._version, time.monotonic(), make_key(row), row["value"]))
        for row in content.get("remove", ()):
            if self._rows.pop(make_key(row), None) is not None:
                self._changes.append((self._version, time.monotonic(), make_key(row), None))
        self._forget(time.monotonic() - STORE_HISTORY_SECONDS)
        async with self._changed:
            self._changed.notify_all()
        return 200, self._make_header()

    def _forget(self, before):
        while self._changes and self._changes[0][1] < before:
            self._forgotten = self._changes.pop(0)[0]

    def _make_header(self):
        return {"ver": self._version, "nowMs": round(time.monotonic() * 1_000)}

    def _read(self, query):
        first, end = query.get("from", ""), query.get("to")
        wanted = (query["table"], query.get("part", ""))
        found = sorted(
            (key[2], value, version)
            for key, (value, version) in self._rows.items()
            if key[:2] == wanted and key[2] >= first and (end is None or key[2] < end)
        )
        limit = min(int(query.get("limit", STORE_PAGE_ROWS)), STORE_PAGE_ROWS)
        rows = [
            {"table": wanted[0], "part": wanted[1], "key": key, "value": value, "ver": version}
            for key, value, version in found[:limit]
        ]
        return 200, {"rows": rows, "morePages": len(found) > limit, **self._make_header()}

    async def _watch(self, query):
        table, after = query["table"], int(query["after"])
        if after < self._forgotten:
            return 410, None
        wait = min(int(query.get("waitMs", 0)), 30_000) / 1_000

        def list_changes():
            return [
                {
                    "table": key[0],
                    "part": key[1],
                    "key": key[2],
                    "ver": version,
                    **({"deleted": True} if value is None else {"value": value}),
                }
                for version, _, key, value in self._changes
                if version > after and key[0] == table
            ]

        async def wait_for_change():
            async with self._changed:
                await self._changed.wait_for(list_changes)

        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(wait_for_change(), max(wait, 0.001))
        return 200, {"rows": list_changes(), **self._make_header()}


def make_key(row):
    return row["table"], row.get("part", ""), row["key"]


class Board:
    """What the workers know together: the steps of jobs, and which members of gangs are present."""

    def __init__(self):
        self.steps = {}
        """Steps of the jobs that clients have sent, by id."""
        self._members = {}

    def find_step(self, task):
        """Return the step of a task; None if no client has sent it."""
        job, _, step, _ = task.split(".")
        steps = self.steps.get(job, ())
        return steps[int(step)] if int(step) < len(steps) else None

    def join(self, worker, run):
        """Add a member of a gang; the gang works from the moment when all are present."""
        members = self._members.setdefault(run.gang, {})
        members[run.task] = (worker, run)
        if len(members) == self.find_step(run.task)["taskCount"]:
            for _, member in members.values():
                member.work_began_at = time.monotonic()

    def leave(self, run, how):
        """Remove a member, and end the others with it."""
        members = self._members.pop(run.gang, {})
        for worker, member in members.values():
            if member is not run:
                worker.end_member(member, "done" if how == "done" else "broken")


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, spec, now, is_gang=False):
        self.task = task
        self.number = number
        self.gang = (*task.split(".")[:3], number) if is_gang else None
        self.plan = json.loads(spec)
        self.began_at = now
        self.work_began_at = math.inf if is_gang else now
        self.stop_at = math.inf
        self.percent = 100
        """Share at which the run works, as paced."""

    @property
    def seconds(self):
        return self.plan.get("seconds", 1.0)

    @property
    def how(self):
        return self.plan.get("how", "done")


class Worker:
    """A worker's address on a side machine, with one incarnation after the other.

    The spec of a job is JSON: ``seconds`` that a task works, ``lasts`` for one that has no end, and
    ``how`` for the end of a run, ``done`` without it.
    """

    def __init__(self, record, board, name, host, ports, service, zone, labels, capacity):
        self._record = record
        self._board = board
        self.name = name
        self._host = host
        self._app_port, self._control_port = ports
        self._service = service
        self._zone = zone
        self.labels = labels
        self.capacity = capacity
        self.enforces_capacity = True
        self.hold_max_ms = HOLD_MAX_MS
        self.late_share = 0.0
        """Share of the orders that get no answer and are executed late."""
        self.state = "ready"
        self._late_calls = set()
        self.starts = []
        self.ends = []
        self.stops = []
        self.noted = set()
        """Ends that were taken note of: worker's name, time and task."""
        self.born_count = 0
        self.is_up = False
        self._server = None
        self._tasks = []

    async def start(self, keeps_id=False):
        """Start a new incarnation, which holds and knows nothing."""
        if self._server is not None:
            await self._server.stop()
        self.born_count += 1
        if not keeps_id:
            self.worker_id = f"i-{self.name}-{self.born_count}"
        self._born_ms = round(time.time() * 1_000)
        self._born_at = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._running = {}
        self._ended = []
        self._end_number = 0
        self._end_keys = {}
        self._highest = {}
        self._sequence = 0
        self._changed = asyncio.Event()
        self.is_up = True
        self.state = "ready"
        self._server = HttpServer(self._host, self._app_port, self._handle)
        await self._server.start()
        self._record.add("worker-up", worker=self.worker_id)
        self._tasks = [
            asyncio.create_task(self._beat_forever()),
            asyncio.create_task(self._advance_forever()),
        ]

    async def crash(self, is_dark=False):
        """End without notice, with all that runs.

        A dark worker leaves its connections open and calls without an answer until it starts again.
        """
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        if not is_dark:
            await self._server.stop()
        running = ",".join(f"{task}#{run.number}" for task, run in self._running.items())
        self._record.add("worker-crash", worker=self.worker_id, running=running or "-")
        runs, self._running = list(self._running.values()), {}
        for run in runs:
            if run.gang:
                self._board.leave(run, "crashed")

    @property
    def running(self):
        return dict(self._running)

    @property
    def clock_ms(self):
        return round((time.monotonic() - self._born_at) * 1_000) + 1_000

    async def _beat_forever(self):
        while True:
            self._sequence += 1
            content = {
                "service": self._service,
                "addr": f"{self._host}:{self._app_port}",
                "zone": self._zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldLeftMs": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clockMs": self.clock_ms,
                "born": self._born_ms,
                "seq": self._sequence,
            }
            target = f"/crocusrudder/Workers.Heartbeat/{self.worker_id}"
            status, _ = await call(
                self._host, self._control_port, "POST", target, content, timeout=1.0
            )
            await asyncio.sleep(HEARTBEAT_SECONDS if 200 <= status < 300 else 0.3)

    async def _advance_forever(self):
        while True:
            await asyncio.sleep(0.01)
            self._advance()

    def _advance(self):
        now = time.monotonic()
        for task, run in list(self._running.items()):
            if self._running.get(task) is not run:
                # It has ended with another member of its gang.
                continue
            if self.clock_ms > self._lease_ms:
                self._end(task, run, "lapsed")
            elif now >= run.stop_at:
                self._end(task, run, "stopped")
            elif run.gang and run.work_began_at == math.inf:
                if now - run.began_at >= GANG_SECONDS:
                    self._end(task, run, "alone")
            elif not run.plan.get("lasts") and now - run.work_began_at >= run.seconds:
                self._end(task, run, run.how)

    def _end(self, task, run, how):
        del self._running[task]
        self._highest[task] = max(self._highest.get(task, 0), run.number)
        self._end_number += 1
        self._ended.append([self._end_number, task, run.number, how, ""])
        self.ends.append((time.monotonic(), task, run.number, how))
        self._end_keys[self._end_number] = (self.name, self.ends[-1][0], task)
        self._record.add("end", worker=self.worker_id, task=task, run=run.number, how=how)
        self._changed.set()
        if run.gang:
            self._board.leave(run, how)

    def end_member(self, run, how):
        """End a member of a gang of which another has ended."""
        if self._running.get(run.task) is run:
            self._end(run.task, run, how)

    def _respond(self, status, **fields):
        return status, {"clockMs": self.clock_ms, **fields}

    async def _handle(self, request):
        if not self.is_up:
            raise NoAnswerError
        expected = request.headers.get("x-crocusrudder-expect-worker")
        if expected and expected != self.worker_id:
            return 421, None
        name, content = request.path.rsplit("/", 1)[-1], json.loads(request.body)
        if name in LATE_CALLS and random.random() < self.late_share:
            delay = random.uniform(*LATE_SECONDS)
            late = asyncio.create_task(self._execute_late(self.worker_id, name, content, delay))
            self._late_calls.add(late)
            late.add_done_callback(self._late_calls.discard)
            raise NoAnswerError
        return await self.execute(name, content)

    async def _execute_late(self, worker_id, name, content, delay):
        await asyncio.sleep(delay)
        if self.is_up and worker_id == self.worker_id:
            status, _ = await self.execute(name, content)
            fields = {"task": content["task"], "run": content["runId"], "status": status}
            self._record.add("executed-late", worker=worker_id, call=name, **fields)

    async def execute(self, name, content):
        """Execute a call and return the answer."""
        fence = content.get("fenceToken", 0)
        if fence < self._fence:
            return self._respond(409, reason="fence")
        self._fence = fence
        if "expiresMs" in content:
            limit = self.clock_ms + self.hold_max_ms
            self._lease_ms = max(self._lease_ms, min(content["expiresMs"], limit))
        if name == "run-start":
            return self._start_run(content)
        if name == "run-stop":
            return self._stop_run(content["task"], content["runId"])
        if name == "pace":
            return self._pace(content["task"], content["runId"], content["percent"])
        if name == "hold":
            return await self._hold(content)
        return 404, None

    def _start_run(self, content):
        task, number = content["task"], content["runId"]
        known = self._running.get(task)
        if known is not None and known.number == number:
            return self._respond(200)
        if known is not None or number <= self._highest.get(task, 0):
            return self._respond(409, reason="old")
        if content["expiresMs"] <= self.clock_ms:
            return self._respond(409, reason="late")
        if self.enforces_capacity and not self._has_room(task):
            return self._respond(409, reason="room")
        step = self._board.find_step(task) or {}
        run = Run(task, number, content["spec"], time.monotonic(), step.get("gang", False))
        self._running[task] = run
        self.starts.append((time.monotonic(), task, number, content["fenceToken"]))
        self._record.add(
            "start", worker=self.worker_id, task=task, run=number, fence=content["fenceToken"]
        )
        if run.gang:
            self._board.join(self, run)
        return self._respond(200)

    def _has_room(self, task):
        steps = [self._board.find_step(name) or {} for name in (*self._running, task)]
        return all(
            sum(step.get(name, 0) for step in steps if name != "cpu" or not step.get("fills"))
            <= self.capacity.get(name, 0)
            for name in ("cpu", "memMb", "gpu")
        )

    def _stop_run(self, task, number):
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get(task)
        is_running = run is not None and run.number <= number
        if is_running:
            run.stop_at = min(run.stop_at, time.monotonic() + STOP_SECONDS)
        self.stops.append((time.monotonic(), task, number, is_running))
        self._record.add("stop", worker=self.worker_id, task=task, run=number)
        return self._respond(200)

    def _pace(self, task, number, percent):
        run = self._running.get(task)
        if run is not None and run.number == number:
            run.percent = percent
            self._record.add("pace", worker=self.worker_id, task=task, run=number, percent=percent)
        return self._respond(200)

    def _measure(self, run):
        """Return the tail latency of a task that serves, else the processor time in use."""
        if "base_ms" not in run.plan:
            return 1_000
        shares = [r.percent / 100 for r in self._running.values() if r.plan.get("disturbs")]
        return round(run.plan["base_ms"] + run.plan["disturbed_ms"] * sum(shares))

    async def _hold(self, content):
        seen = content.get("lastSeen", 0)
        self.noted.update(self._end_keys[entry[0]] for entry in self._ended if entry[0] <= seen)
        self._ended = [entry for entry in self._ended if entry[0] > seen]
        wait = min(content.get("waitMs", 0), 2_000) / 1_000
        if wait and not self._ended:
            self._changed.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait)
        now = time.monotonic()
        running = [
            [task, run.number, "", self._get_percent(run, now), self._measure(run)]
            for task, run in self._running.items()
        ]
        lists = {"running": running, "ended": self._ended[:MAX_LISTED_ENDS]}
        return self._respond(200, born=self._born_ms, **lists)

    def _get_percent(self, run, now):
        elapsed = max(now - run.work_began_at, 0.0)
        if run.plan.get("lasts"):
            return 100 if elapsed > 0.3 else 0
        return min(round(100 * elapsed / max(run.seconds, 0.001)), 100)
