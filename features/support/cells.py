"""Several cells of one service in a bag, and entries that know some of them."""

import itertools

import msgspec

from cactuswalk.model import CellRecord, Holding
from cactuswalk.model.cell import cell_key
from cactuswalk.model.holding import count_open_slots
from cactuswalk.state.events import KeyRead
from features.support.bag import CELL, Bag
from features.support.directed import grow_old

SECOND = "cell-2"


def two_cells(agents: int = 3, seed: int = 1, **fields) -> Bag:
    """Return a bag in which ``entry-1`` knows both cells, ``entry-0`` only one."""
    bag = Bag(seed, **fields)
    bag.add_entry("entry-0", [CELL])
    bag.add_entry("entry-1", [CELL, SECOND])
    for cell in (CELL, SECOND):
        add_cell(bag, cell, agents)
    grow_old(bag)
    return bag


def add_cell(bag: Bag, cell: str, agents: int = 3, **fields) -> None:
    """Start the agents of a cell, and let it settle."""
    for number in range(agents):
        bag.add_agent(f"{cell}-{number}", cell=cell, **fields)
        bag.run(0.1)
    bag.run(6.0)


def records(bag: Bag) -> list[CellRecord]:
    """Return the cells' records as they stand in the key-value service."""
    return [
        msgspec.json.decode(value, type=CellRecord)
        for key, (value, _) in bag.key_value.values.items()
        if key.startswith(cell_key(""))
    ]


def overlaps(bag: Bag) -> list[str]:
    """Return a sentence for each two holdings that some key falls to both of."""
    held = [(one.cell, holding) for one in records(bag) for holding in one.holdings]
    return [
        f"{one} of {cell} and {other} of {other_cell}"
        for (cell, one), (other_cell, other) in itertools.combinations(held, 2)
        if _meet(one, other)
    ]


def _meet(one: Holding, other: Holding) -> bool:
    first, last = max(one.first, other.first), min(one.last, other.last)
    since = max(one.since_ms, other.since_ms)
    until = min(each.until_ms or float("inf") for each in (one, other))
    return one.service == other.service and first <= last and since < until


def held_by(bag: Bag, cell: str, service: str = "routes") -> int:
    """Return how many slots a cell holds for keys that are yet to be born."""
    found = [one.holdings for one in records(bag) if one.cell == cell]
    return count_open_slots(found[0], service) if found else 0


def tell_records(bag: Bag, entry: str) -> None:
    """Tell an entry what stands in the cells' records, as its watch does."""
    for key, (value, revision) in bag.key_value.values.items():
        if key.startswith(cell_key("")):
            bag._at(0.0, f"tcp://{entry}", KeyRead(key, True, value, revision))
    bag.run(0.1)
