"""Loading and validation of settings files."""

import pathlib
from typing import Any

import msgspec

from crocusrudder.conf import checks as conf_checks
from crocusrudder.conf import errors
from crocusrudder.conf import settings
from crocusrudder.core import checks
from crocusrudder.core import documents

_CHECK_REGISTRIES = {
    settings.EntrySettings: conf_checks.ENTRY_CHECKS,
    settings.AgentSettings: conf_checks.AGENT_CHECKS,
}


def read_file(path: pathlib.Path) -> bytes:
    """Return the contents of a file; raise ``SettingsUnreadableError`` if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        hint = "check the path and the permissions"
        raise errors.SettingsUnreadableError(str(error), hint) from error


def find_problems(data: bytes, type_: type[settings.Settings]) -> list[checks.Problem]:
    """Return all problems of a settings document, warnings included."""
    return _decode_and_check(data, type_)[1]


def parse(data: bytes, type_: type[settings.Settings]) -> settings.Settings:
    """Return the settings; raise ``CheckFailedError`` with all problems if one is an error."""
    document, problems = _decode_and_check(data, type_)
    if any(problem.severity is checks.Severity.ERROR for problem in problems):
        raise checks.CheckFailedError(problems)
    return document


def load_entry(path: pathlib.Path) -> settings.EntrySettings:
    """Return an entry's settings; raise ``CheckFailedError`` or ``SettingsUnreadableError``."""
    return parse(read_file(path), settings.EntrySettings)


def load_agent(path: pathlib.Path) -> settings.AgentSettings:
    """Return an agent's settings; raise ``CheckFailedError`` or ``SettingsUnreadableError``."""
    return parse(read_file(path), settings.AgentSettings)


def guess_type(value: Any) -> type[settings.Settings]:
    """Return the settings type of a decoded document: only an agent's has worker or capacity."""
    is_agent = isinstance(value, dict) and ("worker" in value or "capacity" in value)
    return settings.AgentSettings if is_agent else settings.EntrySettings


def _decode_and_check(
    data: bytes, type_: type[settings.Settings]
) -> tuple[Any, list[checks.Problem]]:
    value, problems = documents.decode_json(data)
    if value is None and problems:
        return None, problems
    problems += documents.find_problems(value, type_)
    if problems:
        return None, problems
    document = msgspec.convert(value, type_)
    return document, _CHECK_REGISTRIES[type_].run(document)
