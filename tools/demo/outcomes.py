"""Collect the outcomes reported to callers, and compare them with what has been executed."""

import collections
import enum

import msgspec

from tools.demo import deployment as deployments


class Outcome(enum.Enum):
    """Final outcome of a request, as reported to its caller."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "outcome-unknown"
    NO_ANSWER = "no-answer"


class Report(msgspec.Struct):
    """Outcomes by idempotency key, counts of error codes, and the problems found."""

    outcomes: dict[str, Outcome] = msgspec.field(default_factory=dict)
    codes: dict[str, int] = msgspec.field(default_factory=dict)
    problems: list[str] = msgspec.field(default_factory=list)

    def count(self) -> dict[str, int]:
        """Return the number of keys for each outcome."""
        return dict(collections.Counter(outcome.value for outcome in self.outcomes.values()))

    def record_code(self, headers: tuple[tuple[str, str], ...]) -> None:
        """Count the error code of a response, if it has one."""
        code = {name.lower(): value for name, value in headers}.get("crocusrudder-code")
        if code:
            self.codes[code] = self.codes.get(code, 0) + 1

    def check(self, condition: bool, problem: str) -> None:
        """Record a problem if a condition does not hold."""
        if not condition:
            self.problems.append(problem)

    def check_executions(self, executions: dict[str, int]) -> None:
        """Compare the reported outcomes with the number of executions of each key."""
        for key, outcome in self.outcomes.items():
            count = executions.get(key, 0)
            self.check(count <= 1, f"order {key} was executed {count} times")
            if outcome is Outcome.DONE:
                self.check(count == 1, f"order {key} was reported done, but ran {count} times")
            if outcome is Outcome.NOT_RUN:
                self.check(count == 0, f"order {key} was reported not-run, but ran {count} times")

    def check_steps(self, audit: dict, expected: dict[str, int]) -> None:
        """Check that each step was executed once, by only one active run of its task at a time."""
        counts = collections.Counter((step["task"], step["step"]) for step in audit["steps"])
        for task, steps in expected.items():
            for step in range(1, steps + 1):
                count = counts[(task, step)]
                self.check(count == 1, f"step {step} of task {task} was executed {count} times")
        for task, active_runs in find_concurrent_runs(audit):
            self.problems.append(f"task {task} had concurrent active runs: {active_runs}")


def find_concurrent_runs(audit: dict) -> list[tuple[str, str]]:
    """Return each task that had two active runs at the same time, with these runs."""
    active: dict[str, set[tuple[str, int]]] = collections.defaultdict(set)
    found = []
    for change in audit["runs"]:
        runs = active[change["task"]]
        run = (change["worker"], change["epoch"])
        if change["state"] in ("running", "suspended"):
            runs.add(run)
        else:
            runs.discard(run)
        if len(runs) > 1:
            found.append((change["task"], str(sorted(runs))))
    return found


async def collect_executions(deployment: deployments.Deployment) -> dict[str, int]:
    """Return the executions per key over all endpoints."""
    total: collections.Counter[str] = collections.Counter()
    for agent in deployment.layout.agents:
        for schema_version in (1, 2):
            port = agent.endpoint_port + 40 * (schema_version - 1)
            if await deployment.is_healthy(port, "/audit"):
                total.update((await deployment.get_json(port, "/audit"))["executions"])
    return dict(total)


def read_outcome(headers: tuple[tuple[str, str], ...]) -> Outcome:
    """Return the outcome that the headers of a response report."""
    outcome = {name.lower(): value for name, value in headers}.get("crocusrudder-outcome", "")
    return Outcome(outcome) if outcome else Outcome.NO_ANSWER
