"""Listening sockets, opened before the servers that use them."""

import socket

from cactuswalk.errors import CactuswalkError

__all__ = ["LISTEN_BACKLOG", "ListenError", "listen"]

# Connections that may wait to be accepted. If the queue is full, the kernel drops
# connection attempts, and clients retry only after seconds.
LISTEN_BACKLOG = 1_024


class ListenError(CactuswalkError):
    """An address from the settings can't be bound."""

    code = "listen"


def listen(address) -> socket.socket:
    """Return a socket that listens on an address of this host.

    :param address: has ``host`` and ``port``.
    :raises ListenError: if the address is in use or not one of this host.
    """
    try:
        return socket.create_server(
            (address.host, address.port), backlog=LISTEN_BACKLOG
        )
    except OSError as error:
        raise ListenError(
            f"can't listen on {address.host}:{address.port}: {error}",
            "Set an address of this host that is not in use.",
        ) from error
