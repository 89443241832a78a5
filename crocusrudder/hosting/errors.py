"""Errors of the HTTP server; an ``HttpError`` becomes a JSON response with its status."""

from typing import ClassVar

from crocusrudder.core import errors


class HttpError(errors.CrocusrudderError):
    """Base of errors that refuse an HTTP request with ``status``."""

    code = "CR-HTTP-000"
    status: ClassVar[int] = 400


class MalformedRequestError(HttpError):
    """Report bytes that are not a valid HTTP/1.1 request."""

    code = "CR-HTTP-001"


class BodyTooLargeError(HttpError):
    """Report a body larger than the limit."""

    code = "CR-HTTP-002"
    status = 413


class HeadersTooLargeError(HttpError):
    """Report a request line and headers larger than the limit."""

    code = "CR-HTTP-003"
    status = 431


class ReadTimeoutError(HttpError):
    """Report a request that was not received in full within the read timeout."""

    code = "CR-HTTP-004"
    status = 408


class ServerBusyError(HttpError):
    """Report that the limit on connections or on buffered bodies is reached."""

    code = "CR-HTTP-005"
    status = 503


class HandlerFailedError(HttpError):
    """Report an unexpected exception in a handler, or an invalid response from it."""

    code = "CR-HTTP-006"
    status = 500


class UnsupportedRequestError(HttpError):
    """Report an HTTP feature that the server does not implement."""

    code = "CR-HTTP-007"
    status = 501


class ServerStartError(errors.CrocusrudderError):
    """Report an address that the server cannot listen on."""

    code = "CR-HTTP-008"


class MalformedBodyError(HttpError):
    """Report a body that is not valid JSON."""

    code = "CR-HTTP-009"


class CoreTimeoutError(HttpError):
    """Report that the core did not respond in time; the call may have taken effect."""

    code = "CR-HTTP-010"
    status = 504
