"""Errors of the membership package."""

from crocusrudder.core import errors


class MembershipError(errors.CrocusrudderError):
    """Base class of membership errors."""

    code = "CR-MEM-000"


class NotOwnerError(MembershipError):
    """Report an operation on a cell that this process does not hold."""

    code = "CR-MEM-001"
