"""Straight lines through measured points, with what they leave over."""

import statistics

import msgspec
import numpy

__all__ = ["FEWEST_SIZES", "Fit", "fit", "median_of"]

# Two points always lie on a line, and three hide a curve.
FEWEST_SIZES = 4

# A quadratic part that makes up more than this share of the value at the
# largest size is no noise of the measurements (counts repeat exactly, and
# medians of times repeated within a tenth on the machine used).
CURVED_SHARE = 0.15


class Fit(msgspec.Struct, frozen=True):
    """A line through points.

    :param residual: largest distance of a point from the line, as a share of
        the largest value.
    :param quadratic: coefficient of the square in a parabola through the same
        points.
    :param curved: the parabola's square matters at the largest size.
    """

    intercept: float
    slope: float
    residual: float
    quadratic: float
    curved: bool

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit(sizes: list[float], values: list[float]) -> Fit:
    """Return the least-squares line through the points.

    :raises ValueError: for fewer than four sizes.
    """
    if len(set(sizes)) < FEWEST_SIZES:
        raise ValueError(f"{len(set(sizes))} sizes are too few for a fit")
    slope, intercept = (float(part) for part in numpy.polyfit(sizes, values, 1))
    square = float(numpy.polyfit(sizes, values, 2)[0])
    highest = max(abs(value) for value in values) or 1.0
    residual = max(
        abs(value - (intercept + slope * size))
        for size, value in zip(sizes, values, strict=True)
    )
    share = abs(square) * max(sizes) ** 2 / highest
    return Fit(intercept, slope, residual / highest, square, share > CURVED_SHARE)


def median_of(measure, repeats: int) -> float:
    """Return the median of several runs of a measurement."""
    return statistics.median(measure() for _ in range(repeats))
