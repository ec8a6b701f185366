"""Counters and histograms, served as text in the common exposition format."""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from cactuswalk.dispatch.effects import Observe

__all__ = ["Exposition"]

# From the time of one message between processes to that of the longest jobs.
BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class Exposition:
    """The metrics of one process, made as they are first observed."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.counters: dict[str, Counter] = {}
        self.histograms: dict[str, Histogram] = {}

    def observe(self, effect: Observe) -> None:
        """Count an event or record a duration."""
        if effect.seconds is None:
            self.count(effect.name, 1, effect.label)
            return
        histogram = self.histograms.get(effect.name)
        if histogram is None:
            histogram = self.histograms[effect.name] = Histogram(
                f"cactuswalk_{effect.name}",
                f"Seconds: {effect.name.replace('_', ' ')}.",
                ["label"],
                registry=self.registry,
                buckets=BUCKETS,
            )
        histogram.labels(effect.label).observe(effect.seconds)

    def count(self, name: str, by: int, label: str = "") -> None:
        """Add to a counter."""
        counter = self.counters.get(name)
        if counter is None:
            plain = name.replace(".", "_")
            counter = self.counters[name] = Counter(
                f"cactuswalk_{plain}",
                f"Count of {plain.replace('_', ' ')}.",
                ["label"],
                registry=self.registry,
            )
        counter.labels(label).inc(by)

    def handler(self) -> Callable:
        """Return the handler of the metrics address."""

        async def handle(request: web.BaseRequest) -> web.Response:
            return web.Response(
                body=generate_latest(self.registry),
                headers={"Content-Type": CONTENT_TYPE_LATEST},
            )

        return handle
