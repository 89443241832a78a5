"""Check a configuration for errors before the operator sends it.

Paths of problems use the names of the model; the adapter of the platform translates them. The cost
is linear in the number of queues and services.
"""

import re
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

from crocusrudder.core import checks
from crocusrudder.core import ids
from crocusrudder.workflows import model

DUPLICATE_NAME = "CR-WFL-020"
EMPTY_NAME = "CR-WFL-021"
MALFORMED_HOST = "CR-WFL-022"
MALFORMED_PREFIX = "CR-WFL-023"
UNKNOWN_SERVICE = "CR-WFL-024"
NO_ATTEMPTS = "CR-WFL-025"
NEVER_MATCHES = "CR-WFL-026"
TAKES_JOBS = "CR-WFL-027"
UNUSED_SERVICE = "CR-WFL-028"
CONTRADICTORY_LIMITS = "CR-WFL-029"
NOT_SERVED = "CR-WFL-030"
BODY_EXCEEDS_ROW = "CR-WFL-031"

JOB_ROW_BYTES = 65_536
"""Limit of the store on the value of a row; an accepted job is stored in one."""
JOB_ID_DIGITS = 16
"""Hexadecimal digits of a job's id, which follow the path prefix of its queue."""
MAX_HOST_LENGTH = 253
"""Limit of RFC 1035 on a domain name in text form."""

_HOST = re.compile(r"[a-z0-9_]([a-z0-9_.-]*[a-z0-9_])?", re.IGNORECASE)
# Printable ASCII without "#" and "?": requests are matched by their path as sent, without a query.
_PREFIX = re.compile(r'/[!"$->@-~]*')
_ID_DIGITS = frozenset("0123456789abcdef")


class Draft(msgspec.Struct, frozen=True):
    """A configuration, with the terms that no running process reads."""

    configuration: model.Configuration
    standby: frozenset[ids.ServiceName] = frozenset()
    """Services whose workers are switched off until they are needed."""
    header_bytes: int = 0
    header_timeout_seconds: float = 0.0
    idle_timeout_seconds: float = 0.0
    unread: dict[tuple[str, str], dict[str, Any]] = {}
    """Other fields by section and name of an entry, under the names that the file gives them."""


Address = tuple[str, str]
"""Lower-case host and path prefix, which together select a queue."""

_REGISTRY = checks.CheckRegistry()


def find_problems(draft: Draft) -> list[checks.Problem]:
    """Return the problems of a configuration by itself."""
    return _REGISTRY.run(draft)


def get_address(queue: model.Queue) -> Address:
    return queue.host.lower(), queue.path_prefix


def _find_repeated(values: Iterable[Hashable]) -> Iterator[tuple[int, int]]:
    """Yield the position of each repeated value with that of its first occurrence."""
    first: dict[Hashable, int] = {}
    for index, value in enumerate(values):
        if first.setdefault(value, index) != index:
            yield index, first[value]


@_REGISTRY.register
def _check_names(draft: Draft) -> Iterator[checks.Problem]:
    sections = {
        "queues": [queue.name for queue in draft.configuration.queues],
        "services": [service.name for service in draft.configuration.services],
    }
    for section, names in sections.items():
        for index, name in enumerate(names):
            if not name.strip():
                yield checks.Problem(
                    EMPTY_NAME, f"$.{section}[{index}].name", f"{name!r}: the name is empty"
                )
        for index, first in _find_repeated(names):
            yield checks.Problem(
                DUPLICATE_NAME,
                f"$.{section}[{index}].name",
                f"{names[index]!r}: entry {first} has this name already",
                "rename one: jobs and workers are assigned by the name",
            )


@_REGISTRY.register
def _check_addresses(draft: Draft) -> Iterator[checks.Problem]:
    for index, queue in enumerate(draft.configuration.queues):
        path = f"$.queues[{index}]"
        if len(queue.host) > MAX_HOST_LENGTH or not _HOST.fullmatch(queue.host):
            yield checks.Problem(
                MALFORMED_HOST,
                f"{path}.host",
                f"{queue.host[: MAX_HOST_LENGTH + 1]!r}: no request has this host",
                "use a host name without port, scheme, path or wildcard",
            )
        if not _PREFIX.fullmatch(queue.path_prefix):
            yield checks.Problem(
                MALFORMED_PREFIX,
                f"{path}.path_prefix",
                f"{queue.path_prefix!r}: no request has a path that begins with this",
                "begin with '/'; leave out query and fragment, and percent-encode other characters",
            )


@_REGISTRY.register
def _check_shadowed_queues(draft: Draft) -> Iterator[checks.Problem]:
    queues = draft.configuration.queues
    for index, first in _find_repeated(map(get_address, queues)):
        queue, other = queues[index], queues[first]
        yield checks.Problem(
            NEVER_MATCHES,
            f"$.queues[{index}].path_prefix",
            f"{queue.path_prefix!r}: queue {queue.name!r} never gets a request; all of host "
            f"{queue.host!r} with this prefix go to queue {other.name!r}",
            f"change the host or the prefix of entry {first} or {index}, or remove one of them; "
            "the case of a host does not matter",
        )


