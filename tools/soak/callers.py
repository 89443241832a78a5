"""Callers that submit, cancel and query jobs, and what they observed."""

import collections
import functools
import itertools
import random
import threading
import time
from collections.abc import Mapping
from collections.abc import Set

from tools.soak import checks
from tools.standin.users import deployment as deployments
from tools.standin.users import worker

JOB = {
    "spec": "soak",
    "steps": [
        {"taskCount": 3, "cpu": checks.TASK_MILLICORES},
        {"taskCount": 2, "cpu": checks.TASK_MILLICORES, "after": [0]},
    ],
}
HOPELESS_JOB = {
    "spec": "soak",
    "steps": [{"taskCount": 1, "cpu": checks.TASK_MILLICORES, "requires": "no-worker"}],
    "maxRuns": 50_000,
}
"""A job of occurrences that are all due and that no worker suits."""
EMPTY_JOB = {"spec": "soak", "steps": [], "maxRuns": 1_000_000_000}
"""A malformed job."""
ODD_NUMBERS = (5e-324, 1e-310, 1e-300, 0.001, 0.5, 1, 1e15)
"""Latency targets and estimates that are accepted and of no use."""
HOPELESS_JOBS = 12
ODD_SUBMIT_INTERVAL_SECONDS = 0.5
DEADLY_SHARE = 0.1
BURST_SHARE = 0.1
BURST_JOBS = 6
"""Number of jobs that come at once in a burst, enough to fill the workers several times over."""
CANCEL_SHARE = 0.3
LASTING_SHARE = 0.7
"""Share of the jobs to be cancelled whose tasks run much longer than a cancellation may take."""
PROMPT_SHARE = 0.5
PROMPT_DELAY_SECONDS = (0.0, 0.5)
LATE_DELAY_SECONDS = (0.5, 6.0)
"""Bounds of the time from the acceptance of a job to its cancellation."""
MAX_TRIES = 4
"""Number of times that a caller submits a job that is refused, at intervals of the submissions."""
SUBMIT_INTERVAL_SECONDS = 0.7
QUERY_INTERVAL_SECONDS = 0.5
CONNECTION_USE_INTERVAL_SECONDS = 0.1
CANCEL_INTERVAL_SECONDS = 0.05
CANCEL_RETRY_SECONDS = 0.3


