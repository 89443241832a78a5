"""One large job keeps all jobs from running, and the entries from answering."""

import time

from review import scene

LARGE_JOB = "00000000000000aa"
TASKS = 5_000
SMALL_JOBS = [f"000000000000004{number}" for number in range(4)]
STILL_SECONDS = 3.0
LARGE = {
    "spec": "seconds=600",
    "steps": [
        {
            "taskCount": TASKS,
            "cpu": 10,
            "memMb": 10,
            "longRunning": True,
            "image": "hold",
            "targetMs": 5,
        }
    ],
}
SMALL = {
    "spec": "seconds=0.3",
    "steps": [{"taskCount": 2, "cpu": 500, "memMb": 10, "estRuntimeMs": 300}],
}


def check(stage: scene.Scene, has_trouble: bool) -> bool:
    """Return whether each accepted small job is done, or has begun, after the users' time."""
    if has_trouble:
        stage.submit(LARGE_JOB, LARGE)
    accepted = []
    for number, job in enumerate(SMALL_JOBS):
        time.sleep(0.5)
        entry = f"entry-{number % len(stage.entries) + 1}"
        if stage.ask(entry, "POST", job, SMALL)[0] == 200:
            accepted.append(job)
    time.sleep(scene.FINISH_SECONDS)
    begun_at = time.monotonic()
    states = {job: [stage.get_state(entry, job) for entry in stage.entries] for job in accepted}
    time.sleep(max(begun_at + STILL_SECONDS - time.monotonic(), 0.0))
    runs = stage.list_runs()
    stage.write_runs(runs, 20)
    begun = {run["task"].partition(".")[0] for run in runs}
    stage.note(f"{len(runs)} runs in all; states at the entries: {states}")
    still = [job for job in accepted if "completed" not in states[job] and job not in begun]
    stage.note(f"{len(still)} of {len(accepted)} accepted small jobs have had nothing running")
    return not still


if __name__ == "__main__":
    scene.run_case(check, __file__, count_per_role=3)
