"""Tests of the messages that are exchanged with workers, the store and the operator."""

import base64
import unittest
from unittest import mock

import curio
import hypothesis
import hypothesis.strategies as some
import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.platform import errors
from crocusrudder.platform import heartbeats
from crocusrudder.platform import operator
from crocusrudder.platform import store
from crocusrudder.platform import worker
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import model
from tests.platform import oddities

HEARTBEAT = (
    b'{"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready",'
    b'"coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],'
    b'"clockMs":482113,"seq":4,"born":17}'
)


class FakeHttp:
    """HTTP client whose calls return or raise the given responses in order."""

    def __init__(self, *responses: effects.EndpointResponse | Exception) -> None:
        self.requests: list[effects.EndpointRequest] = []
        self._responses = list(responses)

    async def call(self, host, port, request, timeout_seconds):
        self.requests.append(request)
        response = self._responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


def make_response(status: int, content: object) -> effects.EndpointResponse:
    """Return a response with a JSON body."""
    return effects.EndpointResponse(status, (), msgspec.json.encode(content))


class HeartbeatTest(unittest.TestCase):
    def test_heartbeat_is_decoded_into_a_worker_state(self):
        heartbeat = heartbeats.decode_heartbeat("w1", HEARTBEAT)
        self.assertEqual(4, heartbeat.sequence)
        self.assertEqual(("w1", 17), heartbeat.state.incarnation)
        self.assertEqual(16_000, heartbeat.state.capacity.millicores)
        self.assertFalse(heartbeat.state.draining)

    def test_a_worker_is_cold_for_as_long_as_it_says(self):
        for cold_left_ms, is_cold in ((b"0", False), (b"1200", True), (b"0.5", True)):
            body = HEARTBEAT.replace(b'"coldLeftMs":0', b'"coldLeftMs":' + cold_left_ms)
            self.assertIs(is_cold, heartbeats.decode_heartbeat("w1", body).state.cold)

    def test_an_unknown_field_may_hold_any_value(self):
        # Guards against a worker that is taken for gone because of a field that nobody here reads.
        expected = heartbeats.decode_heartbeat("w1", HEARTBEAT)
        for odd in oddities.ODD_JSON:
            with self.subTest(odd=odd[:20]):
                body = HEARTBEAT.replace(b'"slots":8', b'"slots":' + odd)
                self.assertEqual(expected, heartbeats.decode_heartbeat("w1", body))

    def test_malformed_heartbeat_is_refused_with_a_coded_error(self):
        for body in (
            b"\xff\x00",
            b"[]",
            HEARTBEAT.replace(b'"ready"', b'"resting"'),
            HEARTBEAT.replace(b'"seq":4', b'"seq":"4"'),
            HEARTBEAT.replace(b'"capacity"', b'"room"'),
            HEARTBEAT.replace(b'"cpu":16000', b'"cpu":-1'),
            HEARTBEAT.replace(b'"cpu":16000', b'"cpu":"16000"'),
            # Guards against the end of the agent's process: the report could not be encoded.
            HEARTBEAT.replace(b'"cpu":16000', b'"cpu":%d' % 2**64),
            HEARTBEAT.replace(b'"born":17', b'"born":%d' % 2**64),
            # Guards against tasks that are planned on a capacity which no machine has (LIMIT).
            HEARTBEAT.replace(b'"cpu":16000', b'"cpu":%d' % (2**63 - 1)),
            HEARTBEAT.replace(b'"memMb":32768', b'"memMb":%d' % 2**31),
            # Guards against a report above the size limit of messages, as it repeats these fields.
            HEARTBEAT.replace(b'["a",', b'["a",' + b'"a",' * 1_000),
            HEARTBEAT.replace(b'"zone":"z"', b'"zone":"%b"' % (b"z" * 2_000)),
        ):
            with self.subTest(body=body), self.assertRaises(errors.MalformedInputError):
                heartbeats.decode_heartbeat("w1", body)

    @hypothesis.given(some.binary(max_size=200))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_decoders_raise_only_coded_errors_for_arbitrary_bytes(self, body):
        for decode in (
            lambda: heartbeats.decode_heartbeat("w1", body),
            lambda: operator.decode_configuration(body),
            lambda: operator.decode_job(ids.JobId("j"), model.QueueName("q"), body, 0.0),
        ):
            try:
                decode()
            except errors.MalformedInputError:
                continue


