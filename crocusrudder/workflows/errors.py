"""Errors raised by the workflows package."""

from crocusrudder.core import errors


class WorkflowError(errors.CrocusrudderError):
    """Base class of this package's errors."""

    code = "CR-WFL-000"


class UnreadableRowError(WorkflowError):
    """A row of the store cannot be decoded."""

    code = "CR-WFL-001"


class OwnershipLostError(WorkflowError):
    """Another process has claimed the ownership of the workers."""

    code = "CR-WFL-002"


class PlanningError(WorkflowError):
    """Planning a job failed unexpectedly; the job is planned again after a delay."""

    code = "CR-WFL-003"


class LoadingError(WorkflowError):
    """Loading a stored job failed unexpectedly; it is set aside, and the others are loaded."""

    code = "CR-WFL-005"


class EstimatesTooLargeError(WorkflowError):
    """The learned estimates do not fit into their row; the latest ones are stored."""

    code = "CR-WFL-006"


class RepeatedFailureError(WorkflowError):
    """An essential step of a process keeps failing unexpectedly, so the process ends."""

    code = "CR-WFL-007"


class UnknownDataCentreError(WorkflowError):
    """The operator's request names a data centre in which no worker is known."""

    code = "CR-WFL-004"
