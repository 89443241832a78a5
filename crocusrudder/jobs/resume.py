"""Find the checkpoint from which a run resumes.

Checkpoints are recorded in the chunk row with a delay, so a lost worker may have taken newer ones.
They are found by their keys, which contain the epoch of the run.
"""

import itertools

from crocusrudder.core import ids

MAX_PROBES = 8
"""Limit on the epochs that are probed; most checkpoints are of the run that was lost last."""


def make_checkpoint_key(task: ids.TaskId, epoch: ids.TaskEpoch) -> str:
    """Return the key under which the runtime stores the checkpoint of a run."""
    return f"{task}/{epoch}/checkpoint"


def list_checkpoints(task: ids.TaskId, epoch: ids.TaskEpoch, recorded: str) -> tuple[str, ...]:
    """Return the checkpoint keys to try for a run, newest first.

    The last one is the recorded checkpoint, or empty for a start from the beginning.
    """
    earlier = (make_checkpoint_key(task, ids.TaskEpoch(e)) for e in range(epoch - 1, 0, -1))
    later = itertools.takewhile(lambda key: key != recorded, earlier)
    return (*itertools.islice(later, MAX_PROBES), recorded)
