"""HTTP interface for callers: submit, query and cancel jobs, and count pending ones."""

import re
import time
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.hosting import http_messages
from crocusrudder.observability import logs
from crocusrudder.platform import errors
from crocusrudder.platform import operator
from crocusrudder.workflows import calls
from crocusrudder.workflows import model
from crocusrudder.workflows import rows

DEFAULT_TIMEOUT_SECONDS = 3.0

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_STATE_OUTCOMES = frozenset(calls.make_state_outcome(state) for state in model.JobState)

_KINDS = {"POST": "submit", "GET": "status", "DELETE": "cancel"}
_EVENTS = {
    "submit": "job_submitted",
    "status": "state_unknown",
    "cancel": "cancellation_requested",
}

_TIMEOUT = re.compile(r"[0-9]{1,9}")
"""Timeouts that are read, up to 11 days; callers with others get the default."""

CallExecutor = Callable[[str, ids.JobId, bytes, float], Awaitable[calls.Outcome]]
"""Execute a call, given its kind, the job, the job's row and the timeout in seconds."""


class JobHttp:
    """HTTP handler for the callers of one entry."""

    def __init__(
        self,
        execute: CallExecutor,
        get_configuration: Callable[[], model.Configuration | None],
        count_pending: Callable[[model.QueueName], int | None],
        choose_retry_after: Callable[[], int],
    ) -> None:
        self._execute = execute
        self._get_configuration = get_configuration
        self._count_pending = count_pending
        self._choose_retry_after = choose_retry_after

    async def handle(self, request: http_messages.Request) -> http_messages.Response:
        configuration = self._get_configuration()
        if configuration is None:
            return self._make_unavailable_response("the configuration is not there yet")
        path = request.target.partition("?")[0]
        queue = configuration.find_queue(request.get_header("host"), path)
        if queue is None:
            host = request.get_header("host")
            self._log("queue_unknown", host=host, path=path, configuration=configuration.version)
            return _make_error_response(404, "CR-WFL-404", "there is no such queue")
        job = path.removeprefix(queue.path_prefix)
        if not job and request.method == "GET":
            return self._respond_pending(queue)
        if not _JOB_ID.fullmatch(job):
            return _make_error_response(404, "CR-WFL-404", "a job's id has 16 hexadecimal digits")
        return await self._handle_job(request, queue, ids.JobId(job))

    async def _handle_job(
        self, request: http_messages.Request, queue: model.Queue, job: ids.JobId
    ) -> http_messages.Response:
        kind = _KINDS.get(request.method)
        if kind is None:
            return _make_error_response(405, "CR-WFL-405", "use POST, GET or DELETE")
        row = b""
        if kind == "submit":
            if len(request.body) > self._get_configuration().body_bytes:
                return _make_error_response(413, "CR-WFL-413", "the job is too large")
            try:
                decoded = operator.decode_job(job, queue.name, request.body, time.time())
            except errors.MalformedInputError as error:
                self._log("job_malformed", job=job, **error.to_dict())
                return _make_error_response(400, error.code, error.message)
            row = rows.encode(msgspec.structs.replace(decoded, accepted_queue=queue))
            if len(row) > rows.MAX_ROW_BYTES:
                return _make_error_response(413, "CR-WFL-413", "the job is too large")
        started_at = time.monotonic()
        outcome = await self._execute(kind, job, row, _get_timeout(request))
        if outcome not in _STATE_OUTCOMES:
            self._log(
                _EVENTS[kind],
                job=job,
                queue=queue.name,
                outcome=outcome.value,
                took_ms=round((time.monotonic() - started_at) * 1_000),
            )
        if outcome is calls.Outcome.NOT_PERFORMED:
            return self._make_unavailable_response(
                "the store has not taken the request; it has not run and never will"
            )
        return _make_response(request.method, outcome)

    def _make_unavailable_response(self, reason: str) -> http_messages.Response:
        headers = (("retry-after", str(self._choose_retry_after())),)
        return _make_error_response(503, "CR-WFL-503", reason, headers)

    def _log(self, name: str, **fields: object) -> None:
        logs.write_change(effects.LogChange(name, fields))

    def _respond_pending(self, queue: model.Queue) -> http_messages.Response:
        count = self._count_pending(queue.name)
        if count is None:
            return self._make_unavailable_response("the owner has not been heard")
        return http_messages.make_json_response(200, {"pending": count})


def _get_timeout(request: http_messages.Request) -> float:
    text = request.get_header(operator.CALLER_TIMEOUT_HEADER)
    return int(text) / 1_000 if _TIMEOUT.fullmatch(text) else DEFAULT_TIMEOUT_SECONDS


def _make_response(method: str, outcome: calls.Outcome) -> http_messages.Response:
    if outcome is calls.Outcome.UNCERTAIN:
        return _make_error_response(
            504, "CR-WFL-504", "the outcome is not known; the request can be repeated"
        )
    if outcome is calls.Outcome.CANCELLED_BEFORE:
        return _make_error_response(
            503, "CR-WFL-409", "the job was cancelled before it was stored; it never runs"
        )
    if outcome is calls.Outcome.UNKNOWN_JOB:
        return _make_error_response(410, "CR-WFL-410", "there is no such job")
    if method == "GET" and outcome in _STATE_OUTCOMES:
        return http_messages.make_json_response(200, {"state": outcome.value})
    return http_messages.make_json_response(200, {"outcome": outcome.value})


def _make_error_response(
    status: int, code: str, message: str, headers: tuple[tuple[str, str], ...] = ()
) -> http_messages.Response:
    content = {"code": code, "message": message, "hint": "", "problems": []}
    return http_messages.make_json_response(status, content, headers)
