"""Errors of the wire layer."""

from crocusrudder.core import errors
from crocusrudder.core import ids


class WireError(errors.CrocusrudderError):
    """Base class of the errors of the wire layer."""

    code = "CR-WIRE-000"


class MalformedMessageError(WireError):
    """The bytes are not a message of this protocol."""

    code = "CR-WIRE-001"


class NewerVersionError(WireError):
    """The message has a newer major version than this process supports.

    ``sender`` and ``address`` name the process to notify.
    """

    code = "CR-WIRE-002"

    def __init__(self, message: str, sender: ids.ProcessId, address: str) -> None:
        super().__init__(message, "upgrade this process")
        self._sender = sender
        self._address = address

    @property
    def sender(self) -> ids.ProcessId:
        return self._sender

    @property
    def address(self) -> str:
        """Return the address at which the sender listens."""
        return self._address


class WrongIncarnationError(WireError):
    """The message was meant for an earlier or later incarnation of this process."""

    code = "CR-WIRE-003"


class MessageTooLargeError(WireError):
    """The message exceeds the limit of the transport."""

    code = "CR-WIRE-004"


class TransportError(WireError):
    """The transport cannot bind or connect."""

    code = "CR-WIRE-005"


class DeliveryError(WireError):
    """A handler failed unexpectedly for a message, which was dropped."""

    code = "CR-WIRE-006"
