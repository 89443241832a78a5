"""Random faults of one run, drawn from a seed."""

import enum
import random
import types
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from tools.soak import proxy

FIRST_AT_SECONDS = 1.0
INTERVAL_SECONDS = (0.2, 2.5)
"""Bounds of the time between two faults; many faults last longer, so that they overlap."""
DURATION_SECONDS = (0.5, 5.0)
ROLL_INTERVAL_SECONDS = 0.8
"""Time from the stop of a process to that of the next while all of a role are restarted."""
CALM_INTERVAL_SECONDS = 20.0
CALM_SECONDS = 8.0
"""Time at the end of each interval in which nothing disturbs a deployment: enough for machines to
be in touch again, and for the bound of a cancellation."""


class Kind(enum.Enum):
    """Kind of a fault, of an evacuation, or of an odd heartbeat, list entry or row."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    LINK = "link"
    STORE_DOWN = "store-down"
    WORKER_CRASH = "worker-crash"
    SHRINK = "shrink"
    SLOW = "slow"
    EVACUATE = "evacuate"
    REBIRTH = "rebirth"
    DARK = "dark"
    RECUT = "recut"
    LATE_WRITES = "late-writes"
    HANGUP = "hangup"
    ROLL = "roll"
    ODD_HEARTBEAT = "odd-heartbeat"
    ODD_DEREGISTRATION = "odd-deregistration"
    ODD_ENTRY = "odd-entry"
    ODD_PERCENTS = "odd-percents"
    ODD_ROW = "odd-row"


KIND_WEIGHTS = {Kind.KILL: 3, Kind.STOP: 3, Kind.PAUSE: 3, Kind.LINK: 5, Kind.STORE_DOWN: 1}
WORKER_KIND_WEIGHTS = {Kind.WORKER_CRASH: 1, Kind.SHRINK: 1}
FLEET_KIND_WEIGHTS = {Kind.SLOW: 2, Kind.EVACUATE: 1}
LATE_KIND_WEIGHTS = {Kind.DARK: 2, Kind.LATE_WRITES: 1}
SIGNAL_KIND_WEIGHTS = {Kind.HANGUP: 2, Kind.STOP: 1, Kind.ROLL: 1}
ODD_KIND_WEIGHTS = {
    Kind.ODD_HEARTBEAT: 4,
    Kind.ODD_DEREGISTRATION: 1,
    Kind.ODD_ENTRY: 3,
    Kind.ODD_PERCENTS: 1,
    Kind.ODD_ROW: 3,
    Kind.REBIRTH: 1,
}
CALM_KINDS = frozenset({*ODD_KIND_WEIGHTS, Kind.EVACUATE}) - {Kind.REBIRTH}
"""Kinds that do not disturb a deployment: it has to keep all bounds of time beside them."""
DARK_SHARE = 0.2
"""Share of its duration for which the fault leaves a worker dark: 0.1 to 1 s, less than the timeout
after which its agent notices a restart."""
RECUT_DARK_SECONDS = 0.5
RECUT_DELAY_SECONDS = (0.3, 2.0)
"""Bounds of the time from the restart of a worker to the suspension of its agent."""
RECUT_PAUSE_SECONDS = 9.0
"""Length of the suspension, after which the owner has given up the agent's worker."""
LINK_MODES = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]


class Fault(NamedTuple):
    """A fault; ``starts_at`` is in seconds since the start of the run."""

    starts_at: float
    duration_seconds: float
    kind: Kind
    target: str
    mode: proxy.Mode


def draw_faults(
    seed: int | str,
    seconds: float,
    targets: Sequence[str],
    weights: Mapping[Kind, int] = types.MappingProxyType(KIND_WEIGHTS),
) -> list[Fault]:
    """Return the faults of a run, ordered by time."""
    generator = random.Random(seed)
    faults = []
    starts_at = FIRST_AT_SECONDS
    while starts_at < seconds:
        kind = generator.choices(list(weights), list(weights.values()))[0]
        duration_seconds = min(generator.uniform(*DURATION_SECONDS), seconds - starts_at)
        faults.append(
            Fault(
                starts_at,
                duration_seconds,
                kind,
                generator.choice(targets),
                generator.choice(LINK_MODES),
            )
        )
        starts_at += generator.uniform(*INTERVAL_SECONDS)
    return faults


def draw_recuts(seed: int, agents: Sequence[str]) -> list[Fault]:
    """Return restarts of workers under their ids, after which their agents are suspended."""
    generator = random.Random(f"recut {seed}")
    targets = [agent for agent in agents if generator.random() < 1 / len(agents)]
    duration_seconds = RECUT_DARK_SECONDS + RECUT_DELAY_SECONDS[1] + RECUT_PAUSE_SECONDS
    mode = proxy.Mode.PASS
    return [Fault(0.0, duration_seconds, Kind.RECUT, target, mode) for target in targets]


def list_stops(fault: Fault, targets: Sequence[str]) -> list[Fault]:
    """Return the stops of all processes of a role, one after the other, for a ``ROLL`` fault."""
    role = fault.target.partition("-")[0]
    return [
        fault._replace(
            starts_at=fault.starts_at + number * ROLL_INTERVAL_SECONDS,
            kind=Kind.STOP,
            target=target,
        )
        for number, target in enumerate(name for name in targets if name.startswith(role))
    ]


def is_in_calm(fault: Fault) -> bool:
    """Return whether a fault would disturb a time that is kept calm."""
    calm_at = CALM_INTERVAL_SECONDS - CALM_SECONDS
    begins_at = fault.starts_at % CALM_INTERVAL_SECONDS
    return fault.kind not in CALM_KINDS and begins_at + fault.duration_seconds > calm_at
