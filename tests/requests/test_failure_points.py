"""Every failure point of a request and its answer, as one table.

The same table stands in ``docs/reference/outcomes.md``; a test compares the two.
"""

import pathlib
import unittest

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.requests import limits
from crocusrudder.requests import outcomes
from crocusrudder.wire import messages
from tests.requests import fakes

DOCUMENT = pathlib.Path(__file__).parents[2] / "docs" / "reference" / "outcomes.md"
KINDS = {
    outcomes.Done: "done",
    outcomes.NotRun: "not-run",
    outcomes.OutcomeUnknown: "outcome-unknown",
}

ANSWERS = "RequestAnswer,OutcomeReport"
STORE_DOWN = "store Commit=down ReadRows=down"
WARM_UP = "; ".join(["submit method=GET", "settle"] * 10)
UNTIL_EXECUTED = f"submit; settle hold=ForwardRequest; {STORE_DOWN}; settle"
FILL_ENTRY = "limits max_in_flight=2; submit key=k2; submit key=k3"

# Failure, steps, outcome and code of the last submission, executions of the key k1.
TABLE = [
    ("the entry is stopping", "stop e1; submit", "not-run", "CR-REQ-008", 0),
    ("the entry has no confirmed configuration", "unready; submit", "not-run", "CR-REQ-009", 0),
    ("no key", "submit key=", "not-run", "CR-REQ-001", 0),
    ("unknown service or order kind", "submit order_kind=x", "not-run", "CR-REQ-003", 0),
    ("the entry is full", f"{FILL_ENTRY}; submit", "not-run", "CR-REQ-005", 0),
    (
        "the entry is full; repeat",
        f"submit; settle; {FILL_ENTRY}; submit repeat=1",
        "outcome-unknown",
        "CR-REQ-005",
        1,
    ),
    ("no time left on arrival", "submit timeout=0", "not-run", "CR-REQ-007", 0),
    ("no endpoint is announced", "withdraw; submit", "not-run", "CR-REQ-004", 0),
    (
        "all endpoints are at their limits",
        "submit key=k2; submit key=k3; submit",
        "not-run",
        "CR-REQ-005",
        0,
    ),
    ("store down before the claim", f"{STORE_DOWN}; submit; settle", "not-run", "CR-REQ-006", 0),
    (
        "store down; repeat",
        f"submit; settle; {STORE_DOWN}; submit entry=e2 repeat=1; settle",
        "outcome-unknown",
        "CR-REQ-006",
        1,
    ),
    (
        "answer to the claim lost, claim stored",
        "submit; store Commit=answer-lost; run Commit; store; settle",
        "done",
        "",
        1,
    ),
    (
        "answer to the claim lost, claim not stored",
        "submit; store Commit=request-lost; run Commit; store; settle",
        "done",
        "",
        1,
    ),
    (
        "answer to the claim lost, store down until the deadline",
        "submit; store Commit=answer-lost ReadRows=down; settle; advance 11",
        "not-run",
        "CR-REQ-006",
        0,
    ),
    (
        "claim answered after the deadline",
        "submit; advance 11 hold=Commit; settle",
        "not-run",
        "CR-REQ-007",
        0,
    ),
    (
        "key reused with another body",
        "submit; settle; submit entry=e2 body=other; settle",
        "not-run",
        "CR-REQ-002",
        1,
    ),
    (
        "the ledger row cannot be read",
        "submit; corrupt; settle",
        "outcome-unknown",
        "CR-REQ-010",
        0,
    ),
    (
        "request to the agent lost",
        "submit; settle hold=ForwardRequest; drop ForwardRequest; advance 2",
        "not-run",
        "CR-REQ-010",
        0,
    ),
    (
        "request to the agent lost, retry allowed",
        f"{WARM_UP}; submit; settle hold=ForwardRequest; drop ForwardRequest; advance 2",
        "done",
        "",
        1,
    ),
    (
        "request to the agent duplicated",
        "submit; settle hold=ForwardRequest; repeat ForwardRequest; settle",
        "done",
        "",
        1,
    ),
    (
        "request arrives after the query",
        "submit; settle hold=ForwardRequest; advance 2 hold=ForwardRequest; settle",
        "not-run",
        "CR-REQ-010",
        0,
    ),
    (
        "request arrives after the deadline",
        "submit timeout=0.5; advance 0.6 hold=ForwardRequest,QueryOutcome; settle",
        "outcome-unknown",
        "CR-REQ-012",
        1,
    ),
    (
        "the agent is overloaded",
        "submit entry=e2 key=k2; submit entry=e2 key=k3; submit key=k4; submit; "
        "settle hold=CallEndpoint",
        "not-run",
        "CR-REQ-005",
        0,
    ),
    ("the agent is draining", "stop a1; submit; settle", "not-run", "CR-REQ-004", 0),
    ("the agent is starting", "starting; submit; settle", "not-run", "CR-REQ-009", 0),
    (
        "the endpoint refuses the connection",
        "endpoint unreached; submit; settle",
        "not-run",
        "CR-REQ-004",
        0,
    ),
    (
        "time runs out in the agent's queue",
        "submit entry=e2 key=k2; submit entry=e2 key=k3; settle hold=CallEndpoint; "
        "submit timeout=0.5; settle hold=CallEndpoint; advance 0.8 hold=CallEndpoint",
        "not-run",
        "CR-REQ-007",
        0,
    ),
    (
        "the agent lacks the configuration",
        "revision 2; submit; settle hold=QueryOutcome; advance 2 hold=QueryOutcome",
        "not-run",
        "CR-REQ-010",
        0,
    ),
    ("the request window is too old", "advance 1300; submit; settle", "not-run", "CR-REQ-010", 0),
    (
        "the endpoint fails after bytes were sent",
        "endpoint broken; submit; settle",
        "outcome-unknown",
        "CR-REQ-014",
        1,
    ),
    (
        "answer of the agent lost",
        "submit; settle hold=RequestAnswer; drop RequestAnswer; advance 2",
        "done",
        "",
        1,
    ),
    (
        "all answers lost until the deadline",
        f"submit; advance 11 hold={ANSWERS}",
        "outcome-unknown",
        "CR-REQ-012",
        1,
    ),
    (
        "repeat after a late answer",
        f"submit; advance 11 hold={ANSWERS}; settle; submit entry=e2 repeat=1; settle",
        "done",
        "",
        1,
    ),
    (
        "the agent is replaced",
        "submit; settle hold=CallEndpoint; start a1; advance 2",
        "outcome-unknown",
        "CR-REQ-013",
        1,
    ),
    (
        "the agent was replaced; repeat",
        "submit; settle hold=CallEndpoint; start a1; advance 2; submit entry=e2 repeat=1; "
        "advance 2",
        "outcome-unknown",
        "CR-REQ-013",
        1,
    ),
    (
        "the entry died after the dispatch; repeat",
        "submit; settle hold=CallEndpoint; start e1; settle; submit entry=e2 repeat=1; settle",
        "done",
        "",
        1,
    ),
    (
        "the entry died before the dispatch; repeat",
        "submit; settle hold=ForwardRequest; start e1; submit entry=e2 repeat=1; "
        "settle hold=ForwardRequest; settle",
        "done",
        "",
        1,
    ),
    (
        "still running; repeat",
        "submit timeout=30; settle hold=CallEndpoint; submit entry=e2 repeat=1; "
        "advance 11 hold=CallEndpoint",
        "outcome-unknown",
        "CR-REQ-011",
        0,
    ),
    ("store down after the execution", UNTIL_EXECUTED, "done", "", 1),
    (
        "store down after the execution; repeat through the same entry",
        f"{UNTIL_EXECUTED}; submit repeat=1; settle",
        "done",
        "",
        1,
    ),
    (
        "store down after the execution; repeat through another entry",
        f"{UNTIL_EXECUTED}; submit entry=e2 repeat=1; settle",
        "outcome-unknown",
        "CR-REQ-006",
        1,
    ),
    (
        "store was down after the execution and is back; repeat",
        f"{UNTIL_EXECUTED}; store; advance 2; submit entry=e2 repeat=1; settle",
        "done",
        "",
        1,
    ),
    (
        "response above the limit",
        "padding 2000000; submit; settle",
        "outcome-unknown",
        "CR-REQ-014",
        1,
    ),
    (
        "planned stop of the agent",
        "submit; settle hold=CallEndpoint; stop a1; settle",
        "done",
        "",
        1,
    ),
    (
        "planned stop of the entry",
        "submit; settle hold=CallEndpoint; stop e1; settle",
        "done",
        "",
        1,
    ),
    (
        "planned stop during a standing request",
        "submit method=GET standing=17 timeout=600; settle; stop a1; settle",
        "done",
        "",
        0,
    ),
    (
        "GET: all answers lost until the deadline",
        f"submit method=GET; advance 11 hold={ANSWERS}",
        "outcome-unknown",
        "CR-REQ-012",
        0,
    ),
    (
        "GET: the endpoint fails after bytes were sent",
        "endpoint broken; submit method=GET; settle",
        "outcome-unknown",
        "CR-REQ-014",
        0,
    ),
    (
        "GET: the endpoint fails after bytes were sent, retry allowed",
        f"{WARM_UP}; submit method=GET; settle hold=CallEndpoint; endpoint broken; "
        "run CallEndpoint; endpoint; settle",
        "done",
        "",
        0,
    ),
]


