"""What the scripts of the second review share: the deployment, the record and the checks."""

import collections
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable

from tools.standin.users import deployment

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

STOP_SECONDS = 4.0
"""Time after SIGTERM from which a process is killed; it may hang."""


class Fleet(deployment.Deployment):
    """A deployment on the review's stand-in of the platform."""

    def start(self) -> None:
        self._spawn("platform", "-m", "review.platform_2")
        for name in self.entries:
            self.start_entry(name)
        for name in self.agents:
            self.start_agent(name)
        for name in self.entries:
            self.wait_until(name, lambda name=name: self.is_ready(name))

    def stop(self) -> None:
        """End all processes; kill those that do not end in time."""
        processes = list(self._processes.values())
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        limit = time.monotonic() + STOP_SECONDS
        for process in processes:
            try:
                process.wait(max(limit - time.monotonic(), 0.01))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        super().stop()

    def read_late_start(self) -> dict:
        """Return when the late start arrived and at which worker."""
        return self._call(self.store_port, "GET", "/standin/late")[1]


class Record:
    """The record of one run: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        seconds = (time.monotonic() if at is None else at) - self._started_at
        print(f"{seconds:8.3f} s  {text}", file=self._file, flush=True)

    def write_runs(self, runs: list[dict], tasks: set[str] | None = None) -> None:
        """Write the runs of some tasks, in the order of their starts."""
        for run in sorted(runs, key=lambda run: run["begin"]):
            if tasks is None or run["task"] in tasks:
                end = "-" if run["end"] is None else f"{run['end'] - self._started_at:.3f}"
                noted = run.get("noted")
                noted = "-" if noted is None else f"{noted - self._started_at:.3f}"
                self.write(
                    f"{run['worker']} starts {run['task']} run {run['run']}; "
                    f"end {end} {run['how'] or 'open'}, noted {noted}",
                    run["begin"],
                )


def is_troubled() -> bool:
    """Return whether the script brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def call(
    fleet: Fleet, record: Record, entry: str, method: str, path: str, content: object = None
) -> tuple[int, dict]:
    """Call an entry as a client does, and record the call and its answer."""
    text = "" if content is None else json.dumps(content)
    record.write(f"client -> {entry}: {method} {path} {text}")
    status, answer = fleet.call(entry, method, path, content)
    record.write(f"{entry} -> client: {status or 'no answer'} {json.dumps(answer)}")
    return status, answer


def submit(fleet: Fleet, record: Record, job: str, content: dict) -> bool:
    """Hand a job in until it is accepted, each time at the next entry."""
    for _ in range(3):
        for entry in fleet.entries:
            if call(fleet, record, entry, "POST", job, content)[0] == 200:
                return True
        time.sleep(0.5)
    return False


def wait_for(condition: Callable[[], bool], seconds: float, interval: float = 0.1) -> bool:
    """Return whether a condition holds within a time."""
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        if condition():
            return True
        time.sleep(interval)
    return False


def list_twice(runs: list[dict]) -> list[tuple[dict, dict]]:
    """Return the pairs of runs that break the rule TWICE, as the users' pages write it.

    Either both work at the same time, or the later starts after the earlier has ended ``done`` and
    that end is taken note of, then or later.
    """
    by_task: dict[str, list[dict]] = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run["begin"]):
        by_task[run["task"]].append(run)
    pairs = []
    for found in by_task.values():
        for number, earlier in enumerate(found):
            for later in found[number + 1 :]:
                overlaps = earlier["end"] is None or later["begin"] < earlier["end"]
                is_done = earlier["how"] == "done" and earlier.get("noted") is not None
                if overlaps or (is_done and later["begin"] > earlier["end"]):
                    pairs.append((earlier, later))
    return pairs


def play(scene: Callable[[Fleet, Record], int], folder: str, **arguments: object) -> None:
    """Run a scene on a fresh deployment, and exit with its result."""
    # All processes are ended as well if the time limit of the script stops it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(pathlib.Path(folder).resolve().parent)
    record.write("with the disruption" if is_troubled() else "without the disruption")
    temporary = pathlib.Path(tempfile.mkdtemp())
    fleet = None
    result = COULD_NOT_RUN
    try:
        fleet = Fleet(temporary, **arguments)
        fleet.start()
        record.write("all processes have started")
        result = scene(fleet, record)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
    finally:
        if fleet is not None:
            fleet.stop()
        shutil.rmtree(temporary, ignore_errors=True)
    names = {HELD: "the rule held", BROKEN: "the rule is broken", COULD_NOT_RUN: "could not run"}
    record.write(names[result])
    print(names[result])
    sys.exit(result)
