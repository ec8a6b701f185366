"""All that an agent's process knows, and how it begins."""

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
from cactuswalk.state.retention import RecordBook
from cactuswalk.state.timing import Timing

# How the bytes for records are shared out: half for the agent's, a quarter for
# what an owner keeps of submissions, and a quarter for the bodies of answers.
RECORDS_SHARE = 1 / 2
LEDGER_SHARE = 1 / 4
# Copies are kept for two spans of what a new owner looks back.
COPY_LOOKBACK_FACTOR = 2


__all__ = ["Node", "new_node"]


class Node(msgspec.Struct):
    """All that an agent's process knows.

    :param ledger_bytes: for the answers that an owner keeps.
    :param wall_ms: wall clock less monotonic clock, for births of keys only.
    :param make_scheduler: called for each epoch that this node owns.
    :param idle_since: when a stopping node had nothing left to finish.
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
        """Return this life of the agent."""
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
    """Return the state of a process that has just been started.

    :param entries: addresses of processes that may know the cell's owner.
    """
    records = RecordBook(timing.retention, int(maximum_bytes * RECORDS_SHARE))
    # Copies serve a takeover only, which looks back this far; dropped earlier for
    # want of room they would make a new owner take young keys for old ones.
    copies = RecordBook(
        min(COPY_LOOKBACK_FACTOR * timing.takeover_lookback, timing.retention),
        sys.maxsize,
    )
    gate = Gate(member, records, timing.confirm)
    agent = agents.new_agent(
        cell, gate, copies, ConfigurationSync(Replica()), timing.takeover_lookback, now
    )
    candidate = candidates.new_candidate(cell, agent, timing, generator, list(entries))
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
