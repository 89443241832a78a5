"""The rows that store the progress of a job.

Load pattern: jobs of up to 100,000 tasks, in one stage or in as many occurrences. The main row of a
job holds its state and one bit for each task. Failed runs and crashes take up to 4 KB for a task,
so those of ``TASKS_PER_PART`` consecutive tasks share a further row, a part.
"""

import itertools
from collections.abc import Iterable
from collections.abc import Mapping

from crocusrudder.workflows import errors
from crocusrudder.workflows import model
from crocusrudder.workflows import rows

TASKS_PER_PART = 16
"""Tasks whose failed runs and crashes share a row; with ``MAX_FAILED_RUNS`` they take 60 KB."""
MAX_FAILED_RUNS = 256
"""Failed runs of a task of which the numbers are kept; earlier ones are counted only."""
MAIN_ROW = -1
"""Number that stands for the main row among those of the parts."""

StoredRow = tuple[int, str, bytes | None]
"""Number, key and value of a row; None deletes it."""


class Layout:
    """Order of all tasks of a job: by occurrence, stage and index."""

    def __init__(self, job: model.Job) -> None:
        counts = [stage.task_count for stage in job.stages]
        self._offsets = [0, *itertools.accumulate(counts)]
        self._occurrences = max(job.occurrences, 1)

    @property
    def task_count(self) -> int:
        """Return the number of tasks in all occurrences."""
        return self._offsets[-1] * self._occurrences

    @property
    def occurrence_tasks(self) -> int:
        """Return the number of tasks in one occurrence."""
        return self._offsets[-1]

    def get_task_count(self, stage: int) -> int:
        """Return the number of tasks of a stage in one occurrence."""
        return self._offsets[stage + 1] - self._offsets[stage]

    def get_position(self, occurrence: int, stage: int, index: int = 0) -> int:
        """Return the position of a task; raise ``ValueError`` if the job has no such task."""
        is_known = 0 <= occurrence < self._occurrences and 0 <= stage < len(self._offsets) - 1
        if not is_known or not 0 <= index < self._offsets[stage + 1] - self._offsets[stage]:
            raise ValueError(f"no task {occurrence}.{stage}.{index}")
        return occurrence * self._offsets[-1] + self._offsets[stage] + index

    def find_part(self, key: str) -> int:
        """Return the part of a key of ``Progress.failures``; raise ``ValueError`` for others."""
        numbers = [int(number) for number in key.split(".")]
        if len(numbers) not in (2, 3):
            raise ValueError(f"no key of failed runs: {key[: rows.MAX_QUOTED]!r}")
        return self.get_position(*numbers) // TASKS_PER_PART


