"""CURVE keys between processes (CurveZMQ, ZeroMQ RFC 26).

A process listens with its key pair and accepts only the public keys listed in its
settings. Its own public key is part of the address that it announces, so that a peer
knows which key to expect there, and checks it against its own list.
"""

from collections.abc import Callable

import zmq
import zmq.auth.asyncio
from zmq.utils import z85
from zmq.utils.monitor import recv_monitor_message

from cactuswalk.settings import CurveSettings

__all__ = ["CurveKeys", "address_with_key"]

KEY_SEPARATOR = "?key="

# ZMQ_PROTOCOL_ERROR_ZMTP_MECHANISM_MISMATCH in <zmq.h>: the peer doesn't use CURVE.
MECHANISM_MISMATCH = 0x11000002

# A flood of refused connections must not block the loop.
MAX_EVENTS_PER_POLL = 100


class CurveKeys:
    """A process's CURVE key pair, and the public keys that it accepts."""

    def __init__(self, settings: CurveSettings) -> None:
        self.public = settings.public_key.encode()
        self.secret = settings.secret_key.encode()
        self.allowed = {key.encode() for key in settings.allowed_keys}
        self.authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        self.server: zmq.Socket | None = None
        self.monitor: zmq.Socket | None = None
        self.count: Callable[[str, int], None] = lambda name, by: None

    def protect_server(
        self,
        context: zmq.Context,
        socket: zmq.Socket,
        count: Callable[[str, int], None],
    ) -> None:
        """Accept only connections with an allowed key; count refused ones."""
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            zmq.asyncio.Context.shadow(context)
        )
        authenticator.start()
        authenticator.configure_curve_callback("*", _KeyAuthorizer(self.allowed, count))
        self.authenticator = authenticator
        socket.curve_publickey = self.public
        socket.curve_secretkey = self.secret
        socket.curve_server = True
        # A peer without CURVE fails before the authenticator is asked; only the
        # events of the socket monitor show the attempt.
        self.server, self.count = socket, count
        self.monitor = socket.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
        )

    def poll(self) -> None:
        """Count failed handshakes, such as those of peers without a key."""
        if self.monitor is None:
            return
        for _ in range(MAX_EVENTS_PER_POLL):
            try:
                failed = recv_monitor_message(self.monitor, zmq.DONTWAIT)
            except zmq.Again:
                return
            if failed["event"] == zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL:
                # The peer closed the connection: it found the mechanisms to differ
                # and won't retry, or was a port probe, or a peer that died.
                self.count("transport.handshake_broken", 1)
            elif failed["value"] == MECHANISM_MISMATCH:
                self.count("transport.stranger_refused", 1)
            else:
                # A peer that expects the previous key of this address.
                self.count("transport.handshake_failed", 1)

    def protect_client(self, socket: zmq.Socket, address: str) -> bool:
        """Require the key in the address; return False if it is not allowed."""
        _, separator, key = address.partition(KEY_SEPARATOR)
        server_key = z85.encode(bytes.fromhex(key)) if separator else b""
        if server_key not in self.allowed:
            return False
        socket.curve_serverkey = server_key
        socket.curve_publickey = self.public
        socket.curve_secretkey = self.secret
        return True

    def stop(self) -> None:
        """Stop the authenticator; call this before the socket is closed."""
        if self.monitor is not None:
            self.server.disable_monitor()
            self.monitor = None
        if self.authenticator is not None:
            self.authenticator.stop()


class _KeyAuthorizer:
    """The authenticator's callback for each connection."""

    def __init__(self, allowed: set[bytes], count: Callable[[str, int], None]) -> None:
        self.allowed = allowed
        self.count = count

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a public key may connect; count it if not."""
        is_allowed = key in self.allowed
        if not is_allowed:
            self.count("transport.stranger_refused", 1)
        return is_allowed


def address_with_key(address: str, public_key: str) -> str:
    """Return an address with the public key to expect there."""
    return f"{address}{KEY_SEPARATOR}{z85.decode(public_key.encode()).hex()}"
