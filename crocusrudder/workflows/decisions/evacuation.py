"""Keep starts out of data centres that the operator evacuates.

Load pattern: a third of the workers closes at once while jobs wait, and opens again later. An order
to start a run may be on its way then, or lost and about to be repeated; the process that plans may
be the last one to learn of the request. Workers that are taken back are empty and slow at first, so
that all that waits would go to them.
"""

from collections.abc import Mapping

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.workflows import errors
from crocusrudder.workflows import fleet
from crocusrudder.workflows import leases
from crocusrudder.workflows import model

START_CALL_SECONDS = 0.5
"""Time for an agent's call to start a run; the worker answers within milliseconds."""
EVACUATED = "data_centre_evacuated"
START_WITHDRAWN = "start_withdrawn"
PAUSED = "planning_paused"
"""Names of log events."""


class EvacuationMonitor:
    """Mark the workers of evacuated data centres, and withdraw the starts ordered there."""

    def __init__(
        self, epoch: model.OwnerEpoch, bounds: model.EvacuationBounds | None = None
    ) -> None:
        self._epoch = epoch
        self._bounds = bounds or model.EvacuationBounds()
        self._max_age = compute_max_age(self._bounds.start_seconds)
        self._evacuations = model.Evacuations()
        self._applied: frozenset[ids.DataCentre] = frozenset()
        """The data centres whose evacuation has been logged."""
        self._unknown: frozenset[ids.DataCentre] = frozenset()
        """Those of them in which no worker was known when they were last examined."""
        self._is_all_evacuated = False
        self._is_paused = False
        self._logged: list[effects.LogChange] = []

    @property
    def evacuated(self) -> frozenset[ids.DataCentre]:
        return self._evacuations.evacuated

    def set_evacuated(self, evacuations: model.Evacuations) -> None:
        """Apply the operator's evacuations unless they are older than the current ones."""
        if evacuations.version >= self._evacuations.version:
            self._evacuations = evacuations

    def may_start(self, now: float) -> bool:
        """Return False if an evacuation may be in force for too long that is not known here.

        No data centre is known to accept starts then, so nothing may be started at all.
        """
        return now - self._evacuations.read_at <= self._max_age

    def update(
        self, views: Mapping[ids.ProcessId, fleet.AgentView], now: float, is_reconciled: bool
    ) -> None:
        """Apply the evacuations to the workers; ``is_reconciled`` if all workers have reported.

        Runs go on. A start that no report has confirmed is left out of the next orders, which ends
        in a stop of the run unless the worker has started it.
        """
        self._log_changes()
        self._log_pause(now)
        for view in views.values():
            is_evacuated = self._is_evacuated(view)
            if is_evacuated and not view.is_evacuated:
                self._withdraw_starts(view)
            view.is_evacuated = is_evacuated
        workers = [view for view in views.values() if view.worker is not None]
        if self._bounds.cold_factor:
            _limit_cold_workers(workers, self._bounds)
        if workers and is_reconciled:
            self._log_unknown(workers)
            self._log_all_evacuated(workers)

    def drain_log(self) -> list[effects.LogChange]:
        """Return the decisions logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged

    def _is_evacuated(self, view: fleet.AgentView) -> bool:
        return bool(self.evacuated) and not self.evacuated.isdisjoint(view.data_centres)

    def _withdraw_starts(self, view: fleet.AgentView) -> None:
        for run in view.assignments.values():
            if run.phase is fleet.AssignmentPhase.ORDERED:
                view.has_updates = True
                self._log(START_WITHDRAWN, task=run.task_name, run=run.run, agent=view.agent)

    def _log_changes(self) -> None:
        for data_centre in sorted(self.evacuated - self._applied):
            self._log(EVACUATED, data_centre=data_centre, version=self._evacuations.version)
        for data_centre in sorted(self._applied - self.evacuated):
            self._log("data_centre_taken_back", data_centre=data_centre)
        self._applied = self.evacuated

    def _log_pause(self, now: float) -> None:
        is_paused = not self.may_start(now)
        if is_paused != self._is_paused:
            age = round(now - max(self._evacuations.read_at, 0.0), 2)
            self._log(PAUSED if is_paused else "planning_resumed", evacuations_age_s=age)
        self._is_paused = is_paused

    def _log_unknown(self, workers: list[fleet.AgentView]) -> None:
        unknown = self.evacuated
        if unknown:
            unknown = unknown.difference(*(view.data_centres for view in workers))
        for data_centre in sorted(unknown - self._unknown):
            error = errors.UnknownDataCentreError(
                f"evacuation of {data_centre!r}: no worker is known in this data centre",
                "check the name; it applies to workers that register later",
            )
            self._log("evacuation_without_workers", **error.to_dict())
        self._unknown = unknown

    def _log_all_evacuated(self, workers: list[fleet.AgentView]) -> None:
        is_all = all(view.is_evacuated for view in workers)
        if is_all and not self._is_all_evacuated:
            self._log("all_data_centres_evacuated", data_centres=sorted(self.evacuated))
        self._is_all_evacuated = is_all

    def _log(self, name: str, **fields: object) -> None:
        self._logged.append(effects.LogChange(name, {"epoch": self._epoch, **fields}))


def compute_max_age(evacuation_seconds: float) -> float:
    """Return how old the known evacuations may be while runs are started, in seconds.

    An order that is planned on them reaches the agent while the report that it answers is valid,
    and the worker after one more call. Without a bound on evacuations, any age is allowed.
    """
    if not evacuation_seconds:
        return float("inf")
    return max(evacuation_seconds - leases.ORDER_VALID_SECONDS - START_CALL_SECONDS, 0.0)


def _limit_cold_workers(workers: list[fleet.AgentView], bounds: model.EvacuationBounds) -> None:
    """Limit the runs of cold workers by the mean of the warm workers of their service."""
    warm: dict[ids.ServiceName, list[int]] = {}
    for view in workers:
        is_closed = view.is_evacuated or view.worker.draining or view.is_declared_lost
        if not view.worker.cold and not is_closed:
            warm.setdefault(view.worker.service, []).append(len(view.assignments))
    for view in workers:
        counts = warm.get(view.worker.service)
        view.max_runs = float("inf")
        if view.worker.cold and counts:
            mean = sum(counts) / len(counts)
            view.max_runs = bounds.cold_factor * mean + bounds.cold_slack
