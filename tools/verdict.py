"""Run formatter, linter and features, and print one verdict.

The last line reads ``N passed, N failed`` and is counted from the run. A
scenario named in ``KNOWN-RED.txt`` that fails is printed and passed over; one
that is named there and passes is a failure too, since the list is then wrong.
"""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
KNOWN_RED = ROOT / "KNOWN-RED.txt"

# Feature files run side by side; six leaves half of a 12-core machine to the
# processes that the features themselves start.
PARALLEL_FEATURES = 6


class Check:
    """One thing that passed or failed, with what it printed."""

    __slots__ = ("name", "passed", "output")

    def __init__(self, name: str, passed: bool, output: str = "") -> None:
        self.name = name
        self.passed = passed
        self.output = output


def known_red() -> list[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [
        line.split(" | ")[0].strip()
        for line in lines
        if line.strip() and not line.startswith("#")
    ]


def run_command(name: str, *command: str) -> Check:
    """Run a checker of the tree and return its verdict."""
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    return Check(name, done.returncode == 0, done.stdout + done.stderr)


def run_feature(path: Path) -> list[Check]:
    """Run one feature file and return a check for each of its scenarios."""
    report = BUILD / f"{path.relative_to(ROOT).as_posix().replace('/', '_')}.json"
    report.unlink(missing_ok=True)
    done = subprocess.run(
        [
            *(sys.executable, "-m", "behave", "--no-color", "--no-summary"),
            *("--format", "json", "--outfile", str(report)),
            *("--format", "plain", "--outfile", "/dev/stdout", str(path)),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )
    checks = scenarios_of(report, path)
    output = done.stdout + done.stderr
    if done.returncode != 0 and all(check.passed for check in checks):
        checks.append(Check(f"{path.name}: behave", False, output))
    for check in checks:
        if not check.passed:
            check.output = output
    return checks


def scenarios_of(report: Path, path: Path) -> list[Check]:
    """Read the scenarios' verdicts from a report of behave."""
    if not report.exists() or not report.read_text(encoding="utf-8").strip():
        return []
    checks = []
    for feature in json.loads(report.read_text(encoding="utf-8")):
        for element in feature.get("elements", []):
            if element.get("type") == "background":
                continue
            name = f"{path.name}: {element['name']}"
            checks.append(Check(name, element.get("status") == "passed"))
    return checks


def run_all() -> list[Check]:
    """Run everything and return the checks in a fixed order."""
    BUILD.mkdir(exist_ok=True)
    ruff = str(Path(sys.executable).parent / "ruff")
    checks = [
        run_command("formatter", ruff, "format", "--check", "."),
        run_command("linter", ruff, "check", "."),
    ]
    features = sorted((ROOT / "features").rglob("*.feature"))
    with ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        for results in pool.map(run_feature, features):
            checks.extend(results)
    return checks


def main() -> int:
    """Print what failed, then the count; return the exit status."""
    red = known_red()
    passed = failed = 0
    for check in run_all():
        expected_red = check.name in red
        if check.passed and not expected_red:
            passed += 1
        elif expected_red and not check.passed:
            print(f"known red: {check.name}")
        else:
            failed += 1
            reason = "is listed as red but passes" if check.passed else "failed"
            print(f"--- {check.name} {reason}\n{check.output}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
