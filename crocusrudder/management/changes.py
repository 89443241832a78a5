"""Submit configuration changes and resolve their outcome when the response is lost."""

from typing import Any

from crocusrudder.management import client
from crocusrudder.management import errors


def submit_change(
    entry: client.Client, method: str, target: str, body: Any, change: str
) -> dict[str, Any]:
    """Submit a change and return the response; query the outcome if the response is lost.

    Raises ``RefusedError`` if the change was not accepted, and ``ResponseLostError`` with the
    change id if the outcome cannot be determined now.
    """
    try:
        return entry.call(method, target, body)
    except errors.RefusedError as error:
        if error.exit_code is not errors.ExitCode.UNKNOWN:
            raise
    except errors.ResponseLostError:
        pass
    return resolve_change(entry, change)


def resolve_change(entry: client.Client, change: str) -> dict[str, Any]:
    """Query the outcome of a change and return the response if it was accepted.

    Raises ``RefusedError`` if it was not accepted and never will be, ``ResponseLostError`` if the
    outcome is still unknown.
    """
    try:
        response = query_change(entry, change)
    except errors.CommandError as error:
        message = f"the outcome of change {change} is unknown ({error.message})"
        hint = f"query the outcome later: crocusrudder change show {change}"
        raise errors.ResponseLostError(message, hint) from error
    if response.get("state") != "accepted":
        raise errors.RefusedError(409, response)
    return response


def query_change(entry: client.Client, change: str) -> dict[str, Any]:
    """Return the outcome of a change; after "not-accepted" it can no longer be accepted.

    Every entry can report the outcome, so the next one is queried even if a response is lost.
    """
    last_error: errors.CommandError = errors.UnreachableError("no entry address given")
    for entry_client in entry.split_addresses():
        try:
            response = entry_client.call("GET", f"/v1/changes/{change}")
        except errors.CommandError as error:
            last_error = error
            continue
        if not isinstance(response, dict):
            raise errors.MalformedResponseError(
                f"outcome of change {change}: expected a JSON object, got {response!r:.80}"
            )
        return response
    raise last_error
