"""Transport of envelopes between processes over TCP (pyzmq under curio).

Each process binds one ROUTER socket and opens one DEALER socket for each peer that it sends to.
Delivery is not guaranteed: a message that cannot be handed to a connection within
``CONNECT_GRACE_SECONDS`` is dropped and counted.
"""

import collections
import time
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import curio.traps
import zmq

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.observability import logs
from crocusrudder.wire import addresses
from crocusrudder.wire import codec
from crocusrudder.wire import errors
from crocusrudder.wire import messages

CONNECT_GRACE_SECONDS = 1.0
RETRY_SECONDS = 0.02
IDLE_RETRY_SECONDS = 0.5
"""Polling interval for messages that were sent without a subsequent ``retry_unsent``. At 50 polls
per second, polling took more than half of the CPU time of an idle agent."""
RECEIVE_BATCH = 64
PEER_QUEUE_MESSAGES = 512
HEARTBEAT_INTERVAL_MS = 600
HEARTBEAT_TIMEOUT_MS = 1_200
"""Time without an answer to a heartbeat after which a connection is replaced. An open connection
may go silent without a reset; with the interval, the time without messages stays below
``leases.ORDER_VALID_SECONDS``."""
HEARTBEAT_TTL_MS = 15_000
"""Time without a heartbeat after which the receiver closes a connection, to free its descriptor."""
CONNECT_TIMEOUT_MS = 1_000
"""Timeout of an attempt to connect, and of the handshake that follows. The system repeats the first
packet after 1, 3, 7 and 15 s, so an attempt that began during a partition could end long after it.
"""
MAX_SOCKETS = 4_096
MAX_PEERS = 2_048
"""Limit of open connections, of which the one used least recently is closed for a further one.

Below ``MAX_SOCKETS``, as closing takes time; a deployment has up to 1,128 machines."""
MAX_ADDRESSES = 8_192
MAX_QUOTED = 100
"""Characters of an invalid address that the log repeats."""

ANY_INCARNATION = codec.ANY_INCARNATION

Deliver = Callable[[messages.Envelope, messages.Message], Awaitable[None]]
CountDrop = Callable[[str], None]


class _Peer:
    """One outgoing connection and its queue of unsent messages."""

    def __init__(self, context: zmq.Context, address: str) -> None:
        self._socket = context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        # Without IMMEDIATE, messages to an absent peer are queued and are outdated on arrival.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.SNDHWM, PEER_QUEUE_MESSAGES)
        self._socket.setsockopt(zmq.RECONNECT_IVL, 50)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1_000)
        self._socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._socket.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TTL_MS)
        self._socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        self._socket.setsockopt(zmq.HANDSHAKE_IVL, CONNECT_TIMEOUT_MS)
        self._socket.connect(f"tcp://{address}")
        self._queue: collections.deque[tuple[float, bytes]] = collections.deque(
            maxlen=PEER_QUEUE_MESSAGES
        )

    @property
    def has_queued(self) -> bool:
        return bool(self._queue)

    @property
    def queued(self) -> int:
        """Return the number of queued messages."""
        return len(self._queue)

    def enqueue(self, data: bytes, now: float) -> None:
        """Append the message for ``flush`` to send; a full queue drops its oldest message."""
        self._queue.append((now + CONNECT_GRACE_SECONDS, data))

    def flush(self, now: float) -> int:
        """Send queued messages; return how many were dropped after the grace period."""
        dropped = 0
        while self._queue:
            deadline, data = self._queue[0]
            try:
                self._socket.send(data, zmq.NOBLOCK)
            except zmq.Again:
                if now < deadline:
                    return dropped
                dropped += 1
            self._queue.popleft()
        return dropped

    def close(self) -> None:
        """Close the connection and drop queued messages."""
        self._socket.close(0)


