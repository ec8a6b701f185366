"""Decoder for the heartbeats that a worker sends to the agent on its host."""

from typing import Annotated

import msgspec

from cactuswalk.dispatch.incarnations import join_incarnation
from cactuswalk.dispatch.job import Worker
from cactuswalk.platform.errors import PlatformError

__all__ = ["INSTANCES_PATH", "MalformedHeartbeatError", "read_heartbeat"]

INSTANCES_PATH = "/v1/instances/"

READY = "ready"
DRAINING = "draining"


class MalformedHeartbeatError(PlatformError):
    """A heartbeat that does not describe a usable worker."""

    code = "malformed_heartbeat"


# Bounds of the numbers: sums of a few still fit into 64 bits, as messages have them.
MAX_SIZE = 1 << 53
MAX_MILLISECONDS = 1e15

Size = Annotated[int, msgspec.Meta(ge=0, le=MAX_SIZE)]
Milliseconds = Annotated[float, msgspec.Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)]


class CapacityBody(msgspec.Struct):
    """A worker's capacity on the wire; ``cpu`` in thousandths of a core."""

    cpu: Size
    mem_mb: Size
    gpu: Size = 0


class HeartbeatBody(msgspec.Struct):
    """A heartbeat on the wire; ``remaining_ms`` is set only while draining.

    ``born`` is the Unix time of the worker's start in milliseconds; earlier versions of
    the platform don't send it.
    """

    service: str
    zone: str
    state: str
    sequence: int
    capacity: CapacityBody
    labels: list[str] = []
    remaining_ms: Milliseconds = 0
    clock_ms: Milliseconds | None = None
    born: Size | msgspec.UnsetType = msgspec.UNSET


_decoder = msgspec.json.Decoder(HeartbeatBody)


def read_heartbeat(identifier: str, body: bytes, service: str) -> Worker:
    """Return the worker that a heartbeat describes.

    :param identifier: its name on the platform, which its incarnations may share.
    :param service: that the worker on this host belongs to according to the
        settings, empty for any; a heartbeat of another service comes from another
        program.
    :raises MalformedHeartbeatError: if it does not describe a usable worker.
    """
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedHeartbeatError(
            f"the heartbeat of {identifier!r} can't be decoded: {error}",
            "Check whether another program sends to this address.",
        ) from error
    if not identifier or not identifier.isprintable():
        raise MalformedHeartbeatError(
            f"the heartbeat names the worker {identifier!r}",
            "The name of a worker must fit into a header of HTTP.",
        )
    if heartbeat.state not in (READY, DRAINING):
        raise MalformedHeartbeatError(
            f"the heartbeat of {identifier!r} has the state {heartbeat.state!r}",
            f"The state of a worker is {READY} or {DRAINING}.",
        )
    if service and heartbeat.service != service:
        raise MalformedHeartbeatError(
            f"the heartbeat of {identifier!r} names the service {heartbeat.service!r}",
            f"By the settings the worker on this host belongs to {service!r}.",
        )
    born = None if heartbeat.born is msgspec.UNSET else heartbeat.born
    return Worker(
        join_incarnation(identifier, born),
        heartbeat.service,
        heartbeat.zone,
        tuple(heartbeat.labels),
        heartbeat.capacity.cpu,
        heartbeat.capacity.mem_mb,
        heartbeat.capacity.gpu,
        heartbeat.state == DRAINING,
        int(heartbeat.remaining_ms),
        heartbeat.sequence,
        heartbeat.clock_ms,
    )
