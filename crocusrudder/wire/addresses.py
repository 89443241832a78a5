"""Check addresses that come from other processes or from the store."""

import re

MAX_PORT = 65_535

_ADDRESS = re.compile(r"[A-Za-z0-9._\-\[\]:%]+:([0-9]{1,5})")


def is_valid(address: str) -> bool:
    """Return whether an address is ``host:port``, with a host name or a numeric address."""
    match = _ADDRESS.fullmatch(address)
    return match is not None and 0 < int(match[1]) <= MAX_PORT
