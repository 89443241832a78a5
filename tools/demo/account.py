"""Collect what callers were told, and compare it with what endpoints and workers did."""

import collections
import enum

import msgspec

from tools.demo import deployment


class Told(enum.Enum):
    """What a caller was told in the end."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "outcome-unknown"
    NO_ANSWER = "no-answer"


class Sheet(msgspec.Struct):
    """The account of one run: requests by key, and problems that were found."""

    told: dict[str, Told] = msgspec.field(default_factory=dict)
    codes: dict[str, int] = msgspec.field(default_factory=dict)
    problems: list[str] = msgspec.field(default_factory=list)

    def count(self) -> dict[str, int]:
        """Return how many keys ended with each answer."""
        return dict(collections.Counter(told.value for told in self.told.values()))

    def note_code(self, headers: tuple[tuple[str, str], ...]) -> None:
        """Count the code of an answer that is not done."""
        code = {name.lower(): value for name, value in headers}.get("crocusrudder-code")
        if code:
            self.codes[code] = self.codes.get(code, 0) + 1

    def expect(self, condition: bool, problem: str) -> None:
        """Note a problem if a condition does not hold."""
        if not condition:
            self.problems.append(problem)

    def check_executions(self, executions: dict[str, int]) -> None:
        """Compare what callers were told with how often each key was executed."""
        for key, told in self.told.items():
            count = executions.get(key, 0)
            self.expect(count <= 1, f"order {key} was executed {count} times")
            if told is Told.DONE:
                self.expect(count == 1, f"order {key} was told done, but ran {count} times")
            if told is Told.NOT_RUN:
                self.expect(count == 0, f"order {key} was told not-run, but ran {count} times")

    def check_steps(self, audit: dict, expected: dict[str, int]) -> None:
        """Check that each step of each task was executed exactly once, in one place at a time."""
        counts = collections.Counter((step["task"], step["step"]) for step in audit["steps"])
        for task, steps in expected.items():
            for step in range(1, steps + 1):
                count = counts[(task, step)]
                self.expect(count == 1, f"step {step} of task {task} was executed {count} times")
        for task, overlap in find_overlaps(audit):
            self.problems.append(f"task {task} ran in two places: {overlap}")


def find_overlaps(audit: dict) -> list[tuple[str, str]]:
    """Return the tasks of which two runs were active at the same time."""
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


async def collect_executions(running: deployment.Deployment) -> dict[str, int]:
    """Return the executions per key over all endpoints."""
    total: collections.Counter[str] = collections.Counter()
    for place in running.layout.agents:
        for schema_version in (1, 2):
            port = place.endpoint_port + 40 * (schema_version - 1)
            if await running.is_healthy(port, "/audit"):
                total.update((await running.get_json(port, "/audit"))["executions"])
    return dict(total)


def read_outcome(headers: tuple[tuple[str, str], ...]) -> Told:
    """Return what a response tells about its request."""
    outcome = {name.lower(): value for name, value in headers}.get("crocusrudder-outcome", "")
    return Told(outcome) if outcome else Told.NO_ANSWER
