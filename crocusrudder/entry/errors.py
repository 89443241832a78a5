"""Errors of an entry's HTTP interface."""

from crocusrudder.hosting import errors


class BadRequestError(errors.HttpError):
    """Report a request that the entry does not understand."""

    code = "CR-ENT-001"
