"""Errors of the wire layer."""

from crocusrudder.core import errors


class WireError(errors.CrocusrudderError):
    """Base of the wire layer's errors."""

    code = "CR-WIRE-000"


class MalformedMessageError(WireError):
    """The bytes are not a message of this protocol."""

    code = "CR-WIRE-001"


class NewerVersionError(WireError):
    """The message has a newer major version than this process understands."""

    code = "CR-WIRE-002"


class WrongIncarnationError(WireError):
    """The message was meant for an earlier or later incarnation of this process."""

    code = "CR-WIRE-003"


class MessageTooLargeError(WireError):
    """The message exceeds the limit of the transport."""

    code = "CR-WIRE-004"


class TransportError(WireError):
    """The transport cannot bind or connect."""

    code = "CR-WIRE-005"
