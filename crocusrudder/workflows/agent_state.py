"""State of an agent: its worker, the worker's runs and the orders of the owner.

The agent itself decides two things only: until when the worker's lease may be renewed, which
follows from the last lease grant, and whether an order is recent enough to be executed.
"""

from collections.abc import Set

import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import worker
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import leases
from crocusrudder.workflows import list_completeness
from crocusrudder.workflows import model
from crocusrudder.workflows import worker_identity
from crocusrudder.workflows import worker_lease
from crocusrudder.workflows.decisions import crash_evidence

REACHABLE_SECONDS = 1.5
"""Greatest age of the last response of a reachable worker; lists are requested every 1 s."""
REJECTION_RETENTION_SECONDS = 5.0
"""Time for which reports repeat a rejection."""
STOP_REPEAT_SECONDS = 1.0
"""Time after an accepted stop from which an order of the owner repeats it; a stop takes 0.2 s."""
DEREGISTRATION_TIMEOUT_SECONDS = 0.7
"""Time without a response after which a deregistered worker has ended; calls take 0.5 s at most."""
MAX_ORDERS_REMEMBERED = 4_096
"""Runs whose start or stop orders are recognised as repeated."""
MAX_EPOCH_STEP = 100_000
"""Greatest step to the epoch of a new owner; takeovers each 3 s reach it after 3.5 days, and the
owner's row, which is read while no owner is heard, allows more."""
MAX_LIST_AGE_SECONDS = 0.1
"""Greatest age of a list whose ends are acknowledged. A worker that restarts under its id numbers
its ends anew, and is away for longer than this."""


