"""Requests and responses of the HTTP server."""

import urllib.parse
from typing import Any

import msgspec

from crocusrudder.hosting import errors


class Request(msgspec.Struct, frozen=True):
    """A whole request. Header names are lower case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def path(self) -> tuple[str, ...]:
        """Return the decoded segments of the path."""
        path = self.target.partition("?")[0]
        return tuple(urllib.parse.unquote(part) for part in path.split("/") if part)

    @property
    def query(self) -> dict[str, str]:
        """Return the query; of a repeated name, the last value."""
        query = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def get_header(self, name: str, default: str = "") -> str:
        """Return the value of a header by its lower-case name."""
        return next((value for key, value in self.headers if key == name), default)


class Response(msgspec.Struct, frozen=True):
    """A whole response. The server adds the headers that frame it."""

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
    """Return the response for an error: code, message, hint and an empty list of problems."""
    return make_json_response(error.status, {**error.to_dict(), "problems": []})
