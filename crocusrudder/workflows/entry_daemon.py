"""Entry process: serves callers, watches the configuration and claims a vacant ownership."""

import functools
import random
import secrets
import signal

import curio

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.core import errors as core_errors
from crocusrudder.core import ids
from crocusrudder.hosting import http_connection
from crocusrudder.hosting import http_messages
from crocusrudder.hosting import http_server
from crocusrudder.hosting import signals
from crocusrudder.observability import logs
from crocusrudder.observability import metrics
from crocusrudder.platform import errors
from crocusrudder.platform import operator
from crocusrudder.platform import store
from crocusrudder.wire import codec
from crocusrudder.wire import messages
from crocusrudder.wire import transport
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import calls
from crocusrudder.workflows import entry_http
from crocusrudder.workflows import errors as workflow_errors
from crocusrudder.workflows import evacuations
from crocusrudder.workflows import inspection
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import owner_service
from crocusrudder.workflows import ownership
from crocusrudder.workflows import rows
from crocusrudder.workflows import settings
from crocusrudder.workflows import step_guard
from crocusrudder.workflows import submission_gate
from crocusrudder.workflows.decisions import outage

FEED_WAIT_SECONDS = 1.0
"""Longest wait of the feed; an unresponsive connection is noticed soon after."""
RETRY_DELAY_SECONDS = 0.1
HELLO_INTERVAL_SECONDS = 0.5
OWNER_READ_INTERVAL_SECONDS = 0.25
"""Interval at which the owner's row is read while the owner is unresponsive."""
CORES_DELAY_SECONDS = 0.8
"""Delay after registration before the cores of the other entries are read, by when all of them
have registered if the whole system starts."""
CORES_INTERVAL_SECONDS = 20.0
QUERY_TIMEOUT_SECONDS = 0.5
"""Timeout of a query to the owner for the state of a job; a response takes about 0.02 s."""
RELAY_TIMEOUT_SECONDS = 1.0
"""Timeout of a submission or cancellation that another entry carries out."""
PENDING_VALID_SECONDS = 1.5
"""Greatest age of the owner's counts of pending jobs; callers accept counts up to 2 s old."""
CLOSE_TIMEOUT_SECONDS = 0.5
"""Grace period for requests in flight at shutdown; callers have had their responses before."""
READINESS_DELAY_SECONDS = 2.5
"""Time in which the load balancer notices that the entry is not ready; it probes every second and
needs two failed probes."""
STOP_SECONDS = 5.0
"""Time from a planned stop until the last request has its response; the platform kills the process
after 6 s."""


