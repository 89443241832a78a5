"""Errors of the agent."""

from typing import ClassVar

from crocusrudder.core import errors


class AgentError(errors.CrocusrudderError):
    """Base of the agent's errors; ``status`` is the HTTP status of the response."""

    code = "CR-AGT-000"
    status: ClassVar[int] = 400


class BadAnnouncementError(AgentError):
    """Report a malformed announcement of an endpoint."""

    code = "CR-AGT-001"


class NoCapacityError(AgentError):
    """Report an endpoint that does not fit into the unreserved capacity of the worker."""

    code = "CR-AGT-002"
    status = 409


class NoSuchCallError(AgentError):
    """Report a method and path that the agent does not serve."""

    code = "CR-AGT-003"
    status = 404