class Callers:
    """Submit and cancel jobs and query their states, each in a thread."""

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._generator = random.Random(seed)
        self._deadly_generator = random.Random(f"deadly {seed}")
        self._burst_generator = random.Random(f"burst {seed}")
        self._cancel_generator = random.Random(f"cancel {seed}")
        self._finished = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lasting: set[str] = set()
        self._cancel_delays: dict[str, float] = {}
        self._cancels_due: dict[str, float] = {}
        self._deadly: set[str] = set()
        self._statuses: dict[str, list[int]] = {}
        self._states: dict[str, list[str]] = collections.defaultdict(list)
        self._cancellations: dict[str, float | None] = {}
        self._problems: list[str] = []

    @property
    def problems(self) -> list[str]:
        """Return the wrong answers to submissions that no worker suits or that are malformed."""
        return self._problems

    @property
    def accepted(self) -> set[str]:
        return {job for job, statuses in list(self._statuses.items()) if 200 in statuses}

    @property
    def refused(self) -> set[str]:
        """Return the jobs of which every submission was reported as not run."""
        return {job for job, statuses in self._statuses.items() if set(statuses) == {503}}

    @property
    def states(self) -> dict[str, list[str]]:
        """Return the states that were reported for each accepted job, in order."""
        return {job: self._states[job] for job in self.accepted}

    @property
    def cancellations(self) -> Mapping[str, float | None]:
        """Return the times at which cancellations were acknowledged; None if one was not."""
        return self._cancellations

    @property
    def deadly(self) -> Set[str]:
        """Return the jobs whose tasks crash the workers that start them."""
        return self._deadly

    def start(self) -> None:
        """Start to submit, cancel and query jobs."""
        targets = (
            self._submit_until_finished,
            self._query_until_finished,
            self._cancel_until_done,
            self._submit_odd_until_finished,
            *(
                functools.partial(self._keep_using_connection, entry)
                for entry in self._deployment.entries
            ),
        )
        self._threads = [threading.Thread(target=target) for target in targets]
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Submit no more jobs, and wait for the cancellations that are due."""
        self._finished.set()
        for thread in self._threads:
            thread.join()

    def wait_for_results(self, limit: float) -> None:
        """Query the jobs until all are in a state in which they may end, or until the limit."""
        while not self._query_jobs() and time.monotonic() < limit:
            time.sleep(QUERY_INTERVAL_SECONDS)

    def list_final_states(self, job: str) -> Set[str]:
        """Return the states in which a job may end."""
        return checks.list_final_states(job, self._deadly, self._cancellations)

    def _submit_until_finished(self) -> None:
        numbers = itertools.count(1)
        returning: list[str] = []
        while not self._finished.wait(SUBMIT_INTERVAL_SECONDS):
            is_burst = self._burst_generator.random() < BURST_SHARE
            count = BURST_JOBS if is_burst else 1
            new = [f"{number:016x}" for number in itertools.islice(numbers, count)]
            for job in new:
                self._draw_job(job)
            returning = [job for job in [*returning, *new] if not self._submit(job)]

    def _submit_odd_until_finished(self) -> None:
        """Submit jobs that cannot be done, malformed ones and odd numbers beside the others."""
        entries = itertools.cycle(self._deployment.entries)
        numbers = itertools.cycle(ODD_NUMBERS)
        for number in itertools.count():
            if self._finished.wait(ODD_SUBMIT_INTERVAL_SECONDS):
                return
            content = EMPTY_JOB
            if number % 3 == 0:
                content = _make_odd_job(next(numbers))
            elif number % 3 == 1 and number < 3 * HOPELESS_JOBS:
                content = HOPELESS_JOB
            job = f"{2**63 + number:016x}"
            status, _ = self._deployment.call(next(entries), "POST", job, content)
            if status == (200 if content is EMPTY_JOB else 400):
                self._problems.append(f"REFUSED: {job} was answered with {status}: {content}")

    def _draw_job(self, job: str) -> None:
        if self._deadly_generator.random() < DEADLY_SHARE:
            self._deadly.add(job)
        generator = self._cancel_generator
        is_cancelled = generator.random() < CANCEL_SHARE
        is_lasting = generator.random() < LASTING_SHARE
        is_prompt = generator.random() < PROMPT_SHARE
        delay = generator.uniform(*(PROMPT_DELAY_SECONDS if is_prompt else LATE_DELAY_SECONDS))
        if is_cancelled:
            self._cancel_delays[job] = delay
            if is_lasting and job not in self._deadly:
                self._lasting.add(job)

    def _submit(self, job: str) -> bool:
        """Submit a job to two entries; return whether it was accepted or its caller gives up."""
        statuses = self._statuses.setdefault(job, [])
        for entry in self._generator.sample(list(self._deployment.entries), 2):
            status = self._deployment.call(entry, "POST", job, self._make_job(job))[0]
            if status == 200:
                # Set before the status, so that a query finds the cancellation of an accepted job.
                if job in self._cancel_delays:
                    self._cancellations[job] = None
                    self._cancels_due[job] = time.monotonic() + self._cancel_delays[job]
                statuses.append(status)
                return True
            statuses.append(status)
        if job in self._cancel_delays and set(statuses) != {503}:
            # The caller gives up without an answer, so the submission may still be performed.
            self._cancellations[job] = None
            self._cancels_due[job] = time.monotonic() + self._cancel_delays[job]
            return True
        return len(statuses) >= 2 * MAX_TRIES

    def _make_job(self, job: str) -> dict:
        if job in self._deadly:
            return JOB | {"spec": worker.DEADLY_SPEC}
        return JOB | ({"spec": worker.LASTING_SPEC} if job in self._lasting else {})

    def _cancel_until_done(self) -> None:
        """Repeat each cancellation that is due until it is acknowledged."""
        limit = float("inf")
        while time.monotonic() < limit and not (self._finished.is_set() and not self._cancels_due):
            if self._finished.is_set() and limit == float("inf"):
                limit = time.monotonic() + checks.COMPLETION_TIMEOUT_SECONDS
            now = time.monotonic()
            for job, due_at in list(self._cancels_due.items()):
                if due_at <= now:
                    self._cancel(job)
            time.sleep(CANCEL_INTERVAL_SECONDS)

    def _cancel(self, job: str) -> None:
        entry = self._generator.choice(list(self._deployment.entries))
        status, _ = self._deployment.call(entry, "DELETE", job)
        if status in (200, 410):
            self._cancellations[job] = time.monotonic()
            del self._cancels_due[job]
        else:
            self._cancels_due[job] = time.monotonic() + CANCEL_RETRY_SECONDS

    def _keep_using_connection(self, entry: str) -> None:
        """Send requests on one connection to an entry, also after the entry was told to stop."""
        while not self._finished.wait(CONNECTION_USE_INTERVAL_SECONDS):
            self._deployment.call(entry, "GET", "")

    def _query_until_finished(self) -> None:
        while not self._finished.wait(QUERY_INTERVAL_SECONDS):
            self._query_jobs()

    def _query_jobs(self) -> bool:
        """Query the accepted jobs that have not been reported in a final state twice.

        Returns whether all queried jobs are in a state in which they may end.
        """
        complete = True
        for job in self.accepted:
            states = self._states[job]
            final_states = self.list_final_states(job)
            if sum(state in final_states for state in states) >= 2:
                continue
            entry = self._generator.choice(list(self._deployment.entries))
            status, content = self._deployment.call(entry, "GET", job)
            if status in (200, 410):
                states.append(content["state"] if status == 200 else "unknown")
            complete = complete and bool(final_states.intersection(states[-1:]))
        return complete


def _make_odd_job(number: float) -> dict[str, object]:
    """Return a job with a latency target and an estimate of this many milliseconds."""
    step = {"taskCount": 1, "cpu": checks.TASK_MILLICORES, "image": "web"}
    return {"spec": "soak", "steps": [{**step, "targetMs": number, "estRuntimeMs": number}]}
