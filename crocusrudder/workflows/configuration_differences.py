"""List what a configuration changes for callers, compared with the one in force."""

from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from crocusrudder.core import checks
from crocusrudder.core import ids
from crocusrudder.workflows import configuration_checks
from crocusrudder.workflows import model

OLD_VERSION = "CR-WFL-032"


class Difference(msgspec.Struct, frozen=True):
    """One change, with its path in the new configuration and what callers notice."""

    path: str
    message: str

    def __str__(self) -> str:
        """Return the difference on one line."""
        return f"{self.path}: {self.message}"


def find_problems(
    draft: configuration_checks.Draft, in_force: configuration_checks.Draft
) -> Iterator[checks.Problem]:
    """Yield an error if the system would ignore the draft because of its version."""
    version, current = draft.configuration.version, in_force.configuration.version
    if version <= current:
        yield checks.Problem(
            OLD_VERSION,
            "$.version",
            f"{version}: not higher than version {current} in force, so it would be ignored",
            f"use a version above {current}",
        )


def compare(
    draft: configuration_checks.Draft, in_force: configuration_checks.Draft
) -> list[Difference]:
    """Return all differences between a draft and the configuration in force."""
    return [
        *_compare_queues(draft.configuration, in_force.configuration),
        *_compare_services(draft, in_force),
        *_compare_limits(draft, in_force),
        *_compare_unread(draft, in_force),
    ]


def _compare_queues(new: model.Configuration, old: model.Configuration) -> Iterator[Difference]:
    # Of several queues with one address, the first one gets the requests.
    by_address = {configuration_checks.get_address(queue): queue for queue in reversed(new.queues)}
    before = {queue.name: queue for queue in old.queues}
    names = {queue.name for queue in new.queues}
    for queue in before.values():
        if queue.name not in names:
            yield Difference(
                "$.queues",
                f"queue {queue.name!r} is removed: {_describe_lost_address(queue, by_address)}; "
                "its accepted jobs go on",
            )
    for index, queue in enumerate(new.queues):
        path = f"$.queues[{index}]"
        if queue.name not in before:
            yield Difference(
                path,
                f"queue {queue.name!r} is added: submissions to {queue.host}{queue.path_prefix} "
                f"are accepted for service {queue.service!r}",
            )
        else:
            yield from _compare_queue(path, queue, before[queue.name], by_address)


def _describe_lost_address(
    queue: model.Queue, by_address: dict[configuration_checks.Address, model.Queue]
) -> str:
    place = f"{queue.host}{queue.path_prefix}"
    other = by_address.get(configuration_checks.get_address(queue))
    if other is not None:
        return f"requests to {place} go to queue {other.name!r}"
    return f"submissions, queries and cancellations at {place} get 404"


def _compare_queue(
    path: str,
    new: model.Queue,
    old: model.Queue,
    by_address: dict[configuration_checks.Address, model.Queue],
) -> Iterator[Difference]:
    address, old_address = map(configuration_checks.get_address, (new, old))
    if address != old_address:
        field = "host" if address[0] != old_address[0] else "path_prefix"
        yield Difference(
            f"{path}.{field}",
            f"queue {new.name!r} moves to {new.host}{new.path_prefix}: "
            f"{_describe_lost_address(old, by_address)}",
        )
    for field, describe in _QUEUE_FIELDS.items():
        if getattr(new, field) != getattr(old, field):
            yield Difference(f"{path}.{field}", f"queue {new.name!r} {describe(new, old)}")


def _describe_service(new: model.Queue, old: model.Queue) -> str:
    return (
        f"goes to service {new.service!r} instead of {old.service!r}: tasks not started yet run "
        "there, also those of accepted jobs"
    )


def _describe_priority(new: model.Queue, old: model.Queue) -> str:
    moved = "earlier" if new.priority < old.priority else "later"
    text = f"has priority {new.priority} instead of {old.priority}: its jobs are placed {moved}"
    if model.PREEMPTING_PRIORITY in (new.priority, old.priority):
        gained = new.priority == model.PREEMPTING_PRIORITY
        text += " and may preempt others" if gained else " and may no longer preempt others"
    return text


def _describe_attempts(new: model.Queue, old: model.Queue) -> str:
    return (
        f"allows {new.max_attempts} attempts instead of {old.max_attempts}: a job fails after "
        f"{'more' if new.max_attempts > old.max_attempts else 'fewer'} failed runs of a task"
    )


