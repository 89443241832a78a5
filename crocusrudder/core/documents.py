"""Convert JSON to msgspec structs and report every problem with its JSON path."""

import json
import math
import typing
from collections.abc import Iterator
from typing import Any

import msgspec

from crocusrudder.core import checks

UNKNOWN_KEY = "CR-DOC-001"
MISSING_KEY = "CR-DOC-002"
WRONG_VALUE = "CR-DOC-003"
WRONG_TYPE = "CR-DOC-004"
NOT_JSON = "CR-DOC-005"
DUPLICATE_KEY = "CR-DOC-006"
TOO_LARGE = "CR-DOC-007"

MAX_DOCUMENT_BYTES = 1024 * 1024


class _DuplicateKeyCollector:
    """Collect the keys that occur more than once in an object."""

    def __init__(self) -> None:
        self._repeated: list[tuple[dict[str, Any], str]] = []

    @property
    def repeated(self) -> list[tuple[dict[str, Any], str]]:
        """Return the repeated keys with their objects."""
        return self._repeated

    def build(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Return the pairs as a dict and record repeated keys."""
        result: dict[str, Any] = {}
        for key, value in pairs:
            if key in result:
                self._repeated.append((result, key))
            result[key] = value
        return result


def decode_json(
    data: bytes, max_bytes: int = MAX_DOCUMENT_BYTES
) -> tuple[Any, list[checks.Problem]]:
    """Return the decoded value (None if it is not JSON) and the problems found."""
    if len(data) > max_bytes:
        hint = f"at most {max_bytes} bytes"
        return None, [checks.Problem(TOO_LARGE, "$", f"{len(data)} bytes", hint)]
    try:
        value = msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        hint = "check for a truncated file, a missing quote or a trailing comma"
        message = f"{error}{_describe_place(data)}"
        return None, [checks.Problem(NOT_JSON, "$", message, hint)]
    return value, list(_find_duplicates(data))


def _describe_place(data: bytes) -> str:
    """Return the place at which the standard decoder stops; empty if it does not tell one."""
    try:
        value = json.loads(data.decode())
    except UnicodeDecodeError as error:
        return f"; not UTF-8 at byte {error.start}"
    except json.JSONDecodeError as error:
        return f"; at line {error.lineno}, column {error.colno}"
    except (RecursionError, ValueError):
        return ""
    # The standard decoder accepts numbers that are out of range.
    for path, item in _iterate_values(value):
        if isinstance(item, float) and not math.isfinite(item):
            return f"; at {path}"
    return ""


def _find_duplicates(data: bytes) -> Iterator[checks.Problem]:
    # msgspec silently keeps the last of two equal keys, so the standard decoder finds them.
    duplicates = _DuplicateKeyCollector()
    try:
        value = json.loads(data, object_pairs_hook=duplicates.build)
    except (RecursionError, ValueError) as error:
        yield checks.Problem(NOT_JSON, "$", repr(error), "nested too deeply or a huge number")
        value = None
    values = _iterate_values(value) if duplicates.repeated else ()
    paths = {id(item): path for path, item in values if isinstance(item, dict)}
    for item, key in duplicates.repeated:
        # An object under an earlier one of two equal keys is not part of the value.
        path = paths.get(id(item), "$")
        yield checks.Problem(DUPLICATE_KEY, path, f"the key {key!r} occurs twice in one object")


def _iterate_values(value: Any) -> Iterator[tuple[str, Any]]:
    """Yield a value and all values in it, each with its JSON path."""
    pending = [("$", value)]
    while pending:
        path, item = pending.pop()
        yield path, item
        if isinstance(item, dict):
            pending += [(f"{path}.{key}", child) for key, child in item.items()]
        elif isinstance(item, list):
            pending += [(f"{path}[{index}]", child) for index, child in enumerate(item)]


def find_problems(value: Any, type_: Any, path: str = "$") -> list[checks.Problem]:
    """Return all problems that prevent the conversion of ``value`` to ``type_``."""
    return list(_walk(value, type_, path))


def convert(value: Any, type_: Any) -> Any:
    """Return the value as ``type_``; raise ``CheckFailedError`` with all problems."""
    problems = find_problems(value, type_)
    if problems:
        raise checks.CheckFailedError(problems)
    return msgspec.convert(value, type_)


def _walk(value: Any, type_: Any, path: str) -> Iterator[checks.Problem]:
    origin = typing.get_origin(type_)
    if isinstance(type_, type) and issubclass(type_, msgspec.Struct):
        yield from _walk_struct(value, type_, path)
    elif origin in (tuple, list) and isinstance(value, list):
        item_type = typing.get_args(type_)[0]
        for index, item in enumerate(value):
            yield from _walk(item, item_type, f"{path}[{index}]")
    elif origin is dict and isinstance(value, dict):
        yield from _walk_dict(value, typing.get_args(type_), path)
    else:
        yield from _check_value(value, type_, path)


def _walk_struct(value: Any, type_: Any, path: str) -> Iterator[checks.Problem]:
    if not isinstance(value, dict):
        message = f"expected an object, found {_name_type(value)}"
        yield checks.Problem(WRONG_TYPE, path, message)
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(type_)}
    for key in value:
        if key not in fields:
            hint = f"known keys: {', '.join(sorted(fields))}"
            yield checks.Problem(UNKNOWN_KEY, f"{path}.{key}", "unknown key", hint)
    for name, field in fields.items():
        if name in value:
            yield from _walk(value[name], field.type, f"{path}.{name}")
        elif field.required:
            yield checks.Problem(MISSING_KEY, f"{path}.{name}", "required key is missing")


def _walk_dict(value: dict, types: tuple, path: str) -> Iterator[checks.Problem]:
    key_type, item_type = types
    for key, item in value.items():
        yield from _check_value(key, key_type, f"{path}.{key}")
        yield from _walk(item, item_type, f"{path}.{key}")


def _check_value(value: Any, type_: Any, path: str) -> Iterator[checks.Problem]:
    try:
        msgspec.convert(value, type_)
    except msgspec.ValidationError as error:
        yield checks.Problem(WRONG_VALUE, path, str(error), f"found {value!r:.80}")


def _name_type(value: Any) -> str:
    names = {dict: "an object", list: "an array", str: "a string", type(None): "null"}
    names |= {bool: "a boolean", int: "a number", float: "a number"}
    return names.get(type(value), type(value).__name__)
