"""Divide the slack of latency-critical tasks among best-effort images.

Load pattern: harmless and interfering images on one worker while the load swings. An equal share
for all would throttle the harmless ones for what others do.
"""

import itertools
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from crocusrudder.workflows import model

MIN_CPU_SHARE = 25
"""CPU share in percent below which a run is paused; it would delay its job as much as a pause."""
MAX_RISE = 35
"""Largest rise of a CPU share at one measurement, in percent; the next measurement shows whether
the interference is as predicted."""
MIN_CHANGE = 10
"""Smaller changes of a CPU share, in percent, are left out unless they pause or unthrottle it."""
MIN_SLACK = 0.1
"""Inflation of the service time that is left to best-effort tasks unless a latency is over target
for long. An image within it is not throttled for the interference of others."""


class Target(NamedTuple):
    """Latency-critical tasks of one stage on a worker."""

    image: model.ServedImage
    slack: float
    """Inflation of the service time that is predicted to keep them within their target."""
    excess: float
    """Inflation beyond the prediction, which is put down to images that interfere."""


def divide(targets: Sequence[Target], costs: Mapping[str, Sequence[float]]) -> dict[str, int]:
    """Return CPU shares in percent with which all latencies are predicted to be within limits.

    ``costs`` has the inflation for each target by each image at full share. Images that interfere
    least come first; the one that exceeds the slack gets what is left.
    """
    left = [max(target.slack, MIN_SLACK) for target in targets]
    shares = {}
    is_reduced = False
    for image in sorted(costs, key=lambda name: (max(costs[name], default=0.0), name)):
        cost = costs[image]
        if not is_reduced and max(cost, default=0.0) > MIN_SLACK:
            is_reduced = True
            left = [max(s - t.excess, 0.0) for s, t in zip(left, targets, strict=True)]
        affordable = (s / c for s, c in zip(left, cost, strict=True) if c > 0)
        percent = int(100 * min(itertools.chain((1.0,), affordable)))
        shares[image] = percent if percent >= MIN_CPU_SHARE else 0
        used = shares[image] / 100
        left = [max(s - c * used, 0.0) for s, c in zip(left, cost, strict=True)]
    return shares


def limit_change(known: int, share: int) -> int:
    """Return the CPU share to set when ``share`` has been computed, in percent."""
    if share > known:
        share = min(share, known + MAX_RISE)
    is_small = abs(share - known) < MIN_CHANGE
    return known if is_small and share not in (0, 100) else share
