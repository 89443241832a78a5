"""Checks of what workers list: entries that cannot be true, and runs that no list can confirm.

Load pattern: another program writes an entry into a worker's list, or a worker answers polls but
neither starts nor stops. Taken at its word, one entry keeps a worker or a task from being used for
as long as it is listed.
"""

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import leases
from crocusrudder.workflows import model

POLL_SECONDS = 1.5
"""Longest time from the request of a list to its receipt by the agent."""
UNKNOWN_RUN_SECONDS = 2.0
"""Time after an agent has received the stop of a run of an unknown task from which the run no
longer keeps its worker from starts. A stop takes 0.2 s in the users' deployments, and accepted jobs
wait for 3 s at most."""
MAX_LOGGED_ENTRIES = 100
"""Lines per incarnation of a worker. A list may hold 50,000 entries, whose lines would hold up the
owner for 1.8 s, about as long as its lease."""

RUN_LEFT_OUT = "run_number_implausible"
"""Log event of a listed run or end that no owner can have ordered; it is left out."""
END_LEFT_OUT = "end_implausible"
"""Log event of a listed end of a run that no owner has ordered on the worker; it is left out."""
START_EXPIRED = "start_expired"
"""Log event of a run that is not listed and can no longer begin."""
UNKNOWN_RUN_IGNORED = "unknown_run_ignored"
"""Log event of a run of an unknown task that is listed although it was stopped."""


class ListFilter:
    """Leave out the entries of workers' lists that no owner can have caused.

    Each is logged once per incarnation of its worker, up to ``MAX_LOGGED_ENTRIES``.
    """

    def __init__(self, epoch: model.OwnerEpoch, jobs: job_registry.JobRegistry) -> None:
        self._epoch = epoch
        self._job_registry = jobs
        self._known: dict[ids.ProcessId, tuple[tuple[ids.WorkerId, int], set[object]]] = {}
        """Entries left out so far, with the incarnation of the worker, by agent."""
        self._logged: list[effects.LogChange] = []

    def drain_log(self) -> list[effects.LogChange]:
        """Return the entries left out since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged

    def is_run_plausible(self, view: fleet.AgentView, task: str, run: int) -> bool:
        """Return whether an owner up to this one may have given a listed run its number.

        One that none has is not stopped: the worker would then refuse all lower runs of the task.
        """
        lowest = job_registry.RUNS_PER_EPOCH
        # An epoch with more runs than are reserved for it uses numbers of the next one.
        if lowest < run <= (self._epoch + 2) * job_registry.RUNS_PER_EPOCH:
            return True
        self._log_once(view, (task, run), RUN_LEFT_OUT, task=task, run=run)
        return False

    def is_end_plausible(self, view: fleet.AgentView, task: str, run: int) -> bool:
        """Return whether an owner up to this one may have ordered the run of a listed end.

        The number of another writer's end may be ahead of the worker's. To acknowledge it would
        make the worker forget its next ends, which nobody has read. This owner knows each run that
        it has ordered; one of an earlier owner is of a known task.
        """
        if not self.is_run_plausible(view, task, run):
            return False
        if run > self._epoch * job_registry.RUNS_PER_EPOCH:
            is_ordered = (task, run) in view.ordered_runs
        else:
            is_ordered = self._job_registry.find_task(task) is not None
        if not is_ordered:
            self._log_once(view, (task, run, "end"), END_LEFT_OUT, task=task, run=run)
        return is_ordered

    def _log_once(self, view: fleet.AgentView, entry: object, name: str, **fields: object) -> None:
        incarnation = view.worker.incarnation
        if self._known.get(view.agent, (None,))[0] != incarnation:
            self._known[view.agent] = (incarnation, set())
        known = self._known[view.agent][1]
        if entry not in known and len(known) < MAX_LOGGED_ENTRIES:
            known.add(entry)
            fields = {"epoch": self._epoch, "agent": view.agent, **fields}
            self._logged.append(effects.LogChange(name, fields))


def list_expired(
    view: fleet.AgentView, report: workflow_messages.AgentReport, now: float
) -> list[fleet.Assignment]:
    """Return the runs that are not listed and whose start can no longer begin.

    Their agents get no answer to the start and to the stop, or the worker refuses the stop. While a
    list may not name all runs, such a run may be at work.
    """
    if view.list_completeness.is_incomplete or now < view.unbounded_until:
        return []
    requested_at = now - report.list_age_seconds - POLL_SECONDS
    return [
        assignment
        for assignment in view.assignments.values()
        if requested_at - _get_known_at(assignment) >= leases.START_EXPIRY_SECONDS
    ]


def list_unstoppable(
    view: fleet.AgentView, report: workflow_messages.AgentReport, now: float
) -> list[fleet.Assignment]:
    """Return the runs of unknown tasks that their stop has not ended in time.

    Such an entry may be no run at all, so it must not keep the worker from starts for good.
    """
    if not (view.usage.has_unknown and report.reachable):
        return []
    stopped = [
        assignment
        for assignment in view.assignments.values()
        if assignment.task is None
        and not assignment.is_ignored
        and 0 < assignment.stop_number <= report.orders_seen
    ]
    for assignment in stopped:
        if assignment.stop_seen_at is None:
            assignment.stop_seen_at = now
    return [item for item in stopped if now - item.stop_seen_at >= UNKNOWN_RUN_SECONDS]


def _get_known_at(assignment: fleet.Assignment) -> float:
    """Return when a run was last listed, or else ordered or assigned."""
    assigned_at = assignment.task.assigned_at if assignment.task else 0.0
    return max(assigned_at, assignment.ordered_at, assignment.listed_at)
