"""What a submitter sends, and the choice of cells for a job's chunks."""

import random as random_module
import re
from collections.abc import Sequence
from typing import Any

import msgspec

from crocusrudder.core import ids
from crocusrudder.jobs import capacity
from crocusrudder.jobs import chunks
from crocusrudder.jobs import errors
from crocusrudder.jobs import model
from crocusrudder.wire import messages

MAX_TASKS = 65_536
"""Bounds a job to 1,024 chunk rows."""

SCHEMA_VERSIONS = (2, 1)
"""Versions of batch records that are tried, in order, if a submission names none."""

MB_PER_GB = 1024
MILLICORES_PER_PROCESSOR = 1000

_JOB_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/jobs``. ``command`` replaces that of the batch record."""

    job: ids.JobId
    batch: str
    tasks: int = 1
    schema_version: int | None = None
    command: str | None = None

    def matches(self, known: model.JobSpecification) -> bool:
        """Return whether a known job may be the result of the same submission."""
        return (
            self.batch == known.batch
            and self.tasks == known.tasks
            and self.schema_version in (None, known.schema_version)
            and self.command in (None, known.command)
        )


class BatchRecord(msgspec.Struct, frozen=True):
    """A record of kind ``batch``, with the sizes of either schema version."""

    team: ids.TeamId
    command: str = ""
    urgent: bool = False
    processors: float = 0
    memory_gb: float = 0
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    size: dict[str, float] = {}

    def get_size(self) -> messages.Resources:
        """Return the size of one task, from the nested or the flat form."""
        found = {**msgspec.to_builtins(self), **self.size}
        processors = found["processors"] * MILLICORES_PER_PROCESSOR
        memory = found["memory_gb"] * MB_PER_GB
        return messages.Resources(
            int(found["millicores"] or processors),
            int(found["memory_mb"] or memory),
            int(found["accelerators"]),
        )


def parse_submission(body: Any) -> Submission:
    """Return the submission. Raises ``InvalidJobError``."""
    try:
        submission = msgspec.convert(body, Submission)
    except msgspec.ValidationError as error:
        raise errors.InvalidJobError(str(error)) from error
    if not _JOB_ID.fullmatch(submission.job):
        raise errors.InvalidJobError("job must be 1 to 64 letters, digits, '-' or '_'")
    if not 1 <= submission.tasks <= MAX_TASKS:
        raise errors.InvalidJobError(f"tasks must be from 1 to {MAX_TASKS}")
    return submission


def specify(submission: Submission, replica: Any) -> model.JobSpecification:
    """Return the specification under the batch record in force.

    Raises ``UnknownBatchError`` or ``InvalidJobError``.
    """
    named = submission.schema_version
    for version in SCHEMA_VERSIONS if named is None else (named,):
        record = replica.get_record("batch", submission.batch, version)
        if record is not None:
            return _combine(submission, version, _load_record(record))
    raise errors.UnknownBatchError(f"no batch record {submission.batch!r}", "submit it first")


def choose_cells(
    specification: model.JobSpecification,
    digests: Sequence[messages.CellDigest],
    random: random_module.Random,
) -> tuple[ids.CellId, ...]:
    """Return a cell for each chunk: the less loaded of two random ones among those that fit.

    Raises ``JobTooLargeError`` or ``NotReadyError``.
    """
    populated = [digest for digest in digests if digest.workers]
    if not populated:
        raise errors.NotReadyError("no worker is known yet", "repeat the call")
    fitting = [digest for digest in populated if _may_fit(specification.size, digest)]
    if not fitting:
        raise errors.JobTooLargeError("each task is larger than every worker")
    given = dict.fromkeys((digest.cell for digest in fitting), 0)
    chosen = []
    for _ in range(chunks.count_chunks(specification.tasks)):
        pair = random.sample(fitting, min(2, len(fitting)))
        best = min(pair, key=lambda digest: _get_load(digest, given[digest.cell]))
        given[best.cell] += model.TASKS_PER_CHUNK
        chosen.append(best.cell)
    return tuple(chosen)


def _get_load(digest: messages.CellDigest, given: int) -> tuple[float, int]:
    return (digest.pending_tasks + given) / digest.workers, -digest.free.millicores


def _may_fit(size: messages.Resources, digest: messages.CellDigest) -> bool:
    """Return whether a worker of the cell may be large enough; unknown shapes may be."""
    shapes = digest.shapes
    return not shapes or any(capacity.fits(size, shape) for shape in shapes)


def _load_record(record: Any) -> BatchRecord:
    try:
        return msgspec.convert(msgspec.to_builtins(record), BatchRecord)
    except msgspec.ValidationError as error:
        raise errors.InvalidJobError(f"the batch record is not usable: {error}") from error


def _combine(submission: Submission, version: int, record: BatchRecord) -> model.JobSpecification:
    command = record.command if submission.command is None else submission.command
    return model.JobSpecification(
        job=submission.job,
        team=record.team,
        batch=submission.batch,
        schema_version=version,
        tasks=submission.tasks,
        size=record.get_size(),
        command=command,
        urgent=record.urgent,
    )
