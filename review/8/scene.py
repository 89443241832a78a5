"""A few scheduled jobs that can never be done keep all other jobs from running.

See ``claim.txt``.
"""

import time

from review import scene_2

CONTENT = {"spec": "tray", "steps": [{"taskCount": 2, "cpu": 500, "estRuntimeMs": 300}]}
HOPELESS = {
    "spec": "round",
    "steps": [{"taskCount": 1, "cpu": 500, "estRuntimeMs": 300, "requires": "b"}],
    "maxRuns": 100_000,
    "intervalMs": 60_000,
}
"""A job whose times have all come, as it names none to begin with, and whose label no worker has.
"""
EARLIER_JOBS = [f"{number:016x}" for number in range(1, 115)]
HOPELESS_JOBS = [f"{number:016x}" for number in range(0xF1, 0xF7)]
LATER_JOBS = [f"{number:016x}" for number in range(201, 213)]
"""The hopeless jobs are at most 6 of 120, a share of 0.05."""
INTERVAL_SECONDS = 0.05
FINISH_SECONDS = 14.0
"""``finish_s`` of the users' pages."""
PAUSE_SECONDS = 4.0
"""Time from the hopeless jobs to the next ones."""
LATER_SECONDS = 15.0
LATER_INTERVAL_SECONDS = 0.7
IDLE_SECONDS = 3.0
"""Time for which a job may have nothing running after that."""


def play(fleet: scene_2.Fleet, record: scene_2.Record) -> int:
    if not scene_2.wait_for(lambda: fleet.find_owner() is not None, 15.0):
        raise RuntimeError("no entry owns the workers")
    time.sleep(2.0)
    accepted = [job for job in EARLIER_JOBS if submit(fleet, record, job, CONTENT)]
    if scene_2.is_troubled():
        for job in HOPELESS_JOBS:
            submit(fleet, record, job, HOPELESS)
    time.sleep(PAUSE_SECONDS)
    ends_at = time.monotonic() + LATER_SECONDS
    for job in LATER_JOBS:
        if time.monotonic() < ends_at and submit(fleet, record, job, CONTENT):
            accepted.append(job)
        time.sleep(LATER_INTERVAL_SECONDS)
    record.write(f"{len(accepted)} jobs that can be done were accepted; the traffic has ended")
    time.sleep(FINISH_SECONDS + IDLE_SECONDS)
    runs = fleet.list_runs()
    record.write_runs(runs)
    running = [run for run in runs if run["end"] is None]
    record.write(f"{len(running)} tasks are running on the workers of 64 cores each")
    begun = {run["task"].partition(".")[0] for run in runs}
    lost = [job for job in accepted if job not in begun]
    record.write(f"accepted, and nothing has run of: {lost}")
    record.write(f"processes that ended by themselves: {fleet.list_exited()}")
    return scene_2.BROKEN if lost else scene_2.HELD


def submit(fleet: scene_2.Fleet, record: scene_2.Record, job: str, content: dict) -> bool:
    """Hand a job in at one entry after the other; return whether it was accepted."""
    accepted = any(
        scene_2.call(fleet, record, entry, "POST", job, content)[0] == 200
        for entry in fleet.entries
    )
    time.sleep(INTERVAL_SECONDS)
    return accepted


if __name__ == "__main__":
    scene_2.play(play, __file__)
