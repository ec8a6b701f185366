"""CURVE keys between the system's processes (CurveZMQ, RFC 26 of ZeroMQ).

A process listens with its key pair and admits only the public keys that its
settings list. Its own public key is a part of the address that it gives out, so
a peer knows whom it must find there, and checks that key against its own list.
"""

from collections.abc import Callable

import zmq
import zmq.auth.asyncio
from zmq.utils import z85
from zmq.utils.monitor import recv_monitor_message

from cactuswalk.settings import CurveSettings

__all__ = ["CurveKeys", "address_with_key"]

KEY_SEPARATOR = "?key="

# ZMQ_PROTOCOL_ERROR_ZMTP_MECHANISM_MISMATCH of <zmq.h>: it speaks without CURVE.
MECHANISM_MISMATCH = 0x11000002

# Strangers counted in one look; a flood of them must not hold up the loop.
MAX_EVENTS_PER_POLL = 100


class CurveKeys:
    """A process's key pair, and the public keys that it accepts."""

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
        """Let only processes with an allowed key connect; count the others."""
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            zmq.asyncio.Context.shadow(context)
        )
        authenticator.start()
        authenticator.configure_curve_callback("*", _KeyAuthorizer(self.allowed, count))
        self.authenticator = authenticator
        socket.curve_publickey = self.public
        socket.curve_secretkey = self.secret
        socket.curve_server = True
        # A process that speaks without CURVE fails before its key is looked at;
        # unless ZeroMQ's own events are read, nobody would see it try.
        self.server, self.count = socket, count
        self.monitor = socket.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
        )

    def poll(self) -> None:
        """Count the processes that tried to connect without any key."""
        if self.monitor is None:
            return
        for _ in range(MAX_EVENTS_PER_POLL):
            try:
                failed = recv_monitor_message(self.monitor, zmq.DONTWAIT)
            except zmq.Again:
                return
            if failed["event"] == zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL:
                # A stranger that saw first that the two don't match, and does not
                # come again; a probe, or a peer that died, looks the same.
                self.count("transport.handshake_broken", 1)
            elif failed["value"] == MECHANISM_MISMATCH:
                self.count("transport.stranger_refused", 1)
            else:
                # A peer that still expects the key that was here before.
                self.count("transport.handshake_failed", 1)

    def protect_client(self, socket: zmq.Socket, address: str) -> bool:
        """Bind a connection to the key in the address; False if not allowed."""
        _, separator, key = address.partition(KEY_SEPARATOR)
        server_key = z85.encode(bytes.fromhex(key)) if separator else b""
        if server_key not in self.allowed:
            return False
        socket.curve_serverkey = server_key
        socket.curve_publickey = self.public
        socket.curve_secretkey = self.secret
        return True

    def stop(self) -> None:
        """Stop answering whether a key is allowed; comes before the socket's end."""
        if self.monitor is not None:
            self.server.disable_monitor()
            self.monitor = None
        if self.authenticator is not None:
            self.authenticator.stop()


class _KeyAuthorizer:
    """What the authenticator asks about each connection."""

    def __init__(self, allowed: set[bytes], count: Callable[[str, int], None]) -> None:
        self.allowed = allowed
        self.count = count

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell whether a public key may connect."""
        is_allowed = key in self.allowed
        if not is_allowed:
            self.count("transport.stranger_refused", 1)
        return is_allowed


def address_with_key(address: str, public_key: str) -> str:
    """Return an address that also says which key is to be found there."""
    return f"{address}{KEY_SEPARATOR}{z85.decode(public_key.encode()).hex()}"
