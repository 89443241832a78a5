"""Errors of an entry's HTTP interface."""

from crocusrudder.hosting import errors


class BadRequestError(errors.HttpError):
    """Report a request that the entry does not understand."""

    code = "CR-ENT-001"


class CoreSilentError(errors.HttpError):
    """Report an operator's call without an answer; it may have taken effect."""

    code = "CR-ENT-002"
    status = 504
