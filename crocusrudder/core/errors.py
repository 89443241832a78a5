"""Base class of all coded errors, and the description of unexpected ones."""

import pathlib
import traceback
from typing import ClassVar

MAX_DESCRIBED_CHARACTERS = 200
"""Length of the text of an unexpected error in a log line; some errors repeat their input."""
MAX_DESCRIBED_CALLS = 12
"""Innermost calls that a description names."""


class CrocusrudderError(Exception):
    """Base class of errors that carry a stable code.

    Subclasses set ``code`` (for example ``CR-REC-003``). ``hint`` tells the user what to do next.
    """

    code: ClassVar[str] = "CR-GEN-000"

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self._message = message
        self._hint = hint

    @property
    def message(self) -> str:
        return self._message

    @property
    def hint(self) -> str:
        """Return what the user can do about the failure; may be empty."""
        return self._hint

    def to_dict(self) -> dict[str, str]:
        """Return the error as a JSON object with the keys code, message and hint."""
        return {"code": self.code, "message": self._message, "hint": self._hint}

    def __str__(self) -> str:
        """Return the code and the message on one line."""
        return f"{self.code}: {self._message}"


class InternalError(CrocusrudderError):
    """Raised when an internal invariant is violated."""

    code = "CR-GEN-001"


def describe_unexpected(error: BaseException) -> dict[str, str]:
    """Return the log fields of an error that no layer has translated.

    ``calls`` names the functions from the outermost to the one that raised it, so that errors with
    the same text can be told apart.
    """
    frames = traceback.extract_tb(error.__traceback__)[-MAX_DESCRIBED_CALLS:]
    calls = [f"{pathlib.PurePath(frame.filename).stem}.{frame.name}" for frame in frames]
    return {
        "code": getattr(error, "code", InternalError.code),
        "error": repr(error)[:MAX_DESCRIBED_CHARACTERS],
        "calls": " > ".join(calls),
    }
