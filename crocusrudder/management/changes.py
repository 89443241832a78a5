"""Make a change and find out what became of it when the answer is lost."""

from typing import Any

from crocusrudder.management import client
from crocusrudder.management import errors


def make_change(
    entry: client.Client, method: str, target: str, body: Any, change: str
) -> dict[str, Any]:
    """Return the entry's answer to a change; ask what became of it if the answer is lost.

    Raises ``RefusedError`` if it was not accepted, and ``AnswerLostError`` with the change id if
    that cannot be told now.
    """
    try:
        return entry.call(method, target, body)
    except errors.RefusedError as error:
        if error.exit_code is not errors.ExitCode.UNKNOWN:
            raise
    except errors.AnswerLostError:
        pass
    return settle(entry, change)


def settle(entry: client.Client, change: str) -> dict[str, Any]:
    """Return the answer for an accepted change.

    Raises ``RefusedError`` if it was not accepted and never will be, ``AnswerLostError`` if that
    is still unknown.
    """
    try:
        answer = look_up(entry, change)
    except errors.CommandError as error:
        message = f"it is unknown whether the change {change} was accepted ({error.message})"
        hint = f"ask later: crocusrudder change show {change}"
        raise errors.AnswerLostError(message, hint) from error
    if answer.get("state") != "accepted":
        raise errors.RefusedError(409, answer)
    return answer


def look_up(entry: client.Client, change: str) -> dict[str, Any]:
    """Return what became of a change; after "not-accepted" it can no longer be accepted."""
    answer = entry.call("GET", f"/v1/changes/{change}")
    if not isinstance(answer, dict):
        raise errors.MalformedAnswerError("the answer is not an object")
    return answer
