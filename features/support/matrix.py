"""The fault matrix: every fault at every step of a submission."""

import dataclasses
from collections.abc import Callable

from cactuswalk.messages import Answer, Result, Start, Submit
from cactuswalk.state.effects import CallUpstream
from cactuswalk.state.events import CallerSubmitted, UpstreamAnswered
from features.support.bag import Bag, Handed, small_cell
from features.support.judge import violations

AGENTS = 5
# Long past the standing of a frozen owner, and past what finds it lost.
FREEZE_S = 5.0
LATE_S = 2.0
TASKS = 12
DURATION_MS = 300
DEADLINE_MS = 12_000

# Steps, in the order of a submission's life. "taken" is the moment after an
# event was handled, "sent" the moment at which a message leaves.
STEPS: dict[str, Callable[[str, object], bool]] = {
    "received": lambda kind, what: (
        kind == "taken" and isinstance(what, CallerSubmitted)
    ),
    "sent to owner": lambda kind, what: kind == "sent" and isinstance(what, Submit),
    "recorded": lambda kind, what: kind == "taken" and isinstance(what, Submit),
    "start sent": lambda kind, what: kind == "sent" and isinstance(what, Start),
    "start accepted": lambda kind, what: kind == "taken" and isinstance(what, Start),
    "upstream called": lambda kind, what: (
        kind == "performed" and isinstance(what, CallUpstream)
    ),
    "upstream answered": lambda kind, what: (
        kind == "taken" and isinstance(what, UpstreamAnswered)
    ),
    "result sent": lambda kind, what: kind == "sent" and isinstance(what, Result),
    "result recorded": lambda kind, what: kind == "taken" and isinstance(what, Result),
    "answer sent": lambda kind, what: kind == "sent" and isinstance(what, Answer),
    "answer received": lambda kind, what: kind == "taken" and isinstance(what, Answer),
}
ROLES = ("entry", "owner", "worker", "backup")
MESSAGE_FAULTS = ("lost", "repeated", "delayed", "reordered")
MESSAGE_STEPS = tuple(step for step in STEPS if step.endswith(("sent", "to owner")))

# Steps that issue 4 of the project lists and that have no moment of their own.
MERGED_STEPS = {
    "admitted": "an entry admits and sends in the turn in which it receives",
}


@dataclasses.dataclass
class Cell:
    """One run of the matrix: the fixture and the submission under test."""

    bag: Bag
    handed: Handed
    where: dict[str, str]


def role_faults() -> list[str]:
    acts = ("killed", "restarted", "frozen", "cut one way", "deaf", "cut off")
    acts += ("stopped",)
    return [f"{role} {act}" for role in ROLES for act in acts]


FAULTS = [
    *role_faults(),
    *(f"message {fault}" for fault in MESSAGE_FAULTS),
    "owner and worker killed",
    "owner and backup killed",
    "service down",
    "service slow",
    "service reply lost",
    "resubmitted at the same entry",
    "resubmitted at another entry",
    "cancelled",
]

# What can't occur says why; the page docs/proofs.md prints it.
IMPOSSIBLE_FAULTS = {
    "lease lapsed": "no promise rests on a lease of the service; an owner's "
    "standing lapses instead, which the frozen and cut rows bring about",
}


def impossible(step: str, fault: str) -> str:
    """Return why a cell can't occur, empty if it can."""
    if fault.startswith("message ") and step not in MESSAGE_STEPS:
        return "no message is under way at this step"
    return ""


def play_cell(step: str, fault: str) -> tuple[Cell, list[str]]:
    """Run one cell and return it with the promises that were broken."""
    bag = small_cell(AGENTS, seed=7)
    owner = bag.owner()
    job = bag.job(tasks=TASKS, duration_ms=DURATION_MS)
    where = {
        "entry": "entry-0",
        "owner": owner.name,
        "backup": owner.state.owner.backup.worker,
        "worker": _worker_without_role(bag),
    }
    cell = Cell(bag, None, where)
    bag.watch = _trigger(cell, step, fault)
    cell.handed = bag.submit("entry-0", job, DEADLINE_MS)
    bag.run(0.4)
    bag.submit("entry-1", job, DEADLINE_MS)
    bag.run(4.0)
    bag.submit("entry-1", job, DEADLINE_MS)
    bag.run(6.0)
    bag.cut.clear()
    bag.key_value.down = False
    bag.key_value.delay = 0.003
    bag.run(14.0)
    broken = violations(bag)
    if bag.watch is not None:
        broken.append(f"the step {step!r} was never reached")
    return cell, broken


def _worker_without_role(bag: Bag) -> str:
    state = bag.owner().state.owner
    busy = {state.member.worker, state.backup.worker}
    names = [one.worker for one in state.record.roster if one.worker not in busy]
    return names[0]


def _trigger(cell: Cell, step: str, fault: str) -> Callable:
    reached = STEPS[step]

    def watch(kind: str, process, what, delays: list[float]) -> list[float]:
        if not reached(kind, what):
            return delays
        cell.bag.watch = None
        return _inflict(cell, fault, delays)

    return watch


def _inflict(cell: Cell, fault: str, delays: list[float]) -> list[float]:
    """Bring a fault about; return when the message under way arrives."""
    bag = cell.bag
    subject, _, act = fault.partition(" ")
    if subject == "message":
        return {
            "lost": [],
            "repeated": [*delays, 0.3, LATE_S],
            "delayed": [LATE_S],
            "reordered": [0.2],
        }[act]
    if act in ("and worker killed", "and backup killed"):
        _act(cell, cell.where[subject], "killed")
        _act(cell, cell.where[act.split()[1]], "killed")
    elif subject in ROLES:
        _act(cell, cell.where[subject], act)
    elif subject == "service":
        bag.key_value.down = act == "down"
        bag.key_value.delay = 2.0 if act == "slow" else 0.003
        bag.key_value.lose_replies = 1 if act == "reply lost" else 0
        if act != "down":
            # A change of the roster, so that the service is written to now.
            bag.kill(cell.where["owner"])
    elif subject == "resubmitted":
        entry = "entry-0" if act.endswith("same entry") else "entry-1"
        bag.submit(entry, _job_of(bag), DEADLINE_MS)
    elif subject == "cancelled":
        bag.cancel("entry-0", _job_of(bag))
    return delays


def _job_of(bag: Bag):
    return next(iter(bag.handed.values())).job


def _act(cell: Cell, name: str, act: str) -> None:
    bag = cell.bag
    if act in ("killed", "restarted"):
        bag.kill(name)
        if act == "restarted":
            again = bag.add_entry if name.startswith("entry") else bag.add_agent
            again(name)
    elif act == "frozen":
        bag.freeze(name, FREEZE_S)
    elif act == "stopped":
        bag.stop(name)
    elif act == "deaf":
        bag.deafen(name)
    else:
        bag.cut_off(name, both=act == "cut off")
