"""Run an entry or an agent that counts its envelopes: ``python -m benchmarks.metered agent ...``.

The counters ``wire_sent``, ``wire_sent_bytes``, ``wire_received`` and ``wire_received_bytes``
appear in ``GET /v1/metrics``.
"""

from collections.abc import Callable

from crocusrudder.management import cli
from crocusrudder.wire import codec
from crocusrudder.wire import transport


def count_envelopes() -> None:
    """Make every transport count what it encodes and decodes."""
    make = transport.Transport.__init__
    receive = transport.Transport._deliver

    def initialise(link, sender: codec.Sender, address: str, count: Callable) -> None:
        encode = sender.encode

        def encode_counted(*arguments) -> bytes:
            data = encode(*arguments)
            count("wire_sent")
            count("wire_sent_bytes", len(data))
            return data

        sender.encode = encode_counted
        make(link, sender, address, count)

    async def receive_counted(link, data: bytes, deliver: transport.Deliver) -> None:
        link._count("wire_received")
        link._count("wire_received_bytes", len(data))
        await receive(link, data, deliver)

    transport.Transport.__init__ = initialise
    transport.Transport._deliver = receive_counted


if __name__ == "__main__":
    count_envelopes()
    cli.main()
