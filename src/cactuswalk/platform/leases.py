"""Leases of the key-value service."""

import typing

import msgspec

from cactuswalk.decisions.callbudget import READ_COST, WRITE_COST
from cactuswalk.platform import protocol
from cactuswalk.platform.errors import CallRefusedError, LeaseLapsedError

if typing.TYPE_CHECKING:
    from cactuswalk.platform.store import KeyValueStore

__all__ = ["Lease", "Leases"]

# gRPC's FAILED_PRECONDITION, which etcd answers for an identifier in use.
ALREADY_EXISTS = 9

# Identifiers are drawn from 62 bits: positive as an int64, and no two of a
# fleet's leases meet by accident.
IDENTIFIER_BITS = 62


class Lease(msgspec.Struct, frozen=True):
    """A lease as its holder may count on it.

    :param expires: by the holder's own clock; from then on it has nothing.
    """

    identifier: int
    ttl_seconds: int
    expires: float


class Leases:
    """Grant and renew leases, counted on the safe side.

    A lease runs from before the call that renewed it was sent. Counted from the
    reply, a holder with a slow reply would believe in a lease that the service
    has already ended and given to another.
    """

    def __init__(self, store: "KeyValueStore") -> None:
        self.store = store

    async def grant(self, ttl_seconds: int) -> Lease:
        """Grant a new lease.

        :raises UnavailableError: if there was no answer in time; a lease that
            was granted all the same ends by itself.
        """
        identifier = self.store.generator.getrandbits(IDENTIFIER_BITS) | 1
        request = protocol.grant_request(identifier, ttl_seconds)
        sent = self.store.clock()
        try:
            reply = await self.store.request(
                protocol.GRANT, request, protocol.LeaseReply, WRITE_COST
            )
        except CallRefusedError as error:
            if error.reason != ALREADY_EXISTS:
                raise
            # An earlier copy of this call was carried out and its reply lost.
            return Lease(identifier, ttl_seconds, sent + ttl_seconds)
        return Lease(identifier, reply.ttl, sent + reply.ttl)

    async def keep_alive(self, lease: Lease) -> Lease:
        """Renew a lease.

        :raises LeaseLapsedError: if the service says that it has ended, or the
            holder's own clock does.
        :raises UnavailableError: if there was no answer in time; the lease
            stands until it expires.
        """
        sent = self.store.clock()
        if sent >= lease.expires:
            # The service may still know it, but whoever stopped believing in it
            # must not start again without looking at what has changed since.
            raise self._lapsed(lease)
        request = protocol.keep_alive_request(lease.identifier)
        reply = await self.store.request(
            protocol.KEEP_ALIVE, request, protocol.KeepAliveReply, READ_COST
        )
        if reply.result.ttl <= 0 or self.store.clock() >= lease.expires:
            raise self._lapsed(lease)
        return Lease(lease.identifier, reply.result.ttl, sent + reply.result.ttl)

    def _lapsed(self, lease: Lease) -> LeaseLapsedError:
        self.store.count("platform.lease.lapsed")
        return LeaseLapsedError(
            f"lease {lease.identifier} has ended",
            "Ask for a new one and read again what it protected.",
        )
