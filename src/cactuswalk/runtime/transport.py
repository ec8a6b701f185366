"""Messages between processes: a ZeroMQ PULL socket, and a PUSH socket per peer.

All messages for one peer from one iteration of the event loop are sent as one frame.
Delivery is not guaranteed: the reducers handle loss, duplication and delay.
"""

import asyncio
import time
from collections.abc import Callable

import zmq

from cactuswalk.errors import CactuswalkError, MalformedMessageError
from cactuswalk.runtime.keys import KEY_SEPARATOR, CurveKeys

__all__ = ["Transport", "TransportError"]

# Frames that ZeroMQ queues for a peer that doesn't read. Further ones are dropped:
# they would be refused as stale by the time they arrive.
HIGH_WATER_MARK = 10_000
# Interval of reconnection attempts: two of them fit into the time after which an owner
# stops using a worker.
RECONNECT_MS = 100
# After a restart, a process is reconnected to at most this much later, when it sends
# its first messages to peers that had dropped it.
MAX_RECONNECT_MS = 200
# Connections without traffic for this long are closed, so that replaced hosts don't
# leave sockets behind.
IDLE_TIMEOUT_SECONDS = 60.0
# Frames received per iteration of the event loop, before timers and HTTP run.
MAX_FRAMES_PER_TURN = 200

# Messages for a peer that is not connected yet are held this long: enough for several
# attempts to connect, and less than the age at which receivers refuse them.
MAX_HOLD_SECONDS = 0.5
# Time for ZeroMQ to send queued frames when the transport closes.
LINGER_MS = 200
# Sends to a peer that is not connected are retried with a delay that doubles up to the
# maximum. With part of the hosts down, retries at a fixed interval would leave little
# time for the others.
MIN_RETRY_SECONDS = 0.005
MAX_RETRY_SECONDS = 0.04

# Frames between two calls of ``poll`` from which on they are received in batches, and
# below which each is received at once again.
MANY_FRAMES = 20
FEW_FRAMES = 10

# Plain ints, because pyzmq's enum flags are slow.
READABLE = int(zmq.POLLIN)
DONTWAIT = int(zmq.DONTWAIT)


class TransportError(CactuswalkError):
    """The process can't bind its message address."""

    code = "transport"


class Peer:
    """The socket to one process, and the messages that wait to be sent to it.

    :ivar since: when the oldest waiting message was queued.
    """

    __slots__ = ("socket", "waiting", "used_at", "since")

    def __init__(self, socket: zmq.Socket, now: float) -> None:
        self.socket = socket
        self.waiting: list[object] = []
        self.used_at = now
        self.since = now


