"""Leases of the key-value service."""

import typing

import msgspec

from cactuswalk.decisions.callbudget import READ_COST, WRITE_COST
from cactuswalk.platform import protocol
from cactuswalk.platform.errors import CallRefusedError, LeaseLapsedError

if typing.TYPE_CHECKING:
    from cactuswalk.platform.store import KeyValueStore

__all__ = ["Lease", "Leases"]

# gRPC status that etcd returns for a lease identifier that is in use.
FAILED_PRECONDITION = 9

# Random identifiers of 62 bits are positive as an int64, and collisions between
# the leases of a fleet are negligible.
LEASE_ID_BITS = 62


class Lease(msgspec.Struct, frozen=True):
    """A lease, as far as its holder may rely on it.

    :param expires_at: on the holder's clock; from then on the lease is void.
    """

    identifier: int
    ttl_seconds: int
    expires_at: float


class Leases:
    """Grants and renews leases.

    A lease is counted from before the call that granted or renewed it was sent.
    Counted from the reply, a slow reply would make the holder rely on a lease that
    the service has already ended and granted to another process.
    """

    def __init__(self, store: "KeyValueStore") -> None:
        self.store = store

    async def grant(self, ttl_seconds: int) -> Lease:
        """Grant a new lease.

        :raises UnavailableError: if there was no answer in time; a lease that
            was granted nevertheless expires by itself.
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
            # An earlier try of this call was executed and its reply was lost.
            return Lease(identifier, ttl_seconds, sent + ttl_seconds)
        return Lease(identifier, reply.ttl, sent + reply.ttl)

    async def keep_alive(self, lease: Lease) -> Lease:
        """Renew a lease.

        :raises LeaseLapsedError: if it has ended according to the service or to
            the holder's clock.
        :raises UnavailableError: if there was no answer in time; the lease
            stays valid until it expires.
        """
        sent = self.store.clock()
        if sent >= lease.expires_at:
            # The service may still hold the lease, but the holder has treated it
            # as ended and must first read what has changed since.
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
            "Grant a new lease and read again what it protected.",
        )
