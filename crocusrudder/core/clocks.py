"""Bounds on the clocks of different processes."""

CLOCK_RATE_ERROR = 0.01
"""Largest relative difference between the rates of two monotonic clocks."""


def wait_for_remote(seconds: float) -> float:
    """Return how long to wait locally so that ``seconds`` have passed on any other clock."""
    return seconds * (1 + CLOCK_RATE_ERROR)
