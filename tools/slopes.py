"""Measure what each role costs by each of its drivers, and write the tables.

    python -m tools.slopes             # measure, write the pages
    python -m tools.slopes --counts    # only set tools/counts.json

Counts are exact: a feature compares a fresh small run with the checked-in ones.
"""

import json

import click

from tools.capacity_failures import failure_block
from tools.capacity_tables import capacity_blocks
from tools.fits import FEWEST_SIZES
from tools.series import Series, counts_of, describe
from tools.slopes_cell import cell_series
from tools.slopes_configuration import configuration_series
from tools.slopes_entry import entry_series
from tools.slopes_process import process_series
from tools.slopes_scheduler import scheduler_series
from tools.tables import ROOT, replace_block

__all__ = ["COUNTS", "main", "small_counts"]

COUNTS = ROOT / "tools" / "counts.json"
PAGE = ROOT / "docs" / "measurements" / "slopes.md"
CAPACITY = ROOT / "docs" / "CAPACITY.md"

# Series whose exact counts CI takes again; each takes well under a second.
SMALL = (
    "control of a cell by its agents",
    "control of a cell by entries",
    "control of a cell by entries of 130 cells",
    "request path by job size",
    "takeover by records",
    "agents replaced in a cell",
    "a cell started whole",
    "an outage of the service",
    "an entry by cells",
    "configuration by objects",
    "an update by changes",
)


def all_series() -> list[Series]:
    """Return every series, not measured yet."""
    return [
        *cell_series(),
        *entry_series(),
        *scheduler_series(),
        *configuration_series(),
        *process_series(),
    ]


def small_counts() -> dict:
    """Return the exact counts of the series and sizes that CI takes again."""
    chosen = [one for one in all_series() if one.name in SMALL]
    for one in chosen:
        one.sizes = one.sizes[:FEWEST_SIZES]
        one.run()
    return counts_of(chosen)


def write_counts() -> None:
    """Set the checked-in counts to a fresh small run."""
    text = json.dumps(small_counts(), indent=1)
    COUNTS.write_text(f"{text}\n", encoding="utf-8")
    click.echo(f"wrote {COUNTS.name}")


@click.command()
@click.option("--counts", is_flag=True, help="Only set the checked-in counts.")
def main(counts: bool) -> None:
    """Measure all slopes, and write the tables of the two pages."""
    if counts:
        write_counts()
        return
    measured = all_series()
    for one in measured:
        click.echo(f"measuring: {one.name}")
        one.run()
        click.echo(describe(one) + "\n")
    replace_block(PAGE, "slopes", "\n\n".join(describe(one) for one in measured))
    for name, text in capacity_blocks(measured).items():
        replace_block(CAPACITY, name, text)
    replace_block(CAPACITY, "failures", failure_block(measured))


if __name__ == "__main__":
    main()
