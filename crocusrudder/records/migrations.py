"""Migrate records from schema version 1 to 2 without loss, and back for comparison."""

import functools
from typing import Any

import msgspec

from crocusrudder.records import schema

MILLICORES_PER_PROCESSOR = 1000
MEGABYTES_PER_GIGABYTE = 1000
ROUNDING_TOLERANCE = 1e-6
"""Allows for the rounding error of a decimal fraction with three places; far below one unit."""


def to_units(value: float, units: int) -> int | None:
    """Return the value in the smaller unit, None if that is not a positive whole number."""
    scaled = value * units
    rounded = round(scaled)
    return rounded if rounded > 0 and abs(scaled - rounded) <= ROUNDING_TOLERANCE else None


def upgrade_size(size: schema.SizeV1) -> schema.SizeV2:
    """Return a size in the units of version 2; the caller has checked that it converts exactly."""
    return schema.SizeV2(
        millicores=round(size.processors * MILLICORES_PER_PROCESSOR),
        memory_mb=round(size.memory_gb * MEGABYTES_PER_GIGABYTE),
    )


def downgrade_size(size: schema.SizeV2) -> schema.SizeV1:
    """Return a size in the units of version 1, without its accelerators."""
    return schema.SizeV1(
        processors=size.millicores / MILLICORES_PER_PROCESSOR,
        memory_gb=size.memory_mb / MEGABYTES_PER_GIGABYTE,
    )


def _copy(record: Any, type_: type, **changed: Any) -> Any:
    fields = {field: getattr(record, field) for field in record.__struct_fields__}
    return type_(**(fields | {"schema_version": 2} | changed))


@functools.singledispatch
def upgrade(record: schema.Record) -> schema.NewestRecord:
    """Return the record in schema version 2; a record of version 2 is returned as it is."""
    return record


@upgrade.register
def _(record: schema.ServiceV1) -> schema.ServiceV2:
    return _copy(record, schema.ServiceV2, size=upgrade_size(record.size))


@upgrade.register
def _(record: schema.BatchV1) -> schema.BatchV2:
    return _copy(record, schema.BatchV2, size=upgrade_size(record.size))


@upgrade.register
def _(record: schema.TeamV1) -> schema.TeamV2:
    return _copy(record, schema.TeamV2, quota=upgrade_size(record.quota))


@upgrade.register
def _(record: schema.CutoverV1) -> schema.CutoverV2:
    return _copy(record, schema.CutoverV2)


def upgrade_document(document: dict[str, Any]) -> dict[str, Any]:
    """Return a checked document in the fields of version 2.

    ``schema_version`` is unchanged because it is part of the record's identity.
    """
    kind = schema.Kind(document["kind"])
    version = document["schema_version"]
    record = msgspec.convert(document, schema.TYPES[kind, version])
    upgraded = msgspec.to_builtins(upgrade(record))
    return upgraded | {"schema_version": version}
