"""Metrics by statsd: counted in memory, sent in batches over UDP.

Nothing here can hold the loop up or fail its caller: UDP to an address given as
an IP number neither waits nor resolves, and a lost packet loses a metric only.
"""

import asyncio

import statsd

from cactuswalk.settings import StatsdSettings

__all__ = ["Metrics", "NoMetrics", "make_metrics"]

# A packet below the smallest usual MTU arrives whole or not at all.
MAX_PACKET_BYTES = 1_200


# Statsd servers fold what comes within ten seconds by default; a second keeps a
# process that dies from taking much with it.
FLUSH_SECONDS = 1.0


class NoMetrics:
    """Metrics that go nowhere, where no statsd is set."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""

    def flush(self) -> None:
        """Send what has gathered."""

    def close(self) -> None:
        """Send the rest and close the socket."""


class Metrics(NoMetrics):
    """Metrics to one statsd server.

    Counters are summed and gauges overwritten for a second, then sent together:
    a line for each of thousands of starts a second would cost more than the
    control that they describe. Outside a loop, ``flush`` has to be called.
    """

    def __init__(self, client: statsd.StatsClient) -> None:
        self.client = client
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self.timings = client.pipeline()
        self.timer: asyncio.TimerHandle | None = None

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + by
        self._flush_later()

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value
        self._flush_later()

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        self.timings.timing(name, milliseconds)
        self._flush_later()

    def flush(self) -> None:
        """Send what has gathered since the last time."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        pipeline, self.timings = self.timings, self.client.pipeline()
        for name, by in self.counters.items():
            pipeline.incr(name, by)
        for name, value in self.gauges.items():
            # A negative value would be read as a change of the gauge.
            pipeline.gauge(name, max(value, 0))
        self.counters.clear()
        self.gauges.clear()
        pipeline.send()

    def close(self) -> None:
        """Send the rest and close the socket."""
        self.flush()
        self.client.close()

    def _flush_later(self) -> None:
        if self.timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self.timer = loop.call_later(FLUSH_SECONDS, self.flush)


def make_metrics(settings: StatsdSettings | None) -> NoMetrics:
    """Return the metrics that the settings ask for."""
    if settings is None:
        return NoMetrics()
    client = statsd.StatsClient(
        host=settings.host,
        port=settings.port,
        prefix=settings.prefix,
        maxudpsize=MAX_PACKET_BYTES,
        ipv6=":" in settings.host,
    )
    return Metrics(client)
