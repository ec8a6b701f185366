"""Client for the platform's key-value service.

Use it inside an event loop::

    store = open_store(["http://10.0.0.5:2379"], "entry-1", ENTRY_RATE, ENTRY_BURST)
    held = await store.read("cell/north")
    swapped = await store.swap("cell/north", held.revision, value, write_id)
"""

import collections.abc
import random
import time

from cactuswalk.decisions.callbudget import CallBudget
from cactuswalk.platform.connection import Connection, HttpConnection
from cactuswalk.platform.errors import (
    CallFailedError,
    CallRefusedError,
    HistoryCompactedError,
    LeaseLapsedError,
    PlatformError,
    RevisionWentBackError,
    UnavailableError,
    ValueTooLargeError,
    WriteIdMissingError,
)
from cactuswalk.platform.leases import Lease
from cactuswalk.platform.store import KeyValueStore, ListedKey
from cactuswalk.platform.watch import Change, Changes

__all__ = [
    "CallFailedError",
    "CallRefusedError",
    "Change",
    "Changes",
    "Connection",
    "HistoryCompactedError",
    "HttpConnection",
    "KeyValueStore",
    "Lease",
    "LeaseLapsedError",
    "ListedKey",
    "PlatformError",
    "RevisionWentBackError",
    "UnavailableError",
    "ValueTooLargeError",
    "WriteIdMissingError",
    "open_store",
]


def open_store(
    endpoints: list[str],
    client_name: str,
    rate: float,
    burst: float,
    *,
    prefix: str = "",
    token: str = "",
    timeout: float = 1.0,
    clock: collections.abc.Callable[[], float] = time.monotonic,
    generator: random.Random | None = None,
    count: collections.abc.Callable[[str], None] = lambda name: None,
) -> KeyValueStore:
    """Return a store client over HTTP; nothing is sent until it is used.

    :param endpoints: base addresses, ``http://ip:port``; when one fails, the next
        one is used.
    :param client_name: of this process, for the service's call statistics.
    :param rate: tokens per second, see ``decisions.callbudget``.
    :param burst: maximum number of saved tokens.
    :param prefix: prepended to every key, so that two fleets can share a service.
    :param token: authorization token, empty for none.
    :param timeout: seconds for one call while the service is healthy.
    :param generator: source of the jitter; must differ between processes.
    :param count: called with the name of a counter to increment.
    """
    return KeyValueStore(
        HttpConnection(endpoints, client_name, token),
        CallBudget(rate, burst),
        clock,
        generator or random.Random(),
        count,
        prefix=prefix,
        timeout=timeout,
    )
