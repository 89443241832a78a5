"""Tests of the codec."""

import itertools
import math
import struct
import unittest

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import codec
from crocusrudder.wire import errors
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages

SENDER = codec.Sender(ids.ProcessId("a"), ids.Incarnation("1"), "127.0.0.1:1")
ACK = messages.HeartbeatAck(7, ids.CellId("c"), ids.CellEpoch(2), 300.0)


class CodecTest(unittest.TestCase):
    """Guards against messages that decode to something other than what was sent, and crashes."""

    def test_decoding_returns_the_encoded_message(self):
        envelope, message = codec.decode(SENDER.encode(ACK), ids.Incarnation("9"))
        self.assertEqual(message, ACK)
        self.assertEqual(envelope.sender, "a")

    def test_message_for_another_incarnation_is_refused(self):
        data = SENDER.encode(ACK, ids.Incarnation("old"))
        with self.assertRaises(errors.WrongIncarnationError):
            codec.decode(data, ids.Incarnation("new"))

    def test_every_truncated_message_is_refused(self):
        data = SENDER.encode(ACK)
        for length in range(len(data)):
            with self.subTest(length=length), self.assertRaises(errors.MalformedMessageError):
                codec.decode(data[:length], ids.Incarnation(""))

    def test_numbers_that_cannot_be_meant_are_refused(self):
        # Guards against marks that no later message can reach, and against NaN, which is neither
        # older nor newer than any time: each later report or hello would be ignored.
        for message in (
            workflow_messages.OwnerHello(2**62),
            workflow_messages.OwnerHello(-1),
            workflow_messages.OwnerHello(1, version=2**64 - 1),
            workflow_messages.EntryHello(2**62),
            workflow_messages.EntryHello(1, -1.0),
            workflow_messages.AgentOrders(2**62, 1, 0.0, ids.WorkerId("w"), 1),
            workflow_messages.AgentOrders(1, 2**62, 0.0, ids.WorkerId("w"), 1),
            workflow_messages.AgentReport(ids.DataCentre("z"), 0.0, 2**62, 0, None, True, False),
            workflow_messages.JobStored(ids.JobId("j"), -1),
            # Guards against a call of an unknown kind that is carried out as a cancellation.
            workflow_messages.JobCall("c", "delete", ids.JobId("j")),
        ):
            with self.subTest(message=message), self.assertRaises(errors.MalformedMessageError):
                codec.decode(SENDER.encode(message), ids.Incarnation(""))
        valid = (
            workflow_messages.EntryHello(1, 2.5),
            workflow_messages.AgentOrders(1, 1, 2.5, ids.WorkerId("w"), 1),
            workflow_messages.AgentReport(ids.DataCentre("z"), 2.5, 1, 0, None, True, False),
        )
        for message, odd in itertools.product(valid, (math.nan, math.inf, -math.inf)):
            data = SENDER.encode(message).replace(struct.pack(">d", 2.5), struct.pack(">d", odd))
            with self.subTest(message=message), self.assertRaises(errors.MalformedMessageError):
                codec.decode(data, ids.Incarnation(""))

    def test_newer_major_version_is_refused(self):
        envelope = msgspec.msgpack.decode(SENDER.encode(ACK))
        envelope[0] = messages.PROTOCOL_MAJOR + 1
        with self.assertRaises(errors.NewerVersionError):
            codec.decode(msgspec.msgpack.encode(envelope), ids.Incarnation(""))

    def test_unknown_fields_of_a_newer_minor_version_are_ignored(self):
        envelope = msgspec.msgpack.decode(SENDER.encode(ACK))
        envelope.append("added later")
        _, message = codec.decode(msgspec.msgpack.encode(envelope), ids.Incarnation(""))
        self.assertEqual(message, ACK)

    def test_too_large_messages_are_refused_by_sender_and_receiver(self):
        large = messages.DumpAnswer("d", bytes(codec.MAX_ENVELOPE_BYTES))
        with self.assertRaises(errors.MessageTooLargeError):
            SENDER.encode(large)
        with self.assertRaises(errors.MessageTooLargeError):
            codec.decode(bytes(codec.MAX_ENVELOPE_BYTES + 1), ids.Incarnation(""))
