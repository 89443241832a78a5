"""Errors of the platform layer."""

from crocusrudder.core import errors


class PlatformError(errors.CrocusrudderError):
    """Base class of the errors of the platform layer."""

    code = "CR-PLT-000"

    def __init__(self, message: str, hint: str = "", is_connection_closed: bool = False) -> None:
        super().__init__(message, hint)
        self._is_connection_closed = is_connection_closed

    @property
    def is_connection_closed(self) -> bool:
        """Return whether the peer's machine refused, reset or closed the connection.

        False if there was no response in time: the peer may be suspended or unreachable.
        """
        return self._is_connection_closed


class NotExecutedError(PlatformError):
    """The request had no effect.

    Either no byte of it was sent, or the server refused it before processing any part of it.
    """

    code = "CR-PLT-001"


class UnknownOutcomeError(PlatformError):
    """The exchange failed after bytes were sent, so the request may have taken effect."""

    code = "CR-PLT-002"


class ConflictError(PlatformError):
    """A condition of a transaction did not hold, so the transaction had no effect."""

    code = "CR-PLT-003"


class HistoryGoneError(PlatformError):
    """The store no longer has the requested changes."""

    code = "CR-PLT-004"


class MalformedInputError(PlatformError):
    """A request body, heartbeat or row cannot be decoded."""

    code = "CR-PLT-005"


class WrongWorkerError(PlatformError):
    """Another incarnation of the worker received the call and did not execute it."""

    code = "CR-PLT-006"


class RestartedWorkerError(WrongWorkerError):
    """An incarnation with the worker's id, but another time of birth, executed the call."""

    code = "CR-PLT-008"


class UnknownRequestError(PlatformError):
    """The operator made a request that this system does not serve."""

    code = "CR-PLT-007"
