"""Errors of the jobs layer."""

from crocusrudder.core import errors


class JobError(errors.CrocusrudderError):
    """Base of the errors of the jobs layer."""

    code = "CR-JOB-000"


class TransitionError(JobError):
    """Report a transition that the state of the task does not allow."""

    code = "CR-JOB-001"


class StaleReportError(JobError):
    """Report that a run's report has an epoch below the row's, or the run has ended."""

    code = "CR-JOB-002"


class InvalidJobError(JobError):
    """Report a submission that is malformed."""

    code = "CR-JOB-003"


class JobTooLargeError(JobError):
    """Report a job whose tasks are larger than every worker."""

    code = "CR-JOB-004"


class UnknownBatchError(JobError):
    """Report a job that names a batch record which is not in force."""

    code = "CR-JOB-005"


class NotReadyError(JobError):
    """Report that the entry cannot decide on a job yet; the call may be repeated."""

    code = "CR-JOB-006"


class JobConflictError(JobError):
    """Report a job id that is in use with another specification."""

    code = "CR-JOB-007"


class UnknownJobError(JobError):
    """Report a job id that does not exist, or a path that is no operation on jobs."""

    code = "CR-JOB-008"


class StoreUnavailableError(JobError):
    """Report that the store is unavailable; the call had no effect unless the text says so."""

    code = "CR-JOB-009"


class JobEndedError(JobError):
    """Report a change of a job that has ended."""

    code = "CR-JOB-010"


class OutcomeUnknownError(JobError):
    """Report that a change may or may not have taken effect; repeating the call resolves it."""

    code = "CR-JOB-011"
