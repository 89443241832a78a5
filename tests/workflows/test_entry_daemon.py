"""Tests of an entry's configuration, its calls to the owner and the owner's hellos."""

import socket
import unittest
from unittest import mock

import curio
import msgspec

from crocusrudder.core import clocks
from crocusrudder.core import ids
from crocusrudder.platform import store
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import calls
from crocusrudder.workflows import entry_daemon
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import rows
from crocusrudder.workflows import settings
from tests.platform import oddities


class FakeService:
    """Fake service of an ownership epoch."""

    def __init__(self) -> None:
        self.superseded = False

    def supersede(self) -> None:
        self.superseded = True


def make_settings() -> settings.WorkflowSettings:
    """Return settings with a free peer port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    return settings.WorkflowSettings(
        ids.ProcessId("e1"), ids.DataCentre("z"), "127.0.0.1", port, port + 1, "127.0.0.1:9"
    )


def make_route(name: bytes) -> bytes:
    return b'{"name":"%b","host":"h","service":"s","pathPrefix":"/%b/"}' % (name, name)


class FakeOwnerRow:
    """A store with the given value of the owner's row, at version 40."""

    def __init__(self, value: bytes | None) -> None:
        self._row = store.StoreRow(rows.CONTROL_TABLE, rows.OWNER_KEY, value, 40)
        self.claims: list[rows.OwnerRow] = []

    async def read_row(self, *_):
        return self._row

    async def commit(self, writes, expectations):
        self.claims.append(rows.decode_owner(writes[0].value, 41))
        return 41


class ClaimTest(unittest.TestCase):
    def test_an_owner_row_that_cannot_be_read_is_claimed_with_a_higher_epoch(self):
        # Guards against workers without an owner for good, and against a claim under an epoch that
        # the workers refuse, as they have seen a higher one.
        known = rows.OwnerRow(model.OwnerEpoch(2**64 - 1), ids.ProcessId("e2"), "h:1", 1)
        for value in (None, b"", b"\xff", rows.encode(known)):
            entry = entry_daemon.EntryProcess(make_settings())
            self.addCleanup(entry._link.close)
            client = entry._client = FakeOwnerRow(value)
            with mock.patch.object(clocks, "read_boot_time") as clock:
                for clock.return_value in (100.0, 100.1 + leases.TAKEOVER_SECONDS):
                    self.assertIsNone(curio.run(entry._try_claim))
                clock.return_value += 2.0
                lease = curio.run(entry._try_claim)
            self.assertEqual([41], [claim.epoch for claim in client.claims])
            self.assertEqual(41, lease.row.epoch)
            self.assertEqual(3, entry._metrics.counters["rows_unreadable"])

    def test_an_epoch_above_the_version_of_its_row_is_not_claimed_after(self):
        # Guards against workers without an owner for good: the numbers of runs under an epoch that
        # another writer made up could not be encoded, which ended each process that claimed it.
        odd = rows.OwnerRow(model.OwnerEpoch(2**52), ids.ProcessId("e2"), "127.0.0.1:9", 1)
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)
        client = entry._client = FakeOwnerRow(rows.encode(odd))
        with mock.patch.object(clocks, "read_boot_time") as clock:
            for clock.return_value in (100.0, 100.1 + leases.TAKEOVER_SECONDS, 110.0):
                lease = curio.run(entry._try_claim)
        self.assertEqual([41], [claim.epoch for claim in client.claims])
        self.assertEqual(41, lease.row.epoch)

    def test_a_hello_of_an_epoch_that_does_not_exist_is_followed_until_the_row_is_read(self):
        # Guards against an entry that ignores each later owner, so that it answers no count of
        # pending jobs and sends all calls to the wrong process.
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)
        entry._handle_owner_hello(ids.ProcessId("e9"), workflow_messages.OwnerHello(2**53))
        row = rows.OwnerRow(model.OwnerEpoch(3), ids.ProcessId("e2"), "127.0.0.1:9", 1)
        entry._client = FakeOwnerRow(rows.encode(row))
        curio.run(entry._try_claim)
        entry._handle_owner_hello(ids.ProcessId("e2"), workflow_messages.OwnerHello(3, {"q": 4}))
        self.assertEqual(("e2", 4), (entry._owner, entry._count_pending(model.QueueName("q"))))


class AnswerTest(unittest.TestCase):
    def test_a_repeated_answer_does_not_block_the_receiver(self):
        # Guards against an entry that handles no message any more: it waited for a caller to take
        # the second answer.
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)
        envelope = messages.Envelope(1, 0, ids.ProcessId("e2"), ids.Incarnation("i"), "", "", None)

        async def deliver_twice() -> int:
            entry._open_calls["c"] = curio.Queue(maxsize=1)
            delivering = await curio.spawn(self._deliver, entry, envelope)
            for _ in range(20):
                await curio.sleep(0)
            is_done = delivering.terminated
            await delivering.cancel()
            return is_done

        self.assertTrue(curio.run(deliver_twice))

    async def _deliver(self, entry, envelope) -> None:
        for outcome in (calls.Outcome.ACCEPTED, calls.Outcome.UNCERTAIN):
            await entry._deliver(envelope, workflow_messages.JobAnswer("c", outcome.value))


