"""Serve the stand-in platform: ``python -m tools.standin.platform --port N``."""

import click
import curio
from loguru import logger

from crocusrudder.wire import messages
from tools.standin import runtime
from tools.standin import server
from tools.standin import service
from tools.standin import signals


async def serve(listener: server.Server) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = signals.StopSignal()
    serving = await curio.spawn(listener.run)
    await stop.wait()
    await serving.cancel()


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--millicores", default=runtime.DEFAULT_CAPACITY.millicores, show_default=True)
@click.option("--memory-mb", default=runtime.DEFAULT_CAPACITY.memory_mb, show_default=True)
@click.option("--accelerators", default=runtime.DEFAULT_CAPACITY.accelerators, show_default=True)
def main(host: str, port: int, millicores: int, memory_mb: int, accelerators: int) -> None:
    """Serve the table service, the object store and the worker runtime.

    The resource options set the capacity of workers that have none from PUT /runtime/<worker>.
    """
    platform = service.Platform(messages.Resources(millicores, memory_mb, accelerators))
    listener = server.Server(host, port, platform.handle)
    listener.listen()
    logger.info("stand-in platform listens on {}:{}", host, port)
    curio.run(serve, listener)


if __name__ == "__main__":
    main()
