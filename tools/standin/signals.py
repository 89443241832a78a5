"""Wait for the signals of a planned stop; curio has no signal support of its own."""

import signal
import socket

import curio.io


async def wait_for_stop() -> None:
    """Return at the first SIGTERM or SIGINT."""
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    numbers = (signal.SIGTERM, signal.SIGINT)
    earlier = {number: signal.signal(number, lambda *_: writer.send(b"s")) for number in numbers}
    notifications = curio.io.Socket(reader)
    try:
        await notifications.recv(1)
    finally:
        for number, handler in earlier.items():
            signal.signal(number, handler)
        await notifications.close()
        writer.close()
