"""Tests of the codec."""

import unittest

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import codec
from crocusrudder.wire import errors
from crocusrudder.wire import messages

SENDER = codec.Sender(ids.ProcessId("a"), ids.Incarnation("1"), "127.0.0.1:1")
ACK = messages.HeartbeatAck(7, ids.CellId("c"), ids.CellEpoch(2), 300.0)


class CodecTest(unittest.TestCase):
    """Guards against messages that decode to something else than was sent, and against crashes."""

    def test_returns_the_message_that_was_encoded(self):
        envelope, message = codec.decode(SENDER.encode(ACK), ids.Incarnation("9"))
        self.assertEqual(message, ACK)
        self.assertEqual(envelope.sender, "a")

    def test_refuses_another_incarnation(self):
        data = SENDER.encode(ACK, ids.Incarnation("old"))
        with self.assertRaises(errors.WrongIncarnationError):
            codec.decode(data, ids.Incarnation("new"))

    def test_refuses_every_truncation(self):
        data = SENDER.encode(ACK)
        for length in range(len(data)):
            with self.subTest(length=length), self.assertRaises(errors.MalformedMessageError):
                codec.decode(data[:length], ids.Incarnation(""))

    def test_refuses_a_newer_major_version(self):
        envelope = msgspec.msgpack.decode(SENDER.encode(ACK))
        envelope[0] = messages.PROTOCOL_MAJOR + 1
        with self.assertRaises(errors.NewerVersionError):
            codec.decode(msgspec.msgpack.encode(envelope), ids.Incarnation(""))

    def test_ignores_fields_that_a_newer_minor_version_adds(self):
        envelope = msgspec.msgpack.decode(SENDER.encode(ACK))
        envelope.append("added later")
        _, message = codec.decode(msgspec.msgpack.encode(envelope), ids.Incarnation(""))
        self.assertEqual(message, ACK)

    def test_refuses_too_large_messages_on_both_sides(self):
        large = messages.DumpAnswer("d", bytes(codec.MAX_ENVELOPE_BYTES))
        with self.assertRaises(errors.MessageTooLargeError):
            SENDER.encode(large)
        with self.assertRaises(errors.MessageTooLargeError):
            codec.decode(bytes(codec.MAX_ENVELOPE_BYTES + 1), ids.Incarnation(""))
