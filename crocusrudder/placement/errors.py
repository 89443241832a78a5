"""Errors of the placement package."""

from crocusrudder.core import errors


class PlacementError(errors.CrocusrudderError):
    """Base of the errors of the placement package."""

    code = "CR-PLC-000"


class QuotaError(PlacementError):
    """Report quota shares that are negative or malformed, or whose sum exceeds the quota.

    Also raised for a task that the cell's share does not cover.
    """

    code = "CR-PLC-001"


class SettingsError(PlacementError):
    """Report policy settings that contradict each other."""

    code = "CR-PLC-002"
