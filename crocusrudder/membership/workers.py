"""The owner's view of the workers in its cells and the leases granted to them."""

import functools
import itertools
from collections.abc import Iterable

import msgspec

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.membership import cells
from crocusrudder.wire import messages

TASK_LEASE_SECONDS = 300.0
HEARTBEAT_TIMEOUT_SECONDS = 15.0
"""Time without a heartbeat (three missed) after which a worker gets no new work."""

MAX_REPLACED = 1024
"""Maximum number of replaced incarnations that are remembered."""

Runs = dict[tuple[ids.TaskId, ids.TaskEpoch], messages.TaskStatus]

_ENDED = frozenset(
    {
        messages.RunState.SUCCEEDED,
        messages.RunState.FAILED,
        messages.RunState.CHECKPOINTED,
        messages.RunState.STOPPED,
        messages.RunState.REFUSED,
    }
)


class WorkerView(msgspec.Struct):
    """State of one worker as reported to the cell's owner under the current cell epoch."""

    worker: ids.WorkerId
    agent: ids.ProcessId
    address: str
    incarnation: ids.Incarnation
    cell: ids.CellId
    cell_epoch: ids.CellEpoch
    capacity: messages.Resources
    reserved: messages.Resources
    draining: bool
    heartbeat: int
    """Sequence number of the latest heartbeat."""
    heard_at: float
    lease_expiry: float
    """Time after which every lease that this worker may hold has certainly expired."""
    revision: ids.Revision
    inventoried: bool = False
    """Whether a full heartbeat of this incarnation under the current cell epoch has arrived."""
    runs: Runs = msgspec.field(default_factory=dict)
    endpoints: tuple[messages.EndpointStatus, ...] = ()
    latencies: tuple[tuple[ids.ServiceName, float], ...] = ()

    def is_unresponsive(self, now: float) -> bool:
        """Return whether no heartbeat arrived within ``HEARTBEAT_TIMEOUT_SECONDS``."""
        return now - self.heard_at > HEARTBEAT_TIMEOUT_SECONDS


SHAPES_DELAY_SECONDS = 30.0
"""Time that a new owner waits for its workers' reports before it lists their shapes.

It is several times the interval at which agents search for a new owner.
"""

MAX_SHAPES = 8
"""Maximum number of distinct shapes that are listed for a cell."""


class _CellView:
    """Workers of one held cell under one epoch."""

    def __init__(self, epoch: ids.CellEpoch, now: float) -> None:
        self.epoch = epoch
        self.owned_since = now
        self.workers: dict[ids.WorkerId, WorkerView] = {}


