"""A job that a caller cancelled, and was told not to exist, is started seconds later."""

import time

from review import scene

JOB = "0000000000000005"
TIMEOUT_SECONDS = 1.0
LATE_SECONDS = 5.8
CANCEL_SECONDS = 3.0
"""``cancel_ms`` of the users' pages."""
OTHER_JOBS = 6
LASTING = {
    "spec": "seconds=600",
    "steps": [{"taskCount": 2, "cpu": 1000, "memMb": 100, "longRunning": True}],
}
OTHER = {"spec": "seconds=0.3", "steps": [{"taskCount": 1, "cpu": 500, "memMb": 10}]}


def check(stage: scene.Scene, has_trouble: bool) -> bool:
    """Return whether no task was started, or at work, too long after the cancellation."""
    if has_trouble:
        stage.begin_late_writes(JOB, LATE_SECONDS)
    for number in range(OTHER_JOBS):
        stage.ask("entry-2", "POST", f"00000000000001{number:02x}", OTHER)
    status, _ = stage.ask("entry-1", "POST", JOB, LASTING, TIMEOUT_SECONDS)
    if has_trouble:
        stage.end_late_writes()
    if has_trouble and status not in (0, 504):
        raise scene.CaseNotRunError("the submission was answered")
    status, _ = stage.ask("entry-2", "DELETE", JOB)
    cancelled_at = time.monotonic()
    if status not in (200, 410):
        raise scene.CaseNotRunError("the cancellation was not acknowledged")
    time.sleep(LATE_SECONDS + 4.0)
    runs = [run for run in stage.list_runs() if run["task"].startswith(JOB)]
    stage.write_runs(runs)
    late = [run for run in runs if run["begin"] > cancelled_at + CANCEL_SECONDS]
    for entry in stage.entries:
        stage.get_state(entry, JOB)
    stage.note(f"{len(late)} starts later than {CANCEL_SECONDS:g} s after the cancellation")
    return not late


if __name__ == "__main__":
    scene.run_case(check, __file__, count_per_role=3)
