"""Compare the work of a process on a fixed day with the committed figures.

``make work`` measures the day and rewrites ``tools/work.json``; the scenarios in
``features/dispatch_work.feature`` compare with it.
"""

import json
from pathlib import Path

from features.support.workday import count_work

__all__ = ["find_growth", "read_figures"]

FIGURES = Path(__file__).with_name("work.json")

# A count may grow by this part, or by so much a second where it is rare.
GROWTH = 0.1
RARE = 0.2


def read_figures() -> dict:
    """Return the committed counts for each process and second."""
    return json.loads(FIGURES.read_text(encoding="utf-8"))


def find_growth(measured: dict, committed: dict) -> list[str]:
    """Return a line for each count that exceeds the committed one."""
    lines = []
    for period, roles in measured.items():
        for role, counts in roles.items():
            for kind, count in counts.items():
                known = committed.get(period, {}).get(role, {}).get(kind, 0.0)
                if count > known + max(GROWTH * known, RARE):
                    lines.append(f"{period}, {role}, {kind}: {count}, not {known}")
    return lines


def main() -> None:
    """Measure the day, print what has grown, and rewrite the figures."""
    measured = count_work()
    if FIGURES.exists():
        print("\n".join(find_growth(measured, read_figures())) or "nothing has grown")
    FIGURES.write_text(json.dumps(measured, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
