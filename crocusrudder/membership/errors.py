"""Errors of the membership layer."""

from crocusrudder.core import errors


class MembershipError(errors.CrocusrudderError):
    """Base of the membership layer's errors."""

    code = "CR-MEM-000"


class NotOwnerError(MembershipError):
    """The process does not own the cell at present."""

    code = "CR-MEM-001"
