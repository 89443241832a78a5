"""Stand-in of the worker runtime: simulates the runs of many workers as curio tasks."""

import functools
import math
import time
from collections.abc import Iterable

import curio
import msgspec

from crocusrudder.core import ids
from crocusrudder.platform import runtime_calls
from crocusrudder.wire import messages
from tools.standin import objects
from tools.standin import runs

USAGE_LAG_SECONDS = 2.0
DEFAULT_CAPACITY = messages.Resources(8_000, 32_768, 0)

RunKey = tuple[ids.TaskId, ids.TaskEpoch]


class Worker:
    """The runs of one worker; callers pass the time and schedule the calls of ``advance``."""

    def __init__(
        self,
        worker: ids.WorkerId,
        capacity: messages.Resources,
        store: objects.ObjectStore,
        audit: runs.Audit,
    ) -> None:
        self._worker = worker
        self._store = store
        self._audit = audit
        self._runs: dict[RunKey, runs.Run] = {}
        self.capacity = capacity
        self.usage_lag_seconds = USAGE_LAG_SECONDS
        self.is_failing = False

    @property
    def listed_runs(self) -> dict[RunKey, runs.Run]:
        """Return the runs for which no ``ForgetRun`` has been processed."""
        return self._runs

    def drop_runs(self, now: float) -> None:
        """Remove all runs at once, as when the VM is lost."""
        for run in self._runs.values():
            run.mark_lost(now)
        self._runs = {}

    @functools.singledispatchmethod
    def call(self, call: msgspec.Struct, now: float) -> runtime_calls.RuntimeAnswer:
        """Perform a call and return the answer; raises ``TypeError`` for other types."""
        raise TypeError(f"not a runtime call: {call}")

    @call.register
    def _(self, call: runtime_calls.StartRun, now: float) -> runtime_calls.RuntimeAnswer:
        key = (call.task, call.epoch)
        if key in self._runs:
            return self._describe([key], now)
        if call.lease_deadline <= now:
            return runtime_calls.RuntimeRefusal("the lease deadline has passed")
        if not self._fits(call.size, now):
            return runtime_calls.RuntimeRefusal("no room")
        try:
            checkpoint = self._store.get(call.checkpoint) if call.checkpoint else None
        except objects.ObjectsDownError:
            return runtime_calls.RuntimeRefusal("the object store is unavailable")
        if call.checkpoint and checkpoint is None:
            return runtime_calls.RuntimeRefusal(runtime_calls.NO_CHECKPOINT)
        self._runs[key] = self._start(call, checkpoint, now)
        return self._describe([key], now)

    @call.register
    def _(self, call: runtime_calls.RenewRuns, now: float) -> runtime_calls.RuntimeAnswer:
        for run in self._runs.values():
            run.renew(call.lease_deadline, now)
        return self._describe(self._runs, now)

    @call.register
    def _(self, call: runtime_calls.CheckpointRun, now: float) -> runtime_calls.RuntimeAnswer:
        run = self._runs.get((call.task, call.epoch))
        if run is None:
            return runtime_calls.RuntimeRefusal("unknown run")
        try:
            run.checkpoint(now)
        except objects.ObjectsDownError:
            return runtime_calls.RuntimeRefusal("the object store is unavailable")
        return self._describe([(call.task, call.epoch)], now)

    @call.register
    def _(self, call: runtime_calls.ThrottleRun, now: float) -> runtime_calls.RuntimeAnswer:
        run = self._runs.get((call.task, call.epoch))
        if run is None:
            return runtime_calls.RuntimeRefusal("unknown run")
        run.throttle(call.share, now)
        return self._describe([(call.task, call.epoch)], now)

    @call.register
    def _(self, call: runtime_calls.StopRun, now: float) -> runtime_calls.RuntimeAnswer:
        key = (call.task, call.epoch)
        if key not in self._runs:
            return runtime_calls.RunList(())
        self._runs[key].stop(now)
        return self._describe([key], now)

    @call.register
    def _(self, call: runtime_calls.ForgetRun, now: float) -> runtime_calls.RuntimeAnswer:
        run = self._runs.get((call.task, call.epoch))
        if run is not None and run.active:
            return runtime_calls.RuntimeRefusal("the run has not ended")
        self._runs.pop((call.task, call.epoch), None)
        return runtime_calls.RunList(())

    @call.register
    def _(self, call: runtime_calls.ListRuns, now: float) -> runtime_calls.RuntimeAnswer:
        return self._describe(self._runs, now)

    def advance(self, now: float) -> None:
        for run in self._runs.values():
            run.advance(now)

    def _start(
        self, call: runtime_calls.StartRun, checkpoint: bytes | None, now: float
    ) -> runs.Run:
        run = runs.Run(self._worker, call, self._store, self._audit, now)
        if self.is_failing:
            run.fail("the worker fails every run", now)
            return run
        try:
            if checkpoint is not None:
                run.restore(checkpoint)
        except msgspec.MsgspecError as error:
            run.fail(f"broken checkpoint: {error}", now)
        run.advance(now)
        return run

    def _fits(self, size: messages.Resources, now: float) -> bool:
        self.advance(now)
        reserved = [run.size for run in self._runs.values() if run.active] + [size]
        return (
            sum(item.millicores for item in reserved) <= self.capacity.millicores
            and sum(item.memory_mb for item in reserved) <= self.capacity.memory_mb
            and sum(item.accelerators for item in reserved) <= self.capacity.accelerators
        )

    def _describe(self, keys: Iterable[RunKey], now: float) -> runtime_calls.RunList:
        self.advance(now)
        measured_until = now - self.usage_lag_seconds
        return runtime_calls.RunList(tuple(self._runs[k].describe(measured_until) for k in keys))


class Runtime:
    """All workers by id, with one curio task for each active run."""

    def __init__(self, store: objects.ObjectStore, capacity: messages.Resources) -> None:
        self._store = store
        self._capacity = capacity
        self._audit = runs.Audit()
        self._workers: dict[ids.WorkerId, Worker] = {}
        self._wakeups: dict[runs.Run, curio.Event] = {}

    @property
    def audit(self) -> runs.Audit:
        return self._audit

    @property
    def workers(self) -> dict[ids.WorkerId, Worker]:
        """Return the workers that have been created so far."""
        return self._workers

    def get_worker(self, worker: ids.WorkerId) -> Worker:
        """Return a worker; create it with the default capacity if it does not exist."""
        if worker not in self._workers:
            self._workers[worker] = Worker(worker, self._capacity, self._store, self._audit)
        return self._workers[worker]

    async def call(
        self, worker: ids.WorkerId, call: runtime_calls.RuntimeCall
    ) -> runtime_calls.RuntimeAnswer:
        """Perform a call at the current time, and reschedule the active runs of the worker."""
        target = self.get_worker(worker)
        answer = target.call(call, time.monotonic())
        for run in target.listed_runs.values():
            if run.active:
                await self._wake(run)
        return answer

    async def _wake(self, run: runs.Run) -> None:
        wakeup = self._wakeups.get(run)
        if wakeup is not None:
            await wakeup.set()
            return
        self._wakeups[run] = curio.Event()
        await curio.spawn(self._advance_until_ended, run, daemon=True)

    async def _advance_until_ended(self, run: runs.Run) -> None:
        wakeup = self._wakeups[run]
        while run.active:
            wakeup.clear()
            delay = run.find_next_change(time.monotonic()) - time.monotonic()
            limit = max(0.0, delay) if math.isfinite(delay) else None
            await curio.ignore_after(limit, wakeup.wait)
            run.advance(time.monotonic())
        del self._wakeups[run]