class OperatorTest(unittest.TestCase):
    def test_longest_matching_path_prefix_of_the_host_selects_the_queue(self):
        routes = [
            {"name": "a", "host": "h", "pathPrefix": "/q/", "service": "s", "maxAttempts": 4},
            {"name": "b", "host": "h", "pathPrefix": "/q/x/", "service": "s"},
            {"name": "c", "host": "other", "pathPrefix": "/q/x/y/", "service": "s"},
        ]
        body = msgspec.json.encode({"version": 7, "routes": routes, "services": []})
        configuration = operator.decode_configuration(body)
        self.assertEqual("b", configuration.find_queue("h", "/q/x/y/1").name)
        self.assertEqual(4, configuration.find_queue("h", "/q/1").max_attempts)
        self.assertIsNone(configuration.find_queue("h", "/r/1"))

    def test_port_and_case_of_the_host_are_ignored(self):
        # Clients that send the port of a proxy in the Host header got 404.
        route = {"name": "a", "host": "shop.example", "pathPrefix": "/q/", "service": "s"}
        body = msgspec.json.encode({"version": 7, "routes": [route], "services": []})
        configuration = operator.decode_configuration(body)
        self.assertEqual("a", configuration.find_queue("Shop.example:8080", "/q/1").name)

    def test_what_is_configured_and_not_served_is_listed(self):
        # Guards against a request of the operator that is ignored without a trace.
        route = {"name": "a", "host": "h", "pathPrefix": "/q/", "service": "s"}
        service = {"name": "s", "enforcesCapacity": True}
        hint = {"decideMs": 5, "eachMs": 1, "validMs": 3_000}
        for routes, services, expected in (
            ([route], [service], ()),
            ([route | {"hint": None}], [service | {"standby": False}], ()),
            ([route | {"hint": hint}], [service], ("queue 'a'",)),
            ([route], [service | {"standby": True}], ("service 's'",)),
        ):
            body = msgspec.json.encode({"version": 7, "routes": routes, "services": services})
            configuration = operator.decode_configuration(body)
            starts = tuple(text.partition(":")[0] for text in configuration.unserved)
            self.assertEqual(expected, starts)
            is_restricted = configuration.queues[0].requires_tickets
            self.assertEqual(bool(routes[0].get("hint")), is_restricted)

    def test_due_times_of_a_job_are_decoded(self):
        body = b'{"spec":"x","steps":[{"taskCount":1}],"maxRuns":3,'
        body += b'"startAtMs":7000,"intervalMs":500}'
        job = operator.decode_job(ids.JobId("j"), model.QueueName("q"), body, 0.0)
        self.assertEqual((3, 7.0, 0.5), (job.occurrences, job.first_due_at, job.interval_seconds))

    def test_job_with_a_stage_that_depends_on_itself_is_refused(self):
        body = msgspec.json.encode({"spec": "", "steps": [{"taskCount": 1, "after": [0]}]})
        with self.assertRaises(errors.MalformedInputError):
            operator.decode_job(ids.JobId("j"), model.QueueName("q"), body, 0.0)

    def test_job_without_stages_is_refused(self):
        # Guards against owners that hang (review/7): such a job has no tasks, so nothing bounded
        # the occurrences that each plan went through.
        for runs in (0, 1, 10**9):
            body = msgspec.json.encode({"spec": "x", "steps": [], "maxRuns": runs})
            with self.subTest(runs=runs), self.assertRaises(errors.MalformedInputError):
                operator.decode_job(ids.JobId("j"), model.QueueName("q"), body, 0.0)

    def test_a_preceding_stage_is_kept_once(self):
        # Guards against long plans: a caller may name a stage tens of thousands of times.
        steps = [{"taskCount": 1}, {"taskCount": 1, "after": [0] * 20_000}]
        body = msgspec.json.encode({"spec": "x", "steps": steps})
        job = operator.decode_job(ids.JobId("j"), model.QueueName("q"), body, 0.0)
        self.assertEqual((0,), job.stages[1].after)

    def test_job_with_more_tasks_than_the_limit_is_refused(self):
        # Guards against a job whose tasks exceed the memory of each process that loads it.
        for content in (
            {"spec": "", "steps": [{"taskCount": 10**9}]},
            {"spec": "", "steps": [{"taskCount": 2}], "maxRuns": 10**9},
            {"spec": "", "steps": [{"taskCount": 1}], "maxRuns": -1},
            {"spec": "", "steps": [{"taskCount": 1, "cpu": -5}]},
        ):
            with self.subTest(content=content), self.assertRaises(errors.MalformedInputError):
                operator.decode_job(
                    ids.JobId("j"), model.QueueName("q"), msgspec.json.encode(content), 0.0
                )

    def test_fields_of_a_stage_are_decoded_into_the_model(self):
        step = {"taskCount": 2, "antiAffinity": 3, "mayMiss": 1, "fills": True, "targetMs": 45}
        body = msgspec.json.encode({"spec": "x", "steps": [step]})
        stage = operator.decode_job(ids.JobId("j"), model.QueueName("q"), body, 0.0).stages[0]
        self.assertEqual(3, stage.max_per_worker)
        self.assertEqual(1, stage.disruption_budget)
        self.assertTrue(stage.best_effort)
        self.assertEqual(45, stage.latency_target_ms)


