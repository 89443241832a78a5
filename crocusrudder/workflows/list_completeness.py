"""Completeness of the latest lists of a worker's runs.

A list of which a part could not be read, or that names only the first of many ends, shows which
runs are present or have ended, but not which are absent.
"""

from crocusrudder.workflows import leases


class ListCompleteness:
    """For how long lists may not have named all runs. Times are those of the caller's clock."""

    def __init__(self) -> None:
        self._incomplete_since: float | None = None

    @property
    def is_incomplete(self) -> bool:
        """Return whether the last list may not name all runs."""
        return self._incomplete_since is not None

    def record(self, is_complete: bool, now: float, awaits_ends: bool = False) -> None:
        """Record the arrival of a list.

        With ``awaits_ends``, the worker lists the rest as soon as the ends in this list have been
        stored and acknowledged, which may take long, so the time limit begins anew.
        """
        if is_complete:
            self._incomplete_since = None
        elif self._incomplete_since is None or awaits_ends:
            self._incomplete_since = now

    def may_miss_runs(self, now: float) -> bool:
        """Return whether a run that is not named has to be taken for present.

        This ends if lists stay incomplete, as otherwise one entry that can never be read would keep
        tasks assigned to the worker that have ended there.
        """
        since = self._incomplete_since
        return since is not None and now - since < leases.INCOMPLETE_LIST_SECONDS
