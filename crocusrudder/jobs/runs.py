"""The agent's record of the runs on its worker."""

from collections.abc import Container
from collections.abc import Iterator

import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import runtime_calls
from crocusrudder.wire import messages

RunKey = tuple[ids.TaskId, ids.TaskEpoch]

ENDED_RUN_STATES = frozenset(
    {
        messages.RunState.SUCCEEDED,
        messages.RunState.FAILED,
        messages.RunState.CHECKPOINTED,
        messages.RunState.STOPPED,
        messages.RunState.REFUSED,
    }
)


class Run:
    """One run, with the agent's calls to the runtime about it."""

    def __init__(self, status: messages.TaskStatus, size: messages.Resources) -> None:
        self.status = status
        self.size = size
        self.start: runtime_calls.StartRun | None = None
        """The call that starts the run, repeated until the runtime has confirmed it."""
        self.checkpoints: list[str] = []
        """Older checkpoints to try if the one named by ``start`` does not exist."""
        self.is_outcome_unknown = False
        """Whether an answer to ``start`` was lost, so that the run may still start."""
        self.confirmed_at: float | None = None
        """When the runtime first confirmed the run."""
        self.is_refused_before_list = False
        """Whether the start was refused before the runtime was first listed.

        The list may show that the run exists.
        """
        self.command: messages.StopTask | messages.CheckpointTask | None = None
        self.pending_calls = 0
        """Calls in flight that concern this run."""
        self.last_call_at = float("-inf")
        self.reported_at = float("-inf")

    @property
    def key(self) -> RunKey:
        return self.status.task, self.status.epoch

    @property
    def has_ended(self) -> bool:
        """Return whether the run has ended; a refused start counts as ended."""
        return self.status.state in ENDED_RUN_STATES

    @property
    def is_starting(self) -> bool:
        """Return whether the runtime has not confirmed the run yet."""
        return not self.has_ended and self.confirmed_at is None

    @property
    def forget_at(self) -> float:
        """Return the time from which the runtime may forget the run.

        While a start may still be in flight, it is prevented from starting the run again only by
        the runtime's record of the run and by its own deadline.
        """
        return (
            self.start.lease_deadline if self.start and self.is_outcome_unknown else float("-inf")
        )

    def update(self, **fields: object) -> bool:
        """Set fields of the status; return whether any value changed."""
        changed = msgspec.structs.replace(self.status, **fields)
        differs = changed != self.status
        self.status = changed
        return differs


class RunRegistry:
    """Store runs by task and epoch, the highest epoch seen per task, and acknowledged ends."""

    def __init__(self) -> None:
        self._runs: dict[RunKey, Run] = {}
        self._seen: dict[ids.TaskId, tuple[ids.TaskEpoch, float]] = {}
        self._acknowledged: dict[RunKey, float] = {}

    def __iter__(self) -> Iterator[Run]:
        """Iterate over a copy, so that runs may be dropped during the iteration."""
        return iter(list(self._runs.values()))

    @property
    def acknowledged(self) -> dict[RunKey, float]:
        """Return the runs whose ends the owner has recorded but that the runtime may still list.

        The value is the time from which the runtime may forget the run.
        """
        return self._acknowledged

    def add(self, run: Run, forget_at: float) -> None:
        """Add a run; its epoch is stored at least until ``forget_at``."""
        self._runs[run.key] = run
        self.record_epoch(*run.key, forget_at)

    def get(self, key: RunKey) -> Run | None:
        return self._runs.get(key)

    def drop(self, run: Run) -> None:
        """Remove a run whose end was acknowledged, and store it as acknowledged."""
        del self._runs[run.key]
        self._acknowledged[run.key] = run.forget_at

    def retain_acknowledged(self, listed: Container[RunKey]) -> None:
        """Drop the acknowledged runs that the runtime no longer lists."""
        retained = {key: at for key, at in self._acknowledged.items() if key in listed}
        self._acknowledged = retained

    def list_live(self) -> list[Run]:
        return [run for run in self._runs.values() if not run.has_ended]

    def list_ended(self) -> list[Run]:
        """Return the ended runs whose ends are not acknowledged."""
        return [run for run in self._runs.values() if run.has_ended]

    def find_live(self, task: ids.TaskId) -> Run | None:
        """Return the live run of a task, or None."""
        return next((run for run in self.list_live() if run.status.task == task), None)

    def record_epoch(self, task: ids.TaskId, epoch: ids.TaskEpoch, forget_at: float) -> None:
        """Record that an epoch of a task was seen."""
        highest, until = self._seen.get(task, (epoch, forget_at))
        self._seen[task] = max(highest, epoch), max(until, forget_at)

    def get_epoch(self, task: ids.TaskId) -> int:
        """Return the highest epoch seen for a task; 0 if none."""
        return self._seen[task][0] if task in self._seen else 0

    def forget_epochs(self, now: float) -> None:
        """Remove the epochs of tasks without runs, once their starts have all expired."""
        known = {task for task, _ in self._runs}
        expired = [
            task for task, (_, until) in self._seen.items() if until < now and task not in known
        ]
        for task in expired:
            del self._seen[task]