class ConfigurationTest(unittest.TestCase):
    def test_an_older_version_never_replaces_a_newer_one(self):
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)
        for version in (7, 3, 9, 8):
            body = msgspec.json.encode({"version": version, "routes": [], "services": []})
            entry._apply_configuration(store.StoreRow("op", "config", body, version))
        self.assertEqual(9, entry._configuration.version)

    def test_one_odd_queue_does_not_hide_the_others(self):
        # Guards against an entry that refuses all jobs after a restart, and against queues that
        # count as removed because their items cannot be read.
        known = b'{"version":7,"routes":[%b,%b]}' % (make_route(b"a"), make_route(b"b"))
        for odd in oddities.ODD_JSON:
            services = b'[{"name":"s"},%b]' % odd
            routes = b"[%b,%b]" % (make_route(b"c"), odd)
            body = b'{"version":8,"routes":%b,"services":%b}' % (routes, services)
            for before, expected in ((known, {"a", "b", "c"}), (b"", {"c"})):
                entry = entry_daemon.EntryProcess(make_settings())
                for value in (before, body):
                    entry._apply_configuration(store.StoreRow("op", "config", value, 1))
                entry._link.close()
                self.assertEqual(expected, {q.name for q in entry._configuration.queues}, odd[:20])
                self.assertEqual(2, entry._metrics.counters["configuration_items_unreadable"])

    def test_a_version_that_cannot_be_meant_does_not_hide_later_configurations(self):
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)
        for version in (7, 2**62, 2**64, 8):
            body = msgspec.json.encode({"version": version})
            entry._apply_configuration(store.StoreRow("op", "config", body, 1))
        self.assertEqual(8, entry._configuration.version)

    def test_an_unreadable_configuration_leaves_the_current_one(self):
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)
        for body in (b'{"version":7}', b"\xff", b"{}"):
            entry._apply_configuration(store.StoreRow("op", "config", body, 1))
        self.assertEqual(7, entry._configuration.version)

    def test_what_is_not_served_is_logged_with_its_code(self):
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)
        services = [{"name": "s", "standby": True}]
        body = msgspec.json.encode({"version": 7, "routes": [], "services": services})
        with mock.patch.object(entry_daemon.logs, "write_change") as write_change:
            entry._apply_configuration(store.StoreRow("op", "config", body, 7))
        changes = [call.args[0] for call in write_change.call_args_list]
        codes = [change.fields.get("code") for change in changes]
        self.assertEqual([None, "CR-PLT-007"], codes)

    def test_an_entry_is_ready_from_its_configuration_until_it_stops(self):
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)

        def is_ready() -> bool:
            return curio.run(entry._respond_ready(None)).status == 200

        self.assertFalse(is_ready())
        entry._apply_configuration(store.StoreRow("op", "config", b'{"version":7}', 7))
        self.assertTrue(is_ready())
        entry._is_stopping = True
        self.assertFalse(is_ready())


class RefusalTest(unittest.TestCase):
    """Guard against reporting "not performed" for a stored job.

    Seen on two days of randomised fault runs.
    """

    def _execute(self, performed, relayed) -> calls.Outcome:
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)
        performed, relayed = iter(performed), iter(relayed)

        async def perform(*_):
            return next(performed, calls.Outcome.NOT_PERFORMED)

        async def relay(*_):
            return next(relayed, calls.Outcome.NOT_PERFORMED)

        entry._execute_in_store = perform
        entry._call_owner = relay
        return curio.run(entry._execute("submit", ids.JobId("j"), b"", 0.3))

    def test_a_call_is_reported_as_not_performed_only_if_all_attempts_are(self):
        refused, uncertain = calls.Outcome.NOT_PERFORMED, calls.Outcome.UNCERTAIN
        accepted = calls.Outcome.ACCEPTED
        for performed, relayed, expected in (
            ([refused], [refused], refused),
            ([accepted], [], accepted),
            ([refused], [accepted], accepted),
            ([refused], [uncertain], uncertain),
            ([uncertain], [refused], uncertain),
            ([uncertain, accepted], [refused], accepted),
        ):
            with self.subTest(performed=performed, relayed=relayed):
                self.assertIs(expected, self._execute(performed, relayed))

    def test_a_call_that_the_owner_does_not_answer_is_uncertain(self):
        entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(entry._link.close)
        entry._owner = ids.ProcessId("e2")
        entry._owner_heard_at = clocks.read_boot_time()
        outcome = curio.run(entry._call_owner("submit", ids.JobId("j"), b"", 0.05))
        self.assertIs(calls.Outcome.UNCERTAIN, outcome)


class OwnerHelloTest(unittest.TestCase):
    def setUp(self):
        self.entry = entry_daemon.EntryProcess(make_settings())
        self.addCleanup(self.entry._link.close)
        self.entry._service = FakeService()
        self.entry._owner = ids.ProcessId("e1")
        self.entry._owner_epoch = 1

    def test_a_later_owner_supersedes_one_whose_commits_fail(self):
        # The old owner kept waiting for the store and refused jobs that the new one could accept.
        hello = workflow_messages.OwnerHello(2, {}, 50)
        self.entry._handle_owner_hello(ids.ProcessId("e2"), hello)
        self.assertTrue(self.entry._service.superseded)
        self.assertEqual("e2", self.entry._owner)

    def test_an_earlier_owner_is_ignored(self):
        self.entry._handle_owner_hello(ids.ProcessId("e2"), workflow_messages.OwnerHello(0, {}, 9))
        self.assertFalse(self.entry._service.superseded)
        self.assertEqual("e1", self.entry._owner)


if __name__ == "__main__":
    unittest.main()
