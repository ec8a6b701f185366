"""Break one safeguard at a time and see which feature notices: ``make mutants``.

Each mutant is a small change of the source in a copy of the tree. A mutant that
survives is a missing test. The exit status is the number of survivors.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import msgspec

ROOT = Path(__file__).resolve().parent.parent
STATE = "src/cactuswalk/state"
PARALLEL = 4
# A mutant that makes a run endless is as much caught as one that fails it.
TIMEOUT_S = 240


class Mutant(msgspec.Struct):
    """One safeguard taken away.

    :param feature: the one that is to notice, a path below ``features``.
    """

    name: str
    path: str
    old: str
    new: str
    feature: str = "once_random.feature"


MUTANTS = [
    Mutant(
        "a new owner does not wait once a majority is fenced",
        f"{STATE}/recovery.py",
        "FENCE_WAIT_SPANS = 2",
        "FENCE_WAIT_SPANS = 0",
        "once_matrix.feature",
    ),
    Mutant(
        "a new owner waits P instead of 2P",
        f"{STATE}/recovery.py",
        "FENCE_WAIT_SPANS = 2",
        "FENCE_WAIT_SPANS = 1",
        "once_matrix.feature",
    ),
    Mutant(
        "a start's stamp is not looked at",
        f"{STATE}/gate.py",
        "if age_ms > gate.confirm * 1000:",
        "if False:",
        "once_matrix.feature",
    ),
    Mutant(
        "a start's epoch is not looked at",
        f"{STATE}/gate.py",
        "if start.epoch != gate.epoch:",
        "if False:",
        "once_matrix.feature",
    ),
    Mutant(
        "the gate forgets the records",
        f"{STATE}/gate.py",
        "if record is not None and not _may_follow(record, start):",
        "if False:",
        "once_matrix.feature",
    ),
    Mutant(
        "a declined attempt leaves no tombstone",
        f"{STATE}/agent.py",
        "        tombstone(gate, start, now)\n",
        "",
        "once_matrix.feature",
    ),
    Mutant(
        "a probed attempt that never came is not declined for good",
        f"{STATE}/agent.py",
        "    state.gate.records.put(record, now)\n    return record",
        "    return record",
        "once_matrix.feature",
    ),
    Mutant(
        "standing counts from the pong, not from the ping",
        f"{STATE}/peers.py",
        "peer.confirmed_at = sent_at",
        "peer.confirmed_at = now",
        "once_matrix.feature",
    ),
    Mutant(
        "an owner without standing starts tasks",
        f"{STATE}/owner.py",
        "return has_standing(self.rosters(), confirmed, self.timing.confirm, now)",
        "return True",
        "once_matrix.feature",
    ),
    Mutant(
        "a start beside the owner has no witness",
        f"{STATE}/flights.py",
        "if peer.member == state.member and state.backup_ready:",
        "if False:",
        "once_matrix.feature",
    ),
    Mutant(
        "a new owner serves before its own records are backed up, and says so",
        f"{STATE}/roster.py",
        "backed_up = state.backup_ready and state.backup not in removed",
        "backed_up = True",
        "once_matrix.feature",
    ),
    Mutant(
        "missing records count as no start",
        f"{STATE}/recovery.py",
        "    return earlier.departed + lost\n",
        "    return []\n",
        "once_matrix.feature",
    ),
    Mutant(
        "members that departed are forgotten at once",
        f"{STATE}/roster.py",
        "return kept + [member for member in removed if member not in kept]",
        "return []",
        "once_matrix.feature",
    ),
    Mutant(
        "a restarted agent speaks for its earlier life",
        f"{STATE}/gate.py",
        "if start.incarnation != gate.member.incarnation:\n        return Verdict",
        "if False:\n        return Verdict",
        "once_matrix.feature",
    ),
    Mutant(
        "a time-out counts as not run",
        f"{STATE}/ledger.py",
        'index, TaskOutcome.UNKNOWN, reason="it was sent to a worker and not settled"',
        'index, TaskOutcome.NOT_RUN, reason="it was sent to a worker and not settled"',
        "once_matrix.feature",
    ),
    Mutant(
        "an uncertain call to the upstream counts as not sent",
        f"{STATE}/agent.py",
        "if event.outcome is UpstreamOutcome.NOT_SENT:",
        "if event.outcome is not UpstreamOutcome.ANSWERED:",
        "once_matrix.feature",
    ),
    Mutant(
        "an answer of another attempt passes",
        f"{STATE}/flights.py",
        "    if not _is_of(task.place, message.incarnation, message.attempt):\n"
        "        # An earlier",
        "    if False:\n        # An earlier",
        "once_matrix.feature",
    ),
    Mutant(
        "an owner that lost its cell still says not run",
        f"{STATE}/ledger.py",
        "    if not confirmed:\n",
        "    if False:\n",
        "once_matrix.feature",
    ),
    Mutant(
        "an entry says not run of a key that it sent to nobody",
        f"{STATE}/entry.py",
        "return Outcome.NOT_RUN if minted else Outcome.UNKNOWN",
        "return Outcome.NOT_RUN",
        "once_matrix.feature",
    ),
    Mutant(
        "a submission that the network held back is taken",
        f"{STATE}/submissions.py",
        "return submit.epoch != state.record.epoch or age > state.timing.confirm",
        "return False",
        "once_matrix.feature",
    ),
    Mutant(
        "a copy of a refused submission runs",
        f"{STATE}/submissions.py",
        "return tracked.waiters.get(held.sender) != held.submit.attempt",
        "return True",
        "once_matrix.feature",
    ),
    Mutant(
        "a damaged answer reaches the caller",
        f"{STATE}/entry.py",
        "answer.fingerprint != pending.job.fingerprint or not _is_whole",
        "False and not _is_whole",
        "once_matrix.feature",
    ),
    Mutant(
        "too old a key is taken for a new one",
        f"{STATE}/entry.py",
        "if age_ms > state.timing.retention * 1000 - margin_ms:",
        "if False:",
        "once_matrix.feature",
    ),
    Mutant(
        "a takeover needs no silence of the others",
        f"{STATE}/candidate.py",
        "    if 2 * agreeing <= len(roster):\n        return\n",
        "",
        "once_matrix.feature",
    ),
    Mutant(
        "a swap whose reply was lost is taken for refused",
        f"{STATE}/candidate.py",
        "    if event.outcome is SwapOutcome.LOST:",
        "    if event.outcome is not SwapOutcome.APPLIED:",
        "once_matrix.feature",
    ),
]


def try_mutant(mutant: Mutant) -> tuple[Mutant, str]:
    """Run the mutant's feature in a copy; return what noticed it, or nothing."""
    with tempfile.TemporaryDirectory(prefix="mutant-") as directory:
        copy = Path(directory)
        for part in ("src", "features", "standins", "tools"):
            shutil.copytree(ROOT / part, copy / part)
        target = copy / mutant.path
        text = target.read_text(encoding="utf-8")
        if mutant.old not in text:
            return mutant, ""
        target.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
        return mutant, _noticed(copy, mutant.feature)


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
    lines = done.stdout.splitlines()
    failing = [line.strip() for line in lines if line.strip().startswith("features/")]
    return failing[-1] if failing else feature


@click.command()
@click.argument("words", nargs=-1)
def main(words: tuple[str, ...]) -> None:
    """Try all mutants, or those whose names contain every one of WORDS."""
    chosen = [one for one in MUTANTS if all(word in one.name for word in words)]
    survivors = 0
    with ThreadPoolExecutor(PARALLEL) as pool:
        for mutant, noticed in pool.map(try_mutant, chosen):
            survivors += not noticed
            click.echo(f"{mutant.name}: {noticed or 'SURVIVED'}")
    click.echo(f"{len(chosen) - survivors} caught, {survivors} survived")
    sys.exit(min(survivors, 100))


if __name__ == "__main__":
    main()
