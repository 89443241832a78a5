"""Settings of an entry and of an agent, with their defaults.

Every field is documented in ``docs/reference/settings.md``. Addresses are ``host:port`` with a
numeric IPv4 host, because processes are addressed by IP number.
"""

import enum
from typing import Annotated

import msgspec

from crocusrudder.core import ids

DEFAULT_TASK_LEASE_SECONDS = 300.0
DEFAULT_CELL_LEASE_SECONDS = 6.0
DEFAULT_WRITE_BUDGET_PER_SECOND = 300.0
MAX_WRITE_BUDGET_PER_SECOND = 10_000.0

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$")]
"""Names appear in row keys and URLs, which limits their characters."""
Host = Annotated[str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
TimeoutSeconds = Annotated[float, msgspec.Meta(ge=0.01, le=60)]


class LogFormat(enum.Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class LogLevel(enum.Enum):
    """Lowest level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Format and level of the log."""

    format: LogFormat = LogFormat.JSON
    level: LogLevel = LogLevel.INFO


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Entry that a process connects to; ``address`` is its wire address."""

    process: Annotated[ids.ProcessId, msgspec.Meta(pattern=r"^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$")]
    address: Address
    data_centre: Name


class CellSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cell of the region and the data centre of its workers."""

    cell: Name
    data_centre: Name


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses, timeouts and write budget of the platform's table service and object store."""

    table_address: Address
    object_address: Address
    connect_timeout_seconds: TimeoutSeconds = 1.0
    request_timeout_seconds: TimeoutSeconds = 3.0
    write_budget_per_second: Annotated[
        float, msgspec.Meta(gt=0, le=MAX_WRITE_BUDGET_PER_SECOND)
    ] = DEFAULT_WRITE_BUDGET_PER_SECOND
    """Row writes per second of the whole system."""


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Lengths of leases; all entries of a region must have the same."""

    task_lease_seconds: PositiveSeconds = DEFAULT_TASK_LEASE_SECONDS
    cell_lease_seconds: PositiveSeconds = DEFAULT_CELL_LEASE_SECONDS


class RequestLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on callers' requests in one entry."""

    max_in_flight: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 2_000
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=2 * 1024 * 1024)] = 1024 * 1024
    max_header_bytes: Annotated[int, msgspec.Meta(ge=256, le=65_536)] = 16_384
    default_timeout_seconds: PositiveSeconds = 10.0
    max_timeout_seconds: PositiveSeconds = 600.0
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    """Maximum ratio of retries to first attempts."""


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry."""

    process: Name
    region: Name
    data_centre: Name
    wire_port: Port
    http_port: Port
    store: StoreSettings
    cells: tuple[CellSettings, ...]
    peers: tuple[Peer, ...] = ()
    listen_host: Host = "127.0.0.1"
    leases: LeaseSettings = LeaseSettings()
    requests: RequestLimits = RequestLimits()
    log: LogSettings = LogSettings()

    @property
    def wire_address(self) -> str:
        """Return the address on which the entry listens for messages."""
        return f"{self.listen_host}:{self.wire_port}"


class CapacitySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of a worker that tasks and endpoints may use together."""

    millicores: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
    memory_mb: Annotated[int, msgspec.Meta(ge=1, le=100_000_000)]
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an agent."""

    process: Name
    worker: Name
    cell: Name
    rack: Name
    region: Name
    data_centre: Name
    wire_port: Port
    http_port: Port
    entries: tuple[Peer, ...]
    runtime_address: Address
    object_address: Address
    capacity: CapacitySettings
    listen_host: Host = "127.0.0.1"
    task_lease_seconds: PositiveSeconds = DEFAULT_TASK_LEASE_SECONDS
    drain_seconds: PositiveSeconds = 30.0
    """Time for requests in flight to end at a planned stop; standing requests end at once."""
    log: LogSettings = LogSettings()

    @property
    def wire_address(self) -> str:
        """Return the address on which the agent listens for messages."""
        return f"{self.listen_host}:{self.wire_port}"


Settings = EntrySettings | AgentSettings
