"""One malformed submission makes each entry hang as soon as it owns the workers.

See ``claim.txt``.
"""

import time

from review import scene_2

MALFORMED_JOB = "00000000000000ff"
MALFORMED = {
    "spec": "nightly round",
    "steps": [],
    "maxRuns": 1_000_000_000,
    "startAtMs": 0,
    "intervalMs": 60_000,
}
"""A job that repeats each minute without an end, of which the steps are missing."""
CONTENT = {"spec": "tray", "steps": [{"taskCount": 2, "cpu": 500, "estRuntimeMs": 300}]}
EARLIER_JOBS = ("0000000000000001", "0000000000000002")
LATER_JOBS = ("0000000000000003", "0000000000000004")
INTERVAL_SECONDS = 0.7
FINISH_SECONDS = 14.0
"""``finish_s`` of the users' pages."""


def play(fleet: scene_2.Fleet, record: scene_2.Record) -> int:
    if not scene_2.wait_for(lambda: fleet.find_owner() is not None, 15.0):
        raise RuntimeError("no entry owns the workers")
    time.sleep(2.0)
    accepted = [job for job in EARLIER_JOBS if submit(fleet, record, job)]
    if scene_2.is_troubled():
        entry = next(iter(fleet.entries))
        scene_2.call(fleet, record, entry, "POST", MALFORMED_JOB, MALFORMED)
    accepted += [job for job in LATER_JOBS if submit(fleet, record, job)]
    record.write(f"{len(accepted)} jobs were accepted; the traffic has ended")
    time.sleep(FINISH_SECONDS)
    lost = [job for job in accepted if not is_answered(fleet, record, job)]
    ended = {run["task"].partition(".")[0] for run in fleet.list_runs() if run["how"] == "done"}
    never_run = [job for job in accepted if job not in ended]
    record.write_runs(fleet.list_runs())
    record.write(f"without an answer: {lost}; accepted and never run: {never_run}")
    record.write(f"processes that ended by themselves: {fleet.list_exited()}")
    return scene_2.BROKEN if lost or never_run else scene_2.HELD


def submit(fleet: scene_2.Fleet, record: scene_2.Record, job: str) -> bool:
    """Hand a job in at one entry after the other; return whether it was accepted."""
    accepted = any(
        scene_2.call(fleet, record, entry, "POST", job, CONTENT)[0] == 200
        for entry in reversed(fleet.entries)
    )
    time.sleep(INTERVAL_SECONDS)
    return accepted


def is_answered(fleet: scene_2.Fleet, record: scene_2.Record, job: str) -> bool:
    """Return whether any entry tells the state of a job."""
    return any(scene_2.call(fleet, record, entry, "GET", job)[0] == 200 for entry in fleet.entries)


if __name__ == "__main__":
    scene_2.play(play, __file__)
