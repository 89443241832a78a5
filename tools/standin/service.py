"""HTTP interface of the stand-in platform.

It serves the table service, the object store, the worker runtime and the fault switches.

| request | body | response |
|---|---|---|
| ``POST /table/commit`` | writes, checks | 200 ``{"versions"}``, 409 ``{"rows"}`` |
| ``POST /table/read`` | keys | 200 ``{"rows"}`` |
| ``POST /table/scan`` | prefix | 200 ``{"rows"}`` |
| ``PUT /objects/<key>`` | bytes | 204 |
| ``GET /objects/<key>`` | | 200 bytes, 404 |
| ``GET /object-keys?prefix=`` | | 200 ``{"keys"}`` |
| ``POST /runtime/<worker>/call`` | a tagged call of ``runtime_calls`` | 200 a tagged answer |
| ``GET /runtime/<worker>`` | | 200 the answer to ``ListRuns`` |
| ``PUT /runtime/<worker>`` | ``WorkerSettings`` | 200 |
| ``PUT /faults`` | ``Faults``; switches left out are off | 200 ``Faults`` |
| ``GET /faults``, ``/stats``, ``/audit``, ``/health`` | | 200 |

A service that is switched off responds with 503 and ``Request-Processed: no``.
"""

import time
import urllib.parse

import curio
import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.platform import runtime_calls
from crocusrudder.wire import messages
from tools.standin import objects
from tools.standin import runs
from tools.standin import runtime
from tools.standin import server
from tools.standin import table

_NO_OPERATION = ids.OperationId("")
_DECODE_CALL = msgspec.json.Decoder(runtime_calls.RuntimeCall).decode


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The fault switches, all off by default."""

    store_down: bool = False
    """The table service refuses every operation with 503, without processing it."""
    store_drop: bool = False
    """The table service closes the connection without processing the operation."""
    store_slow_ms: int = 0
    """Delay of the table service before it processes an operation."""
    lose_answers: int = 0
    """Number of the next successful commits that get no response: the connection is closed."""
    objects_down: bool = False
    """The object store refuses every operation with 503, so that runs cannot checkpoint."""
    objects_slow_ms: int = 0
    """Delay of the object store before it processes an operation."""
    failing_workers: tuple[ids.WorkerId, ...] = ()
    """Workers on which every started run fails at once."""
    lost_workers: tuple[ids.WorkerId, ...] = ()
    """Workers that lose all runs, and whose runtime closes connections without a response."""


class WorkerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``PUT /runtime/<worker>``."""

    capacity: tuple[int, int, int]
    """Millicores, memory in MB, accelerators."""
    usage_lag_seconds: float = runtime.USAGE_LAG_SECONDS


class CommitBody(msgspec.Struct):
    """Body of ``POST /table/commit``."""

    writes: tuple[effects.RowWrite, ...]
    checks: tuple[effects.RowCheck, ...] = ()


class ReadBody(msgspec.Struct):
    """Body of ``POST /table/read``."""

    keys: tuple[str, ...]


class ScanBody(msgspec.Struct):
    """Body of ``POST /table/scan``."""

    prefix: str


def make_json_response(status: int, content: object) -> server.Response:
    headers = (("Content-Type", "application/json"),)
    return server.Response(status, headers, msgspec.json.encode(content))


def make_error_response(status: int, text: str) -> server.Response:
    """Return a JSON response with an error text."""
    return make_json_response(status, {"error": text})


