"""Run an entry or an agent that counts its envelopes: ``python -m benchmarks.metered agent ...``.

The counters ``wire_sent``, ``wire_sent_bytes``, ``wire_received`` and ``wire_received_bytes``
appear in ``GET /v1/metrics``. SIGUSR1 starts the profiler; SIGUSR2 stops it and writes the profile
to the path in ``BENCH_PROFILE``. With ``BENCH_LOOKS_PER_SECOND`` the transport polls for queued
messages at that rate; an earlier version polled 50 times per second.
"""

import cProfile
import os
import signal
import time
from collections.abc import Callable

import curio

from crocusrudder.management import cli
from crocusrudder.wire import codec
from crocusrudder.wire import transport


def count_envelopes() -> None:
    """Patch `Transport` to count the envelopes and bytes that it sends and receives."""
    original_init = transport.Transport.__init__
    original_deliver = transport.Transport._deliver

    def initialise(link, sender: codec.Sender, address: str, count: Callable) -> None:
        encode = sender.encode

        def encode_counted(*arguments) -> bytes:
            data = encode(*arguments)
            count("wire_sent")
            count("wire_sent_bytes", len(data))
            return data

        sender.encode = encode_counted
        original_init(link, sender, address, count)

    async def deliver_counted(link, data: bytes, deliver: transport.Deliver) -> None:
        link._count("wire_received")
        link._count("wire_received_bytes", len(data))
        await original_deliver(link, data, deliver)

    transport.Transport.__init__ = initialise
    transport.Transport._deliver = deliver_counted


def make_polling(interval: float) -> Callable:
    """Return the retry loop of the earlier, polling transport, which is the baseline."""

    async def retry_forever(link) -> None:
        while True:
            await curio.sleep(interval)
            now = time.monotonic()
            for peer in [peer for peer in link._peers.values() if peer.has_queued]:
                link._count_expired(peer.flush(now))

    return retry_forever


def install_signal_handlers(path: str) -> None:
    """Start the profiler on SIGUSR1; on SIGUSR2 stop it and write the profile to ``path``."""
    profiler = cProfile.Profile()

    def stop(*_) -> None:
        profiler.disable()
        profiler.dump_stats(path)

    signal.signal(signal.SIGUSR1, lambda *_: profiler.enable())
    signal.signal(signal.SIGUSR2, stop)


if __name__ == "__main__":
    count_envelopes()
    install_signal_handlers(os.environ.get("BENCH_PROFILE", os.devnull))
    polls_per_second = float(os.environ.get("BENCH_LOOKS_PER_SECOND", 0))
    if polls_per_second:
        transport.Transport.retry_forever = make_polling(1 / polls_per_second)
    cli.main()
