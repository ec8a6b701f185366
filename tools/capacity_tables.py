"""The tables of docs/CAPACITY.md, and what is over its bound."""

from tools.capacity import (
    TARGET,
    TODAY,
    Row,
    Slopes,
    shown,
)
from tools.capacity_rows import rows_of
from tools.series import Series
from tools.tables import table

__all__ = ["capacity_blocks"]


def capacity_blocks(measured: list[Series]) -> dict[str, str]:
    """Return the page's tables by the names of their blocks."""
    rows = rows_of(Slopes(measured))
    over = [row for row in rows if is_over(row)]
    return {"over": over_list(over), "roles": role_table(rows)}


def is_over(row: Row) -> bool:
    """Tell whether a figure is over its bound at the target."""
    return row.bound is not None and row.value(TARGET) > row.bound


def over_list(rows: list[Row]) -> str:
    """Return a line for each figure that is over its bound."""
    if not rows:
        return "No figure is over its bound."
    return "\n".join(
        f"- **{row.role}, {row.figure}**: {shown(row.value(TARGET))} {row.unit} at "
        f"the target, bound {shown(row.bound)} {row.unit} (today "
        f"{shown(row.value(TODAY))})"
        for row in rows
    )


def role_table(rows: list[Row]) -> str:
    """Return the table of all figures."""
    return table(
        ["role", "figure", "formula", "today", "target", "bound", "mechanism", "state"],
        [
            [
                row.role,
                f"{row.figure} ({row.unit})" if row.unit else row.figure,
                row.formula,
                shown(row.value(TODAY)),
                shown(row.value(TARGET)) + (" **over**" if is_over(row) else ""),
                "" if row.bound is None else shown(row.bound),
                row.mechanism,
                row.built,
            ]
            for row in rows
        ],
    )
