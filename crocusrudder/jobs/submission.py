"""Parse submissions, and choose the cells for a job's chunks."""

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
"""Limits a job to 1,024 chunk rows."""

SCHEMA_VERSIONS = (2, 1)
"""Schema versions of batch records, in the order tried if a submission names none."""

MB_PER_GB = 1024
MILLICORES_PER_PROCESSOR = 1000

_JOB_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/jobs``; ``command`` overrides that of the batch record."""

    job: ids.JobId
    batch: str
    tasks: int = 1
    schema_version: int | None = None
    command: str | None = None

    def matches(self, existing: model.JobSpecification) -> bool:
        """Return whether an existing job may be the result of this submission."""
        return (
            self.batch == existing.batch
            and self.tasks == existing.tasks
            and self.schema_version in (None, existing.schema_version)
            and self.command in (None, existing.command)
        )


class BatchRecord(msgspec.Struct, frozen=True):
    """A record of kind ``batch``, with the size fields of both schema versions."""

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
        """Return the size of one task, from the nested or the flat fields."""
        fields = {**msgspec.to_builtins(self), **self.size}
        processors = fields["processors"] * MILLICORES_PER_PROCESSOR
        memory = fields["memory_gb"] * MB_PER_GB
        return messages.Resources(
            int(fields["millicores"] or processors),
            int(fields["memory_mb"] or memory),
            int(fields["accelerators"]),
        )


def parse_submission(body: Any) -> Submission:
    """Parse a request body. Raises ``InvalidJobError``."""
    try:
        submission = msgspec.convert(body, Submission)
    except msgspec.ValidationError as error:
        raise errors.InvalidJobError(str(error)) from error
    if not _JOB_ID.fullmatch(submission.job):
        raise errors.InvalidJobError("job must be 1 to 64 letters, digits, '-' or '_'")
    if not 1 <= submission.tasks <= MAX_TASKS:
        raise errors.InvalidJobError(f"tasks must be from 1 to {MAX_TASKS}, not {submission.tasks}")
    return submission


def make_specification(submission: Submission, replica: Any) -> model.JobSpecification:
    """Return the specification of a job, from the batch record in force.

    Raises ``UnknownBatchError`` or ``InvalidJobError``.
    """
    named = submission.schema_version
    for version in SCHEMA_VERSIONS if named is None else (named,):
        record = replica.get_record("batch", submission.batch, version)
        if record is not None:
            return _build_specification(submission, version, _load_record(record))
    raise errors.UnknownBatchError(f"no batch record {submission.batch!r}", "submit it first")


def choose_cells(
    specification: model.JobSpecification,
    digests: Sequence[messages.CellDigest],
    random: random_module.Random,
) -> tuple[ids.CellId, ...]:
    """Choose a cell for each chunk: the less loaded of two random cells that fit the tasks.

    Raises ``JobTooLargeError`` or ``NotReadyError``.
    """
    populated = [digest for digest in digests if digest.workers]
    if not populated:
        raise errors.NotReadyError("no worker is known yet", "repeat the call")
    fitting = [digest for digest in populated if _may_fit(specification.size, digest)]
    if not fitting:
        raise errors.JobTooLargeError("each task is larger than every worker")
    assigned_tasks = dict.fromkeys((digest.cell for digest in fitting), 0)
    chosen = []
    for _ in range(chunks.count_chunks(specification.tasks)):
        pair = random.sample(fitting, min(2, len(fitting)))
        best = min(pair, key=lambda digest: _get_load(digest, assigned_tasks[digest.cell]))
        assigned_tasks[best.cell] += model.TASKS_PER_CHUNK
        chosen.append(best.cell)
    return tuple(chosen)


def _get_load(digest: messages.CellDigest, assigned_tasks: int) -> tuple[float, int]:
    return (digest.pending_tasks + assigned_tasks) / digest.workers, -digest.free.millicores


def _may_fit(size: messages.Resources, digest: messages.CellDigest) -> bool:
    """Return whether a worker of the cell may be large enough; true if shapes are unknown."""
    shapes = digest.shapes
    return not shapes or any(capacity.fits(size, shape) for shape in shapes)


def _load_record(record: Any) -> BatchRecord:
    try:
        return msgspec.convert(msgspec.to_builtins(record), BatchRecord)
    except msgspec.ValidationError as error:
        raise errors.InvalidJobError(f"the batch record is malformed: {error}") from error


def _build_specification(
    submission: Submission, version: int, record: BatchRecord
) -> model.JobSpecification:
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
