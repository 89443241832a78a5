"""Tests of the calls of an entry's callers."""

import unittest

import curio
import msgspec

from crocusrudder.core import ids
from crocusrudder.hosting import http_messages
from crocusrudder.platform import operator
from crocusrudder.workflows import calls
from crocusrudder.workflows import entry_http
from crocusrudder.workflows import model
from crocusrudder.workflows import owner
from crocusrudder.workflows import rows
from tests.platform import oddities
from tests.workflows import world

JOB = ids.JobId("0123456789abcdef")
QUEUE = model.Queue(world.QUEUE, "host", "/q/", world.SERVICE, max_attempts=3)


class SubmitTest(unittest.TestCase):
    def setUp(self):
        self.stored: list[bytes] = []
        configuration = model.Configuration(1, (QUEUE,))
        self.http = entry_http.JobHttp(
            self._execute, lambda: configuration, lambda _: None, lambda: 1
        )

    async def _execute(self, kind, job, row, timeout_seconds):
        self.stored.append(row)
        return calls.Outcome.ACCEPTED

    def _submit(self) -> model.Job:
        """Submit a job; return it as stored."""
        body = msgspec.json.encode({"spec": "x", "steps": [{"taskCount": 1, "cpu": 1_000}]})
        request = http_messages.Request("POST", f"/q/{JOB}", (("host", "host"),), body)
        curio.run(self.http.handle(request))
        return rows.decode_job(self.stored[0], JOB)

    def _post(self, body: bytes, *headers: tuple[str, str]) -> int:
        request = http_messages.Request("POST", f"/q/{JOB}", (("host", "host"), *headers), body)
        return curio.run(self.http.handle(request)).status

    def test_numbers_that_cannot_be_stored_are_refused_with_a_coded_error(self):
        # Guards against a response of 500: integers of more than 64 bits cannot be encoded.
        fields = ("cpu", "memMb", "gpu", "antiAffinity", "mayMiss", "estRuntimeMs", "targetMs")
        for name in fields:
            for value in (*oddities.ODD_NUMBERS, b"-1"):
                body = b'{"spec":"x","steps":[{"taskCount":1,"%b":%b}]}' % (name.encode(), value)
                self.assertEqual(400, self._post(body), (name, value[:30]))
        for name in ("maxRuns", "startAtMs", "intervalMs"):
            for value in (*oddities.ODD_NUMBERS, b"-1"):
                body = b'{"spec":"x","steps":[{"taskCount":1}],"%b":%b}' % (name.encode(), value)
                self.assertEqual(400, self._post(body), (name, value[:30]))
        self.assertEqual([], self.stored)

    def test_a_job_that_the_store_cannot_hold_is_refused_as_too_large(self):
        # Guards against 504 for each of the caller's attempts, as the store refuses the row.
        body = {"spec": "x" * 70_000, "steps": [{"taskCount": 1}]}
        self.assertEqual(413, self._post(msgspec.json.encode(body)))
        self.assertEqual([], self.stored)

    def test_a_timeout_that_is_no_number_counts_as_none(self):
        # Guards against a response of 500: str.isdigit holds for digits that int refuses.
        body = msgspec.json.encode({"spec": "x", "steps": [{"taskCount": 1}]})
        for text in ("\u00b2", "\u0663", "9" * 5_000, "-1", "1e400", "NaN", ""):
            self.assertEqual(200, self._post(body, (operator.CALLER_TIMEOUT_HEADER, text)), text)

    def test_a_job_of_a_removed_queue_runs_after_a_change_of_the_owner(self):
        # Guards against LOST: an owner knew the queues of configurations of its own time only, so
        # that jobs accepted before the queue was removed were never planned again.
        system = world.World()
        system.owner = owner.Owner(model.OwnerEpoch(2), 0, system.now)
        system.owner.set_configuration(model.Configuration(2))
        system.owner.add_job(self._submit(), 10)
        system.run(3.0)
        self.assertEqual(1, system.count_starts(f"{JOB}.0.0.0"))


class ResponseTest(unittest.TestCase):
    """The status shows whether a request has had an effect."""

    def _call(self, method: str, path: str, outcome=None, configuration=None, headers=()):
        self.timeouts = []

        async def execute(kind, job, row, timeout_seconds):
            self.timeouts.append(timeout_seconds)
            return outcome

        handler = entry_http.JobHttp(execute, lambda: configuration, self.pending.get, lambda: 1)
        headers = (("host", "host"), *headers)
        body = b'{"spec":"x","steps":[{"taskCount":1}]}' if method == "POST" else b""
        request = http_messages.Request(method, path, headers, body)
        return curio.run(handler.handle(request))

    def setUp(self):
        self.pending = {world.QUEUE: 12}
        self.known = model.Configuration(1, (QUEUE,))

    def test_each_outcome_has_its_status(self):
        outcomes = calls.Outcome
        for method, outcome, status in (
            ("POST", outcomes.ACCEPTED, 200),
            ("POST", outcomes.NOT_PERFORMED, 503),
            ("POST", outcomes.UNCERTAIN, 504),
            ("GET", outcomes.COMPLETED, 200),
            ("GET", outcomes.UNKNOWN_JOB, 410),
            ("DELETE", outcomes.CANCELLED, 200),
            ("DELETE", outcomes.UNKNOWN_JOB, 410),
        ):
            with self.subTest(method=method, outcome=outcome):
                response = self._call(method, f"/q/{JOB}", outcome, self.known)
                self.assertEqual(status, response.status)

    def test_requests_that_reach_no_job(self):
        for method, path, configuration, status in (
            ("POST", f"/q/{JOB}", None, 503),
            ("POST", f"/other/{JOB}", self.known, 404),
            ("POST", "/q/short", self.known, 404),
            ("PUT", f"/q/{JOB}", self.known, 405),
        ):
            response = self._call(method, path, None, configuration)
            self.assertEqual((status, []), (response.status, self.timeouts))

    def test_a_submission_above_the_configured_size_is_refused_unstored(self):
        small = model.Configuration(1, (QUEUE,), body_bytes=10)
        response = self._call("POST", f"/q/{JOB}", calls.Outcome.ACCEPTED, small)
        self.assertEqual((413, []), (response.status, self.timeouts))

    def test_the_number_of_pending_jobs_is_told_while_it_is_known(self):
        response = self._call("GET", "/q/", None, self.known)
        self.assertEqual({"pending": 12}, msgspec.json.decode(response.body))
        self.pending.clear()
        self.assertEqual(503, self._call("GET", "/q/", None, self.known).status)

    def test_the_timeout_of_the_caller_counts(self):
        for value, seconds in (("1500", 1.5), ("soon", entry_http.DEFAULT_TIMEOUT_SECONDS)):
            headers = (("x-crocusrudder-timeout-ms", value),)
            self._call("GET", f"/q/{JOB}", calls.Outcome.QUEUED, self.known, headers)
            self.assertEqual([seconds], self.timeouts)


if __name__ == "__main__":
    unittest.main()
