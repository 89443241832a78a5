"""Base class of all coded errors."""

from typing import ClassVar


class CrocusrudderError(Exception):
    """Report a failure with a stable code.

    Subclasses set ``code`` (for example ``CR-REC-003``). ``hint`` tells the reader what to do next.
    """

    code: ClassVar[str] = "CR-GEN-000"

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self._message = message
        self._hint = hint

    @property
    def message(self) -> str:
        """Return the description of the failure."""
        return self._message

    @property
    def hint(self) -> str:
        """Return what the reader can do about the failure; may be empty."""
        return self._hint

    def to_dict(self) -> dict[str, str]:
        """Return the error as JSON types with the keys code, message and hint."""
        return {"code": self.code, "message": self._message, "hint": self._hint}

    def __str__(self) -> str:
        """Return the code and the message on one line."""
        return f"{self.code}: {self._message}"


class InternalError(CrocusrudderError):
    """Report a broken assumption inside the program."""

    code = "CR-GEN-001"
