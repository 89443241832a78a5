"""Wait for the signals of a graceful stop; curio itself has no support for signals."""

import signal
import socket

import curio.io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Catch SIGTERM and SIGINT as soon as it is created."""

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._reader = curio.io.Socket(reader)
        self._writer.setblocking(False)
        self._previous_handlers = {
            number: signal.signal(number, self._notify) for number in STOP_SIGNALS
        }

    async def wait(self) -> None:
        """Return at the first signal, and restore the previous handlers."""
        try:
            await self._reader.recv(1)
        finally:
            for number, handler in self._previous_handlers.items():
                signal.signal(number, handler)
            await self._reader.close()
            self._writer.close()

    def _notify(self, *_: object) -> None:
        self._writer.send(b"s")
