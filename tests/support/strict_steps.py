"""Let unexpected errors fail a test, although the product goes on after them.

A process logs an unexpected error of a guarded step and continues (``step_guard``). A test would
pass beside it, so in tests the error is raised unless the test is about the guard.
"""

import contextlib
from collections.abc import Iterator
from unittest import mock

from crocusrudder.workflows import step_guard

_record_failure = step_guard.StepGuard.record_failure


def _raise(_: step_guard.StepGuard, step: str, error: Exception, *args: object, **fields: object):
    raise error


def install() -> None:
    """Raise the errors of guarded steps in all tests that do not use ``allow_failures``."""
    step_guard.StepGuard.record_failure = _raise


@contextlib.contextmanager
def allow_failures() -> Iterator[None]:
    """Let errors be handled as in operation."""
    with mock.patch.object(step_guard.StepGuard, "record_failure", _record_failure):
        yield
