"""Tasks run twice after a worker went dark for a moment and started again under its id."""

import itertools
import random
import time

from review import scene

AGENTS = 8
PLAY_SECONDS = 55.0
JOB_INTERVAL_SECONDS = 1.0
TASKS = 128
RUN_SECONDS = 0.3
DARK_SECONDS = 0.5
PAUSE_SECONDS = (1.5, 2.2)
SEED = 1
JOB = {
    "spec": f"seconds={RUN_SECONDS}",
    "steps": [{"taskCount": TASKS, "cpu": 500, "memMb": 10, "estRuntimeMs": 300}],
}


def check(stage: scene.Scene, has_trouble: bool) -> bool:
    """Return whether no task had two runs at a time, or a start after a noted end ``done``."""
    generator = random.Random(SEED)
    begun_at = time.monotonic()
    next_job_at, next_dark_at = begun_at, begun_at + PAUSE_SECONDS[0]
    for number in itertools.count():
        now = time.monotonic()
        if now > begun_at + PLAY_SECONDS:
            break
        if now >= next_job_at:
            stage.submit(f"00000000000{number:05x}", JOB)
            next_job_at += JOB_INTERVAL_SECONDS
        if now >= next_dark_at:
            worker = f"w-agent-{generator.randint(1, AGENTS)}"
            if has_trouble:
                stage.darken(worker, DARK_SECONDS)
            next_dark_at = now + generator.uniform(*PAUSE_SECONDS)
        time.sleep(0.02)
    time.sleep(8.0)
    runs = sorted(stage.list_runs(), key=lambda run: run["begin"])
    pairs = list(itertools.chain.from_iterable(map(_find_twice, _group(runs))))
    for pair in pairs:
        stage.write_runs(pair)
    stage.note(f"{len(runs)} runs; {len(pairs)} tasks were run twice")
    return not pairs


def _group(runs: list[dict]) -> list[list[dict]]:
    found: dict[str, list[dict]] = {}
    for run in runs:
        found.setdefault(run["task"], []).append(run)
    return list(found.values())


def _find_twice(runs: list[dict]) -> list[tuple[dict, dict]]:
    """Return the runs of one task that the rule does not allow, each with the run before."""
    return [
        (earlier, later)
        for earlier, later in itertools.pairwise(runs)
        if earlier["end"] is None
        or later["begin"] < earlier["end"]
        or (earlier["how"] == "done" and "noted" in earlier)
    ]


if __name__ == "__main__":
    scene.run_case(check, __file__, count_per_role=AGENTS)
