"""Parse operators' HTTP calls about placement records, and build the answers."""

import enum
from typing import Any

import msgspec

from crocusrudder.core import checks as core_checks
from crocusrudder.core import documents
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.records import checks
from crocusrudder.records import errors
from crocusrudder.records import rows
from crocusrudder.records import schema

Json = dict[str, Any]


class Action(enum.Enum):
    """What a change does to its record."""

    SUBMIT = "submit"
    AMEND = "amend"
    RETIRE = "retire"


class State(enum.Enum):
    """Outcome of a change."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not-accepted"
    UNKNOWN = "unknown"


class SubmitBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a call that submits a record."""

    change: schema.Name
    record: dict[str, Any]
    author: schema.Text = "unknown"


class AmendBody(SubmitBody, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Body of a call that amends a record."""

    revision: int
    """Revision of the record that the amendment was based on."""


class ChangeCall(msgspec.Struct, frozen=True):
    """A change requested by an operator; ``record`` is None if the change retires it."""

    action: Action
    change: ids.ChangeId
    author: str
    key: schema.RecordKey
    record: schema.Record | None
    based_on: int | None
    """Revision of the record that the operator saw; None for a submission."""

    @property
    def document(self) -> Json | None:
        """Return the record as JSON types, None if the change retires it."""
        return None if self.record is None else msgspec.to_builtins(self.record)

    @property
    def fingerprint(self) -> str:
        """Return a digest of the action, the key, the base revision and the record."""
        return rows.make_fingerprint(self.action.value, self.key, self.based_on, self.document)


class LookUpCall(msgspec.Struct, frozen=True):
    """A query for the outcome of a change."""

    change: ids.ChangeId


class ListCall(msgspec.Struct, frozen=True):
    """A query for the records in force; an empty kind selects all kinds."""

    kind: str


class StatusCall(msgspec.Struct, frozen=True):
    """A query for the revision in force in each data centre."""


Call = ChangeCall | LookUpCall | ListCall | StatusCall


def handles(event: events.OperatorAsked) -> bool:
    """Return whether the call is about records or changes."""
    return _strip_version(event.path)[:1] in (("records",), ("changes",))


def parse(event: events.OperatorAsked) -> Call:
    """Parse a call; raise ``RecordError`` or ``CheckFailedError`` if it is invalid."""
    match event.method, _strip_version(event.path):
        case "GET", ("records",):
            return _parse_list(event.query)
        case "GET", ("records", "status"):
            return StatusCall()
        case "GET", ("changes", change):
            return LookUpCall(_check_change(change))
        case "POST", ("records",):
            return _parse_submit(event.body)
        case "PUT", ("records",):
            return _parse_amend(event.body)
        case "DELETE", ("records", kind, name, version):
            return _parse_retire(kind, name, version, event.query)
    raise errors.NoSuchCallError(f"there is no call {event.method} /{'/'.join(event.path)}")


def _strip_version(path: tuple[str, ...]) -> tuple[str, ...]:
    return path[1:] if path[:1] == ("v1",) else path


def _parse_list(query: dict[str, str]) -> ListCall:
    kind = query.get("kind", "")
    kinds = [known.value for known in schema.Kind]
    if kind and kind not in kinds:
        raise errors.MalformedCallError(f"unknown kind {kind!r:.80}", f"one of {', '.join(kinds)}")
    return ListCall(kind)


def _parse_submit(body: Any) -> ChangeCall:
    parsed: SubmitBody = documents.convert(body, SubmitBody)
    record = checks.parse(parsed.record)
    change = ids.ChangeId(parsed.change)
    key = schema.get_key(record)
    return ChangeCall(Action.SUBMIT, change, parsed.author, key, record, None)


def _parse_amend(body: Any) -> ChangeCall:
    parsed: AmendBody = documents.convert(body, AmendBody)
    record = checks.parse(parsed.record)
    change = ids.ChangeId(parsed.change)
    key = schema.get_key(record)
    return ChangeCall(Action.AMEND, change, parsed.author, key, record, parsed.revision)


def _parse_retire(kind: str, name: str, version: str, query: dict[str, str]) -> ChangeCall:
    numbers = {"schema version": version, "revision": query.get("revision", "")}
    for what, number in numbers.items():
        if not (number.isascii() and number.isdecimal() and len(number) < 16):
            raise errors.MalformedCallError(
                f"the {what} {number!r:.80} is not a number of 1 to 15 digits"
            )
    change = _check_change(query.get("change", ""))
    kinds = [known.value for known in schema.Kind]
    if kind not in kinds or documents.find_problems(name, schema.Name):
        raise errors.NoSuchRecordError(
            f"no record can have kind {kind!r:.80} and name {name!r:.80}"
        )
    key = schema.RecordKey(kind, name, int(version))
    author = query.get("author", "unknown")[:200]
    return ChangeCall(Action.RETIRE, change, author, key, None, int(query["revision"]))


def _check_change(change: str) -> ids.ChangeId:
    if documents.find_problems(change, schema.Name):
        hint = "1 to 63 letters, digits, dots, hyphens and underscores"
        raise errors.MalformedCallError(f"{change!r:.80} is not a change id", hint)
    return ids.ChangeId(change)


def describe_accepted(change: ids.ChangeId, revision: int) -> Json:
    """Return the body of the answer to an accepted change."""
    return {"state": State.ACCEPTED.value, "change": change, "revision": revision}


def describe_error(error: Exception, state: State, change: str = "", **more: Any) -> Json:
    """Return the body of the answer to a failed call; ``change`` is its change id, if any."""
    if isinstance(error, core_checks.CheckFailedError):
        problems = [msgspec.to_builtins(problem) for problem in error.problems]
        error = errors.InvalidRecordError(
            "the record or the call is invalid", "see the list of problems"
        )
    else:
        problems = []
    body = {**error.to_dict(), "problems": problems, "state": state.value, **more}
    return body | ({"change": change} if change else {})
