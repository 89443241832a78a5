"""Clocks, and bounds on the difference between the clocks of processes."""

import time

CLOCK_RATE_ERROR = 0.01
"""Largest relative difference between the rates of two monotonic clocks."""


def compute_remote_wait(seconds: float) -> float:
    """Return how long to wait locally until ``seconds`` have passed on any other clock."""
    return seconds * (1 + CLOCK_RATE_ERROR)


RUNTIME_GRACE_SECONDS = 10.0
"""Time after a run's lease deadline at which the worker runtime terminates the suspended run."""

REASSIGN_MARGIN_SECONDS = 2.0


def compute_task_lease_wait(lease_seconds: float) -> float:
    """Return how long after the last lease renewal an owner must wait to restart a task."""
    return compute_remote_wait(lease_seconds + RUNTIME_GRACE_SECONDS) + REASSIGN_MARGIN_SECONDS


def read_boot_time() -> float:
    """Return seconds on a clock that also advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
