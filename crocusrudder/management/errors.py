"""Errors and exit codes of the command line."""

import enum
from typing import Any
from typing import ClassVar

from crocusrudder.core import errors


class ExitCode(enum.IntEnum):
    """Exit codes; ``docs/reference/commands.md`` describes them."""

    DONE = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNAVAILABLE = 6
    UNKNOWN = 7
    DIFFERENT = 8


class CommandError(errors.CrocusrudderError):
    """Base class of the errors of the command line."""

    code = "CR-CMD-000"
    exit_code: ClassVar[ExitCode] = ExitCode.INTERNAL


class UnreachableError(CommandError):
    """No entry accepted a connection, so nothing was sent."""

    code = "CR-CMD-001"
    exit_code = ExitCode.UNAVAILABLE


class ResponseLostError(CommandError):
    """The connection failed or timed out after the request was sent; it may have taken effect."""

    code = "CR-CMD-002"
    exit_code = ExitCode.UNKNOWN


class FileUnreadableError(CommandError):
    """A file cannot be read."""

    code = "CR-CMD-003"
    exit_code = ExitCode.INVALID


class MalformedResponseError(CommandError):
    """The response of a process does not have the expected form."""

    code = "CR-CMD-004"


class StoreUnavailableError(CommandError):
    """The platform's store cannot be read; reading it has no effect."""

    code = "CR-CMD-007"
    exit_code = ExitCode.UNAVAILABLE


class ConfigurationMissingError(CommandError):
    """The platform's store holds no configuration."""

    code = "CR-CMD-008"
    exit_code = ExitCode.NOT_FOUND


class RefusedError(CommandError):
    """The entry refused the request; its response is in ``body``."""

    code = "CR-CMD-005"

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(str(body.get("message", "")), str(body.get("hint", "")))
        self._status = status
        self._body = body

    @property
    def body(self) -> dict[str, Any]:
        """Return the JSON object that the entry sent."""
        return self._body

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code that corresponds to the HTTP status."""
        codes = {
            400: ExitCode.INVALID,
            422: ExitCode.INVALID,
            404: ExitCode.NOT_FOUND,
            409: ExitCode.CONFLICT,
            429: ExitCode.UNAVAILABLE,
            503: ExitCode.UNAVAILABLE,
            504: ExitCode.UNKNOWN,
        }
        return codes.get(self._status, ExitCode.INTERNAL)

    def to_dict(self) -> dict[str, Any]:
        """Return the body, which holds the code of the entry, completed with defaults."""
        return {"code": self.code, "hint": "", "message": ""} | self._body
