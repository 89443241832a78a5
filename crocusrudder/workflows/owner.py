"""The owner of all workers: handles reports, decides which runs start and stop, and makes commits.

The owner starts a task only if it certainly runs nowhere else. After a takeover, the workers report
which tasks are running; for an unreachable worker, the owner waits until its lease has expired.
"""

import functools
import itertools
import math
import types
from collections.abc import Mapping

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import cancellations
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_progress
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import planning
from crocusrudder.workflows import reports
from crocusrudder.workflows import rows
from crocusrudder.workflows import step_guard
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import evacuation
from crocusrudder.workflows.decisions import throttling

ORDER_INTERVAL_SECONDS = 0.5
"""Interval at which an agent gets orders even without changes."""
LOST_AFTER_SECONDS = 2.0
"""Time without a report after which an agent is declared lost in the store."""
JOB_RETENTION_SECONDS = 150.0
"""Time for which a finished job can be queried; the requirement is 120 s."""
MAX_REMOVALS = 20
"""Maximum number of finished jobs removed by one commit."""
MAX_EARLY_CANCELLATIONS = 4_096
"""Cancellations remembered whose jobs are not known yet."""
UNKNOWN_CANCELLATION_SECONDS = 60.0
"""Time for which the cancellation of a job without a row is kept. A submission without a response
may be performed seconds later, and callers repeat it for seconds."""
MAX_WRITES = 90
"""Maximum number of rows written by one commit; the store allows 100."""
MAX_START_CHARACTERS = 700_000
"""Characters of the starts in one message of orders, which may hold 4 MB; one takes up to 4 bytes.

The first start is sent whatever its length, which the row of its job limits to 64 KB."""
START_OVERHEAD_CHARACTERS = 150
"""Greatest length of the encoded fields of a start beside its spec, checkpoint and ticket."""
MAX_COMMIT_BYTES = 600_000
"""Progress written by one commit; the store allows 1 MB, and base64 adds a third."""

_UnsavedRows = tuple[job_registry.JobRecord, list[job_progress.StoredRow]]


class Commit(msgspec.Struct, frozen=True):
    """Writes of one transaction, with the changes of state to record once it is durable."""

    writes: tuple[tuple[str, str, bytes | None], ...]
    """Table, key and value; None deletes the row."""
    job_states: dict[ids.JobId, model.JobState]
    """States in the main rows that are written."""
    job_rows: dict[ids.JobId, tuple[int, ...]]
    """Numbers of the progress rows that are written."""
    processed_ends: dict[tuple[ids.ProcessId, tuple[ids.WorkerId, int]], int]
    """Number of the last processed end, by agent and the worker incarnation that numbered it."""
    registered_addresses: dict[ids.ProcessId, str]
    """Addresses stored, by agent; empty for an agent that was removed."""
    lost_agents: tuple[ids.ProcessId, ...]
    removed_jobs: tuple[ids.JobId, ...]
    expired_cancellations: tuple[ids.JobId, ...]
    """Jobs without a row whose cancellation is removed."""
    unbounded_until: dict[ids.ProcessId, float]
    """Time up to which runs may go on without a lease grant, by agent."""


