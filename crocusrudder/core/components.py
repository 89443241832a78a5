"""Interface of core components, and generation of operation ids."""

import itertools
from typing import Protocol

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids

TICK_SECONDS = 0.1
"""Interval at which a process calls ``tick`` of its core."""


class Component(Protocol):
    """A state machine that performs no input or output itself.

    ``now`` is in seconds on the process's own monotonic clock.
    """

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to execute, in order."""
        ...

    def tick(self, now: float) -> list[effects.Effect]:
        """Process deadlines; called every ``TICK_SECONDS``."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the state as JSON types for the state dump."""
        ...


class OperationIds:
    """Generate the operation ids of one component within one process.

    The prefix names the component. The process routes each reply to the component by this prefix.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._numbers = itertools.count(1)

    @property
    def prefix(self) -> str:
        """Return the name of the component."""
        return self._prefix

    def next(self) -> ids.OperationId:
        """Return a new operation id of the form ``prefix:number``."""
        return ids.OperationId(f"{self._prefix}:{next(self._numbers)}")


def get_prefix(operation: ids.OperationId) -> str:
    """Return the component prefix of an operation id."""
    return operation.partition(":")[0]