class Transport:
    """The sockets of one process.

    :param address: the address announced to other processes.
    :param on_message: called in the event loop with the sender and the message.
    :param count: called with the name of a counter and the increment.
    :param keys: CURVE key pair and allowed public keys; None disables encryption.
    :param listen: the address to bind if it differs, as behind address translation.
    :param codec: a module with ``Envelope``, ``encode`` and ``decode``.
    :param heartbeat_ms: interval of heartbeats on connections to peers; a connection
        without an answer within half of it is replaced. 0 disables heartbeats: then
        messages on a silent connection are lost until the peer is restarted.
    :param clock: the clock that ``now`` arguments are read from.
    :param batch_seconds: interval at which frames are received while many come; 0
        receives each at once. A turn of the event loop costs more than a frame.
    :param may_batch: returns whether frames may wait that long.
    :ivar dirty: addresses of peers with messages that wait to be sent.
    """

    def __init__(
        self,
        address: str,
        on_message: Callable[[str, object], None],
        count: Callable[[str, int], None],
        keys: CurveKeys | None = None,
        listen: str = "",
        *,
        codec,
        heartbeat_ms: int = 0,
        clock: Callable[[], float] = time.monotonic,
        batch_seconds: float = 0.0,
        may_batch: Callable[[], bool] = lambda: True,
    ) -> None:
        self.may_batch = may_batch
        self.batch_seconds = batch_seconds
        self.batch_timer: asyncio.TimerHandle | None = None
        # Since the last call of ``poll``.
        self.frames_received = 0
        self.clock = clock
        self.address = address
        self.listen = strip_key(listen or address)
        self.on_message = on_message
        self.count = count
        self.keys = keys
        self.codec = codec
        self.heartbeat_ms = heartbeat_ms
        self.context = zmq.Context()
        self.peers: dict[str, Peer] = {}
        self.dirty: set[str] = set()
        self.retry_scheduled = False
        self.retry_delay = MIN_RETRY_SECONDS
        self.inbound: zmq.Socket | None = None
        self.loop: asyncio.AbstractEventLoop | None = None

    def open(self) -> None:
        """Start listening; needs a running event loop.

        :raises TransportError: if the address is in use or not one of this host.
        """
        self.loop = asyncio.get_running_loop()
        self.inbound = self.context.socket(zmq.PULL)
        self.inbound.set_hwm(HIGH_WATER_MARK)
        self.inbound.linger = 0
        if self.keys is not None:
            self.keys.protect_server(self.context, self.inbound, self.count)
        try:
            self.inbound.bind(self.listen)
        except zmq.ZMQError as error:
            raise TransportError(
                f"can't listen on {self.listen}: {error}",
                "Set an address of this host that is not in use.",
            ) from error
        self.loop.add_reader(self.inbound.fileno(), self._on_readable)

    def close(self) -> None:
        """Close all sockets; queued frames have ``LINGER_MS`` to be sent."""
        if self.keys is not None:
            self.keys.stop()
        if self.batch_timer is not None:
            self.batch_timer.cancel()
        if self.inbound is not None:
            self.loop.remove_reader(self.inbound.fileno())
            self.inbound.close()
        for peer in self.peers.values():
            peer.socket.close(linger=LINGER_MS)
        self.peers.clear()
        self.dirty.clear()
        self.context.term()

    def send(self, address: str, message: object, now: float) -> None:
        """Queue a message for the next frame to its receiver."""
        peer = self.peers.get(address)
        if peer is None:
            socket = self._connect(address)
            if socket is None:
                return
            peer = self.peers[address] = Peer(socket, now)
        peer.used_at = now
        if not peer.waiting:
            peer.since = now
        peer.waiting.append(message)
        self.dirty.add(address)

    def flush(self) -> None:
        """Send all queued messages, one frame per receiver."""
        dirty, self.dirty = self.dirty, set()
        for address in dirty:
            self._flush_peer(address, self.peers[address])

    def _flush_peer(self, address: str, peer: Peer) -> None:
        frame = self.codec.encode(self.codec.Envelope(self.address, peer.waiting))
        try:
            peer.socket.send(frame, DONTWAIT)
        except zmq.Again:
            self._hold_messages(address, peer)
            return
        peer.waiting = []
        self.count("transport.frames_sent", 1)
        self.count("transport.bytes_sent", len(frame))

    def _hold_messages(self, address: str, peer: Peer) -> None:
        """Hold messages until the connection is made, or drop them if too old.

        Connecting takes a round trip or more, and the first message to a process must
        not be lost. Messages that wait longer are for a process that is gone; the next
        one at its address would refuse them as stale.
        """
        if self.clock() - peer.since > MAX_HOLD_SECONDS:
            self.count("transport.dropped", len(peer.waiting))
            peer.waiting = []
            return
        self.dirty.add(address)
        if not self.retry_scheduled:
            self.retry_scheduled = True
            self.loop.call_later(self.retry_delay, self._retry)

    def _retry(self) -> None:
        self.retry_scheduled = False
        self.retry_delay = min(MAX_RETRY_SECONDS, 2 * self.retry_delay)
        self.flush()
        if not self.retry_scheduled:
            self.retry_delay = MIN_RETRY_SECONDS

    def close_idle(self, now: float) -> None:
        """Close the sockets to peers without recent messages."""
        for address, peer in list(self.peers.items()):
            if now - peer.used_at > IDLE_TIMEOUT_SECONDS and not peer.waiting:
                peer.socket.close(linger=0)
                del self.peers[address]

    def poll(self) -> None:
        """Receive waiting frames; ZeroMQ's edge-triggered descriptor can miss some."""
        if self.keys is not None:
            self.keys.poll()
        if self.inbound is None or self.inbound.closed:
            return
        self._receive_waiting()
        if self.batch_seconds:
            self._adapt_to_rate()
        self.frames_received = 0

    def _adapt_to_rate(self) -> None:
        """Receive frames in batches while many come, and each at once otherwise."""
        if self.batch_timer is not None:
            if self.frames_received < FEW_FRAMES:
                self._end_batches()
        elif self.frames_received >= MANY_FRAMES and self.may_batch():
            self.loop.remove_reader(self.inbound.fileno())
            self._receive_batch()

    def _receive_batch(self) -> None:
        self.batch_timer = self.loop.call_later(self.batch_seconds, self._receive_batch)
        self._receive_waiting()
        if not self.may_batch():
            self._end_batches()

    def _end_batches(self) -> None:
        self.batch_timer.cancel()
        self.batch_timer = None
        self.loop.add_reader(self.inbound.fileno(), self._on_readable)

    def _connect(self, address: str) -> zmq.Socket | None:
        socket = self.context.socket(zmq.PUSH)
        socket.set_hwm(HIGH_WATER_MARK)
        socket.linger = 0
        # Queue only on completed connections. Otherwise frames pile up for a process
        # that is gone, and reach the next one at its address when they are obsolete.
        socket.immediate = 1
        socket.reconnect_ivl = RECONNECT_MS
        socket.reconnect_ivl_max = MAX_RECONNECT_MS
        self._set_heartbeat(socket)
        if self.keys is not None and not self.keys.protect_client(socket, address):
            socket.close()
            self.count("transport.key_refused", 1)
            return None
        try:
            socket.connect(strip_key(address))
        except zmq.ZMQError:
            # The address comes from a message or from the store.
            socket.close()
            self.count("transport.unusable_address", 1)
            return None
        return socket

    def _set_heartbeat(self, socket: zmq.Socket) -> None:
        if not self.heartbeat_ms:
            return
        socket.setsockopt(zmq.HEARTBEAT_IVL, self.heartbeat_ms)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, self.heartbeat_ms // 2)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, self.heartbeat_ms)

    def _on_readable(self) -> None:
        """Receive all waiting frames after a signal of the descriptor.

        It signals once for all of them, and again only after they were received.
        """
        if self.inbound.closed:
            return
        for _ in range(MAX_FRAMES_PER_TURN):
            try:
                frame = self.inbound.recv(DONTWAIT)
            except zmq.Again:
                return
            self._handle_frame(frame)
            # This costs less than an exception at the end of each call.
            if not self.inbound.get(zmq.EVENTS) & READABLE:
                return
        # More frames may wait, and the descriptor won't signal them again.
        self.loop.call_soon(self._on_readable)

    def _receive_waiting(self) -> None:
        """Receive all waiting frames without a signal that there are any."""
        if self.inbound.get(zmq.EVENTS) & READABLE:
            self._on_readable()

    def _handle_frame(self, frame: bytes) -> None:
        self.frames_received += 1
        self.count("transport.frames_received", 1)
        try:
            envelope = self.codec.decode(frame)
        except MalformedMessageError:
            self.count("transport.malformed", 1)
            return
        for message in envelope.messages:
            self.on_message(envelope.sender, message)


def strip_key(address: str) -> str:
    """Return an address without its key: the endpoint for ZeroMQ."""
    return address.split(KEY_SEPARATOR)[0]
