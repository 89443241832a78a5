"""Generated histories of two entries and two agents under faults (I9)."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.records import test_core
from tests.records import world

RECORDS = (
    test_core.V1,
    test_core.V2,
    test_core.TEAM,
    world.make_cutover(tray=1),
    world.make_cutover(tray=2, vigil=1),
)
ENTRIES = strategies.sampled_from(("e1", "e2"))
PROCESSES = strategies.sampled_from(("e1", "e2", "a1", "a2"))
INDEXES = strategies.integers(0, 7)


class Histories(stateful.RuleBasedStateMachine):
    """Operators, faults and time in any order."""

    def __init__(self):
        super().__init__()
        self.world = world.World(agents=("a1", "a2"))
        self.world.defer = True
        self.asked = {}
        self.highest = {}

    def _find_log(self):
        rows = self.world.table.rows
        changes = [rows[key].value for key in rows if key.startswith("config/revision/")]
        return sorted(changes, key=lambda change: change["revision"])

    @stateful.rule(
        entry=ENTRIES,
        action=strategies.sampled_from((test_core.SUBMIT, test_core.AMEND, test_core.RETIRE)),
        record=strategies.sampled_from(RECORDS),
        slots=strategies.integers(1, 3),
        stale=strategies.booleans(),
    )
    def ask(self, entry, action, record, slots, stale):
        if entry in self.world.paused:
            return
        if "slots" in record or record["kind"] == "service":
            record = record | {"slots": slots}
        change = f"c{len(self.asked)}"
        name = record.get("name", record.get("service"))
        key = f"config/record/{record['kind']}/{name}/{record['schema_version']}"
        row = self.world.table.rows.get(key)
        revision = row.value["revision"] if row and not stale else 0
        operation = test_core.ask(self.world, entry, action, change, record, revision)
        self.asked[change] = operation

    @stateful.rule(entry=ENTRIES, index=INDEXES)
    def look_up(self, entry, index):
        change = f"c{index}"
        if change in self.asked and entry not in self.world.paused:
            self.asked[f"look up {change} {len(self.asked)}"] = self.world.ask(
                entry, "GET", f"/v1/changes/{change}"
            )

    @stateful.rule(index=INDEXES)
    def let_the_table_work(self, index):
        if self.world.calls:
            self.world.carry_out_call(index % len(self.world.calls))

    @stateful.rule(index=INDEXES, twice=strategies.booleans())
    def deliver(self, index, twice):
        if self.world.mail:
            letter = self.world.mail.pop(index % len(self.world.mail))
            for _ in range(1 + twice):
                self.world.deliver(letter)

    @stateful.rule(index=INDEXES)
    def lose(self, index):
        if self.world.mail:
            self.world.mail.pop(index % len(self.world.mail))

    @stateful.rule(seconds=strategies.sampled_from((0.1, 0.5, 1.0, 6.0)))
    def tick(self, seconds):
        self.world.tick(seconds)

    @stateful.rule(process=PROCESSES)
    def pause(self, process):
        self.world.paused.add(process)

    @stateful.rule(process=PROCESSES)
    def resume(self, process):
        self.world.resume(process)

    @stateful.rule(process=PROCESSES)
    def restart(self, process):
        self.world.start(process)

    @stateful.rule(up=strategies.booleans())
    def switch_table(self, up):
        self.world.table.up = up

    @stateful.rule()
    def lose_next_answer(self):
        self.world.table.lose_answers += 1

    @stateful.rule()
    def delay_next_commit(self):
        self.world.table.hold_commits += 1

    @stateful.rule()
    def release_delayed_commits(self):
        self.world.table.release_held()

    @stateful.rule()
    def let_everything_flow(self):
        """An accepted change must be everywhere once the faults end."""
        table = self.world.table
        table.up, table.lose_answers, table.hold_commits = True, 0, 0
        for process in list(self.world.paused):
            self.world.resume(process)
        table.release_held()
        self.world.deliver_all()
        self.world.run(7)
        revision = len(self._find_log())
        assert self.world.revisions() == dict.fromkeys(self.world.processes, revision)
        for process in self.world.processes.values():
            assert process.replica.ready and process.replica.verified

    @stateful.invariant()
    def no_revision_goes_down(self):
        for name, revision in self.world.revisions().items():
            run = name, self.world.incarnations[name]
            assert revision >= self.highest.get(run, 0), (name, revision)
            self.highest[run] = revision

    @stateful.invariant()
    def replicas_hold_exactly_the_accepted_changes(self):
        states = [{}]
        for number, change in enumerate(self._find_log(), start=1):
            assert change["revision"] == number
            key = change["kind"], change["name"], change["schema_version"]
            rest = {other: record for other, record in states[-1].items() if other != key}
            states.append(rest | ({key: change["record"]} if change["record"] else {}))
        for name, process in self.world.processes.items():
            held = process.replica.configuration.records
            found = {
                (key.kind, key.name, key.schema_version): stored.document
                for key, stored in held.items()
            }
            assert found == states[process.replica.revision], name

    @stateful.invariant()
    def answers_are_true(self):
        log = {change["change"]: change["revision"] for change in self._find_log()}
        for asked, operation in self.asked.items():
            answer = self.world.answers.get(operation)
            if answer is None:
                continue
            change = asked.split()[2] if asked.startswith("look") else asked
            if answer.body["state"] == "accepted":
                assert log.get(change) == answer.body["revision"], (change, answer)
            elif answer.body["state"] == "not-accepted":
                assert change not in log, (change, answer)

    @stateful.invariant()
    def cutovers_name_existing_records(self):
        rows = self.world.table.rows
        for key, row in rows.items():
            if key.startswith("config/record/cutover/"):
                for cutover in row.value["record"]["order_kinds"].values():
                    service = f"config/record/service/dispatch/{cutover['schema_version']}"
                    assert service in rows, key


class HistoriesTest(Histories.TestCase):
    """Guards against revisions that go down, lost changes and answers that are not true (I9)."""

    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=150,
        stateful_step_count=60,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


if __name__ == "__main__":
    unittest.main()
