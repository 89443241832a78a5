"""Claim, renewal and takeover of the ownership of all workers, through one row of the store.

Each commit of the owner rewrites the row on condition that its version is unchanged, so at most one
commit of any epoch can follow it. An owner acts only for ``OWNER_LEASE_SECONDS`` from the start of
its last successful commit; a challenger claims the row once it has stayed unchanged for longer
(Gray and Cheriton, "Leases", SOSP 1989). Times are seconds on a clock that counts suspension.
"""

import types
from collections.abc import Iterable
from collections.abc import Mapping

from crocusrudder.core import ids
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import rows

SUFFICIENT_CORES_SHARE = 0.9
"""Share of the cores of the largest entry from which an entry claims without a delay."""
SMALL_ENTRY_DELAY_SECONDS = 0.35
"""Delay of a claim by a smaller entry; entries read the owner's row every 0.25 s."""
FIRST_CLAIM_DELAY_SECONDS = 1.3
"""Delay of a claim while no owner's row exists and the other entries' cores are unknown. All
entries start within 0.3 s, and each reads the cores of the others 0.8 s after its start."""
SUCCESSOR_CORES_FACTOR = 2.0
"""Cores of another entry, relative to the owner's, from which the owner hands over to it."""
SUCCESSOR_AFTER_SECONDS = 10.0
"""Minimum duration of an ownership epoch before such a hand-over, which delays starts by 0.5 s."""


def compute_claim_delay(cores: float, known_cores: Iterable[float], is_first: bool) -> float:
    """Return how long an entry waits, in seconds, before it claims an ownership it may claim.

    The owner plans for all workers, so an entry with many cores claims first. ``known_cores`` are
    those of all entries; empty if unknown. ``is_first`` is set while no owner's row exists.
    """
    largest = max(known_cores, default=0.0)
    if not largest:
        return FIRST_CLAIM_DELAY_SECONDS if is_first else SMALL_ENTRY_DELAY_SECONDS
    return 0.0 if cores >= SUFFICIENT_CORES_SHARE * largest else SMALL_ENTRY_DELAY_SECONDS


def should_hand_over(cores: float, other_cores: Iterable[float], owned_seconds: float) -> bool:
    """Return whether an owner should release the ownership to an entry with more cores."""
    largest = max(other_cores, default=0.0)
    return owned_seconds >= SUCCESSOR_AFTER_SECONDS and largest >= SUCCESSOR_CORES_FACTOR * cores


class OwnershipLease:
    """Row and lease of an owner during its ownership epoch."""

    def __init__(self, row: rows.OwnerRow, version: int, started_at: float) -> None:
        self._row = row
        self._version = version
        self._renewed_at = started_at
        self._attempts = row.sequence
        self._has_stepped_down = False

    @property
    def row(self) -> rows.OwnerRow:
        """Return the row of the last successful commit."""
        return self._row

    @property
    def version(self) -> int:
        """Return the store's version of the row."""
        return self._version

    @property
    def renewed_at(self) -> float:
        """Return the start of the last successful commit."""
        return self._renewed_at

    @property
    def has_stepped_down(self) -> bool:
        """Return whether other entries may claim the ownership at once."""
        return self._has_stepped_down

    def may_act(self, now: float) -> bool:
        """Return whether the owner may send orders."""
        return not self._has_stepped_down and now - self._renewed_at < leases.OWNER_LEASE_SECONDS

    def step_down(self) -> None:
        """Stop acting as the owner until a commit succeeds."""
        self._has_stepped_down = True

    def make_next_row(
        self,
        lost: Mapping[ids.ProcessId, float],
        released: bool = False,
        unbounded: Mapping[ids.ProcessId, float] = types.MappingProxyType({}),
    ) -> rows.OwnerRow:
        """Return the row of the next commit attempt; its ``sequence`` is unique in the epoch."""
        row = self._row
        self._attempts += 1
        return rows.OwnerRow(
            row.epoch,
            row.holder,
            row.address,
            self._attempts,
            released,
            dict(lost),
            dict(unbounded),
        )

    def record_renewal(self, row: rows.OwnerRow, version: int, started_at: float) -> None:
        """Record a successful commit, which ends a step-down."""
        self._row = row
        self._version = version
        self._renewed_at = started_at
        self._has_stepped_down = False


class Challenger:
    """Observations of the owner's row by an entry that is not the owner."""

    def __init__(self, process: ids.ProcessId, address: str) -> None:
        self._process = process
        self._address = address
        self._version: int | None = None
        self._step_down_version = 0
        self._row: rows.OwnerRow | None = None
        self._unchanged_since = 0.0
        self._claimable_since: float | None = None

    def reset(self) -> None:
        """Restart the observation, as after a failed read."""
        self._version = None

    @property
    def has_owner_stepped_down(self) -> bool:
        """Return whether the owner has stepped down and sent no ordinary hello since."""
        return bool(self._step_down_version)

    def handle_hello(self, version: int, heard_at: float) -> None:
        """Record the version of the owner's row from the owner's hello, which saves a read."""
        self._step_down_version = 0
        if version != self._version:
            self._version = version
            self._unchanged_since = heard_at

    def record_step_down(self, version: int) -> None:
        """Record that the owner sends no orders while its row has this version."""
        self._step_down_version = version

    def observe(self, row: rows.OwnerRow | None, version: int, read_at: float) -> bool:
        """Record the result of a read; return whether the ownership can be claimed."""
        if not self._is_claimable(row, version, read_at):
            self._claimable_since = None
            return False
        if self._claimable_since is None:
            self._claimable_since = read_at
        return True

    def is_claim_due(self, read_at: float, cores: float, known_cores: Iterable[float]) -> bool:
        """Return whether an ownership that can be claimed has been so for long enough."""
        if self._row is not None and self._is_own(self._row):
            return True
        delay = compute_claim_delay(cores, known_cores, self._row is None)
        return self._claimable_since is not None and read_at - self._claimable_since >= delay

    def _is_own(self, row: rows.OwnerRow) -> bool:
        """Return whether the holder was an earlier incarnation of this process."""
        return (row.holder, row.address) == (self._process, self._address)

    def _is_claimable(self, row: rows.OwnerRow | None, version: int, read_at: float) -> bool:
        if version != self._version:
            self._version = version
            self._unchanged_since = read_at
        self._row = row
        if row is None or row.released or version == self._step_down_version:
            return True
        if self._is_own(row):
            return True
        return read_at - self._unchanged_since >= leases.TAKEOVER_SECONDS

    def make_claim(self) -> tuple[rows.OwnerRow, int]:
        """Return the row to write and the version that the stored row must have."""
        epoch = self._row.epoch + 1 if self._row else 1
        lost = self._row.lost if self._row else {}
        unbounded = self._row.unbounded if self._row else {}
        row = rows.OwnerRow(
            model.OwnerEpoch(epoch), self._process, self._address, 0, False, lost, unbounded
        )
        return row, self._version or 0
