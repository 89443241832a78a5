"""Signal delivery to curio tasks."""

import atexit
import signal
import socket
from collections.abc import Iterable

import curio.io


class SignalWatcher:
    """Handle signals and let a task wait for them."""

    def __init__(self, numbers: Iterable[int]) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._notifications = curio.io.Socket(reader)
        for number in numbers:
            signal.signal(number, lambda received, _: self._writer.send(bytes([received])))
            # The interpreter restores the default actions before it ends, and a repeated signal
            # would kill a process that has already stopped.
            atexit.register(signal.signal, number, signal.SIG_IGN)

    async def wait(self) -> int:
        """Return the number of the next signal."""
        return (await self._notifications.recv(1))[0]
