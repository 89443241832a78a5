"""What entries and agents read of their configuration, and how they adopt updates."""

from typing import Any

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.records import schema
from crocusrudder.records import state
from crocusrudder.wire import messages


def is_confirmation(update: messages.ConfigurationUpdate) -> bool:
    """Return whether an update only says that the sender has no later revision."""
    return update.base == update.revision and not update.snapshot


def is_complete(update: messages.ConfigurationUpdate) -> bool:
    """Return whether the update leads to the sender's own revision; parts and pushes may not."""
    return update.snapshot or is_confirmation(update)


class RecordView:
    """What entries and agents read of their configuration."""

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
        """Return whether the table or another entry has answered since the start."""
        return self._ready

    @property
    def configuration(self) -> state.Configuration:
        """Return the records as stored, for reading."""
        return self._configuration

    def get_record(
        self, kind: str, name: str, schema_version: int | None = None
    ) -> dict[str, Any] | None:
        """Return a record in the fields of schema version 2, or None.

        Without a schema version, the highest one that exists.
        """
        wanted = reversed(schema.SCHEMA_VERSIONS) if schema_version is None else (schema_version,)
        for version in wanted:
            stored = self._configuration.records.get(schema.RecordKey(kind, name, version))
            if stored is not None:
                return stored.newest
        return None

    def list_records(self, kind: str = "") -> list[dict[str, Any]]:
        """Return the records of a kind, or all, in the fields of schema version 2, in order."""
        records = self._configuration.records
        return [records[key].newest for key in sorted(records) if kind in ("", key.kind)]

    def resolve_schema_version(self, service: ids.ServiceName, order_kind: str) -> int | None:
        """Return the schema version that serves an order kind, None if there is no such service.

        Order kinds that no cutover names are served by the lowest version.
        """
        cutover = self.get_record("cutover", service)
        named = cutover.get("order_kinds", {}).get(order_kind) if cutover else None
        if named is not None:
            return named["schema_version"]
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

    def _ask(self, to: ids.ProcessId) -> effects.Effect:
        return effects.Send(to, messages.ConfigurationRequest(self.revision))

    def _note_adopted(self, before: ids.Revision) -> list[effects.Effect]:
        if self.revision <= before:
            return []
        fields = {"from": before, "to": self.revision, "verified": self._verified}
        return [
            effects.Count("configuration_adopted"),
            effects.LogChange("configuration_adopted", fields),
        ]
