"""What the directed failures share: a cell, its roles, and what a caller got."""

import msgspec

from cactuswalk.messages import Submit
from cactuswalk.model import CellRecord, Job, Outcome
from cactuswalk.state.events import Received
from cactuswalk.state.owner import Phase
from cactuswalk.state.roster import cell_key
from features.support.bag import CELL, Bag, Handed, Process, small_cell

# Above the retention-free part of every scenario: takeover, deadline, settling.
SETTLE_S = 8.0
SLOTS = 8
AGENTS = 5


def owner_name(bag: Bag) -> str:
    return bag.owner().name


def others(bag: Bag) -> list[str]:
    """Return the live members besides the owner, by name."""
    owner = owner_name(bag)
    roster = bag.owner().state.owner.record.roster
    return [one.worker for one in roster if one.worker != owner]


def grow_old(bag: Bag) -> None:
    """Take the cells for older than any key, so that they refuse none as new cells.

    A cell that has just begun tells keys of before that they are too old, which
    would hide whether anything else refuses them.
    """
    for process in bag.processes.values():
        owner = getattr(process.state, "owner", None)
        if owner is not None:
            owner.known_since = float("-inf")


def run_full(bag: Bag, agents: int, duration_ms: int, entry: str = "entry-0") -> Job:
    """Submit one job that takes every slot, and wait until all of it runs."""
    job = bag.job(tasks=agents * SLOTS, duration_ms=duration_ms)
    bag.submit(entry, job, 20_000)
    started = bag.run_until(lambda: len(bag.starts()) == agents * SLOTS, 5.0)
    assert started, f"{len(bag.starts())} of {agents * SLOTS} tasks started"
    return job


def isolate(bag: Bag, names: list[str]) -> None:
    """Cut the links between these processes and all others, both ways."""
    inside = {f"tcp://{name}" for name in names}
    for one in bag.processes:
        for other in bag.processes:
            if (one in inside) != (other in inside):
                bag.cut.add((one, other))


def drop(bag: Bag, *kinds: type) -> None:
    """Lose every message of these kinds from now on."""
    bag.fate = lambda sender, receiver, message: (
        [] if isinstance(message, kinds) else [0.0005]
    )


def copy_submits(bag: Bag, after: float) -> None:
    """Have each submission delivered a second time, this much later."""
    bag.fate = lambda sender, receiver, message: (
        [0.0005, after] if isinstance(message, Submit) else [0.0005]
    )


def receive(bag: Bag, process: Process, sender: str, message: object) -> list:
    """Hand a message to a process now; return and perform its effects."""
    effects = process.handle(Received(sender, message), bag.now)
    for effect in effects:
        bag._perform(process, effect)
    return effects


def outcome(handed: Handed) -> Outcome | None:
    return handed.reply.outcome if handed.reply else None


def code(handed: Handed) -> str:
    refusal = handed.reply.refusal if handed.reply else None
    return str(refusal.code) if refusal else ""


def starts_of(bag: Bag, job: Job) -> int:
    return sum(one.submission == job.submission for one in bag.starts())


def cell(agents: int = 5, **fields) -> Bag:
    return small_cell(agents, **fields)


def serving(bag) -> list:
    return [
        process.state.owner
        for process in bag.processes.values()
        if process.alive
        and getattr(process.state, "owner", None) is not None
        and process.state.owner.phase is Phase.SERVING
    ]


def await_owner(bag, seconds: float = 15.0) -> None:
    """Wait until a live owner serves that has not served before."""
    assert bag.run_until(lambda: bool(serving(bag)), seconds), "no owner serves"


def stored(bag) -> CellRecord:
    value, _ = bag.key_value.values[cell_key(CELL)]
    return msgspec.json.decode(value, type=CellRecord)
