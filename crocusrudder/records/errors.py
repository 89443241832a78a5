"""Errors of placement records and configuration changes.

``status`` is the HTTP status with which an entry answers the operator.
"""

from typing import Any
from typing import ClassVar

from crocusrudder.core import errors


class RecordError(errors.CrocusrudderError):
    """Base class of the errors about placement records."""

    code = "CR-REC-000"
    status: ClassVar[int] = 400


class InvalidRecordError(RecordError):
    """The record is invalid; the answer lists the problems."""

    code = "CR-REC-001"


class MalformedCallError(RecordError):
    """A part of the operator's call is missing or malformed."""

    code = "CR-REC-002"


class ConflictError(RecordError):
    """The record differs from what the change expects; the answer contains the current record."""

    code = "CR-REC-017"
    status = 409

    def __init__(self, message: str, hint: str, record: dict[str, Any], revision: int) -> None:
        super().__init__(message, hint)
        self._record = record
        self._revision = revision

    @property
    def record(self) -> dict[str, Any]:
        """Return the record that is in force."""
        return self._record

    @property
    def revision(self) -> int:
        """Return the revision of the record in force."""
        return self._revision


class RecordExistsError(ConflictError):
    """The record to submit already exists."""

    code = "CR-REC-003"


class NoSuchRecordError(RecordError):
    """The record to amend or retire does not exist."""

    code = "CR-REC-004"
    status = 404


class RevisionConflictError(ConflictError):
    """The record has changed since the revision that the change was based on."""

    code = "CR-REC-005"


class RecordInUseError(RecordError):
    """A service version cannot be retired while requests may be resolved to it."""

    code = "CR-REC-006"
    status = 409


class MissingReferenceError(RecordError):
    """A cutover names a schema version of a service that has no record."""

    code = "CR-REC-007"
    status = 409


class ChangeIdReusedError(RecordError):
    """The change id is already used by a different change."""

    code = "CR-REC-008"
    status = 409


class ChangeWithdrawnError(RecordError):
    """The change was looked up before it was accepted and can no longer be accepted."""

    code = "CR-REC-009"
    status = 409


class StoreUnavailableError(RecordError):
    """The table service did not commit the change in time; the change has no effect."""

    code = "CR-REC-010"
    status = 503


class OutcomeUnknownError(RecordError):
    """The result of the commit was lost; the change may or may not have been accepted."""

    code = "CR-REC-011"
    status = 504


class NotReadyError(RecordError):
    """The process has not loaded the configuration yet."""

    code = "CR-REC-012"
    status = 503


class TooManyChangesError(RecordError):
    """The entry already has the maximum number of calls in progress."""

    code = "CR-REC-013"
    status = 503


class ConfigurationFullError(RecordError):
    """The configuration has reached its limit of records or bytes."""

    code = "CR-REC-014"
    status = 409


class NoSuchCallError(RecordError):
    """No operator's call has this method and path."""

    code = "CR-REC-015"
    status = 404


class StoredRecordError(RecordError):
    """A row of the table does not have the expected form."""

    code = "CR-REC-016"
    status = 500