class Transport:
    """Send and receive messages under one identity."""

    def __init__(self, sender: codec.Sender, bind_address: str, count: CountDrop) -> None:
        self._sender = sender
        self._count = count
        self._context = zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.MAXMSGSIZE, codec.MAX_ENVELOPE_BYTES)
        self._addresses: dict[ids.ProcessId, str] = {}
        self._peers: dict[str, _Peer] = {}
        self._unsent: set[_Peer] = set()
        self._oversized: set[ids.ProcessId] = set()
        """Processes whose last message was too large to send."""
        self._has_unsent = curio.Event()
        self._bind(bind_address)

    def _bind(self, address: str) -> None:
        try:
            self._router.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise errors.TransportError(f"cannot bind {address}: {error}") from error

    def record_address(self, process: ids.ProcessId, address: str) -> None:
        """Record the address at which a process listens, as ``host:port``; ignore an empty one.

        An invalid one is logged and counted and does not replace a valid one.
        """
        if not address:
            return
        if not addresses.is_valid(address):
            self._count("wire_addresses_refused")
            self._log_invalid(process, address, "not a host and a port")
            return
        self._addresses.pop(process, None)
        self._addresses[process] = address
        if len(self._addresses) > MAX_ADDRESSES:
            oldest = next(iter(self._addresses))
            del self._addresses[oldest]
            self._oversized.discard(oldest)

    def send(
        self, to: ids.ProcessId, message: messages.Message, incarnation: ids.Incarnation
    ) -> None:
        """Send a message; drop and count it if it is too large or the address is unknown."""
        address = self._addresses.get(to)
        if address is None:
            self._count("wire_dropped_unknown_peer")
            return
        data = self._encode(to, message, incarnation)
        if data is None:
            return
        peer = self._peers.pop(address, None) or self._connect(to, address)
        if peer is None:
            return
        self._peers[address] = peer
        now = time.monotonic()
        peer.enqueue(data, now)
        self._count_expired(peer.flush(now))
        if peer.has_queued:
            self._unsent.add(peer)

    def _encode(
        self, to: ids.ProcessId, message: messages.Message, incarnation: ids.Incarnation
    ) -> bytes | None:
        """Return the encoded message; None for one that is too large, which is counted.

        Senders repeat their messages, so an error would end this process again after each start.
        Only the first of several in a row to a process is logged.
        """
        try:
            data = self._sender.encode(message, incarnation)
        except errors.MessageTooLargeError as error:
            self._count("wire_dropped_too_large")
            if to not in self._oversized:
                fields = {"peer": to, "kind": type(message).__name__, **error.to_dict()}
                logs.write_change(effects.LogChange("message_not_sent", fields))
            self._oversized.add(to)
            return None
        self._oversized.discard(to)
        return data

    def _connect(self, to: ids.ProcessId, address: str) -> _Peer | None:
        """Open a connection; count the message as dropped if the address is not one."""
        if len(self._peers) >= MAX_PEERS:
            self._close_peer(next(iter(self._peers)))
            self._count("wire_peers_closed")
        try:
            return _Peer(self._context, address)
        except zmq.ZMQError as error:
            self._count("wire_dropped_unknown_peer")
            self._log_invalid(to, address, str(error))
            return None

    def _log_invalid(self, process: ids.ProcessId, address: str, error: str) -> None:
        fields = {"peer": process, "address": address[:MAX_QUOTED], "error": error}
        logs.write_change(effects.LogChange("peer_address_invalid", fields))

    def _close_peer(self, address: str) -> None:
        peer = self._peers.pop(address, None)
        if peer is not None:
            self._count_expired(peer.queued)
            self._unsent.discard(peer)
            peer.close()

    def reconnect(self, process: ids.ProcessId) -> None:
        """Close the connection to a possibly unresponsive process; the next send opens a new one.

        Messages queued for the connection are dropped.
        """
        self._close_peer(self._addresses.get(process, ""))

    async def retry_unsent(self) -> None:
        """Wake up ``retry_forever`` if there are queued messages."""
        if self._unsent:
            await self._has_unsent.set()

    async def receive_forever(self, deliver: Deliver) -> None:
        """Decode and deliver arriving messages; count those that cannot be decoded."""
        while True:
            received = await self._receive_batch(deliver)
            if received == RECEIVE_BATCH:
                await curio.sleep(0)
            elif not self._router.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                # The descriptor is edge-triggered, so check for pending events before waiting.
                await curio.traps._read_wait(self._router.fileno())

    async def retry_forever(self) -> None:
        """Retry the queued messages of all connections."""
        while True:
            await curio.ignore_after(IDLE_RETRY_SECONDS, self._has_unsent.wait)
            while self._unsent:
                await curio.sleep(RETRY_SECONDS)
                self._flush_unsent(time.monotonic())
            self._has_unsent.clear()

    def _flush_unsent(self, now: float) -> None:
        for peer in list(self._unsent):
            self._count_expired(peer.flush(now))
            if not peer.has_queued:
                self._unsent.discard(peer)

    def close(self) -> None:
        for peer in self._peers.values():
            peer.close()
        self._router.close(0)
        self._context.term()

    def _count_expired(self, dropped: int) -> None:
        for _ in range(dropped):
            self._count("wire_dropped_unconnected")

    async def _receive_batch(self, deliver: Deliver) -> int:
        for received in range(RECEIVE_BATCH):
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return received
            await self._deliver(frames[-1], deliver)
        return RECEIVE_BATCH

    async def _deliver(self, data: bytes, deliver: Deliver) -> None:
        try:
            envelope, message = codec.decode(data, self._sender.incarnation)
        except errors.WrongIncarnationError:
            self._count("wire_refused_incarnation")
        except errors.NewerVersionError as error:
            self._count(f"wire_refused_{error.code}")
            self.record_address(error.sender, error.address)
            self.send(error.sender, messages.Refused(error.code, error.message), ANY_INCARNATION)
        except errors.WireError as error:
            self._count(f"wire_refused_{error.code}")
        else:
            self.record_address(envelope.sender, envelope.sender_address)
            await self._handle(envelope, message, deliver)

    async def _handle(
        self, envelope: messages.Envelope, message: messages.Message, deliver: Deliver
    ) -> None:
        """Pass a message to its handler; log and count any error of the handler.

        The sender repeats what it has not seen confirmed, so an error that ended the process would
        end each process that takes over its role.
        """
        try:
            await deliver(envelope, message)
        except Exception as error:
            self._count("wire_delivery_failed")
            failure = errors.DeliveryError(f"{type(message).__name__}: {error!r}")
            fields = {"sender": envelope.sender, **failure.to_dict()}
            logs.write_change(effects.LogChange("message_not_handled", fields))
