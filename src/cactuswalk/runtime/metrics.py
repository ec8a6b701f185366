"""StatsD metrics: aggregated in memory, sent in batches over UDP.

Nothing here can block the loop or fail its caller: UDP to an IP address needs neither
a connection nor a name lookup, and a lost packet loses only metrics.
"""

import asyncio
import typing

from cactuswalk.settings.shared import StatsdSettings

if typing.TYPE_CHECKING:
    import statsd

__all__ = ["Metrics", "NoMetrics", "make_metrics"]

# Below the smallest common MTU, so that packets are never fragmented.
MAX_PACKET_BYTES = 1_200


# StatsD servers aggregate over ten seconds by default; with one second, a process
# that dies loses few metrics.
FLUSH_SECONDS = 1.0


class NoMetrics:
    """Discards all metrics; used if no StatsD server is configured."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""

    def flush(self) -> None:
        """Send all pending metrics."""

    def close(self) -> None:
        """Send all pending metrics and close the socket."""


class Metrics(NoMetrics):
    """Sends metrics to one StatsD server.

    Counters are summed and gauges overwritten for a second, then sent together: one
    packet for each of thousands of starts a second would cost more than the scheduling
    itself. Without a running event loop, ``flush`` has to be called.
    """

    def __init__(self, client: "statsd.StatsClient") -> None:
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
        """Send all metrics since the last flush."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        pipeline, self.timings = self.timings, self.client.pipeline()
        for name, by in self.counters.items():
            pipeline.incr(name, by)
        for name, value in self.gauges.items():
            # StatsD reads a negative value as a decrement of the gauge.
            pipeline.gauge(name, max(value, 0))
        self.counters.clear()
        self.gauges.clear()
        pipeline.send()

    def close(self) -> None:
        """Send all pending metrics and close the socket."""
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
    """Return the metrics client for the settings."""
    if settings is None:
        return NoMetrics()
    # Only deployments with a StatsD server load its client.
    import statsd

    client = statsd.StatsClient(
        host=settings.host,
        port=settings.port,
        prefix=settings.prefix,
        maxudpsize=MAX_PACKET_BYTES,
        ipv6=":" in settings.host,
    )
    return Metrics(client)
