"""The owner's view of agents, their workers and the runs on them."""

import array
import bisect
import enum
import math
import types
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import leases
from crocusrudder.workflows import list_completeness
from crocusrudder.workflows import model
from crocusrudder.workflows import waiting_reasons

MAX_ORDERED_RUNS = 20_000
"""Runs of a worker that are remembered after their end; they take 16 bytes each."""
AGENT_TIMEOUT_SECONDS = 1.3
"""Time without a report after which an agent gets no new starts; it reports every 0.5 s."""
UNBOUNDED_TOLERANCE_SECONDS = 0.3
"""Margin for the drift of the agents' clocks, and once more for the delay of reports."""
CPU_SHARE_RESEND_SECONDS = 2.0
"""Interval at which CPU shares are sent again, as agents do not acknowledge them."""


class AssignmentPhase(enum.Enum):
    """Phase of an assignment, from the order to start the run to the order to stop it."""

    ORDERED = "ordered"
    CONFIRMED = "confirmed"
    STOPPING = "stopping"


class Assignment:
    """A run that may exist on a worker."""

    __slots__ = (
        "is_adopted",
        "is_comparable",
        "is_far",
        "is_ignored",
        "listed_at",
        "checkpoint",
        "order_echo",
        "order_number",
        "ordered_at",
        "phase",
        "planned_on",
        "run",
        "stop_number",
        "stop_seen_at",
        "task",
        "task_name",
        "ticket",
    )

    def __init__(
        self, task_name: str, run: int, task: job_registry.Task | None, phase: AssignmentPhase
    ) -> None:
        self.task_name = task_name
        self.run = run
        self.task = task
        self.phase = phase
        self.order_number = 0
        """Number of the first orders with the start; 0 if none were sent."""
        self.stop_number = 0
        """Number of the first orders with the stop; 0 if none were sent."""
        self.stop_seen_at: float | None = None
        """When the first report confirmed the stop of a run whose task is unknown."""
        self.is_ignored = False
        """Whether the run's task is unknown and it is listed long after its stop."""
        self.order_echo = float("-inf")
        """``sent_at`` of the report that the last orders with the start echoed; infinite if an
        earlier process of the agent may have received them."""
        self.ordered_at = 0.0
        self.listed_at = 0.0
        """When a report last listed the run as running."""
        self.checkpoint = ""
        self.ticket = ""
        self.planned_on = float("inf")
        """``sent_at`` of the report on which the run was planned."""
        self.is_adopted = False
        """Whether an earlier owner ordered the run, so its CPU share on the worker is unknown."""
        self.is_comparable = False
        """Whether the time from order to end shows how long the task takes: the run was ordered in
        this epoch, started from the beginning near its data and group, and was never throttled."""
        self.is_far = False
        """Whether the run is known to be away from its data, or its stage to run in several
        racks."""

    def is_stop_unseen(self, orders_seen: int) -> bool:
        """Return whether a rejection may precede the stop of a start that may come late.

        From the agent's receipt of the stop, it reports a rejection only as the stop's outcome.
        """
        is_stopping = self.phase is AssignmentPhase.STOPPING
        is_seen = 0 < self.stop_number <= orders_seen
        return is_stopping and self.order_echo == math.inf and not is_seen

    def may_start_late(self, now: float) -> bool:
        """Return whether an earlier process of the agent may have sent a start that is not over."""
        is_recent = now - self.ordered_at < leases.LATE_START_EXPIRY_SECONDS
        return self.order_echo == math.inf and bool(self.order_number) and is_recent

    def record_order(self, number: int, echo: float, now: float) -> bool:
        """Record that orders with the start are sent; return False if it is not to be repeated."""
        if not self.order_number:
            self.order_number = number
            self.ordered_at = now
        elif now - self.ordered_at > leases.START_REPEAT_SECONDS:
            return False
        self.order_echo = max(self.order_echo, echo)
        return True


class Usage(msgspec.Struct, frozen=True):
    """Capacity that the runs on a worker take, including runs that are being stopped."""

    millicores: int = 0
    """Reserved by runs that are not best effort."""
    memory_mb: int = 0
    accelerators: int = 0
    best_effort_millicores: int = 0
    """Requested by best-effort runs, which reserve no CPU capacity."""
    latency_critical_millicores: int = 0
    latency_critical: tuple[job_registry.Task, ...] = ()
    latency_critical_stages: tuple[job_registry.StageRecord, ...] = ()
    """Stages of the tasks in ``latency_critical``."""
    served_images: tuple[model.ServedImage, ...] = ()
    """What the tasks in ``latency_critical`` run; the same object as long as it holds for further
    tasks."""
    best_effort: tuple[Assignment, ...] = ()
    """The best-effort runs that are not being stopped."""
    best_effort_by_image: dict[str, int] = {}
    """Millicores requested by the runs in ``best_effort``."""
    best_effort_counts: dict[str, int] = {}
    """Number of the runs in ``best_effort`` by image."""
    has_unknown: bool = False
    """Whether a run's task is unknown, and so is what it takes; such a run is being stopped.

    False once the stop has had no effect for ``list_checks.UNKNOWN_RUN_SECONDS``."""


