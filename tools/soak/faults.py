"""Draw the faults of one run from a seed."""

import enum
import random
from collections.abc import Sequence
from typing import NamedTuple

from tools.soak import proxy

FIRST_AT_SECONDS = 1.0
GAP_SECONDS = (0.2, 2.5)
"""Least and greatest time between two faults; they last longer, so that they overlap."""
LASTS_SECONDS = (0.5, 5.0)


class Kind(enum.Enum):
    """What happens to a process, its link or the store."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    LINK = "link"
    STORE_DOWN = "store-down"


WEIGHTS = {Kind.KILL: 3, Kind.STOP: 3, Kind.PAUSE: 3, Kind.LINK: 5, Kind.STORE_DOWN: 1}
MODES = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]


class Fault(NamedTuple):
    """A fault; times are seconds since the start of the run."""

    at: float
    lasts: float
    kind: Kind
    target: str
    mode: proxy.Mode


def draw(seed: int, seconds: float, targets: Sequence[str]) -> list[Fault]:
    """Return the faults of a run, by time."""
    rng = random.Random(seed)
    faults = []
    at = FIRST_AT_SECONDS
    while at < seconds:
        kind = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        lasts = min(rng.uniform(*LASTS_SECONDS), seconds - at)
        faults.append(Fault(at, lasts, kind, rng.choice(targets), rng.choice(MODES)))
        at += rng.uniform(*GAP_SECONDS)
    return faults
