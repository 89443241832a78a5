"""Read from the store which data centres the operator has evacuated.

Each entry follows the operator's table by the feed. While it owns the workers, it also reads the
rows when the feed falls behind, as a lost response of the feed is noticed late.
"""

import curio

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.observability import logs
from crocusrudder.platform import errors
from crocusrudder.platform import operator
from crocusrudder.platform import store
from crocusrudder.workflows import model

READ_AFTER_SECONDS = 1.5
"""Age from which the rows are read beside the feed, which responds each second without changes."""
READ_TIMEOUT_SECONDS = 0.7
"""Timeout of such a read, so that a lost response leaves time for another read."""
CHECK_INTERVAL_SECONDS = 0.1
RETRY_DELAY_SECONDS = 0.3


class EvacuationReader:
    """The evacuations as read last, from the feed or from the rows."""

    def __init__(self, client: store.StoreClient) -> None:
        self._client = client
        self._evacuations = model.Evacuations()
        self._read_log = logs.DependencyMonitor("evacuations")

    @property
    def evacuations(self) -> model.Evacuations:
        return self._evacuations

    def apply_feed(self, page: store.Page, requested_at: float, wait_seconds: float) -> None:
        """Apply changes that were requested at a time, to be awaited for a number of seconds."""
        if page.version < self._evacuations.version:
            return
        evacuated = set(self._evacuations.evacuated)
        for row in page.rows:
            data_centre = _decode_row(row)
            if data_centre is None:
                continue
            if row.value is None:
                evacuated.discard(data_centre)
            else:
                evacuated.add(data_centre)
        now = clocks.read_boot_time()
        # Without a change, the store has waited as long as it was asked to.
        read_at = requested_at if page.rows else min(requested_at + wait_seconds, now)
        self._replace(frozenset(evacuated), page.version, read_at)

    def apply_read(self, page: store.Page, requested_at: float) -> None:
        """Apply all rows of evacuations, as requested at a time."""
        if page.version < self._evacuations.version:
            return
        keys = {row.key for row in page.rows}
        known = self._evacuations.evacuated
        # A row that has become unreadable changes nothing.
        remaining = {name for name in known if store.EVACUATION_PREFIX + name in keys}
        evacuated = frozenset(remaining.union(filter(None, map(_decode_row, page.rows))))
        self._replace(evacuated, page.version, requested_at)

    async def read(self, timeout_seconds: float = store.CALL_TIMEOUT_SECONDS) -> None:
        """Read the rows; raises ``PlatformError``."""
        requested_at = clocks.read_boot_time()
        page = await self._client.read(
            store.OPERATOR_TABLE, store.EVACUATION_PREFIX, store.EVACUATION_END, timeout_seconds
        )
        self.apply_read(page, requested_at)

    async def read_forever(self) -> None:
        """Read the rows whenever the feed has fallen behind."""
        while True:
            await curio.sleep(CHECK_INTERVAL_SECONDS)
            if clocks.read_boot_time() - self._evacuations.read_at < READ_AFTER_SECONDS:
                continue
            try:
                await self.read(READ_TIMEOUT_SECONDS)
            except errors.PlatformError as error:
                self._read_log.record(False, str(error))
                await curio.sleep(RETRY_DELAY_SECONDS)
            else:
                self._read_log.record(True)

    def _replace(self, evacuated: frozenset[ids.DataCentre], version: int, read_at: float) -> None:
        known = self._evacuations
        if evacuated != known.evacuated:
            _log("evacuations_read", data_centres=sorted(evacuated), version=version)
        self._evacuations = model.Evacuations(evacuated, version, max(read_at, known.read_at))


def _decode_row(row: store.StoreRow) -> ids.DataCentre | None:
    """Return the data centre that a row concerns; None for any other row."""
    if row.key == store.CONFIGURATION_KEY:
        return None
    try:
        return operator.decode_evacuation(row.key, row.value)
    except errors.MalformedInputError as error:
        _log("evacuation_unreadable", **error.to_dict())
    except errors.UnknownRequestError as error:
        _log("operator_request_unknown", **error.to_dict())
    return None


def _log(name: str, **fields: object) -> None:
    logs.write_change(effects.LogChange(name, fields))
