"""Requests and responses of the HTTP server."""

import urllib.parse
from typing import Any

import msgspec

from crocusrudder.hosting import errors


class Request(msgspec.Struct, frozen=True):
    """Complete request; header names are in lower case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def path(self) -> tuple[str, ...]:
        """Return the percent-decoded, non-empty segments of the path."""
        path = self.target.partition("?")[0]
        return tuple(urllib.parse.unquote(part) for part in path.split("/") if part)

    @property
    def query(self) -> dict[str, str]:
        """Return the decoded query parameters; the last value of a repeated name wins."""
        query = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def get_header(self, name: str, default: str = "") -> str:
        """Return the first value of a header; ``name`` is in lower case."""
        return next((value for key, value in self.headers if key == name), default)


class Response(msgspec.Struct, frozen=True):
    """Complete response; the server adds the framing headers such as Content-Length."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def make_json_response(
    status: int, content: Any, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Return a response with a JSON body."""
    typed = (("content-type", "application/json"), *headers)
    return Response(status, typed, msgspec.json.encode(content))


def make_error_response(error: errors.HttpError) -> Response:
    """Return a JSON response with code, message, hint and an empty list of problems."""
    return make_json_response(error.status, {**error.to_dict(), "problems": []})
