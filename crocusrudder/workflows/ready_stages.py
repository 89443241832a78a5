"""The stages of a job that are ready, with state for those that are worked on only.

Load pattern: a job with 100,000 occurrences that are all due, of which none can be placed. Its
stages are alike in all occurrences, so while some of a stage have no place, the next ones have
none either, and need neither state nor a search.
"""

import heapq
from collections.abc import Callable
from collections.abc import Iterator
from typing import TYPE_CHECKING

from crocusrudder.workflows import job_progress
from crocusrudder.workflows import model

if TYPE_CHECKING:
    from crocusrudder.workflows import job_registry

MAX_UNPLACED_TASKS = 32
"""Tasks of a stage, over all occurrences, that may have state without ever having had a place. One
occurrence has state whatever its number of tasks."""
MAX_EXAMINED = 1_000
"""Occurrences examined for ready stages by one iteration, at 3 us for each stage."""

_Key = tuple[int, int]
"""Occurrence and number of a stage."""


class ReadyStages:
    """Ready stages of a job, in the order of the occurrences."""

    def __init__(
        self, record: "job_registry.JobRecord", progress: job_progress.JobProgress
    ) -> None:
        self._record = record
        self._progress = progress
        self._specs: tuple[model.Stage, ...] = record.job.stages
        self._first_numbers = [n for n, spec in enumerate(self._specs) if not spec.after]
        self._followers: list[list[int]] = [[] for _ in self._specs]
        for number, spec in enumerate(self._specs):
            for other in set(spec.after):
                self._followers[other].append(number)
        self._next_occurrence = 0
        """Occurrence up to which all have been examined for ready stages."""
        self._open: dict[_Key, job_registry.StageRecord] = {}
        """Ready stages with state that are not done."""
        self._waiting: list[list[int]] = [[] for _ in self._specs]
        """Heaps of the occurrences in which a stage is ready, by number of the stage."""

    def iterate(
        self, is_due: Callable[[int], bool], may_open: bool = True
    ) -> Iterator["job_registry.StageRecord"]:
        """Yield the ready stages of the occurrences that are due.

        If ``may_open``, further ones get state as long as the caller finds places for those before.
        """
        if not may_open or self._has_state_everywhere:
            yield from [self._open[key] for key in sorted(self._open)]
            return
        unplaced = [0] * len(self._specs)
        for key in sorted(self._open):
            stage = self._open.get(key)
            if stage is not None:
                yield stage
                unplaced[stage.number] += _count_unplaced(stage)
        for stage in self._iterate_new(unplaced, is_due):
            yield stage
            unplaced[stage.number] += _count_unplaced(stage)

    @property
    def _has_state_everywhere(self) -> bool:
        """Return whether all ready stages have state, as those of most jobs without due times."""
        return self._next_occurrence >= self._record.occurrence_count and not any(self._waiting)

    def record_state(self, stage: "job_registry.StageRecord") -> None:
        """Record that a stage has got state."""
        key = (stage.occurrence, stage.number)
        if stage.occurrence < self._next_occurrence and self._is_ready(*key):
            self._open[key] = stage

    def record_done(self, stage: "job_registry.StageRecord") -> None:
        """Record that all tasks of a stage are done, which may make others ready."""
        self._open.pop((stage.occurrence, stage.number), None)
        if stage.occurrence >= self._next_occurrence:
            return
        for number in self._followers[stage.number]:
            if self._is_ready(stage.occurrence, number):
                heapq.heappush(self._waiting[number], stage.occurrence)

    def _iterate_new(
        self, unplaced: list[int], is_due: Callable[[int], bool]
    ) -> Iterator["job_registry.StageRecord"]:
        """Yield stages that get state, while ``unplaced`` counts few tasks without a place."""
        examined = 0
        while True:
            # What an earlier owner has completed is passed over before a due time is looked at.
            first_open = self._progress.first_open_occurrence
            self._next_occurrence = max(self._next_occurrence, first_open)
            numbers = [n for n, count in enumerate(unplaced) if count < MAX_UNPLACED_TASKS]
            waiting = [(self._waiting[n][0], n) for n in numbers if self._waiting[n]]
            if waiting:
                occurrence, number = min(waiting)
                heapq.heappop(self._waiting[number])
                key = (occurrence, number)
                if key not in self._open and self._is_ready(*key):
                    self._open[key] = stage = self._record.get_stage(*key)
                    yield stage
            elif (
                examined < MAX_EXAMINED
                and any(n in numbers for n in self._first_numbers)
                and self._next_occurrence < self._record.occurrence_count
                and is_due(self._next_occurrence)
            ):
                examined += 1
                self._examine_next()
            else:
                return

    def _examine_next(self) -> None:
        """Find the ready stages of the next occurrence."""
        occurrence = self._next_occurrence
        self._next_occurrence = occurrence + 1
        is_begun = self._progress.is_begun(occurrence)
        for number in range(len(self._specs)) if is_begun else self._first_numbers:
            if self._is_ready(occurrence, number):
                heapq.heappush(self._waiting[number], occurrence)

    def _is_ready(self, occurrence: int, number: int) -> bool:
        is_done = self._progress.is_stage_done
        return not is_done(occurrence, number) and all(
            is_done(occurrence, other) for other in self._specs[number].after
        )


def _count_unplaced(stage: "job_registry.StageRecord") -> int:
    """Return the number of tasks of a stage of which none has had a place."""
    return len(stage.tasks) if stage.is_untouched else 0
