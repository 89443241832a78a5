"""A small deployment for the cases, and the record of what callers and workers saw."""

import http.client
import itertools
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from tools.standin.users import deployment

HELD = 0
BROKEN = 1
NOT_RUN = 2
START_SECONDS = 10.0
"""Time that the processes get to start, after which the case has not run."""
MAX_STARTS = 2
"""Attempts to start the processes, each on other ports."""
STOP_SECONDS = 6.0
"""``graceS`` of the users' pages: time from SIGTERM to SIGKILL."""
CALLER_SECONDS = 3.0
"""Time for which a caller waits for an answer, as on the users' sheets."""
FINISH_SECONDS = 14.0
"""``finish_s`` of the users' pages."""


class CaseNotRunError(Exception):
    """The case could not be set up, so nothing can be said about the rule."""


class Scene(deployment.Deployment):
    """Entries, agents and workers as processes of their own, and the record of a case."""

    def __init__(
        self,
        folder: pathlib.Path,
        record: pathlib.Path,
        labels: Mapping[str, Sequence[str]] | None = None,
        entries: int = 3,
        **options: object,
    ) -> None:
        super().__init__(folder, **options)
        self.entries = dict(itertools.islice(self.entries.items(), entries))
        self._record = record.open("w")
        self._begun_at = time.monotonic()
        settings = folder / "platform.json"
        content = msgspec.json.decode(settings.read_bytes())
        settings.write_bytes(msgspec.json.encode(content | {"labels": labels or {}}))

    def start(self) -> None:
        """Start all processes and wait until an entry owns the workers."""
        self._spawn("platform", "-m", "review.platform")
        for name in self.entries:
            self.start_entry(name)
        for name in self.agents:
            self.start_agent(name)
        self.await_setup("entries ready", lambda: all(map(self.is_ready, self.entries)))
        self.await_setup("owner", lambda: self.find_owner() is not None)
        # All agents have reported by then.
        time.sleep(2.0)
        self.note(f"started {len(self.entries)} entries, {len(self.agents)} agents with workers")

    def stop(self) -> None:
        """Stop all processes; kill those that do not end within the grace period."""
        processes = list(self._processes.values())
        for process in processes:
            process.terminate()
        ends_at = time.monotonic() + STOP_SECONDS
        for process in processes:
            try:
                process.wait(max(ends_at - time.monotonic(), 0.0))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._processes.clear()
        super().stop()

    def await_setup(self, what: str, condition: Callable[[], bool]) -> None:
        """Wait until a condition of the set-up holds."""
        limit = time.monotonic() + START_SECONDS
        while not condition():
            if time.monotonic() > limit:
                raise CaseNotRunError(f"{what}: not within {START_SECONDS:g} s")
            time.sleep(0.1)

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f"{time.monotonic() - self._begun_at:8.3f} {text}"
        print(line, flush=True)
        self._record.write(line + "\n")
        self._record.flush()

    def ask(
        self,
        entry: str,
        method: str,
        job: str,
        content: object = None,
        timeout: float = CALLER_SECONDS,
    ) -> tuple[int, dict]:
        """Call an entry as a caller does, on a new connection, and record the call and its answer.

        The status is 0 if there was no answer in time.
        """
        port = self.entries[entry][2]
        connection = http.client.HTTPConnection(deployment.HOST, port, timeout=timeout)
        headers = {
            "Content-Type": "application/json",
            "X-Crocusrudder-Timeout-Ms": str(round(timeout * 1_000)),
        }
        body = None if content is None else json.dumps(content)
        try:
            connection.request(method, deployment.PREFIX + job, body, headers)
            response = connection.getresponse()
            status, payload = response.status, response.read()
        except (OSError, http.client.HTTPException):
            status, payload = 0, b""
        finally:
            connection.close()
        answer = json.loads(payload) if payload else {}
        sent = "" if body is None else f" {body}"
        self.note(f"{method} {job} at {entry}{sent} -> {status or 'no answer'} {answer}")
        return status, answer

    def get_state(self, entry: str, job: str) -> str:
        """Return a job's state as an entry shows it; empty without an answer."""
        return self.ask(entry, "GET", job)[1].get("state", "")

    def submit(self, job: str, content: dict) -> None:
        """Hand a job in at the first entry, and at the others if that does not accept it."""
        if not any(200 <= self.ask(entry, "POST", job, content)[0] < 300 for entry in self.entries):
            raise CaseNotRunError(f"job {job} was not accepted")

    def kill_and_restart(self, name: str, down_seconds: float) -> None:
        """Kill an entry; the platform starts it again after a short delay."""
        self.note(f"SIGKILL for {name}, which owns the workers; up again after {down_seconds} s")
        self.kill(name)
        time.sleep(down_seconds)
        self.start_entry(name)

    def flap(self, worker: str, period_seconds: float, seconds: float) -> None:
        """Let a worker go down and up."""
        self.note(f"worker {worker} goes down and up, period {period_seconds} s, for {seconds} s")
        target = f"/standin/flap/{worker}/{period_seconds * 1e3:.0f}/{seconds * 1e3:.0f}"
        self._call(self.store_port, "PUT", target)

    def darken(self, worker: str, seconds: float) -> None:
        """Let a worker go dark, and start again under its id."""
        self.note(f"worker {worker} is dark for {seconds} s and starts again under its id")
        self._call(self.store_port, "PUT", f"/standin/darken/{worker}/{seconds * 1e3:.0f}")

    def begin_late_writes(self, job: str, delay_seconds: float) -> None:
        """Let the store do each write of a job's row late, and leave it unanswered."""
        self.note(f"answers to writes of job {job} are lost; done {delay_seconds} s later")
        self._call(self.store_port, "PUT", f"/standin/late/{job}/{delay_seconds * 1e3:.0f}")

    def end_late_writes(self) -> None:
        counts = self._call(self.store_port, "PUT", "/standin/in-time")[1]
        self.note(f"the store answers again; {counts['late']} of {counts['writes']} were lost")

    def write_runs(self, runs: Sequence[dict], limit: int = 300) -> None:
        """Record runs as the workers saw them."""
        for run in sorted(runs, key=lambda run: run["begin"])[:limit]:
            end = "-" if run["end"] is None else f"{run['end'] - self._begun_at:.3f}"
            noted = f", noted {run['noted'] - self._begun_at:.3f}" if "noted" in run else ""
            self.note(
                f"run {run['task']}#{run['run']} on {run['worker']} "
                f"from {run['begin'] - self._begun_at:.3f} to {end} "
                f"{run['how'] or 'running'}{noted}"
            )
        if len(runs) > limit:
            self.note(f"({len(runs) - limit} further runs are left out)")


def run_case(case: Callable[[Scene, bool], bool], script: str, **options: object) -> None:
    """Run a case in a temporary folder and exit with its result.

    ``case`` is called with the running scene and whether to cause the disruption, and returns
    whether the rule held.
    """
    record = pathlib.Path(script).with_name("record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as name:
        scene = _start(pathlib.Path(name), record, options)
        result = NOT_RUN
        if scene is not None:
            try:
                result = HELD if case(scene, has_trouble) else BROKEN
            except Exception as error:
                traceback.print_exc()
                scene.note(f"the case could not run: {error!r}")
            finally:
                scene.stop()
            scene.note(f"result {result}")
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(name, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    sys.exit(result)


def _start(folder: pathlib.Path, record: pathlib.Path, options: dict) -> Scene | None:
    """Return a running scene; None if its processes do not start."""
    for number in range(MAX_STARTS):
        attempt = folder / str(number)
        attempt.mkdir()
        scene = Scene(attempt, record, **options)
        try:
            scene.start()
            return scene
        except CaseNotRunError as error:
            scene.note(f"the processes have not started: {error}")
            scene.stop()
            for log in sorted(attempt.glob("*.log")):
                scene.note(f"{log.name}: {log.read_text(errors='replace')[-300:]!r}")
    return None
