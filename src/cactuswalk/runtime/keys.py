"""CURVE keys between the system's processes (CurveZMQ, RFC 26 of ZeroMQ).

A process listens with its key pair and admits only the public keys that its
settings list. Its own public key is a part of the address that it gives out, so
a peer knows whom it must find there, and checks that key against its own list.
"""

from collections.abc import Callable

import zmq
import zmq.auth.asyncio
from zmq.utils import z85

from cactuswalk.settings import CurveSettings

__all__ = ["Keys", "address_with_key"]

KEY_SEPARATOR = "?key="


class Keys:
    """A process's key pair, and the public keys that it accepts."""

    def __init__(self, settings: CurveSettings) -> None:
        self.public = settings.public_key.encode()
        self.secret = settings.secret_key.encode()
        self.allowed = {key.encode() for key in settings.allowed_keys}
        self.authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None

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
        authenticator.configure_curve_callback("*", _Gatekeeper(self.allowed, count))
        self.authenticator = authenticator
        socket.curve_publickey = self.public
        socket.curve_secretkey = self.secret
        socket.curve_server = True

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
        """Stop answering whether a key is allowed."""
        if self.authenticator is not None:
            self.authenticator.stop()


class _Gatekeeper:
    """What the authenticator asks about each connection."""

    def __init__(self, allowed: set[bytes], count: Callable[[str, int], None]) -> None:
        self.allowed = allowed
        self.count = count

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell whether a public key may connect."""
        known = key in self.allowed
        if not known:
            self.count("transport.stranger_refused", 1)
        return known


def address_with_key(address: str, public_key: str) -> str:
    """Return an address that also says which key is to be found there."""
    return f"{address}{KEY_SEPARATOR}{z85.decode(public_key.encode()).hex()}"
