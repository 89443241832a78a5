"""Shares of a team's quota per cell.

The row ``quota/<team>`` holds the quota and one share per cell. An owner changes it only by a
commit that expects the row's version, so that all shares are always judged together; a cell may
use what its committed share allows and nothing else.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

from crocusrudder.core import ids
from crocusrudder.placement import errors
from crocusrudder.wire import messages

RESOURCES = messages.Resources.__struct_fields__
BORROW_FACTOR = 2
"""A cell borrows this multiple of what it lacks, so that it writes the row less often."""
RETURN_SHARE = 0.5
"""A cell returns free share once less than this part of its share is in use."""
IDLE_SHARE = 0.1
"""Part of its share that a cell keeps when it returns the rest of what is free."""

_NOTHING = messages.Resources()


def add(left: messages.Resources, right: messages.Resources) -> messages.Resources:
    """Return the sum of two amounts."""
    return messages.Resources(*(getattr(left, n) + getattr(right, n) for n in RESOURCES))


def subtract(left: messages.Resources, right: messages.Resources) -> messages.Resources:
    """Return the difference of two amounts; parts may be negative."""
    return messages.Resources(*(getattr(left, n) - getattr(right, n) for n in RESOURCES))


def fits(size: messages.Resources, room: messages.Resources) -> bool:
    """Return whether no part of ``size`` exceeds ``room``."""
    return all(getattr(size, name) <= getattr(room, name) for name in RESOURCES)


class QuotaShares(msgspec.Struct, frozen=True):
    """Value of a quota row: the quota and the share of each cell.

    Raises ``QuotaError`` if a share is negative or the shares exceed the quota.
    """

    quota: messages.Resources
    shares: Mapping[ids.CellId, messages.Resources] = {}

    def __post_init__(self) -> None:
        """Check the sum of the shares."""
        if not all(fits(_NOTHING, share) for share in self.shares.values()):
            raise errors.QuotaError("a quota share is negative", "restore the row from a dump")
        if not fits(self._total(), self.quota):
            raise errors.QuotaError("the shares exceed the quota", "restore the row from a dump")

    @classmethod
    def from_row(cls, value: Mapping[str, Any]) -> "QuotaShares":
        """Return the shares in a row's value; raises ``QuotaError`` if it is malformed."""
        try:
            return msgspec.convert(value, cls)
        except msgspec.ValidationError as error:
            raise errors.QuotaError(f"malformed quota row: {error}") from error

    def to_row(self) -> dict[str, Any]:
        """Return the value to store."""
        return msgspec.to_builtins(self)

    @property
    def unshared(self) -> messages.Resources:
        """Return the part of the quota that no cell holds."""
        return subtract(self.quota, self._total())

    def get_share(self, cell: ids.CellId) -> messages.Resources:
        """Return the share of a cell."""
        return self.shares.get(cell, _NOTHING)

    def borrow(
        self, cell: ids.CellId, used: messages.Resources, size: messages.Resources
    ) -> "QuotaShares | None":
        """Return shares under which the cell may use ``size`` more, or None if none is left.

        The cell takes up to ``BORROW_FACTOR`` times what it lacks, and at least what it lacks.
        """
        share = self.get_share(cell)
        needed = add(used, size)
        lacking = [max(getattr(needed, n) - getattr(share, n), 0) for n in RESOURCES]
        room = [getattr(self.unshared, n) for n in RESOURCES]
        if any(lack > left for lack, left in zip(lacking, room, strict=True)):
            return None
        pairs = zip(lacking, room, strict=True)
        taken = [min(lack * BORROW_FACTOR, left) for lack, left in pairs]
        return self._with_share(cell, add(share, messages.Resources(*taken)))

    def give_back(self, cell: ids.CellId, used: messages.Resources) -> "QuotaShares | None":
        """Return shares without the cell's idle part, or None if it uses enough of it."""
        share = self.get_share(cell)
        kept = messages.Resources(
            *(self._keep(getattr(share, name), getattr(used, name)) for name in RESOURCES)
        )
        return None if kept == share else self._with_share(cell, kept)

    def with_quota(self, quota: messages.Resources) -> "QuotaShares":
        """Return the shares under a changed quota; where it shrank, every share shrinks.

        A cell that then uses more than its share starts nothing until it is below it again.
        """
        total = self._total()

        def scale(share: messages.Resources) -> messages.Resources:
            parts = []
            for name in RESOURCES:
                whole, limit = getattr(total, name), getattr(quota, name)
                held = getattr(share, name)
                parts.append(held * limit // whole if whole > limit else held)
            return messages.Resources(*parts)

        return QuotaShares(quota, {cell: scale(share) for cell, share in self.shares.items()})

    def _total(self) -> messages.Resources:
        total = _NOTHING
        for share in self.shares.values():
            total = add(total, share)
        return total

    def _with_share(self, cell: ids.CellId, share: messages.Resources) -> "QuotaShares":
        shares = {key: value for key, value in self.shares.items() if key != cell}
        if share != _NOTHING:
            shares[cell] = share
        return QuotaShares(self.quota, shares)

    @staticmethod
    def _keep(share: int, used: int) -> int:
        if used >= share * RETURN_SHARE:
            return share
        return min(share, used + int(share * IDLE_SHARE))


class CellQuota:
    """What one cell uses of its share for one team."""

    def __init__(self, cell: ids.CellId, shares: QuotaShares) -> None:
        self._cell = cell
        self._shares = shares
        self._used: dict[ids.TaskId, messages.Resources] = {}
        self._returning: messages.Resources | None = None

    @property
    def used(self) -> messages.Resources:
        """Return the sum of the sizes in use."""
        total = _NOTHING
        for size in self._used.values():
            total = add(total, size)
        return total

    @property
    def shares(self) -> QuotaShares:
        """Return the shares as last committed or read."""
        return self._shares

    def adopt(self, shares: QuotaShares) -> None:
        """Take over the shares after a commit or a read.

        Call it only when the outcome of the last proposed change is known.
        """
        self._shares = shares
        self._returning = None

    def may_start(self, size: messages.Resources) -> bool:
        """Return whether the cell's share covers one more task of this size."""
        needed = add(self.used, size)
        if self._returning is not None and not fits(needed, self._returning):
            return False
        return fits(needed, self._shares.get_share(self._cell))

    def start(self, task: ids.TaskId, size: messages.Resources) -> None:
        """Count a task; raises ``QuotaError`` if the share does not cover it."""
        if task in self._used:
            return
        if not self.may_start(size):
            raise errors.QuotaError("the cell's share does not cover the task", "borrow first")
        self._used[task] = size

    def adopt_run(self, task: ids.TaskId, size: messages.Resources) -> None:
        """Count a run that was already there at a takeover, even beyond the share."""
        self._used[task] = size

    def end(self, task: ids.TaskId) -> None:
        """Stop counting a task; no error if it is not counted."""
        self._used.pop(task, None)

    def propose_borrow(self, size: messages.Resources) -> QuotaShares | None:
        """Return the shares to commit so that the size fits; None if the quota is exhausted."""
        return self._shares.borrow(self._cell, self.used, size)

    def propose_return(self) -> QuotaShares | None:
        """Return the shares to commit to give idle share back; None if there is nothing to.

        From then on nothing starts in the part to return, until ``adopt``.
        """
        proposed = self._shares.give_back(self._cell, self.used)
        if proposed is not None:
            self._returning = proposed.get_share(self._cell)
        return proposed
