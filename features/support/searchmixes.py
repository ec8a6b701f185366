"""Mixes of faults that the search for second runs plays."""

from features.support.fleetscript import FAULTS
from features.support.searchfaults import CALLS

__all__ = ["MIXES", "Mix"]


class Mix:
    """A mix of faults, and what holds for the whole day.

    :ivar faults: names of faults; one that is named twice is twice as frequent.
    :ivar gap: mean seconds between faults.
    :ivar job_gap: mean seconds between jobs.
    :ivar stretch: factor by which tasks are longer than those of ``RandomDay``, so that
        some outlast the callers' pause before a second attempt.
    :ivar crashing_share: share of jobs whose first task crashes its worker.
    :ivar drift: fraction by which the workers' clocks are slow.
    :ivar guards: workers refuse what exceeds their capacity.
    :ivar read_callers: seconds after a freeze in which an entry learns whose connection
        has broken.
    :ivar read_after_cut: least and most seconds after a cut in which an entry learns
        which of its callers have gone; None if it learns that at once.
    :ivar skew: share of the jobs that come to the entries of one data centre, another
        one each second, so that its agents are full while others have room.
    :ivar stop_seconds: how long a run goes on after its stop was answered.
    :ivar sizes: some tasks need much memory, or an accelerator; each worker has four.
    :ivar again: seconds after which callers send a job again that was refused or not
        finished; None for never.
    """

    def __init__(
        self,
        faults,
        gap=0.4,
        job_gap=0.08,
        stretch=3.0,
        crashing_share=0.0,
        drift=0.0,
        guards=True,
        read_callers=0.002,
        again=None,
        read_after_cut=(0.01, 0.5),
        sizes=False,
        skew=0.0,
        stop_seconds=0.0,
    ):
        self.faults = faults
        self.gap = gap
        self.job_gap = job_gap
        self.stretch = stretch
        self.crashing_share = crashing_share
        self.drift = drift
        self.guards = guards
        self.read_callers = read_callers
        self.again = again
        self.read_after_cut = read_after_cut
        self.sizes = sizes
        self.skew = skew
        self.stop_seconds = stop_seconds


CALL_LOSSES = tuple(
    f"{verb}_{kind}s" for verb in ("lose", "unconfirm") for kind in CALLS
)
CALLERS = ("break_callers", "freeze_entry_and_break", "cut_entry_and_break")
WORKERS = ("take_worker_down", "resize_worker", "crash_worker")
RESIZED = ("resize_worker", "resize_memory", "resize_accelerators", "crash_worker")
LATE = ("hold_up_agent", "hold_up_entry", "hold_up_and_restart", "hold_up_and_reboot")

# Longer than most days: an entry learns late or never that its callers have gone.
UNREAD_SECONDS = (1.0, 9.0)

MEMBERS = ("silence_entry", "silence_links", "restart_entry", "take_entry_away")
ILL = ("stall_worker", "delay_stops", "stall_and_delay_stops")
AT_ONCE = ("kill_all", "power_off_all", "kill_centre")
GROWN = (
    *MEMBERS,
    *ILL,
    *("kill_centre", "delay_orders", "delay_orders_and_restart"),
    *("slow_loops", "starve", "starve_and_break"),
)

