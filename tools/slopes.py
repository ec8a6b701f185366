"""Measure what each role costs by each of its drivers, and write the tables.

    python -m tools.slopes             # measure, write docs/measurements/slopes.md
    python -m tools.slopes --counts    # and set tools/counts.json to this run

Counts are exact: a feature compares a fresh small run with the checked-in ones.
"""

import json
from pathlib import Path

import click

from tools.series import Series, counts_of, describe
from tools.slopes_cell import cell_series
from tools.tables import ROOT, replace_block

__all__ = ["COUNTS", "main", "measure", "small_counts"]

COUNTS = ROOT / "tools" / "counts.json"
PAGE = ROOT / "docs" / "measurements" / "slopes.md"

# Series whose exact counts CI takes again; each takes well under a second.
SMALL = (
    "control of a cell by its agents",
    "control of a cell by entries",
    "request path by job size",
    "takeover by records",
    "agents replaced in a cell",
)


def all_series() -> list[Series]:
    """Return every series, not measured yet."""
    return cell_series()


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
@click.option("--page", default=str(PAGE), help="Page whose block is replaced.")
def main(counts: bool, page: str) -> None:
    """Measure all slopes and write them into the page."""
    measured = []
    for one in all_series():
        click.echo(f"measuring: {one.name}")
        one.run()
        measured.append(one)
        click.echo(describe(one) + "\n")
    text = "\n\n".join(describe(one) for one in measured)
    replace_block(Path(page), "slopes", text)
    if counts:
        chosen = [one for one in measured if one.name in SMALL]
        COUNTS.write_text(
            json.dumps(counts_of(chosen), indent=1) + "\n", encoding="utf-8"
        )
        click.echo(f"wrote {COUNTS.name}")


if __name__ == "__main__":
    main()
