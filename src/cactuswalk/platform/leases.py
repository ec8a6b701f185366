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
FAILED_PRECONDITION = 9

# Identifiers are drawn from 62 bits: positive as an int64, and no two of a
# fleet's leases meet by accident.
LEASE_ID_BITS = 62


class Lease(msgspec.Struct, frozen=True):
    """A lease as its holder may count on it.

    :param expires: by the holder's own clock; from then on it has nothing.
    """

    identifier: int
    ttl_seconds: int
    expires_at: float


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
        identifier = self.store.generator.getrandbits(LEASE_ID_BITS) | 1
        request = protocol.encode_grant_request(identifier, ttl_seconds)
        sent = self.store.clock()
        try:
            reply = await self.store.call_with_retries(
                protocol.GRANT_PATH, request, protocol.LeaseReply, WRITE_COST
            )
        except CallRefusedError as error:
            if error.reason != FAILED_PRECONDITION:
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
        if sent >= lease.expires_at:
            # The service may still know it, but whoever stopped believing in it
            # must not start again without looking at what has changed since.
            raise self._lapsed_error(lease)
        request = protocol.encode_keep_alive_request(lease.identifier)
        reply = await self.store.call_with_retries(
            protocol.KEEP_ALIVE_PATH, request, protocol.KeepAliveReply, READ_COST
        )
        if reply.result.ttl <= 0 or self.store.clock() >= lease.expires_at:
            raise self._lapsed_error(lease)
        return Lease(lease.identifier, reply.result.ttl, sent + reply.result.ttl)

    def _lapsed_error(self, lease: Lease) -> LeaseLapsedError:
        self.store.count("platform.lease.lapsed")
        return LeaseLapsedError(
            f"lease {lease.identifier} has ended",
            "Ask for a new one and read again what it protected.",
        )
