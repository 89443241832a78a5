"""Encode and decode envelopes (msgpack)."""

import functools
import operator

import msgspec

from crocusrudder.core import ids
from crocusrudder.wire import errors
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages

MAX_ENVELOPE_BYTES = 4 * 1024 * 1024
ANY_INCARNATION = ids.Incarnation("")

_MESSAGE_MODULES = (messages, workflow_messages)
AnyMessage = functools.reduce(operator.or_, messages.Message.__subclasses__())

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(messages.Envelope)
_MESSAGE_DECODER = msgspec.msgpack.Decoder(AnyMessage)


class Sender:
    """Identity of a process, with which it encodes its messages."""

    def __init__(self, process: ids.ProcessId, incarnation: ids.Incarnation, address: str) -> None:
        self._process = process
        self._incarnation = incarnation
        self._address = address

    @property
    def incarnation(self) -> ids.Incarnation:
        return self._incarnation

    def encode(
        self,
        message: messages.Message,
        destination_incarnation: ids.Incarnation = ANY_INCARNATION,
    ) -> bytes:
        """Encode the message in an envelope.

        Raises ``MessageTooLargeError`` above ``MAX_ENVELOPE_BYTES``.
        """
        envelope = messages.Envelope(
            messages.PROTOCOL_MAJOR,
            messages.PROTOCOL_MINOR,
            self._process,
            self._incarnation,
            self._address,
            destination_incarnation,
            msgspec.Raw(_ENCODER.encode(message)),
        )
        data = _ENCODER.encode(envelope)
        if len(data) > MAX_ENVELOPE_BYTES:
            raise errors.MessageTooLargeError(f"envelope too large: {len(data)} bytes")
        return data


def decode(data: bytes, incarnation: ids.Incarnation) -> tuple[messages.Envelope, messages.Message]:
    """Decode an envelope and its message.

    Raises ``MalformedMessageError``, ``NewerVersionError``, ``WrongIncarnationError`` or
    ``MessageTooLargeError``; ``incarnation`` is the receiver's own.
    """
    if len(data) > MAX_ENVELOPE_BYTES:
        raise errors.MessageTooLargeError(f"envelope too large: {len(data)} bytes")
    envelope = _decode_envelope(data)
    if envelope.major > messages.PROTOCOL_MAJOR:
        raise errors.NewerVersionError(
            f"protocol version {envelope.major} exceeds the supported {messages.PROTOCOL_MAJOR}",
            envelope.sender,
            envelope.sender_address,
        )
    if envelope.destination_incarnation not in ("", incarnation):
        raise errors.WrongIncarnationError(
            f"message for incarnation {envelope.destination_incarnation}"
        )
    try:
        return envelope, _MESSAGE_DECODER.decode(envelope.message)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise errors.MalformedMessageError(str(error)) from error


def _decode_envelope(data: bytes) -> messages.Envelope:
    try:
        return _ENVELOPE_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise errors.MalformedMessageError(str(error)) from error
