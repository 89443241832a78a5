"""Check framework: coded problems, collected and reported all at once."""

import enum
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

from crocusrudder.core import errors


class Severity(enum.Enum):
    """How bad a problem is. Errors refuse the document; warnings do not."""

    WARNING = "warning"
    ERROR = "error"


class Problem(msgspec.Struct, frozen=True):
    """One problem found in a document, with a JSON path into it and a hint."""

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
    """Report all problems of a refused document."""

    code = "CR-CHK-001"

    def __init__(self, problems: Iterable[Problem]) -> None:
        self._problems = tuple(problems)
        super().__init__("; ".join(str(problem) for problem in self._problems))

    @property
    def problems(self) -> tuple[Problem, ...]:
        """Return the problems in the order in which they were found."""
        return self._problems


Check = Callable[[Any], Iterator[Problem]]


class CheckRegistry:
    """Hold the checks of one kind of document.

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
