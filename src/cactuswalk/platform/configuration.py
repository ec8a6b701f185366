"""Decoder for the operator's configuration in the platform's store."""

import msgspec

from cactuswalk.dispatch.routing import Queue, Queues
from cactuswalk.platform.errors import PlatformError

__all__ = ["UnreadableConfigurationError", "read_configuration"]

# Used where the configuration leaves a value out.
DEFAULT_BODY_BYTES = 262_144
DEFAULT_ATTEMPTS = 1
DEFAULT_STRETCH_FACTOR = 1.0


class UnreadableConfigurationError(PlatformError):
    """The value of the configuration's key can't be decoded."""

    code = "unreadable_configuration"


class RouteBody(msgspec.Struct):
    """A queue on the wire, which the platform calls a route.

    ``target_latency_ms`` is no target: it is an allowance that is added to the
    stretched time.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = DEFAULT_ATTEMPTS
    stretch_factor: float = DEFAULT_STRETCH_FACTOR
    target_latency_ms: float = 0


class LimitsBody(msgspec.Struct):
    """Limits on the wire."""

    max_body_bytes: int = DEFAULT_BODY_BYTES


class ConfigurationBody(msgspec.Struct):
    """The configuration on the wire."""

    version: int
    routes: list[RouteBody] = []
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


_decoder = msgspec.json.Decoder(ConfigurationBody)


def read_configuration(value: bytes) -> Queues:
    """Return the queues of an encoded configuration.

    :raises UnreadableConfigurationError: if the value can't be decoded.
    """
    try:
        body = _decoder.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableConfigurationError(
            f"the configuration can't be decoded: {error}",
            "Write a valid configuration; the last valid one stays in effect.",
        ) from error
    queues = [_read_route(route) for route in body.routes]
    return Queues(body.version, queues, body.limits.max_body_bytes)


def _read_route(route: RouteBody) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        attempts=max(1, route.max_attempts),
        stretch=route.stretch_factor,
        allowance_ms=int(route.target_latency_ms),
    )
