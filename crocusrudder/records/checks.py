"""Checks on placement records; every problem is reported at once."""

from collections.abc import Iterator
from typing import Any

import msgspec

from crocusrudder.core import checks
from crocusrudder.core import documents
from crocusrudder.records import migrations
from crocusrudder.records import schema

UNKNOWN_KIND = "CR-REC-020"
UNKNOWN_SCHEMA_VERSION = "CR-REC-021"
INEXACT_SIZE = "CR-REC-022"
NO_ORDER_KIND = "CR-REC-023"
NO_SIGN_OFF = "CR-REC-024"
RECORD_TOO_LARGE = "CR-REC-025"
FEWER_CONNECTIONS = "CR-REC-026"

REGISTRY = checks.CheckRegistry()


def find_type(value: Any) -> tuple[type[schema.Record] | None, list[checks.Problem]]:
    """Return the type for a record's kind and schema version (None if unknown), and problems."""
    if not isinstance(value, dict):
        return None, documents.find_problems(value, schema.ServiceV2)
    kinds = {kind.value: kind for kind in schema.Kind}
    kind, version = value.get("kind"), value.get("schema_version")
    problems = []
    if not isinstance(kind, str) or kind not in kinds:
        hint = f"one of {', '.join(kinds)}"
        problems.append(checks.Problem(UNKNOWN_KIND, "$.kind", f"unknown kind {kind!r:.80}", hint))
    if type(version) is not int or version not in schema.SCHEMA_VERSIONS:
        message = f"unknown schema version {version!r:.80}"
        hint = f"one of {', '.join(map(str, schema.SCHEMA_VERSIONS))}"
        path = "$.schema_version"
        problems.append(checks.Problem(UNKNOWN_SCHEMA_VERSION, path, message, hint))
    if problems:
        return None, problems
    return schema.TYPES[kinds[kind], version], []


def validate(value: Any) -> tuple[schema.Record | None, list[checks.Problem]]:
    """Return the record (None if it cannot be converted) and all its problems."""
    type_, problems = find_type(value)
    if type_ is None:
        return None, problems
    problems = documents.find_problems(value, type_)
    if problems:
        return None, problems
    record = msgspec.convert(value, type_)
    return record, REGISTRY.run(record)


def parse(value: Any) -> schema.Record:
    """Return the valid record; raise ``CheckFailedError`` with all problems if it has errors."""
    record, problems = validate(value)
    if any(problem.severity is checks.Severity.ERROR for problem in problems):
        raise checks.CheckFailedError(problems)
    return record


def find_problems(data: bytes) -> list[checks.Problem]:
    """Return all problems of a record file."""
    value, problems = documents.decode_json(data)
    if value is None and problems:
        return problems
    return problems + validate(value)[1]


@REGISTRY.register
def check_size_is_exact(record: schema.Record) -> Iterator[checks.Problem]:
    """Check that a version 1 size is a whole number of millicores and megabytes (version 2)."""
    name = "quota" if isinstance(record, schema.TeamV1) else "size"
    size = getattr(record, name, None)
    if not isinstance(size, schema.SizeV1):
        return
    hint = "use at most three decimal places"
    if migrations.to_units(size.processors, migrations.MILLICORES_PER_PROCESSOR) is None:
        message = f"{size.processors} processors are not a whole number of millicores"
        yield checks.Problem(INEXACT_SIZE, f"$.{name}.processors", message, hint)
    if migrations.to_units(size.memory_gb, migrations.MEGABYTES_PER_GIGABYTE) is None:
        message = f"{size.memory_gb} GB are not a whole number of megabytes"
        yield checks.Problem(INEXACT_SIZE, f"$.{name}.memory_gb", message, hint)


@REGISTRY.register
def check_cutover(record: schema.Record) -> Iterator[checks.Problem]:
    """Check that a cutover names at least one order kind and that each is signed off."""
    if not isinstance(record, schema.CutoverV1):
        return
    if not record.order_kinds:
        hint = "name at least one order kind, or retire the cutover"
        yield checks.Problem(
            NO_ORDER_KIND, "$.order_kinds", "the cutover names no order kinds", hint
        )
    for order_kind, cutover in record.order_kinds.items():
        if not cutover.signed_off_by.strip():
            path = f"$.order_kinds.{order_kind}.signed_off_by"
            hint = "name the person who signed the order kind off"
            yield checks.Problem(NO_SIGN_OFF, path, "the sign-off is blank", hint)


@REGISTRY.register
def check_length(record: schema.Record) -> Iterator[checks.Problem]:
    """Check that the encoded record does not exceed ``MAX_RECORD_BYTES``."""
    length = len(msgspec.json.encode(record))
    if length > schema.MAX_RECORD_BYTES:
        message = f"the encoded record has {length} bytes"
        hint = f"at most {schema.MAX_RECORD_BYTES} bytes"
        yield checks.Problem(RECORD_TOO_LARGE, "$", message, hint)


@REGISTRY.register
def check_connections(record: schema.Record) -> Iterator[checks.Problem]:
    """Warn about a service that has fewer connections than slots."""
    is_service = isinstance(record, (schema.ServiceV1, schema.ServiceV2))
    if is_service and record.connections < record.slots:
        message = f"{record.connections} connections cannot use {record.slots} slots"
        severity = checks.Severity.WARNING
        yield checks.Problem(FEWER_CONNECTIONS, "$.connections", message, "", severity)
