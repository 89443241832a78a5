"""Run tasks on a worker: admit starts, renew leases, report ends."""

import functools
from typing import Protocol

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.jobs import calls
from crocusrudder.jobs import capacity as capacity_module
from crocusrudder.jobs import resume
from crocusrudder.jobs import runs as runs_module
from crocusrudder.jobs import tracker
from crocusrudder.platform import runtime_calls
from crocusrudder.wire import messages

REPORT_SECONDS = 2.0
"""Interval at which the report of an end is sent again until it is acknowledged."""

RETRY_SECONDS = 1.0
"""Delay before a runtime call without a usable answer is repeated."""

DRAIN_SECONDS = 20.0
"""Grace period of a planned stop, in which runs are checkpointed and their ends recorded."""


class Announcer(Protocol):
    """The part of ``membership.announcer.Announcer`` that the runner uses."""

    @property
    def owner(self) -> ids.ProcessId:
        """Return the owner of the cell; empty if unknown."""
        ...

    def lease_deadline(self, heartbeat_sequence: int, lease_seconds: float) -> float | None:
        """Return when a lease counted from a heartbeat expires; None for an unknown heartbeat."""
        ...

    def accepts(self, sender: ids.ProcessId, cell_epoch: ids.CellEpoch) -> bool:
        """Return whether the sender is the owner under the acknowledged cell epoch."""
        ...