class WorkerTable:
    """Process the heartbeats of workers in held cells and grant leases in owned ones."""

    def __init__(
        self,
        ownership: cells.CellOwnership,
        task_lease_seconds: float = TASK_LEASE_SECONDS,
    ) -> None:
        self._ownership = ownership
        self._lease_seconds = task_lease_seconds
        self._cells: dict[ids.CellId, _CellView] = {}
        self._generation = 0
        self._replaced: dict[ids.Incarnation, None] = {}

    @property
    def lease_seconds(self) -> float:
        """Return the duration of the task lease that acknowledgements and starts grant."""
        return self._lease_seconds

    @property
    def generation(self) -> int:
        """Return a number that increases whenever the endpoints of a held cell change."""
        return self._generation

    def list_workers(self, cell: ids.CellId) -> list[WorkerView]:
        """Return the workers of a held cell that have reported under its current epoch."""
        view = self._cells.get(cell)
        return list(view.workers.values()) if view else []

    def list_shapes(self, cell: ids.CellId, now: float) -> tuple[messages.Resources, ...]:
        """Return the distinct capacities of a cell's workers; empty if unknown or too many.

        Jobs that fit no shape are refused, so a new owner lists shapes only after its workers have
        had time to report.
        """
        view = self._cells.get(cell)
        if view is None or now - view.owned_since < SHAPES_DELAY_SECONDS:
            return ()
        shapes = tuple({worker.capacity for worker in view.workers.values()})
        return shapes if len(shapes) <= MAX_SHAPES else ()

    def get_worker(self, worker: ids.WorkerId) -> WorkerView | None:
        """Return the view of a worker, or None if it has not reported under the current epoch."""
        for view in self._cells.values():
            if worker in view.workers:
                return view.workers[worker]
        return None

    def lease_expiry(self, cell: ids.CellId, worker: ids.WorkerId) -> float:
        """Return the time after which no lease of the worker can be valid.

        Return infinity if this process does not hold the cell.
        """
        view = self._cells.get(cell)
        if view is None:
            return float("inf")
        if worker in view.workers:
            return view.workers[worker].lease_expiry
        return view.owned_since + clocks.compute_task_lease_wait(self._lease_seconds)

    def record_start(self, worker: ids.WorkerId, now: float) -> None:
        """Extend ``lease_expiry`` because a start grants a lease.

        The lease counts from the send time of the heartbeat that the start refers to, so repeated
        starts for an unresponsive worker do not extend it.
        """
        known = self.get_worker(worker)
        if known is not None:
            granted_until = known.heard_at + clocks.compute_task_lease_wait(self._lease_seconds)
            known.lease_expiry = max(known.lease_expiry, granted_until)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to execute."""
        if isinstance(event, events.Received):
            return self._receive(event.message, event, now)
        return []

    def tick(self, now: float) -> list[effects.Effect]:
        """Update the views to the cells that this process holds."""
        held = self._ownership.held(now)
        ended = [cell for cell in self._cells if held.get(cell) != self._cells[cell].epoch]
        produced = list(itertools.chain.from_iterable(map(self._drop_cell, ended)))
        for cell, epoch in held.items():
            self._get_cell_view(cell, epoch, now)
        return produced

    def dump(self) -> dict[str, object]:
        """Return the state of the workers by cell."""
        return {
            cell: {name: msgspec.to_builtins(_summarise(w)) for name, w in view.workers.items()}
            for cell, view in self._cells.items()
        }

    def _drop_cell(self, cell: ids.CellId) -> list[effects.Effect]:
        """Remove a cell; notify its agents, which then search for the next owner."""
        view = self._cells.pop(cell)
        self._generation += 1
        notice = messages.OwnerIs(cell, ids.ProcessId(""), "", view.epoch)
        return [
            effects.Send(known.agent, notice, known.incarnation) for known in view.workers.values()
        ]

    def _get_cell_view(self, cell: ids.CellId, epoch: ids.CellEpoch, now: float) -> _CellView:
        """Return the view of a held cell; a new epoch starts with an empty one."""
        view = self._cells.get(cell)
        if view is None or view.epoch != epoch:
            view = self._cells[cell] = _CellView(epoch, now)
        return view

    @functools.singledispatchmethod
    def _receive(
        self, message: messages.Message, event: events.Received, now: float
    ) -> list[effects.Effect]:
        return []

    @_receive.register
    def _on_hello(
        self, message: messages.Hello, event: events.Received, now: float
    ) -> list[effects.Effect]:
        epoch = self._ownership.held(now).get(message.cell)
        known = self.get_worker(message.worker)
        admitted = known is not None and known.incarnation == event.incarnation
        if epoch is not None and admitted and message.cell_epoch == epoch:
            return []
        return [self._reply_for_cell(message.cell, event, now)]

    @_receive.register
    def _on_heartbeat(
        self, message: messages.Heartbeat, event: events.Received, now: float
    ) -> list[effects.Effect]:
        epoch = self._ownership.held(now).get(message.cell)
        if epoch is None or epoch != message.cell_epoch:
            return [self._reply_for_cell(message.cell, event, now)]
        view = self._get_cell_view(message.cell, epoch, now)
        known = view.workers.get(message.worker)
        if event.incarnation in self._replaced:
            if known is not None and not known.is_unresponsive(now):
                return [effects.Count("heartbeats_from_replaced_agents")]
            # A delayed heartbeat of its predecessor had marked this agent as replaced.
            del self._replaced[event.incarnation]
        if known is None or known.incarnation != event.incarnation:
            return self._admit_agent(view, known, message, event, now)
        if message.sequence <= known.heartbeat:
            return [effects.Count("heartbeats_out_of_order")]
        self._update(known, message, now)
        return [self._acknowledge(known, now)]

    def _reply_for_cell(
        self, cell: ids.CellId, event: events.Received, now: float
    ) -> effects.Effect:
        epoch = self._ownership.held(now).get(cell)
        if epoch is not None:
            reply: messages.Message = messages.Welcome(cell, epoch)
        else:
            owner, address = self._ownership.get_owner(cell) or (ids.ProcessId(""), "")
            reply = messages.OwnerIs(cell, owner, address, self._ownership.get_epoch(cell))
        return effects.Send(event.sender, reply, event.incarnation)

    def _admit_agent(
        self,
        view: _CellView,
        known: WorkerView | None,
        message: messages.Heartbeat,
        event: events.Received,
        now: float,
    ) -> list[effects.Effect]:
        """Admit a new agent if its heartbeat is full; otherwise request a full one."""
        if not message.full:
            welcome = messages.Welcome(message.cell, view.epoch)
            return [effects.Send(event.sender, welcome, event.incarnation)]
        if known is not None:
            self._record_replaced(known.incarnation)
        admitted = WorkerView(
            worker=message.worker,
            agent=event.sender,
            address=event.address,
            incarnation=event.incarnation,
            cell=message.cell,
            cell_epoch=view.epoch,
            capacity=message.capacity,
            reserved=message.reserved,
            draining=message.draining,
            heartbeat=message.sequence,
            heard_at=now,
            lease_expiry=view.owned_since + clocks.compute_task_lease_wait(self._lease_seconds),
            revision=message.revision,
        )
        view.workers[message.worker] = admitted
        # The endpoints of the replaced agent disappear even if the new agent has none.
        self._generation += 1
        self._update(admitted, message, now)
        fields = {"worker": message.worker, "incarnation": event.incarnation}
        return [self._acknowledge(admitted, now), effects.LogChange("worker_admitted", fields)]

    def _record_replaced(self, incarnation: ids.Incarnation) -> None:
        """Refuse delayed heartbeats of a replaced agent from now on."""
        self._replaced[incarnation] = None
        if len(self._replaced) > MAX_REPLACED:
            del self._replaced[next(iter(self._replaced))]

    def _update(self, known: WorkerView, message: messages.Heartbeat, now: float) -> None:
        known.heartbeat = message.sequence
        known.heard_at = now
        known.capacity = message.capacity
        known.reserved = message.reserved
        known.revision = message.revision
        known.latencies = message.latencies
        if message.full:
            known.inventoried = True
            known.runs = {}
        _merge_runs(known.runs, message.tasks)
        endpoints = message.endpoints if message.has_endpoints else known.endpoints
        if endpoints != known.endpoints or message.draining != known.draining:
            known.endpoints = endpoints
            known.draining = message.draining
            self._generation += 1

    def _acknowledge(self, known: WorkerView, now: float) -> effects.Effect:
        """Acknowledge a heartbeat; renew the worker's lease only while the cell is owned."""
        granted = 0.0
        if self._ownership.owned(now).get(known.cell) == known.cell_epoch:
            granted = self._lease_seconds
            known.lease_expiry = now + clocks.compute_task_lease_wait(self._lease_seconds)
        ack = messages.HeartbeatAck(known.heartbeat, known.cell, known.cell_epoch, granted)
        return effects.Send(known.agent, ack, known.incarnation)


def _merge_runs(runs: Runs, statuses: Iterable[messages.TaskStatus]) -> None:
    for status in statuses:
        if status.state in _ENDED:
            runs.pop((status.task, status.epoch), None)
        else:
            runs[(status.task, status.epoch)] = status


def _summarise(worker: WorkerView) -> dict[str, object]:
    return {
        "agent": worker.agent,
        "incarnation": worker.incarnation,
        "heartbeat": worker.heartbeat,
        "draining": worker.draining,
        "inventoried": worker.inventoried,
        "capacity": worker.capacity,
        "reserved": worker.reserved,
        "runs": sorted(f"{task}/{epoch}" for task, epoch in worker.runs),
        "endpoints": [endpoint.endpoint for endpoint in worker.endpoints],
        "revision": worker.revision,
    }