class Script:
    """Run the steps of a row: a word, its arguments and ``name=value`` options."""

    def __init__(self, world):
        self._world = world
        self.request = None

    def run(self, steps):
        """Run steps that are separated by semicolons."""
        for step in steps.split("; "):
            word, *rest = step.split()
            options = dict(part.split("=", 1) for part in rest if "=" in part)
            arguments = [part for part in rest if "=" not in part]
            if "hold" in options:
                options["hold"] = options["hold"].split(",")
            getattr(self, f"_{word}")(*arguments, **options)

    def _submit(self, timeout="10", body="tray", repeat="", **options):
        self.request = self._world.submit(
            timeout=float(timeout), body=body.encode(), repeat=bool(repeat), **options
        )

    def _settle(self, **options):
        self._world.settle(**options)

    def _advance(self, seconds, **options):
        self._world.advance(float(seconds), **options)

    def _drop(self, kind):
        self._world.take(kind)

    def _run(self, kind):
        self._world.run(self._world.take(kind))

    def _repeat(self, kind):
        item = self._world.take(kind)
        for _ in range(3):
            self._world.run(item)
            self._world.settle()

    def _store(self, **faults):
        self._world.store.faults = {getattr(effects, name): each for name, each in faults.items()}

    def _endpoint(self, fault=None):
        self._world.endpoint_fault = fault

    def _stop(self, name):
        self._world.stop(name)

    def _start(self, name):
        (self._world.start_entry if name[0] == "e" else self._world.start_agent)(name)

    def _unready(self):
        self._world.replica.ready = False

    def _starting(self):
        self._world.agents_ready = False

    def _withdraw(self):
        self._world.directory.endpoints.clear()

    def _revision(self, number):
        self._world.replica.revision = int(number)

    def _padding(self, size):
        self._world.response_padding = int(size)

    def _corrupt(self):
        key = "request/arriola/k1"
        self._world.store.rows[key] = effects.Row(key, {"x": 1}, 7)

    def _limits(self, **options):
        strict = msgspec.convert(options, limits.RequestLimits, strict=False)
        self._world.request_limits = strict
        self._world.start_entry("e1")


