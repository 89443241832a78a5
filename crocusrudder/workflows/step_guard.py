"""Keep an unexpected error in one step of a process from ending the others.

Which steps are guarded, and what takes the place of their result, is listed in ``docs/design.md``.
"""

import itertools
from collections.abc import Callable
from typing import TypeVar

from crocusrudder.core import effects
from crocusrudder.core import errors as core_errors
from crocusrudder.workflows import errors

STEP_FAILED = "step_failed"
"""Log event of an unexpected error that was caught."""
REPEAT_SECONDS = 60.0
"""Least time between two lines about the same cause."""
MAX_CAUSES = 64
"""Causes that are told apart; the oldest is forgotten."""
END_AFTER_SECONDS = 15.0
"""Time for which an essential step may fail without a success in between. A state that passes has
passed by then: leases of workers end after 6 s."""
END_AFTER_FAILURES = 10

_Result = TypeVar("_Result")


class _Cause:
    """Errors of one step with the same text and place."""

    def __init__(self) -> None:
        self.logged_at = float("-inf")
        self.omitted = 0


class _Streak:
    """Failures of an essential step since its last success."""

    def __init__(self, now: float) -> None:
        self.since = now
        self.failures = 0


class StepGuard:
    """Run steps, and log their unexpected errors, one line a cause and minute.

    Times are in seconds on the clock of the process.
    """

    def __init__(self) -> None:
        self._causes: dict[tuple[str, str], _Cause] = {}
        self._streaks: dict[str, _Streak] = {}
        self._logged: list[effects.LogChange] = []

    def drain_log(self) -> list[effects.LogChange]:
        """Return what was logged since the last call, and clear it."""
        logged, self._logged = self._logged, []
        return logged

    def run(
        self,
        step: str,
        now: float,
        action: Callable[[], _Result],
        default: _Result,
        *,
        is_essential: bool = False,
        **fields: object,
    ) -> _Result:
        """Return what the step returns; after an error, which is logged, the default.

        Raises ``RepeatedFailureError`` for an essential step that keeps failing.
        """
        try:
            result = action()
        except errors.RepeatedFailureError:
            # A step within this one has decided that the process ends.
            raise
        except Exception as error:
            self.record_failure(step, error, now, is_essential=is_essential, **fields)
            return default
        self.record_success(step)
        return result

    def record_success(self, step: str) -> None:
        """Record that an essential step works."""
        self._streaks.pop(step, None)

    def record_failure(
        self,
        step: str,
        error: Exception,
        now: float,
        *,
        is_essential: bool = False,
        **fields: object,
    ) -> None:
        """Log an error; raise ``RepeatedFailureError`` if an essential step keeps failing."""
        self._log(step, error, now, fields)
        if not is_essential:
            return
        streak = self._streaks.setdefault(step, _Streak(now))
        streak.failures += 1
        seconds = now - streak.since
        if seconds >= END_AFTER_SECONDS and streak.failures >= END_AFTER_FAILURES:
            raise errors.RepeatedFailureError(
                f"step {step!r} has failed {streak.failures} times in {seconds:.1f} s"
            ) from error

    def _log(self, step: str, error: Exception, now: float, fields: dict[str, object]) -> None:
        described = core_errors.describe_unexpected(error)
        # Texts may hold numbers that differ each time; the place and the type are the cause.
        key = (step, f"{type(error).__name__} {described['calls']}")
        cause = self._causes.setdefault(key, _Cause())
        if now - cause.logged_at < REPEAT_SECONDS:
            cause.omitted += 1
            return
        line = {"step": step, **described, **fields, "omitted": cause.omitted}
        self._logged.append(effects.LogChange(STEP_FAILED, line))
        cause.logged_at, cause.omitted = now, 0
        for known in list(itertools.islice(self._causes, max(len(self._causes) - MAX_CAUSES, 0))):
            del self._causes[known]
