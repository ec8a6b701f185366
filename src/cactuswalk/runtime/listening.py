"""Sockets that listen before there is anything to serve them."""

import socket

from cactuswalk.errors import CactuswalkError

__all__ = ["LISTEN_BACKLOG", "ListenError", "listen"]

# Connections that may wait to be accepted: a full queue drops them for seconds.
LISTEN_BACKLOG = 1_024


class ListenError(CactuswalkError):
    """An address of the settings can't be listened at."""

    code = "listen"


def listen(address) -> socket.socket:
    """Return a socket that listens at an address of this host.

    :param address: has ``host`` and ``port``.
    :raises ListenError: if the address is taken or not this host's.
    """
    try:
        return socket.create_server(
            (address.host, address.port), backlog=LISTEN_BACKLOG
        )
    except OSError as error:
        raise ListenError(
            f"can't listen at {address.host}:{address.port}: {error}",
            "Give this process an address of this host that is free.",
        ) from error
