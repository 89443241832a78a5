"""Client of the worker on the machine of the agent: starts, stops, throttles and lists runs."""

import contextlib
import itertools
import time
import typing
from collections.abc import Iterable
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.observability import logs
from crocusrudder.platform import errors
from crocusrudder.platform import http
from crocusrudder.platform import json_parts
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import model

CALL_TIMEOUT_SECONDS = 1.0
"""A call to a healthy worker takes 2 ms."""
CONNECTIONS = 32
"""Covers all calls that an agent makes at once, so that none waits for a connection."""
MAX_END_GAP = 1_000
"""Greatest distance of the number of an end from that of the one before. Workers number their ends
from 1 and list 500 at a time, in order, of which some may be unreadable."""
MAX_LISTED_ENDS = 500
"""Ends in one list; a worker that holds more lists them after these have been acknowledged."""
MAX_FIRST_END = 2**40
"""Greatest number of the first end that an agent reads; 1,000 ends a second for 35 years."""
MAX_ERROR_CHARACTERS = 200
"""Length of the quoted decoding error; some errors repeat the input."""
LINE_INTERVAL_SECONDS = 10.0
"""Least time between two lines about unreadable entries. An entry stays listed, and an agent gets
up to 25 lists a second with it."""

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


_FIELD_TYPES = {
    type_: typing.get_type_hints(type_, include_extras=True) for type_ in (_WireRunning, _WireEnded)
}
_DETAILS = {"saved": None, "percent": 0.0, "measure": -1.0}
"""Defaults of the fields without which an entry still shows what became of a run."""


class _WireResponse(msgspec.Struct):
    clock_ms: _Count = msgspec.field(default=0, name="clockMs")
    reason: str = ""
    running: list[_WireRunning] | None = None
    ended: list[_WireEnded] | None = None
    born: _Count = 0


class _Unreadable(msgspec.Struct):
    """What a response holds that could not be read."""

    entries: int = 0
    error: str = ""
    hides_runs: bool = False
    """Whether a running task may be among what could not be read."""
    omitted_ends: int = 0
    """Number of listed ends that are left out."""

    def add(self, error: Exception) -> None:
        self.entries += 1
        self.error = self.error or str(error)[:MAX_ERROR_CHARACTERS]


_Item = TypeVar("_Item")


class RunList(msgspec.Struct, frozen=True):
    """Running tasks and unacknowledged ends of a worker; ``clock_ms`` is the worker's clock."""

    clock_ms: int
    running: tuple[workflow_messages.RunningTask, ...]
    ended: tuple[workflow_messages.EndedRun, ...]
    unreadable: int = 0
    """Number of parts of the response that could not be read."""
    is_complete: bool = True
    """Whether a run that ``running`` does not name is not on the worker."""
    has_more_ends: bool = False
    """Whether the worker may hold further ends, so that a run in neither list may have ended."""


class StartResponse(msgspec.Struct, frozen=True):
    """Response to a start; ``rejected`` is None if the run was started or already exists."""

    clock_ms: int
    rejected: model.RejectReason | None = None


class ProbeResponse(msgspec.Struct, frozen=True):
    """Response of a worker that has the id that was asked for."""

    born_ms: int
    """Time of birth of the incarnation that responded; 0 if the response has none."""
    is_stale_epoch: bool