class AgentState:
    """State of one agent. Times are seconds on the agent's clock, which counts suspension."""

    def __init__(self, lease_seconds: float, now: float) -> None:
        self._lease_seconds = min(leases.LEASE_SECONDS, lease_seconds)
        self._identity = worker_identity.WorkerIdentity()
        # An earlier agent process may have known of a greater capacity than this one.
        self._capacity_shrunk_at = now
        self._epoch = 0
        self._row_epoch = 0
        self._listed_epoch = 0
        self._granted_at = float("-inf")
        self._worker_lease = worker_lease.WorkerLease(lease_seconds, now)
        self._clock: tuple[int, float] | None = None
        self._responded_at = float("-inf")
        self._running: dict[model.RunKey, workflow_messages.RunningTask] = {}
        self._started: dict[model.RunKey, float] = {}
        self._starting: set[model.RunKey] = set()
        self._ended: dict[int, workflow_messages.EndedRun] = {}
        self._listed_at = float("-inf")
        self._list_received_at = now
        self._listed_ends: tuple[int, ...] = ()
        self._has_unreadable = False
        self._completeness = list_completeness.ListCompleteness()
        """Completeness of the running tasks."""
        self._ends_completeness = list_completeness.ListCompleteness()
        self._poll_failed_at = float("-inf")
        self._rejected: dict[model.RunKey, tuple[str, float]] = {}
        self._received: dict[model.RunKey, bool] = {}
        self._stopping: set[model.RunKey] = set()
        """Runs of which the agent itself repeats the stop until the worker accepts it."""
        self._stopped: dict[model.RunKey, float] = {}
        """When the worker accepted the stop of a run."""
        self._blocked: dict[model.RunKey, float] = {}
        self._unanswered: dict[model.RunKey, float] = {}
        """When a start failed without a response, for ``leases.LATE_CALL_SECONDS``."""
        self._unproven: set[model.RunKey] = set()
        """Runs whose start may have reached the current incarnation instead of an earlier one."""
        self._unblocked: list[model.RunKey] = []
        """Runs to be stopped on the current incarnation, as their start may still reach it."""
        self._orders_seen = 0
        self._acknowledged = 0
        self._owner_heard_at = float("-inf")
        self._crash_monitor = crash_evidence.CrashMonitor()

    @property
    def current_worker(self) -> workflow_messages.WorkerState | None:
        """Return the state that the current worker sent last; None before the first heartbeat."""
        return self._identity.followed

    @property
    def current_incarnation(self) -> worker_identity.Incarnation | None:
        """Return the incarnation that the agent follows; None before the first heartbeat."""
        return self.current_worker and self.current_worker.incarnation

    @property
    def identity(self) -> worker_identity.WorkerIdentity:
        """Return which worker is current, and the candidates to replace it."""
        return self._identity

    @property
    def epoch(self) -> int:
        """Return the highest ownership epoch received; 0 for none."""
        return self._epoch

    @property
    def acknowledged(self) -> int:
        """Return the number up to which ends may be acknowledged to the worker.

        It is 0 until a list follows a failed poll: the worker may have restarted under its id, and
        ends of the new incarnation that the agent has not read would be dropped.
        """
        return 0 if self._may_have_restarted else self._acknowledged

    def get_end_to_acknowledge(self, now: float) -> int:
        """Return the number up to which the next poll acknowledges ends; 0 for none.

        The worker may restart under its id at any time and would drop ends of the new incarnation
        up to that number. So ends are acknowledged only right after a list that names them.
        """
        is_recent = now - self._list_received_at <= MAX_LIST_AGE_SECONDS
        return self.acknowledged if is_recent and self.has_ends_to_acknowledge else 0

    @property
    def _may_have_restarted(self) -> bool:
        return self._poll_failed_at > self._listed_at

    @property
    def is_list_due(self) -> bool:
        """Return whether the next list is needed at once, without waiting for an end."""
        return (
            self._clock is None or self._listed_epoch != self._epoch or self.has_ends_to_acknowledge
        )

    @property
    def has_ends_to_acknowledge(self) -> bool:
        """Return whether the worker's last list holds ends that are already durable."""
        return any(number <= self._acknowledged for number in self._listed_ends)

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Return whether the last list holds ends that are not durable yet or cannot be read."""
        return bool(self._ended) or self._has_unreadable

    def is_starting(self, run: model.RunKey) -> bool:
        """Return whether the outcome of a start is unknown and no stop of it was answered."""
        return run in self._starting

    def is_stopping(self, run: model.RunKey) -> bool:
        """Return whether an ordered stop has been neither accepted nor made obsolete by an end."""
        return run in self._stopping

    def is_owner_unresponsive(self, now: float) -> bool:
        """Return whether the owner has to be looked up in the store."""
        return now - self._owner_heard_at >= leases.OWNER_TIMEOUT_SECONDS

    def handle_heartbeat(
        self, state: workflow_messages.WorkerState, sequence: int, now: float
    ) -> bool:
        """Apply a heartbeat; return whether it changes the state of the current worker."""
        known = self.current_worker
        self._identity.handle_heartbeat(state, sequence, now)
        current = self.current_worker
        if current is None or known == current:
            return False
        if not known.capacity.is_within(current.capacity):
            self._capacity_shrunk_at = now
        return True

    def record_probe_answer(
        self, incarnation: worker_identity.Incarnation, born_ms: int, now: float
    ) -> bool:
        """Record a worker's response to a probe; return whether it is the current one now."""
        known = self.current_worker
        has_deregistered = self._identity.deregistered_at is not None
        if not self._identity.record_probe_answer(incarnation, born_ms, now):
            return False
        if known is not None:
            self._crash_monitor.handle_replacement(known, has_deregistered, now)
            self._start_incarnation(incarnation[0] == known.worker, now)
        return True

    def handle_deregistration(self, worker_id: str, now: float) -> bool:
        """Record that a worker is ending with its runs; return whether it is the current one."""
        return self._identity.handle_deregistration(worker_id, now)

    def record_grant(self, epoch: int, requested_at: float) -> None:
        """Record that the owner's row granted renewals as of a time on the agent's clock.

        The row of any other epoch grants nothing: an owner that has sent this process no orders yet
        may be about to start the tasks on other workers, so it has to grant renewals itself.
        """
        if epoch != self._epoch:
            return
        self._granted_at = max(self._granted_at, requested_at)

    def record_row_epoch(self, epoch: int) -> None:
        """Record the epoch in the owner's row."""
        self._row_epoch = epoch

    def is_epoch_plausible(self, epoch: int) -> bool:
        """Return whether an owner may have this epoch.

        The agent passes its epoch to the worker, which refuses all lower ones for good.
        """
        return epoch <= max(self._epoch, self._row_epoch) + MAX_EPOCH_STEP

    def handle_orders(
        self, orders: workflow_messages.AgentOrders, now: float
    ) -> workflow_messages.AgentOrders | None:
        """Return the orders to execute, without repeated ones; None if they are stale."""
        if orders.epoch < self._epoch or not self.is_epoch_plausible(orders.epoch):
            return None
        if orders.epoch > self._epoch:
            self._orders_seen = 0
            self._epoch = orders.epoch
        self._owner_heard_at = now
        self._granted_at = max(self._granted_at, orders.echo)
        current = self.current_worker
        if now - orders.echo > leases.ORDER_VALID_SECONDS or current is None:
            return None
        if current.incarnation != (orders.worker, orders.born_ms):
            return None
        self._orders_seen = max(self._orders_seen, orders.number)
        self._acknowledged = max(self._acknowledged, orders.acknowledged)
        starts = tuple(
            order for order in orders.starts if (order.task, order.run) not in self._received
        )
        for order in starts:
            self._record_received((order.task, order.run), is_stop=False)
        stops = tuple(run for run in orders.stops if self._is_stop_due(run, now))
        for run in stops:
            self._record_received(run, is_stop=True)
            self._rejected.pop(run, None)
            self._stopping.add(run)
        return msgspec.structs.replace(orders, starts=starts, stops=stops)

    def find_rejection(
        self, order: workflow_messages.StartOrder, echo: float, now: float
    ) -> model.RejectReason | None:
        """Return why a start must not be sent to the worker any more; None if it may be.

        The owner repeats a start that was lost. One that was planned before the worker's capacity
        shrank may exceed it, and not all workers reject such a start themselves.
        """
        if now - echo > leases.ORDER_VALID_SECONDS:
            return model.RejectReason.NOT_READY
        if self._received.get((order.task, order.run)):
            # The stop of the run was received while the start waited for its turn.
            return model.RejectReason.STALE_RUN
        if order.planned_on < self._capacity_shrunk_at:
            return model.RejectReason.NO_CAPACITY
        if self._may_have_restarted:
            # The owner releases all runs of a replaced worker, so a run that the new incarnation
            # started for the old one would soon run a second time elsewhere.
            return model.RejectReason.NO_RESPONSE
        return None

    def take_unblocked(self) -> list[model.RunKey]:
        """Return the runs to stop on the current incarnation since the last call."""
        unblocked, self._unblocked = self._unblocked, []
        return unblocked

    def record_start_failure(self, run: model.RunKey, now: float) -> None:
        """Record that a start had no response, so it may still be executed."""
        self._unanswered[run] = now

    def record_start_sent(self, run: model.RunKey, now: float) -> None:
        self._starting.add(run)
        self._crash_monitor.record_start_sent(run, now)

    def record_start_result(
        self, run: model.RunKey, rejected: model.RejectReason | None, now: float
    ) -> None:
        is_open = run in self._starting
        self._starting.discard(run)
        is_started = rejected is None and is_open
        self._crash_monitor.record_start_answered(run, is_started, now)
        if is_started:
            self._started[run] = now
        elif rejected is not None and not self._received.get(run):
            # An earlier process may have sent the start too: only the answered stop excludes it.
            self._rejected[run] = (rejected.value, now)
            self._unproven.discard(run)

    def record_stop_result(self, run: model.RunKey, accepted: bool, now: float) -> None:
        """Record the response to a stop; one that was not accepted had no effect.

        The next list shows what became of the run: it is still stopping, has ended, or will never
        start.
        """
        if accepted:
            self._starting.discard(run)
            self._stopping.discard(run)
            self._stopped[run] = now
            self._blocked[run] = now
            self._crash_monitor.record_start_blocked(run)

    def record_stop_failure(self, run: model.RunKey) -> None:
        """Record that the agent no longer repeats a stop; the owner's next order repeats it."""
        self._stopping.discard(run)

    def get_lease_end_ms(self, now: float) -> int | None:
        """Return the end of the lease on the worker's clock; None if it cannot be renewed.

        The lease of an unresponsive worker is not extended, so that its runs end in time. Each
        returned end is assumed to reach the worker, so the lease counts as expired only after it.
        """
        if self._clock is None or now - self._responded_at > REACHABLE_SECONDS:
            return None
        clock_ms, read_at = self._clock
        remaining = self._granted_at + self._lease_seconds - now
        if remaining <= 0:
            return None
        # Least time by which the worker's clock has advanced since it was read.
        elapsed = (now - read_at) * (1 - leases.WORKER_CLOCK_ERROR)
        self._worker_lease.record_renewal(now + remaining)
        return clock_ms + round((elapsed + remaining) * 1_000)

    def handle_list(
        self, listed: worker.RunList, epoch: int, requested_at: float, now: float
    ) -> bool:
        """Apply a response to ``poll_runs``; return whether runs, ends or epoch changed."""
        if requested_at < self._listed_at or epoch < self._listed_epoch:
            return False
        self._listed_at = requested_at
        self._list_received_at = now
        before = (tuple(self._running), tuple(self._ended), self._listed_epoch)
        self._record_clock(listed.clock_ms, now)
        self._responded_at = now
        self._listed_epoch = epoch
        listed_runs = {(entry.task, entry.run): entry for entry in listed.running}
        ended_runs = {(entry.task, entry.run) for entry in listed.ended}
        self._has_unreadable = listed.unreadable > 0
        self._completeness.record(listed.is_complete, now)
        may_miss_runs = self._completeness.may_miss_runs(now)
        ended = {entry.number: entry for entry in listed.ended}
        self._listed_ends = tuple(ended)
        self._ended = {
            number: entry for number, entry in ended.items() if number > self._acknowledged
        }
        self._ends_completeness.record(not listed.has_more_ends, now, bool(self._ended))
        self._resolve_unproven(listed_runs.keys() | ended_runs, requested_at, now)
        self._started = {
            run: at
            for run, at in self._started.items()
            if (at > requested_at or may_miss_runs) and run not in ended_runs
        }
        # The response to the start of a run that has ended may arrive after the end.
        self._starting -= ended_runs
        self._stopping -= ended_runs
        earlier = self._running if may_miss_runs else {}
        present = {run: entry for run, entry in earlier.items() if run not in ended_runs}
        self._running = present | listed_runs
        self._crash_monitor.record_list(set(listed_runs), ended_runs, requested_at, now)
        self._resolve_blocked(listed_runs.keys(), requested_at, now)
        self._discard_old(now)
        return before != (tuple(self._running), tuple(self._ended), self._listed_epoch)

    def record_poll_failure(self, now: float) -> None:
        """Record that a poll had no usable response, as when the worker restarts meanwhile."""
        self._poll_failed_at = now

    def record_stale_renewal(self, now: float) -> None:
        """Record that another incarnation with the worker's id has executed a renewal."""
        self._worker_lease.record_stale_renewal(now)

    def get_unbounded_seconds(self, now: float) -> float:
        """Return for how long runs may go on however long ago the last renewal was."""
        return self._worker_lease.get_unbounded_seconds(now)

    def record_response(self, clock_ms: int, now: float) -> bool:
        """Record a response of the worker; ``clock_ms`` is 0 if it held no clock reading.

        Return whether the reading is that of another clock.
        """
        self._responded_at = now
        self._crash_monitor.record_response(now)
        return self._record_clock(clock_ms, now)

    def _record_clock(self, clock_ms: int, now: float) -> bool:
        """Record a reading of the clock; return whether it is that of another incarnation."""
        if not clock_ms:
            return False
        known, self._clock = self._clock, (clock_ms, now)
        if known is None or self._worker_lease.is_clock_plausible(clock_ms, known, now):
            return False
        # The call that was answered carried a time that the other clock had given.
        self._worker_lease.record_stale_renewal(now)
        return True

    def record_call_failure(
        self, worker_id: ids.WorkerId, is_connection_closed: bool, now: float
    ) -> None:
        """Record that a call to a worker failed, and whether its machine closed the connection."""
        known = self.current_worker
        if is_connection_closed and known is not None and known.worker == worker_id:
            self._crash_monitor.record_connection_closed(now)

    def make_report(self, data_centre: ids.DataCentre, now: float) -> workflow_messages.AgentReport:
        """Return the complete state; forgets the runs if their leases have expired."""
        has_ended = self._has_worker_ended(now)
        expired = has_ended or self._is_lease_expired(now)
        if expired:
            self._clear_runs()
        unlisted = tuple(
            workflow_messages.RunningTask(task, run)
            for task, run in self._started
            if (task, run) not in self._running
        )
        return workflow_messages.AgentReport(
            data_centre,
            now,
            self._listed_epoch,
            self._orders_seen,
            self.current_worker,
            now - self._responded_at < REACHABLE_SECONDS,
            expired,
            (*self._running.values(), *unlisted),
            (*self._starting, *self._blocked),
            tuple(self._ended[number] for number in sorted(self._ended)),
            tuple(
                workflow_messages.RejectedRun(task, run, reason)
                for (task, run), (reason, _) in self._rejected.items()
            ),
            has_ended,
            now - self._list_received_at,
            self._crash_monitor.list_crashes(now),
            self._completeness.is_incomplete or self._ends_completeness.is_incomplete,
            self._ends_completeness.is_incomplete,
            self._worker_lease.get_unbounded_seconds(now),
        )

    def _resolve_unproven(self, listed: Set[model.RunKey], requested_at: float, now: float) -> None:
        """Reject the runs that an earlier incarnation took with it.

        The current one would list a run whose start it has answered, or its end.
        """
        if self._completeness.may_miss_runs(now) or self._ends_completeness.may_miss_runs(now):
            return
        self._unproven -= listed
        answered = self._unproven & self._started.keys()
        gone = {run for run in answered if self._started[run] <= requested_at}
        for run in gone:
            del self._started[run]
            self._rejected[run] = (model.RejectReason.NOT_READY.value, now)
        self._unproven -= gone

    def _resolve_blocked(self, listed: Set[model.RunKey], requested_at: float, now: float) -> None:
        """Reject stopped runs that are missing from a list requested after the stop.

        A run whose end is not listed yet may have ended as done before the stop.
        """
        if self._ends_completeness.may_miss_runs(now):
            return
        # An incomplete list does not show that a run has ended, but the time since the stop does.
        if self._completeness.is_incomplete:
            requested_at = min(requested_at, now - leases.STOP_TIMEOUT_SECONDS)
        resolved = [run for run, stopped_at in self._blocked.items() if stopped_at < requested_at]
        for run in resolved:
            del self._blocked[run]
            if run not in listed and not self._is_listed_as_ended(run):
                self._started.pop(run, None)
                self._running.pop(run, None)
                self._rejected[run] = (model.RejectReason.NO_RESPONSE.value, now)
                self._unproven.discard(run)

    def _is_stop_due(self, run: model.RunKey, now: float) -> bool:
        stopped_at = self._stopped.get(run, float("-inf"))
        return run not in self._stopping and now - stopped_at >= STOP_REPEAT_SECONDS

    def _is_lease_expired(self, now: float) -> bool:
        """Return whether the worker cannot be running anything."""
        # An unanswered start carries the end of the lease, so the run cannot start after that.
        unanswered = now - self._responded_at > REACHABLE_SECONDS
        return unanswered and self._worker_lease.is_over(now)

    def _has_worker_ended(self, now: float) -> bool:
        """Return whether the worker has deregistered and no longer responds."""
        at = self._identity.deregistered_at
        silent_since = self._responded_at if at is None else max(at, self._responded_at)
        return at is not None and now - silent_since >= DEREGISTRATION_TIMEOUT_SECONDS

    def _is_listed_as_ended(self, run: model.RunKey) -> bool:
        return any((entry.task, entry.run) == run for entry in self._ended.values())

    def _record_received(self, run: model.RunKey, is_stop: bool) -> None:
        self._received[run] = is_stop
        while len(self._received) > MAX_ORDERS_REMEMBERED:
            self._received.pop(next(iter(self._received)))

    def _discard_old(self, now: float) -> None:
        old = now - REJECTION_RETENTION_SECONDS
        self._rejected = {run: item for run, item in self._rejected.items() if item[1] > old}
        self._stopped = {run: at for run, at in self._stopped.items() if at > old}
        late = now - leases.LATE_CALL_SECONDS
        self._unanswered = {run: at for run, at in self._unanswered.items() if at > late}

    def _clear_runs(self) -> None:
        self._running = {}
        self._started = {}
        self._starting = set()
        self._stopping = set()
        self._blocked = {}
        self._unproven = set()

    def _start_incarnation(self, has_same_id: bool, now: float) -> None:
        """Begin with a worker on which nothing runs that the agent knows of.

        Starts name the id only, so with the same id, the worker may have carried out those that no
        list of the earlier incarnation shows, and may yet carry out those without a response.
        """
        self._discard_old(now)
        open_starts = self._starting
        answered = {run: at for run, at in self._started.items() if run not in self._running}
        unblocked = [run for run in (*self._blocked, *self._unanswered) if run not in open_starts]
        self._clear_runs()
        self._worker_lease.begin_incarnation(now)
        self._unblocked = []
        if has_same_id:
            self._started = answered
            self._starting = {*open_starts, *unblocked}
            self._unblocked = list(dict.fromkeys(unblocked))
            self._unproven = {*answered, *self._starting}
            self._worker_lease.record_stale_renewal(now + worker_lease.STALE_CALL_SECONDS)
            for failed_at in self._unanswered.values():
                self._worker_lease.record_stale_renewal(failed_at + leases.LATE_CALL_SECONDS)
        self._clock = None
        self._listed_epoch = 0
        self._responded_at = float("-inf")
        self._ended = {}
        self._listed_ends = ()
        self._completeness = list_completeness.ListCompleteness()
        self._ends_completeness = list_completeness.ListCompleteness()
        self._rejected = {}
        self._stopped = {}
        self._acknowledged = 0
