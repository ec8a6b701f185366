"""Decoder for the heartbeats that a worker sends to the agent on its host."""

import msgspec

from cactuswalk.dispatch.job import Worker
from cactuswalk.platform.errors import PlatformError

__all__ = ["INSTANCES_PATH", "MalformedHeartbeatError", "read_heartbeat"]

INSTANCES_PATH = "/v1/instances/"

READY = "ready"
DRAINING = "draining"


class MalformedHeartbeatError(PlatformError):
    """A heartbeat that does not describe a usable worker."""

    code = "malformed_heartbeat"


class CapacityBody(msgspec.Struct):
    """A worker's capacity on the wire; ``cpu`` in thousandths of a core."""

    cpu: int
    mem_mb: int
    gpu: int = 0


class HeartbeatBody(msgspec.Struct):
    """A heartbeat on the wire; ``remaining_ms`` is set only while draining."""

    service: str
    zone: str
    state: str
    sequence: int
    capacity: CapacityBody
    labels: list[str] = []
    remaining_ms: float = 0
    clock_ms: float | None = None


_decoder = msgspec.json.Decoder(HeartbeatBody)


def read_heartbeat(identifier: str, body: bytes, service: str) -> Worker:
    """Return the worker that a heartbeat describes.

    :param service: that the worker on this host belongs to according to the
        settings, empty for any; a heartbeat of another service comes from another
        program.
    :raises MalformedHeartbeatError: if it does not describe a usable worker.
    """
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedHeartbeatError(
            f"the heartbeat of {identifier!r} can't be decoded: {error}",
            "Check whether another program sends to this address.",
        ) from error
    if heartbeat.state not in (READY, DRAINING) or not identifier:
        raise MalformedHeartbeatError(
            f"the heartbeat of {identifier!r} has the state {heartbeat.state!r}",
            f"The state of a worker is {READY} or {DRAINING}.",
        )
    if service and heartbeat.service != service:
        raise MalformedHeartbeatError(
            f"the heartbeat of {identifier!r} names the service {heartbeat.service!r}",
            f"By the settings the worker on this host belongs to {service!r}.",
        )
    return Worker(
        identifier,
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