def _describe_stretch(new: model.Queue, old: model.Queue) -> str:
    due = "later" if new.stretch > old.stretch else "earlier"
    return f"has stretch {new.stretch:g} instead of {old.stretch:g}: its jobs are due {due}"


def _describe_objective(new: model.Queue, old: model.Queue) -> str:
    due = "later" if new.objective_seconds > old.objective_seconds else "earlier"
    return (
        f"has an objective of {_format_seconds(new.objective_seconds)} instead of "
        f"{_format_seconds(old.objective_seconds)}: its jobs are due {due}"
    )


def _describe_timeout(new: model.Queue, old: model.Queue) -> str:
    change = "lengthened" if new.timeout_seconds > old.timeout_seconds else "shortened"
    return (
        f"has its timeout {change} from {_format_seconds(old.timeout_seconds)} to "
        f"{_format_seconds(new.timeout_seconds)}: not enforced, a request's own timeout counts"
    )


def _describe_tickets(new: model.Queue, old: model.Queue) -> str:
    if new.requires_tickets:
        return "needs tickets, which are not requested: its jobs are accepted and wait"
    return "needs no tickets any more: its waiting jobs start"


_QUEUE_FIELDS: dict[str, Callable[[model.Queue, model.Queue], str]] = {
    "service": _describe_service,
    "priority": _describe_priority,
    "max_attempts": _describe_attempts,
    "stretch": _describe_stretch,
    "objective_seconds": _describe_objective,
    "timeout_seconds": _describe_timeout,
    "requires_tickets": _describe_tickets,
}


def _compare_services(
    draft: configuration_checks.Draft, in_force: configuration_checks.Draft
) -> Iterator[Difference]:
    before = {service.name: service for service in in_force.configuration.services}
    names = {service.name for service in draft.configuration.services}
    for name in before:
        if name not in names:
            yield Difference(
                "$.services",
                f"service {name!r} is removed: jobs of its queues wait unless workers still "
                "register for it",
            )
    for index, service in enumerate(draft.configuration.services):
        path = f"$.services[{index}]"
        if service.name not in before:
            yield Difference(path, f"service {service.name!r} is added")
            continue
        if service.enforces_capacity != before[service.name].enforces_capacity:
            text = "reject" if service.enforces_capacity else "no longer reject"
            yield Difference(
                f"{path}.enforces_capacity",
                f"workers of service {service.name!r} {text} starts above their capacity: callers "
                "notice nothing, as no such start is ordered",
            )
        yield from _compare_standby(f"{path}.standby", service.name, draft, in_force)


def _compare_standby(
    path: str,
    name: ids.ServiceName,
    draft: configuration_checks.Draft,
    in_force: configuration_checks.Draft,
) -> Iterator[Difference]:
    if (name in draft.standby) != (name in in_force.standby):
        text = (
            "is on standby: its machines are never switched on, so its jobs may wait"
            if name in draft.standby
            else "is no longer on standby"
        )
        yield Difference(path, f"service {name!r} {text}")


def _compare_limits(
    draft: configuration_checks.Draft, in_force: configuration_checks.Draft
) -> Iterator[Difference]:
    limit, old_limit = draft.configuration.body_bytes, in_force.configuration.body_bytes
    if limit != old_limit:
        yield Difference(
            "$.limits.body_bytes",
            f"submissions above {limit} bytes get 413; so far those above {old_limit} bytes",
        )
    for field in ("header_bytes", "header_timeout_seconds", "idle_timeout_seconds"):
        new, old = getattr(draft, field), getattr(in_force, field)
        if new != old:
            is_duration = field.endswith("_seconds")
            new, old = map(_format_seconds, (new, old)) if is_duration else (new, old)
            yield Difference(
                f"$.limits.{field}",
                f"{new} instead of {old}: callers notice nothing, as the limit is fixed",
            )


def _compare_unread(
    draft: configuration_checks.Draft, in_force: configuration_checks.Draft
) -> Iterator[Difference]:
    sections = {
        "queues": draft.configuration.queues,
        "services": draft.configuration.services,
    }
    for section, items in sections.items():
        for index, item in enumerate(items):
            new, old = (some.unread.get((section, item.name), {}) for some in (draft, in_force))
            for field in new:
                if field in old and new[field] != old[field]:
                    yield Difference(
                        f"$.{section}[{index}].{field}",
                        f"{new[field]!r} instead of {old[field]!r}: callers notice nothing, as the "
                        "field is not read",
                    )


def _format_seconds(seconds: float) -> str:
    return f"{seconds * 1_000:g} ms"
