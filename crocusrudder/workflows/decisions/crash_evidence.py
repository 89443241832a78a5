"""Evidence of an agent that its worker crashed, and of the runs that may have caused it.

A task may crash each worker that starts it. The worker's agent is on the same machine and sees the
connections close. A worker that has announced its end, or that did not respond before, is no
evidence against its runs.
"""

from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import model

CRASH_WINDOW_SECONDS = 1.0
"""Greatest age at the crash of a run that may have caused it."""
SILENCE_SECONDS = 1.5
"""Time without a response after which the end of a worker is no crash: it may have been suspended
or unreachable before. A poll that goes unanswered takes 1 s."""
RETENTION_SECONDS = 12.0
"""Time for which reports repeat a crash, several times the duration of an ownership change."""


class CrashMonitor:
    """Runs recently started on one worker, and the recent crashes of its incarnations."""

    def __init__(self) -> None:
        self._sent: dict[model.RunKey, float] = {}
        """Time of the start requests without an answer, by run."""
        self._started: dict[model.RunKey, float] = {}
        self._responded_at = float("-inf")
        self._closed_at: float | None = None
        """Time of the first closed connection since the last response."""
        self._crashes: list[tuple[float, workflow_messages.WorkerCrash]] = []

    def record_start_sent(self, run: model.RunKey, now: float) -> None:
        self._sent[run] = now

    def record_start_answered(self, run: model.RunKey, is_started: bool, now: float) -> None:
        self._sent.pop(run, None)
        if is_started:
            self._started[run] = now

    def record_start_blocked(self, run: model.RunKey) -> None:
        """Record that the worker will not start a run any more."""
        self._sent.pop(run, None)

    def record_response(self, now: float) -> None:
        """Record a response of the worker, which shows that its process exists."""
        self._responded_at = now
        self._closed_at = None

    def record_connection_closed(self, now: float) -> None:
        """Record that a call was refused, or its connection reset or closed."""
        if self._closed_at is None:
            self._closed_at = now

    def record_list(
        self, running: set[model.RunKey], ended: set[model.RunKey], requested_at: float, now: float
    ) -> None:
        """Forget the runs that have ended or that a list shows after the window."""
        self._started = {
            run: started_at
            for run, started_at in self._started.items()
            if run not in ended
            and (run not in running or requested_at - started_at < CRASH_WINDOW_SECONDS)
        }
        for run in self._sent.keys() & (running | ended):
            del self._sent[run]
            if run in running:
                # The response to the start was lost, and the start may have been delayed.
                self._started[run] = requested_at
        self.record_response(now)

    def handle_replacement(
        self, worker: workflow_messages.WorkerState, has_deregistered: bool, now: float
    ) -> None:
        """Record that another incarnation has replaced a worker, and that it crashed if it did."""
        closed_at = self._closed_at
        is_crash = (
            closed_at is not None
            and closed_at - self._responded_at < SILENCE_SECONDS
            and not worker.draining
            and not has_deregistered
        )
        if is_crash:
            suspects = self._list_suspects(closed_at)
            crash = workflow_messages.WorkerCrash(worker.worker, worker.born_ms, suspects)
            self._crashes.append((now, crash))
        self._sent.clear()
        self._started.clear()
        self._responded_at = float("-inf")
        self._closed_at = None

    def list_crashes(self, now: float) -> tuple[workflow_messages.WorkerCrash, ...]:
        """Return the crashes to report."""
        self._crashes = [item for item in self._crashes if now - item[0] < RETENTION_SECONDS]
        return tuple(crash for _, crash in self._crashes)

    def _list_suspects(self, closed_at: float) -> tuple[workflow_messages.SuspectRun, ...]:
        # The worker was alive when it responded last and when a start reached it.
        alive_at = max((self._responded_at, *self._sent.values()))
        suspects = [
            workflow_messages.SuspectRun(
                *run,
                round(max(closed_at - started_at, 0.0), 3),
                round(max(alive_at - started_at, 0.0), 3),
            )
            for run, started_at in self._started.items()
            if alive_at - started_at < CRASH_WINDOW_SECONDS
        ]
        # A start that was not answered may have been carried out at any time since.
        return (*suspects, *(workflow_messages.SuspectRun(*run, 0.0) for run in self._sent))
