"""State that an entry tracks for one cell: the rows it has read and its own lease."""

import enum

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids


class CellConfig(msgspec.Struct, frozen=True):
    """A cell as listed in the settings of the region."""

    cell: ids.CellId
    data_centre: ids.DataCentre


class CellState(enum.Enum):
    """State of this process with respect to a cell."""

    WATCHING = "watching"
    CLAIMING = "claiming"
    RESOLVING_CLAIM = "resolving-claim"
    OWNED = "owned"


class Purpose(enum.Enum):
    """Purpose of an operation on the rows of a cell."""

    CHECK = "check"
    CLAIM = "claim"
    RECLAIM = "reclaim"
    RENEW = "renew"
    RESOLVE = "resolve"


class TrackedCell:
    """The lease row last read for a cell, and this process's own claim to it."""

    def __init__(self, config: CellConfig) -> None:
        self.config = config
        self.state = CellState.WATCHING
        self.lease: effects.Row | None = None
        self.is_lease_read = False
        self.changed_at = 0.0
        """When the lease row was last read with a new version."""
        self.checked_at = float("-inf")
        self.epoch = ids.CellEpoch(0)
        """Epoch under which this process holds the cell."""
        self.claimed_epoch = ids.CellEpoch(0)
        """Epoch of the latest claim, which may not be confirmed."""
        self.epoch_version = 0
        self.is_held = False
        self.was_owned = False
        """Whether a lease of this process under ``epoch`` has been confirmed."""
        self.counter = 0
        self.valid_until = float("-inf")
        self.sent_at = float("-inf")
        """When the latest claim or renewal was sent."""
        self.is_busy = False
        """Whether an operation on the rows of the cell is pending."""
        self.is_releasing = False
        """A release was sent or is due. It may take effect at any time, so ownership has ended."""
        self.is_release_sent = False
        self.logged_epoch = ids.CellEpoch(0)
        """Epoch of the latest ``cell_owned`` log event."""

    @property
    def lease_version(self) -> int:
        """Return the version of the lease row; 0 if it does not exist."""
        return self.lease.version if self.lease else 0

    @property
    def lease_key(self) -> str:
        """Return the key of the row that the owner renews."""
        return f"cell/{self.config.cell}/lease"

    @property
    def epoch_key(self) -> str:
        """Return the key of the row that a claim writes and that an owner's commits check."""
        return f"cell/{self.config.cell}/epoch"

    def observe_lease(self, row: effects.Row | None, now: float) -> None:
        """Record the lease row as read; ``changed_at`` moves only if its version differs."""
        version = row.version if row else 0
        if self.is_lease_read and version == self.lease_version:
            return
        self.lease = row
        self.is_lease_read = True
        self.changed_at = now

    def apply_claim(self, epoch_version: int) -> None:
        """Hold the cell under the claimed epoch; ``epoch_version`` is the version of its row."""
        if self.epoch != self.claimed_epoch:
            self.was_owned = False
            self.valid_until = float("-inf")
        self.epoch = self.claimed_epoch
        self.epoch_version = epoch_version
        self.is_held = True

    def stop_holding(self) -> None:
        """Reset the own claim and return to watching."""
        self.state = CellState.WATCHING
        self.is_held = False
        self.valid_until = float("-inf")
        self.is_releasing = False
        self.is_release_sent = False
