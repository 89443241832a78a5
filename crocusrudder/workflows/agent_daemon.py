"""Agent process: receives heartbeats, executes the owner's orders and renews the worker's lease."""

import secrets
import signal
from collections.abc import Callable

import curio

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.core import errors as core_errors
from crocusrudder.core import ids
from crocusrudder.hosting import http_messages
from crocusrudder.hosting import http_server
from crocusrudder.hosting import signals
from crocusrudder.observability import logs
from crocusrudder.observability import metrics
from crocusrudder.platform import errors
from crocusrudder.platform import heartbeats
from crocusrudder.platform import store
from crocusrudder.platform import worker
from crocusrudder.wire import codec
from crocusrudder.wire import messages
from crocusrudder.wire import transport
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import agent_state
from crocusrudder.workflows import errors as workflow_errors
from crocusrudder.workflows import inspection
from crocusrudder.workflows import model
from crocusrudder.workflows import rows
from crocusrudder.workflows import settings
from crocusrudder.workflows import step_guard
from crocusrudder.workflows import worker_prober

POLL_WAIT_SECONDS = 0.5
"""Longest time the worker waits for an end before it responds; measurements cover half a second."""
REPORT_INTERVAL_SECONDS = 0.5
REPORT_PAUSE_SECONDS = 0.000_15
"""Pause after a report for each run in it; the owner takes 0.01 ms for each, and more on slow
machines. A report names all runs of the worker, and each start or end causes one."""
MIN_RUNS_WITH_PAUSE = 64
"""Runs from which the pause matters to the owner."""
MAX_REPORT_PAUSE_SECONDS = 0.6
"""Longest pause, so that the next report is not missed by the owner after 1.3 s."""
UNACKNOWLEDGED_POLL_SECONDS = 0.04
"""Interval between polls while ends are not durable yet, which takes about 0.05 s."""
RETRY_DELAY_SECONDS = 0.1
MAX_STOP_DELAY_SECONDS = 0.4
"""Greatest delay between attempts to stop a run, each of which takes a log line if it fails."""
OWNER_READ_INTERVAL_SECONDS = 0.7
"""Interval at which the owner's row is read while the owner is unresponsive."""
MAX_STARTS = 8
"""Starts and changes of CPU shares in progress; each may take ``worker.CALL_TIMEOUT_SECONDS``."""
MAX_BLOCKS = 4
"""Stops of unanswered starts in progress."""
MAX_STOPS = 16
"""Ordered stops in progress. They have their own limit, so that the run of a cancelled job does not
go on while calls without a response take up the others."""
CLOSE_TIMEOUT_SECONDS = 0.5
"""Grace period for requests in flight at shutdown; heartbeats take some milliseconds."""


