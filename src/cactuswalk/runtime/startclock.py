"""When this process started, and when it has reached the first phases of its start."""

import os
import time
from pathlib import Path

__all__ = ["StartClock", "choose_start", "read_boottime", "read_process_start"]

# Field of /proc/self/stat with the process's start, counted from the end of its name,
# in clock ticks since the host's start.
START_FIELD = 19

# A process reads its start within this time. On hosts whose proc file system and clock
# don't agree the difference is far longer, or negative.
MAX_LOAD_SECONDS = 30.0


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
    now = read_boottime()
    try:
        stat = Path("/proc/self/stat").read_text(encoding="utf-8")
        ticks = int(stat.rpartition(")")[2].split()[START_FIELD])
    except (OSError, ValueError, IndexError):
        return now
    return choose_start(ticks / os.sysconf("SC_CLK_TCK"), now)


def choose_start(told: float, now: float) -> float:
    """Return when a process started, or now if what the system tells can't be true."""
    return told if 0 <= now - told <= MAX_LOAD_SECONDS else now


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
