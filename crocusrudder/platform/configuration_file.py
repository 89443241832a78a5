"""Check configurations in the platform's format, and name the fields by its words."""

import re
from collections.abc import Iterable
from typing import Annotated
from typing import Any

import msgspec

from crocusrudder.core import checks
from crocusrudder.core import documents
from crocusrudder.core import ids
from crocusrudder.platform import errors
from crocusrudder.platform import operator
from crocusrudder.workflows import configuration_checks
from crocusrudder.workflows import configuration_differences

MAX_FILE_BYTES = 16 * 1024 * 1024
"""A configuration of 10,000 routes takes 2 MB."""

_Amount = Annotated[float, msgspec.Meta(ge=0)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    name: str
    host: str
    path_prefix: str
    service: str
    kind: str = ""
    timeout_ms: _Amount = 0
    slo_ms: _Amount = 0
    prio: _Count = 0
    max_attempts: int = 1
    stretch: float = 1
    hint: Any = None


class _Service(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    name: str
    health_path: str = ""
    max_conns: _Count = 0
    protocol: str = ""
    tls: bool = False
    coldstart_s: _Amount = 0
    cold_per_s: _Amount = 0
    enforces_capacity: bool = True
    standby: bool = False


class _Limits(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: _Amount = 0
    idle_timeout_ms: _Amount = 0


class _File(msgspec.Struct, forbid_unknown_fields=True):
    version: _Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _RouteTerms(msgspec.Struct, rename="camel"):
    name: str
    kind: Any = ""


class _ServiceTerms(msgspec.Struct, rename="camel"):
    name: str
    standby: bool = False
    health_path: Any = ""
    max_conns: Any = 0
    protocol: Any = ""
    tls: Any = False
    coldstart_s: Any = 0
    cold_per_s: Any = 0


class _LimitTerms(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    header_timeout_ms: float = 0
    idle_timeout_ms: float = 0


class _Terms(msgspec.Struct):
    """The terms that only a check reads; their ranges are not enforced."""

    routes: list[_RouteTerms] = []
    services: list[_ServiceTerms] = []
    limits: _LimitTerms = msgspec.field(default_factory=_LimitTerms)


_WORDS = {
    "queues": "routes",
    "path_prefix": "pathPrefix",
    "priority": "prio",
    "max_attempts": "maxAttempts",
    "objective_seconds": "sloMs",
    "timeout_seconds": "timeoutMs",
    "requires_tickets": "hint",
    "enforces_capacity": "enforcesCapacity",
    "body_bytes": "maxBodyBytes",
    "header_bytes": "maxHeaderBytes",
    "header_timeout_seconds": "headerTimeoutMs",
    "idle_timeout_seconds": "idleTimeoutMs",
}
_READ_FIELDS = frozenset({"name", "standby"})
_WORD = re.compile(r"[a-z_]+")


class Result(msgspec.Struct, frozen=True):
    """What is found in a configuration; ``differences`` is None if it was not compared."""

    problems: list[checks.Problem]
    differences: list[configuration_differences.Difference] | None = None


def check(data: bytes, in_force: configuration_checks.Draft | None = None) -> Result:
    """Check a configuration, and compare it with the one in force."""
    draft, problems = _read(data)
    if draft is None:
        return Result(_sort(problems))
    problems += _translate(configuration_checks.find_problems(draft))
    if in_force is None:
        return Result(_sort(problems))
    problems += _translate(configuration_differences.find_problems(draft, in_force))
    differences = [
        msgspec.structs.replace(difference, path=_translate_path(difference.path))
        for difference in configuration_differences.compare(draft, in_force)
    ]
    return Result(_sort(problems), differences)


def read_in_force(data: bytes, source: str) -> configuration_checks.Draft:
    """Return the configuration in force; raise ``CheckFailedError`` if it cannot be decoded."""
    draft, problems = _read(data)
    if draft is None:
        raise checks.CheckFailedError(
            msgspec.structs.replace(problem, path=f"{source}: {problem.path}")
            for problem in problems
        )
    return draft


def _read(data: bytes) -> tuple[configuration_checks.Draft | None, list[checks.Problem]]:
    """Return the draft, or None if it cannot be decoded, and the problems of its form."""
    value, problems = documents.decode_json(data, MAX_FILE_BYTES)
    if any(problem.code != documents.DUPLICATE_KEY for problem in problems):
        return None, problems
    problems += _find_form_problems(value)
    try:
        configuration = operator.decode_configuration(data)
        if configuration.unreadable:
            raise errors.MalformedInputError("; ".join(configuration.unreadable))
        terms = msgspec.convert(value, _Terms)
    except (errors.MalformedInputError, msgspec.ValidationError) as error:
        if not any(problem.severity is checks.Severity.ERROR for problem in problems):
            problems.append(checks.Problem(documents.WRONG_VALUE, "$", str(error)))
        return None, problems
    standby = frozenset(ids.ServiceName(item.name) for item in terms.services if item.standby)
    limits = terms.limits
    draft = configuration_checks.Draft(
        configuration,
        standby,
        limits.max_header_bytes,
        limits.header_timeout_ms / 1_000,
        limits.idle_timeout_ms / 1_000,
        _collect_unread(terms),
    )
    return draft, problems


def _collect_unread(terms: _Terms) -> dict[tuple[str, str], dict[str, Any]]:
    """Return the fields that no process reads, by section and name of an entry."""
    return {
        (section, item.name): {
            field: value
            for field, value in msgspec.to_builtins(item).items()
            if field not in _READ_FIELDS
        }
        for section, items in (("queues", terms.routes), ("services", terms.services))
        for item in items
    }


def _find_form_problems(value: Any) -> list[checks.Problem]:
    try:
        # Much faster than the search for all problems, which valid files do not need.
        msgspec.convert(value, _File)
    except msgspec.ValidationError:
        return [_ease_unknown_key(problem) for problem in documents.find_problems(value, _File)]
    return []


def _ease_unknown_key(problem: checks.Problem) -> checks.Problem:
    """Make an unknown key a warning: running processes ignore it."""
    if problem.code != documents.UNKNOWN_KEY:
        return problem
    return msgspec.structs.replace(problem, severity=checks.Severity.WARNING)


def _sort(problems: list[checks.Problem]) -> list[checks.Problem]:
    """Return errors before warnings."""
    return sorted(problems, key=lambda problem: problem.severity is checks.Severity.WARNING)


def _translate(problems: Iterable[checks.Problem]) -> list[checks.Problem]:
    return [
        msgspec.structs.replace(problem, path=_translate_path(problem.path)) for problem in problems
    ]


def _translate_path(path: str) -> str:
    return _WORD.sub(lambda match: _WORDS.get(match[0], match[0]), path)