# Mixes with few kinds isolate a cause, and "rest" leaves out what is known to break a
# guarantee. "depart" and "refuse" suppose that a worker runs
# on after it has announced its departure, or while its address refuses connections.
MIXES = {
    "starts": Mix(("lose_starts", "unconfirm_starts", "kill_entry", "kill_agent")),
    "stops": Mix(("lose_stops", "unconfirm_stops", "kill_entry", "break_callers")),
    "polls": Mix(("lose_polls", "unconfirm_polls", "kill_entry", "kill_agent")),
    "calls": Mix((*CALL_LOSSES, "kill_both", "break_callers")),
    "crashing": Mix(("take_worker_down",), crashing_share=0.05),
    "crashing-kills": Mix(
        ("take_worker_down", "crash_worker", "kill_agent", "kill_entry"),
        crashing_share=0.05,
    ),
    "capacity": Mix(("resize_worker", "crash_worker")),
    "capacity-unguarded": Mix(("resize_worker", "crash_worker"), guards=False),
    "capacity-sizes": Mix(RESIZED, sizes=True),
    "capacity-sizes-unguarded": Mix(RESIZED, guards=False, sizes=True),
    "restarts": Mix(("hold_up_and_restart", "hold_up_agent")),
    "reboots": Mix(("hold_up_and_reboot", "reboot_agent")),
    "entries-late": Mix(("hold_up_entry", "kill_entry", "hold_up_agent")),
    "callers-broken": Mix(("break_callers", "cut_entry_and_break")),
    "callers-late": Mix(
        ("break_callers", "cut_entry_and_break"), read_after_cut=UNREAD_SECONDS
    ),
    "callers-paused": Mix(("freeze_entry_and_break",)),
    "callers-cut": Mix(("cut_entry_and_break",), gap=1.0),
    "callers-paused-late": Mix(("freeze_entry_and_break",), read_callers=0.05),
    "again-later": Mix(FAULTS, again=1.0),
    "again-at-once": Mix(("no_fault",), again=0.0),
    "paused": Mix(("freeze_entry", "freeze_agent")),
    "depart": Mix(("depart_worker",)),
    "refuse": Mix(("refuse_connections",)),
    "slow-clocks": Mix(
        ("cut_worker", "freeze_agent", "kill_both"), 1.5, job_gap=1.0, drift=0.02
    ),
    "paused-start": Mix(("pause_before_start",)),
    "standard": Mix(FAULTS),
    "standard-short": Mix(FAULTS, job_gap=0.03, stretch=1.0),
    "all": Mix(
        (*FAULTS, *CALL_LOSSES, *CALLERS, *WORKERS, *LATE, "reboot_agent"),
        gap=0.25,
        crashing_share=0.01,
    ),
    "all-light": Mix(
        (*FAULTS, *CALL_LOSSES, *CALLERS, *WORKERS, "reboot_agent"),
        job_gap=0.2,
        crashing_share=0.02,
    ),
    "all-late": Mix(
        (*FAULTS, *CALL_LOSSES, *CALLERS, *WORKERS, *LATE, "reboot_agent"),
        gap=0.25,
        crashing_share=0.01,
        read_after_cut=UNREAD_SECONDS,
    ),
    "rest": Mix(
        (
            *(name for name in FAULTS if not name.startswith("freeze_entry")),
            *(name for name in CALL_LOSSES if not name.endswith("stops")),
            *WORKERS,
            *("break_callers", "reboot_agent", "hold_up_and_restart"),
            *("hold_up_agent", "hold_up_entry"),
        ),
        gap=0.25,
        job_gap=0.12,
        crashing_share=0.02,
    ),
    "all-unguarded": Mix(
        (*FAULTS, *CALL_LOSSES, *WORKERS, "reboot_agent", "break_callers"),
        gap=0.25,
        guards=False,
        drift=0.02,
    ),
    "homes": Mix((*MEMBERS, "kill_agent"), gap=1.0, skew=0.6, read_after_cut=None),
    "homes-long": Mix(
        (*MEMBERS, "kill_agent", "take_entry_away_for_long"),
        gap=4.0,
        skew=0.6,
        read_after_cut=None,
    ),
    "ill": Mix(
        (*ILL, "kill_entry", "kill_agent", "break_callers", "freeze_agent"),
        skew=0.6,
        stop_seconds=0.03,
    ),
    "ill-starts": Mix(
        (*ILL, "lose_starts", "lose_starts", "unconfirm_starts"),
        skew=0.6,
        stop_seconds=0.03,
    ),
    "at-once": Mix((*AT_ONCE, "crash_worker", "lose_stops"), gap=8.0, skew=0.6),
    "late-orders": Mix(
        ("delay_orders", "delay_orders_and_restart", "kill_entry", "break_callers"),
        skew=0.6,
    ),
    "late-loops": Mix(
        ("slow_loops", "slow_loops", "kill_entry", "kill_agent", "break_callers"),
        skew=0.6,
    ),
    "starved": Mix(
        ("starve", "starve_and_break", "kill_entry", "kill_agent", "break_callers"),
        skew=0.6,
    ),
    "grown": Mix(
        (
            *(*FAULTS, *CALL_LOSSES, *CALLERS, *WORKERS, *LATE, "reboot_agent"),
            *(*GROWN, *GROWN),
        ),
        gap=0.25,
        crashing_share=0.01,
        drift=0.02,
        read_after_cut=None,
        skew=0.6,
        stop_seconds=0.03,
    ),
    "grown-light": Mix(
        (
            *(*FAULTS, *CALL_LOSSES, *CALLERS, *WORKERS, *LATE, "reboot_agent"),
            *(*GROWN, "kill_all", "power_off_all"),
        ),
        job_gap=0.2,
        crashing_share=0.01,
        drift=0.02,
        read_after_cut=None,
        skew=0.6,
        stop_seconds=0.03,
    ),
}