class OrderedRuns:
    """The runs that this owner has assigned to one worker, of which it knows each."""

    def __init__(self) -> None:
        self._runs = array.array("q")
        """Run numbers, which rise; the members of a gang share one."""
        self._tasks = array.array("q")
        """Hashes of the names of their tasks, which take less memory."""

    def add(self, task_name: str, run: int) -> None:
        """Record a run whose number is not lower than those before."""
        self._runs.append(run)
        self._tasks.append(hash(task_name))
        if len(self._runs) > MAX_ORDERED_RUNS:
            del self._runs[: MAX_ORDERED_RUNS // 2]
            del self._tasks[: MAX_ORDERED_RUNS // 2]

    def __contains__(self, key: model.RunKey) -> bool:
        task_name, run = key
        first = bisect.bisect_left(self._runs, run)
        last = bisect.bisect_right(self._runs, run)
        return hash(task_name) in self._tasks[first:last]


class AgentView:
    """An agent, its worker and the runs that may exist on the worker."""

    def __init__(self, agent: ids.ProcessId) -> None:
        self.agent = agent
        self.worker: workflow_messages.WorkerState | None = None
        self.data_centre = ids.DataCentre("")
        self.report_sent_at = -1.0
        self.received_at = 0.0
        self.echoed_at = 0.0
        """Arrival time of the report that the latest orders echo; it bounds the lease grant."""
        self.is_reachable = False
        self.is_reconciled = False
        """Whether the worker's runs have been reported under the current ownership epoch."""
        self.list_completeness = list_completeness.ListCompleteness()
        self.has_more_ends = False
        """Whether the worker may hold ends beyond those in the last report."""
        self.address = ""
        self.registered_address = ""
        """The agent's address in its stored roster row; empty without a row."""
        self.is_declared_lost = False
        self.lost_stored_at: float | None = None
        """When the owner's row was first known to list the agent as lost; None if it does not.

        A later owner relies on the time in that row, so the agent gets no orders until it has been
        removed from the row."""
        self.unbounded_until = 0.0
        """Time up to which runs may go on however long ago the last lease grant was."""
        self.stored_unbounded_until = 0.0
        """The same as the owner's row has it."""
        self.is_evacuated = False
        """Whether the operator allows no starts in the worker's data centre."""
        self.max_runs = float("inf")
        """Number of runs from which the worker gets no more, as it is cold."""
        self.has_deregistered = False
        """Whether the worker has exited after deregistering; nothing runs until a new one joins."""
        self._assignments: dict[model.RunKey, Assignment] = {}
        self._assignments_view = types.MappingProxyType(self._assignments)
        self._task_counts: dict[job_registry.StageRecord, int] = {}
        self._usage: Usage | None = None
        self.ordered_runs = OrderedRuns()
        self.orders_sent = 0
        self.orders_seen = 0
        self.orders_unseen_since: float | None = None
        """When the first orders were sent that no report has confirmed; None if all are."""
        self.has_updates = False
        """Whether orders or acknowledgements have changed since the last orders were sent."""
        self.sent_at = 0.0
        self.last_processed_end = 0
        self.last_durable_end = 0
        self.blocked_until = 0.0
        self.set_aside_until = 0.0
        """Until when the worker counts as faulty; see ``health.select_set_aside``."""
        self.measurements: dict[str, float] = {}
        self.cpu_shares: dict[model.RunKey, int] = {}
        """Target CPU share of throttled runs in percent, by task and run; absent for 100."""
        self.cpu_shares_sent: dict[model.RunKey, int] = {}
        self.cpu_shares_resent_at = 0.0

    @property
    def is_registered(self) -> bool:
        """Return whether the roster in the store has the agent's current address."""
        return bool(self.registered_address) and self.registered_address == self.address

    @property
    def is_stored_as_lost(self) -> bool:
        """Return whether the owner's row lists the agent as lost."""
        return self.lost_stored_at is not None

    @property
    def data_centres(self) -> frozenset[ids.DataCentre]:
        """Return the data centre that the worker names and the one that its agent names."""
        named = {self.data_centre, self.worker.data_centre if self.worker else ""}
        return frozenset(ids.DataCentre(name) for name in named if name)

    @property
    def is_receiving_orders(self) -> bool:
        """Return False if reports arrive that confirm no orders; older orders have become void."""
        since = self.orders_unseen_since
        return since is None or self.received_at - since < leases.ORDER_VALID_SECONDS

    @property
    def is_lease_bound_stored(self) -> bool:
        """Return whether a later owner would wait long enough for the worker's runs to end."""
        return self.unbounded_until <= self.stored_unbounded_until

    def record_unbounded(self, seconds: float, now: float) -> None:
        """Record for how long runs may go on without a renewal, as reported.

        Small increases, as the delays of reports cause them, change nothing.
        """
        seconds = min(max(seconds, 0.0), leases.MAX_UNBOUNDED_SECONDS)
        until = now + seconds + 2 * UNBOUNDED_TOLERANCE_SECONDS if seconds else 0.0
        if not 0.0 <= until - self.unbounded_until <= UNBOUNDED_TOLERANCE_SECONDS:
            self.unbounded_until = until

    def is_schedulable(self, now: float) -> bool:
        """Return whether new runs may be assigned to the worker."""
        return self.find_block_reason(now) is None

    def find_block_reason(self, now: float) -> waiting_reasons.WaitReason | None:
        """Return why no run may be assigned to the worker; None if runs may be."""
        reasons = waiting_reasons.WaitReason
        if self.worker is None:
            return reasons.NO_WORKER
        if not self.is_registered:
            return reasons.UNREGISTERED
        if not self.is_reconciled:
            return reasons.UNRECONCILED
        if not self.is_reachable:
            return reasons.UNREACHABLE
        if self.worker.draining:
            return reasons.DRAINING
        if self.is_evacuated:
            return reasons.EVACUATED
        if self.is_declared_lost:
            return reasons.DECLARED_LOST
        if self.usage.has_unknown:
            return reasons.UNKNOWN_RUN
        if not self.is_lease_bound_stored:
            return reasons.LEASE_NOT_STORED
        if now - self.received_at >= AGENT_TIMEOUT_SECONDS:
            return reasons.NO_RECENT_REPORT
        if not self.is_receiving_orders:
            return reasons.ORDERS_UNSEEN
        return reasons.BLOCKED if now < self.blocked_until else None

    def find_run_obstacle(self, task: job_registry.Task, now: float) -> waiting_reasons.WaitReason:
        """Return why a task that is assigned to the worker is not running there."""
        reasons = waiting_reasons.WaitReason
        assignment = self._assignments.get((task.name, task.run))
        if assignment is None:
            return reasons.RUN_MISSING
        if self.is_declared_lost or now - self.received_at >= AGENT_TIMEOUT_SECONDS:
            return reasons.AGENT_SILENT
        return {
            AssignmentPhase.ORDERED: reasons.ORDER_PENDING,
            AssignmentPhase.CONFIRMED: reasons.START_PENDING,
            AssignmentPhase.STOPPING: reasons.STOP_PENDING,
        }[assignment.phase]

    @property
    def assignments(self) -> Mapping[model.RunKey, Assignment]:
        """Return the runs that may exist on the worker, by task name and run number."""
        return self._assignments_view

    @property
    def usage(self) -> Usage:
        """Return what the runs take; the same object until an assignment changes."""
        if self._usage is None:
            self._usage = _compute_usage(self._assignments.values())
        return self._usage

    @property
    def is_over_capacity(self) -> bool:
        """Return whether the runs take more than the capacity, which may have shrunk."""
        if self.worker is None:
            return False
        used, capacity = self.usage, self.worker.capacity
        return (
            used.millicores > capacity.millicores
            or used.memory_mb > capacity.memory_mb
            or used.accelerators > capacity.accelerators
        )

    def add_assignment(self, assignment: Assignment) -> None:
        key = (assignment.task_name, assignment.run)
        if key in self._assignments:
            self.remove_assignment(self._assignments[key])
        self._assignments[key] = assignment
        self._count_tasks(assignment, 1)
        if self._usage is not None:
            self._usage = _add_usage(self._usage, assignment)

    def remove_assignment(self, assignment: Assignment) -> None:
        """Remove an assignment; one that is not there is ignored."""
        removed = self._assignments.pop((assignment.task_name, assignment.run), None)
        if removed is not None:
            self._count_tasks(removed, -1)
            self._usage = None

    def count_tasks(self, stage: job_registry.StageRecord) -> int:
        """Return how many runs of a stage's tasks may exist on the worker."""
        return self._task_counts.get(stage, 0)

    def _count_tasks(self, assignment: Assignment, change: int) -> None:
        if assignment.task is None:
            return
        stage = assignment.task.stage
        count = self._task_counts.pop(stage, 0) + change
        if count:
            self._task_counts[stage] = count

    def record_agent_start(self, address: str) -> None:
        """Record a new process of the agent, which does not know what the earlier one received."""
        self.address = address
        self.report_sent_at = -1.0
        for assignment in self._assignments.values():
            assignment.order_echo = float("inf")

    def record_unsent_orders(self) -> None:
        """Make the last orders due again, because they were not sent."""
        self.has_updates = True
        for assignment in self._assignments.values():
            if assignment.order_number == self.orders_sent:
                assignment.order_number = 0

    def mark_stopping(self, assignment: Assignment) -> None:
        """Record that a run is to be stopped."""
        if assignment.phase is not AssignmentPhase.STOPPING:
            assignment.phase = AssignmentPhase.STOPPING
            self.has_updates = True
            self._usage = None

    def ignore_run(self, assignment: Assignment) -> None:
        """Give starts to the worker despite a run of an unknown task."""
        assignment.is_ignored = True
        self._usage = None

    def take_changed_cpu_shares(self, now: float) -> tuple[tuple[str, int, int], ...]:
        """Return the CPU shares to send, by task and run, and record them as sent.

        These are the changed ones; at each resend interval, all those unknown or below 100.
        """
        is_resend = now - self.cpu_shares_resent_at >= CPU_SHARE_RESEND_SECONDS
        known = dict.fromkeys(self.list_unknown_cpu_shares()) if is_resend else self.cpu_shares_sent
        self.cpu_shares_resent_at = now if is_resend else self.cpu_shares_resent_at
        self.cpu_shares_sent = dict(self.cpu_shares)
        return tuple(
            (*key, self.cpu_shares.get(key, 100))
            for key in self.cpu_shares.keys() | known.keys()
            if key in self.assignments and self.cpu_shares.get(key, 100) != known.get(key, 100)
        )

    def list_unknown_cpu_shares(self) -> list[model.RunKey]:
        """Return the best-effort runs of an earlier owner, whose CPU shares are unknown."""
        return [(run.task_name, run.run) for run in self.usage.best_effort if run.is_adopted]


def _compute_usage(assignments: Iterable[Assignment]) -> Usage:
    millicores = memory = accelerators = best_effort_millicores = latency_critical_millicores = 0
    latency_critical = []
    served_images: dict[model.ServedImage, None] = {}
    best_effort = []
    by_image: dict[str, int] = {}
    counts: dict[str, int] = {}
    has_unknown = False
    for assignment in assignments:
        if assignment.task is None:
            has_unknown = has_unknown or not assignment.is_ignored
            continue
        spec = assignment.task.stage.spec
        demand = spec.demand
        memory += demand.memory_mb
        accelerators += demand.accelerators
        if spec.best_effort:
            best_effort_millicores += demand.millicores
            if assignment.phase is not AssignmentPhase.STOPPING:
                best_effort.append(assignment)
                by_image[spec.image] = by_image.get(spec.image, 0) + demand.millicores
                counts[spec.image] = counts.get(spec.image, 0) + 1
        else:
            millicores += demand.millicores
        if spec.target_ms:
            latency_critical_millicores += demand.millicores
            latency_critical.append(assignment.task)
            served_images[spec.served_image] = None
    return Usage(
        millicores,
        memory,
        accelerators,
        best_effort_millicores,
        latency_critical_millicores,
        tuple(latency_critical),
        tuple(dict.fromkeys(task.stage for task in latency_critical)),
        tuple(served_images),
        tuple(best_effort),
        by_image,
        counts,
        has_unknown,
    )


def _add_usage(usage: Usage, assignment: Assignment) -> Usage:
    """Return the usage with one more run, without a pass over all the others.

    Load pattern: a plan that places thousands of tasks on one worker.
    """
    added = _compute_usage((assignment,))
    stages = usage.latency_critical_stages
    served_images = usage.served_images
    new_images = tuple(image for image in added.served_images if image not in served_images)
    by_image = usage.best_effort_by_image
    counts = usage.best_effort_counts
    for image, millicores in added.best_effort_by_image.items():
        by_image = by_image | {image: by_image.get(image, 0) + millicores}
        counts = counts | {image: counts.get(image, 0) + added.best_effort_counts[image]}
    return Usage(
        usage.millicores + added.millicores,
        usage.memory_mb + added.memory_mb,
        usage.accelerators + added.accelerators,
        usage.best_effort_millicores + added.best_effort_millicores,
        usage.latency_critical_millicores + added.latency_critical_millicores,
        usage.latency_critical + added.latency_critical,
        stages + tuple(s for s in added.latency_critical_stages if s not in stages),
        served_images + new_images if new_images else served_images,
        usage.best_effort + added.best_effort,
        by_image,
        counts,
        usage.has_unknown or added.has_unknown,
    )