class JobProgress:
    """Progress of a job, and which of its rows are not stored yet."""

    def __init__(self, job: model.Job, progress: model.Progress | None) -> None:
        self._job_id = job.job_id
        self._layout = Layout(job)
        self._progress = progress or model.Progress()
        self._keys: dict[int, set[str]] = {}
        """Keys of failed runs and crashes, by part."""
        self._unsaved: set[int] = set()
        for key in (*self._progress.failures, *self._progress.crashes):
            self._keys.setdefault(self._layout.find_part(key), set()).add(key)
        self._stored_parts = set(self._keys)
        """Parts of which a row may exist."""
        if self._progress.format < model.PROGRESS_FORMAT:
            self._convert()
        if self._progress.state in model.FINAL_STATES:
            self._clear_parts()

    @property
    def progress(self) -> model.Progress:
        return self._progress

    @property
    def unsaved(self) -> frozenset[int]:
        """Return the numbers of the rows that are in no commit."""
        return frozenset(self._unsaved)

    @property
    def is_complete(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        return self.done_count == self._layout.task_count

    @property
    def done_count(self) -> int:
        return int.from_bytes(self._progress.done_tasks, "little").bit_count()

    def mark_unsaved(self, numbers: Iterable[int] = (MAIN_ROW,)) -> None:
        self._unsaved.update(numbers)

    def is_done(self, occurrence: int, stage: int, index: int) -> bool:
        """Return whether a task is done."""
        byte, bit = divmod(self._layout.get_position(occurrence, stage, index), 8)
        done = self._progress.done_tasks
        return byte < len(done) and bool(done[byte] >> bit & 1)

    def is_stage_done(self, occurrence: int, stage: int) -> bool:
        """Return whether all tasks of a stage are done."""
        return not self.count_left(occurrence, stage)

    def count_left(self, occurrence: int, stage: int) -> int:
        """Return how many tasks of a stage are not done."""
        first = self._layout.get_position(occurrence, stage)
        count = self._layout.get_task_count(stage)
        return count - self._count_done(first, count)

    def is_begun(self, occurrence: int) -> bool:
        """Return whether a task of an occurrence is done."""
        first = self._layout.get_position(occurrence, 0)
        return self._count_done(first, self._layout.occurrence_tasks) > 0

    @property
    def first_open_occurrence(self) -> int:
        """Return the first occurrence with a task that is not done; their number if all are."""
        done = int.from_bytes(self._progress.done_tasks, "little")
        # Adding 1 carries through the lowest bits that are set.
        first = (done ^ (done + 1)).bit_length() - 1
        return first // self._layout.occurrence_tasks

    def _count_done(self, first: int, count: int) -> int:
        """Return how many of consecutive tasks are done."""
        start, end = first // 8, -(-(first + count) // 8)
        bits = int.from_bytes(self._progress.done_tasks[start:end], "little")
        return (bits >> first % 8 & (1 << count) - 1).bit_count()

    def set_done(self, occurrence: int, stage: int, index: int, key: str) -> None:
        """Record that a task is done, and forget the failed runs and crashes under its key."""
        self._set_bit(self._layout.get_position(occurrence, stage, index))
        self.mark_unsaved()
        progress = self._progress
        if key in progress.failures or key in progress.crashes:
            for entries in (progress.failures, progress.omitted_failures, progress.crashes):
                entries.pop(key, None)
            part = self._layout.find_part(key)
            self._keys[part].discard(key)
            self._unsaved.add(part)

    def count_failure(self, key: str, run: int) -> int:
        """Record a failed run, once per run number; return how many runs have failed."""
        progress = self._progress
        runs = progress.failures.get(key, ())
        omitted = progress.omitted_failures.get(key, 0)
        is_known = run in runs or (omitted and run < min(runs))
        if not is_known:
            runs = (*runs, run)
            if len(runs) > MAX_FAILED_RUNS:
                oldest = min(runs)
                runs = tuple(other for other in runs if other != oldest)
                omitted += 1
                progress.omitted_failures[key] = omitted
            progress.failures[key] = runs
            self._mark_key(key)
        return len(runs) + omitted

    def set_crashes(self, key: str, history: model.CrashHistory) -> None:
        """Record the crashes of workers under a task."""
        self._progress.crashes[key] = history
        self._mark_key(key)

    def finish(self, state: model.JobState, wall_time: float) -> None:
        """Record a final state, from which on failed runs and crashes do not matter."""
        self._progress.state = state
        self._progress.finished_at = wall_time
        self.mark_unsaved()
        self._clear_parts()

    def take_rows(self, limit: int) -> list[StoredRow]:
        """Return at most ``limit`` of the unsaved rows, which count as saved from now on."""
        numbers = sorted(self._unsaved)[:limit]
        self._unsaved.difference_update(numbers)
        return [self._encode(number) for number in numbers]

    def _encode(self, number: int) -> StoredRow:
        if number == MAIN_ROW:
            return number, self._job_id, rows.encode_progress(self._progress)
        keys = self._keys.get(number)
        key = rows.make_progress_key(self._job_id, number)
        if not keys:
            self._stored_parts.discard(number)
            return number, key, None
        self._stored_parts.add(number)
        return number, key, rows.encode_progress_part(self._progress, keys)

    def _mark_key(self, key: str) -> None:
        part = self._layout.find_part(key)
        self._keys.setdefault(part, set()).add(key)
        self._unsaved.add(part)

    def _set_bit(self, position: int) -> None:
        done = self._progress.done_tasks
        byte, bit = divmod(position, 8)
        done.extend(bytes(max(byte + 1 - len(done), 0)))
        done[byte] |= 1 << bit

    def _clear_parts(self) -> None:
        progress = self._progress
        for entries in (progress.failures, progress.omitted_failures, progress.crashes):
            entries.clear()
        self._unsaved = (self._unsaved & {MAIN_ROW}) | self._stored_parts
        self._keys.clear()

    def _convert(self) -> None:
        """Convert the progress that an earlier release stored in one row."""
        for key, bits in self._progress.done.items():
            occurrence, stage = map(int, key.split("."))
            first = self._layout.get_position(occurrence, stage)
            for index, byte in enumerate(bits):
                for bit in range(8):
                    if byte >> bit & 1:
                        self._set_bit(first + 8 * index + bit)
        if self._progress.done or self._keys:
            self._unsaved = {MAIN_ROW, *self._keys}
        self._progress.done = {}
        self._progress.format = model.PROGRESS_FORMAT


def decode(job: model.Job, stored: Mapping[int, bytes | None]) -> model.Progress:
    """Decode the progress in a job's rows, given by number.

    Raises ``UnreadableRowError`` for a value that is malformed or does not fit the job.
    """
    progress = model.Progress(format=model.PROGRESS_FORMAT)
    if MAIN_ROW in stored:
        progress = rows.decode_progress(stored[MAIN_ROW])
    for number, value in sorted(stored.items()):
        if number != MAIN_ROW:
            part = rows.decode_progress_part(value)
            progress.failures |= part.failures
            progress.omitted_failures |= part.omitted_failures
            progress.crashes |= part.crashes
    try:
        _check(job, progress)
    except ValueError as error:
        raise errors.UnreadableRowError(f"row does not fit its job: {error}") from error
    return progress


def _check(job: model.Job, progress: model.Progress) -> None:
    """Raise ``ValueError`` if the progress does not fit the job's stages."""
    layout = Layout(job)
    for key, bits in progress.done.items():
        occurrence, stage = map(int, key.split("."))
        layout.get_position(occurrence, stage)
        if len(bits) != -(-job.stages[stage].task_count // 8):
            raise ValueError(f"{len(bits)} bytes of bits for {key[: rows.MAX_QUOTED]!r}")
    if int.from_bytes(progress.done_tasks, "little").bit_length() > layout.task_count:
        raise ValueError(f"bits of more than {layout.task_count} tasks")
    for key in (*progress.failures, *progress.omitted_failures, *progress.crashes):
        layout.find_part(key)
