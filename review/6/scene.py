"""The owner is killed while more runs end on a worker than one list names.

See ``claim.txt``.
"""

import signal
import time

from review import scene_2

RUN_SECONDS = 5.0
TASKS = 1_500
JOB = "5c0e7a21d94b36f8"
CONTENT = {
    "spec": "kitchen sheets",
    "steps": [{"taskCount": TASKS, "cpu": 80, "memMb": 64, "estRuntimeMs": 5_000}],
}
KILL_AFTER_SECONDS = 3.5
"""Time from the last start to the kill; the runs end before another entry takes over."""
RESTART_SECONDS = 2.0
"""Time from the kill to the restart by the platform."""


def play(fleet: scene_2.Fleet, record: scene_2.Record) -> int:
    if not scene_2.wait_for(lambda: fleet.find_owner() is not None, 15.0):
        raise RuntimeError("no entry owns the workers")
    time.sleep(2.0)
    if not scene_2.submit(fleet, record, JOB, CONTENT):
        raise RuntimeError("the job was not accepted")
    if not scene_2.wait_for(lambda: len(fleet.list_starts()) >= TASKS, 10.0):
        raise RuntimeError(f"only {len(fleet.list_starts())} tasks have started")
    record.write(f"{TASKS} tasks have started")
    time.sleep(KILL_AFTER_SECONDS)
    if scene_2.is_troubled():
        owner = fleet.find_owner()
        fleet.send_signal(owner, signal.SIGKILL)
        fleet.wait_for_exit(owner)
        record.write(f"SIGKILL to {owner}, which owned the workers")
        time.sleep(RESTART_SECONDS)
        fleet.start_entry(owner)
        record.write(f"{owner} is started again")
    scene_2.wait_for(lambda: is_completed(fleet, record), 40.0, 1.0)
    time.sleep(2.0)
    runs = fleet.list_runs()
    pairs = scene_2.list_twice(runs)
    record.write(f"{len(runs)} runs of {TASKS} tasks; {len(pairs)} times TWICE")
    record.write_runs(runs, {earlier["task"] for earlier, _ in pairs})
    return scene_2.BROKEN if pairs else scene_2.HELD


def is_completed(fleet: scene_2.Fleet, record: scene_2.Record) -> bool:
    for entry in fleet.entries:
        status, answer = scene_2.call(fleet, record, entry, "GET", JOB)
        if status == 200:
            return answer["state"] == "completed"
    return False


if __name__ == "__main__":
    scene_2.play(play, __file__, run_seconds=RUN_SECONDS)
