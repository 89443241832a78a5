"""Wait for the signals of a planned stop; curio has no signal support of its own."""

import signal
import socket

import curio.io


async def wait_for_stop() -> None:
    """Return at the first SIGTERM or SIGINT."""
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: writer.send(b"s"))
    notifications = curio.io.Socket(reader)
    try:
        await notifications.recv(1)
    finally:
        await notifications.close()
