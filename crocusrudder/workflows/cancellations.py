"""Measure for how long the runs of cancelled jobs go on, and at which step of their stop."""

import collections
import enum

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model

ENDED = "cancellation_ended"
"""Log event of a cancelled job whose last run has ended."""
OVERDUE = "cancellation_overdue"
"""Log event of a cancelled job that still has a run after ``OVERDUE_SECONDS``."""
OVERDUE_SECONDS = 3.0
"""Time from the cancellation to the log line; callers expect all runs to have ended by 3.2 s."""
MAX_AGENTS_LOGGED = 4


class Step(enum.StrEnum):
    """Step of the stop of a run that is not complete."""

    ORDER = "order"
    """The owner has not sent the stop."""
    CONFIRMATION = "confirmation"
    """No report has confirmed that the agent received the stop."""
    END = "end"
    """The agent has received the stop but has reported no end."""


class _Stop:
    """Stop of one run, with the time at which each step was seen to be complete."""

    def __init__(self, view: fleet.AgentView, assignment: fleet.Assignment) -> None:
        self._view = view
        self._assignment = assignment
        self._completed_at: dict[Step, float] = {}

    @property
    def agent(self) -> ids.ProcessId:
        return self._view.agent

    @property
    def is_complete(self) -> bool:
        return Step.END in self._completed_at

    @property
    def open_step(self) -> Step:
        """Return the first step that is not complete."""
        return next(step for step in Step if step not in self._completed_at)

    def update(self, now: float) -> None:
        number = self._assignment.stop_number
        key = (self._assignment.task_name, self._assignment.run)
        is_complete = {
            Step.ORDER: number > 0,
            Step.CONFIRMATION: 0 < number <= self._view.orders_seen,
            Step.END: self._view.assignments.get(key) is not self._assignment,
        }
        for step in Step:
            if is_complete[step]:
                self._completed_at.setdefault(step, now)

    def list_durations(self, started_at: float) -> dict[Step, float]:
        """Return the duration of each step; a step that was skipped took no time."""
        durations = {}
        previous = started_at
        for step in Step:
            completed_at = self._completed_at.get(step, previous)
            durations[step] = round(max(completed_at - previous, 0.0), 3)
            previous = max(previous, completed_at)
        return durations


class _Cancellation:
    def __init__(self, started_at: float, stops: list[_Stop]) -> None:
        self.started_at = started_at
        self.stops = stops
        self.open_stops = stops
        self.is_logged_overdue = False


class CancellationMonitor:
    """Log one line when the last run of a cancelled job has ended, and one if that takes long."""

    def __init__(self, epoch: model.OwnerEpoch) -> None:
        self._epoch = epoch
        self._open: dict[ids.JobId, _Cancellation] = {}
        self._logged: list[effects.LogChange] = []

    def drain_log(self) -> list[effects.LogChange]:
        """Return the lines logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged

    def begin(
        self,
        record: job_registry.JobRecord,
        runs: list[tuple[fleet.AgentView, fleet.Assignment]],
        now: float,
    ) -> None:
        """Follow the runs that a job had when it was cancelled."""
        if runs:
            stops = [_Stop(view, assignment) for view, assignment in runs]
            self._open[record.job.job_id] = _Cancellation(now, stops)

    def check(self, now: float) -> None:
        """Record the steps that are complete, and log what has ended or is overdue."""
        for job, cancellation in list(self._open.items()):
            for stop in cancellation.open_stops:
                stop.update(now)
            ended = [stop for stop in cancellation.open_stops if stop.is_complete]
            cancellation.open_stops = [s for s in cancellation.open_stops if not s.is_complete]
            elapsed = now - cancellation.started_at
            if not cancellation.open_stops:
                del self._open[job]
                self._log_end(job, cancellation, ended[-1], elapsed)
            elif elapsed >= OVERDUE_SECONDS and not cancellation.is_logged_overdue:
                cancellation.is_logged_overdue = True
                self._log_overdue(job, cancellation, elapsed)

    def _log_end(
        self, job: ids.JobId, cancellation: _Cancellation, last: _Stop, elapsed: float
    ) -> None:
        durations = last.list_durations(cancellation.started_at)
        self._log(
            ENDED,
            job=job,
            runs=len(cancellation.stops),
            took_s=round(elapsed, 3),
            slowest=max(durations, key=durations.__getitem__).value,
            last_agent=last.agent,
            **{f"{step}_s": seconds for step, seconds in durations.items()},
        )

    def _log_overdue(self, job: ids.JobId, cancellation: _Cancellation, elapsed: float) -> None:
        stops = cancellation.open_stops
        counts = collections.Counter(stop.open_step.value for stop in stops)
        agents = sorted({stop.agent for stop in stops})
        self._log(
            OVERDUE,
            job=job,
            took_s=round(elapsed, 3),
            runs=len(stops),
            waiting_for=dict(counts),
            agents=agents[:MAX_AGENTS_LOGGED],
            omitted_agents=max(len(agents) - MAX_AGENTS_LOGGED, 0),
        )

    def _log(self, name: str, **fields: object) -> None:
        self._logged.append(effects.LogChange(name, {"epoch": self._epoch, **fields}))
