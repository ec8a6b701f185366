"""Counters and histograms, served in the Prometheus text format.

Values are kept as plain numbers. The Prometheus client library is imported at the
first scrape: most processes are never scraped, and start faster without it.
"""

import bisect
import collections
from collections.abc import Iterator

import msgspec

from cactuswalk.dispatch.effects import Observe
from cactuswalk.runtime.serving import BaseRequest, Handler, Response

__all__ = ["Exposition"]

# In seconds: from the latency of one message between processes to the longest jobs.
BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class DurationHistogram(msgspec.Struct):
    """A histogram of durations.

    :param counts: number of durations by bucket; the last bucket has no bound.
    :param total: sum of all durations, in seconds.
    """

    counts: list[int] = msgspec.field(default_factory=lambda: [0] * (len(BUCKETS) + 1))
    total: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add a duration."""
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds

    def cumulative_counts(self) -> list[tuple[str, float]]:
        """Return each bucket's upper bound and the number of durations up to it."""
        bounds = [str(bound) for bound in BUCKETS] + ["+Inf"]
        rows = []
        count = 0
        for bound, bucket_count in zip(bounds, self.counts, strict=True):
            count += bucket_count
            rows.append((bound, float(count)))
        return rows


class Exposition:
    """The metrics of one process, by name and label; created at first use."""

    def __init__(self) -> None:
        self.counters: dict[str, dict[str, int]] = collections.defaultdict(
            lambda: collections.defaultdict(int)
        )
        self.histograms: dict[str, dict[str, DurationHistogram]] = {}

    def observe(self, effect: Observe) -> None:
        """Count an event or record a duration."""
        if effect.seconds is None:
            self.count(effect.name, 1, effect.label)
            return
        labels = self.histograms.setdefault(effect.name, {})
        durations = labels.get(effect.label)
        if durations is None:
            durations = labels[effect.label] = DurationHistogram()
        durations.observe(effect.seconds)

    def count(self, name: str, by: int, label: str = "") -> None:
        """Add to a counter."""
        self.counters[name][label] += by

    def collect(self) -> Iterator:
        """Yield the metrics as families of the Prometheus client library."""
        from prometheus_client.core import (
            CounterMetricFamily,
            HistogramMetricFamily,
        )

        for name, counts in self.counters.items():
            metric_name = name.replace(".", "_")
            counter = CounterMetricFamily(
                f"cactuswalk_{metric_name}",
                f"Count of {metric_name.replace('_', ' ')}.",
                labels=["label"],
            )
            for label, count in counts.items():
                counter.add_metric([label], count)
            yield counter
        for name, by_label in self.histograms.items():
            histogram = HistogramMetricFamily(
                f"cactuswalk_{name}",
                f"Seconds: {name.replace('_', ' ')}.",
                labels=["label"],
            )
            for label, durations in by_label.items():
                histogram.add_metric(
                    [label], durations.cumulative_counts(), durations.total
                )
            yield histogram

    def make_handler(self) -> Handler:
        """Return the HTTP handler of the metrics address."""

        async def handle(request: BaseRequest) -> Response:
            from prometheus_client.exposition import (
                CONTENT_TYPE_LATEST,
                generate_latest,
            )

            return Response(
                body=generate_latest(self),
                headers={"Content-Type": CONTENT_TYPE_LATEST},
            )

        return handle
