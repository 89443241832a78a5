"""Registration of the endpoints on a worker."""

from typing import Annotated
from typing import Any
from typing import Protocol

import msgspec

from crocusrudder.agent import errors
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.jobs import capacity
from crocusrudder.requests import gate
from crocusrudder.wire import messages

ANNOUNCEMENT_TIMEOUT_SECONDS = 6.0
"""Time of three missed announcements, after which an endpoint gets no new requests."""

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Host = Annotated[str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``PUT /v1/endpoints/<id>``."""

    service: Name
    host: Host
    port: Port
    schema_version: Count = 1
    slots: Count = 8
    connections: Count = 60


class Records(Protocol):
    """Part of the configuration that the registry reads."""

    def get_record(
        self, kind: str, name: str, schema_version: int | None = None
    ) -> dict[str, Any] | None:
        """Return a record, or None if there is none of this kind, name and version."""
        ...


class EndpointRegistry:
    """Handle announcements, reserve capacity for endpoints and withdraw unresponsive ones.

    The size of an endpoint comes from the record of its service. An endpoint that does not fit
    into the unreserved capacity of the worker is refused and gets no requests.
    """

    def __init__(
        self,
        request_gate: gate.RequestGate,
        records: Records,
        reservations: capacity.CapacityReservations,
    ) -> None:
        self._gate = request_gate
        self._records = records
        self._reservations = reservations
        self._heard_at: dict[ids.EndpointId, float] = {}

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle the announcement or withdrawal of an endpoint."""
        if not isinstance(event, events.OperatorAsked):
            return []
        try:
            return self._serve(event, now)
        except errors.AgentError as error:
            body = {**error.to_dict(), "problems": []}
            return [effects.AnswerOperator(event.operation, error.status, body)]

    def tick(self, now: float) -> list[effects.Effect]:
        """Withdraw endpoints whose announcements have stopped."""
        unresponsive = [
            name
            for name, heard_at in self._heard_at.items()
            if now - heard_at > ANNOUNCEMENT_TIMEOUT_SECONDS
        ]
        for name in unresponsive:
            self._withdraw(name)
        return [effects.LogChange("endpoint_silent", {"endpoint": name}) for name in unresponsive]

    def dump(self) -> dict[str, object]:
        """Return the time of the last announcement of each endpoint."""
        return {"heard_at": dict(self._heard_at)}

    def _serve(self, event: events.OperatorAsked, now: float) -> list[effects.Effect]:
        match event.method, event.path[-2:]:
            case "PUT", ("endpoints", name):
                return self._announce(ids.EndpointId(name), event, now)
            case "DELETE", ("endpoints", name):
                self._withdraw(ids.EndpointId(name))
                return [effects.AnswerOperator(event.operation, 200, {"withdrawn": name})]
        raise errors.NoSuchCallError(f"{event.method} /{'/'.join(event.path)}")

    def _announce(
        self, name: ids.EndpointId, event: events.OperatorAsked, now: float
    ) -> list[effects.Effect]:
        try:
            announcement = msgspec.convert(event.body, Announcement)
        except msgspec.ValidationError as error:
            raise errors.BadAnnouncementError(str(error)) from error
        size = self._get_size(announcement)
        if not self._reservations.try_reserve(("endpoint", name), size):
            raise errors.NoCapacityError(
                f"{announcement.service} needs {size}; {self._reservations.reserved} of"
                f" {self._reservations.capacity} is reserved"
            )
        status = messages.EndpointStatus(
            name,
            ids.ServiceName(announcement.service),
            announcement.schema_version,
            announcement.slots,
            announcement.connections,
        )
        self._gate.announce_endpoint(status, announcement.host, announcement.port)
        was_known = name in self._heard_at
        self._heard_at[name] = now
        answer = effects.AnswerOperator(event.operation, 200, {"announced": name})
        if was_known:
            return [answer]
        return [answer, effects.LogChange("endpoint_announced", {"endpoint": name})]

    def _withdraw(self, name: ids.EndpointId) -> None:
        self._heard_at.pop(name, None)
        self._reservations.release(("endpoint", name))
        self._gate.withdraw_endpoint(name)

    def _get_size(self, announcement: Announcement) -> messages.Resources:
        record = self._records.get_record(
            "service", announcement.service, announcement.schema_version
        )
        size = (record or {}).get("size") or {}
        return messages.Resources(
            size.get("millicores", 0), size.get("memory_mb", 0), size.get("accelerators", 0)
        )
