"""Decode the operator's configuration and the jobs that callers submit."""

from collections.abc import Iterator
from collections.abc import Sequence
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import errors
from crocusrudder.platform import json_parts
from crocusrudder.platform import store
from crocusrudder.wire import messages
from crocusrudder.workflows import model

MAX_JOB_TASKS = 100_000
"""Limit of a job's tasks over all its runs; each task takes about 0.5 KB of the owner's memory."""
MAX_COUNT = 2**53
"""Limit of integers: many JSON decoders round larger ones, and those above 64 bits cannot be
stored."""
MAX_MILLISECONDS = 1e15
"""Limit of times; 30,000 years."""
MAX_QUOTED = 200
"""Characters of a decoding error that are repeated."""
CALLER_TIMEOUT_HEADER = "x-crocusrudder-timeout-ms"


_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]


_Item = TypeVar("_Item")


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    service: str
    path_prefix: str = msgspec.field(name="pathPrefix")
    priority: int = msgspec.field(default=0, name="prio")
    # Only part of the latency target: the objective is added to the stretched work.
    objective_ms: float = msgspec.field(default=0, name="sloMs")
    timeout_ms: float = msgspec.field(default=0, name="timeoutMs")
    max_attempts: int = msgspec.field(default=1, name="maxAttempts")
    stretch: float = 1.0
    # Terms of an admission service; only whether there are any matters so far.
    hint: Any = None


class _WireService(msgspec.Struct):
    name: str
    guards: bool = msgspec.field(default=True, name="enforcesCapacity")
    standby: bool = False


class _WireLimits(msgspec.Struct):
    body_bytes: int = msgspec.field(default=262_144, name="maxBodyBytes")


class _WireConfiguration(msgspec.Struct):
    version: _Count
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


class _WireEvacuation(msgspec.Struct):
    """The request has no fields so far."""


class _WireStage(msgspec.Struct):
    count: int = msgspec.field(name="taskCount")
    cpu: _Count = 0
    memory_mb: _Count = msgspec.field(default=0, name="memMb")
    gpu: _Count = 0
    estimated_ms: _Milliseconds = msgspec.field(default=0, name="estRuntimeMs")
    after: list[int] = []
    gang: bool = False
    same_rack: bool = msgspec.field(default=False, name="sameRack")
    requires: str = ""
    data_rack: str = msgspec.field(default="", name="dataRack")
    # Maximum number of tasks per worker, not an anti-affinity label.
    max_per_worker: _Count = msgspec.field(default=0, name="antiAffinity")
    speculative: bool = False
    long_running: bool = msgspec.field(default=False, name="longRunning")
    image: str = ""
    target_ms: _Milliseconds = msgspec.field(default=0, name="targetMs")
    best_effort: bool = msgspec.field(default=False, name="fills")
    may_miss: _Count = msgspec.field(default=0, name="mayMiss")
    checkpoint: bool = False


class _WireJob(msgspec.Struct):
    spec: str
    steps: list[_WireStage]
    max_runs: int = msgspec.field(default=0, name="maxRuns")
    start_at_ms: _Milliseconds = msgspec.field(default=0, name="startAtMs")
    interval_ms: _Milliseconds = msgspec.field(default=0, name="intervalMs")


def decode_configuration(body: bytes) -> model.Configuration:
    """Decode the configuration without the queues and services that cannot be read.

    Raises ``MalformedInputError`` if the rest cannot be read.
    """
    unreadable: list[str] = []
    try:
        wire = msgspec.json.decode(body, type=_WireConfiguration)
    except (msgspec.MsgspecError, RecursionError):
        wire = _decode_items(body, unreadable)
    queues = tuple(_convert_route(route) for route in wire.routes)
    services = tuple(
        model.Service(ids.ServiceName(service.name), service.guards) for service in wire.services
    )
    unserved = tuple(_list_unserved(wire))
    return model.Configuration(
        wire.version, queues, services, wire.limits.body_bytes, unserved, tuple(unreadable)
    )


def _decode_items(body: bytes, unreadable: list[str]) -> _WireConfiguration:
    """Decode a configuration item by item, and add an error for each that cannot be read."""
    try:
        members = json_parts.split_object(body)
        version = json_parts.decode(members.get("version", b""), _Count)
        limits = json_parts.decode(members.get("limits", b"{}"), _WireLimits)
        routes = json_parts.split_array(members.get("routes", b"[]"))
        services = json_parts.split_array(members.get("services", b"[]"))
    except errors.MalformedInputError as error:
        raise errors.MalformedInputError(f"configuration: {error.message}") from error
    return _WireConfiguration(
        version,
        list(_decode_each(routes, _WireRoute, "queue", unreadable)),
        list(_decode_each(services, _WireService, "service", unreadable)),
        limits,
    )


