"""Wait for the signals of a planned stop; curio has no signal support of its own."""

import signal
import socket

import curio.io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Catch SIGTERM and SIGINT from its creation on."""

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._reader = curio.io.Socket(reader)
        self._writer.setblocking(False)
        self._earlier = {number: signal.signal(number, self._notify) for number in STOP_SIGNALS}

    async def wait(self) -> None:
        """Return at the first signal, and restore the earlier handlers."""
        try:
            await self._reader.recv(1)
        finally:
            for number, handler in self._earlier.items():
                signal.signal(number, handler)
            await self._reader.close()
            self._writer.close()

    def _notify(self, *_: object) -> None:
        self._writer.send(b"s")