class StoreTest(unittest.TestCase):
    def _call(self, *responses, commit=True):
        fake = FakeHttp(*responses)
        client = store.StoreClient("10.0.0.1:80", fake)
        writes = [store.Write("t", "k", b"v"), store.Write("t", "gone", None)]
        expected = [store.Expectation("t", "k", 3)]
        coroutine = client.commit(writes, expected) if commit else client.read("t")
        return fake, curio.run(coroutine)

    def test_transaction_holds_conditions_writes_and_removals(self):
        fake, version = self._call(make_response(200, {"ver": 9}))
        self.assertEqual(9, version)
        body = msgspec.json.decode(fake.requests[0].body)
        self.assertEqual([{"table": "t", "part": "", "key": "k", "ver": 3}], body["expectRev"])
        self.assertEqual(b"v", base64.b64decode(body["setKeys"][0]["value"]))
        self.assertEqual("gone", body["remove"][0]["key"])

    def test_outcomes_raise_distinct_errors(self):
        cases = (
            (make_response(412, {"rows": []}), errors.ConflictError),
            (make_response(503, {}), errors.NotExecutedError),
            (make_response(429, {}), errors.NotExecutedError),
            (make_response(500, {}), errors.UnknownOutcomeError),
            (errors.UnknownOutcomeError("cut"), errors.UnknownOutcomeError),
        )
        for response, error in cases:
            with self.subTest(error=error), self.assertRaises(error):
                self._call(response)

    def test_read_requests_all_pages(self):
        first = {"rows": [{"key": "a", "value": "", "ver": 1}], "ver": 5, "morePages": True}
        second = {"rows": [{"key": "b", "value": "", "ver": 2}], "ver": 6}
        fake, page = self._call(make_response(200, first), make_response(200, second), commit=False)
        self.assertEqual(["a", "b"], [row.key for row in page.rows])
        self.assertIn("from=a%00", fake.requests[1].target)

    def test_a_page_without_a_readable_key_is_not_the_last(self):
        # Guards against LOST and TWICE: the rows after such a page were taken not to exist.
        for rows in ([], [{"key": 7}], [{"value": ""}, {"key": None}]):
            with self.assertRaises(errors.UnknownOutcomeError):
                self._call(
                    make_response(200, {"rows": rows, "ver": 5, "morePages": True}), commit=False
                )

    def test_changes_made_between_the_pages_of_a_read_are_left_to_the_feed(self):
        # Guards against LOST: a row stored between two pages, with a key of the first, was in
        # neither, and the feed was followed from the version of the last page.
        first = {"rows": [{"key": "b", "value": "", "ver": 1}], "ver": 5, "morePages": True}
        second = {"rows": [{"key": "c", "value": "", "ver": 2}], "ver": 7}
        _, page = self._call(make_response(200, first), make_response(200, second), commit=False)
        self.assertEqual(5, page.version)

    def test_rows_of_other_partitions_are_not_taken_for_those_of_this_system(self):
        # Guards against UNASKED and LOST: such a row would replace a configuration, or add or
        # cancel a job.
        changes = [{"key": "k", "part": part, "value": "Ylk=", "ver": 5} for part in ("x", "")]
        client = store.StoreClient(
            "h:80", FakeHttp(make_response(200, {"rows": changes, "ver": 9}))
        )
        self.assertEqual(1, len(curio.run(client.watch("t", 3, 0.0)).rows))

    def test_one_odd_row_does_not_hide_the_others(self):
        # Guards against a table or feed that no process can read any more because of one row.
        for odd in oddities.ODD_JSON:
            with self.subTest(odd=odd[:20]):
                body = b'{"rows":[{"key":"a","value":"Ylk=","ver":1},%b,{"key":"c","value":%b},'
                body += b'{"key":"d","value":"Ylk=","ver":%b},{"key":%b},'
                body += b'{"key":"z","value":"Ylk=","ver":4}],"ver":9}'
                response = effects.EndpointResponse(200, (), body % (odd, odd, odd, odd))
                _, page = self._call(response, commit=False)
                values = {row.key: row.value for row in page.rows if row.key}
                self.assertEqual(9, page.version)
                self.assertEqual(["a", "c", "d", "z"], list(values))
                self.assertEqual((b"bY", b"", b"", b"bY"), tuple(values.values()))


