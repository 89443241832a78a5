"""Ask the worker at an agent's address which incarnation it is.

``worker_identity`` decides what follows from the responses.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import curio

from crocusrudder.core import clocks
from crocusrudder.observability import logs
from crocusrudder.platform import errors
from crocusrudder.platform import worker
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import agent_state

PROBE_PAUSE_SECONDS = 0.02
"""Pause after a probe that confirmed nothing, so that other writers' heartbeats cause at most 50
calls a second; a call takes 2 ms."""


class WorkerProber:
    """Probe the candidates that an agent's state names.

    ``handle_change`` is called after each probe with whether the agent follows another incarnation.
    """

    def __init__(
        self,
        state: agent_state.AgentState,
        client: worker.WorkerClient,
        handle_change: Callable[[bool], Awaitable[None]],
    ) -> None:
        self._state = state
        self._client = client
        self._handle_change = handle_change
        self._due = curio.Event()
        self._row_epoch = 0
        self._log = logs.DependencyMonitor("worker_probe")

    def record_row_epoch(self, epoch: int) -> None:
        """Record the epoch in the owner's row, which may be older than that of the next orders."""
        self._row_epoch = epoch

    async def notify(self, now: float) -> None:
        """Start to probe if a candidate is due."""
        if self._state.identity.find_probe(now) is not None:
            await self._due.set()

    async def run_forever(self) -> None:
        """Probe one candidate after the other, so that a late response confirms no earlier one."""
        identity = self._state.identity
        while True:
            now = clocks.read_boot_time()
            candidate = identity.find_probe(now)
            if candidate is None:
                await self._wait(identity.get_probe_delay(now))
                continue
            is_followed = await self._probe(candidate)
            await self._handle_change(is_followed)
            if not is_followed:
                await curio.sleep(PROBE_PAUSE_SECONDS)

    async def _wait(self, delay: float | None) -> None:
        if delay is None:
            await self._due.wait()
        else:
            await curio.ignore_after(delay, self._due.wait)
        self._due.clear()

    async def _probe(self, candidate: workflow_messages.WorkerState) -> bool:
        """Ask the worker whether it is the candidate; return whether the agent follows it now."""
        identity = self._state.identity
        try:
            response = await self._call(candidate)
        except errors.WrongWorkerError:
            self._log.record(True)
            identity.record_probe_refusal(candidate.incarnation, clocks.read_boot_time())
            return False
        except errors.PlatformError as error:
            self._log.record(False, str(error))
            identity.record_probe_failure(candidate.incarnation, clocks.read_boot_time())
            return False
        self._log.record(True)
        return self._state.record_probe_answer(
            candidate.incarnation, response.born_ms, clocks.read_boot_time()
        )

    async def _call(self, candidate: workflow_messages.WorkerState) -> worker.ProbeResponse:
        """Return a response that identifies the worker.

        Before the first orders, the epoch of the owner's row is tried only if the worker refuses
        the lowest one: the row may have another writer, and a worker that has seen an epoch refuses
        all lower ones from then on.
        """
        epochs = (self._state.epoch,) if self._state.epoch else (0, self._row_epoch)
        for epoch in epochs:
            response = await self._client.probe(candidate.worker, epoch)
            if response.born_ms or not response.is_stale_epoch:
                return response
        raise errors.NotExecutedError(f"the worker refused epoch {epochs[-1]} as stale")
