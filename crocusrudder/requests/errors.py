"""Errors of the request packages."""

from crocusrudder.core import errors


class RequestError(errors.CrocusrudderError):
    """Report a failure while carrying a request."""

    code = "CR-REQ-100"


class LedgerRowError(RequestError):
    """Report a ledger row that cannot be read."""

    code = "CR-REQ-101"