def _decode_each(
    items: list[bytes], type_: type[_Item], kind: str, unreadable: list[str]
) -> Iterator[_Item]:
    for number, item in enumerate(items):
        try:
            yield json_parts.decode(item, type_)
        except errors.MalformedInputError as error:
            unreadable.append(f"{kind} {number}: {error.message[:MAX_QUOTED]}")


def _list_unserved(wire: _WireConfiguration) -> Iterator[str]:
    """Yield what the configuration requests and this system does not serve."""
    for route in wire.routes:
        if route.hint:
            yield f"queue {route.name!r}: starts need tickets, so its jobs wait"
    for service in wire.services:
        if service.standby:
            yield f"service {service.name!r}: on standby, its machines are never switched on"


def decode_evacuation(key: str, value: bytes | None) -> ids.DataCentre:
    """Return the data centre of an evacuation; ``value`` is None for one that is withdrawn.

    Raises ``MalformedInputError`` for a malformed row and ``UnknownRequestError`` for a row that is
    not an evacuation.
    """
    if not key.startswith(store.EVACUATION_PREFIX):
        raise errors.UnknownRequestError(f"operator's row {key!r}: no such request is served")
    data_centre = ids.DataCentre(key.removeprefix(store.EVACUATION_PREFIX))
    if not data_centre:
        raise errors.MalformedInputError(f"evacuation {key!r}: names no data centre")
    try:
        if value is not None:
            msgspec.json.decode(value, type=_WireEvacuation)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.MalformedInputError(f"evacuation {key!r}: {error}") from error
    return data_centre


def _convert_route(route: _WireRoute) -> model.Queue:
    return model.Queue(
        model.QueueName(route.name),
        route.host,
        route.path_prefix,
        ids.ServiceName(route.service),
        route.priority,
        route.max_attempts,
        route.stretch,
        route.objective_ms / 1_000,
        route.timeout_ms / 1_000,
        bool(route.hint),
    )


def decode_job(
    job: ids.JobId, queue: model.QueueName, body: bytes, accepted_at: float
) -> model.Job:
    """Decode a submitted job; raises ``MalformedInputError``."""
    try:
        wire = msgspec.json.decode(body, type=_WireJob)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.MalformedInputError(f"job {job}: {error}") from error
    stages = tuple(_convert_stage(stage) for stage in wire.steps)
    check_stages(job, stages, wire.max_runs)
    return model.Job(
        job,
        queue,
        wire.spec,
        stages,
        accepted_at,
        wire.max_runs,
        wire.start_at_ms / 1_000,
        wire.interval_ms / 1_000,
    )


def check_stages(job: ids.JobId, stages: Sequence[model.Stage], occurrences: int) -> None:
    """Raise ``MalformedInputError`` if the stages of a job cannot be planned.

    A job has a stage at least: its occurrences are bounded by their tasks only.
    """
    if not stages:
        raise errors.MalformedInputError(f"job {job}: has no stages")
    for number, stage in enumerate(stages):
        if stage.task_count < 1 or any(not 0 <= other < number for other in stage.after):
            raise errors.MalformedInputError(
                f"job {job}: stage {number} has no tasks or depends on a stage that is not earlier"
            )
        if min(msgspec.structs.astuple(stage.demand)) < 0:
            raise errors.MalformedInputError(f"job {job}: stage {number} has a negative demand")
    if occurrences < 0:
        raise errors.MalformedInputError(f"job {job}: maxRuns is negative")
    tasks = sum(stage.task_count for stage in stages) * max(occurrences, 1)
    if tasks > MAX_JOB_TASKS:
        raise errors.MalformedInputError(
            f"job {job}: {tasks} tasks, more than the {MAX_JOB_TASKS} that a job may have"
        )


def _convert_stage(stage: _WireStage) -> model.Stage:
    return model.Stage(
        stage.count,
        messages.Resources(stage.cpu, stage.memory_mb, stage.gpu),
        stage.estimated_ms / 1_000,
        tuple(dict.fromkeys(stage.after)),
        stage.gang,
        stage.same_rack,
        stage.requires,
        stage.data_rack,
        stage.max_per_worker,
        stage.speculative,
        stage.long_running,
        stage.image,
        stage.target_ms,
        stage.best_effort,
        stage.may_miss,
        stage.checkpoint,
    )
