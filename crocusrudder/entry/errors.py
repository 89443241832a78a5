"""Errors of an entry's HTTP interface."""

from crocusrudder.hosting import errors


class BadRequestError(errors.HttpError):
    """Report a request with a missing or malformed path or header, or a wrong method."""

    code = "CR-ENT-001"
