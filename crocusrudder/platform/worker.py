"""Client of the worker on the machine of the agent: starts, stops, throttles and lists runs."""

from collections.abc import Iterator
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.observability import logs
from crocusrudder.platform import errors
from crocusrudder.platform import http
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import model

CALL_TIMEOUT_SECONDS = 1.0
"""A call to a healthy worker takes 2 ms."""
CONNECTIONS = 30
"""Covers all calls that an agent makes at once, so that none waits for a connection."""

_EXPECTED_WORKER_HEADER = "X-Crocusrudder-Expect-Worker"
_STATUS_OK = 200
_STATUS_CONFLICT = 409
_STATUS_OTHER_WORKER = 421
_NOT_EXECUTED_STATUSES = (429, 503)

_REJECT_REASONS = {
    "fence": model.RejectReason.STALE_OWNER,
    "old": model.RejectReason.STALE_RUN,
    "late": model.RejectReason.LEASE_EXPIRED,
    "room": model.RejectReason.NO_CAPACITY,
    "ticket": model.RejectReason.NO_TICKET,
}


_Count = Annotated[int, msgspec.Meta(ge=0, le=messages.MAX_INTEGER)]


class _WireResponse(msgspec.Struct):
    clock_ms: _Count = msgspec.field(default=0, name="clockMs")
    reason: str = ""
    running: list[Any] = []
    ended: list[Any] = []
    born: _Count = 0


class _WireRunning(msgspec.Struct, array_like=True):
    task: str
    run: _Count
    saved: str | None
    percent: Annotated[float, msgspec.Meta(ge=0, le=messages.MAX_INTEGER)]
    measure: float = -1.0


class _WireEnded(msgspec.Struct, array_like=True):
    number: _Count
    task: str
    run: _Count
    how: model.EndKind
    saved: str | None


_Entry = TypeVar("_Entry", _WireRunning, _WireEnded)


class RunList(msgspec.Struct, frozen=True):
    """Running tasks and unacknowledged ends of a worker; ``clock_ms`` is the worker's clock."""

    clock_ms: int
    running: tuple[workflow_messages.RunningTask, ...]
    ended: tuple[workflow_messages.EndedRun, ...]


class StartResponse(msgspec.Struct, frozen=True):
    """Response to a start; ``rejected`` is None if the run was started or already exists."""

    clock_ms: int
    rejected: model.RejectReason | None = None


class WorkerClient:
    """Call one worker; ``worker`` names the incarnation that a call is meant for.

    Calls raise ``NotExecutedError`` if the worker did nothing, ``UnknownOutcomeError`` if it may
    have executed the call or may still do so, and ``WrongWorkerError`` if another incarnation
    responds.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._http = http.HttpClient.from_config(http.HttpConfig(CONNECTIONS))

    async def start(
        self, worker: str, order: workflow_messages.StartOrder, epoch: int, lease_until_ms: int
    ) -> StartResponse:
        """Start a run and extend the lease of the worker to ``lease_until_ms`` on its clock."""
        content: dict[str, Any] = {
            "task": order.task,
            "runId": order.run,
            "spec": order.spec,
            "expiresMs": lease_until_ms,
            "fenceToken": epoch,
        }
        content |= {"saved": order.checkpoint} if order.checkpoint else {}
        content |= {"ticket": order.ticket} if order.ticket else {}
        status, response = await self._call("run-start", worker, content)
        if status == _STATUS_OK:
            return StartResponse(response.clock_ms)
        if status == _STATUS_CONFLICT:
            reason = _REJECT_REASONS.get(response.reason, model.RejectReason.MALFORMED)
            return StartResponse(response.clock_ms, reason)
        if status in _NOT_EXECUTED_STATUSES:
            return StartResponse(response.clock_ms, model.RejectReason.UNHEALTHY)
        return StartResponse(response.clock_ms, model.RejectReason.MALFORMED)

    async def stop(self, worker: str, task: str, run: int, epoch: int) -> bool:
        """Stop a run, or block its later start; return whether the worker accepted the call."""
        content = {"task": task, "runId": run, "fenceToken": epoch}
        status, _ = await self._call("run-stop", worker, content)
        return status == _STATUS_OK

    async def set_cpu_share(
        self, worker: str, task: str, run: int, percent: int, epoch: int
    ) -> bool:
        """Set the CPU share of a run in percent; return whether the worker accepted the call."""
        content = {"task": task, "runId": run, "percent": percent, "fenceToken": epoch}
        status, _ = await self._call("pace", worker, content)
        return status == _STATUS_OK

    async def poll_runs(
        self,
        incarnation: tuple[ids.WorkerId, int],
        epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> RunList | None:
        """Extend the lease, acknowledge ended runs and return the list; None if the epoch is stale.

        The worker responds after ``wait_seconds`` or as soon as another run ends. ``incarnation``
        is the worker's id and time of birth. The worker itself checks the id only, which a
        restarted worker may keep.
        """
        worker, born_ms = incarnation
        content: dict[str, Any] = {"fenceToken": epoch, "lastSeen": acknowledged}
        content |= {"expiresMs": lease_until_ms} if lease_until_ms is not None else {}
        content |= {"waitMs": round(wait_seconds * 1_000)} if wait_seconds else {}
        status, response = await self._call("hold", worker, content, wait_seconds)
        if born_ms and response.born and response.born != born_ms:
            raise errors.WrongWorkerError(f"{worker} has restarted")
        if status == _STATUS_CONFLICT:
            return None
        if status != _STATUS_OK:
            raise errors.NotExecutedError(f"the worker responded with status {status}")
        return RunList(response.clock_ms, _convert_running(response), _convert_ended(response))

    async def _call(
        self, name: str, worker: str, content: dict[str, Any], wait_seconds: float = 0.0
    ) -> tuple[int, _WireResponse]:
        headers = (*http.JSON_HEADERS, (_EXPECTED_WORKER_HEADER, worker))
        body = msgspec.json.encode(content)
        request = effects.EndpointRequest("POST", f"/crocusrudder/{name}", headers, body)
        timeout = CALL_TIMEOUT_SECONDS + wait_seconds
        response = await self._http.call(self._host, self._port, request, timeout)
        if response.status == _STATUS_OTHER_WORKER:
            raise errors.WrongWorkerError(f"another incarnation responded instead of {worker}")
        if not response.body:
            return response.status, _WireResponse()
        try:
            return response.status, msgspec.json.decode(response.body, type=_WireResponse)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise errors.UnknownOutcomeError(
                f"cannot decode the response of the worker: {error}"
            ) from error


def _convert_running(response: _WireResponse) -> tuple[workflow_messages.RunningTask, ...]:
    return tuple(
        workflow_messages.RunningTask(
            row.task, row.run, row.saved or "", round(row.percent), row.measure
        )
        for row in _convert_entries(response.running, _WireRunning)
    )


def _convert_ended(response: _WireResponse) -> tuple[workflow_messages.EndedRun, ...]:
    return tuple(
        workflow_messages.EndedRun(row.number, row.task, row.run, row.how.value, row.saved or "")
        for row in _convert_entries(response.ended, _WireEnded)
    )


def _convert_entries(entries: list[Any], type_: type[_Entry]) -> Iterator[_Entry]:
    """Yield the valid entries of a list; a run whose entry is left out counts as absent."""
    for entry in entries:
        try:
            yield msgspec.convert(entry, type_)
        except msgspec.MsgspecError as error:
            fields = {"code": errors.MalformedInputError.code, "error": str(error)}
            logs.write_change(effects.LogChange("list_entry_unreadable", fields))
