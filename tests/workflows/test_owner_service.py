"""Tests of the input and output of an ownership epoch."""

import math
import unittest
from unittest import mock

import curio
import msgspec

from crocusrudder.core import clocks
from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.observability import metrics
from crocusrudder.platform import store
from crocusrudder.wire import codec
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import leases
from crocusrudder.workflows import model
from crocusrudder.workflows import owner
from crocusrudder.workflows import owner_service
from crocusrudder.workflows import ownership
from crocusrudder.workflows import rows
from crocusrudder.workflows.decisions import near_places
from tests.support import strict_steps

START = 100.0
CONTACT_SECONDS = 3.0
"""Time after a disruption from which the users' rules hold again."""
GUARD_SECONDS = 20.0
"""Ends a test that waits for something that never comes."""
AGENT = ids.ProcessId("a1")
SERVICE = ids.ServiceName("dispatch")
QUEUE = model.Queue(model.QueueName("q"), "host", "/q/", SERVICE)


class FakeLink:
    """A link that records what is sent."""

    def __init__(self) -> None:
        self.sent: list[workflow_messages.AgentOrders] = []
        self.addresses: dict[ids.ProcessId, str] = {}
        self.reconnected: list[ids.ProcessId] = []

    def reconnect(self, process) -> None:
        self.reconnected.append(process)

    def record_address(self, process, address) -> None:
        self.addresses[process] = address

    def send(self, to, message, incarnation) -> None:
        self.sent.append(message)

    async def retry_unsent(self) -> None:
        pass


