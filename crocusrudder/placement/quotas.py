"""Shares of a team's quota per cell.

The row ``quota/<team>`` holds the quota and one share per cell. An owner changes it only by a
commit conditional on the row's version, so that each change is checked against all shares. A cell
may use its committed share and no more.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

from crocusrudder.core import ids
from crocusrudder.placement import errors
from crocusrudder.wire import messages

RESOURCES = messages.Resources.__struct_fields__
BORROW_FACTOR = 2
"""Multiple of the missing amount that a cell borrows, so that it writes the row less often."""
RELEASE_THRESHOLD = 0.5
"""A cell releases idle share once less than this part of its share is in use."""
IDLE_SHARE = 0.1
"""Part of its share that a cell retains unused when it releases the rest."""

_NOTHING = messages.Resources()


def add(left: messages.Resources, right: messages.Resources) -> messages.Resources:
    return messages.Resources(*(getattr(left, n) + getattr(right, n) for n in RESOURCES))


def subtract(left: messages.Resources, right: messages.Resources) -> messages.Resources:
    """Return the difference of two amounts; components may be negative."""
    return messages.Resources(*(getattr(left, n) - getattr(right, n) for n in RESOURCES))


def fits(size: messages.Resources, available: messages.Resources) -> bool:
    """Return whether no component of ``size`` exceeds that of ``available``."""
    return all(getattr(size, name) <= getattr(available, name) for name in RESOURCES)


class QuotaShares(msgspec.Struct, frozen=True):
    """Value of a quota row: the quota and the share of each cell.

    Raises ``QuotaError`` if a share is negative or the sum of the shares exceeds the quota.
    """

    quota: messages.Resources
    shares: Mapping[ids.CellId, messages.Resources] = {}

    def __post_init__(self) -> None:
        if not all(fits(_NOTHING, share) for share in self.shares.values()):
            raise errors.QuotaError(
                f"a quota share is negative: {dict(self.shares)}", "restore the row from a dump"
            )
        if not fits(self._sum_shares(), self.quota):
            raise errors.QuotaError(
                f"the sum of the quota shares {self._sum_shares()} exceeds the quota {self.quota}",
                "restore the row from a dump",
            )

    @classmethod
    def from_row(cls, value: Mapping[str, Any]) -> "QuotaShares":
        """Decode a row's value; raises ``QuotaError`` if it is malformed."""
        try:
            return msgspec.convert(value, cls)
        except msgspec.ValidationError as error:
            raise errors.QuotaError(f"malformed quota row: {error}") from error

    def to_row(self) -> dict[str, Any]:
        """Return the value of the row to store."""
        return msgspec.to_builtins(self)

    @property
    def unshared(self) -> messages.Resources:
        """Return the part of the quota that is in no cell's share."""
        return subtract(self.quota, self._sum_shares())

    def get_share(self, cell: ids.CellId) -> messages.Resources:
        return self.shares.get(cell, _NOTHING)

    def borrow(
        self, cell: ids.CellId, used: messages.Resources, size: messages.Resources
    ) -> "QuotaShares | None":
        """Return shares under which the cell may use ``size`` more, or None if too little is left.

        The cell's share grows by at least the missing amount and by at most ``BORROW_FACTOR``
        times that.
        """
        share = self.get_share(cell)
        needed = add(used, size)
        missing = [max(getattr(needed, n) - getattr(share, n), 0) for n in RESOURCES]
        available = [getattr(self.unshared, n) for n in RESOURCES]
        if any(amount > left for amount, left in zip(missing, available, strict=True)):
            return None
        pairs = zip(missing, available, strict=True)
        borrowed = [min(amount * BORROW_FACTOR, left) for amount, left in pairs]
        return self._with_share(cell, add(share, messages.Resources(*borrowed)))

    def release_idle(self, cell: ids.CellId, used: messages.Resources) -> "QuotaShares | None":
        """Return shares without most of the cell's idle part, or None if it has nothing to release.

        A resource stays as it is if at least ``RELEASE_THRESHOLD`` of the share is in use.
        """
        share = self.get_share(cell)
        retained = messages.Resources(
            *(
                self._compute_retained(getattr(share, name), getattr(used, name))
                for name in RESOURCES
            )
        )
        return None if retained == share else self._with_share(cell, retained)

    def with_quota(self, quota: messages.Resources) -> "QuotaShares":
        """Return the shares under a changed quota; shares that exceed it are scaled down to fit.

        A cell that then uses more than its share starts nothing until its use is within it again.
        """
        total = self._sum_shares()

        def scale(share: messages.Resources) -> messages.Resources:
            parts = []
            for name in RESOURCES:
                allotted, limit = getattr(total, name), getattr(quota, name)
                amount = getattr(share, name)
                parts.append(amount * limit // allotted if allotted > limit else amount)
            return messages.Resources(*parts)

        return QuotaShares(quota, {cell: scale(share) for cell, share in self.shares.items()})

    def _sum_shares(self) -> messages.Resources:
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
    def _compute_retained(share: int, used: int) -> int:
        if used >= share * RELEASE_THRESHOLD:
            return share
        return min(share, used + int(share * IDLE_SHARE))


class CellQuota:
    """Use of one team's quota share by the tasks of one cell."""

    def __init__(self, cell: ids.CellId, shares: QuotaShares) -> None:
        self._cell = cell
        self._shares = shares
        self._used: dict[ids.TaskId, messages.Resources] = {}
        self._releasing: messages.Resources | None = None

    @property
    def used(self) -> messages.Resources:
        """Return the sum of the sizes of the counted tasks."""
        total = _NOTHING
        for size in self._used.values():
            total = add(total, size)
        return total

    @property
    def shares(self) -> QuotaShares:
        """Return the shares last committed or read."""
        return self._shares

    def adopt(self, shares: QuotaShares) -> None:
        """Replace the shares after a commit or a read.

        To be called only once the outcome of the last proposed change is known.
        """
        self._shares = shares
        self._releasing = None

    def may_start(self, size: messages.Resources) -> bool:
        """Return whether the cell's share covers one more task of this size.

        A part of the share that is being released does not count.
        """
        needed = add(self.used, size)
        if self._releasing is not None and not fits(needed, self._releasing):
            return False
        return fits(needed, self._shares.get_share(self._cell))

    def start(self, task: ids.TaskId, size: messages.Resources) -> None:
        """Count a task; raises ``QuotaError`` if the share does not cover it.

        No effect if the task is counted already.
        """
        if task in self._used:
            return
        if not self.may_start(size):
            raise errors.QuotaError(
                f"the quota share of cell {self._cell} does not cover task {task} of {size}",
                "borrow quota before the start",
            )
        self._used[task] = size

    def adopt_run(self, task: ids.TaskId, size: messages.Resources) -> None:
        """Count a run started under an earlier owner, even if it exceeds the share."""
        self._used[task] = size

    def end(self, task: ids.TaskId) -> None:
        """Stop counting a task; no effect if it is not counted."""
        self._used.pop(task, None)

    def propose_borrow(self, size: messages.Resources) -> QuotaShares | None:
        """Return the shares to commit so that the size fits, or None if too little is left."""
        return self._shares.borrow(self._cell, self.used, size)

    def propose_release(self) -> QuotaShares | None:
        """Return the shares to commit to release idle share, or None if there is none to release.

        The part to release is not available for starts from then on, until ``adopt``.
        """
        proposed = self._shares.release_idle(self._cell, self.used)
        if proposed is not None:
            self._releasing = proposed.get_share(self._cell)
        return proposed
