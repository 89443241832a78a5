"""Checks on settings beyond the types of their fields."""

import collections
import ipaddress
from collections.abc import Iterable
from collections.abc import Iterator

from crocusrudder.conf import settings
from crocusrudder.core import checks

BAD_ADDRESS = "CR-CONF-010"
SAME_PORT = "CR-CONF-011"
DUPLICATE = "CR-CONF-012"
OWN_PROCESS_IN_PEERS = "CR-CONF-013"
EMPTY_LIST = "CR-CONF-014"
LEASE_TOO_SHORT = "CR-CONF-015"
TIMEOUT_ORDER = "CR-CONF-016"
NO_LOCAL_ENTRY = "CR-CONF-017"
NO_LOCAL_CELL = "CR-CONF-018"

MIN_CELL_LEASE_SECONDS = 1.0
"""Leases are renewed every third of their length; a shorter lease leaves no time for a retry."""
MIN_TASK_LEASE_SECONDS = 2.0

ENTRY_CHECKS = checks.CheckRegistry()
AGENT_CHECKS = checks.CheckRegistry()


def _check_address(path: str, address: str) -> Iterator[checks.Problem]:
    host, _, port = address.partition(":")
    try:
        ipaddress.IPv4Address(host)
        valid = 1 <= int(port or "1") <= 65_535
    except ValueError:
        valid = False
    if not valid:
        hint = "use a numeric IPv4 address and a port from 1 to 65535"
        yield checks.Problem(BAD_ADDRESS, path, f"{address!r} is not a valid address", hint)


def _check_unique(path: str, name: str, values: Iterable[str]) -> Iterator[checks.Problem]:
    for value, count in collections.Counter(values).items():
        if count > 1:
            message = f"{name} {value!r} occurs {count} times"
            yield checks.Problem(DUPLICATE, path, message)


def _check_peers(path: str, peers: tuple[settings.Peer, ...]) -> Iterator[checks.Problem]:
    for index, peer in enumerate(peers):
        yield from _check_address(f"{path}[{index}].address", peer.address)
    yield from _check_unique(path, "process", (peer.process for peer in peers))
    yield from _check_unique(path, "address", (peer.address for peer in peers))


@ENTRY_CHECKS.register
@AGENT_CHECKS.register
def check_own_addresses(document: settings.Settings) -> Iterator[checks.Problem]:
    """Check the host and the ports on which the process listens."""
    yield from _check_address("$.listen_host", document.listen_host)
    if document.wire_port == document.http_port:
        message = f"wire_port and http_port are both {document.http_port}"
        yield checks.Problem(SAME_PORT, "$.http_port", message, "choose two different ports")


@ENTRY_CHECKS.register
def check_entry_addresses(document: settings.EntrySettings) -> Iterator[checks.Problem]:
    """Check the addresses of the store and of the peers."""
    yield from _check_address("$.store.table_address", document.store.table_address)
    yield from _check_address("$.store.object_address", document.store.object_address)
    yield from _check_peers("$.peers", document.peers)
    for index, peer in enumerate(document.peers):
        if peer.process == document.process or peer.address == document.wire_address:
            message = f"{peer.process!r} is this process itself"
            hint = "list only the other entries"
            yield checks.Problem(OWN_PROCESS_IN_PEERS, f"$.peers[{index}]", message, hint)


@ENTRY_CHECKS.register
def check_cells(document: settings.EntrySettings) -> Iterator[checks.Problem]:
    """Check the list of the region's cells."""
    if not document.cells:
        yield checks.Problem(EMPTY_LIST, "$.cells", "no cells", "list all cells of the region")
        return
    yield from _check_unique("$.cells", "cell", (cell.cell for cell in document.cells))
    if all(cell.data_centre != document.data_centre for cell in document.cells):
        message = f"no cell is in this entry's data centre {document.data_centre!r}"
        yield checks.Problem(
            NO_LOCAL_CELL, "$.cells", message, "check the spelling", checks.Severity.WARNING
        )


@ENTRY_CHECKS.register
def check_leases(document: settings.EntrySettings) -> Iterator[checks.Problem]:
    """Check that leases leave time to renew them."""
    leases = document.leases
    if leases.cell_lease_seconds < MIN_CELL_LEASE_SECONDS:
        message = f"{leases.cell_lease_seconds} s is too short to renew"
        hint = f"at least {MIN_CELL_LEASE_SECONDS} s"
        yield checks.Problem(LEASE_TOO_SHORT, "$.leases.cell_lease_seconds", message, hint)
    yield from _check_task_lease("$.leases.task_lease_seconds", leases.task_lease_seconds)


@ENTRY_CHECKS.register
def check_timeouts(document: settings.EntrySettings) -> Iterator[checks.Problem]:
    """Check the timeouts against each other and against the cell lease."""
    limits = document.requests
    if limits.default_timeout_seconds > limits.max_timeout_seconds:
        message = (
            f"default_timeout_seconds ({limits.default_timeout_seconds:g}) exceeds"
            f" max_timeout_seconds ({limits.max_timeout_seconds:g})"
        )
        yield checks.Problem(TIMEOUT_ORDER, "$.requests.default_timeout_seconds", message)
    if document.store.request_timeout_seconds >= document.leases.cell_lease_seconds:
        message = (
            f"request_timeout_seconds ({document.store.request_timeout_seconds:g}) is not below"
            f" cell_lease_seconds ({document.leases.cell_lease_seconds:g})"
        )
        hint = "a lease renewal must be answered before the lease expires"
        yield checks.Problem(TIMEOUT_ORDER, "$.store.request_timeout_seconds", message, hint)


@AGENT_CHECKS.register
def check_agent_addresses(document: settings.AgentSettings) -> Iterator[checks.Problem]:
    """Check the addresses of the runtime, the object store and the entries."""
    yield from _check_address("$.runtime_address", document.runtime_address)
    yield from _check_address("$.object_address", document.object_address)
    yield from _check_peers("$.entries", document.entries)
    if not document.entries:
        hint = "list the entries of the region"
        yield checks.Problem(EMPTY_LIST, "$.entries", "no entries", hint)
    elif all(peer.data_centre != document.data_centre for peer in document.entries):
        message = f"no entry is in this agent's data centre {document.data_centre!r}"
        yield checks.Problem(
            NO_LOCAL_ENTRY, "$.entries", message, "check the spelling", checks.Severity.WARNING
        )


@AGENT_CHECKS.register
def check_agent_lease(document: settings.AgentSettings) -> Iterator[checks.Problem]:
    """Check that the task lease leaves time to renew it."""
    yield from _check_task_lease("$.task_lease_seconds", document.task_lease_seconds)


def _check_task_lease(path: str, seconds: float) -> Iterator[checks.Problem]:
    if seconds < MIN_TASK_LEASE_SECONDS:
        hint = f"at least {MIN_TASK_LEASE_SECONDS} s"
        yield checks.Problem(LEASE_TOO_SHORT, path, f"{seconds} s is too short to renew", hint)
