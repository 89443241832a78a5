"""Set-up code that the entry and agent processes share."""

from collections.abc import Iterable

from crocusrudder.conf import settings
from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.hosting import host
from crocusrudder.observability import logs
from crocusrudder.observability import metrics
from crocusrudder.wire import codec
from crocusrudder.wire import transport


def make_transport(
    document: settings.Settings, incarnation: ids.Incarnation, registry: metrics.Metrics
) -> transport.Transport:
    """Return a transport that listens on the wire address of the settings.

    The process's own address is recorded too, because an entry notifies all entries of new chunks,
    including itself.
    """
    address = document.wire_address
    process = ids.ProcessId(document.process)
    sender = codec.Sender(process, incarnation, address)
    link = transport.Transport(sender, address, registry.count)
    link.record_address(process, address)
    return link


def record_peer_addresses(link: transport.Transport, peers: Iterable[settings.Peer]) -> None:
    """Record the peer addresses of the settings in the transport."""
    for peer in peers:
        link.record_address(peer.process, peer.address)


def make_observation_handlers(registry: metrics.Metrics) -> dict[type, host.Handler]:
    """Return the handlers of the effects for counters, observations and log lines."""
    return {
        effects.Count: lambda effect: registry.count(effect.name, effect.amount),
        effects.Observe: lambda effect: registry.observe(effect.name, effect.value),
        effects.LogChange: logs.write_change,
    }


def log_start(incarnation: ids.Incarnation) -> None:
    """Log that the process has started to serve."""
    logs.write_change(effects.LogChange("started", {"incarnation": incarnation}))


def log_stop(incarnation: ids.Incarnation) -> None:
    """Log that a planned stop is complete."""
    logs.write_change(effects.LogChange("stopped", {"incarnation": incarnation}))
