"""Random scripts in which cells of one service come, cede, die and go.

Each move brings one meeting about, most of them in the middle of a cession;
between the moves every key is submitted again, at entries that know different
cells. Hypothesis draws the moves, their order and their pauses.
"""

import random

from hypothesis import strategies as st

from cactuswalk.messages import CededSlots, SlotRequest
from cactuswalk.model import generate_identifier
from cactuswalk.state.effects import SwapKey
from cactuswalk.state.events import Announced
from features.support.bag import CELL, WALL_MS, Bag, Process
from features.support.cells import SECOND, overlaps, two_cells

PAUSES = st.sampled_from([0.0, 0.05, 0.5, 2.0, 5.0])
CELLS = st.integers(0, 4)
MOMENTS = st.sampled_from(["asked", "swapped", "ceded"])
FAULTS = st.sampled_from(["kill", "freeze", "cut", "lose_reply", "service_down"])
CESSION = st.tuples(st.just("cession_meets"), MOMENTS, FAULTS, st.integers(1, 3))
MOVES = st.one_of(
    CESSION,
    CESSION,
    st.tuples(st.just("cell_comes"), st.integers(1, 3)),
    st.tuples(st.just("cell_empties"), CELLS),
    st.tuples(st.just("cell_dies"), CELLS),
    st.tuples(st.just("entry_comes"), CELLS),
    st.tuples(st.just("owner_dies"), CELLS),
    st.tuples(st.just("heal")),
)
# How far ahead of the entries' clocks a key may be born, at most the margin.
AHEAD_MS = st.sampled_from([0, 0, 1900])
CELL_SCRIPTS = st.tuples(
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.02]),
    st.lists(st.tuples(MOVES, PAUSES, AHEAD_MS), min_size=2, max_size=8),
)


class PlayedCells:
    """What a script has done so far."""

    def __init__(self, seed: int, loss: float) -> None:
        self.bag: Bag = two_cells(agents=2, seed=seed)
        self.bag.add_entry("entry-2", [SECOND])
        self.cells = [CELL, SECOND]
        self.entries = 3
        self.jobs: list = []
        self.counts: dict[str, int] = {}
        self.overlaps: list[str] = []
        self.generator = random.Random(seed)
        self.bag.fate = self._fate
        self.loss = loss

    def _fate(self, sender: str, receiver: str, message: object) -> list[float]:
        if self.generator.random() < self.loss:
            return []
        late = self.generator.random() < self.loss
        return [0.0005, self.generator.random() * 6] if late else [0.0005]

    def cell(self, number: int) -> str:
        return self.cells[number % len(self.cells)]

    def owner(self, number: int) -> str:
        owner = self.bag.owner(self.cell(number))
        return owner.name if owner is not None else f"{self.cell(number)}-0"


def play_cells(script: tuple) -> PlayedCells:
    """Run a script to its end, then let everything heal and settle."""
    seed, loss, moves = script
    played = PlayedCells(seed, loss)
    for move, pause, ahead_ms in moves:
        played.counts[move[0]] = played.counts.get(move[0], 0) + 1
        _submit_again_and_new(played, ahead_ms)
        globals()[f"_{move[0]}"](played, *move[1:])
        played.bag.run(pause)
        played.overlaps += overlaps(played.bag)
    played.bag.watch = None
    _heal(played)
    played.bag.run(12.0)
    _submit_again_and_new(played, 0)
    played.bag.run(12.0)
    played.overlaps += overlaps(played.bag)
    return played


def _submit_again_and_new(played: PlayedCells, ahead_ms: int) -> None:
    bag = played.bag
    for _ in range(3):
        created_ms = int(WALL_MS + bag.now * 1000) + ahead_ms
        key = generate_identifier(created_ms, played.generator)
        job = bag.job(key, duration_ms=60, created_ms=created_ms)
        played.jobs.append(job)
    for number, job in enumerate(played.jobs[-12:]):
        entry = (number + len(played.bag.handed)) % played.entries
        bag.submit(f"entry-{entry}", job, 4000)


def _cell_comes(played: PlayedCells, agents: int) -> None:
    cell = f"cell-{len(played.cells) + 1}"
    played.cells.append(cell)
    for number in range(agents):
        played.bag.add_agent(f"{cell}-{number}", cell=cell)


def _cell_empties(played: PlayedCells, number: int) -> None:
    """Let the upstreams of a cell withdraw; its agents stay."""
    for process in _agents(played, number):
        played.bag._at(0.0, process.address, Announced(None))


def _cell_dies(played: PlayedCells, number: int) -> None:
    for process in _agents(played, number):
        process.alive = False


def _agents(played: PlayedCells, number: int) -> list:
    cell = played.cell(number)
    processes = played.bag.processes.values()
    return [one for one in processes if getattr(one.state, "cell", "") == cell]


def _owner_dies(played: PlayedCells, number: int) -> None:
    name, cell = played.owner(number), played.cell(number)
    played.bag.kill(name)
    played.bag.add_agent(name, cell=cell)


def _entry_comes(played: PlayedCells, number: int) -> None:
    played.bag.add_entry(f"entry-{played.entries}", [played.cell(number)])
    played.entries += 1


def _heal(played: PlayedCells) -> None:
    played.bag.cut.clear()
    played.bag.key_value.down = False


def _cession_meets(played: PlayedCells, moment: str, fault: str, agents: int) -> None:
    """Have a new cell ask for its share, and a fault strike in the middle of it."""
    _cell_comes(played, agents)

    def watch(kind, process, what, delays):
        if _is_moment(moment, kind, process, what):
            played.bag.watch = None
            played.counts[f"{moment}, {fault}"] = 1
            _strike(played.bag, fault, process.name)
        return delays

    played.bag.watch = watch


def _is_moment(moment: str, kind: str, process: Process, what: object) -> bool:
    if moment == "asked":
        return kind == "taken" and isinstance(what, SlotRequest)
    if moment == "swapped":
        owner = getattr(process.state, "owner", None)
        ceding = owner is not None and owner.sharing.cession is not None
        return ceding and kind == "performed" and isinstance(what, SwapKey)
    return kind == "sent" and isinstance(what, CededSlots)


def _strike(bag: Bag, fault: str, name: str) -> None:
    if fault == "kill":
        bag.kill(name)
    elif fault == "freeze":
        bag.freeze(name, 3.0)
    elif fault == "cut":
        bag.cut_off(name)
    elif fault == "lose_reply":
        bag.key_value.lose_replies += 2
    else:
        bag.key_value.down = True
