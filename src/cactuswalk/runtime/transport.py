"""Messages between processes: ZeroMQ PULL for what comes, PUSH for each peer.

All messages of one turn of the loop for one peer leave as one frame. Delivery
is not promised; the reducers expect loss, repetition and delay.
"""

import asyncio
import time
from collections.abc import Callable

import zmq

from cactuswalk.errors import CactuswalkError, MalformedMessageError
from cactuswalk.runtime.keys import KEY_SEPARATOR, CurveKeys

__all__ = ["Transport", "TransportError"]

# Frames that may wait for a peer that doesn't read. Beyond it they are dropped:
# what waited longer would be refused as stale anyway.
HIGH_WATER_MARK = 10_000
# A reconnecting peer is tried this often: twice in the time after which an
# owner stops using a worker.
RECONNECT_MS = 100
# A process that comes back is met this much later at worst, by its first words to
# those that had given it up.
MAX_RECONNECT_MS = 200
# Connections to peers that nothing was sent to for this long are closed, so
# that replaced hosts don't leave sockets behind.
IDLE_TIMEOUT_SECONDS = 60.0
# Frames that one turn of the loop takes in before timers and HTTP get theirs.
MAX_FRAMES_PER_TURN = 200

# Messages for a peer that is not connected (yet) are held this long: some tries
# to connect, and less than the age at which they are refused.
MAX_HOLD_SECONDS = 0.5
# How long frames that were handed to ZeroMQ may take to leave at the end.
LINGER_MS = 200
# A peer that doesn't connect is tried again after this, doubled each time. With a part
# of the hosts gone, tries at a fixed pace would leave the living ones little time.
MIN_RETRY_SECONDS = 0.005
MAX_RETRY_SECONDS = 0.04

# A plain number: the library's own flags are slow to compare.
READABLE = int(zmq.POLLIN)


class TransportError(CactuswalkError):
    """The process can't listen at its address."""

    code = "transport"


class Peer:
    """The socket towards one process, and what this turn has for it.

    :param since: when the oldest message that still waits was given.
    """

    __slots__ = ("socket", "waiting", "used_at", "since")

    def __init__(self, socket: zmq.Socket, now: float) -> None:
        self.socket = socket
        self.waiting: list[object] = []
        self.used_at = now
        self.since = now


class Transport:
    """The sockets of one process.

    :param address: as other processes are told.
    :param on_message: called in the loop with sender and message.
    :param count: called with the name of a counter and what to add.
    :param keys: CURVE key pair and the allowed public keys, None for none.
    :param listen: where it listens if that is another address of this host, as
        behind a switch that translates addresses.
    :param codec: a module with ``Envelope``, ``encode`` and ``decode``.
    :param heartbeat_ms: how often a connection to a peer is tried; one that doesn't
        answer within half of it is replaced; 0 for never. Without it a connection
        that went silent for good swallows what is sent until the peer is restarted.
    :param clock: the one that ``now`` is read from.
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
    ) -> None:
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
        """Listen; needs the running loop.

        :raises TransportError: if the address is taken or not this host's.
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
                f"can't listen at {self.listen}: {error}",
                "Give this process an address of this host that is free.",
            ) from error
        self.loop.add_reader(self.inbound.fileno(), self._on_readable)

    def close(self) -> None:
        """Close all sockets; frames that still wait get a moment to leave."""
        if self.keys is not None:
            self.keys.stop()
        if self.inbound is not None:
            self.loop.remove_reader(self.inbound.fileno())
            self.inbound.close()
        for peer in self.peers.values():
            peer.socket.close(linger=LINGER_MS)
        self.peers.clear()
        self.dirty.clear()
        self.context.term()

    def send(self, address: str, message: object, now: float) -> None:
        """Have a message leave with this turn's frame for its receiver."""
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
        """Send what this turn has gathered, one frame a receiver."""
        dirty, self.dirty = self.dirty, set()
        for address in dirty:
            self._flush_peer(address, self.peers[address])

    def _flush_peer(self, address: str, peer: Peer) -> None:
        frame = self.codec.encode(self.codec.Envelope(self.address, peer.waiting))
        try:
            peer.socket.send(frame, zmq.DONTWAIT, copy=False)
        except zmq.Again:
            self._hold_messages(address, peer)
            return
        peer.waiting = []
        self.count("transport.frames_sent", 1)
        self.count("transport.bytes_sent", len(frame))

    def _hold_messages(self, address: str, peer: Peer) -> None:
        """Hold messages for a connection that is being made, not for long.

        The first message to a process would be lost without it: a connection
        takes a round trip or more. What waits longer is for a process that is
        gone, and would be refused as stale by the next one at its address.
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
        """Close the sockets towards peers that are spoken to no more."""
        for address, peer in list(self.peers.items()):
            if now - peer.used_at > IDLE_TIMEOUT_SECONDS and not peer.waiting:
                peer.socket.close(linger=0)
                del self.peers[address]

    def poll(self) -> None:
        """Take in what waits; ZeroMQ's descriptor can miss an edge."""
        if self.keys is not None:
            self.keys.poll()
        self._on_readable()

    def _connect(self, address: str) -> zmq.Socket | None:
        socket = self.context.socket(zmq.PUSH)
        socket.set_hwm(HIGH_WATER_MARK)
        socket.linger = 0
        # Without it, frames pile up for a process that is gone, and reach the
        # next one at its address long after they meant anything.
        socket.immediate = 1
        socket.reconnect_ivl = RECONNECT_MS
        socket.reconnect_ivl_max = MAX_RECONNECT_MS
        self._set_heartbeat(socket)
        if self.keys is not None and not self.keys.protect_client(socket, address):
            socket.close()
            self.count("transport.key_refused", 1)
            return None
        socket.connect(strip_key(address))
        return socket

    def _set_heartbeat(self, socket: zmq.Socket) -> None:
        if not self.heartbeat_ms:
            return
        socket.setsockopt(zmq.HEARTBEAT_IVL, self.heartbeat_ms)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, self.heartbeat_ms // 2)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, self.heartbeat_ms)

    def _on_readable(self) -> None:
        if self.inbound is None or self.inbound.closed:
            return
        for _ in range(MAX_FRAMES_PER_TURN):
            # Asked first, since an exception at the end of each turn costs more than
            # the frames that most turns bring.
            if not self.inbound.get(zmq.EVENTS) & READABLE:
                return
            self._handle_frame(self.inbound.recv(zmq.DONTWAIT))
        # More may wait, and the descriptor won't say so again.
        self.loop.call_soon(self._on_readable)

    def _handle_frame(self, frame: bytes) -> None:
        self.count("transport.frames_received", 1)
        try:
            envelope = self.codec.decode(frame)
        except MalformedMessageError:
            self.count("transport.malformed", 1)
            return
        for message in envelope.messages:
            self.on_message(envelope.sender, message)


def strip_key(address: str) -> str:
    """Return the part of an address that ZeroMQ connects to."""
    return address.split(KEY_SEPARATOR)[0]