class OrdersTest(unittest.TestCase):
    def setUp(self):
        self.now = START
        clock = mock.patch.object(clocks, "read_boot_time", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        row = rows.OwnerRow(model.OwnerEpoch(1), ids.ProcessId("e1"), "e1:1", 1)
        self.lease = ownership.OwnershipLease(row, 5, START)
        self.link = FakeLink()
        self.metrics = metrics.Metrics()
        self.service = owner_service.OwnerService(
            self.lease, None, self.link, self.metrics, lambda: None
        )
        self.owner = self.service.owner
        self.owner.set_configuration(model.Configuration(1, (QUEUE,)))
        self.owner.handle_agent_start(AGENT, "a1:1")
        self._report()
        self.owner.record_commit(self.owner.make_commit(START), START)
        stage = model.Stage(1, messages.Resources(1_000, 1, 0))
        self.owner.add_job(model.Job(ids.JobId("j"), QUEUE.name, "", (stage,), START), 6)

    def _report(self, millicores: int = 8_000) -> None:
        self.owner.handle_report(AGENT, self._make_report(millicores), self.now, self.now)

    def _make_report(self, millicores: int = 8_000) -> workflow_messages.AgentReport:
        worker = workflow_messages.WorkerState(
            ids.WorkerId("w1"),
            1,
            SERVICE,
            ids.DataCentre("z"),
            messages.Resources(millicores, 1_000, 0),
            ("a", "r1"),
        )
        return workflow_messages.AgentReport(
            ids.DataCentre("z"), self.now, 1, 0, worker, True, False
        )

    def test_orders_go_through_a_new_connection_once_a_lost_agent_is_back(self):
        # Guards against a cancelled run that goes on for seconds after a cut: the open connection
        # to its agent delivered nothing until the packets lost in the cut were repeated.
        self.service._is_loaded = True
        self.now += owner.LOST_AFTER_SECONDS
        self.owner.tick(self.now, self.now)
        for _ in range(2):
            self.now += 0.5
            report = self._make_report()
            curio.run(self.service.handle_report(AGENT, "i1", "a1:1", report))
        self.assertEqual([AGENT], self.link.reconnected)

    def _list_started(self) -> list[str]:
        return [order.task for orders in self.link.sent for order in orders.starts]

    def test_starts_near_and_far_and_waits_for_near_places_are_counted(self):
        # Guards against waits that no metric shows.
        lines = (
            effects.LogChange("run_assigned", {"distance": "near"}),
            effects.LogChange("run_assigned", {"distance": "far"}),
            effects.LogChange(near_places.BEGUN, {}),
            effects.LogChange(near_places.GIVEN_UP, {"waited_s": 1.5}),
        )
        with mock.patch.object(self.owner, "drain_log", lambda: lines):
            self.service._write_log()
        counted = {"tasks_near", "tasks_far", "near_waits_begun", "near_waits_given_up"}
        self.assertEqual(dict.fromkeys(counted, 1), self.metrics.counters)
        self.assertIn("near_wait_seconds_sum 1.5", self.metrics.render())

    def test_orders_are_sent_while_the_lease_holds(self):
        self.service._send_orders()
        self.assertEqual(["j.0.0.0"], self._list_started())

    def test_orders_with_many_starts_are_divided(self):
        # Guards against one job of many small tasks that ends each process that owns the workers:
        # the starts for one agent did not fit into a message.
        stage = model.Stage(1_500, messages.Resources(1, 0, 0))
        job = model.Job(ids.JobId("many"), QUEUE.name, "x" * 4_000, (stage,), START)
        self.owner.add_job(job, 6)
        sender = codec.Sender(ids.ProcessId("e1"), ids.Incarnation("i"), "e1:1")
        started = {}
        for _ in range(10):
            self.service._send_orders()
            for orders in self.link.sent:
                sender.encode(orders)
                started |= {(order.task, order.run): None for order in orders.starts}
            self.now += owner_service.TICK_INTERVAL_SECONDS
            seen = self.owner.views[AGENT].orders_sent
            report = msgspec.structs.replace(
                self._make_report(), orders_seen=seen, starting=tuple(started)
            )
            self.owner.handle_report(AGENT, report, self.now, self.now)
        self.assertEqual(1_501, len(started))

    def test_jobs_with_nothing_running_are_counted_by_reason(self):
        stage = model.Stage(1, messages.Resources(9_000, 1, 0))
        self.owner.add_job(model.Job(ids.JobId("large"), QUEUE.name, "", (stage,), START), 6)
        for _ in range(2):
            self.service._send_orders()
            self.now += 1.2
            self._report()
        self.service._send_orders()
        self.service._write_log()
        expected = {"jobs_waiting_no_capacity": 1, "jobs_waiting_order_pending": 1}
        self.assertEqual(expected, self.metrics.counters)

    def test_a_stop_does_not_wait_for_the_pause_after_a_long_plan(self):
        # Guards against a run that goes on after its cancellation while the owner plans large jobs:
        # a plan of 1 s was followed by 3 s without orders.
        self.service._send_orders()
        self._report()
        plans = []

        def plan_slowly(*_):
            plans.append(self.now)
            self.now += 1.0
            return []

        async def play() -> None:
            sending = await curio.spawn(self.service._send_orders_forever)
            while not plans:
                await curio.sleep(0.001)
            self._report()
            self.owner.apply_cancellation(ids.JobId("j"), START)
            await self.service._changes.set()
            async with curio.timeout_after(GUARD_SECONDS):
                while not any(orders.stops for orders in self.link.sent):
                    await curio.sleep(0.001)
            await sending.cancel()

        with (
            mock.patch.object(owner_service, "PLANNING_PAUSE_FACTOR", 10 * GUARD_SECONDS),
            mock.patch.object(self.owner._planner, "plan", plan_slowly),
        ):
            curio.run(play)
        self.assertEqual(1, len(plans))

    def test_an_owner_without_changes_plans_at_each_tick_only(self):
        # Guards against an owner that plans without end, as the time of a stop must not depend on
        # the pauses between plans.
        plans = []

        async def play() -> None:
            sending = await curio.spawn(self.service._send_orders_forever)
            for _ in range(20):
                await curio.sleep(owner_service.COALESCE_SECONDS)
                self.now += owner_service.COALESCE_SECONDS
            await sending.cancel()

        def plan(*_):
            plans.append(self.now)
            self.now += 0.001
            return []

        with (
            mock.patch.object(owner_service, "TICK_INTERVAL_SECONDS", 10 * GUARD_SECONDS),
            mock.patch.object(self.owner._planner, "plan", plan),
        ):
            curio.run(self.service._changes.set)
            curio.run(play)
        self.assertEqual(1, len(plans))

    def test_orders_planned_before_a_suspension_are_not_sent_after_the_lease_has_run_out(self):
        # Guards against two owners: a process that is suspended between its check of the lease
        # and the sending would send orders beside those of its successor.
        make_orders = self.owner.make_orders

        def suspend(now):
            orders = make_orders(now)
            self.now += leases.OWNER_LEASE_SECONDS + 0.1
            return orders

        with mock.patch.object(self.owner, "make_orders", suspend):
            self.service._send_orders()
        self.assertEqual([], self.link.sent)
        self.assertEqual(1, self.metrics.counters["orders_withheld"])

    def test_withheld_orders_are_sent_once_the_lease_is_renewed(self):
        self.test_orders_planned_before_a_suspension_are_not_sent_after_the_lease_has_run_out()
        self.lease.record_renewal(self.lease.row, 6, self.now)
        self._report()
        self.service._send_orders()
        self.assertEqual(["j.0.0.0"], self._list_started())

    def test_a_capacity_that_shrinks_below_what_runs_is_logged_and_counted(self):
        # Operators cannot tell otherwise why a worker gets no starts.
        self.service._send_orders()
        with mock.patch.object(owner_service.logs, "write_change") as write_change:
            for millicores in (7_000, 500, 500):
                self.now += 0.1
                self._report(millicores)
                self.service._write_log()
        written = [call.args[0] for call in write_change.call_args_list]
        lines = [line for line in written if line.name.startswith("capacity_")]
        self.assertEqual(["capacity_changed", "capacity_exceeded"], [line.name for line in lines])
        self.assertEqual(
            [7_000, 500, 1_000],
            [lines[1].fields[key]["millicores"] for key in ("old", "new", "used")],
        )
        self.assertEqual(1, self.metrics.counters["capacity_exceeded"])


class FeedTest(unittest.TestCase):
    def test_a_silent_feed_is_replaced_before_the_rules_hold_again(self):
        # Guards against a cancelled run that goes on after a disruption: the message about the
        # cancellation was lost with one silent connection, and the feed waited on another.
        longest = owner_service.FEED_WAIT_SECONDS + store.CALL_TIMEOUT_SECONDS
        self.assertLess(longest, CONTACT_SECONDS)


class FakeStore:
    """A store with no rows but those of the operator."""

    def __init__(self, *evacuated: str) -> None:
        rows_ = [
            store.StoreRow("op", store.EVACUATION_PREFIX + name, b"{}", 3) for name in evacuated
        ]
        self._operator = store.Page(tuple(rows_), 9)
        self.reads: list[str] = []

    async def read(self, table, *_):
        self.reads.append(table)
        return self._operator if table == store.OPERATOR_TABLE else store.Page((), 9)

    async def read_row(self, *_):
        return None


class FakeTables:
    """A store with the given values, by table and key."""

    def __init__(self, **tables: dict[str, bytes | None]) -> None:
        self._tables = tables

    async def read(self, table, *_):
        items = self._tables.get(table, {}).items()
        return store.Page(tuple(store.StoreRow(table, key, value, 3) for key, value in items), 9)

    async def read_row(self, table, key):
        page = await self.read(table)
        return next((row for row in page.rows if row.key == key), None)


class UnreadableRowTest(unittest.TestCase):
    """Guards against one row of another writer that ends the task of each new owner."""

    ODD = (b"\xff\xfe", b"", None, b"host", b"host:", b":80", b"host:99999", b"h\x00:80", b"h:x")

    def _load(self, **tables: dict[str, bytes | None]) -> owner_service.OwnerService:
        row = rows.OwnerRow(model.OwnerEpoch(2), ids.ProcessId("e1"), "e1:1", 1)
        lease = ownership.OwnershipLease(row, 5, clocks.read_boot_time())
        service = owner_service.OwnerService(
            lease, FakeTables(**tables), FakeLink(), metrics.Metrics(), lambda: None
        )
        curio.run(service._load)
        return service

    def test_an_agent_whose_address_cannot_be_read_is_awaited_beside_the_others(self):
        # Guards against TWICE: an agent that is left out may have runs that the owner cannot see.
        odd = {f"odd{number}": value for number, value in enumerate(self.ODD)}
        service = self._load(roster={**odd, "a1": b"h:1"}, entries={**odd, "e2": b"h:2"})
        self.assertEqual({*odd, "a1"}, set(service.owner._awaited_agents))
        self.assertEqual(
            {"a1": "h:1", "e2": "h:2"}, {k: v for k, v in service._link.addresses.items() if v}
        )
        self.assertEqual(2 * len(odd), service._metrics.counters["rows_unreadable"])

    def test_a_job_whose_progress_cannot_be_read_is_set_aside_beside_the_others(self):
        # Guards against TWICE: a job without its progress would run from the start. An empty value
        # stands for bad base64.
        jobs = {name: self._make_job(name) for name in ("j1", "j2", "j3")}
        service = self._load(jobs=jobs, progress={"j1": b"", "j2": b"\xc1"})
        # The feed and reloaded jobs come without progress.
        service._apply_row(ids.JobId("j1"), jobs["j1"], 12, False)
        self.assertEqual(["j3"], list(service.owner.job_registry.records))
        self.assertEqual(2, service._metrics.counters["rows_unreadable"])

    def test_a_job_that_cannot_be_planned_is_set_aside_beside_the_others(self):
        # Guards against rows that end the owner's task, or take all of its memory, each time.
        stage = model.Stage(1, messages.Resources(1, 1, 0))
        odd = {
            "other": self._make_job("another"),
            "nested": b"\x91" * 100_000,
            "none": b"",
            "many": self._make_job("many", model.Stage(2**40)),
            "endless": self._make_job("endless", model.Stage(1, estimated_seconds=math.inf)),
            "after": self._make_job("after", stage, model.Stage(1, after=(7,))),
            "negative": self._make_job("negative", model.Stage(1, messages.Resources(-1, 1, 0))),
            "empty": rows.encode(
                model.Job(ids.JobId("empty"), QUEUE.name, "", (), START, occurrences=10**9)
            ),
        }
        service = self._load(jobs={**odd, "j1": self._make_job("j1")})
        self.assertEqual(["j1"], list(service.owner.job_registry.records))
        self.assertEqual(len(odd), service._metrics.counters["rows_unreadable"])

    def test_a_job_that_fails_to_load_is_set_aside_beside_the_others(self):
        # Guards against an error in one job that ends the task of each new owner.
        add_job = owner.Owner.add_job

        def fail(self, job, *args):
            if job.job_id == "j1":
                raise RuntimeError("does not load")
            return add_job(self, job, *args)

        with mock.patch.object(owner.Owner, "add_job", fail):
            service = self._load(jobs={name: self._make_job(name) for name in ("j1", "j2")})
        self.assertEqual(["j2"], list(service.owner.job_registry.records))
        self.assertEqual(1, service._metrics.counters["jobs_not_loaded"])

    def test_progress_that_does_not_fit_the_job_sets_it_aside(self):
        # Guards against an agent whose reports are never applied again: the end of a task raised
        # IndexError with each report.
        progress = model.Progress(model.JobState.RUNNING, {"0.0": b""})
        late = model.Progress(model.JobState.COMPLETED, finished_at=math.nan)
        service = self._load(
            jobs={name: self._make_job(name) for name in ("j1", "j2", "j3")},
            progress={"j1": rows.encode(progress), "j2": rows.encode(late)},
        )
        self.assertEqual(["j3"], list(service.owner.job_registry.records))

    def test_estimates_out_of_range_are_left_out(self):
        # Guards against an error that ends each new owner, as exp(1e300) has no value.
        for odd in (1e300, -1e300, math.nan, math.inf, 710.0, -1e4, 100.0):
            pairs = {"i": {"": (odd, 0.1, 3), "k": (1.0, odd, 2**40)}}
            served = (rows.ServedEstimates("i", 50.0, odd, {}),)
            known = {"q": (1.0, odd, 1.0), "sound": (5.0, 0.5, 0.3)}
            estimates = rows.InterferenceEstimates({}, known, pairs, served)
            service = self._load(control={rows.ESTIMATES_KEY: rows.encode(estimates)})
            exported = service.owner.export_estimates()
            self.assertEqual({"sound": (5.0, 0.5, 0.3)}, exported.durations)
            rows.encode(exported)
            # A logarithm of 100 is in range, and so is a floor of 100 ms or more.
            is_floor_valid = 1.0 <= odd < math.inf
            left_out = 1 + (not abs(odd) <= 100.0) + (not is_floor_valid)
            self.assertEqual({"learned_left_out": left_out}, service._metrics.counters)

    def test_an_error_while_estimates_are_restored_ends_no_owner(self):
        # Guards against a row of learned figures that ends each new owner while it loads.
        value = rows.encode(rows.InterferenceEstimates({}, {"q": (5.0, 0.5, 0.3)}))
        failure = mock.Mock(side_effect=ValueError("unexpected"))
        with (
            strict_steps.allow_failures(),
            mock.patch.object(owner.Owner, "restore_estimates", failure),
        ):
            service = self._load(
                control={rows.ESTIMATES_KEY: value}, jobs={"j1": self._make_job("j1")}
            )
        self.assertEqual(["j1"], list(service.owner.job_registry.records))
        self.assertEqual(1, service._metrics.counters["steps_failed"])

    def test_figures_of_another_type_are_left_out(self):
        # Guards against one figure of another writer that takes all others from a later owner.
        row = {
            "slowdowns": {},
            "durations": {"q": None, "sound": (5.0, 0.5, 0.3)},
            "inflations": {"i": 3, "k": {"": "x"}},
            "served": [
                ["i", 50.0, 10.0, {"odd": [1], "fill": [1.2, 0.1, 50]}],
                ["i", "50", 10.0, {}],
                7,
            ],
        }
        value = msgspec.msgpack.encode(row)
        learned, left_out = rows.decode_estimates(value)
        self.assertEqual({"sound": (5.0, 0.5, 0.3)}, learned.durations)
        known = {"fill": (1.2, 0.1, 50)}
        self.assertEqual((rows.ServedEstimates("i", 50.0, 10.0, known),), learned.served)
        self.assertEqual(6, left_out)

    def test_estimates_beyond_the_limit_of_a_row_leave_room_for_the_latest(self):
        # Guards against one image with a long name that keeps all learned figures from being
        # stored as long as this owner runs.
        names = ("x" * 60_000, *(f"image-{number}" for number in range(3_000)))
        served = tuple(rows.ServedEstimates(name, 50.0, 10.0, {}) for name in names)
        estimates = rows.InterferenceEstimates({}, {"q": (5.0, 0.5, 0.3)}, {}, served)
        value, left_out = rows.encode_estimates(estimates, owner_service.MAX_ESTIMATES_BYTES)
        self.assertLessEqual(len(value), owner_service.MAX_ESTIMATES_BYTES)
        learned, _ = rows.decode_estimates(value)
        self.assertEqual(served[1:100], learned.served[:99])
        self.assertEqual(estimates.durations, learned.durations)
        self.assertEqual(len(served), left_out + len(learned.served))

    def _make_job(self, name: str, *stages: model.Stage) -> bytes:
        stages = stages or (model.Stage(1, messages.Resources(1, 1, 0)),)
        return rows.encode(model.Job(ids.JobId(name), QUEUE.name, "", stages, START))


class EvacuationTest(unittest.TestCase):
    """Guards against EVAC by a new owner whose entry has not learned of an evacuation yet."""

    def _load(
        self, client: FakeStore, bounds: model.EvacuationBounds
    ) -> owner_service.OwnerService:
        row = rows.OwnerRow(model.OwnerEpoch(1), ids.ProcessId("e1"), "e1:1", 1)
        lease = ownership.OwnershipLease(row, 5, clocks.read_boot_time())
        service = owner_service.OwnerService(
            lease, client, FakeLink(), metrics.Metrics(), lambda: None, 1.0, None, bounds
        )
        curio.run(service._load)
        service._send_orders()
        return service

    def test_the_rows_are_read_before_the_first_plan(self):
        service = self._load(FakeStore("z0"), model.EvacuationBounds(5.0))
        self.assertEqual(["z0"], service.owner.dump()["evacuated"])
        service._write_log()
        self.assertEqual({"evacuations": 1}, service._metrics.counters)

    def test_a_deployment_without_evacuations_reads_nothing_for_them(self):
        client = FakeStore("z0")
        self._load(client, model.EvacuationBounds())
        self.assertNotIn(store.OPERATOR_TABLE, client.reads)


if __name__ == "__main__":
    unittest.main()