class WorkerClient:
    """Call one worker; ``worker`` names the incarnation that a call is meant for.

    Calls raise ``NotExecutedError`` if the worker did nothing, ``UnknownOutcomeError`` if it may
    have executed the call or may still do so, and ``WrongWorkerError`` if another incarnation
    responds, ``RestartedWorkerError`` if that incarnation has executed it.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._http = http.HttpClient.from_config(http.HttpConfig(CONNECTIONS))
        self._unreadable_logged_at = float("-inf")
        self._omitted_lines = 0

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
        status, response, _ = await self._call("run-start", worker, content)
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
        status, _, _ = await self._call("run-stop", worker, content)
        return status == _STATUS_OK

    async def set_cpu_share(
        self, worker: str, task: str, run: int, percent: int, epoch: int
    ) -> bool:
        """Set the CPU share of a run in percent; return whether the worker accepted the call."""
        content = {"task": task, "runId": run, "percent": percent, "fenceToken": epoch}
        status, _, _ = await self._call("pace", worker, content)
        return status == _STATUS_OK

    async def poll_runs(
        self,
        incarnation: tuple[ids.WorkerId, int],
        epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
        last_seen: int | None = None,
    ) -> RunList | None:
        """Extend the lease, acknowledge ended runs and return the list; None if the epoch is stale.

        Ends up to ``last_seen`` are acknowledged, by default up to ``acknowledged``, which the ends
        in the list are expected to follow. The worker responds after ``wait_seconds`` or as soon as
        another run ends. ``incarnation`` is the worker's id and time of birth. The worker itself
        checks the id only, which a restarted worker may keep.
        """
        worker, born_ms = incarnation
        content: dict[str, Any] = {"fenceToken": epoch}
        content |= {"lastSeen": acknowledged if last_seen is None else last_seen}
        content |= {"expiresMs": lease_until_ms} if lease_until_ms is not None else {}
        content |= {"waitMs": round(wait_seconds * 1_000)} if wait_seconds else {}
        status, response, unreadable = await self._call("hold", worker, content, wait_seconds)
        if born_ms and response.born and response.born != born_ms:
            raise errors.RestartedWorkerError(f"{worker} has restarted")
        if status == _STATUS_CONFLICT:
            return None
        if status != _STATUS_OK:
            raise errors.NotExecutedError(f"the worker responded with status {status}")
        if not response.clock_ms:
            unreadable.add(errors.MalformedInputError("the response has no clock"))
        if response.running is response.ended is None:
            unreadable.add(errors.MalformedInputError("the response has no lists"))
            unreadable.hides_runs = True
        ends_listed = len(response.ended or ()) + unreadable.omitted_ends
        ended = _convert_ended(response, acknowledged, unreadable)
        self._log_unreadable(unreadable)
        return RunList(
            response.clock_ms,
            _convert_running(response),
            ended,
            unreadable.entries,
            not unreadable.hides_runs,
            ends_listed >= MAX_LISTED_ENDS,
        )

    def _log_unreadable(self, unreadable: _Unreadable) -> None:
        if not unreadable.entries:
            return
        now = time.monotonic()
        if now - self._unreadable_logged_at < LINE_INTERVAL_SECONDS:
            self._omitted_lines += 1
            return
        fields = {
            "code": errors.MalformedInputError.code,
            "error": unreadable.error,
            "entries": unreadable.entries,
            "omitted": self._omitted_lines,
        }
        logs.write_change(effects.LogChange("list_entry_unreadable", fields))
        self._unreadable_logged_at = now
        self._omitted_lines = 0

    async def probe(self, worker: ids.WorkerId, epoch: int) -> ProbeResponse:
        """Ask which incarnation of a worker responds.

        The call extends no lease and acknowledges no end.
        """
        content = {"fenceToken": epoch, "lastSeen": 0}
        status, response, unreadable = await self._call("hold", worker, content)
        if status not in (_STATUS_OK, _STATUS_CONFLICT):
            raise errors.NotExecutedError(f"the worker responded with status {status}")
        if not response.born and unreadable.entries:
            raise errors.UnknownOutcomeError(f"no time of birth in a response: {unreadable.error}")
        return ProbeResponse(response.born, status == _STATUS_CONFLICT)

    async def _call(
        self, name: str, worker: str, content: dict[str, Any], wait_seconds: float = 0.0
    ) -> tuple[int, _WireResponse, _Unreadable]:
        headers = (*http.JSON_HEADERS, (_EXPECTED_WORKER_HEADER, worker))
        body = msgspec.json.encode(content)
        request = effects.EndpointRequest("POST", f"/crocusrudder/{name}", headers, body)
        timeout = CALL_TIMEOUT_SECONDS + wait_seconds
        response = await self._http.call(self._host, self._port, request, timeout)
        if response.status == _STATUS_OTHER_WORKER:
            raise errors.WrongWorkerError(f"another incarnation responded instead of {worker}")
        if not response.body:
            return response.status, _WireResponse(), _Unreadable()
        return response.status, *_decode_response(response.body)


def _decode_response(body: bytes) -> tuple[_WireResponse, _Unreadable]:
    """Decode a response, without the parts that cannot be read if there are any."""
    unreadable = _Unreadable()
    try:
        return msgspec.json.decode(body, type=_WireResponse), unreadable
    except (msgspec.MsgspecError, RecursionError):
        pass
    try:
        members = json_parts.split_object(body)
    except errors.MalformedInputError as error:
        raise errors.UnknownOutcomeError(
            f"cannot decode the response of the worker: {error}"
        ) from error
    response = _WireResponse(
        _decode_part(members.get("clockMs", b"0"), _Count, unreadable) or 0,
        _decode_part(members.get("reason", b'""'), str, unreadable) or "",
        _decode_running(members.get("running", b"[]"), unreadable),
        _decode_ended(members.get("ended", b"[]"), unreadable),
        _decode_part(members.get("born", b"0"), _Count, unreadable) or 0,
    )
    return response, unreadable


def _split_entries(part: bytes, unreadable: _Unreadable) -> list[msgspec.Raw]:
    if part == b"null":
        return []
    try:
        return json_parts.split_array(part)
    except errors.MalformedInputError as error:
        unreadable.add(error)
        return []


def _decode_ended(part: bytes, unreadable: _Unreadable) -> list[_WireEnded]:
    """Decode the ended runs, and count those that are left out."""
    items = _split_entries(part, unreadable)
    entries = (
        _decode_part(item, _WireEnded, unreadable) or _decode_partly(item, _WireEnded)
        for item in items
    )
    found = [entry for entry in entries if entry is not None]
    unreadable.omitted_ends = len(items) - len(found)
    return found


def _decode_running(part: bytes, unreadable: _Unreadable) -> list[_WireRunning]:
    """Decode the running tasks; one whose name and run can be read counts as present at least."""
    count = unreadable.entries
    entries = _split_entries(part, unreadable)
    unreadable.hides_runs = unreadable.entries > count
    found = []
    for item in entries:
        entry = _decode_part(item, _WireRunning, unreadable)
        entry = _decode_partly(item, _WireRunning) if entry is None else entry
        if entry is None:
            unreadable.hides_runs = True
        else:
            found.append(entry)
    return found


def _decode_partly(item: bytes, type_: type[_Item]) -> _Item | None:
    """Decode an entry whose details get defaults if they cannot be read; None without the rest."""
    values: dict[str, Any] = {}
    with contextlib.suppress(errors.MalformedInputError):
        parts = itertools.chain(json_parts.split_array(item), itertools.repeat(b""))
        for (name, hint), part in zip(_FIELD_TYPES[type_].items(), parts, strict=False):
            try:
                values[name] = json_parts.decode(part, hint)
            except errors.MalformedInputError:
                if name not in _DETAILS:
                    raise
                values[name] = _DETAILS[name]
        return type_(**values)
    return None


def _decode_part(part: bytes, type_: type[_Item], unreadable: _Unreadable) -> _Item | None:
    try:
        return json_parts.decode(part, type_)
    except errors.MalformedInputError as error:
        unreadable.add(error)
        return None


def _convert_running(response: _WireResponse) -> tuple[workflow_messages.RunningTask, ...]:
    return tuple(
        workflow_messages.RunningTask(
            row.task, row.run, row.saved or "", round(row.percent), row.measure
        )
        for row in response.running or ()
    )


def _convert_ended(
    response: _WireResponse, acknowledged: int, unreadable: _Unreadable
) -> tuple[workflow_messages.EndedRun, ...]:
    listed = [
        workflow_messages.EndedRun(row.number, row.task, row.run, row.how.value, row.saved or "")
        for row in response.ended or ()
    ]
    selected = select_consecutive(listed, acknowledged)
    for entry in set(listed).difference(selected):
        unreadable.add(errors.MalformedInputError(f"end number {entry.number} is out of sequence"))
    return selected


def select_consecutive(
    ended: Iterable[workflow_messages.EndedRun], acknowledged: int
) -> tuple[workflow_messages.EndedRun, ...]:
    """Return the ends by number, up to the first gap that a worker's numbering cannot have.

    Ends up to the highest processed number are acknowledged, so one number that is far too high
    would acknowledge all later ends before they are read.
    """
    ordered = sorted(ended, key=lambda entry: entry.number)
    first = min([MAX_FIRST_END, *(entry.number for entry in ordered)])
    known = itertools.chain((acknowledged or first,), (entry.number for entry in ordered))
    steps = itertools.takewhile(
        lambda step: step[1].number - step[0] <= MAX_END_GAP, zip(known, ordered, strict=False)
    )
    return tuple(entry for _, entry in steps)
