"""Errors of the platform layer."""

from crocusrudder.core import errors


class PlatformError(errors.CrocusrudderError):
    """Base of the platform layer's errors."""

    code = "CR-PLT-000"


class UnreachedError(PlatformError):
    """No byte of the request was sent, so it certainly had no effect."""

    code = "CR-PLT-001"


class BrokenError(PlatformError):
    """The exchange failed after bytes were sent; the request may have had its effect."""

    code = "CR-PLT-002"
