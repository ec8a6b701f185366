"""Break one safeguard at a time and see which feature notices: ``make mutants``.

Each mutant is a small change of the source in a copy of the tree. A mutant that
survives is a missing test, one whose text is not found an error of its own. The
exit status is the number of mutants that were not caught.
"""

import collections
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import msgspec

from cactuswalk.errors import CactuswalkError
from tools.mutants_list import MUTANTS, Mutant

ROOT = Path(__file__).resolve().parent.parent
PARALLEL = 4
# A mutant that makes a run endless is as much caught as one that fails it.
TIMEOUT_S = 240
# A feature that fails without a failing scenario was not run, and shows nothing.
NOT_RUN = "does not run"


class Tried(msgspec.Struct):
    """What became of a mutant.

    :param verdict: ``caught``, ``SURVIVED``, ``STALE`` or ``BROKEN``.
    :param noticed: the scenario that failed, or why the mutant wasn't tried.
    """

    mutant: Mutant
    verdict: str
    noticed: str


class StaleMutantError(CactuswalkError):
    """A mutant's text no longer stands in the source exactly once."""

    code = "stale_mutant"


def broken_text(mutant: Mutant, root: Path = ROOT) -> str:
    """Return the text of the mutant's file with its safeguard taken away.

    :raises StaleMutantError: if the safeguard isn't found. Passed over, the
        mutant would be tried on unchanged source and would prove nothing.
    """
    text = (root / mutant.path).read_text(encoding="utf-8")
    found = text.count(mutant.old)
    if found != 1:
        raise StaleMutantError(
            f"{mutant.name}: its text stands {found} times in {mutant.path}",
            "Bring the mutant's text up to date in tools/mutants_list.py.",
        )
    return text.replace(mutant.old, mutant.new)


def try_mutant(mutant: Mutant) -> Tried:
    """Run the mutant's feature in a copy, and say what noticed it."""
    try:
        text = broken_text(mutant)
    except StaleMutantError as error:
        return Tried(mutant, "STALE", error.message)
    with tempfile.TemporaryDirectory(prefix="mutant-") as directory:
        copy = Path(directory)
        for part in ("src", "features", "standins", "tools"):
            shutil.copytree(ROOT / part, copy / part)
        (copy / mutant.path).write_text(text, encoding="utf-8")
        noticed = _noticed(copy, mutant.feature)
    if noticed == NOT_RUN:
        return Tried(mutant, "BROKEN", f"{mutant.feature} {NOT_RUN}")
    return Tried(mutant, "caught" if noticed else "SURVIVED", noticed)


def _noticed(copy: Path, feature: str) -> str:
    command = [sys.executable, "-m", "behave", "--no-color", f"features/{feature}"]
    environment = os.environ | {"PYTHONPATH": "src:."}
    try:
        done = subprocess.run(
            [*command, "--stop", "--format", "plain"],
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return f"{feature}: no end"
    if done.returncode == 0:
        return ""
    lines = [line.strip() for line in done.stdout.splitlines()]
    failing = [line for line in lines if line.startswith("features/")]
    # behave gives file, line and name; a reader finds the scenario by its name.
    return failing[-1].split(maxsplit=1)[1] if failing else NOT_RUN


@click.command()
@click.option("--table", is_flag=True, help="Print a table for docs/proofs.md.")
@click.option("--feature", default="", help="Try this feature on all of them.")
@click.argument("words", nargs=-1)
def main(words: tuple[str, ...], table: bool, feature: str) -> None:
    """Try all mutants, or those whose names contain every one of WORDS."""
    chosen = [one for one in MUTANTS if all(word in one.name for word in words)]
    if feature:
        chosen = [msgspec.structs.replace(one, feature=feature) for one in chosen]
    verdicts: collections.Counter[str] = collections.Counter()
    if table:
        click.echo("| safeguard taken away | verdict | noticed by |\n|---|---|---|")
    with ThreadPoolExecutor(PARALLEL) as pool:
        for tried in pool.map(try_mutant, chosen):
            verdicts[tried.verdict] += 1
            cells = (tried.mutant.name, tried.verdict, tried.noticed)
            click.echo(f"| {' | '.join(cells)} |" if table else ": ".join(cells))
    caught = verdicts["caught"]
    click.echo(
        f"\n{caught} caught, {verdicts['SURVIVED']} survived, "
        f"{verdicts['STALE']} stale, {verdicts['BROKEN']} not run"
    )
    sys.exit(min(len(chosen) - caught, 100))


if __name__ == "__main__":
    main()
