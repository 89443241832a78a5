"""Core of an entry: its components and the state that they share."""

from __future__ import annotations

import random

from crocusrudder.conf import settings
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.hosting import inspection
from crocusrudder.jobs import admission
from crocusrudder.jobs import cell_state
from crocusrudder.jobs import relocation
from crocusrudder.jobs import scheduler
from crocusrudder.membership import cells
from crocusrudder.membership import directory
from crocusrudder.membership import tracking
from crocusrudder.membership import workers
from crocusrudder.placement import policy
from crocusrudder.records import core as changes
from crocusrudder.records import replica
from crocusrudder.requests import coordinator
from crocusrudder.requests import limits

OPERATOR_PATHS = {"records": "change", "changes": "change", "jobs": "admission"}


class _ConfigurationCells:
    """Cells to whose agents this entry sends the configuration, also during a store outage."""

    def __init__(self, ownership: cells.CellOwnership) -> None:
        self._ownership = ownership

    def owned(self, now: float) -> dict[ids.CellId, ids.CellEpoch]:
        return self._ownership.held(now)


class EntryCore(inspection.Inspectable):
    """Route requests, replicate the configuration and schedule jobs in owned cells."""

    def __init__(
        self,
        document: settings.EntrySettings,
        incarnation: ids.Incarnation,
        randomness: random.Random,
    ) -> None:
        process = ids.ProcessId(document.process)
        self._stopping = False
        self._ownership = self._make_ownership(document, incarnation)
        self._workers = workers.WorkerTable(self._ownership, document.leases.task_lease_seconds)
        configuration_cells = _ConfigurationCells(self._ownership)
        self._replica = replica.Replica.from_settings(document, configuration_cells, randomness)
        self._directory = self._make_directory(document)
        self._requests = coordinator.RequestCoordinator(
            self._replica,
            self._directory,
            make_request_limits(document.requests),
            randomness,
            incarnation,
            ids.DataCentre(document.data_centre),
        )
        self._scheduler = scheduler.JobScheduler(
            self._ownership,
            self._workers,
            policy.PlacementPolicy(randomness),
            incarnation,
            cell_state.make_limits(document.store.write_budget_per_second, len(document.cells)),
        )
        components = {
            "cell": self._ownership,
            "worker": self._workers,
            "config": self._replica,
            "directory": self._directory,
            "change": changes.ChangeCoordinator(self._replica, randomness, incarnation),
            "request": self._requests,
            "admission": admission.JobAdmission(
                self._replica, self._directory, randomness, incarnation, process
            ),
            "job": self._scheduler,
            "move": relocation.ChunkRelocator(
                self._ownership, self._workers, self._directory, randomness, process
            ),
        }
        super().__init__(process, incarnation, components, OPERATOR_PATHS)

    @property
    def is_ready(self) -> bool:
        """Return whether the entry has a configuration and is not stopping."""
        return self._replica.ready and not self._stopping

    @property
    def is_finished(self) -> bool:
        """Return whether a planned stop is complete."""
        return self._stopping and self._ownership.has_released_all and not self._requests.in_flight

    @property
    def ownership(self) -> cells.CellOwnership:
        """Return the ownership of cells."""
        return self._ownership

    @property
    def workers(self) -> workers.WorkerTable:
        """Return the table of the workers in owned cells."""
        return self._workers

    @property
    def replica(self) -> replica.Replica:
        """Return the entry's replica of the configuration."""
        return self._replica

    @property
    def directory(self) -> directory.Directory:
        """Return the directory of endpoints."""
        return self._directory

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to perform."""
        if isinstance(event, events.StopRequested):
            self._stopping = True
        return super().handle(event, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Check the deadlines of all components and return the effects to perform."""
        return super().tick(now) + self._ownership.release_surplus(now)

    def _make_ownership(
        self, document: settings.EntrySettings, incarnation: ids.Incarnation
    ) -> cells.CellOwnership:
        return cells.CellOwnership(
            ids.ProcessId(document.process),
            incarnation,
            document.wire_address,
            ids.DataCentre(document.data_centre),
            [
                tracking.CellConfig(ids.CellId(cell.cell), ids.DataCentre(cell.data_centre))
                for cell in document.cells
            ],
            lambda now: self._directory.count_alive(now, cells.HANDOVER_SECONDS),
            document.leases.cell_lease_seconds,
        )

    def _make_directory(self, document: settings.EntrySettings) -> directory.Directory:
        peers = [
            directory.Peer(peer.process, peer.address, ids.DataCentre(peer.data_centre))
            for peer in document.peers
        ]
        return directory.Directory(
            ids.DataCentre(document.data_centre),
            peers,
            self._ownership,
            self._workers,
            lambda: self._replica.revision,
            lambda cell: self._scheduler.count_pending(cell),
        )


def make_request_limits(document: settings.RequestLimits) -> limits.RequestLimits:
    """Return the request limits of the settings."""
    return limits.RequestLimits(
        max_in_flight=document.max_in_flight, retry_share=document.retry_share
    )
