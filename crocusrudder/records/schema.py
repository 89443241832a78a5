"""Placement records: the four kinds in schema versions 1 and 2.

A record is identified by kind, name and schema version; the name of a cutover is its service.
Version 1 gives sizes in processors and gigabytes, version 2 in millicores, megabytes (1 GB is
1000 MB) and accelerators. Version 2 adds ``urgent`` to batch records.
"""

import enum
from typing import Annotated

import msgspec

SCHEMA_VERSIONS = (1, 2)
NEWEST_SCHEMA_VERSION = 2
MAX_RECORD_BYTES = 16 * 1024
MAX_REPLICAS = 10_000

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$")]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Command = Annotated[str, msgspec.Meta(min_length=1, max_length=4_096)]
Processors = Annotated[float, msgspec.Meta(gt=0, le=10_000)]
Gigabytes = Annotated[float, msgspec.Meta(gt=0, le=100_000)]
Millicores = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
Megabytes = Annotated[int, msgspec.Meta(ge=1, le=100_000_000)]
Accelerators = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
SchemaVersion = Annotated[int, msgspec.Meta(ge=1, le=NEWEST_SCHEMA_VERSION)]


class Kind(enum.Enum):
    """Kinds of placement records."""

    SERVICE = "service"
    BATCH = "batch"
    TEAM = "team"
    CUTOVER = "cutover"


class SizeV1(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of one replica, one task or a quota, in processors and gigabytes."""

    processors: Processors
    memory_gb: Gigabytes


class SizeV2(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of one replica, one task or a quota."""

    millicores: Millicores
    memory_mb: Megabytes
    accelerators: Accelerators = 0


class _Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: Name
    team: Name
    kind: str = "service"
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 8
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 60
    replicas: Annotated[int, msgspec.Meta(ge=0, le=MAX_REPLICAS)] = 1


class ServiceV1(_Service, frozen=True, kw_only=True):
    """A latency-critical service."""

    size: SizeV1
    schema_version: int = 1


class ServiceV2(_Service, frozen=True, kw_only=True):
    """A latency-critical service."""

    size: SizeV2
    schema_version: int = 2


class _Batch(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: Name
    team: Name
    command: Command
    kind: str = "batch"
    checkpoint_seconds: Seconds = 60.0


class BatchV1(_Batch, frozen=True, kw_only=True):
    """A class of batch jobs."""

    size: SizeV1
    schema_version: int = 1


class BatchV2(_Batch, frozen=True, kw_only=True):
    """A class of batch jobs."""

    size: SizeV2
    urgent: bool = False
    schema_version: int = 2


class TeamV1(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A team and what its batch tasks may use at once."""

    name: Name
    quota: SizeV1
    kind: str = "team"
    schema_version: int = 1


class TeamV2(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A team and what its batch tasks may use at once."""

    name: Name
    quota: SizeV2
    kind: str = "team"
    schema_version: int = 2


class OrderKindCutover(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The schema version that serves an order kind, and who signed that off."""

    schema_version: SchemaVersion
    signed_off_by: Text


class CutoverV1(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Which schema version of a service serves each order kind."""

    service: Name
    order_kinds: dict[Name, OrderKindCutover]
    kind: str = "cutover"
    schema_version: int = 1


class CutoverV2(CutoverV1, frozen=True, kw_only=True):
    """Which schema version of a service serves each order kind; has the fields of version 1."""

    schema_version: int = 2


Record = ServiceV1 | ServiceV2 | BatchV1 | BatchV2 | TeamV1 | TeamV2 | CutoverV1 | CutoverV2
NewestRecord = ServiceV2 | BatchV2 | TeamV2 | CutoverV2

TYPES: dict[tuple[Kind, int], type[Record]] = {
    (Kind.SERVICE, 1): ServiceV1,
    (Kind.SERVICE, 2): ServiceV2,
    (Kind.BATCH, 1): BatchV1,
    (Kind.BATCH, 2): BatchV2,
    (Kind.TEAM, 1): TeamV1,
    (Kind.TEAM, 2): TeamV2,
    (Kind.CUTOVER, 1): CutoverV1,
    (Kind.CUTOVER, 2): CutoverV2,
}


class RecordKey(msgspec.Struct, frozen=True, order=True):
    """Identity of a record."""

    kind: str
    name: str
    schema_version: int

    @property
    def row_key(self) -> str:
        """Return the key of the record's row in the table."""
        return f"config/record/{self.kind}/{self.name}/{self.schema_version}"

    def __str__(self) -> str:
        """Return the identity in the form shown to operators."""
        return f"{self.kind} {self.name} (schema version {self.schema_version})"


def get_key(record: Record) -> RecordKey:
    name = record.service if isinstance(record, CutoverV1) else record.name
    return RecordKey(record.kind, name, record.schema_version)
