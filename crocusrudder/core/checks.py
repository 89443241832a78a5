"""Check framework: collect coded problems in a document and report them together."""

import enum
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

from crocusrudder.core import errors


class Severity(enum.Enum):
    """Severity of a problem. Errors cause the document to be refused; warnings do not."""

    WARNING = "warning"
    ERROR = "error"


class Problem(msgspec.Struct, frozen=True):
    """One problem found in a document, with its JSON path and a hint."""

    code: str
    path: str
    message: str
    hint: str = ""
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        """Return the problem on one line."""
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.severity.value} {self.code} at {self.path}: {self.message}{hint}"


class CheckFailedError(errors.CrocusrudderError):
    """Raised for a refused document; carries all problems."""

    code = "CR-CHK-001"

    def __init__(self, problems: Iterable[Problem]) -> None:
        self._problems = tuple(problems)
        super().__init__("; ".join(str(problem) for problem in self._problems))

    @property
    def problems(self) -> tuple[Problem, ...]:
        """Return the problems, errors and warnings alike, in the order they were found."""
        return self._problems


Check = Callable[[Any], Iterator[Problem]]


class CheckRegistry:
    """Registry of the checks for one kind of document.

    A check is a generator function that takes the document and yields problems.
    """

    def __init__(self) -> None:
        self._checks: list[Check] = []

    def register(self, check: Check) -> Check:
        """Add a check; usable as a decorator."""
        self._checks.append(check)
        return check

    def run(self, document: Any) -> list[Problem]:
        """Return the problems that all checks find in the document."""
        return [problem for check in self._checks for problem in check(document)]

    def require(self, document: Any) -> None:
        """Raise ``CheckFailedError`` if any problem is an error."""
        problems = self.run(document)
        if any(problem.severity is Severity.ERROR for problem in problems):
            raise CheckFailedError(problems)