@_REGISTRY.register
def _check_overlapping_queues(draft: Draft) -> Iterator[checks.Problem]:
    queues = draft.configuration.queues
    by_address = {get_address(queue): queue for queue in reversed(queues)}
    for index, queue in enumerate(queues):
        other = _find_parent(queue, by_address)
        if other is not None:
            digits = queue.path_prefix[len(other.path_prefix) :]
            yield checks.Problem(
                TAKES_JOBS,
                f"$.queues[{index}].path_prefix",
                f"{queue.path_prefix!r}: requests for jobs of queue {other.name!r} whose ids begin "
                f"with {digits!r} get 404",
                "end both prefixes with '/'",
            )


def _find_parent(queue: model.Queue, by_address: dict[Address, model.Queue]) -> model.Queue | None:
    """Return the queue that has job ids beginning with the end of this queue's prefix."""
    host, prefix = get_address(queue)
    for length in range(1, min(JOB_ID_DIGITS, len(prefix)) + 1):
        if prefix[-length] not in _ID_DIGITS:
            return None
        other = by_address.get((host, prefix[:-length]))
        if other is not None:
            return other
    return None


@_REGISTRY.register
def _check_services(draft: Draft) -> Iterator[checks.Problem]:
    configuration = draft.configuration
    known = {service.name for service in configuration.services}
    used = {queue.service for queue in configuration.queues}
    for index, queue in enumerate(configuration.queues):
        if queue.service not in known:
            yield checks.Problem(
                UNKNOWN_SERVICE,
                f"$.queues[{index}].service",
                f"{queue.service!r}: no such service, so jobs of queue {queue.name!r} are accepted "
                "and wait unless workers register for it",
                "add the service, or correct its name",
            )
    for index, service in enumerate(configuration.services):
        if service.name not in used:
            yield checks.Problem(
                UNUSED_SERVICE,
                f"$.services[{index}].name",
                f"{service.name!r}: no queue uses this service, so its workers get no work",
                "add a queue, or remove the service",
                checks.Severity.WARNING,
            )


@_REGISTRY.register
def _check_terms(draft: Draft) -> Iterator[checks.Problem]:
    for index, queue in enumerate(draft.configuration.queues):
        path = f"$.queues[{index}]"
        if queue.max_attempts < 1:
            yield checks.Problem(
                NO_ATTEMPTS,
                f"{path}.max_attempts",
                f"{queue.max_attempts}: a job needs at least one attempt",
                "use 1 for a single attempt",
            )
        if queue.stretch < 1:
            yield checks.Problem(
                CONTRADICTORY_LIMITS,
                f"{path}.stretch",
                f"{queue.stretch:g}: jobs are due before their work can be done",
                "use at least 1",
            )
        if 0 < queue.timeout_seconds < queue.objective_seconds:
            yield checks.Problem(
                CONTRADICTORY_LIMITS,
                f"{path}.objective_seconds",
                f"{queue.objective_seconds * 1_000:g} ms: longer than the timeout of "
                f"{queue.timeout_seconds * 1_000:g} ms",
                "lengthen the timeout, or shorten the objective",
            )


@_REGISTRY.register
def _check_limits(draft: Draft) -> Iterator[checks.Problem]:
    body_bytes = draft.configuration.body_bytes
    for field, value in (("body_bytes", body_bytes), ("header_bytes", draft.header_bytes)):
        if value < 1:
            yield checks.Problem(
                CONTRADICTORY_LIMITS, f"$.limits.{field}", f"{value}: no request is this short"
            )
    if body_bytes > JOB_ROW_BYTES:
        yield checks.Problem(
            BODY_EXCEEDS_ROW,
            "$.limits.body_bytes",
            f"{body_bytes}: a job is stored in a row of at most {JOB_ROW_BYTES} bytes",
            f"a limit up to {JOB_ROW_BYTES} refuses longer jobs at once, with 413",
            checks.Severity.WARNING,
        )
    if 0 < draft.idle_timeout_seconds < draft.header_timeout_seconds:
        yield checks.Problem(
            CONTRADICTORY_LIMITS,
            "$.limits.header_timeout_seconds",
            f"{draft.header_timeout_seconds * 1_000:g} ms: longer than the idle timeout of "
            f"{draft.idle_timeout_seconds * 1_000:g} ms",
            "lengthen the idle timeout, or shorten this one",
        )


@_REGISTRY.register
def _check_what_is_served(draft: Draft) -> Iterator[checks.Problem]:
    for index, queue in enumerate(draft.configuration.queues):
        if queue.requires_tickets:
            yield checks.Problem(
                NOT_SERVED,
                f"$.queues[{index}].requires_tickets",
                f"no tickets are requested, so jobs of queue {queue.name!r} are accepted and wait",
                severity=checks.Severity.WARNING,
            )
    for index, service in enumerate(draft.configuration.services):
        if service.name in draft.standby:
            yield checks.Problem(
                NOT_SERVED,
                f"$.services[{index}].standby",
                f"true: machines of service {service.name!r} are never switched on, so its jobs "
                "wait unless some are",
                severity=checks.Severity.WARNING,
            )