class Platform:
    """The state of the stand-in and its HTTP interface."""

    def __init__(self, capacity: messages.Resources = runtime.DEFAULT_CAPACITY) -> None:
        self._table = table.Table()
        self._objects = objects.ObjectStore()
        self._runtime = runtime.Runtime(self._objects, capacity)
        self._faults = Faults()
        self._requests = 0
        self._refused = 0
        self._lost_answers = 0

    @property
    def table(self) -> table.Table:
        return self._table

    @property
    def audit(self) -> runs.Audit:
        return self._runtime.audit

    @property
    def faults(self) -> Faults:
        return self._faults

    async def handle(self, request: server.Request) -> server.Response | None:
        """Return the response to a request, or None to close the connection."""
        self._requests += 1
        path, _, query = request.target.partition("?")
        segments = [urllib.parse.unquote(part) for part in path.split("/")[1:]]
        try:
            return await self._route(request, segments, query)
        except (msgspec.MsgspecError, ValueError) as error:
            return make_error_response(400, str(error))

    def set_faults(self, faults: Faults) -> None:
        """Replace all fault switches."""
        self._faults = faults
        self._objects.is_down = faults.objects_down
        for worker in (*faults.failing_workers, *faults.lost_workers):
            self._runtime.get_worker(worker)
        for worker, state in self._runtime.workers.items():
            state.is_failing = worker in faults.failing_workers
            if worker in faults.lost_workers:
                state.drop_runs(time.monotonic())

    def get_stats(self) -> dict[str, int]:
        """Return the counters of the table, the object store and the HTTP interface."""
        stats = msgspec.to_builtins(self._table.stats)
        stats |= msgspec.to_builtins(self._objects.stats)
        own_stats = {
            "requests": self._requests,
            "refused": self._refused,
            "lost_answers": self._lost_answers,
        }
        return stats | own_stats

    async def _route(
        self, request: server.Request, segments: list[str], query: str
    ) -> server.Response | None:
        match request.method, segments:
            case "POST", ["table", operation]:
                return await self._serve_table(operation, request.body)
            case _, ["objects", *_]:
                return await self._serve_objects(request, "/".join(segments[1:]))
            case "GET", ["object-keys"]:
                prefix = dict(urllib.parse.parse_qsl(query)).get("prefix", "")
                return make_json_response(200, {"keys": self._objects.list_keys(prefix)})
            case _, ["runtime", worker, *rest]:
                return await self._serve_runtime(request, ids.WorkerId(worker), rest)
            case _, ["faults"]:
                return self._serve_faults(request)
            case "GET", ["stats"]:
                return make_json_response(200, self.get_stats())
            case "GET", ["audit"]:
                return make_json_response(200, self._runtime.audit)
            case "GET", ["health"]:
                return make_json_response(200, {})
        return make_error_response(404, "no such path")

    async def _serve_table(self, operation: str, body: bytes) -> server.Response | None:
        if self._faults.store_slow_ms:
            await curio.sleep(self._faults.store_slow_ms / 1_000)
        if self._faults.store_drop:
            return None
        if self._faults.store_down:
            return self._refuse("the table service is down")
        match operation:
            case "commit":
                return self._commit(msgspec.json.decode(body, type=CommitBody))
            case "read":
                content = msgspec.json.decode(body, type=ReadBody)
                return make_json_response(200, {"rows": self._table.read(content.keys)})
            case "scan":
                content = msgspec.json.decode(body, type=ScanBody)
                return make_json_response(200, {"rows": self._table.scan(content.prefix)})
        return make_error_response(404, "no such operation")

    def _commit(self, body: CommitBody) -> server.Response | None:
        effect = effects.Commit(_NO_OPERATION, body.writes, body.checks)
        answer = self._table.perform(effect)
        if isinstance(answer, events.CommitConflicted):
            return make_json_response(409, {"rows": answer.rows})
        if self._faults.lose_answers:
            self._faults.lose_answers -= 1
            self._lost_answers += 1
            return None
        return make_json_response(200, {"versions": answer.versions})

    async def _serve_objects(self, request: server.Request, key: str) -> server.Response:
        if self._faults.objects_slow_ms:
            await curio.sleep(self._faults.objects_slow_ms / 1_000)
        try:
            return self._perform_object_request(request, key)
        except objects.ObjectsDownError:
            return self._refuse("the object store is down")

    def _perform_object_request(self, request: server.Request, key: str) -> server.Response:
        if request.method == "PUT" and key:
            self._objects.put(key, request.body)
            return server.Response(204, (), b"")
        if request.method != "GET":
            return make_error_response(405, "no such method")
        data = self._objects.get(key)
        if data is None:
            return make_error_response(404, "no such object")
        return server.Response(200, (("Content-Type", "application/octet-stream"),), data)

    async def _serve_runtime(
        self, request: server.Request, worker: ids.WorkerId, rest: list[str]
    ) -> server.Response | None:
        if worker in self._faults.lost_workers:
            return None
        match request.method, rest:
            case "POST", ["call"]:
                call = _DECODE_CALL(request.body)
                return make_json_response(200, await self._runtime.call(worker, call))
            case "GET", []:
                return make_json_response(
                    200, await self._runtime.call(worker, runtime_calls.ListRuns())
                )
            case "PUT", []:
                return self._set_worker(worker, request.body)
        return make_error_response(404, "no such path")

    def _set_worker(self, worker: ids.WorkerId, body: bytes) -> server.Response:
        settings = msgspec.json.decode(body, type=WorkerSettings)
        target = self._runtime.get_worker(worker)
        target.capacity = messages.Resources(*settings.capacity)
        target.usage_lag_seconds = settings.usage_lag_seconds
        return make_json_response(200, settings)

    def _serve_faults(self, request: server.Request) -> server.Response:
        if request.method == "PUT":
            self.set_faults(msgspec.json.decode(request.body, type=Faults))
        return make_json_response(200, self._faults)

    def _refuse(self, text: str) -> server.Response:
        self._refused += 1
        refusal = make_error_response(503, text)
        headers = (*refusal.headers, ("Request-Processed", "no"))
        return server.Response(refusal.status, headers, refusal.body)
