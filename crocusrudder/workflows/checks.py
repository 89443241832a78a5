"""Checks of deploy/system.toml and of the settings templates that it names."""

import pathlib
import re
import tomllib
from collections.abc import Collection
from collections.abc import Iterator
from typing import Any

import msgspec

from crocusrudder.core import checks
from crocusrudder.workflows import settings

UNREADABLE = "CR-WFL-010"
MISSING_KEY = "CR-WFL-011"
UNKNOWN_COMMAND = "CR-WFL-012"
BAD_TEMPLATE = "CR-WFL-013"
UNKNOWN_SETTING = "CR-WFL-014"

MAX_TEMPLATE_BYTES = 64 * 1024
"""The platform accepts only templates smaller than this."""

_ROLE_KEYS = ("run", "on", "serves", "template")
_TEMPLATE_KEY = re.compile(r'"([a-z_]+)":')


def find_problems(path: pathlib.Path, commands: Collection[str]) -> list[checks.Problem]:
    """Return the problems of a deploy file; it lies in ``deploy/`` of its repository."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeError, tomllib.TOMLDecodeError) as error:
        return [checks.Problem(UNREADABLE, "$", str(error))]
    return list(_check(document, path.parent.parent, commands))


def _check(
    document: dict[str, Any], root: pathlib.Path, commands: Collection[str]
) -> Iterator[checks.Problem]:
    if not document.get("build"):
        yield checks.Problem(MISSING_KEY, "$.build", "required key is missing")
    for name, role in document.get("roles", {}).items():
        where = f"$.roles.{name}"
        for key in _ROLE_KEYS:
            if key not in role:
                yield checks.Problem(MISSING_KEY, f"{where}.{key}", "required key is missing")
        command = str(role.get("run", "")).rpartition(" ")[2]
        if command not in commands:
            text = f"unknown command {command!r}"
            yield checks.Problem(UNKNOWN_COMMAND, f"{where}.run", text)
        yield from _check_template(root / str(role.get("template", "")), f"{where}.template")


def _check_template(path: pathlib.Path, where: str) -> Iterator[checks.Problem]:
    if not path.is_file() or path.stat().st_size >= MAX_TEMPLATE_BYTES:
        text = "template file is missing or not smaller than 64 KiB"
        yield checks.Problem(BAD_TEMPLATE, where, text)
        return
    known = {field.encode_name for field in msgspec.structs.fields(settings.WorkflowSettings)}
    for key in _TEMPLATE_KEY.findall(path.read_text(encoding="utf-8")):
        if key not in known:
            yield checks.Problem(UNKNOWN_SETTING, where, f"unknown setting {key!r}")
