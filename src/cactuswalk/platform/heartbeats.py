"""Workers' heartbeats, as they send them to the agent on their host."""

import msgspec

from cactuswalk.dispatch.job import Worker
from cactuswalk.platform.errors import PlatformError

__all__ = ["INSTANCES_PATH", "MalformedHeartbeatError", "read_heartbeat"]

INSTANCES_PATH = "/v1/instances/"

READY = "ready"
DRAINING = "draining"


class MalformedHeartbeatError(PlatformError):
    """A heartbeat that names no worker to use."""

    code = "malformed_heartbeat"


class CapacityBody(msgspec.Struct):
    """A worker's size on the wire; ``cpu`` in thousandths of a core."""

    cpu: int
    mem_mb: int
    gpu: int = 0


class HeartbeatBody(msgspec.Struct):
    """A heartbeat on the wire; ``remaining_ms`` only while it drains."""

    service: str
    zone: str
    state: str
    sequence: int
    capacity: CapacityBody
    labels: list[str] = []
    remaining_ms: float = 0


_decoder = msgspec.json.Decoder(HeartbeatBody)


def read_heartbeat(identifier: str, body: bytes, service: str) -> Worker:
    """Return the worker that a heartbeat speaks of.

    :param service: the one that the settings say the worker beside this process
        belongs to; another one's heartbeat is another writer's.
    :raises MalformedHeartbeatError: if it names no worker to use.
    """
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedHeartbeatError(
            f"the heartbeat of {identifier!r} can't be read: {error}",
            "Look for another program that writes to this address.",
        ) from error
    if heartbeat.state not in (READY, DRAINING) or not identifier:
        raise MalformedHeartbeatError(
            f"the heartbeat of {identifier!r} has the state {heartbeat.state!r}",
            f"A worker is {READY} or {DRAINING}.",
        )
    if service and heartbeat.service != service:
        raise MalformedHeartbeatError(
            f"the heartbeat of {identifier!r} names the service {heartbeat.service!r}",
            f"The worker on this host belongs to {service!r}.",
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
    )
