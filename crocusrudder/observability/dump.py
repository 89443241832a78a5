"""Assemble the state dump of a process."""

from collections.abc import Mapping
from typing import Any
from typing import Protocol

import msgspec

from crocusrudder.core import ids

FORMAT_VERSION = 1


class Dumpable(Protocol):
    """A component that can dump its state."""

    def dump(self) -> dict[str, object]:
        """Return the state as JSON types."""
        ...


def assemble(
    process: ids.ProcessId,
    incarnation: ids.Incarnation,
    components: Mapping[str, Dumpable],
    counters: Mapping[str, int],
    now: float,
) -> dict[str, Any]:
    """Return the state of all components; a component that fails is replaced by its error.

    ``now`` and all times in the dump are on the process's own monotonic clock.
    """
    return {
        "format": FORMAT_VERSION,
        "process": process,
        "incarnation": incarnation,
        "now": now,
        "components": {name: _describe(component) for name, component in components.items()},
        "counters": dict(counters),
    }


def encode(dump: Mapping[str, Any]) -> bytes:
    """Return the dump as JSON text with sorted keys."""
    return msgspec.json.encode(dump, enc_hook=str, order="sorted")


def _describe(component: Dumpable) -> Any:
    try:
        return msgspec.to_builtins(component.dump(), str_keys=True, enc_hook=str)
    except Exception as error:  # noqa: BLE001
        # Dumps are needed most when a component is broken, so the others are still included.
        return {"error": repr(error)}
