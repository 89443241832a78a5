"""Reservations of the resources of a worker."""

from collections.abc import Hashable

from crocusrudder.wire import messages


def add(left: messages.Resources, right: messages.Resources) -> messages.Resources:
    return messages.Resources(
        left.millicores + right.millicores,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
    )


def subtract(left: messages.Resources, right: messages.Resources) -> messages.Resources:
    """Return the difference of two amounts; its components may be negative."""
    return messages.Resources(
        left.millicores - right.millicores,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
    )


def fits(size: messages.Resources, free: messages.Resources) -> bool:
    """Return whether every component of ``size`` is at most that of ``free``."""
    return (
        size.millicores <= free.millicores
        and size.memory_mb <= free.memory_mb
        and size.accelerators <= free.accelerators
    )


class CapacityReservations:
    """Track the resources reserved on a worker by each holder.

    Holders are runs of tasks as well as endpoints, which share the capacity.
    """

    def __init__(self, capacity: messages.Resources) -> None:
        self._capacity = capacity
        self._reserved = messages.Resources()
        self._holders: dict[Hashable, messages.Resources] = {}

    @property
    def capacity(self) -> messages.Resources:
        """Return the total capacity of the worker."""
        return self._capacity

    @property
    def reserved(self) -> messages.Resources:
        return self._reserved

    def try_reserve(self, holder: Hashable, size: messages.Resources) -> bool:
        """Reserve ``size`` if it fits; an existing reservation of the holder stays unchanged."""
        if holder in self._holders:
            return True
        if not fits(size, subtract(self._capacity, self._reserved)):
            return False
        self.adopt(holder, size)
        return True

    def adopt(self, holder: Hashable, size: messages.Resources) -> None:
        """Record a holder that already runs on the worker, whether or not it fits."""
        if holder not in self._holders:
            self._holders[holder] = size
            self._reserved = add(self._reserved, size)

    def release(self, holder: Hashable) -> None:
        """Release a holder's reservation; no error if it has none."""
        size = self._holders.pop(holder, None)
        if size is not None:
            self._reserved = subtract(self._reserved, size)