class AgentProcess:
    """Process that connects one worker to the owner."""

    def __init__(self, document: settings.WorkflowSettings) -> None:
        self._document = document
        self._metrics = metrics.Metrics()
        self._incarnation = ids.Incarnation(secrets.token_hex(4))
        sender = codec.Sender(document.process, self._incarnation, document.peer_address)
        self._link = transport.Transport(sender, document.peer_address, self._metrics.count)
        self._client = store.StoreClient.from_address(document.store_address)
        self._guard = step_guard.StepGuard()
        self._worker = worker.WorkerClient(document.worker_address)
        self._state = agent_state.AgentState(document.lease_max_ms / 1_000, clocks.read_boot_time())
        self._owner: ids.ProcessId | None = None
        self._prober = worker_prober.WorkerProber(self._state, self._worker, self._handle_probe)
        self._updates = curio.Event()
        self._acknowledgements = curio.Event()
        self._worker_log = logs.DependencyMonitor("worker")
        self._store_log = logs.DependencyMonitor("owner_row")
        self._start_calls = curio.Semaphore(MAX_STARTS)
        self._block_calls = curio.Semaphore(MAX_BLOCKS)
        self._stop_calls = curio.Semaphore(MAX_STOPS)

    async def run(self) -> None:
        """Serve until a stop signal; runs continue until their leases expire."""
        watcher = signals.SignalWatcher((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        host, port = settings.split_address(self._document.heartbeat_address)
        server = http_server.Server(host, port, self._handle_call, self._metrics.count)
        await server.start()
        inspection_server = await inspection.start(self._document, self._metrics, self._dump)
        self._log("started", incarnation=self._incarnation)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._link.receive_forever, self._deliver)
            await group.spawn(self._link.retry_forever)
            await group.spawn(self._prober.run_forever)
            await group.spawn(self._poll_runs_forever)
            await group.spawn(self._report_forever)
            await group.spawn(self._find_owner_forever)
            await group.spawn(self._wait_for_stop, watcher)
        await server.close(CLOSE_TIMEOUT_SECONDS)
        await inspection_server.close(CLOSE_TIMEOUT_SECONDS)
        if group.exception:
            self._log("process_failed", **core_errors.describe_unexpected(group.exception))
            raise group.exception
        self._log("stopped", incarnation=self._incarnation)

    async def _wait_for_stop(self, watcher: signals.SignalWatcher) -> None:
        while await watcher.wait() == signal.SIGHUP:
            self._log("settings_signal")

    # Calls by the worker

    async def _handle_call(self, request: http_messages.Request) -> http_messages.Response:
        heartbeat_match = heartbeats.HEARTBEAT_PATH.fullmatch(request.target)
        deregistration_match = heartbeats.DEREGISTER_PATH.fullmatch(request.target)
        if deregistration_match:
            await self._handle_deregistration(deregistration_match[1])
        elif heartbeat_match:
            try:
                heartbeat = heartbeats.decode_heartbeat(heartbeat_match[1], request.body)
            except errors.MalformedInputError as error:
                self._state.identity.record_unreadable(
                    heartbeat_match[1], str(error), clocks.read_boot_time()
                )
                self._perform_effects()
                return http_messages.make_json_response(400, error.to_dict())
            await self._handle_heartbeat(heartbeat)
        else:
            return http_messages.Response(404)
        return http_messages.make_json_response(200, {})

    async def _handle_heartbeat(self, heartbeat: heartbeats.Heartbeat) -> None:
        now = clocks.read_boot_time()
        if self._state.handle_heartbeat(heartbeat.state, heartbeat.sequence, now):
            await self._report_worker()
        await self._prober.notify(now)
        self._perform_effects()

    async def _handle_deregistration(self, worker_id: str) -> None:
        if not self._state.handle_deregistration(worker_id, clocks.read_boot_time()):
            self._metrics.count("deregistrations_ignored")
            return
        self._log("worker_signed_off", worker=worker_id)
        await curio.spawn(
            self._report_after, agent_state.DEREGISTRATION_TIMEOUT_SECONDS, daemon=True
        )

    async def _handle_probe(self, is_followed: bool) -> None:
        if is_followed:
            worker_id = self._state.current_worker.worker
            for run in self._state.take_unblocked():
                self._log("start_blocked_again", task=run[0], run=run[1], worker=worker_id)
                await curio.spawn(self._block, worker_id, run, daemon=True)
            if self._state.get_unbounded_seconds(clocks.read_boot_time()):
                await self._report_unbounded_lease(worker_id, "restart")
            await self._report_worker()
        self._perform_effects()

    async def _report_worker(self) -> None:
        state = self._state.current_worker
        self._log(
            "worker_seen",
            worker=state.worker,
            born_ms=state.born_ms,
            draining=state.draining,
            cold=state.cold,
            capacity=state.capacity.millicores,
            memory_mb=state.capacity.memory_mb,
            accelerators=state.capacity.accelerators,
        )
        await self._updates.set()

    def _perform_effects(self) -> None:
        """Perform the effects of heartbeats and probes."""
        for effect in self._state.identity.drain_effects():
            match effect:
                case effects.Count():
                    self._metrics.count(effect.name, effect.amount)
                case effects.LogChange():
                    logs.write_change(effect)

    # Orders of the owner

    async def _deliver(self, envelope: messages.Envelope, message: messages.Message) -> None:
        """Handle a message; an unexpected error, which is logged, must not end the receiver."""
        step = type(message).__name__
        try:
            await self._handle_message(envelope, message)
        except workflow_errors.RepeatedFailureError:
            raise
        except Exception as error:
            now = clocks.read_boot_time()
            self._guard.record_failure(step, error, now, is_essential=True, sender=envelope.sender)
            for change in self._guard.drain_log():
                self._metrics.count("steps_failed")
                logs.write_change(change)
        else:
            self._guard.record_success(step)

    async def _handle_message(self, envelope: messages.Envelope, message: messages.Message) -> None:
        if isinstance(message, workflow_messages.OwnerHello):
            await self._handle_owner_hello(envelope.sender, message)
            return
        if not isinstance(message, workflow_messages.AgentOrders):
            return
        if not self._state.is_epoch_plausible(message.epoch):
            self._record_implausible_epoch(envelope.sender, message.epoch)
            return
        now = clocks.read_boot_time()
        known_epoch = self._state.epoch
        orders = self._state.handle_orders(message, now)
        if self._state.epoch > known_epoch:
            # The new owner waits for a list made under its own epoch.
            await curio.spawn(self._poll_runs, self._state.current_worker, daemon=True)
        if orders is None:
            self._metrics.count("orders_void")
            return
        self._owner = envelope.sender
        if self._state.has_ends_to_acknowledge:
            await self._acknowledgements.set()
        for order in orders.starts:
            self._state.record_start_sent((order.task, order.run), now)
            await curio.spawn(self._start, orders, order, daemon=True)
        for run in orders.stops:
            await curio.spawn(self._stop, orders, run, daemon=True)
        starting = {(order.task, order.run) for order in orders.starts}
        for cpu_share in orders.paces:
            if cpu_share[:2] not in starting:
                await curio.spawn(self._set_cpu_share, orders, cpu_share, daemon=True)

    def _record_implausible_epoch(self, sender: ids.ProcessId, epoch: int) -> None:
        """Count orders of an epoch that no owner can have; log the first ones."""
        if "orders_epoch_refused" not in self._metrics.counters:
            self._log("orders_epoch_refused", sender=sender, order_epoch=epoch)
        self._metrics.count("orders_epoch_refused")

    async def _handle_owner_hello(
        self, sender: ids.ProcessId, hello: workflow_messages.OwnerHello
    ) -> None:
        """Send a report to an owner that has just started its epoch."""
        if hello.epoch >= self._state.epoch:
            self._owner = sender
            await self._updates.set()

    async def _start(
        self, orders: workflow_messages.AgentOrders, order: workflow_messages.StartOrder
    ) -> None:
        run = (order.task, order.run)
        try:
            async with self._start_calls:
                rejected = await self._call_start(orders, order)
        except errors.PlatformError as error:
            self._record_call_failure(orders.worker, error)
            self._log("start_unanswered", task=order.task, run=order.run, error=str(error))
            self._state.record_start_failure(run, clocks.read_boot_time())
            await self._block(orders.worker, run)
            return
        self._state.record_start_result(run, rejected, clocks.read_boot_time())
        self._log(
            "run_started" if rejected is None else "run_refused",
            task=order.task,
            run=order.run,
            epoch=orders.epoch,
            worker=orders.worker,
            reason=rejected.value if rejected else "",
        )
        for cpu_share in orders.paces:
            if cpu_share[:2] == run and rejected is None:
                await self._set_cpu_share(orders, cpu_share)
        await self._updates.set()

    async def _call_start(
        self, orders: workflow_messages.AgentOrders, order: workflow_messages.StartOrder
    ) -> model.RejectReason | None:
        now = clocks.read_boot_time()
        if (orders.worker, orders.born_ms) != self._state.current_incarnation:
            return model.RejectReason.NOT_READY
        rejection = self._state.find_rejection(order, orders.echo, now)
        if rejection is not None:
            return rejection
        lease_end = self._state.get_lease_end_ms(now)
        if lease_end is None:
            return model.RejectReason.NOT_READY
        try:
            answer = await self._worker.start(orders.worker, order, orders.epoch, lease_end)
        except (errors.NotExecutedError, errors.WrongWorkerError) as error:
            self._record_call_failure(orders.worker, error)
            return model.RejectReason.UNHEALTHY
        # A response of an earlier incarnation says nothing about the present one's clock.
        if (orders.worker, orders.born_ms) == self._state.current_incarnation:
            await self._record_clock(orders.worker, answer.clock_ms)
        return answer.rejected

    async def _record_clock(self, worker_id: ids.WorkerId, clock_ms: int) -> None:
        """Record a response of the worker, and report at once if it has another clock."""
        if self._state.record_response(clock_ms, clocks.read_boot_time()):
            await self._report_unbounded_lease(worker_id, "clock")

    async def _report_unbounded_lease(self, worker_id: ids.WorkerId, cause: str) -> None:
        """Log that the worker has a lease without a bound by renewals, and report it at once."""
        seconds = self._state.get_unbounded_seconds(clocks.read_boot_time())
        self._log("lease_unbounded", worker=worker_id, cause=cause, seconds=round(seconds, 2))
        self._metrics.count("leases_unbounded")
        await self._updates.set()

    async def _block(self, worker_id: ids.WorkerId, run: model.RunKey) -> None:
        """Stop a run whose start was not answered, so that it cannot start later.

        Attempts end once the worker accepts one, or has no lease or another incarnation.
        """
        await self._stop_while(self._state.is_starting, worker_id, run, self._block_calls)

    async def _stop(self, orders: workflow_messages.AgentOrders, run: model.RunKey) -> None:
        """Carry out an ordered stop.

        Attempts end once the worker accepts one or lists the end, or has no lease or another
        incarnation.
        """
        try:
            await self._stop_while(self._state.is_stopping, orders.worker, run, self._stop_calls)
        finally:
            self._state.record_stop_failure(run)

    async def _stop_while(
        self,
        is_needed: Callable[[model.RunKey], bool],
        worker_id: ids.WorkerId,
        run: model.RunKey,
        limit: curio.Semaphore,
    ) -> None:
        delay = RETRY_DELAY_SECONDS
        while is_needed(run) and not await self._try_stop(worker_id, run, limit):
            await curio.sleep(delay)
            delay = min(2 * delay, MAX_STOP_DELAY_SECONDS)

    async def _try_stop(
        self, worker_id: ids.WorkerId, run: model.RunKey, limit: curio.Semaphore
    ) -> bool:
        """Make one attempt to stop a run; return whether the current worker accepted it."""
        accepted = False
        try:
            async with limit:
                # The worker refuses the epoch of an owner that has been replaced since the order.
                epoch = self._state.epoch
                incarnation = self._state.current_incarnation
                accepted = await self._worker.stop(worker_id, *run, epoch)
            # A stop holds in the incarnation that accepted it, and no longer.
            accepted = accepted and incarnation == self._state.current_incarnation
        except errors.PlatformError as error:
            self._record_call_failure(worker_id, error)
            self._log("stop_unanswered", task=run[0], run=run[1], error=str(error))
            self._metrics.count("stops_unanswered")
        else:
            self._log("run_stopped", task=run[0], run=run[1], taken=accepted, epoch=epoch)
            self._state.record_stop_result(run, accepted, clocks.read_boot_time())
        await self._updates.set()
        return accepted

    async def _set_cpu_share(
        self, orders: workflow_messages.AgentOrders, cpu_share: tuple[str, int, int]
    ) -> None:
        task, run, percent = cpu_share
        try:
            async with self._start_calls:
                accepted = await self._worker.set_cpu_share(
                    orders.worker, task, run, percent, orders.epoch
                )
        except errors.PlatformError as error:
            self._record_call_failure(orders.worker, error)
            self._log("pace_unanswered", task=task, run=run, error=str(error))
            return
        self._log("run_paced", task=task, run=run, percent=percent, taken=accepted)

    def _record_call_failure(self, worker_id: ids.WorkerId, error: errors.PlatformError) -> None:
        now = clocks.read_boot_time()
        self._state.record_call_failure(worker_id, error.is_connection_closed, now)

    # Leases and lists

    async def _poll_runs_forever(self) -> None:
        while True:
            current = self._state.current_worker
            if current is None or not self._state.epoch:
                await curio.sleep(RETRY_DELAY_SECONDS)
                continue
            self._acknowledgements.clear()
            if not await self._poll_runs(current):
                await curio.sleep(RETRY_DELAY_SECONDS)
            elif self._state.has_ends_to_acknowledge:
                # Only a poll right after the list may acknowledge them.
                continue
            elif self._state.has_unacknowledged_ends:
                # The worker answers at once while it has ends to list, so a poll without this
                # pause would be repeated every few milliseconds until the ends are durable.
                await curio.ignore_after(UNACKNOWLEDGED_POLL_SECONDS, self._acknowledgements.wait)

    async def _poll_runs(self, current: workflow_messages.WorkerState | None) -> bool:
        """Renew the lease and apply the worker's list; return whether the worker responded."""
        if current is None:
            return False
        state = self._state
        requested_at = clocks.read_boot_time()
        epoch = state.epoch
        lease_end = state.get_lease_end_ms(requested_at)
        wait = 0.0 if state.is_list_due or lease_end is None else POLL_WAIT_SECONDS
        try:
            listed = await self._worker.poll_runs(
                current.incarnation,
                epoch,
                state.acknowledged,
                lease_end,
                wait,
                state.get_end_to_acknowledge(requested_at),
            )
        except errors.PlatformError as error:
            self._record_call_failure(current.worker, error)
            self._metrics.count("holds_failed")
            state.record_poll_failure(clocks.read_boot_time())
            if isinstance(error, errors.RestartedWorkerError) and lease_end is not None:
                state.record_stale_renewal(clocks.read_boot_time())
                await self._report_unbounded_lease(current.worker, "hold")
            self._worker_log.record(False, str(error))
            return False
        self._worker_log.record(True)
        if listed is not None and listed.unreadable:
            self._metrics.count("list_entries_unreadable", listed.unreadable)
        if listed is None:
            self._log("owner_superseded", epoch=epoch)
            return False
        if state.current_worker is None or state.current_worker.incarnation != current.incarnation:
            return True
        if state.handle_list(listed, epoch, requested_at, clocks.read_boot_time()):
            await self._updates.set()
        return True

    # Reports

    async def _report_forever(self) -> None:
        while True:
            await curio.ignore_after(REPORT_INTERVAL_SECONDS, self._updates.wait)
            self._updates.clear()
            if self._owner is None:
                await curio.sleep(RETRY_DELAY_SECONDS)
                continue
            now = clocks.read_boot_time()
            report = self._state.make_report(self._document.data_centre, now)
            self._link.send(self._owner, report, transport.ANY_INCARNATION)
            await self._link.retry_unsent()
            runs = len(report.running) + len(report.starting) + len(report.ended)
            if runs >= MIN_RUNS_WITH_PAUSE:
                await curio.sleep(min(runs * REPORT_PAUSE_SECONDS, MAX_REPORT_PAUSE_SECONDS))

    async def _report_after(self, seconds: float) -> None:
        """Trigger a report after some time, when the worker's timeout changes the state."""
        await curio.sleep(seconds)
        await self._updates.set()

    async def _find_owner_forever(self) -> None:
        while True:
            if self._state.is_owner_unresponsive(clocks.read_boot_time()):
                await self._read_owner()
                await curio.sleep(OWNER_READ_INTERVAL_SECONDS)
            else:
                await curio.sleep(RETRY_DELAY_SECONDS)

    async def _read_owner(self) -> None:
        """Read from the store who the owner is and whether it grants lease renewals."""
        requested_at = clocks.read_boot_time()
        try:
            found = await self._client.read_row(rows.CONTROL_TABLE, rows.OWNER_KEY)
            row = rows.decode_owner(found.value, found.version) if found else None
        except errors.PlatformError as error:
            self._store_log.record(False, str(error))
            return
        except workflow_errors.UnreadableRowError as error:
            self._log("row_unreadable", key=rows.OWNER_KEY, error=str(error))
            return
        self._store_log.record(True)
        if row is None:
            return
        if self._owner is not None:
            self._link.reconnect(self._owner)
        self._owner = row.holder
        self._prober.record_row_epoch(row.epoch)
        self._state.record_row_epoch(row.epoch)
        self._link.record_address(row.holder, row.address)
        if self._document.process not in row.lost:
            self._state.record_grant(row.epoch, requested_at)
        await self._updates.set()

    def _dump(self) -> dict[str, object]:
        report = self._state.make_report(self._document.data_centre, clocks.read_boot_time())
        return {
            "process": self._document.process,
            "owner": self._owner,
            "report": report,
            "heartbeats": self._state.identity.describe(),
            "list_entries_unreadable": self._metrics.counters.get("list_entries_unreadable", 0),
        }

    def _log(self, name: str, **fields: object) -> None:
        logs.write_change(effects.LogChange(name, fields))


def run(document: settings.WorkflowSettings) -> None:
    logs.configure_process(document.process)
    curio.run(AgentProcess(document).run)
