"""Event loop of a process: passes events to its core one by one and performs the effects."""

import signal
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol

import curio

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.hosting import signals
from crocusrudder.wire import messages
from crocusrudder.wire import transport

AsyncHandler = Callable[[effects.Effect], Awaitable[events.Event]]
Handler = Callable[[effects.Effect], None]


class ProcessCore(components.Component, Protocol):
    """Core of a whole process."""

    @property
    def is_finished(self) -> bool:
        """Return whether a planned stop is complete, so that the process may exit."""
        ...


class _Tick(events.Event, frozen=True):
    """Request to call the core's ``tick``."""


class Host:
    """Run the core of a process from one event queue.

    ``async_handlers`` maps effect types to coroutine functions that perform the effect and return
    the resulting event. ``sync_handlers`` maps the other effect types to plain functions. Both are
    looked up by exact type. The host stops once the core has finished and ``is_idle()`` is true.
    """

    def __init__(
        self,
        core: ProcessCore,
        link: transport.Transport,
        async_handlers: Mapping[type, AsyncHandler],
        sync_handlers: Mapping[type, Handler],
        is_idle: Callable[[], bool] = lambda: True,
    ) -> None:
        self._core = core
        self._link = link
        self._async_handlers = dict(async_handlers)
        self._is_idle = is_idle
        self._sync_handlers = {
            effects.Send: self._send,
            effects.UpdateAddress: self._update_address,
            **sync_handlers,
        }
        self._queue: curio.Queue = curio.Queue()

    @property
    def core(self) -> ProcessCore:
        """Return the core, for the state dump."""
        return self._core

    async def post(self, event: events.Event) -> None:
        """Queue an event for the core."""
        await self._queue.put(event)

    async def deliver(self, envelope: messages.Envelope, message: messages.Message) -> None:
        """Queue a received message for the core."""
        received = events.Received(
            envelope.sender, envelope.sender_incarnation, message, envelope.sender_address
        )
        await self._queue.put(received)

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        services = curio.TaskGroup()
        for service in (
            self._link.receive_forever(self.deliver),
            self._link.retry_forever(),
            self._tick_forever(),
            self._wait_for_stop(),
        ):
            await services.spawn(service)
        try:
            await self._run_core()
        finally:
            await services.cancel_remaining()

    async def _run_core(self) -> None:
        while not (self._core.is_finished and self._is_idle()):
            event = await self._queue.get()
            now = time.monotonic()
            if isinstance(event, _Tick):
                produced = self._core.tick(now)
            else:
                produced = self._core.handle(event, now)
            for effect in produced:
                await self._perform(effect)
            await self._link.retry_unsent()

    async def _perform(self, effect: effects.Effect) -> None:
        handler = self._sync_handlers.get(type(effect))
        if handler is not None:
            handler(effect)
            return
        await curio.spawn(self._perform_async(effect), daemon=True)

    async def _perform_async(self, effect: effects.Effect) -> None:
        event = await self._async_handlers[type(effect)](effect)
        await self._queue.put(event)

    def _send(self, effect: effects.Send) -> None:
        self._link.send(effect.to, effect.message, effect.incarnation)

    def _update_address(self, effect: effects.UpdateAddress) -> None:
        self._link.record_address(effect.process, effect.address)

    async def _tick_forever(self) -> None:
        while True:
            await curio.sleep(components.TICK_SECONDS)
            await self._queue.put(_Tick())

    async def _wait_for_stop(self) -> None:
        watcher = signals.SignalWatcher((signal.SIGTERM, signal.SIGINT))
        while await watcher.wait():
            await self._queue.put(events.StopRequested())