class FailurePointTest(unittest.TestCase):
    """Guards against an outcome that is not true, or not the documented one."""

    maxDiff = None

    def test_answers_as_the_table_says(self):
        for name, steps, kind, code, executions in TABLE:
            with self.subTest(name):
                world = fakes.World(agents=2 if "retry allowed" in name else 1)
                script = Script(world)
                script.run(steps)
                outcome = world.answers.get(script.request)
                reason = getattr(outcome, "reason", None)
                observed = (KINDS.get(type(outcome)), reason.value if reason else "")
                self.assertEqual(observed, (kind, code))
                self.assertEqual(world.executions["k1"], executions)
                world.advance(15)
                self.assertEqual(world.violations, [])
                self.assertLessEqual(world.executions["k1"], 1)

    def test_the_document_has_the_same_table(self):
        lines = DOCUMENT.read_text().splitlines()
        start = lines.index("| failure | outcome | code |") + 2
        rows = [
            tuple(cell.strip() for cell in line.strip("|").split("|"))
            for line in lines[start : start + len(TABLE)]
        ]
        self.assertEqual(rows, [(name, kind, code) for name, _, kind, code, _ in TABLE])
        self.assertFalse(lines[start + len(TABLE)].startswith("|"))

    def test_a_caller_that_left_before_the_send_causes_no_execution(self):
        world = fakes.World()
        request = world.submit()
        world.handle(world.processes["e1"], events.CallerLeft(request))
        world.advance(2)
        self.assertEqual(world.executions["k1"], 0)
        self.assertNotIn(request, world.answers)
        self.assertEqual(world.core("e1").in_flight, 0)


class StandingStopTest(unittest.TestCase):
    """Guards against a standing request that a planned stop cuts off or waits for."""

    def test_ends_the_segment_at_once_with_the_offset(self):
        for name in ("a1", "e1"):
            with self.subTest(name):
                world = fakes.World(agents=1)
                request = world.submit(method="GET", standing="17", timeout=600.0)
                world.settle()
                self.assertEqual(world.core("a1").in_flight, 1)
                world.stop(name)
                world.settle()
                response = world.answers[request].response
                self.assertEqual(response, messages.Response(204, (("resume-offset", "17"),), b""))
                self.assertEqual(world.core(name).in_flight, 0)
