"""Tables, keys and encoding of the rows in the store."""

import math
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import TypeVar

import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import errors as platform_errors
from crocusrudder.platform import operator
from crocusrudder.wire import addresses
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import errors
from crocusrudder.workflows import model

JOBS_TABLE = "jobs"
"""One row per accepted job, and another one per cancellation."""
PROGRESS_TABLE = "progress"
"""One main row per job with progress, and further ones; see ``job_progress``."""
CONTROL_TABLE = "control"
OWNER_KEY = "owner"
ROSTER_TABLE = "roster"
"""Address of each agent to which a start may have been sent."""
ENTRIES_TABLE = "entries"
"""Address of each entry."""
CORES_TABLE = "cores"
"""Processor cores of each entry, as a decimal number."""
ESTIMATES_KEY = "learned"
"""Key of the owner's estimates of the interference between images."""
PART_SEPARATOR = ".part"
MAX_PART_DIGITS = 9
CANCEL_SUFFIX = ".cancel"
CANCEL_VALUE = b"1"
UNKNOWN_CANCEL_VALUE = b"0"
"""Value of a cancellation of a job that had no row. No row of the job can follow it, since a
submission is stored only if its job has no cancellation."""
MAX_ROW_BYTES = 65_536
"""Size of a value that the users' store takes."""
_Key = TypeVar("_Key")

MAX_QUOTED = 100
"""Characters of an unreadable value that an error quotes."""


Coefficient = tuple[float, float, int]
"""Mean, deviation and number of reports."""
Coefficients = dict[str, Coefficient]
"""Coefficients by best-effort image."""
PairEstimates = dict[str, Coefficients]
"""Coefficients of earlier releases, by latency-critical image."""
FLOOR = ""
"""Name in ``PairEstimates`` of the logarithm of a latency-critical image's floor in ms."""


Ratio = tuple[float, float, float]
"""Weight, mean and mean square of the logarithms of duration over estimate."""
Ratios = dict[str, Ratio]
"""Ratios by queue."""


class ServedEstimates(msgspec.Struct, frozen=True, array_like=True):
    """Estimates of one latency-critical image with one target."""

    image: str
    target_ms: float
    floor_ms: float
    """Latency without load and without best-effort tasks."""
    coefficients: Coefficients


class InterferenceEstimates(msgspec.Struct, frozen=True):
    """Estimates that a later owner restores instead of measuring them again."""

    slowdowns: PairEstimates
    """Logarithms of slowdowns, which owners of earlier releases read; empty."""
    durations: Ratios = {}
    inflations: PairEstimates = {}
    """Coefficients of earlier releases, which do not tell the targets they were learned with."""
    served: tuple[ServedEstimates, ...] = ()
    """Estimates of ``latency_model.LatencyModel``."""


class _StoredServed(msgspec.Struct, array_like=True):
    """``ServedEstimates`` of which each coefficient is decoded by itself."""

    image: str
    target_ms: float
    floor_ms: float
    coefficients: dict[str, Any]


class _StoredEstimates(msgspec.Struct):
    """Estimates of which each figure is decoded by itself."""

    durations: dict[str, Any] = {}
    inflations: dict[str, Any] = {}
    served: list[Any] = []


class OwnerRow(msgspec.Struct, frozen=True):
    """Current owner of the workers; rewritten with each commit of the owner."""

    epoch: model.OwnerEpoch
    holder: ids.ProcessId
    address: str
    sequence: int
    released: bool = False
    lost: dict[ids.ProcessId, float] = {}
    """Agents to which this row grants no lease renewals, with the least number of seconds since the
    last grant. Negative if the lease may have been longer than usual, by the difference."""
    unbounded: dict[ids.ProcessId, float] = {}
    """Agents on whose workers runs may go on however long ago the last grant was, with the number
    of seconds for which they may."""


def encode(value: msgspec.Struct) -> bytes:
    return msgspec.msgpack.encode(value)


