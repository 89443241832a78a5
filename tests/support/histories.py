"""Size of generated histories: fixed in CI, larger and random with ``make fuzz``."""

import os

_EXAMPLES = os.environ.get("CROCUSRUDDER_EXAMPLES", "")
IS_DERANDOMISED = not _EXAMPLES


def count_examples(default: int) -> int:
    """Return how many histories to generate; CI uses the default."""
    return int(_EXAMPLES) if _EXAMPLES else default
