"""The state of an agent's process, and its initial value."""

import random
import sys
from collections.abc import Callable, Sequence

import msgspec

from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.model import Member
from cactuswalk.state import (
    agent as agents,
    candidate as candidates,
)
from cactuswalk.state.candidate import CandidateState
from cactuswalk.state.configuration import ConfigurationSync, Replica
from cactuswalk.state.gate import Gate
from cactuswalk.state.owner import OwnerState
from cactuswalk.state.retention import RecordStore
from cactuswalk.state.timing import Timing

# Shares of the memory for records: half for the agent's records, a quarter for the
# submissions that an owner keeps, and a quarter for the bodies of their answers.
RECORDS_SHARE = 1 / 2
LEDGER_SHARE = 1 / 4
# Copies are kept for twice the time that a new owner looks back.
COPY_LOOKBACK_FACTOR = 2


__all__ = ["Node", "new_node"]


class Node(msgspec.Struct):
    """State of an agent's process.

    :param ledger_bytes: memory for the answers that an owner keeps.
    :param wall_ms: wall clock minus monotonic clock, for creation times of keys only.
    :param make_scheduler: called for each epoch that this node owns.
    :param idle_since: since when a stopping node has had nothing left to finish.
    :param stopped: the process may exit.
    """

    cell: str
    timing: Timing
    generator: random.Random
    agent: agents.AgentState
    candidate: CandidateState
    make_scheduler: Callable[[], Scheduler]
    ledger_bytes: int
    wall_ms: float = 0.0
    owner: OwnerState | None = None
    stopping: bool = False
    stopping_since: float = 0.0
    handed_over_at: float = float("-inf")
    leave_sent_at: float = float("-inf")
    idle_since: float | None = None
    stopped: bool = False

    @property
    def member(self) -> Member:
        """The member for this incarnation of the agent."""
        return self.agent.gate.member


def new_node(
    cell: str,
    member: Member,
    timing: Timing,
    generator: random.Random,
    maximum_bytes: int,
    now: float,
    make_scheduler: Callable[[], Scheduler] = Scheduler,
    wall_ms: float = 0.0,
    entries: Sequence[str] = (),
) -> Node:
    """Return the initial state of an agent's process.

    :param entries: addresses of processes that may know the cell's owner.
    """
    records = RecordStore(timing.retention, int(maximum_bytes * RECORDS_SHARE))
    # Copies are only used by a takeover, which looks back this far. Their size is not
    # limited: dropped early, they would make a new owner refuse recent keys as too old.
    copies = RecordStore(
        min(COPY_LOOKBACK_FACTOR * timing.takeover_lookback, timing.retention),
        sys.maxsize,
    )
    gate = Gate(member, records, timing.confirm)
    agent = agents.new_agent(
        cell, gate, copies, ConfigurationSync(Replica()), timing.takeover_lookback, now
    )
    candidate = candidates.new_candidate(
        cell, agent, timing, generator, list(entries), wall_ms
    )
    return Node(
        cell,
        timing,
        generator,
        agent,
        candidate,
        make_scheduler,
        int(maximum_bytes * LEDGER_SHARE),
        wall_ms,
    )
