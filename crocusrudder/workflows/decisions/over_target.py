"""Name the cause of each measurement of a latency-critical image over its target.

Load pattern: any; it shows which decision to improve.
"""

import enum
import math
from typing import NamedTuple

from crocusrudder.workflows import model

LATE_SECONDS = 1.2
"""Time for which a latency may still follow an exposure that has been lowered."""
LOAD_RISE = 0.06
"""Rise of the load since a latency was last within target that counts as a swing."""


class Cause(enum.Enum):
    """Why a latency is over target; the values are names of log events."""

    OWN_LOAD = "over_target_by_own_load"
    LATE_REACTION = "over_target_by_late_reaction"
    TEST = "over_target_by_test"
    LAST_RESORT = "over_target_by_last_resort"
    LOAD_SWING = "over_target_by_load_swing"
    WRONG_ESTIMATE = "over_target_by_wrong_estimate"


class Situation(NamedTuple):
    """A latency-critical image on a worker at one measurement."""

    latency_ratio: float
    load: float
    predicted_ratio: float
    """Ratio of latency to target predicted at this load with the present CPU shares."""
    reflected_ratio: float
    """The same with the CPU shares that the latency still reflects."""
    is_exposed: bool
    is_test: bool
    """Whether an image of unknown interference works beside it."""
    is_last_resort: bool


class CauseFinder:
    """Find causes on one worker."""

    def __init__(self) -> None:
        self._exposed_at: dict[model.ServedImage, float] = {}
        self._loads: dict[model.ServedImage, float] = {}
        """Loads at the last measurement within target, by latency-critical image."""
        self._causes: dict[model.ServedImage, Cause] = {}
        """What put the images over target that are over it."""

    def find(self, image: model.ServedImage, situation: Situation, now: float) -> Cause | None:
        """Return what put an image over its target; None if it is not over it."""
        if situation.is_exposed:
            self._exposed_at[image] = now
        if situation.latency_ratio <= 1.0:
            self._loads[image] = situation.load
            self._causes.pop(image, None)
            return None
        if image not in self._causes:
            self._causes[image] = self._classify(image, situation, now)
        return self._causes[image]

    def _classify(self, image: model.ServedImage, situation: Situation, now: float) -> Cause:
        if not situation.is_exposed:
            exposed_at = self._exposed_at.get(image, -math.inf)
            return Cause.LATE_REACTION if now - exposed_at <= LATE_SECONDS else Cause.OWN_LOAD
        if situation.is_last_resort:
            return Cause.LAST_RESORT
        if situation.is_test:
            return Cause.TEST
        if situation.reflected_ratio >= 1.0 > situation.predicted_ratio:
            return Cause.LATE_REACTION
        if situation.load - self._loads.get(image, situation.load) >= LOAD_RISE:
            return Cause.LOAD_SWING
        if situation.predicted_ratio >= 1.0:
            return Cause.LATE_REACTION
        return Cause.WRONG_ESTIMATE
