"""Build the transaction for a change from the rows read, or refuse the change."""

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.records import calls
from crocusrudder.records import errors
from crocusrudder.records import rows
from crocusrudder.records import schema
from crocusrudder.records import state
from crocusrudder.wire import messages

FoundRows = dict[str, effects.Row]


class Transaction(msgspec.Struct, frozen=True):
    """The rows to write and to check; ``revision`` is None if a change id is withdrawn."""

    writes: tuple[effects.RowWrite, ...]
    checks: tuple[effects.RowCheck, ...] = ()
    revision: ids.Revision | None = None


def list_keys(call: calls.ChangeCall | calls.LookUpCall) -> tuple[str, ...]:
    """Return the keys of the rows on which the call depends."""
    keys = [rows.get_change_key(call.change)]
    if isinstance(call, calls.ChangeCall):
        related = (key.row_key for key in _list_related(call))
        keys += [rows.HEAD_KEY, call.key.row_key, *related]
    return tuple(keys)


def find_outcome(call: calls.ChangeCall | calls.LookUpCall, found: FoundRows) -> int | None:
    """Return the revision at which the change was accepted, None if that is undecided.

    Raises ``ChangeWithdrawnError`` if the change can no longer be accepted, and
    ``ChangeIdReusedError`` if its id belongs to another change.
    """
    row = found.get(rows.get_change_key(call.change))
    known: rows.ChangeRow | None = rows.read(row, rows.ChangeRow)
    if known is None:
        return None
    if known.revision is None:
        hint = "submit it again under a new change id"
        raise errors.ChangeWithdrawnError(f"the change {call.change} was not accepted", hint)
    if isinstance(call, calls.ChangeCall) and known.fingerprint != call.fingerprint:
        message = f"the change id {call.change} is already used by revision {known.revision}"
        raise errors.ChangeIdReusedError(message, "use a new change id")
    return known.revision


def build_withdrawal(call: calls.LookUpCall) -> Transaction:
    """Return a transaction that prevents the change from being accepted.

    A commit of the change may still be outstanding; the row makes "not accepted" final.
    """
    value = msgspec.to_builtins(rows.ChangeRow(None))
    return Transaction((effects.RowWrite(rows.get_change_key(call.change), value, 0),))


def build_transaction(
    call: calls.ChangeCall, found: FoundRows, incarnation: ids.Incarnation
) -> Transaction:
    """Return the transaction that commits a change; raise ``RecordError`` if it is refused."""
    _check_record_row(call, found)
    _check_references(call, found)
    head_row = found.get(rows.HEAD_KEY)
    head: rows.Head | None = rows.read(head_row, rows.Head)
    revision = ids.Revision((head.revision if head else 0) + 1)
    related = (key.row_key for key in _list_related(call))
    return Transaction(
        (
            effects.RowWrite(rows.HEAD_KEY, _make_head(call, revision), _get_version(head_row)),
            effects.RowWrite(
                rows.get_revision_key(revision), _make_revision(call, revision, incarnation), 0
            ),
            effects.RowWrite(rows.get_change_key(call.change), _make_change(call, revision), 0),
            effects.RowWrite(
                call.key.row_key,
                _make_record(call, revision),
                _get_version(found.get(call.key.row_key)),
            ),
        ),
        tuple(effects.RowCheck(key, _get_version(found.get(key))) for key in related),
        revision,
    )


def make_change(call: calls.ChangeCall, revision: int) -> messages.ConfigurationChange:
    """Return the change in the form that replicas exchange."""
    key = call.key
    return messages.ConfigurationChange(
        ids.Revision(revision), call.change, key.kind, key.name, key.schema_version, call.document
    )


def check_capacity(configuration: state.Configuration, call: calls.ChangeCall) -> None:
    """Raise ``ConfigurationFullError`` if the record does not fit into the configuration."""
    previous = configuration.records.get(call.key)
    if previous is None and len(configuration.records) >= state.MAX_RECORDS:
        raise errors.ConfigurationFullError(
            f"the configuration already has {state.MAX_RECORDS} records",
            "retire records that are not needed",
        )
    length = len(msgspec.json.encode(call.record))
    total = configuration.size_bytes + length - (previous.length if previous else 0)
    if total > state.MAX_CONFIGURATION_BYTES:
        raise errors.ConfigurationFullError(
            f"the records would have {total} bytes, more than {state.MAX_CONFIGURATION_BYTES}",
            "retire records that are not needed",
        )