def encode_progress(progress: model.Progress) -> bytes:
    """Encode the main row of a job's progress, which parts complete."""
    done_tasks = progress.done_tasks.rstrip(b"\0")
    main = model.Progress(
        progress.state,
        finished_at=progress.finished_at,
        done_tasks=done_tasks,
        format=model.PROGRESS_FORMAT,
    )
    return encode(main)


def encode_progress_part(progress: model.Progress, keys: Collection[str]) -> bytes:
    """Encode the failed runs and crashes under some keys."""
    sources = (progress.failures, progress.omitted_failures, progress.crashes)
    selected = ({k: entries[k] for k in sorted(keys) if k in entries} for entries in sources)
    return encode(model.ProgressPart(*selected))


def decode_job(value: bytes, key: ids.JobId) -> model.Job:
    """Decode the job of a key; raise ``UnreadableRowError`` for a malformed value."""
    job = _decode(value, model.Job)
    if job.job_id != key:
        raise errors.UnreadableRowError(f"row holds the job {job.job_id[:MAX_QUOTED]!r}")
    try:
        operator.check_stages(job.job_id, job.stages, job.occurrences)
    except platform_errors.MalformedInputError as error:
        raise errors.UnreadableRowError(f"row is not a valid Job: {error.message}") from error
    _check_finite(job.accepted_at, job.first_due_at, job.interval_seconds)
    _check_finite(*(s.estimated_seconds for s in job.stages))
    _check_finite(*(s.latency_target_ms for s in job.stages))
    return job


def decode_progress(value: bytes) -> model.Progress:
    """Decode a job's progress; raise ``UnreadableRowError`` for a malformed value."""
    progress = _decode(value, model.Progress)
    _check_finite(progress.finished_at)
    return progress


def decode_progress_part(value: bytes | None) -> model.ProgressPart:
    """Decode a part of a job's progress; raise ``UnreadableRowError`` for a malformed value."""
    return _decode(value, model.ProgressPart)


def decode_owner(value: bytes, version: int) -> OwnerRow:
    """Decode the owner's row of a version; raise ``UnreadableRowError`` for a malformed value.

    Each claim raises the epoch by 1 and the version by at least 1, so a higher epoch than the
    version is not an owner's. No claim must follow it, as workers refuse all lower ones for good.
    """
    row = _decode(value, OwnerRow)
    is_epoch_valid = 0 < row.epoch <= version
    if not (is_epoch_valid and 0 <= row.sequence <= workflow_messages.MAX_NUMBER):
        raise errors.UnreadableRowError(f"row has the epoch {row.epoch}, sequence {row.sequence}")
    return row


def make_unknown_owner(version: int) -> OwnerRow:
    """Return what stands for an owner's row of this version that cannot be read.

    Its epoch is not lower than any earlier one: each claim raises the epoch by 1 and the version,
    which the store takes from a single counter, by at least 1.
    """
    return OwnerRow(model.OwnerEpoch(version), ids.ProcessId(""), "", 0)


def decode_estimates(value: bytes) -> tuple[InterferenceEstimates, int]:
    """Decode interference estimates; raise ``UnreadableRowError`` for a malformed value.

    Return also how many figures cannot be read. These are left out, and the others hold: one odd
    figure must not take those of all images and queues from each later owner. Whether the numbers
    are in range is up to those who use them.
    """
    stored = _decode(value, _StoredEstimates)
    odd: list[object] = []
    durations = dict(_convert_each(stored.durations.items(), Ratio, odd))
    pairs = _convert_each(stored.inflations.items(), dict[str, Any], odd)
    inflations = {
        image: dict(_convert_each(coefficients.items(), Coefficient, odd))
        for image, coefficients in pairs
    }
    served = tuple(
        ServedEstimates(
            item.image,
            item.target_ms,
            item.floor_ms,
            dict(_convert_each(item.coefficients.items(), Coefficient, odd)),
        )
        for _, item in _convert_each(enumerate(stored.served), _StoredServed, odd)
    )
    return InterferenceEstimates({}, durations, inflations, served), len(odd)


