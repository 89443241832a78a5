"""Read files given on the command line."""

import pathlib
from typing import Any

from crocusrudder.core import checks
from crocusrudder.core import documents
from crocusrudder.management import errors


def read_bytes(path: pathlib.Path) -> bytes:
    """Return the file's bytes; raise ``FileUnreadableError``."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.FileUnreadableError(str(error), "check the path") from error


def read_json(path: pathlib.Path) -> Any:
    """Return the file's JSON value; raise ``FileUnreadableError`` or ``CheckFailedError``."""
    value, problems = documents.decode_json(read_bytes(path))
    if problems:
        raise checks.CheckFailedError(problems)
    return value
