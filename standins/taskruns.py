"""Runs of the stand-in for a worker of the platform."""

import time

__all__ = ["Run", "read_clock_ms"]


class Run:
    """One run of a task, which takes ``ms`` milliseconds."""

    def __init__(
        self, task: str, run: int, cpu: int, ms: float, fails: bool, started_ms: int
    ) -> None:
        self.task = task
        self.run = run
        self.cpu = cpu
        self.ms = ms
        self.fails = fails
        self.started_ms = started_ms

    def compute_percent(self, now_ms: int) -> int:
        """Return the progress in percent, at most 99."""
        return min(99, int(100 * (now_ms - self.started_ms) / max(1.0, self.ms)))


def read_clock_ms() -> int:
    """Return the worker's monotonic clock in milliseconds."""
    return int(time.monotonic() * 1000)
