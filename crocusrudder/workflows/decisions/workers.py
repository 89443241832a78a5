"""State of a worker on which best-effort and latency-critical tasks may run side by side."""

import math

from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import over_target

EXPOSURE_SHARE = 0.1
"""Share of the worker's processors that is one unit of exposure."""


class Worker:
    """What the controller knows of one worker."""

    def __init__(self) -> None:
        self.cpu_shares: dict[str, int] = {}
        """CPU shares in percent by best-effort image, including those at 100."""
        self.lowered_at = -math.inf
        self.observed_at = -math.inf
        self.over_target_since: float | None = None
        self.excess: dict[str, float] = {}
        """Smoothed inflation beyond the prediction, by latency-critical image."""
        self.paused_since: dict[model.RunKey, float] = {}
        self.last_resort: set[str] = set()
        """Images that were placed although they were expected to interfere."""
        self.causes = over_target.CauseFinder()


def compute_units(view: fleet.AgentView, millicores: int) -> float:
    """Return the exposure to best-effort tasks at full share, in tenths of the processors."""
    capacity = view.worker.capacity.millicores if view.worker else 0
    return millicores / max(capacity, 1) / EXPOSURE_SHARE


def list_targets(
    view: fleet.AgentView,
) -> list[tuple[job_registry.StageRecord, str, float]]:
    """Return each latency-critical stage on the worker with its image and target in ms."""
    stages = view.usage.latency_critical_stages
    return [(stage, stage.spec.image, stage.spec.latency_target_ms) for stage in stages]


def measure_latency_ratios(view: fleet.AgentView) -> dict[str, float]:
    """Return the highest ratio of latency to target, by latency-critical image."""
    latency_ratios: dict[str, float] = {}
    for task in view.usage.latency_critical:
        spec = task.stage.spec
        latency_ratio = view.measurements.get(task.name, 0.0) / spec.latency_target_ms
        latency_ratios[spec.image] = max(latency_ratios.get(spec.image, 0.0), latency_ratio)
    return latency_ratios
