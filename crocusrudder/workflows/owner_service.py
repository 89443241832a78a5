"""Run one ownership epoch: load the state, commit changes and send orders to agents."""

import functools
import time
from collections.abc import Callable
from typing import TypeVar

import curio
import msgspec

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.observability import logs
from crocusrudder.observability import metrics
from crocusrudder.platform import errors
from crocusrudder.platform import store
from crocusrudder.wire import transport
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import cancellations
from crocusrudder.workflows import errors as workflow_errors
from crocusrudder.workflows import evacuations
from crocusrudder.workflows import job_progress
from crocusrudder.workflows import leases
from crocusrudder.workflows import list_checks
from crocusrudder.workflows import model
from crocusrudder.workflows import owner
from crocusrudder.workflows import ownership
from crocusrudder.workflows import reports
from crocusrudder.workflows import rows
from crocusrudder.workflows import step_guard
from crocusrudder.workflows import waiting_reasons
from crocusrudder.workflows.decisions import durations
from crocusrudder.workflows.decisions import evacuation
from crocusrudder.workflows.decisions import near_places
from crocusrudder.workflows.decisions import over_target
from crocusrudder.workflows.decisions import preemption
from crocusrudder.workflows.decisions import waiting

COALESCE_SECONDS = 0.004
"""Delay before planning, so that one plan covers several events."""
PLANNING_PAUSE_FACTOR = 3.0
"""Pause after a plan, as a multiple of the time the plan took. Planning then uses at most a quarter
of a core, which leaves time for reports and callers with hundreds of workers."""
SLOW_PLAN_SECONDS = 0.5
"""Duration of a plan from which it is logged. The owner's lease is not renewed meanwhile."""
ORDERS_INTERVAL_SECONDS = 0.02
"""Interval of orders during that pause. Stops do not wait for the next plan."""
TICK_INTERVAL_SECONDS = 0.1
COMMIT_DELAY_SECONDS = 0.01
"""Delay before a commit, so that it covers further changes; a commit takes 0.025 s or more."""
RETRY_DELAY_SECONDS = 0.05
FEED_WAIT_SECONDS = 1.0
"""Longest wait of the feed. With the timeout of a call, it bounds the time for which a connection
that went silent hides cancellations. The rules hold again 3 s after a disruption."""
HELLO_INTERVAL_SECONDS = 0.4
ESTIMATES_INTERVAL_SECONDS = 2.0
"""Interval at which interference estimates are stored; 45 pairs of images take a row of 1 KB."""
MAX_ESTIMATES_BYTES = 48_000
"""Limit below the 65,536 bytes that a row of the users' store may hold."""
ENTRY_TIMEOUT_SECONDS = 10.0
"""Time since an entry's last hello after which the entry gets no more hellos."""
ENTRY_PRESENT_SECONDS = 1.2
"""Age of an entry's last hello up to which the ownership may be handed over to it; entries send one
every 0.5 s."""
STEP_DOWN_FAILED_SECONDS = 1.0
"""Age of the last commit at which an owner whose commits fail steps down; it renews every 0.6 s."""
STEP_DOWN_UNANSWERED_SECONDS = 1.7
"""The same for an owner whose commit is still unanswered, as with a slow store."""

_Result = TypeVar("_Result")
_StoredProgress = dict[int, bytes | None]
"""Values of the progress rows of a job, by their numbers."""

_COUNTED_EVENTS = {
    reports.CAPACITY_EXCEEDED: "capacity_exceeded",
    list_checks.RUN_LEFT_OUT: "runs_left_out",
    list_checks.END_LEFT_OUT: "ends_left_out",
    list_checks.START_EXPIRED: "starts_expired",
    list_checks.UNKNOWN_RUN_IGNORED: "unknown_runs_ignored",
    "worker_crashed": "workers_crashed",
    evacuation.EVACUATED: "evacuations",
    evacuation.START_WITHDRAWN: "starts_withdrawn",
    evacuation.PAUSED: "planning_pauses",
    near_places.BEGUN: "near_waits_begun",
    near_places.SERVED: "near_waits_served",
    near_places.GIVEN_UP: "near_waits_given_up",
    preemption.PREEMPTED: "preemptions",
    **{cause.value: cause.value for cause in over_target.Cause},
    waiting.OUTLOOK_WORSE: "outlooks_worse",
    waiting.RANK_FAILED: "jobs_not_ranked",
    durations.ESTIMATE_IGNORED: "estimates_ignored",
    step_guard.STEP_FAILED: "steps_failed",
    cancellations.OVERDUE: "cancellations_overdue",
}
"""Metrics that count the log events of these names."""


