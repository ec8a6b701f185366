"""An entry's view of one agent and its worker."""

import math

import msgspec

from cactuswalk.dispatch.bounds import (
    ENTRY_LEASE_SECONDS,
    HEARD_SECONDS,
    MARGIN_SECONDS,
    agent_lapse_seconds,
)
from cactuswalk.dispatch.costs import base_cost
from cactuswalk.dispatch.jobstate import TaskState
from cactuswalk.dispatch.messages import Report, Start

__all__ = ["AgentView", "PlacedTask"]

# A worker that declined a start for lack of capacity is skipped until its next report,
# or for this long if the report is lost.
DECLINED_PAUSE_SECONDS = 0.03

# An agent is live if it has reported within this time, several report intervals. An
# entry without live agents can serve no caller.
READY_HEARD_SECONDS = 1.0


class PlacedTask(msgspec.Struct):
    """A start that was sent and whose end is not known.

    :param task: None once its job has ended; the start is then being stopped.
    :param expires_at: when it has certainly ended; 0 while the agent is heard.
    """

    start: Start
    task: TaskState | None
    sent_at: float
    expires_at: float = 0.0
    stop_sent_at: float = 0.0


class AgentView(msgspec.Struct, eq=False):
    """An agent as known from its reports.

    :param number: grows with each agent that the entry discovers.
    :param entry_data_centre: the entry's own.
    :param heard_at: when its latest report came. No stamp echoed to it is newer.
    :param echoed_stamp: latest of the entry's own stamps that this incarnation of the
        agent has returned; 0 for none.
    :param candidate: another incarnation that has reported, and has to return a later
        stamp before it counts as newer.
    :param placed: starts that have not ended, by sequence.
    :param acknowledged: sequences of ended starts to acknowledge.
    :param skipped_until: when it may be sent tasks again after it declined one.
    :param free_cpu: reported free capacity less what was sent there since, in
        thousandths of a core; memory and accelerators likewise.
    :param cost: of the worker for a task without preferences.
    :param unreported_starts: number of starts that the report does not cover yet.
    :param start_sent_at: when a start was sent there last.
    :param members_sent_at: when it was last sent the list of entries.
    :param members_data_centre: the data centre that this list was chosen for.
    """

    address: str
    report: Report
    heard_at: float
    number: int = 0
    entry_data_centre: str = ""
    echoed_stamp: int = 0
    candidate: str = ""
    placed: dict[int, PlacedTask] = msgspec.field(default_factory=dict)
    acknowledged: list[int] = msgspec.field(default_factory=list)
    skipped_until: float = 0.0
    free_cpu: int = 0
    free_memory_mb: int = 0
    free_gpu: int = 0
    cost: float = 0.0
    unreported_starts: int = 0
    start_sent_at: float = 0.0
    members_sent_at: float = -math.inf
    members_data_centre: str = ""

    def __post_init__(self) -> None:
        self.echoed_stamp = self.report.entry_stamp
        self._recompute_free()

    def update_report(self, report: Report, now: float) -> bool:
        """Replace the report by a newer one; return whether more tasks may fit now."""
        cpu, memory_mb, gpu = self.free_cpu, self.free_memory_mb, self.free_gpu
        was_open, worker = self.is_open(now), self.report.worker
        if report.incarnation != self.report.incarnation:
            self.echoed_stamp, self.candidate = 0, ""
        if report.entry_stamp > self.echoed_stamp:
            self.echoed_stamp = report.entry_stamp
        self.report = report
        self.heard_at = now
        self.skipped_until = 0.0
        self._recompute_free()
        if not self.is_open(now):
            return False
        return (
            self.free_cpu > cpu
            or self.free_memory_mb > memory_mb
            or self.free_gpu > gpu
            or not was_open
            or report.worker != worker
        )

    def is_out_of_date(self, report: Report, now: float) -> bool:
        """Return whether a report is older than the known one, or may be.

        The stamps of an agent's incarnations can't be compared: the host's clock starts
        anew when it reboots, and a report of a dead incarnation may arrive at any time.
        What shows that an incarnation was alive later is that it returns a later stamp
        of the entry; one that is dead can't. An agent that returns none is taken for
        newer once all leases of the known incarnation have passed.
        """
        if report.incarnation == self.report.incarnation:
            return report.stamp < self.report.stamp
        return (
            report.entry_stamp <= self.echoed_stamp
            and now - self.heard_at < agent_lapse_seconds()
        )

    def add(self, placed: PlacedTask) -> None:
        """Add a start that the agent has not reported yet."""
        self.placed[placed.start.sequence] = placed
        self.start_sent_at = placed.sent_at
        self._reserve(placed.start)
        self._recompute_cost()

    def is_live(self, now: float) -> bool:
        """Return whether the agent has reported recently."""
        return now - self.heard_at < READY_HEARD_SECONDS

    def is_open(self, now: float) -> bool:
        """Return whether new tasks may be sent there."""
        return (
            self.report.open
            and self.report.hears_entry
            and now - self.heard_at <= HEARD_SECONDS
            and now >= self.skipped_until
            and not (self.report.trial and self.unreported_starts)
        )

    def fits(self, cpu: int, memory_mb: int, gpu: int) -> bool:
        """Return whether a task fits the free capacity, as far as known."""
        return (
            cpu <= self.free_cpu
            and memory_mb <= self.free_memory_mb
            and gpu <= self.free_gpu
        )

    def free_fraction(self) -> float:
        """Return the free fraction of the worker's processor capacity."""
        if self.report.cpu <= 0:
            return 0.0
        return self.free_cpu / self.report.cpu

    def own_cpu(self) -> int:
        """Return what is free or runs this entry's tasks, negative if overcommitted."""
        placed = sum(placed.start.cpu for placed in self.placed.values())
        return self.report.free_cpu + placed

    def has_suspect(self) -> bool:
        """Return whether a task that is suspected of crashing workers is there."""
        return self.report.has_suspect or any(
            placed.start.is_suspect for placed in self.placed.values()
        )

    def is_empty(self) -> bool:
        """Return whether nothing runs there, as far as known."""
        return self.report.free_cpu >= self.report.cpu and not self.unreported_starts

    def skip_until_report(self, now: float) -> None:
        """Send it no tasks until its next report."""
        self.skipped_until = now + DECLINED_PAUSE_SECONDS

    def has_start_expired(self, placed: PlacedTask) -> bool:
        """Return whether a start that has not arrived would be refused by now.

        If only the link towards the agent is cut, the agent's reports still come, and
        their stamps show that the start's stamp is too old.
        """
        report = self.report
        age_ms = report.stamp - placed.start.stamp
        return placed.start.sequence > report.last_sequence and (
            age_ms > (ENTRY_LEASE_SECONDS + MARGIN_SECONDS) * 1000
        )

    def lapses_at(self) -> float:
        """Return when all starts placed here have ended, if the agent stays silent."""
        return self.heard_at + agent_lapse_seconds()

    def _recompute_free(self) -> None:
        report = self.report
        self.free_cpu = report.free_cpu
        self.free_memory_mb = report.free_memory_mb
        self.free_gpu = report.free_gpu
        self.unreported_starts = 0
        for sequence, placed in self.placed.items():
            if sequence > report.last_sequence:
                self._reserve(placed.start)
        self._recompute_cost()

    def _recompute_cost(self) -> None:
        is_remote = self.report.data_centre != self.entry_data_centre
        self.cost = base_cost(self.report.pace, self.free_fraction(), is_remote)

    def _reserve(self, start: Start) -> None:
        self.unreported_starts += 1
        self.free_cpu -= start.cpu
        self.free_memory_mb -= start.memory_mb
        self.free_gpu -= start.gpu
