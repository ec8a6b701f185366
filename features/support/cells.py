"""Several cells of one service in a bag, and entries that know some of them."""

from features.support.bag import CELL, Bag

SECOND = "cell-2"


def two_cells(agents: int = 3, seed: int = 1, **fields) -> Bag:
    """Return a bag in which ``entry-1`` knows both cells, ``entry-0`` only one."""
    bag = Bag(seed, **fields)
    bag.add_entry("entry-0", [CELL])
    bag.add_entry("entry-1", [CELL, SECOND])
    for cell in (CELL, SECOND):
        add_cell(bag, cell, agents)
    return bag


def add_cell(bag: Bag, cell: str, agents: int = 3, service: str = "routes") -> None:
    """Start the agents of a cell, and let it settle."""
    for number in range(agents):
        bag.add_agent(f"{cell}-{number}", service=service, cell=cell)
        bag.run(0.1)
    bag.run(6.0)
