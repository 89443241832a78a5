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
        self.excess: dict[model.ServedImage, float] = {}
        """Smoothed inflation beyond the prediction, by latency-critical image."""
        self.paused_since: dict[model.RunKey, float] = {}
        self.last_resort: set[str] = set()
        """Images that were placed although they were expected to interfere."""
        self.causes = over_target.CauseFinder()


def compute_units(view: fleet.AgentView, millicores: int, tasks: int = 1) -> float:
    """Return the exposure to best-effort tasks at full share, in tenths of the processors.

    What they request is not limited by the worker, but no task can use more than all processors.
    """
    capacity = max(view.worker.capacity.millicores if view.worker else 0, 1)
    return min(millicores, tasks * capacity) / capacity / EXPOSURE_SHARE


def compute_image_units(view: fleet.AgentView, image: str) -> float:
    """Return the exposure to the best-effort runs of an image on the worker at full share."""
    usage = view.usage
    return compute_units(view, usage.best_effort_by_image[image], usage.best_effort_counts[image])


def list_targets(
    view: fleet.AgentView,
) -> list[tuple[job_registry.StageRecord, model.ServedImage]]:
    """Return each latency-critical stage on the worker with its image."""
    return [(stage, stage.spec.served_image) for stage in view.usage.latency_critical_stages]


def measure_latency_ratios(view: fleet.AgentView) -> dict[model.ServedImage, float]:
    """Return the highest ratio of latency to target, by latency-critical image."""
    latency_ratios: dict[model.ServedImage, float] = {}
    for task in view.usage.latency_critical:
        served = task.stage.spec.served_image
        latency_ratio = view.measurements.get(task.name, 0.0) / served.target_ms
        latency_ratios[served] = max(latency_ratios.get(served, 0.0), latency_ratio)
    return latency_ratios