class TaskRunner:
    """Admit, renew, stop and report the runs of one worker.

    A start is admitted only from the owner under the acknowledged cell epoch, with a task epoch
    higher than any seen, before its lease expires, and if its size fits beside the other
    reservations.
    """

    def __init__(
        self,
        announcer: Announcer,
        capacity: capacity_module.CapacityReservations,
        worker: ids.WorkerId,
        drain_seconds: float = DRAIN_SECONDS,
    ) -> None:
        self._announcer = announcer
        self._capacity = capacity
        self._worker = worker
        self._calls = calls.RuntimeCalls("run")
        self._runs = runs_module.RunRegistry()
        self._tracker = tracker.RunTracker(self._runs, capacity)
        self._cell = ids.CellId("")
        self._ready = False
        self._lease_deadline = float("-inf")
        self._drain_seconds = drain_seconds
        self._drain_until: float | None = None
        self._drained = False

    @property
    def ready(self) -> bool:
        """Return whether the runtime's list has been read, so that starts can be admitted."""
        return self._ready

    @property
    def draining(self) -> bool:
        """Return whether a planned stop has started."""
        return self._drain_until is not None

    @property
    def drained(self) -> bool:
        """Return whether a planned stop may end: all ends recorded or the grace period over."""
        return self._drained

    @property
    def reserved(self) -> messages.Resources:
        """Return the sum of the sizes of live runs."""
        sizes = (run.size for run in self._runs.list_live())
        return functools.reduce(capacity_module.add, sizes, messages.Resources())

    def list_statuses(self) -> tuple[messages.TaskStatus, ...]:
        """Return all runs, including ended ones that the owner has not acknowledged."""
        return tuple(run.status for run in self._runs)

    def drain_changed_runs(self) -> tuple[messages.TaskStatus, ...]:
        """Return the runs that have changed since the last call."""
        return self._tracker.drain_changed_runs()

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        return self._dispatch(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """List the runs of the runtime and repeat calls and reports, where they are due."""
        self._runs.forget_epochs(now)
        produced = self._calls.make_due_list(now)
        for run in self._runs.list_live():
            produced += self._issue_next_call(run, now)
        produced += self._report_ends(now)
        self._update_drained(now)
        return produced

    def dump(self) -> dict[str, object]:
        return {
            "ready": self._ready,
            "draining": self.draining,
            "lease_deadline": self._lease_deadline if self._ready else None,
            "reserved": msgspec.to_builtins(self.reserved),
            "runs": [msgspec.to_builtins(run.status) for run in self._runs],
            "calls": self._calls.count,
        }

    @functools.singledispatchmethod
    def _dispatch(self, event: events.Event, now: float) -> list[effects.Effect]:
        return []

    @_dispatch.register
    def _on_received(self, event: events.Received, now: float) -> list[effects.Effect]:
        return self._receive(event.message, event, now)

    @_dispatch.register
    def _on_stop(self, event: events.StopRequested, now: float) -> list[effects.Effect]:
        if self._drain_until is None:
            self._drain_until = now + self._drain_seconds
        return self.tick(now)

    @_dispatch.register
    def _on_runtime_answer(self, event: events.RuntimeAnswered, now: float) -> list[effects.Effect]:
        call = self._calls.pop(event.operation)
        if call is None:
            return []
        if isinstance(event.answer, runtime_calls.RuntimeRefusal):
            return self._handle_refusal(call, event.answer.reason, now)
        if isinstance(call.call, runtime_calls.ListRuns):
            return self._apply_list(event.answer.runs, call.issued_at, now)
        return self._apply_answer(call, event.answer.runs, now)

    @_dispatch.register
    def _on_runtime_unknown(self, event: events.RuntimeUnknown, now: float) -> list[effects.Effect]:
        call = self._calls.pop(event.operation)
        if call is None:
            return []
        if isinstance(call.call, runtime_calls.StartRun) and call.run is not None:
            call.run.is_outcome_unknown = True
        if isinstance(call.call, runtime_calls.RenewRuns):
            return self._renew(call.call.lease_deadline, now)
        return self._calls.make_list(now)

    @functools.singledispatchmethod
    def _receive(
        self, message: messages.Message, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return []

    @_receive.register
    def _on_start(
        self, message: messages.StartTask, event: events.Received, now: float
    ) -> list[effects.Effect]:
        key = (message.task, message.epoch)
        if message.epoch <= self._runs.get_epoch(message.task):
            existing = self._runs.get(key)
            if existing is not None:
                self._tracker.record_change(key)
                existing.reported_at = float("-inf")
            return [effects.Count("starts_repeated")]
        deadline = self._announcer.lease_deadline(message.heartbeat, message.lease_seconds)
        reason = self._find_refusal(message, event.sender, deadline, now)
        self._cell = message.cell
        status = messages.TaskStatus(message.task, message.epoch, messages.RunState.STARTING)
        run = runs_module.Run(status, message.size)
        self._runs.add(run, now + tracker.EPOCH_RETENTION_SECONDS)
        if reason is not None:
            return self._refuse(run, reason.value, now)
        newest, *run.checkpoints = resume.list_checkpoints(*key, message.checkpoint)
        run.start = runtime_calls.StartRun(*key, message.size, message.command, newest, deadline)
        self._tracker.record_change(key)
        return [effects.Count("starts_admitted"), self._calls.make(run.start, run, now)]

    def _find_refusal(
        self,
        message: messages.StartTask,
        sender: ids.ProcessId,
        deadline: float | None,
        now: float,
    ) -> messages.RefusalReason | None:
        """Return why a start is refused; otherwise reserve its size and return None."""
        if not self._announcer.accepts(sender, message.cell_epoch):
            return messages.RefusalReason.STALE_OWNER
        if not self._ready or self._runs.find_live(message.task) is not None:
            return messages.RefusalReason.NOT_READY
        if self.draining:
            return messages.RefusalReason.DRAINING
        if deadline is None or deadline <= now:
            return messages.RefusalReason.LEASE_LAPSED
        if not self._capacity.try_reserve((message.task, message.epoch), message.size):
            return messages.RefusalReason.NO_CAPACITY
        return None

    @_receive.register
    def _on_stop_task(
        self, message: messages.StopTask, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return self._command(message, event.sender, now)

    @_receive.register
    def _on_checkpoint_task(
        self, message: messages.CheckpointTask, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return self._command(message, event.sender, now)

    def _command(
        self,
        message: messages.StopTask | messages.CheckpointTask,
        sender: ids.ProcessId,
        now: float,
    ) -> list[effects.Effect]:
        if not self._announcer.accepts(sender, message.cell_epoch):
            return [effects.Count("commands_refused")]
        self._cell = message.cell
        run = self._runs.get((message.task, message.epoch))
        if run is None:
            return self._stop_before_start(message, now)
        if run.has_ended:
            run.reported_at = float("-inf")
            return self._report_ends(now)
        if not isinstance(run.command, messages.StopTask):
            run.command = message
        return self._issue_next_call(run, now)

    def _stop_before_start(
        self, message: messages.StopTask | messages.CheckpointTask, now: float
    ) -> list[effects.Effect]:
        """Record an unknown run as stopped and report it, so that a late start is refused."""
        if message.epoch <= self._runs.get_epoch(message.task):
            return []
        state = messages.RunState.STOPPED
        status = messages.TaskStatus(message.task, message.epoch, state, reason="not started")
        run = runs_module.Run(status, messages.Resources())
        self._runs.add(run, now + tracker.EPOCH_RETENTION_SECONDS)
        self._tracker.record_change(run.key)
        return self._report_ends(now)

    @_receive.register
    def _on_throttle_task(
        self, message: messages.ThrottleTask, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if not self._announcer.accepts(event.sender, message.cell_epoch):
            return [effects.Count("commands_refused")]
        run = self._runs.get((message.task, message.epoch))
        if run is None or run.has_ended or run.is_starting:
            return []
        call = runtime_calls.ThrottleRun(message.task, message.epoch, message.share)
        return [self._calls.make(call, run, now)]

    @_receive.register
    def _on_report_ack(
        self, message: messages.TaskReportAck, event: events.Received, now: float
    ) -> list[effects.Effect]:
        produced: list[effects.Effect] = []
        for key in message.runs:
            run = self._runs.get(key)
            if run is not None and run.has_ended:
                self._runs.drop(run)
                if run.forget_at <= now:
                    produced.append(self._calls.make(runtime_calls.ForgetRun(*key), None, now))
        self._update_drained(now)
        return produced

    @_receive.register
    def _on_heartbeat_ack(
        self, message: messages.HeartbeatAck, event: events.Received, now: float
    ) -> list[effects.Effect]:
        if not self._announcer.accepts(event.sender, message.cell_epoch):
            return [effects.Count("acknowledgements_refused")]
        self._cell = message.cell
        deadline = self._announcer.lease_deadline(message.sequence, message.lease_seconds)
        if deadline is None or deadline <= self._lease_deadline:
            return []
        self._lease_deadline = deadline
        return self._renew(deadline, now)

    def _renew(self, deadline: float, now: float) -> list[effects.Effect]:
        if deadline < self._lease_deadline or not self._runs.list_live():
            return []
        return [self._calls.make(runtime_calls.RenewRuns(deadline), None, now)]

    def _issue_next_call(self, run: runs_module.Run, now: float) -> list[effects.Effect]:
        """Make the runtime call that a live run needs next, unless one is in flight."""
        if run.pending_calls or now - run.last_call_at < RETRY_SECONDS:
            return []
        if run.is_starting:
            return self._repeat_start(run, now)
        if isinstance(run.command, messages.StopTask):
            return [self._calls.make(runtime_calls.StopRun(*run.key), run, now)]
        if run.command is not None or self.draining:
            return [self._calls.make(runtime_calls.CheckpointRun(*run.key), run, now)]
        return []

    def _repeat_start(self, run: runs_module.Run, now: float) -> list[effects.Effect]:
        if run.start.lease_deadline > now:
            return [self._calls.make(run.start, run, now)]
        # The runtime refuses a start after its deadline, so one still in flight has no effect.
        return self._calls.make_list(now)

    def _handle_refusal(
        self, call: calls.PendingCall, reason: str, now: float
    ) -> list[effects.Effect]:
        run = call.run
        produced: list[effects.Effect] = [effects.Count("runtime_refusals")]
        if not isinstance(call.call, runtime_calls.StartRun) or run is None or not run.is_starting:
            return produced
        if reason == runtime_calls.NO_CHECKPOINT and run.checkpoints:
            older, *run.checkpoints = run.checkpoints
            run.start = msgspec.structs.replace(run.start, checkpoint=older)
            return [self._calls.make(run.start, run, now)]
        if run.is_outcome_unknown and call.call.lease_deadline > now:
            return produced
        if run.is_outcome_unknown:
            return produced + self._calls.make_list(now)
        return produced + self._refuse(run, reason, now)

    def _refuse(self, run: runs_module.Run, reason: str, now: float) -> list[effects.Effect]:
        run.is_refused_before_list = not self._ready
        self._tracker.end(run, state=messages.RunState.REFUSED, reason=reason)
        return [effects.Count("starts_refused"), *self._report_ends(now)]

    def _apply_answer(
        self, call: calls.PendingCall, listed: tuple[runtime_calls.RunInfo, ...], now: float
    ) -> list[effects.Effect]:
        run = call.run
        if run is None or run.has_ended:
            return []
        for info in listed:
            if (info.task, info.epoch) == run.key:
                self._tracker.apply_info(run, info, now)
                return self._report_ends(now) + self._issue_next_call(run, now)
        if isinstance(call.call, runtime_calls.StopRun):
            self._tracker.end(run, state=messages.RunState.STOPPED, reason="not there")
            return self._report_ends(now)
        return []

    def _apply_list(
        self, listed: tuple[runtime_calls.RunInfo, ...], issued_at: float, now: float
    ) -> list[effects.Effect]:
        produced = self._tracker.apply_list(listed, issued_at, self._calls, now)
        self._ready = True
        return produced + self._report_ends(now)

    def _report_ends(self, now: float) -> list[effects.Effect]:
        due = [run for run in self._runs.list_ended() if now - run.reported_at >= REPORT_SECONDS]
        if not due or not self._ready or not self._announcer.owner or not self._cell:
            return []
        for run in due:
            run.reported_at = now
        report = messages.TaskReport(self._cell, self._worker, tuple(run.status for run in due))
        return [effects.Send(self._announcer.owner, report)]

    def _update_drained(self, now: float) -> None:
        if self._drain_until is not None:
            self._drained = not list(self._runs) or now >= self._drain_until
