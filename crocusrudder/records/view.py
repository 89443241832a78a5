"""Read access to the configuration of a process, and the adoption of updates."""

from typing import Any

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.records import schema
from crocusrudder.records import state
from crocusrudder.wire import messages


def is_confirmation(update: messages.ConfigurationUpdate) -> bool:
    """Return whether an update only states that the sender has no later revision."""
    return update.base == update.revision and not update.snapshot


def is_complete(update: messages.ConfigurationUpdate) -> bool:
    """Return whether the update reaches the sender's revision; a part or a push may not."""
    return update.snapshot or is_confirmation(update)


class RecordView:
    """Read access to the configuration of an entry or agent."""

    def __init__(self) -> None:
        self._configuration = state.Configuration()
        self._verified = False
        self._ready = False

    @property
    def revision(self) -> ids.Revision:
        """Return the revision in force in this process."""
        return self._configuration.revision

    @property
    def verified(self) -> bool:
        """Return whether the table or a majority of entries has confirmed the revision."""
        return self._verified

    @property
    def ready(self) -> bool:
        """Return whether the table or an entry has provided the configuration since the start."""
        return self._ready

    @property
    def configuration(self) -> state.Configuration:
        """Return the configuration, which callers must not change."""
        return self._configuration

    def get_record(
        self, kind: str, name: str, schema_version: int | None = None
    ) -> dict[str, Any] | None:
        """Return a record in the fields of schema version 2, or None.

        Without a schema version, return the record with the highest one.
        """
        versions = reversed(schema.SCHEMA_VERSIONS) if schema_version is None else (schema_version,)
        for version in versions:
            stored = self._configuration.records.get(schema.RecordKey(kind, name, version))
            if stored is not None:
                return stored.newest
        return None

    def list_records(self, kind: str = "") -> list[dict[str, Any]]:
        """Return the records of a kind, or all, in schema version 2 fields, sorted by key."""
        records = self._configuration.records
        return [records[key].newest for key in sorted(records) if kind in ("", key.kind)]

    def resolve_schema_version(self, service: ids.ServiceName, order_kind: str) -> int | None:
        """Return the schema version that serves an order kind, None if there is no such service.

        Order kinds that no cutover names are served by the lowest version. The result is also None
        if this version of the program cannot read the cutover, because a default could send orders
        to a schema version for which they were not signed off.
        """
        document = self.get_record("cutover", service)
        if document is not None:
            try:
                cutover = msgspec.convert(document, schema.CutoverV2)
            except msgspec.ValidationError:
                return None
            if order_kind in cutover.order_kinds:
                return cutover.order_kinds[order_kind].schema_version
        for version in schema.SCHEMA_VERSIONS:
            if schema.RecordKey("service", service, version) in self._configuration.records:
                return version
        return None

    def _adopt(self, update: messages.ConfigurationUpdate) -> bool:
        """Adopt an update if it leads to a higher revision; return whether it did."""
        if update.snapshot:
            return self._configuration.load(state.read_snapshot(update), update.revision)
        if not state.is_contiguous(update):
            return False
        return self._configuration.apply(update.changes)

    def _request_update(self, to: ids.ProcessId) -> effects.Effect:
        return effects.Send(to, messages.ConfigurationRequest(self.revision))

    def _record_adoption(self, before: ids.Revision) -> list[effects.Effect]:
        if self.revision <= before:
            return []
        fields = {"from": before, "to": self.revision, "verified": self._verified}
        return [
            effects.Count("configuration_adopted"),
            effects.LogChange("configuration_adopted", fields),
        ]