class EntryProcess:
    """Process that serves callers and competes for the ownership of the workers."""

    def __init__(self, document: settings.WorkflowSettings) -> None:
        self._document = document
        self._metrics = metrics.Metrics()
        self._incarnation = ids.Incarnation(secrets.token_hex(4))
        sender = codec.Sender(document.process, self._incarnation, document.peer_address)
        self._link = transport.Transport(sender, document.peer_address, self._metrics.count)
        self._client = store.StoreClient.from_address(document.store_address)
        self._guard = step_guard.StepGuard()
        self._jobs = calls.JobStore(self._client)
        self._configuration: model.Configuration | None = None
        self._evacuation_reader = evacuations.EvacuationReader(self._client)
        self._configuration_version = 0
        self._service: owner_service.OwnerService | None = None
        self._owner: ids.ProcessId | None = None
        self._owner_epoch = 0
        self._owner_heard_at = float("-inf")
        self._challenger = ownership.Challenger(document.process, document.peer_address)
        self._pending: dict[str, int] = {}
        self._known_cores: dict[ids.ProcessId, float] = {}
        self._feed_log = logs.DependencyMonitor("configuration_feed")
        self._open_calls: dict[str, curio.Queue] = {}
        self._is_stopping = False
        self._outage = outage.StoreOutage(random.Random())
        self._gate = submission_gate.SubmissionGate(self._outage, self._metrics.count)

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        watcher = signals.SignalWatcher((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        caller_server = await self._start_server(
            self._document.caller_address,
            entry_http.JobHttp(
                self._execute,
                lambda: self._configuration,
                self._count_pending,
                self._choose_retry_after,
            ).handle,
        )
        ready_server = await self._start_server(self._document.ready_address, self._respond_ready)
        inspection_server = await inspection.start(self._document, self._metrics, self._dump)
        self._log("started", incarnation=self._incarnation)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._link.receive_forever, self._deliver)
            await group.spawn(self._link.retry_forever)
            await group.spawn(self._watch_configuration)
            await group.spawn(self._claim_forever)
            await group.spawn(self._send_hellos_forever)
            await group.spawn(self._register)
            await group.spawn(self._wait_for_stop, watcher, caller_server)
        for server in (caller_server, ready_server, inspection_server):
            await server.close(CLOSE_TIMEOUT_SECONDS)
        if group.exception:
            self._log("process_failed", **core_errors.describe_unexpected(group.exception))
            raise group.exception
        self._log("stopped", incarnation=self._incarnation)

    async def _start_server(self, address: str, handle: http_server.Handler) -> http_server.Server:
        host, port = settings.split_address(address)
        limits = http_connection.ServerLimits()
        server = http_server.Server(host, port, handle, self._metrics.count, limits)
        await server.start()
        return server

    async def _respond_ready(self, request: http_messages.Request) -> http_messages.Response:
        is_ready = self._configuration is not None and not self._is_stopping
        return http_messages.make_json_response(200 if is_ready else 503, {"ready": is_ready})

    async def _wait_for_stop(
        self, watcher: signals.SignalWatcher, caller_server: http_server.Server
    ) -> None:
        while await watcher.wait() == signal.SIGHUP:
            self._log("settings_signal")
        self._is_stopping = True
        self._log("stopping")
        stopped_at = clocks.read_boot_time() + STOP_SECONDS
        await self._gate.close_after(STOP_SECONDS)
        if self._service is not None:
            await self._service.release()
        await curio.sleep(READINESS_DELAY_SECONDS)
        await caller_server.close(stopped_at - clocks.read_boot_time())

    # Configuration

    async def _watch_configuration(self) -> None:
        version = 0
        while True:
            try:
                if version == 0:
                    version = await self._read_configuration()
                requested_at = clocks.read_boot_time()
                page = await self._client.watch(store.OPERATOR_TABLE, version, FEED_WAIT_SECONDS)
            except errors.HistoryGoneError:
                self._log("history_gone", table=store.OPERATOR_TABLE)
                version = 0
                continue
            except errors.PlatformError as error:
                self._feed_log.record(False, str(error))
                await curio.sleep(RETRY_DELAY_SECONDS)
                continue
            self._feed_log.record(True)
            self._evacuation_reader.apply_feed(page, requested_at, FEED_WAIT_SECONDS)
            for row in page.rows:
                self._apply_configuration(row)
            version = max(version, page.version)

    async def _read_configuration(self) -> int:
        requested_at = clocks.read_boot_time()
        page = await self._client.read(store.OPERATOR_TABLE)
        self._evacuation_reader.apply_read(page, requested_at)
        for row in page.rows:
            self._apply_configuration(row)
        return page.version

    def _apply_configuration(self, row: store.StoreRow) -> None:
        if row.key != store.CONFIGURATION_KEY or row.value is None:
            return
        try:
            configuration = operator.decode_configuration(row.value)
        except errors.MalformedInputError as error:
            self._log("configuration_unreadable", **error.to_dict())
            return
        if self._configuration and configuration.version <= self._configuration.version:
            return
        if configuration.unreadable:
            # A queue that cannot be read may be one of those that are known.
            known = self._configuration or model.Configuration()
            configuration = configuration.add_known(known)
            failure = errors.MalformedInputError("; ".join(configuration.unreadable))
            self._metrics.count("configuration_items_unreadable", len(configuration.unreadable))
            self._log("configuration_unreadable", **failure.to_dict())
        self._configuration = configuration
        self._log(
            "configuration_taken", version=configuration.version, queues=len(configuration.queues)
        )
        for text in configuration.unserved:
            self._log("operator_request_unknown", **errors.UnknownRequestError(text).to_dict())

    # Ownership

    async def _claim_forever(self) -> None:
        while True:
            elapsed = clocks.read_boot_time() - self._owner_heard_at
            is_read_due = (
                elapsed >= leases.OWNER_TIMEOUT_SECONDS or self._challenger.has_owner_stepped_down
            )
            if self._is_stopping or not is_read_due:
                await curio.sleep(OWNER_READ_INTERVAL_SECONDS)
                continue
            lease = await self._try_claim()
            if lease is None:
                await curio.sleep(OWNER_READ_INTERVAL_SECONDS)
                continue
            await self._run_service(lease)
            self._challenger.reset()

    async def _try_claim(self) -> ownership.OwnershipLease | None:
        challenger = self._challenger
        started_at = clocks.read_boot_time()
        try:
            found = await self._client.read_row(rows.CONTROL_TABLE, rows.OWNER_KEY)
            row = self._decode_owner(found)
            version = found.version if found else 0
            if not challenger.observe(row, version, started_at):
                return None
            cores = self._document.cores
            if not challenger.is_claim_due(started_at, cores, self._known_cores.values()):
                return None
            started_at = clocks.read_boot_time()
            claim, expected = challenger.make_claim()
            self._log(
                "claiming",
                epoch=claim.epoch,
                previous=row and row.holder,
                cores=cores,
                largest_cores=max(self._known_cores.values(), default=None),
            )
            write = store.Write(rows.CONTROL_TABLE, rows.OWNER_KEY, rows.encode(claim))
            condition = store.Expectation(rows.CONTROL_TABLE, rows.OWNER_KEY, expected)
            version = await self._client.commit([write], [condition])
        except errors.PlatformError as error:
            self._log("claim_failed", error=str(error))
            challenger.reset()
            return None
        return ownership.OwnershipLease(claim, version, started_at)

    def _decode_owner(self, found: store.StoreRow | None) -> rows.OwnerRow | None:
        """Return the owner's row and record its holder; one that cannot be read has no holder.

        Such a row is claimed like that of a silent owner. Otherwise nobody could ever own the
        workers again. The owner that wrote it earlier ends with its next commit.
        """
        if found is None:
            return None
        try:
            row = rows.decode_owner(found.value, found.version)
        except workflow_errors.UnreadableRowError as error:
            self._metrics.count("rows_unreadable")
            self._log("row_unreadable", table=found.table, key=found.key, **error.to_dict())
            return rows.make_unknown_owner(found.version)
        self._record_owner(row)
        return row

    async def _register(self) -> None:
        """Store this entry's address, so that each new owner can send it hellos."""
        address = self._document.peer_address.encode()
        process = self._document.process
        writes = [
            store.Write(rows.ENTRIES_TABLE, process, address),
            store.Write(rows.CORES_TABLE, process, rows.encode_cores(self._document.cores)),
        ]
        while True:
            try:
                await self._client.commit(writes)
                break
            except errors.PlatformError as error:
                self._log("registration_failed", error=str(error))
                await curio.sleep(RETRY_DELAY_SECONDS)
        await curio.sleep(CORES_DELAY_SECONDS)
        while True:
            await self._read_cores()
            await curio.sleep(CORES_INTERVAL_SECONDS)

    async def _read_cores(self) -> None:
        """Read how many cores each entry has."""
        try:
            page = await self._client.read(rows.CORES_TABLE)
        except errors.PlatformError as error:
            self._log("read_failed", table=rows.CORES_TABLE, error=str(error))
            return
        for row in page.rows:
            try:
                self._known_cores[ids.ProcessId(row.key)] = rows.decode_cores(row.value or b"")
            except workflow_errors.UnreadableRowError as error:
                self._log("row_unreadable", key=row.key, error=str(error))

    async def _run_service(self, lease: ownership.OwnershipLease) -> None:
        self._log("claimed", epoch=lease.row.epoch)
        self._owner = self._document.process
        self._owner_epoch = lease.row.epoch
        self._service = owner_service.OwnerService(
            lease,
            self._client,
            self._link,
            self._metrics,
            lambda: self._configuration,
            self._document.cores,
            self._evacuation_reader,
            self._document.evacuation_bounds,
            self._document.far_factor,
            self._document.learned_order,
        )
        try:
            await self._service.run()
        finally:
            self._service = None
            if self._owner == self._document.process:
                self._owner = None

    def _record_owner(self, row: rows.OwnerRow) -> None:
        if row.released or row.holder == self._document.process:
            return
        self._link.record_address(row.holder, row.address)
        self._owner = row.holder
        # The store decides: a hello may have claimed an epoch that does not exist.
        self._owner_epoch = row.epoch
        self._send_hello()

    async def _send_hellos_forever(self) -> None:
        while True:
            self._send_hello()
            await self._link.retry_unsent()
            await curio.sleep(HELLO_INTERVAL_SECONDS)

    def _send_hello(self) -> None:
        if self._owner not in (None, self._document.process):
            version = self._configuration.version if self._configuration else 0
            hello = workflow_messages.EntryHello(version, self._document.cores)
            self._link.send(self._owner, hello, transport.ANY_INCARNATION)

    # Messages

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
        service = self._service
        sender = envelope.sender
        match message:
            case workflow_messages.AgentReport() if service is not None:
                await service.handle_report(
                    sender, envelope.sender_incarnation, envelope.sender_address, message
                )
            case workflow_messages.EntryHello() if service is not None:
                service.handle_entry_hello(sender, message.cores)
            case workflow_messages.JobStored() if service is not None:
                await service.handle_stored_job(message)
            case workflow_messages.OwnerHello():
                self._handle_owner_hello(sender, message)
            case workflow_messages.JobCall():
                await curio.spawn(self._handle_job_call, sender, message, daemon=True)
            case workflow_messages.JobAnswer():
                waiting = self._open_calls.get(message.call)
                # A second answer would block the receiver, as its caller may have left.
                if waiting is not None and not waiting.full():
                    await waiting.put(calls.Outcome(message.outcome))

    def _handle_owner_hello(
        self, sender: ids.ProcessId, hello: workflow_messages.OwnerHello
    ) -> None:
        if hello.epoch < self._owner_epoch:
            return
        if self._service is not None and hello.epoch > self._owner_epoch:
            self._service.supersede()
        self._owner = sender
        self._owner_epoch = hello.epoch
        self._pending = hello.pending
        now = clocks.read_boot_time()
        if hello.has_stepped_down:
            self._challenger.record_step_down(hello.version)
        else:
            self._owner_heard_at = now
            self._challenger.handle_hello(hello.version, now)

    # Calls of callers

    def _count_pending(self, queue: model.QueueName) -> int | None:
        if self._service is not None and self._service.is_state_current:
            return self._service.owner.count_pending().get(queue, 0)
        if clocks.read_boot_time() - self._owner_heard_at > PENDING_VALID_SECONDS:
            return None
        return self._pending.get(queue, 0)

    async def _execute(
        self, kind: str, job: ids.JobId, row: bytes, timeout_seconds: float
    ) -> calls.Outcome:
        """Execute a call in this process or through the owner."""
        if kind == "status":
            return await self._query_state(job)
        return await self._gate.perform(
            functools.partial(self._attempt, kind, job, row), timeout_seconds
        )

    async def _attempt(
        self, kind: str, job: ids.JobId, row: bytes, timeout_seconds: float
    ) -> calls.Outcome:
        """Try the store, then the owner, which may reach the store when this entry cannot."""
        deadline = clocks.read_boot_time() + timeout_seconds
        outcome = await self._execute_in_store(kind, job, row, timeout_seconds)
        remaining = deadline - clocks.read_boot_time()
        if outcome not in calls.INCONCLUSIVE or remaining <= 0:
            return outcome
        relayed = await self._call_owner(kind, job, row, min(RELAY_TIMEOUT_SECONDS, remaining))
        # If any attempt may have had an effect, the call must not be reported as not performed.
        return outcome if relayed is calls.Outcome.NOT_PERFORMED else relayed

    def _choose_retry_after(self) -> int:
        return self._outage.choose_retry_after(clocks.read_boot_time())

    async def _execute_in_store(
        self, kind: str, job: ids.JobId, row: bytes, timeout_seconds: float
    ) -> calls.Outcome:
        """Store a submission or cancellation, and notify the owner."""
        timeout = min(timeout_seconds, store.CALL_TIMEOUT_SECONDS)
        if kind == "submit":
            outcome, version = await self._jobs.submit(job, row, timeout)
        else:
            outcome, version = await self._jobs.cancel(job, timeout)
        if version:
            stored = workflow_messages.JobStored(job, version, row)
            if self._service is not None and self._owner == self._document.process:
                await self._service.handle_stored_job(stored)
            elif self._owner is not None:
                self._link.send(self._owner, stored, transport.ANY_INCARNATION)
                await self._link.retry_unsent()
        return outcome

    async def _query_state(self, job: ids.JobId) -> calls.Outcome:
        outcome = self._get_local_state(job)
        if outcome is None:
            outcome = await self._call_owner("status", job, b"", QUERY_TIMEOUT_SECONDS)
        if outcome in calls.INCONCLUSIVE or outcome is calls.Outcome.UNKNOWN_JOB:
            outcome = await self._jobs.read_state(job)
        return outcome

    def _get_local_state(self, job: ids.JobId) -> calls.Outcome | None:
        if self._service is None or not self._service.is_state_current:
            return None
        record = self._service.owner.job_registry.get(job)
        return calls.make_state_outcome(record.visible_state) if record else None

    async def _call_owner(
        self, kind: str, job: ids.JobId, row: bytes, timeout_seconds: float
    ) -> calls.Outcome:
        """Return the owner's outcome.

        It is uncertain if the owner does not respond, and not performed if no request was sent.
        """
        elapsed = clocks.read_boot_time() - self._owner_heard_at
        is_owner = self._owner == self._document.process
        if is_owner or elapsed > leases.OWNER_TIMEOUT_SECONDS:
            return calls.Outcome.NOT_PERFORMED
        call = secrets.token_hex(8)
        self._open_calls[call] = curio.Queue(maxsize=1)
        try:
            request = workflow_messages.JobCall(call, kind, job, row)
            self._link.send(self._owner, request, transport.ANY_INCARNATION)
            await self._link.retry_unsent()
            answer = await curio.ignore_after(timeout_seconds, self._open_calls[call].get)
            return answer or calls.Outcome.UNCERTAIN
        finally:
            del self._open_calls[call]

    async def _handle_job_call(
        self, sender: ids.ProcessId, call: workflow_messages.JobCall
    ) -> None:
        if call.kind == "status":
            outcome = self._get_local_state(call.job) or calls.Outcome.UNKNOWN_JOB
        else:
            outcome = await self._execute_in_store(
                call.kind, call.job, call.row, RELAY_TIMEOUT_SECONDS
            )
        answer = workflow_messages.JobAnswer(call.call, outcome.value)
        self._link.send(sender, answer, transport.ANY_INCARNATION)
        await self._link.retry_unsent()

    def _dump(self) -> dict[str, object]:
        return {
            "process": self._document.process,
            "incarnation": self._incarnation,
            "configuration": self._configuration.version if self._configuration else None,
            "evacuated": sorted(self._evacuation_reader.evacuations.evacuated),
            "owner": self._owner,
            "owner_epoch": self._owner_epoch,
            "owned": self._service.owner.dump() if self._service else None,
        }

    def _log(self, name: str, **fields: object) -> None:
        logs.write_change(effects.LogChange(name, fields))


def run(document: settings.WorkflowSettings) -> None:
    logs.configure_process(document.process)
    curio.run(EntryProcess(document).run)