def _list_related(call: calls.ChangeCall) -> list[schema.RecordKey]:
    """Return the other records whose existence decides whether the change is allowed."""
    if isinstance(call.record, schema.CutoverV1):
        return [
            schema.RecordKey(schema.Kind.SERVICE.value, call.key.name, version)
            for version in schema.SCHEMA_VERSIONS
        ]
    if call.action is calls.Action.RETIRE and call.key.kind == schema.Kind.SERVICE.value:
        cutovers = [
            schema.RecordKey(schema.Kind.CUTOVER.value, call.key.name, version)
            for version in schema.SCHEMA_VERSIONS
        ]
        others = [
            schema.RecordKey(call.key.kind, call.key.name, version)
            for version in schema.SCHEMA_VERSIONS
            if version != call.key.schema_version
        ]
        return cutovers + others
    return []


def _check_record_row(call: calls.ChangeCall, found: FoundRows) -> None:
    row: rows.RecordRow | None = rows.read(found.get(call.key.row_key), rows.RecordRow)
    if call.action is calls.Action.SUBMIT:
        if row is not None:
            message = f"{call.key} exists at revision {row.revision}"
            hint = "amend it from that revision"
            raise errors.RecordExistsError(message, hint, row.record, row.revision)
        return
    if row is None:
        raise errors.NoSuchRecordError(f"{call.key} does not exist", "list the records of its kind")
    if row.revision != call.based_on:
        message = f"{call.key} is at revision {row.revision}, not {call.based_on}"
        hint = "review the current record, then repeat the change from its revision"
        raise errors.RevisionConflictError(message, hint, row.record, row.revision)


def _check_references(call: calls.ChangeCall, found: FoundRows) -> None:
    if isinstance(call.record, schema.CutoverV1):
        _check_cutover(call.record, found)
    elif call.action is calls.Action.RETIRE and call.key.kind == schema.Kind.SERVICE.value:
        _check_retirement(call, found)


def _check_cutover(record: schema.CutoverV1, found: FoundRows) -> None:
    versions = {cutover.schema_version for cutover in record.order_kinds.values()}
    for version in sorted(versions):
        key = schema.RecordKey(schema.Kind.SERVICE.value, record.service, version)
        if key.row_key not in found:
            raise errors.MissingReferenceError(f"{key} does not exist", "submit it first")


def _check_retirement(call: calls.ChangeCall, found: FoundRows) -> None:
    *cutovers, other = _list_related(call)
    present = [key for key in cutovers if key.row_key in found]
    for key in present:
        row: rows.RecordRow = rows.read(found[key.row_key], rows.RecordRow)
        named = _list_order_kinds(row, call.key.schema_version)
        if named:
            message = f"{call.key} still serves {', '.join(named)} according to {key}"
            raise errors.RecordInUseError(message, "amend the cutover first")
    if not present and other.row_key in found:
        message = f"without a cutover, retiring {call.key} would move its order kinds to {other}"
        raise errors.RecordInUseError(message, "submit a cutover that is signed off first")


def _list_order_kinds(row: rows.RecordRow, version: int) -> list[str]:
    try:
        cutover = msgspec.convert(row.record, schema.CutoverV2)
    except msgspec.ValidationError as error:
        raise errors.StoredRecordError(f"the stored cutover is malformed: {error}") from error
    return sorted(
        name for name, item in cutover.order_kinds.items() if item.schema_version == version
    )


def _get_version(row: effects.Row | None) -> int:
    return row.version if row else 0


def _make_head(call: calls.ChangeCall, revision: ids.Revision) -> dict:
    return msgspec.to_builtins(rows.Head(revision, call.change))


def _make_revision(
    call: calls.ChangeCall, revision: ids.Revision, incarnation: ids.Incarnation
) -> dict:
    row = rows.RevisionRow(
        revision,
        call.change,
        call.author,
        call.action.value,
        call.key.kind,
        call.key.name,
        call.key.schema_version,
        call.document,
    )
    return msgspec.to_builtins(row) | {"entry_incarnation": incarnation}


def _make_change(call: calls.ChangeCall, revision: ids.Revision) -> dict:
    return msgspec.to_builtins(rows.ChangeRow(revision, call.fingerprint))


def _make_record(call: calls.ChangeCall, revision: ids.Revision) -> dict | None:
    if call.document is None:
        return None
    return msgspec.to_builtins(rows.RecordRow(call.document, revision))
