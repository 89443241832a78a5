"""What an entry knows of one cell: the rows it has seen and its own hold on the cell."""

import enum

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids


class CellConfig(msgspec.Struct, frozen=True):
    """A cell as the settings of the region list it."""

    cell: ids.CellId
    data_centre: ids.DataCentre


class CellState(enum.Enum):
    """What this process knows and does about a cell."""

    WATCHING = "watching"
    CLAIMING = "claiming"
    RESOLVING_CLAIM = "resolving-claim"
    OWNED = "owned"


class Purpose(enum.Enum):
    """Why an operation on the rows of a cell was started."""

    CHECK = "check"
    CLAIM = "claim"
    RECLAIM = "reclaim"
    RENEW = "renew"
    RESOLVE = "resolve"


class TrackedCell:
    """Observed rows and own lease of one cell."""

    def __init__(self, config: CellConfig) -> None:
        self.config = config
        self.state = CellState.WATCHING
        self.lease: effects.Row | None = None
        self.seen = False
        self.changed_at = 0.0
        self.checked_at = float("-inf")
        self.epoch = ids.CellEpoch(0)
        """Epoch under which this process holds the cell."""
        self.claimed_epoch = ids.CellEpoch(0)
        """Epoch of the latest claim, which may not be confirmed."""
        self.epoch_version = 0
        self.holding = False
        self.was_valid = False
        """Whether this process has owned the cell under ``epoch``."""
        self.counter = 0
        self.valid_until = float("-inf")
        self.sent_at = float("-inf")
        self.busy = False
        self.releasing = False
        """A release was sent or is due. It may take effect at any time, so ownership has ended."""
        self.release_sent = False
        self.announced_epoch = ids.CellEpoch(0)

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
        """Return the key of the row that a claim writes and commits of an owner check."""
        return f"cell/{self.config.cell}/epoch"

    def observe_lease(self, row: effects.Row | None, now: float) -> None:
        """Take the lease row as read; an unchanged one keeps the time of its last change."""
        version = row.version if row else 0
        if self.seen and version == self.lease_version:
            return
        self.lease = row
        self.seen = True
        self.changed_at = now

    def take_epoch(self, epoch_version: int) -> None:
        """Hold the cell under the claimed epoch, whose row has this version."""
        if self.epoch != self.claimed_epoch:
            self.was_valid = False
            self.valid_until = float("-inf")
        self.epoch = self.claimed_epoch
        self.epoch_version = epoch_version
        self.holding = True

    def drop(self) -> None:
        """Stop holding the cell and watch it."""
        self.state = CellState.WATCHING
        self.holding = False
        self.valid_until = float("-inf")
        self.releasing = False
        self.release_sent = False
