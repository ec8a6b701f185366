"""Measure how cells share a service: ``python -m tools.measure_cells``.

Virtual time, on the fixture of the tests: cells of two workers come one after
another. Prints, by their number, the calls on the key-value service for each
cell until all have their shares, the calls a second afterwards, and the shares.
"""

import click

from features.support.bag import Bag
from features.support.cells import add_cell, held_by
from tools.tables import table

AGENTS = 2
# Well above the longest wait between two looks of a cell.
QUIET_S = 300.0


def measure(cells: int) -> list[object]:
    """Return one row for so many cells."""
    bag = Bag()
    bag.add_entry("entry-0", ["cell-1"])
    names = [f"cell-{number + 1}" for number in range(cells)]
    for name in names:
        add_cell(bag, name, agents=AGENTS)
    bag.run(QUIET_S)
    begun = bag.key_value.calls
    bag.run(QUIET_S)
    shares = [held_by(bag, name) for name in names]
    longest = max(len(value) for value, _ in bag.key_value.values.values())
    return [
        cells,
        sum(shares),
        min(shares),
        max(shares),
        f"{(bag.key_value.calls - begun) / QUIET_S:.2f}",
        longest,
    ]


@click.command()
@click.argument("sizes", nargs=-1, type=int)
def main(sizes: tuple[int, ...]) -> None:
    """Print a row for each number of cells."""
    heads = ("cells", "slots held", "least", "most", "calls/s", "longest record")
    click.echo(table(heads, [measure(size) for size in sizes or (2, 4, 8, 16)]))


if __name__ == "__main__":
    main()
