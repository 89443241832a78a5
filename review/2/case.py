"""Runs of a scheduled job that ended done are started again after its owner was killed."""

import time

from review import scene

JOB = "0000000000000002"
OCCURRENCES = 6_800
INTERVAL_MS = 10
RUN_SECONDS = 0.02
DOWN_SECONDS = 0.5
PLAY_SECONDS = 92.0
"""Time that all occurrences get; they take 68 s."""
WATCH_SECONDS = 6.0


def check(stage: scene.Scene, has_trouble: bool) -> bool:
    """Return whether no task was started after an end ``done`` that had been noted."""
    content = {
        "spec": "x",
        "steps": [{"taskCount": 1, "cpu": 50, "memMb": 1, "estRuntimeMs": 20}],
        "maxRuns": OCCURRENCES,
        "startAtMs": round(time.time() * 1_000) + 500,
        "intervalMs": INTERVAL_MS,
    }
    stage.submit(JOB, content)
    limit = time.monotonic() + PLAY_SECONDS
    while len(_list_done(stage.list_runs())) < OCCURRENCES:
        if time.monotonic() > limit:
            raise scene.CaseNotRunError("too few occurrences ran in time")
        time.sleep(2.0)
    time.sleep(1.0)
    done = _list_done(stage.list_runs())
    stage.note(f"{len(done)} runs have ended done, and all these ends have been noted")
    stage.get_state("entry-2", JOB)
    if has_trouble:
        stage.kill_and_restart(stage.find_owner(), DOWN_SECONDS)
    time.sleep(WATCH_SECONDS)
    runs = stage.list_runs()
    noted = {run["task"]: run["noted"] for run in reversed(_list_done(runs))}
    again = [run for run in runs if run["begin"] > noted.get(run["task"], run["begin"])]
    stage.get_state("entry-2", JOB)
    names = {run["task"] for run in again}
    stage.write_runs([run for run in runs if run["task"] in names])
    stage.note(f"{len(again)} starts of tasks whose end done had been noted")
    return not again


def _list_done(runs: list[dict]) -> list[dict]:
    return [run for run in runs if run["how"] == "done" and "noted" in run]


if __name__ == "__main__":
    scene.run_case(check, __file__, count_per_role=3, run_seconds=RUN_SECONDS)
