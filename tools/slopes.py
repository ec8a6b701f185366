"""Measure what each role costs by each of its drivers, and write the tables.

    python -m tools.slopes             # measure, write the pages
    python -m tools.slopes --counts    # and set tools/counts.json to this run

Counts are exact: a feature compares a fresh small run with the checked-in ones.
"""

import json

import click

from tools.capacity import capacity_blocks
from tools.capacity_failures import failure_block
from tools.series import Series, counts_of, describe
from tools.slopes_cell import cell_series
from tools.slopes_entry import entry_series
from tools.slopes_process import process_series
from tools.tables import ROOT, replace_block

__all__ = ["COUNTS", "main", "measure", "small_counts"]

COUNTS = ROOT / "tools" / "counts.json"
PAGE = ROOT / "docs" / "measurements" / "slopes.md"
CAPACITY = ROOT / "docs" / "CAPACITY.md"

# Series whose exact counts CI takes again; each takes well under a second.
SMALL = (
    "control of a cell by its agents",
    "control of a cell by entries",
    "request path by job size",
    "takeover by records",
    "agents replaced in a cell",
    "a cell started whole",
    "an outage of the service",
    "an entry by cells",
)


def all_series() -> list[Series]:
    """Return every series, not measured yet."""
    return cell_series() + entry_series() + process_series()


def measure(names: tuple[str, ...] = ()) -> list[Series]:
    """Measure the named series, or all, one after the other."""
    chosen = [one for one in all_series() if not names or one.name in names]
    for one in chosen:
        one.run()
    return chosen


def small_counts() -> dict:
    """Return the exact counts of the series that CI takes again."""
    return counts_of(measure(SMALL))


@click.command()
@click.option("--counts", is_flag=True, help="Set the checked-in counts to this run.")
def main(counts: bool) -> None:
    """Measure all slopes, and write the tables of the two pages."""
    measured = all_series()
    for one in measured:
        click.echo(f"measuring: {one.name}")
        one.run()
        click.echo(describe(one) + "\n")
    replace_block(PAGE, "slopes", "\n\n".join(describe(one) for one in measured))
    for name, text in capacity_blocks(measured).items():
        replace_block(CAPACITY, name, text)
    replace_block(CAPACITY, "failures", failure_block(measured))
    if counts:
        chosen = [one for one in measured if one.name in SMALL]
        text = json.dumps(counts_of(chosen), indent=1)
        COUNTS.write_text(f"{text}\n", encoding="utf-8")
        click.echo(f"wrote {COUNTS.name}")


if __name__ == "__main__":
    main()
