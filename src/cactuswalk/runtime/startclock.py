"""When this process started, and when it has reached the first phases of its start."""

import os
import time
from pathlib import Path

__all__ = ["StartClock", "read_boottime", "read_process_start"]

# Field of /proc/self/stat with the process's start, counted from the end of its name,
# in clock ticks since the host's start.
START_FIELD = 19


def read_boottime() -> float:
    """Return seconds of a monotonic clock that includes time in suspension.

    Leases must have expired when a suspended host resumes; ``time.monotonic`` stands
    still during suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_process_start() -> float:
    """Return when this process started, in seconds of ``read_boottime``.

    It is known to a hundredth of a second; without a proc file system it is now.
    """
    try:
        stat = Path("/proc/self/stat").read_text(encoding="utf-8")
        ticks = int(stat.rpartition(")")[2].split()[START_FIELD])
        return ticks / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return read_boottime()


class StartClock:
    """Times of the phases that a process reaches before its reducer runs.

    :ivar started_at: when the process started.
    :ivar phases: name and time of each phase, in order.
    """

    def __init__(self) -> None:
        self.started_at = read_process_start()
        self.phases: list[tuple[str, float]] = []

    def reach(self, phase: str) -> None:
        """Record that a phase has been reached now."""
        self.phases.append((phase, read_boottime()))
