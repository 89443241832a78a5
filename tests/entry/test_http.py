"""Tests of an entry's HTTP interface with a core that the test scripts."""

import unittest

import curio

from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.entry import http
from crocusrudder.hosting import http_messages
from crocusrudder.requests import outcomes
from crocusrudder.wire import messages

HEADERS = (("team", "arriola"), ("idempotency-key", "k1"), ("request-timeout", "2.5"))
DONE = outcomes.Done(messages.Response(201, (("x-tray", "7"),), b"whole"), True)


def make_request(method="POST", target="/v1/services/dispatch/trays/7?a=1", headers=HEADERS):
    """Return a caller's request."""
    return http_messages.Request(method, target, headers, b"{}")


def serve(request, answer):
    """Return the response to a request and the events that reached the core."""
    seen = []

    async def run():
        async def post(event):
            seen.append(event)
            if isinstance(event, events.CallerArrived):
                entry_http.answer_caller(effects.AnswerCaller(event.request, answer))
            elif isinstance(event, events.OperatorAsked):
                entry_http.answer_operator(effects.AnswerOperator(event.operation, 200, answer))

        entry_http = http.EntryHttp(post)
        delivering = await curio.spawn(entry_http.deliver_forever, daemon=True)
        response = await entry_http.handle_request(request)
        await delivering.cancel()
        return response

    return curio.run(run), seen


class CallerTest(unittest.TestCase):
    """Guards against requests and outcomes that are changed on their way."""

    def test_turns_a_request_into_an_arrival_and_back(self):
        response, (event,) = serve(make_request(), DONE)
        self.assertEqual(event.arrival.target, "/trays/7?a=1")
        self.assertEqual(
            (event.arrival.service, event.arrival.order_kind, event.arrival.key),
            ("dispatch", "trays", "k1"),
        )
        self.assertEqual(event.arrival.timeout_seconds, 2.5)
        self.assertEqual((response.status, response.body), (201, b"whole"))
        self.assertIn(("crocusrudder-outcome", "done"), response.headers)
        self.assertIn(("x-tray", "7"), response.headers)