class WorkerTest(unittest.TestCase):
    def _client(self, *responses):
        client = worker.WorkerClient("10.0.0.2:80")
        client._http = FakeHttp(*responses)
        return client

    def test_a_probe_extends_no_lease_and_acknowledges_no_end(self):
        # Guards against a probe that changes a worker which is not the one that it names.
        client = self._client(make_response(409, {"clockMs": 5, "reason": "fence", "born": 17}))
        found = curio.run(client.probe("w1", 2))
        self.assertEqual(worker.ProbeResponse(17, True), found)
        (request,) = client._http.requests
        self.assertEqual({"fenceToken": 2, "lastSeen": 0}, msgspec.json.decode(request.body))
        self.assertIn(("X-Crocusrudder-Expect-Worker", "w1"), request.headers)

    def test_a_probe_that_another_incarnation_answers_is_refused(self):
        client = self._client(effects.EndpointResponse(421, (), b""))
        with self.assertRaises(errors.WrongWorkerError):
            curio.run(client.probe("w1", 2))

    def test_a_probe_without_a_readable_time_of_birth_proves_nothing(self):
        # Guards against a second run of a task: what cannot be read is not what is not there.
        for born in oddities.ODD_JSON:
            body = b'{"clockMs":5,"running":[],"ended":[],"born":%b}' % born
            client = self._client(effects.EndpointResponse(200, (), body))
            with self.subTest(born=born[:20]), self.assertRaises(errors.UnknownOutcomeError):
                curio.run(client.probe("w1", 2))

    def test_reason_of_a_rejected_start_is_decoded(self):
        order = workflow_messages.StartOrder("j.0.0.0", 7, "spec", "saved")
        for reason, expected in (
            ("fence", model.RejectReason.STALE_OWNER),
            ("room", model.RejectReason.NO_CAPACITY),
            ("late", model.RejectReason.LEASE_EXPIRED),
            ("old", model.RejectReason.STALE_RUN),
            ("ticket", model.RejectReason.NO_TICKET),
            ("new", model.RejectReason.MALFORMED),
        ):
            client = self._client(make_response(409, {"clockMs": 5, "reason": reason}))
            found = curio.run(client.start("w1", order, 2, 900))
            self.assertIs(expected, found.rejected)

    def test_a_start_carries_what_the_worker_checks(self):
        order = workflow_messages.StartOrder("j.0.0.0", 7, "spec", "saved", "ticket-1")
        client = self._client(make_response(200, {"clockMs": 5}))
        curio.run(client.start("w1", order, 2, 900))
        (request,) = client._http.requests
        expected = {"task": "j.0.0.0", "runId": 7, "spec": "spec", "saved": "saved"}
        expected |= {"ticket": "ticket-1", "expiresMs": 900, "fenceToken": 2}
        self.assertEqual(expected, msgspec.json.decode(request.body))
        self.assertIn(("X-Crocusrudder-Expect-Worker", "w1"), request.headers)

    def test_stops_and_cpu_shares_name_the_run_and_the_epoch(self):
        client = self._client(make_response(200, {}), make_response(409, {"reason": "fence"}))
        self.assertTrue(curio.run(client.stop("w1", "j.0.0.0", 7, 2)))
        self.assertFalse(curio.run(client.set_cpu_share("w1", "j.0.0.0", 7, 40, 2)))
        stop, pace = (msgspec.json.decode(request.body) for request in client._http.requests)
        self.assertEqual({"task": "j.0.0.0", "runId": 7, "fenceToken": 2}, stop)
        self.assertEqual(stop | {"percent": 40}, pace)

    def test_lists_of_running_and_ended_runs_are_decoded(self):
        content = {
            "clockMs": 5,
            "running": [["j.0.0.0", 2, "s1", 41, 12]],
            "ended": [[58, "j.0.0.9", 1, "done", ""]],
        }
        listed = curio.run(
            self._client(make_response(200, content)).poll_runs(("w1", 17), 7, 57, 900, 0.5)
        )
        self.assertEqual(12.0, listed.running[0].measure)
        self.assertEqual(58, listed.ended[0].number)

    def test_malformed_entries_of_a_list_are_left_out(self):
        # Guards against an agent that ends, and lets its leases expire, because of one entry.
        content = {
            "clockMs": 5,
            "running": [["j.0.0.0", 2, "s1", 41, 12], ["j.0.0.1", 2, "", None], [7], ["a", "b"]]
            + [["j.0.0.2", 2**64, "", 41], ["j.0.0.3", 2, "s3", 1e300]],
            "ended": [
                [58, "j.0.0.9", 1, "done", ""],
                ["59", "j.0.0.8", 1, "done", ""],
                [60, "j.0.0.7", 1, "vanished", ""],
                [2**64, "j.0.0.6", 1, "done", ""],
            ],
        }
        listed = curio.run(
            self._client(make_response(200, content)).poll_runs(("w1", 17), 7, 57, 900, 0.5)
        )
        self.assertEqual([58], [entry.number for entry in listed.ended])
        self.assertFalse(listed.is_complete)
        self.assertEqual(
            ["j.0.0.0", "j.0.0.1", "j.0.0.3"], [entry.task for entry in listed.running]
        )

    def test_a_run_of_which_only_the_name_can_be_read_is_present(self):
        # Guards against TWICE (soak seed 4201): a run with a negative percent counted as absent,
        # and its task was started on another worker.
        for odd in (b"-3", b"1e400", b'"\xff"', b"[" * 1_100 + b"]" * 1_100):
            body = b'{"clockMs":5,"running":[["j.0.0.0",2,"s0",%b,12]],"ended":[]}' % odd
            response = effects.EndpointResponse(200, (), body)
            listed = curio.run(self._client(response).poll_runs(("w1", 0), 7, 57, 900, 0.5))
            entry = workflow_messages.RunningTask("j.0.0.0", 2, "s0", 0, 12.0)
            self.assertEqual(((entry,), 1), (listed.running, listed.unreadable))
            self.assertTrue(listed.is_complete)

    def test_an_end_with_a_number_that_is_far_too_high_is_left_out(self):
        # Guards against LOST: the number was acknowledged, and the worker forgot all later ends
        # before they were read, so that their tasks ran again and again.
        for acknowledged, numbers, expected in (
            (57, [58, 2**62, 59], [58, 59]),
            (57, [2**62], []),
            (0, [5_000_000, 2**62, 5_000_001], [5_000_000, 5_000_001]),
            (0, [2**62], []),
            (0, [], []),
        ):
            ended = [[number, "j.0.0.9", number, "done", ""] for number in numbers]
            response = make_response(200, {"clockMs": 5, "running": [], "ended": ended})
            poll = self._client(response).poll_runs(("w1", 0), 7, acknowledged, 900, 0.5)
            listed = curio.run(poll)
            self.assertEqual(expected, [entry.number for entry in listed.ended])
            self.assertEqual(len(numbers) - len(expected), listed.unreadable)

    def test_an_entry_that_stays_unreadable_is_logged_once_per_interval(self):
        # Guards against a full disk: an agent wrote a line for each of up to 25 lists a second.
        content = {"clockMs": 7, "running": [], "ended": [[58, "j.0.0.0", 1, "odd", ""]]}
        client = self._client(*[make_response(200, content)] * 30)
        with (
            mock.patch.object(worker.time, "monotonic") as read_clock,
            mock.patch.object(worker.logs, "write_change") as write_change,
        ):
            for number in range(30):
                read_clock.return_value = number * 0.5
                poll = client.poll_runs(("w1", 0), 7, 57, 900, 0.5)
                with self.assertRaises(StopIteration):
                    poll.send(None)
        lines = [call.args[0].fields for call in write_change.mock_calls]
        self.assertEqual(2, len(lines))
        self.assertEqual([0, 19], [fields["omitted"] for fields in lines])

    def test_an_end_without_a_readable_checkpoint_counts(self):
        # Guards against TWICE: the end was left out and later acknowledged with the ends after it,
        # so that the task started again although it was done.
        for odd in (b"1e400", b"7", b'"\xff"', b"[" * 1_100 + b"]" * 1_100):
            body = b'{"clockMs":5,"running":[],"ended":[[58,"j.0.0.0",2,"done",%b]]}' % odd
            response = effects.EndpointResponse(200, (), body)
            listed = curio.run(self._client(response).poll_runs(("w1", 0), 7, 57, 900, 0.5))
            entry = workflow_messages.EndedRun(58, "j.0.0.0", 2, "done")
            self.assertEqual(((entry,), 1), (listed.ended, listed.unreadable))

    def test_a_list_that_may_not_name_all_runs_is_incomplete(self):
        for body, is_complete in (
            (b'{"running":[["",1e400]],"ended":[]}', False),
            (b'{"running":"","ended":[]}', False),
            (b'{"clockMs":5}', False),
            (b'{"running":[],"ended":[[1,2]]}', True),
            (b'{"running":[],"ended":[],"born":-1}', True),
        ):
            response = effects.EndpointResponse(200, (), body)
            listed = curio.run(self._client(response).poll_runs(("w1", 0), 7, 57, 900, 0.5))
            self.assertIs(is_complete, listed.is_complete, body)

    def test_a_full_list_of_ends_may_not_be_the_last(self):
        # Guards against TWICE (review/6): the first 500 ends were taken for all of them.
        for count, odd, has_more in ((499, 0, False), (500, 0, True), (490, 10, True)):
            ended = [[number, "j.0.0.9", number, "done", ""] for number in range(1, count + 1)]
            content = {"clockMs": 5, "running": [], "ended": [*ended, *[["odd"]] * odd]}
            poll = self._client(make_response(200, content)).poll_runs(("w1", 0), 7, 0, 900, 0.5)
            self.assertIs(has_more, curio.run(poll).has_more_ends)

    def test_one_odd_entry_leaves_the_others_of_a_list_readable(self):
        # Guards against a worker whose whole list is refused, so that its leases expire, because of
        # one entry that a JSON decoder refuses together with the whole document.
        for odd in oddities.ODD_JSON:
            with self.subTest(odd=odd[:20]):
                body = b'{"clockMs":5,"running":[["j.0.0.0",2,"s1",41],%b,["j.0.0.1",2,"",0]],'
                body += b'"ended":[%b,[58,"j.0.0.9",1,"done",""]]}'
                response = effects.EndpointResponse(200, (), body % (odd, odd))
                listed = curio.run(self._client(response).poll_runs(("w1", 0), 7, 57, 900, 0.5))
                self.assertEqual(["j.0.0.0", "j.0.0.1"], [entry.task for entry in listed.running])
                self.assertEqual([58], [entry.number for entry in listed.ended])
                self.assertEqual((5, 2), (listed.clock_ms, listed.unreadable))

    def test_response_of_another_incarnation_raises_an_error(self):
        client = self._client(make_response(421, {}))
        with self.assertRaises(errors.WrongWorkerError):
            curio.run(client.stop("w1", "j.0.0.0", 1, 7))
        client = self._client(make_response(200, {"clockMs": 5, "born": 18}))
        with self.assertRaises(errors.WrongWorkerError):
            curio.run(client.poll_runs(("w1", 17), 7, 57, 900, 0.5))


if __name__ == "__main__":
    unittest.main()
