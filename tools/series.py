"""Series of measurements: one driver, several sizes, several figures."""

import statistics
import time
from collections.abc import Callable

import msgspec

from tools.fits import FEWEST_SIZES, Fit, fit
from tools.tables import table

__all__ = ["Point", "Series", "counts_of", "describe", "median_time"]

# Repeats of a time; its median is what is quoted.
REPEATS = 7


class Point(msgspec.Struct):
    """Figures at one size: counts that repeat exactly, and times and memory."""

    counts: dict[str, float] = {}
    times: dict[str, float] = {}

    def count(self, name: str, value: float) -> None:
        """Note a figure that is the same in every run."""
        self.counts[name] = round(value, 6)

    def time(self, name: str, value: float) -> None:
        """Note a figure that differs from run to run."""
        self.times[name] = value


class Series(msgspec.Struct):
    """One driver at several sizes.

    :param measure: takes a size and returns its point.
    """

    name: str
    driver: str
    sizes: tuple[int, ...]
    measure: Callable[[int], Point]
    points: list[Point] = []

    def run(self) -> None:
        """Measure every size."""
        if len(set(self.sizes)) < FEWEST_SIZES:
            raise ValueError(f"{self.name}: {len(self.sizes)} sizes are too few")
        self.points = [self.measure(size) for size in self.sizes]

    def fit_of(self, figure: str) -> Fit:
        """Return the line through one figure."""
        values = [(one.counts | one.times)[figure] for one in self.points]
        return fit(list(self.sizes), values)


def median_time(work: Callable[[], object]) -> float:
    """Return the median processor time of some work, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        began = time.thread_time()
        work()
        times.append(time.thread_time() - began)
    return statistics.median(times) * 1000


def counts_of(series: list[Series]) -> dict[str, dict[str, dict[str, float]]]:
    """Return the exact figures by series, size and name."""
    return {
        one.name: {
            str(size): point.counts
            for size, point in zip(one.sizes, one.points, strict=True)
            if point.counts
        }
        for one in series
        if any(point.counts for point in one.points)
    }


def describe(one: Series) -> str:
    """Return a measured series as a table with a fit in each row."""
    figures = list(one.points[0].counts | one.points[0].times)
    rows: list[list[object]] = []
    for figure in figures:
        values = [(point.counts | point.times)[figure] for point in one.points]
        line = one.fit_of(figure)
        rows.append(
            [
                figure,
                "exact" if figure in one.points[0].counts else "median",
                *(float(value) for value in values),
                f"{line.intercept:.3g} + {line.slope:.3g} n",
                f"{line.residual:.1%}",
                f"{line.quadratic:.2g} n²" if line.curved else "",
            ]
        )
    sizes = [str(size) for size in one.sizes]
    headers = [one.driver, "kind", *sizes, "line", "residual", "curve"]
    return f"### {one.name.capitalize()}\n\n{table(headers, rows)}"
