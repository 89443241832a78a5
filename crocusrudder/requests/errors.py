"""Errors of request handling."""

from crocusrudder.core import errors


class RequestError(errors.CrocusrudderError):
    """Base class of errors in request handling."""

    code = "CR-REQ-100"


class LedgerRowError(RequestError):
    """A ledger row is malformed."""

    code = "CR-REQ-101"
