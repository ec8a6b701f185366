"""Plots of measurements as PNG files, drawn without a display."""

from pathlib import Path

from matplotlib.figure import Figure

from tools.measures import slowdown

__all__ = ["plot_slowdowns"]

SIZE_INCHES = (8, 4.5)


def plot_slowdowns(sent: list, empty_s: float, path: Path) -> None:
    """Draw the slowdown of each answer over the time it was meant to be sent."""
    figure = Figure(figsize=SIZE_INCHES)
    axes = figure.subplots()
    names = sorted({one.arrival.kind.name for one in sent})
    for name in names:
        answered = [
            one
            for one in sent
            if one.arrival.kind.name == name and one.outcome == "answered"
        ]
        axes.scatter(
            [one.arrival.at_s for one in answered],
            [slowdown_of(one, empty_s) for one in answered],
            s=8,
            label=name,
        )
    axes.set_xlabel("intended send time (s)")
    axes.set_ylabel("slowdown")
    axes.set_yscale("log")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=120)


def slowdown_of(one, empty_s: float) -> float:
    """Return the slowdown of one answered arrival."""
    own = [duration / 1000 for duration in one.arrival.durations_ms]
    return slowdown(one.response_s, own, empty_s)
