"""Update an agent's runs from what the worker runtime reports."""

from crocusrudder.core import effects
from crocusrudder.jobs import calls
from crocusrudder.jobs import capacity as capacity_module
from crocusrudder.jobs import runs as runs_module
from crocusrudder.platform import runtime_calls
from crocusrudder.wire import messages

EPOCH_RETENTION_SECONDS = 600.0
"""A start is refused once its lease has expired, so its epoch need not be stored for longer."""


class RunTracker:
    """Adopt, update and end runs as the runtime reports, and release the capacity of ended ones."""

    def __init__(
        self, runs: runs_module.RunRegistry, capacity: capacity_module.CapacityReservations
    ) -> None:
        self._runs = runs
        self._capacity = capacity
        self._changed: set[runs_module.RunKey] = set()

    def record_change(self, key: runs_module.RunKey) -> None:
        """Mark a run to be reported in the next heartbeat."""
        self._changed.add(key)

    def drain_changed_runs(self) -> tuple[messages.TaskStatus, ...]:
        """Return the runs that have changed since the last call."""
        runs = [self._runs.get(key) for key in sorted(self._changed)]
        self._changed.clear()
        return tuple(run.status for run in runs if run is not None)

    def apply_list(
        self,
        infos: tuple[runtime_calls.RunInfo, ...],
        issued_at: float,
        runtime: calls.RuntimeCalls,
        now: float,
    ) -> list[effects.Effect]:
        """Apply the runtime's list of runs, which was requested at ``issued_at``."""
        produced: list[effects.Effect] = []
        listed = {(info.task, info.epoch): info for info in infos}
        for key, info in listed.items():
            produced += self._apply_listed(key, info, runtime, now)
        for run in self._runs.list_live():
            if run.key not in listed:
                self._handle_absence(run, issued_at)
        self._runs.retain_acknowledged(listed)
        for run in self._runs:
            run.is_refused_before_list = False
        return produced

    def _apply_listed(
        self,
        key: runs_module.RunKey,
        info: runtime_calls.RunInfo,
        runtime: calls.RuntimeCalls,
        now: float,
    ) -> list[effects.Effect]:
        run = self._runs.get(key)
        has_ended = calls.has_ended(info)
        if key in self._runs.acknowledged:
            if has_ended and now < self._runs.acknowledged[key]:
                return []
            call = runtime_calls.ForgetRun if has_ended else runtime_calls.StopRun
            return [runtime.make(call(*key), None, now)]
        if run is None or run.is_refused_before_list:
            return self._adopt(info, now)
        if not run.has_ended:
            self.apply_info(run, info, now)
        return []

    def _adopt(self, info: runtime_calls.RunInfo, now: float) -> list[effects.Effect]:
        """Adopt a run that an earlier agent started."""
        run = runs_module.Run(
            messages.TaskStatus(info.task, info.epoch, messages.RunState.STARTING), info.size
        )
        self._runs.add(run, now + EPOCH_RETENTION_SECONDS)
        self._capacity.adopt(run.key, info.size)
        self.apply_info(run, info, now)
        fields = {"task": info.task, "epoch": info.epoch, "state": info.state.value}
        return [effects.LogChange("run_adopted", fields)]

    def _handle_absence(self, run: runs_module.Run, issued_at: float) -> None:
        """End a run that is missing from a list.

        The list must have been requested after the run was confirmed, or for a run that is starting
        after the deadline of its start.
        """
        if run.is_starting:
            has_expired = run.start.lease_deadline <= issued_at and not run.pending_calls
            if has_expired:
                self.end(run, state=messages.RunState.REFUSED, reason="lease-lapsed")
        elif run.confirmed_at < issued_at:
            self.end(run, state=messages.RunState.STOPPED, reason="lost by the runtime")

    def apply_info(self, run: runs_module.Run, info: runtime_calls.RunInfo, now: float) -> None:
        """Update a run from the runtime's information."""
        if run.confirmed_at is None:
            run.confirmed_at = now
        fields = calls.make_status_fields(info, run.status)
        if calls.has_ended(info):
            self.end(run, **fields)
        elif run.update(**fields):
            self._changed.add(run.key)

    def end(self, run: runs_module.Run, **fields: object) -> None:
        """Set the final status of a run and release its capacity."""
        run.update(**fields)
        run.reported_at = float("-inf")
        self._capacity.release(run.key)
        self._changed.add(run.key)
