"""Errors of the wire layer."""

from crocusrudder.core import errors
from crocusrudder.core import ids


class WireError(errors.CrocusrudderError):
    """Base of the wire layer's errors."""

    code = "CR-WIRE-000"


class MalformedMessageError(WireError):
    """The bytes are not a message of this protocol."""

    code = "CR-WIRE-001"


class NewerVersionError(WireError):
    """The message has a newer major version than this process understands.

    ``sender`` and ``address`` tell whom to inform.
    """

    code = "CR-WIRE-002"

    def __init__(self, message: str, sender: ids.ProcessId, address: str) -> None:
        super().__init__(message, "upgrade this process")
        self._sender = sender
        self._address = address

    @property
    def sender(self) -> ids.ProcessId:
        """Return the process that sent the message."""
        return self._sender

    @property
    def address(self) -> str:
        """Return where the sender listens."""
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
