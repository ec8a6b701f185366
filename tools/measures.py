"""The measures of the project, defined in one place for every test and tool.

``docs/design/measures.md`` gives the definitions and their reasons. Times are
in seconds and response times are counted from the intended send time.
"""

import msgspec
from hdrh.histogram import HdrHistogram

__all__ = ["Measures", "Report", "ideal_seconds", "slowdown"]

# Slowdowns are kept in thousandths with three significant digits, so 1.003 and
# 1.004 differ; a million-fold slowdown is beyond every deadline.
SLOWDOWN_UNITS = 1000
HIGHEST_SLOWDOWN = 1_000_000
SIGNIFICANT_DIGITS = 3

# Refusals are timed in microseconds up to a minute.
MICROSECONDS = 1_000_000
HIGHEST_REFUSAL_US = 60 * MICROSECONDS


def ideal_seconds(own_seconds: list[float], empty_round_trip: float) -> float:
    """Return the response time of a job with unlimited slots and no queue.

    :param own_seconds: the run times of the job's tasks; all run side by side,
        so that the longest decides.
    """
    return max(own_seconds) + empty_round_trip


def slowdown(
    response_seconds: float, own_seconds: list[float], empty_round_trip: float
) -> float:
    """Return how many times its ideal a response took."""
    return response_seconds / ideal_seconds(own_seconds, empty_round_trip)


class Report(msgspec.Struct, frozen=True):
    """The figures of one run.

    :param useful: slot time that went into delivered answers, as a part of the
        slot time there was.
    :param waste: messages and upstream calls that contributed to no delivered
        answer, per answered request.
    """

    offered: int
    answered: int
    refused: int
    failed: int
    job_p50: float
    job_p99: float
    job_p999: float
    task_p50: float
    task_p99: float
    task_p999: float
    useful: float
    waste: float
    refusal_p99_ms: float


def slowdown_histogram() -> HdrHistogram:
    """Return an empty histogram of slowdowns."""
    return HdrHistogram(1, HIGHEST_SLOWDOWN * SLOWDOWN_UNITS, SIGNIFICANT_DIGITS)


def percentile(histogram: HdrHistogram, percent: float) -> float:
    """Return a percentile of slowdowns, 0 where nothing was recorded."""
    if histogram.get_total_count() == 0:
        return 0.0
    return histogram.get_value_at_percentile(percent) / SLOWDOWN_UNITS


class Measures:
    """Collects what callers of one run received.

    :param empty_round_trip: of the path that is measured, in seconds: the
        response time of a request whose task takes no time, on an idle system.
    """

    def __init__(self, empty_round_trip: float) -> None:
        self.empty_round_trip = empty_round_trip
        self.jobs = slowdown_histogram()
        self.tasks = slowdown_histogram()
        self.refusals = HdrHistogram(1, HIGHEST_REFUSAL_US, SIGNIFICANT_DIGITS)
        self.offered = 0
        self.answered = 0
        self.failed = 0
        self.wasted = 0
        self.useful_seconds = 0.0

    def answer(
        self,
        response_seconds: float,
        own_seconds: list[float],
        task_seconds: list[float] | None = None,
        useful_seconds: float | None = None,
    ) -> None:
        """Record a delivered answer.

        :param task_seconds: response times of the single tasks, in the order
            of ``own_seconds``; None where only the job's is known.
        :param useful_seconds: slot time of it that fell into the measured time;
            None for all.
        """
        self.offered += 1
        self.answered += 1
        spent = sum(own_seconds) if useful_seconds is None else useful_seconds
        self.useful_seconds += spent
        trip = self.empty_round_trip
        record_slowdown(self.jobs, slowdown(response_seconds, own_seconds, trip))
        for own, response in zip(own_seconds, task_seconds or (), strict=False):
            record_slowdown(self.tasks, slowdown(response, [own], trip))

    def refuse(self, response_seconds: float) -> None:
        """Record a refusal that said "not run"."""
        self.offered += 1
        microseconds = max(1, int(response_seconds * MICROSECONDS))
        self.refusals.record_value(min(microseconds, HIGHEST_REFUSAL_US))

    def fail(self) -> None:
        """Record a request that got neither an answer nor a "not run"."""
        self.offered += 1
        self.failed += 1

    def waste(self, messages: int = 0, calls: int = 0) -> None:
        """Record messages and upstream calls that no answer came of."""
        self.wasted += messages + calls

    def report(self, slots: int, seconds: float) -> Report:
        """Return the figures of a run on so many slots for so long."""
        refused = self.offered - self.answered - self.failed
        refusals = self.refusals.get_value_at_percentile(99) if refused else 0
        return Report(
            offered=self.offered,
            answered=self.answered,
            refused=refused,
            failed=self.failed,
            job_p50=percentile(self.jobs, 50),
            job_p99=percentile(self.jobs, 99),
            job_p999=percentile(self.jobs, 99.9),
            task_p50=percentile(self.tasks, 50),
            task_p99=percentile(self.tasks, 99),
            task_p999=percentile(self.tasks, 99.9),
            useful=self.useful_seconds / (slots * seconds),
            waste=self.wasted / max(1, self.answered),
            refusal_p99_ms=refusals / 1000,
        )


def record_slowdown(histogram: HdrHistogram, value: float) -> None:
    """Add a slowdown to a histogram."""
    scaled = max(1, round(value * SLOWDOWN_UNITS))
    histogram.record_value(min(scaled, HIGHEST_SLOWDOWN * SLOWDOWN_UNITS))