class Owner:
    """State and decisions of one ownership epoch."""

    def __init__(
        self,
        epoch: model.OwnerEpoch,
        version: int,
        now: float,
        lost: Mapping[ids.ProcessId, float] = types.MappingProxyType({}),
        bounds: model.EvacuationBounds | None = None,
        far_factor: float = 1.0,
        learned_order: bool = False,
        unbounded: Mapping[ids.ProcessId, float] = types.MappingProxyType({}),
    ) -> None:
        self._epoch = epoch
        self._evacuation_monitor = evacuation.EvacuationMonitor(epoch, bounds)
        self._job_registry = job_registry.JobRegistry()
        self._views: dict[ids.ProcessId, fleet.AgentView] = {}
        self._configuration = model.Configuration()
        self._throttle_controller = throttling.ThrottleController()
        self._duration_model = durations.DurationModel()
        self._guard = step_guard.StepGuard()
        learned = (self._throttle_controller, self._duration_model)
        self._planner = planning.Planner(
            epoch, self._job_registry, version, *learned, far_factor, learned_order, self._guard
        )
        self._report_handler = reports.ReportHandler(
            epoch, self._job_registry, self._duration_model, self._guard
        )
        self._cancellation_monitor = cancellations.CancellationMonitor(epoch)
        self._early_cancellations: dict[ids.JobId, tuple[int, float]] = {}
        """Version of the row and Unix time of cancellations whose jobs are not known yet."""
        self._unknown_cancellations: dict[ids.JobId, float] = {}
        """When cancellations of jobs without a row were first seen, oldest first; a Unix time."""
        self._started_at = now
        self._seen_at = now
        """Time of the last report, tick or cancellation."""
        self._awaited_agents: dict[ids.ProcessId, float] = {}
        """When the leases of agents expire that have not reported in this epoch, by agent."""
        self._logged: list[effects.LogChange] = []
        self._load_unbounded(unbounded)
        self._load_lost(lost)

    @property
    def epoch(self) -> model.OwnerEpoch:
        return self._epoch

    @property
    def job_registry(self) -> job_registry.JobRegistry:
        return self._job_registry

    @property
    def views(self) -> dict[ids.ProcessId, fleet.AgentView]:
        return self._views

    def drain_log(self) -> list[effects.LogChange]:
        """Return the decisions logged since the last call, and clear them."""
        sources = (
            self._evacuation_monitor,
            self._report_handler,
            self._planner,
            self._throttle_controller,
            self._duration_model,
            self._cancellation_monitor,
            self._guard,
        )
        logged = [*self._logged, *itertools.chain.from_iterable(s.drain_log() for s in sources)]
        self._logged.clear()
        return logged

    def load_roster(self, agents: Mapping[ids.ProcessId, str]) -> None:
        """Load the agents, with their addresses, to which an earlier owner may have sent starts."""
        for agent, address in agents.items():
            view = self._get_view(agent)
            view.registered_address = address
            if not view.is_declared_lost:
                view.received_at = self._started_at
                expires_at = self._started_at + leases.LEASE_EXPIRY_SECONDS
                self._awaited_agents[agent] = max(expires_at, view.unbounded_until)

    def list_lost_agents(self, now: float) -> dict[ids.ProcessId, float]:
        """Return the agents declared lost, with the minimum seconds without a lease grant.

        A longer wait for the lease of one, which earlier releases do not know, is deducted.
        """
        return {
            view.agent: min(
                self._compute_lost_seconds(view, now),
                leases.LEASE_EXPIRY_SECONDS - (view.unbounded_until - now),
            )
            for view in self._views.values()
            if view.is_declared_lost
        }

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Apply a configuration unless it is older than the current one."""
        if configuration.version >= self._configuration.version:
            self._configuration = configuration
            self._planner.set_configuration(configuration)
            self._report_handler.set_configuration(configuration)

    def set_evacuated(self, evacuations: model.Evacuations) -> None:
        """Apply the operator's evacuations unless they are older than the current ones."""
        self._evacuation_monitor.set_evacuated(evacuations)

    def export_estimates(self) -> rows.InterferenceEstimates:
        """Return the learned estimates to store for a later owner."""
        return rows.InterferenceEstimates(
            {},
            self._duration_model.export_ratios(),
            {},
            self._throttle_controller.export_estimates(),
        )

    def restore_estimates(self, learned: rows.InterferenceEstimates) -> int:
        """Restore the estimates that an earlier owner stored; return how many are out of range."""
        left_out = self._throttle_controller.restore_estimates(learned, self._started_at)
        return left_out + self._duration_model.restore_ratios(learned.durations)

    def add_job(self, job: model.Job, version: int, progress: model.Progress | None = None) -> None:
        """Add an accepted job; one that is already known or has been removed is ignored.

        A row that was read before its removal would otherwise start the job again.
        """
        if self._job_registry.was_removed(job.job_id, version):
            self._log("removed_job_ignored", job=job.job_id, version=version)
        elif self._job_registry.get(job.job_id) is None:
            if job.accepted_queue is not None:
                self._planner.add_queue(job.accepted_queue)
                self._report_handler.add_queue(job.accepted_queue)
            self._job_registry.add(job_registry.JobRecord(job, version, progress))
            cancelled_version, cancelled_at = self._early_cancellations.pop(job.job_id, (0, 0.0))
            if cancelled_version > version:
                self.apply_cancellation(job.job_id, cancelled_at, cancelled_version)

    def apply_cancellation(
        self, job: ids.JobId, wall_time: float, version: int = 0, now: float = float("-inf")
    ) -> None:
        """Cancel a job whose cancellation has been stored; one in a final state is left alone.

        The message about a cancellation may arrive before that about its job, so one of an unknown
        job is kept for the job's row, which has a lower version than the cancellation's.
        """
        self._seen_at = max(self._seen_at, now)
        record = self._job_registry.get(job)
        if record is None:
            self._early_cancellations[job] = (version, wall_time)
            if len(self._early_cancellations) > MAX_EARLY_CANCELLATIONS:
                del self._early_cancellations[next(iter(self._early_cancellations))]
            return
        if record.is_final:
            return
        record.finish(model.JobState.CANCELLED, wall_time)
        self._log("job_cancelled", job=job)
        self._deactivate_final_jobs()

    def record_unknown_cancellation(self, job: ids.JobId, wall_time: float) -> None:
        """Record the stored cancellation of a job without a row, so that it is removed in time."""
        self._unknown_cancellations.setdefault(job, wall_time)

    def handle_report(
        self,
        agent: ids.ProcessId,
        report: workflow_messages.AgentReport,
        now: float,
        wall_time: float,
    ) -> None:
        """Apply an agent's report unless it is older than one already applied.

        A report that raises an unexpected error counts as not received: the agent repeats what has
        not been confirmed, and is lost if none of its reports can be applied.
        """
        self._seen_at = now
        view = self._get_view(agent)
        if report.sent_at <= view.report_sent_at:
            return
        known = view.report_sent_at, view.received_at, view.is_declared_lost
        apply = functools.partial(self._apply_report, view, report, now, wall_time)
        if not self._guard.run("report", now, apply, False, is_essential=True, agent=agent):
            view.report_sent_at, view.received_at, view.is_declared_lost = known
            return
        adjust = functools.partial(self._throttle_controller.adjust, view, now)
        self._guard.run("cpu_shares", now, adjust, None, agent=agent)
        self._deactivate_final_jobs()

    def _apply_report(
        self,
        view: fleet.AgentView,
        report: workflow_messages.AgentReport,
        now: float,
        wall_time: float,
    ) -> bool:
        agent = view.agent
        self._report_handler.handle(view, report, now, wall_time)
        self._report_handler.stop_incomplete_gangs(self._views.values())
        if view.is_reconciled or report.lapsed:
            self._awaited_agents.pop(agent, None)
        elif report.has_more_ends and agent in self._awaited_agents:
            # Tasks whose ends the worker has yet to list must not be started before.
            self._awaited_agents[agent] = now + leases.LEASE_EXPIRY_SECONDS
        return True

    def handle_agent_start(self, agent: ids.ProcessId, address: str) -> None:
        """Record that an agent has started, and accept its reports even if its clock differs."""
        view = self._get_view(agent)
        view.record_agent_start(address)

    def tick(self, now: float, wall_time: float, is_plan_due: bool = True) -> None:
        """Release runs whose leases have expired, and plan starts and moves if that is due."""
        self._seen_at = now
        for view in self._views.values():
            self._check_timeout(view, now)
        self._cancellation_monitor.check(now)
        is_reconciled = all(now >= expires_at for expires_at in self._awaited_agents.values())
        self._evacuation_monitor.update(self._views, now, is_reconciled)
        if not is_plan_due or not self._evacuation_monitor.may_start(now):
            return
        plan = functools.partial(self._planner.plan, self._views, now, wall_time, is_reconciled)
        for move in self._guard.run("plan", now, plan, [], is_essential=True):
            self._report_handler.move_run(move.view, move.run)

    def make_orders(self, now: float) -> list[tuple[ids.ProcessId, workflow_messages.AgentOrders]]:
        """Return the orders that are due, by agent."""
        due = [
            view
            for view in self._views.values()
            if view.worker is not None
            and view.report_sent_at >= 0
            and not view.is_stored_as_lost
            and now - view.received_at < leases.ORDER_VALID_SECONDS
            and (view.has_updates or now - view.sent_at >= ORDER_INTERVAL_SECONDS)
        ]
        orders = []
        for view in due:
            make = functools.partial(self._make_orders, view, now)
            made = self._guard.run("orders", now, make, None, is_essential=True, agent=view.agent)
            if made is None:
                view.record_unsent_orders()
            else:
                orders.append((view.agent, made))
        self._cancellation_monitor.check(now)
        return orders

    def repeat_orders(self, agent: ids.ProcessId) -> None:
        """Make an agent's orders due again, because the last ones were not sent."""
        self._views[agent].record_unsent_orders()

    def count_pending(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for record in self._job_registry.active.values():
            if not record.is_started:
                counts[record.job.queue] = counts.get(record.job.queue, 0) + 1
        return counts

    def make_commit(self, wall_time: float) -> Commit:
        """Return the changes to store; they are not durable until ``record_commit``."""
        written: dict[ids.JobId, tuple[int, ...]] = {}
        try:
            return self._collect_changes(wall_time, written)
        except Exception:
            self._mark_unsaved(written)
            raise

    def _collect_changes(
        self, wall_time: float, written: dict[ids.JobId, tuple[int, ...]]
    ) -> Commit:
        """Return the changes to store, and record in ``written`` which rows have been taken."""
        writes: list[tuple[str, str, bytes | None]] = []
        registered = self._list_unregistered()
        for agent, address in registered.items():
            writes.append((rows.ROSTER_TABLE, agent, address.encode() or None))
        states: dict[ids.JobId, model.JobState] = {}
        for record, stored in self._take_unsaved(MAX_WRITES - len(writes), written):
            job = record.job.job_id
            writes += [(rows.PROGRESS_TABLE, key, value) for _, key, value in stored]
            if job_progress.MAIN_ROW in written[job]:
                states[job] = record.progress.state
        is_complete = not self._job_registry.unsaved
        ends = {
            (view.agent, view.worker.incarnation): view.last_processed_end
            for view in self._views.values()
            if is_complete and view.worker is not None
        }
        removed = self._list_expired_jobs(wall_time, (MAX_WRITES - len(writes)) // 3)
        for job in removed:
            writes += [
                (rows.JOBS_TABLE, job, None),
                (rows.JOBS_TABLE, rows.make_cancel_key(job), None),
                (rows.PROGRESS_TABLE, job, None),
            ]
        expired = self._list_expired_cancellations(wall_time, MAX_WRITES - len(writes))
        writes += [(rows.JOBS_TABLE, rows.make_cancel_key(job), None) for job in expired]
        lost = tuple(view.agent for view in self._views.values() if view.is_declared_lost)
        return Commit(
            tuple(writes),
            states,
            written,
            ends,
            registered,
            lost,
            removed,
            expired,
            self._list_unbounded(),
        )

    def make_renewal(self) -> Commit:
        """Return a commit that stores no changes, so that an error in them ends no ownership.

        No end is acknowledged by it.
        """
        lost = tuple(view.agent for view in self._views.values() if view.is_declared_lost)
        return Commit((), {}, {}, {}, {}, lost, (), (), self._list_unbounded())

    def _list_unbounded(self) -> dict[ids.ProcessId, float]:
        return {
            view.agent: view.unbounded_until
            for view in self._views.values()
            if view.unbounded_until
        }

    def _take_unsaved(
        self, limit: int, written: dict[ids.JobId, tuple[int, ...]]
    ) -> list[_UnsavedRows]:
        """Return jobs with at most ``limit`` of their unsaved rows, as many as one commit holds.

        The numbers of the rows are recorded in ``written`` as they are taken.
        """
        found: list[_UnsavedRows] = []
        size = 0
        for record in list(self._job_registry.unsaved.values()):
            taken: list[job_progress.StoredRow] = []
            while record.has_unsaved_changes:
                spare = (MAX_COMMIT_BYTES - size) // rows.MAX_ROW_BYTES
                more = record.take_rows(min(limit, spare))
                if not more:
                    break
                size += sum(len(value or b"") for _, _, value in more)
                limit -= len(more)
                taken += more
                written[record.job.job_id] = tuple(number for number, _, _ in taken)
            if not taken:
                break
            found.append((record, taken))
        return found

    def has_changes(self) -> bool:
        """Return whether a commit would store anything."""
        return (
            bool(self._job_registry.unsaved)
            or bool(self._list_unregistered())
            or any(v.is_declared_lost != v.is_stored_as_lost for v in self._views.values())
            or any(not v.is_lease_bound_stored for v in self._views.values())
            or any(v.last_processed_end > v.last_durable_end for v in self._views.values())
        )

    def record_commit(self, commit: Commit, now: float) -> list[ids.JobId]:
        """Record that a commit is durable; return the jobs whose final state is now visible."""
        finished = []
        for job, state in commit.job_states.items():
            record = self._job_registry.get(job)
            if record is not None:
                record.stored_state = state
                if state in model.FINAL_STATES:
                    finished.append(job)
        for (agent, incarnation), number in commit.processed_ends.items():
            view = self._views[agent]
            if view.worker.incarnation != incarnation:
                # Each incarnation of a worker numbers its ends from the start.
                continue
            view.has_updates = view.has_updates or number > view.last_durable_end
            view.last_durable_end = number
        for agent, address in commit.registered_addresses.items():
            self._views[agent].registered_address = address
        for view in self._views.values():
            if view.agent not in commit.lost_agents:
                view.lost_stored_at = None
            elif view.lost_stored_at is None:
                view.lost_stored_at = now
            view.stored_unbounded_until = commit.unbounded_until.get(view.agent, 0.0)
        for job in commit.removed_jobs:
            self._job_registry.remove(job)
        for job in commit.expired_cancellations:
            self._unknown_cancellations.pop(job, None)
        return finished

    def record_commit_failure(self, commit: Commit) -> None:
        """Mark a commit's jobs for storing again, as the commit may not have taken effect."""
        self._mark_unsaved(commit.job_rows)

    def _mark_unsaved(self, written: Mapping[ids.JobId, tuple[int, ...]]) -> None:
        for job, numbers in written.items():
            record = self._job_registry.get(job)
            if record is not None:
                record.mark_unsaved(numbers)

    def dump(self) -> dict[str, object]:
        """Return the owner's state as JSON-compatible values."""
        return {
            "epoch": self._epoch,
            "evacuated": sorted(self._evacuation_monitor.evacuated),
            "active": {
                job: record.progress.state.value
                for job, record in self._job_registry.active.items()
            },
            "agents": {
                view.agent: {
                    "worker": view.worker and view.worker.worker,
                    "settled": view.is_reconciled,
                    "lost": view.is_declared_lost,
                    "evacuated": view.is_evacuated,
                    "over_capacity": view.is_over_capacity,
                    "runs": [f"{a.task_name}#{a.run}" for a in view.assignments.values()],
                }
                for view in self._views.values()
            },
        }

    def _list_unregistered(self) -> dict[ids.ProcessId, str]:
        """Return the addresses to store in the roster; empty for an agent to remove from it."""
        addresses = {}
        for view in self._views.values():
            if view.has_deregistered and view.registered_address and not view.assignments:
                addresses[view.agent] = ""
            elif view.worker and not view.has_deregistered and not view.is_registered:
                addresses[view.agent] = view.address
        return dict(itertools.islice(addresses.items(), MAX_WRITES))

    def _load_lost(self, lost: Mapping[ids.ProcessId, float]) -> None:
        """Continue the wait for the leases of agents that an earlier owner declared lost."""
        for agent, seconds in lost.items():
            view = self._get_view(agent)
            view.is_declared_lost = True
            # Seconds that no owner can have stored would end the wait at once or never.
            is_plausible = -leases.MAX_UNBOUNDED_SECONDS <= seconds < math.inf
            view.lost_stored_at = self._started_at - (seconds if is_plausible else 0.0)
            expires_at = view.lost_stored_at + leases.LEASE_EXPIRY_SECONDS
            self._awaited_agents[agent] = max(expires_at, view.unbounded_until)

    def _load_unbounded(self, unbounded: Mapping[ids.ProcessId, float]) -> None:
        """Continue the wait for leases that the grants of an earlier owner do not bound."""
        for agent, seconds in unbounded.items():
            if not 0.0 < seconds <= 2 * leases.MAX_UNBOUNDED_SECONDS:
                continue
            view = self._get_view(agent)
            view.unbounded_until = self._started_at + seconds

    def _compute_lost_seconds(self, view: fleet.AgentView, now: float) -> float:
        """Return for how many seconds, at least, an agent has had no grant to renew leases."""
        if view.lost_stored_at is None:
            return 0.0
        return max(now - max(view.lost_stored_at, view.echoed_at), 0.0)

    def _get_view(self, agent: ids.ProcessId) -> fleet.AgentView:
        if agent not in self._views:
            self._views[agent] = fleet.AgentView(agent)
        return self._views[agent]

    def _check_timeout(self, view: fleet.AgentView, now: float) -> None:
        elapsed = now - view.received_at
        # A later owner waits for the lease of each agent on the roster that is not stored as lost.
        is_awaited = view.assignments or view.registered_address
        if elapsed >= LOST_AFTER_SECONDS and is_awaited and not view.is_declared_lost:
            view.is_declared_lost = True
            self._log("agent_lost", agent=view.agent, silent_s=round(elapsed, 2))
        if (
            view.is_declared_lost
            and self._compute_lost_seconds(view, now) >= leases.LEASE_EXPIRY_SECONDS
            and now >= view.unbounded_until
            and view.assignments
        ):
            self._report_handler.release_all(view, now, "lease_over")

    def _deactivate_final_jobs(self) -> None:
        # All runs are stopped first: an error below must not leave those of the other jobs running.
        final = self._job_registry.deactivate_final()
        stopped = [self._report_handler.stop_runs(r, self._views.values()) for r in final]
        for record, runs in zip(final, stopped, strict=True):
            if record.progress.state is model.JobState.CANCELLED:
                self._cancellation_monitor.begin(record, runs, self._seen_at)
            self._planner.log_end(record)
            self._duration_model.forget_job(record)

    def _list_expired_jobs(self, wall_time: float, limit: int) -> tuple[ids.JobId, ...]:
        oldest = wall_time - JOB_RETENTION_SECONDS
        finished = self._job_registry.list_finished_before(oldest, min(limit, MAX_REMOVALS))
        return tuple(
            record.job.job_id
            for record in finished
            if not record.has_unsaved_changes and record.stored_state in model.FINAL_STATES
        )

    def _list_expired_cancellations(self, wall_time: float, limit: int) -> tuple[ids.JobId, ...]:
        oldest = wall_time - UNKNOWN_CANCELLATION_SECONDS
        old = itertools.takewhile(
            lambda item: item[1] < oldest, self._unknown_cancellations.items()
        )
        return tuple(job for job, _ in itertools.islice(old, max(limit, 0)))

    def _make_orders(self, view: fleet.AgentView, now: float) -> workflow_messages.AgentOrders:
        view.orders_sent += 1
        if view.orders_unseen_since is None:
            view.orders_unseen_since = now
        starts, is_divided = self._make_starts(view, now)
        stops = []
        for assignment in view.assignments.values():
            if assignment.phase is fleet.AssignmentPhase.STOPPING:
                assignment.stop_number = assignment.stop_number or view.orders_sent
                stops.append((assignment.task_name, assignment.run))
        cpu_shares = view.take_changed_cpu_shares(now)
        view.has_updates = is_divided
        view.sent_at = now
        view.echoed_at = view.received_at
        return workflow_messages.AgentOrders(
            self._epoch,
            view.orders_sent,
            view.report_sent_at,
            view.worker.worker,
            view.worker.born_ms,
            starts,
            tuple(stops),
            cpu_shares,
            view.last_durable_end,
        )

    def _make_starts(
        self, view: fleet.AgentView, now: float
    ) -> tuple[tuple[workflow_messages.StartOrder, ...], bool]:
        """Return the starts to order, and whether others have to wait for the next orders.

        Starts are repeated for a bounded time, so those that wait get their turn.
        """
        may_start = not view.is_evacuated and self._evacuation_monitor.may_start(now)
        starts = []
        characters = 0
        for assignment in view.assignments.values():
            if assignment.phase is not fleet.AssignmentPhase.ORDERED:
                continue
            # Orders that leave out a start withdraw it: it is stopped once they are confirmed.
            if not may_start:
                assignment.order_number = assignment.order_number or view.orders_sent
                continue
            if starts and characters >= MAX_START_CHARACTERS:
                return tuple(starts), True
            if not assignment.record_order(view.orders_sent, view.report_sent_at, now):
                continue
            order = _make_start(assignment)
            characters += len(order.spec) + len(order.checkpoint) + len(order.ticket)
            characters += START_OVERHEAD_CHARACTERS
            starts.append(order)
        return tuple(starts), False

    def _log(self, name: str, **fields: object) -> None:
        self._logged.append(effects.LogChange(name, {"epoch": self._epoch, **fields}))


def _make_start(assignment: fleet.Assignment) -> workflow_messages.StartOrder:
    return workflow_messages.StartOrder(
        assignment.task_name,
        assignment.run,
        assignment.task.record.job.spec,
        assignment.checkpoint,
        assignment.ticket,
        assignment.planned_on,
    )
