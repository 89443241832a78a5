"""The mechanisms behind the invariants I1 to I9 and ``truth``, with the tests that cover them.

A mechanism is disabled by replacing ``before`` by ``after`` in a copy of ``file``.
"""

import msgspec

SCENARIO = "tests.scenarios.test_scenarios.ScenarioTest.test_"
JOBS = "tests.jobs.test_faults."
JOB_HISTORIES = "tests.jobs.test_histories"
REQUESTS = "tests.requests."
INTERLEAVINGS = "tests.requests.test_interleavings"
RECORD_HISTORIES = "tests.records.test_histories"
OWNERSHIP = "tests.membership.test_ownership."


class Mechanism(msgspec.Struct, frozen=True):
    """A mechanism and its tests, of which at least one must fail without it."""

    point: str
    title: str
    file: str
    before: str
    after: str
    tests: tuple[str, ...]


MECHANISMS = (
    Mechanism(
        "I1",
        "the agent reserves capacity for a task only if it fits",
        "crocusrudder/jobs/capacity.py",
        "if not fits(size, subtract(self._capacity, self._reserved)):",
        "if False:",
        (JOB_HISTORIES,),
    ),
    Mechanism(
        "I1",
        "an endpoint is admitted only if it fits next to the reserved tasks",
        "crocusrudder/agent/endpoints.py",
        'if not self._reservations.try_reserve(("endpoint", name), size):',
        "if False:",
        ("tests.agent.test_endpoints",),
    ),
    Mechanism(
        "I2",
        "a task is restarted only after the lease of its worker has certainly expired",
        "crocusrudder/jobs/reconciler.py",
        "if now > self._workers.lease_expiry(cell.cell, task.worker):",
        "if view is None or view.is_unresponsive(now):",
        (SCENARIO + "holder_is_paused_past_its_lease", JOB_HISTORIES),
    ),
    Mechanism(
        "I2",
        "commits of an owner fail once another owner has raised the epoch",
        "crocusrudder/jobs/writer.py",
        "self._ownership.make_epoch_check(",
        "effects.RowCheck('absent', 0) or self._ownership.make_epoch_check(",
        ("tests.scenarios.test_fencing",),
    ),
    Mechanism(
        "I2",
        "the agent accepts commands only from the owner under the acknowledged epoch",
        "crocusrudder/membership/announcer.py",
        "return sender == self._owner and cell_epoch == self._cell_epoch",
        "return True",
        ("tests.membership.test_announcer",),
    ),
    Mechanism(
        "I2",
        "an owner acts only while its own lease renewal is recent",
        "crocusrudder/membership/cells.py",
        "            if cell.state is tracking.CellState.OWNED\n"
        "            and now < cell.valid_until\n"
        "            and not cell.is_releasing",
        "            if cell.state is tracking.CellState.OWNED",
        (OWNERSHIP + "RandomFaultsTest",),
    ),
    Mechanism(
        "I2",
        "the agent starts each task epoch once",
        "crocusrudder/jobs/runner.py",
        "        key = (message.task, message.epoch)\n"
        "        if message.epoch <= self._runs.get_epoch(message.task):",
        "        key = (message.task, message.epoch)\n        if False:",
        (JOBS + "StaleStartTest", JOB_HISTORIES),
    ),
    Mechanism(
        "I3",
        "a lost run resumes from its newest checkpoint, even if it is not recorded",
        "crocusrudder/jobs/resume.py",
        "return (*itertools.islice(later, MAX_PROBES), recorded)",
        "return (recorded,)",
        ("tests.jobs.test_resume",),
    ),
    Mechanism(
        "I3",
        "reports of an earlier epoch are rejected",
        "crocusrudder/jobs/chunks.py",
        "def is_stale(",
        "def is_stale(*ignored):\n    return False\n\n\ndef _is_stale_unused(",
        ("tests.jobs.test_chunks",),
    ),
    Mechanism(
        "I4",
        "an answer is accepted only for the attempt that awaits it",
        "crocusrudder/requests/attempts.py",
        "identity = (message.team, message.key, message.attempt)\n"
        "        return (self._recent if message.idempotent else self._attempts).get(identity)",
        "return None",
        (REQUESTS + "test_gate.OnceTest",),
    ),
    Mechanism(
        "I5",
        "an attempt reported as never started gets a tombstone",
        "crocusrudder/requests/attempts.py",
        "return self._attempts.add(identity, window, tombstone).state",
        "return tombstone.state",
        (REQUESTS + "test_gate", INTERLEAVINGS),
    ),
    Mechanism(
        "I5",
        "a query about an older window never gets the answer that the attempt never started",
        "crocusrudder/requests/attempts.py",
        "if not self._can_tombstone(window):",
        "if False:",
        (REQUESTS + "test_gate",),
    ),
    Mechanism(
        "I6",
        "the claim is committed before the first send",
        "crocusrudder/requests/ledger.py",
        "    if entry.state is RowState.RELEASED:\n        return Decision.CLAIM\n"
        "    return Decision.ASK_AGENT",
        "    return Decision.CLAIM",
        (INTERLEAVINGS, SCENARIO + "entry_dies_between_dispatch_and_answer"),
    ),
    Mechanism(
        "I6",
        "the agent runs an attempt once",
        "crocusrudder/requests/gate.py",
        "        known = self._log.find(message)\n        if known is not None:",
        "        known = None\n        if known is not None:",
        (REQUESTS + "test_gate.OnceTest",),
    ),
    Mechanism(
        "I7",
        "the agent refuses requests to a draining endpoint at once",
        "crocusrudder/requests/gate.py",
        "        if endpoint.draining:\n            return RefusalReason.DRAINING",
        "        if False:\n            return RefusalReason.DRAINING",
        (REQUESTS + "test_gate",),
    ),
    Mechanism(
        "I8",
        "a planned stop waits for requests in flight",
        "crocusrudder/agent/core.py",
        "return self._stopping and self._runner.drained and self._gate.is_drained(self._now)",
        "return self._stopping",
        (SCENARIO + "planned_stop_waits_for_requests_in_flight",),
    ),
    Mechanism(
        "I8",
        "the HTTP server finishes requests in flight",
        "crocusrudder/hosting/http_server.py",
        "        while self._tasks:\n            self._connection_ended.clear()",
        "        while False:\n            self._connection_ended.clear()",
        ("tests.hosting.test_http_server.StopTest",),
    ),
    Mechanism(
        "I9",
        "a process adopts only higher revisions",
        "crocusrudder/records/state.py",
        "        if revision <= self._revision:\n            return False",
        "        if False:\n            return False",
        (RECORD_HISTORIES, "tests.records.test_core"),
    ),
    Mechanism(
        "I9",
        "a change is committed only if the preceding revision is still the head",
        "crocusrudder/records/transactions.py",
        "effects.RowWrite(rows.HEAD_KEY, _make_head(call, revision), _get_version(head_row)),\n"
        "            effects.RowWrite(\n"
        "                rows.get_revision_key(revision),"
        " _make_revision(call, revision, incarnation), 0\n"
        "            ),",
        "effects.RowWrite(rows.HEAD_KEY, _make_head(call, revision), None),\n"
        "            effects.RowWrite(\n"
        "                rows.get_revision_key(revision),"
        " _make_revision(call, revision, incarnation), None\n"
        "            ),",
        (RECORD_HISTORIES, "tests.records.test_core"),
    ),
    Mechanism(
        "I9",
        "a push is repeated until the receiver reports the revision",
        "crocusrudder/records/replica.py",
        "        produced += self._push(now)\n        if now >= self._next_request:",
        "        if now >= self._next_request:",
        (SCENARIO + "pushes_are_lost",),
    ),
    Mechanism(
        "I3",
        "chunks of a cell that has lost its workers move to another cell",
        "crocusrudder/jobs/relocation.py",
        "cells = [cell for cell in self._ownership.owned(now) if self._has_no_workers(cell, now)]",
        "cells = []",
        (SCENARIO + "data_centre_is_lost_for_good",),
    ),
    Mechanism(
        "truth",
        "endpoints stay known while their cell has no owner",
        "crocusrudder/membership/catalogue.py",
        "known.expires_at = min(known.expires_at, now + INHERITED_RETENTION_SECONDS)",
        "del self._agents[agent]",
        (OWNERSHIP + "OwnershipTest",),
    ),
)