def encode_estimates(estimates: InterferenceEstimates, limit: int) -> tuple[bytes, int]:
    """Encode as many estimates as fit into ``limit`` bytes, the first ones first.

    Return also how many images and queues are left out.
    """
    size = len(encode(InterferenceEstimates({})))
    durations: Ratios = {}
    served: list[ServedEstimates] = []
    left_out = 0
    for queue, ratio in estimates.durations.items():
        added = len(msgspec.msgpack.encode({queue: ratio}))
        if size + added > limit:
            left_out += 1
            continue
        size += added
        durations[queue] = ratio
    for image in estimates.served:
        added = len(msgspec.msgpack.encode(image))
        if size + added > limit:
            left_out += 1
            continue
        size += added
        served.append(image)
    return encode(InterferenceEstimates({}, durations, {}, tuple(served))), left_out


def _convert_each(
    items: Iterable[tuple[_Key, Any]], type_: Any, odd: list[object]
) -> Iterator[tuple[_Key, Any]]:
    """Yield the items that have a type, and add the keys of the others to ``odd``."""
    for key, item in items:
        try:
            yield key, msgspec.convert(item, type_)
        except msgspec.ValidationError:
            odd.append(key)


def decode_address(value: bytes | None) -> str:
    """Decode an address; raise ``UnreadableRowError`` for a malformed value."""
    try:
        address = (value or b"").decode("ascii")
    except UnicodeError as error:
        raise errors.UnreadableRowError(f"row is not an address: {error}") from error
    if not addresses.is_valid(address):
        raise errors.UnreadableRowError(f"row is not an address: {address[:MAX_QUOTED]!r}")
    return address


def _decode(value: bytes | None, type_: type) -> msgspec.Struct:
    try:
        return msgspec.msgpack.decode(value or b"", type=type_)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.UnreadableRowError(f"row is not a valid {type_.__name__}: {error}") from error


def _check_finite(*values: float) -> None:
    if not all(map(math.isfinite, values)):
        raise errors.UnreadableRowError("row holds a number that is not finite")


def encode_cores(cores: float) -> bytes:
    return f"{cores:.3f}".encode()


def decode_cores(value: bytes) -> float:
    """Decode a number of cores; raise ``UnreadableRowError`` for a malformed value."""
    try:
        cores = float(value)
    except ValueError as error:
        raise errors.UnreadableRowError(f"row is not a number of cores: {error}") from error
    if not 0.0 <= cores < math.inf:
        raise errors.UnreadableRowError(f"row is not a number of cores: {cores}")
    return cores


def make_cancel_key(job: ids.JobId) -> str:
    return f"{job}{CANCEL_SUFFIX}"


def make_progress_key(job: ids.JobId, part: int) -> str:
    """Return the key of a part of a job's progress."""
    return f"{job}{PART_SEPARATOR}{part}"


def split_progress_key(key: str) -> tuple[ids.JobId, int | None]:
    """Return the job and the part of a key in the progress table; None for the main row.

    Raises ``UnreadableRowError`` for a key of another form.
    """
    job, separator, part = key.partition(PART_SEPARATOR)
    if separator and not (part.isascii() and part.isdigit() and len(part) <= MAX_PART_DIGITS):
        raise errors.UnreadableRowError(f"row has the key {key[:MAX_QUOTED]!r}")
    return ids.JobId(job), int(part) if separator else None


def split_cancel_key(key: str) -> tuple[ids.JobId, bool]:
    """Return the job of a key in the jobs table, and whether the key is that of a cancellation."""
    job = key.removesuffix(CANCEL_SUFFIX)
    return ids.JobId(job), job != key
