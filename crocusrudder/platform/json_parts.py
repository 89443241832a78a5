"""Split JSON documents into their parts, so that an odd part does not spoil the others.

A decoder refuses a whole document for one part that is nested too deeply, holds a number that is
too large or is not UTF-8. The split looks at brackets, commas and strings only.
"""

import contextlib
import re
from typing import TypeVar

import msgspec

from crocusrudder.platform import errors

_Type = TypeVar("_Type")

_WHITESPACE = b" \t\r\n"
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|[",]', re.DOTALL)
_MEMBER = re.compile(rb'[ \t\r\n]*("[^"\\]*(?:\\.[^"\\]*)*")[ \t\r\n]*:(.*)', re.DOTALL)
_OPENING = b"[{"
_CLOSING = b"]}"


def split_array(document: bytes) -> list[bytes]:
    """Return the items of an array undecoded.

    Raises ``MalformedInputError`` if the document is no array or its brackets do not match.
    """
    return _split(document, b"[]")


def split_object(document: bytes) -> dict[str, bytes]:
    """Return the members of an object by name, undecoded; one with an unreadable name is left out.

    Raises ``MalformedInputError`` if the document is no object or its brackets do not match.
    """
    matches = (_MEMBER.fullmatch(part) for part in _split(document, b"{}"))
    members = {}
    for match in filter(None, matches):
        with contextlib.suppress(errors.MalformedInputError):
            members[decode(match[1], str)] = match[2].strip(_WHITESPACE)
    return members


def decode(part: bytes, type_: type[_Type]) -> _Type:
    """Decode a part; raises ``MalformedInputError``."""
    try:
        return msgspec.json.decode(part, type=type_)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.MalformedInputError(str(error)) from error


def _split(document: bytes, brackets: bytes) -> list[bytes]:
    text = document.strip(_WHITESPACE)
    if len(text) < len(brackets) or text[:1] + text[-1:] != brackets:
        raise errors.MalformedInputError(f"not enclosed in {brackets.decode()}")
    depth = 0
    start = 1
    parts = []
    for token in _TOKEN.finditer(text):
        found = token[0]
        # A series of brackets is one token: another writer may nest a value 100,000 deep.
        if found[0] in _OPENING:
            depth += len(found)
        elif found[0] in _CLOSING:
            depth -= len(found)
            if depth < 0 or depth == 0 and token.end() < len(text):
                raise errors.MalformedInputError("text after the closing bracket")
        elif found == b"," and depth == 1:
            parts.append(text[start : token.start()])
            start = token.end()
        elif found == b'"':
            raise errors.MalformedInputError("string without an end")
    if depth:
        raise errors.MalformedInputError("brackets do not match")
    last = text[start:-1]
    return [*parts, last] if parts or last.strip(_WHITESPACE) else []