class _CommitAttempt(msgspec.Struct):
    """A commit that was sent and whose outcome may be unknown."""

    commit: owner.Commit
    row: rows.OwnerRow
    started_at: float


class OwnerService:
    """Service of one ownership epoch of this process."""

    def __init__(
        self,
        lease: ownership.OwnershipLease,
        client: store.StoreClient,
        link: transport.Transport,
        registry: metrics.Metrics,
        get_configuration: Callable[[], model.Configuration | None],
        cores: float = 1.0,
        evacuation_reader: evacuations.EvacuationReader | None = None,
        bounds: model.EvacuationBounds | None = None,
        far_factor: float = 1.0,
        learned_order: bool = False,
    ) -> None:
        self._lease = lease
        self._client = client
        self._link = link
        self._metrics = registry
        self._get_configuration = get_configuration
        now = clocks.read_boot_time()
        self._evacuation_reader = evacuation_reader or evacuations.EvacuationReader(client)
        self._is_evacuation_bounded = bounds is not None and bool(bounds.start_seconds)
        self._owner = owner.Owner(
            lease.row.epoch,
            lease.version,
            now,
            lease.row.lost,
            bounds,
            far_factor,
            learned_order,
            lease.row.unbounded,
        )
        self._attempts: dict[int, _CommitAttempt] = {}
        self._incarnations: dict[ids.ProcessId, str] = {}
        self._entries: dict[ids.ProcessId, float] = {}
        """When each entry was last heard."""
        self._cores = cores
        self._entry_cores: dict[ids.ProcessId, float] = {}
        self._started_at = now
        self._set_aside: set[ids.JobId] = set()
        """Jobs that could not be loaded, or whose progress is unreadable: tasks of these that have
        ended must not run again."""
        self._guard = step_guard.StepGuard()
        self._is_loaded = False
        self._plan_not_before = now
        self._estimates_stored_at = 0.0
        self._are_estimates_cut = False
        """Whether the last row of estimates had no room for all of them."""
        self._feed_version = 0
        self._changes = curio.Event()
        self._is_releasing = False
        self._is_superseded = False
        self._feed_log = logs.DependencyMonitor("jobs_feed")
        self._commit_log = logs.DependencyMonitor("commits")
        self._has_commit_failed = False

    @property
    def owner(self) -> owner.Owner:
        """Return the owner's state in this epoch."""
        return self._owner

    @property
    def is_state_current(self) -> bool:
        """Return whether the jobs are loaded and this process still owns the workers."""
        return self._is_loaded and self._lease.may_act(clocks.read_boot_time())

    async def run(self) -> None:
        """Act as the owner until the ownership is lost or released."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._commit_forever)
            await group.spawn(self._serve)
        self._log("ownership_ended", released=self._is_releasing)
        if group.exception:
            raise group.exception

    async def release(self) -> None:
        """Release the ownership with the next commit."""
        self._is_releasing = True
        await self._changes.set()

    def supersede(self) -> None:
        """Stop acting as the owner, since another process has claimed a later epoch."""
        self._is_superseded = True
        self._lease.step_down()

    async def handle_report(
        self,
        agent: ids.ProcessId,
        incarnation: str,
        address: str,
        report: workflow_messages.AgentReport,
    ) -> None:
        """Apply an agent's report; ignored until the jobs are loaded."""
        if not self._is_loaded:
            return
        if self._incarnations.get(agent) != incarnation:
            self._incarnations[agent] = incarnation
            self._owner.handle_agent_start(agent, address)
        view = self._owner.views.get(agent)
        if view is not None and view.is_declared_lost:
            # The path works again, but an open connection may deliver nothing for seconds, until
            # the packets that were lost are repeated.
            self._link.reconnect(agent)
        now = clocks.read_boot_time()
        self._owner.handle_report(agent, report, now, time.time())
        await self._changes.set()

    async def handle_stored_job(self, stored: workflow_messages.JobStored) -> None:
        """Apply a stored job or cancellation; ignored until the jobs are loaded."""
        if not self._is_loaded:
            return
        self._apply_row(stored.job, stored.row, stored.version, not stored.row)
        await self._changes.set()

    def handle_entry_hello(self, entry: ids.ProcessId, cores: float = 0.0) -> None:
        """Send hellos to this entry from now on."""
        self._entries[entry] = clocks.read_boot_time()
        self._entry_cores[entry] = cores

    async def _serve(self) -> None:
        await self._load()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._watch_jobs)
            await group.spawn(self._send_orders_forever)
            await group.spawn(self._send_hellos_forever)
            await group.spawn(self._monitor_commits)
            if self._is_evacuation_bounded:
                await group.spawn(self._evacuation_reader.read_forever)
        if group.exception:
            raise group.exception

    async def _load(self) -> None:
        while True:
            try:
                roster = await self._client.read(rows.ROSTER_TABLE)
                entries = await self._client.read(rows.ENTRIES_TABLE)
                progress = await self._client.read(rows.PROGRESS_TABLE)
                jobs = await self._client.read(rows.JOBS_TABLE)
                learned = await self._client.read_row(rows.CONTROL_TABLE, rows.ESTIMATES_KEY)
                if self._is_evacuation_bounded:
                    await self._evacuation_reader.read()
                break
            except errors.PlatformError as error:
                self._log("load_failed", error=str(error))
                await curio.sleep(RETRY_DELAY_SECONDS)
        self._send_hellos_to_agents(roster)
        for row in entries.rows:
            entry = ids.ProcessId(row.key)
            if entry != self._lease.row.holder:
                self._link.record_address(entry, self._decode_address(row))
                self.handle_entry_hello(entry)
        self._restore_estimates(learned)
        self._apply_page(jobs, self._group_progress(progress))
        self._feed_version = jobs.version
        self._is_loaded = True
        self._log("ownership_begun", jobs=len(jobs.rows), agents=len(roster.rows))

    def _send_hellos_to_agents(self, roster: store.Page) -> None:
        """Request reports from all agents on the roster of earlier owners.

        An agent without a readable address is awaited like the others, as its worker may run tasks.
        """
        addresses = {ids.ProcessId(row.key): self._decode_address(row) for row in roster.rows}
        self._owner.load_roster(addresses)
        hello = workflow_messages.OwnerHello(self._lease.row.epoch)
        for agent, address in addresses.items():
            self._link.record_address(agent, address)
            self._link.send(agent, hello, transport.ANY_INCARNATION)

    def _decode_address(self, row: store.StoreRow) -> str:
        """Return the address in a row; empty if it cannot be read."""
        try:
            return rows.decode_address(row.value)
        except workflow_errors.UnreadableRowError as error:
            self._record_unreadable(row.table, row.key, error)
            return ""

    def _record_unreadable(
        self, table: str, key: str, error: workflow_errors.UnreadableRowError
    ) -> None:
        self._metrics.count("rows_unreadable")
        self._log("row_unreadable", table=table, key=key, **error.to_dict())

    def _restore_estimates(self, row: store.StoreRow | None) -> None:
        if row is None or row.value is None:
            return
        try:
            learned, left_out = rows.decode_estimates(row.value)
        except workflow_errors.UnreadableRowError as error:
            self._record_unreadable(row.table, row.key, error)
            return
        restore = functools.partial(self._owner.restore_estimates, learned)
        left_out += self._run_step("restore_estimates", restore, 0, is_essential=False)
        if left_out:
            self._record_left_out(left_out, workflow_errors.UnreadableRowError.code)

    def _record_left_out(self, figures: int, code: str) -> None:
        """Log how many learned figures are not in use, or not stored."""
        self._metrics.count("learned_left_out", figures)
        self._log("learned_left_out", figures=figures, code=code)

    def _list_due_estimates(self, now: float) -> list[store.Write]:
        """Return the write of the interference estimates if it is due."""
        if not self._is_loaded or now - self._estimates_stored_at < ESTIMATES_INTERVAL_SECONDS:
            return []
        self._estimates_stored_at = now
        estimates = self._owner.export_estimates()
        value, left_out = rows.encode_estimates(estimates, MAX_ESTIMATES_BYTES)
        if left_out and not self._are_estimates_cut:
            self._record_left_out(left_out, workflow_errors.EstimatesTooLargeError.code)
        self._are_estimates_cut = bool(left_out)
        return [store.Write(rows.CONTROL_TABLE, rows.ESTIMATES_KEY, value)]

    def _group_progress(self, page: store.Page) -> dict[ids.JobId, _StoredProgress]:
        """Return the progress rows by job, without those that no owner can have written."""
        grouped: dict[ids.JobId, _StoredProgress] = {}
        for row in page.rows:
            try:
                job, part = rows.split_progress_key(row.key)
            except workflow_errors.UnreadableRowError as error:
                self._record_unreadable(row.table, row.key, error)
                continue
            grouped.setdefault(job, {})[job_progress.MAIN_ROW if part is None else part] = row.value
        return grouped

    def _apply_page(self, page: store.Page, progress: dict[ids.JobId, _StoredProgress]) -> None:
        cancellations = []
        for row in page.rows:
            job, is_cancellation = rows.split_cancel_key(row.key)
            if row.value is None:
                continue
            if is_cancellation and row.value == rows.UNKNOWN_CANCEL_VALUE:
                self._owner.record_unknown_cancellation(job, time.time())
            elif is_cancellation:
                cancellations.append((job, row))
            else:
                self._apply_row(job, row.value, row.version, False, progress.get(job))
        for job, row in cancellations:
            self._apply_row(job, b"", row.version, True)

    def _apply_row(
        self,
        job: ids.JobId,
        value: bytes,
        version: int,
        is_cancellation: bool,
        progress: _StoredProgress | None = None,
    ) -> None:
        if is_cancellation:
            now = clocks.read_boot_time()
            self._owner.apply_cancellation(job, time.time(), version, now)
            return
        table = rows.JOBS_TABLE
        try:
            decoded = rows.decode_job(value, job)
            table = rows.PROGRESS_TABLE
            known = None if progress is None else job_progress.decode(decoded, progress)
        except workflow_errors.UnreadableRowError as error:
            self._record_unreadable(table, job, error)
            if progress is not None:
                self._set_aside.add(job)
            return
        if job in self._set_aside:
            return
        try:
            self._owner.add_job(decoded, version, known)
        except Exception as error:
            # One job must not keep each new owner from loading the others.
            self._set_aside.add(job)
            fields = {"job": job, "code": workflow_errors.LoadingError.code, "error": repr(error)}
            self._log("job_not_loaded", **fields)
            self._metrics.count("jobs_not_loaded")

    async def _watch_jobs(self) -> None:
        while True:
            try:
                page = await self._client.watch(
                    rows.JOBS_TABLE, self._feed_version, FEED_WAIT_SECONDS
                )
            except errors.HistoryGoneError:
                self._log("history_gone", table=rows.JOBS_TABLE)
                page = await self._reload_jobs()
            except errors.PlatformError as error:
                self._feed_log.record(False, str(error))
                await curio.sleep(RETRY_DELAY_SECONDS)
                continue
            else:
                self._feed_log.record(True)
            self._feed_version = max(page.version, self._feed_version)
            if page.rows:
                self._apply_page(page, {})
                await self._changes.set()

    async def _reload_jobs(self) -> store.Page:
        try:
            return await self._client.read(rows.JOBS_TABLE)
        except errors.PlatformError as error:
            self._log("read_failed", table=rows.JOBS_TABLE, error=str(error))
            await curio.sleep(RETRY_DELAY_SECONDS)
            return store.Page((), self._feed_version)

    async def _send_orders_forever(self) -> None:
        has_planned = True
        while True:
            if has_planned:
                await curio.ignore_after(TICK_INTERVAL_SECONDS, self._changes.wait)
            pause = self._plan_not_before - clocks.read_boot_time()
            await curio.sleep(max(COALESCE_SECONDS, min(pause, ORDERS_INTERVAL_SECONDS)))
            self._changes.clear()
            configuration = self._get_configuration()
            if configuration is not None:
                self._owner.set_configuration(configuration)
            has_planned = self._run_step("orders", self._send_orders, True)
            await self._link.retry_unsent()
            self._run_step("log", self._write_log, None)

    def _write_log(self) -> None:
        for change in self._owner.drain_log():
            logs.write_change(change)
            if change.name == waiting_reasons.EVENT:
                self._metrics.count(f"jobs_waiting_{change.fields['reason']}")
            elif change.name == waiting.JOB_COMPLETED:
                fields = change.fields
                self._metrics.count(f"jobs_{fields['outlook']}_{fields['queue']}")
            elif change.name in _COUNTED_EVENTS:
                self._metrics.count(_COUNTED_EVENTS[change.name])
            elif change.name == "job_failed" and change.fields.get("cause") == "crashes":
                self._metrics.count("jobs_failed_by_crashes")
            if change.name in (near_places.SERVED, near_places.GIVEN_UP):
                self._metrics.observe("near_wait_seconds", change.fields["waited_s"])
            elif change.name == cancellations.ENDED:
                self._metrics.observe("cancellation_seconds", change.fields["took_s"])
            elif "distance" in change.fields:
                self._metrics.count(f"tasks_{change.fields['distance']}")

    def _send_orders(self) -> bool:
        """Plan if that is due, and send the orders that are due.

        Return whether no plan is owed: False during the pause after a plan.
        """
        now = clocks.read_boot_time()
        if self._is_releasing or not self._lease.may_act(now):
            return True
        is_plan_due = now >= self._plan_not_before
        self._owner.set_evacuated(self._evacuation_reader.evacuations)
        self._owner.tick(now, time.time(), is_plan_due)
        if is_plan_due:
            planned_at = clocks.read_boot_time()
            self._plan_not_before = planned_at + PLANNING_PAUSE_FACTOR * (planned_at - now)
            self._metrics.observe("plan_seconds", planned_at - now)
            if planned_at - now >= SLOW_PLAN_SECONDS:
                active = len(self._owner.job_registry.active)
                self._log("plan_slow", seconds=round(planned_at - now, 3), jobs=active)
        for agent, orders in self._owner.make_orders(now):
            # The process may have been suspended since the last check, for longer than its lease.
            if self._lease.may_act(clocks.read_boot_time()):
                self._link.send(agent, orders, transport.ANY_INCARNATION)
            else:
                self._owner.repeat_orders(agent)
                self._metrics.count("orders_withheld")
        return is_plan_due

    async def _send_hellos_forever(self) -> None:
        while True:
            self._send_hellos_to_entries()
            await self._link.retry_unsent()
            await self._release_to_larger_entry()
            await curio.sleep(HELLO_INTERVAL_SECONDS)

    async def _release_to_larger_entry(self) -> None:
        now = clocks.read_boot_time()
        cores = {
            entry: self._entry_cores.get(entry, 0.0)
            for entry, heard_at in self._entries.items()
            if now - heard_at < ENTRY_PRESENT_SECONDS
        }
        if self._is_releasing or not ownership.should_hand_over(
            self._cores, cores.values(), now - self._started_at
        ):
            return
        self._log("handing_over", cores=self._cores, largest_cores=max(cores.values()))
        await self.release()

    def _send_hellos_to_entries(self) -> None:
        """Notify the entries that this process is the owner or has stepped down."""
        now = clocks.read_boot_time()
        has_stepped_down = self._lease.has_stepped_down
        if not has_stepped_down and not self._lease.may_act(now):
            return
        pending = self._run_step("pending", self._owner.count_pending, {})
        version = self._lease.version
        hello = workflow_messages.OwnerHello(
            self._lease.row.epoch, pending, version, has_stepped_down
        )
        for entry, heard_at in list(self._entries.items()):
            if now - heard_at > ENTRY_TIMEOUT_SECONDS:
                del self._entries[entry]
                self._entry_cores.pop(entry, None)
            else:
                self._link.send(entry, hello, transport.ANY_INCARNATION)

    async def _monitor_commits(self) -> None:
        """Step down whenever commits have failed or gone unanswered for too long."""
        while True:
            await curio.sleep(TICK_INTERVAL_SECONDS)
            now = clocks.read_boot_time()
            limit = (
                STEP_DOWN_FAILED_SECONDS
                if self._has_commit_failed
                else STEP_DOWN_UNANSWERED_SECONDS
            )
            if not self._lease.has_stepped_down and now - self._lease.renewed_at > limit:
                self._lease.step_down()
                self._log("ownership_yielded", since_s=round(now - self._lease.renewed_at, 2))
                self._send_hellos_to_entries()
                await self._link.retry_unsent()

    async def _commit_forever(self) -> None:
        while not self._is_superseded:
            await self._wait_for_changes()
            is_releasing = self._is_releasing
            commit = self._make_commit()
            now = clocks.read_boot_time()
            unbounded = {
                agent: until - now for agent, until in commit.unbounded_until.items() if until > now
            }
            lost = self._owner.list_lost_agents(now)
            row = self._lease.make_next_row(lost, is_releasing, unbounded)
            attempt = _CommitAttempt(commit, row, now)
            try:
                await self._try_commit(attempt)
            except workflow_errors.OwnershipLostError as error:
                self._log("ownership_lost", error=str(error))
                return
            if is_releasing and self._lease.row.released:
                self._lease.step_down()
                self._send_hellos_to_entries()
                await self._link.retry_unsent()
                return

    def _make_commit(self) -> "owner.Commit":
        """Return the changes to store; after an unexpected error, what renews the ownership."""
        make = functools.partial(self._owner.make_commit, time.time())
        return self._run_step("commit", make, None) or self._owner.make_renewal()

    def _run_step(
        self,
        step: str,
        action: Callable[[], _Result],
        default: _Result,
        is_essential: bool = True,
    ) -> _Result:
        """Return what a step returns; after an unexpected error, which is logged, the default."""
        now = clocks.read_boot_time()
        try:
            return self._guard.run(step, now, action, default, is_essential=is_essential)
        finally:
            for change in self._guard.drain_log():
                self._metrics.count(_COUNTED_EVENTS[change.name])
                self._log(change.name, **change.fields)

    async def _wait_for_changes(self) -> None:
        while not self._is_releasing:
            now = clocks.read_boot_time()
            if now - self._lease.renewed_at >= leases.RENEWAL_INTERVAL_SECONDS:
                return
            if self._is_loaded and self._owner.has_changes():
                await curio.sleep(COMMIT_DELAY_SECONDS)
                return
            await curio.sleep(COMMIT_DELAY_SECONDS)

    async def _try_commit(self, attempt: _CommitAttempt) -> None:
        self._attempts[attempt.row.sequence] = attempt
        writes = [store.Write(rows.CONTROL_TABLE, rows.OWNER_KEY, rows.encode(attempt.row))]
        writes += [store.Write(*write) for write in attempt.commit.writes]
        estimates = functools.partial(self._list_due_estimates, attempt.started_at)
        writes += self._run_step("estimates", estimates, [], is_essential=False)
        expected = store.Expectation(rows.CONTROL_TABLE, rows.OWNER_KEY, self._lease.version)
        self._metrics.count("store_commits")
        try:
            version = await self._client.commit(writes, [expected])
        except errors.NotExecutedError as error:
            self._record_failure(attempt, str(error))
            await curio.sleep(RETRY_DELAY_SECONDS)
        except errors.PlatformError as error:
            self._record_failure(attempt, str(error))
            await self._resolve_attempts()
        else:
            self._record_commit(attempt, version)

    def _record_failure(self, attempt: _CommitAttempt, reason: str) -> None:
        self._owner.record_commit_failure(attempt.commit)
        self._has_commit_failed = True
        self._metrics.count("store_commit_failures")
        self._commit_log.record(False, reason)

    async def _resolve_attempts(self) -> None:
        """Read which attempt was performed; raise ``OwnershipLostError`` if the row is not ours."""
        try:
            found = await self._client.read_row(rows.CONTROL_TABLE, rows.OWNER_KEY)
        except errors.PlatformError as error:
            self._log("read_failed", table=rows.CONTROL_TABLE, error=str(error))
            await curio.sleep(RETRY_DELAY_SECONDS)
            return
        if found is None or found.version == self._lease.version:
            return
        try:
            row = rows.decode_owner(found.value, found.version)
        except workflow_errors.UnreadableRowError as error:
            raise workflow_errors.OwnershipLostError(f"owner's row: {error}") from error
        attempt = self._attempts.get(row.sequence)
        if row.epoch != self._lease.row.epoch or attempt is None:
            raise workflow_errors.OwnershipLostError(
                f"process {row.holder} holds ownership epoch {row.epoch}"
            )
        self._record_commit(attempt, found.version)

    def _record_commit(self, attempt: _CommitAttempt, version: int) -> None:
        self._lease.record_renewal(attempt.row, version, attempt.started_at)
        self._attempts.clear()
        self._has_commit_failed = False
        self._commit_log.record(True)
        now = clocks.read_boot_time()
        self._metrics.observe("store_commit_seconds", now - attempt.started_at)
        for job in self._owner.record_commit(attempt.commit, now):
            state = self._owner.job_registry.get(job).stored_state
            self._log("job_finished", job=job, state=state.value)

    def _log(self, name: str, **fields: object) -> None:
        epoch = self._lease.row.epoch
        logs.write_change(effects.LogChange(name, {"epoch": epoch, **fields}))
