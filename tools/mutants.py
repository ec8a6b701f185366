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

from tools.mutant import Mutant
from tools.mutants_cells import CELL_MUTANTS
from tools.sourcechange import ROOT, StaleChangeError

STATE = "src/cactuswalk/state"
GATE = "once_gate.feature"
TAKEOVER = "once_directed_takeover.feature"
ANSWERS = "once_directed_answers.feature"
LISTENING = "once_listening.feature"
LOST = "once_lost.feature"
FLAPPING = "once_flapping.feature"
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


MUTANTS = [
    *CELL_MUTANTS,
    Mutant(
        "an owner that hears nobody goes on pinging",
        f"{STATE}/peers.py",
        "return unconfirmed_seconds > state.timing.suspect",
        "return False",
        TAKEOVER,
    ),
    Mutant(
        "an owner that hears nobody takes all others for lost",
        f"{STATE}/roster.py",
        "isolated = _hears_no_member(state, now)",
        "isolated = False",
        TAKEOVER,
    ),
    Mutant(
        "a new owner does not wait out the old one's standing",
        f"{STATE}/recovery.py",
        "if not _has_fenced_majority(state) or now < state.old_owner_until:",
        "if not _has_fenced_majority(state):",
        TAKEOVER,
    ),
    Mutant(
        "a new owner serves without a fenced majority",
        f"{STATE}/recovery.py",
        "if not _has_fenced_majority(state) or now < state.old_owner_until:",
        "if now < state.old_owner_until:",
        TAKEOVER,
    ),
    Mutant(
        "an entry sends to an owner that it has not heard for P",
        f"{STATE}/waiting.py",
        "if now - cell.stamp_at > state.timing.confirm:",
        "if False:",
        LISTENING,
    ),
    Mutant(
        "an entry keeps its pace though a caller waits",
        f"{STATE}/listening.py",
        "    if busy:\n        return MIN_REPORT_INTERVAL_SECONDS\n",
        "",
        LISTENING,
    ),
    Mutant(
        "an entry takes a deposed owner's word for not run",
        f"{STATE}/waiting.py",
        "if answer.outcome is Outcome.NOT_RUN and answer.epoch < view.epoch:",
        "if False:",
        ANSWERS,
    ),
    Mutant(
        "a stopping member leaves with attempts that nobody has settled",
        f"{STATE}/roster.py",
        "(peer.leaving and not peer.placements)",
        "peer.leaving",
        TAKEOVER,
    ),
    Mutant(
        "records that changed wait behind later ones",
        f"{STATE}/retention.py",
        "                heapq.heappush(self.expiries, (due, submission))\n",
        "                self.expiries.append((due + self.retention, submission))\n",
        ANSWERS,
    ),
    Mutant(
        "every member says that it misses the owner",
        f"{STATE}/agent.py",
        "silent = now - state.heard_at if known else 0.0",
        "silent = 1e6",
        TAKEOVER,
    ),
    Mutant(
        "a candidate forgets a swap that may apply late",
        f"{STATE}/candidate.py",
        "if record.write_id in state.swaps_in_doubt:",
        "if False:",
        TAKEOVER,
    ),
    Mutant(
        "the epoch in question is the agent's, not the record's",
        f"{STATE}/candidate.py",
        "    if record is not None and record.epoch > state.agent.gate.epoch:\n"
        "        return record.epoch",
        "    if False:\n        return record.epoch",
        TAKEOVER,
    ),
    Mutant(
        "an epoch that is no news is written",
        f"{STATE}/candidate.py",
        "    if record.epoch <= state.agent.gate.epoch:\n",
        "    if False:\n",
        TAKEOVER,
    ),
    Mutant(
        "a cell that begins takes keys of before for new ones",
        f"{STATE}/recovery.py",
        "state.known_since = state.agent.gate.records.known_since = now",
        "pass",
        LOST,
    ),
    Mutant(
        "an owner that an entry hears does not keep a second cell from beginning",
        f"{STATE}/candidate.py",
        "    owner = absence.live_owner(OWNER_LIVE_PERIODS * timing.confirm, now)\n",
        '    owner = ""\n',
        LOST,
    ),
    Mutant(
        "a cell begins below the epoch that entries know",
        f"{STATE}/founding.py",
        "self.epoch = max(self.epoch, message.epoch)",
        "pass",
        LOST,
    ),
    Mutant(
        "members do not go on without the record",
        f"{STATE}/candidate.py",
        "    elif wanted == gate.epoch and gate.owner is not None:\n",
        "    elif False:\n",
        LOST,
    ),
    Mutant(
        "an old record deposes the owner",
        f"{STATE}/roster.py",
        "    if record.epoch < state.record.epoch:\n",
        "    if False:\n",
        LOST,
    ),
    Mutant(
        "callers wait for their deadlines where half of a cell is lost",
        f"{STATE}/waiting.py",
        "    if not pending.sent and now - since > MAX_OWNER_WAIT_SECONDS:\n",
        "    if False:\n",
        LOST,
    ),
    Mutant(
        "a worker that dies over and over is not held back",
        "src/cactuswalk/decisions/damping.py",
        "SUPPRESS_ABOVE = 2.0",
        "SUPPRESS_ABOVE = 99.0",
        FLAPPING,
    ),
    Mutant(
        "a pause counts as a death",
        f"{STATE}/roster.py",
        "    if earlier != member.incarnation:\n",
        "    if True:\n",
        FLAPPING,
    ),
    Mutant(
        "all workers of a cell may be held back at once",
        "src/cactuswalk/decisions/scheduler.py",
        "if self.cell.peer_health(worker, now).ejected_part <= MAX_EJECTED_PART:\n",
        "if True:\n",
        FLAPPING,
    ),
    Mutant(
        "a wish to stop that was lost is not repeated",
        f"{STATE}/peers.py",
        "if flight.unwanted and now",
        "if False and now",
        "once_stopped.feature",
    ),
    Mutant(
        "a stopped owner does not name its successor",
        f"{STATE}/node.py",
        'gate.owner.address if gate.owner is not None else ""',
        '""',
        TAKEOVER,
    ),
    Mutant(
        "a word that an attempt did not start leaves the witness's record",
        f"{STATE}/flights.py",
        "    _decline_recovered(state, message, now)\n",
        "",
        TAKEOVER,
    ),
    Mutant(
        "an answer that an earlier try asked for ends a later one",
        f"{STATE}/waiting.py",
        "message.answer.attempt = message.attempt",
        "message.answer.attempt = state_last(pending)",
        ANSWERS,
    ),
    Mutant(
        "tasks without a record are new though others of their job have one",
        f"{STATE}/submissions.py",
        "    if records and _predates_records(state, held.submit, now):\n",
        "    if False:\n",
        LOST,
    ),
    Mutant(
        "a taken-over cell forgets that it was begun anew",
        f"{STATE}/recovery.py",
        "    elif earlier.known_since_ms:\n",
        "    elif False:\n",
        LOST,
    ),
    Mutant(
        "a cell that is begun anew takes the next epoch",
        f"{STATE}/founding.py",
        "        epoch + UNHEARD_EPOCHS if epoch else 1,\n",
        "        epoch + 1,\n",
        LOST,
    ),
    Mutant(
        "a key from the future is taken",
        f"{STATE}/callers.py",
        "if age < -margin_ms:",
        "if False:",
        ANSWERS,
    ),
    Mutant(
        "a key's other body joins the first",
        f"{STATE}/submissions.py",
        "    if tracked.job.fingerprint != submit.job.fingerprint:\n        refuse",
        "    if False:\n        refuse",
        ANSWERS,
    ),
    Mutant(
        "a key's other body joins the first at the entry",
        f"{STATE}/callers.py",
        "if pending.job.fingerprint != event.job.fingerprint:",
        "if False:",
        ANSWERS,
    ),
    Mutant(
        "a key's other body is not told from records",
        f"{STATE}/submissions.py",
        "    if known - {job.fingerprint}:\n        return KEY_REUSED\n",
        "",
        ANSWERS,
    ),
    Mutant(
        "a start's stamp is not looked at",
        f"{STATE}/gate.py",
        "if age_ms > gate.confirm * 1000:",
        "if False:",
        GATE,
    ),
    Mutant(
        "a start's epoch is not looked at",
        f"{STATE}/gate.py",
        "if start.epoch != gate.epoch:",
        "if False:",
        GATE,
    ),
    Mutant(
        "the gate forgets the records",
        f"{STATE}/gate.py",
        "if record is not None and not _may_follow(record, start):",
        "if False:",
        GATE,
    ),
    Mutant(
        "a declined attempt leaves no tombstone",
        f"{STATE}/agent.py",
        "        record_decline(gate, start, now)\n",
        "",
        ANSWERS,
    ),
    Mutant(
        "a probed attempt that never came is not declined for good",
        f"{STATE}/agent.py",
        "    state.gate.records.put(record, now)\n    return record",
        "    return record",
        ANSWERS,
    ),
    Mutant(
        "standing counts from the pong, not from the ping",
        f"{STATE}/peers.py",
        "peer.confirmed, peer.confirmed_at = pong.serial, sent_at",
        "peer.confirmed, peer.confirmed_at = pong.serial, now",
        TAKEOVER,
    ),
    Mutant(
        "an owner without standing starts tasks",
        f"{STATE}/owner.py",
        "return not self._is_stale(now)",
        "return True",
        TAKEOVER,
    ),
    Mutant(
        "a start beside the owner has no witness",
        f"{STATE}/placing.py",
        "if peer.member == state.member and state.backup_ready:",
        "if False:",
        TAKEOVER,
    ),
    Mutant(
        "a new owner serves before its own records are backed up, and says so",
        f"{STATE}/roster.py",
        "backed_up = state.backup_ready and state.backup not in removed",
        "backed_up = True",
        TAKEOVER,
    ),
    Mutant(
        "missing records count as no start",
        f"{STATE}/recovery.py",
        "    return earlier.departed + lost\n",
        "    return []\n",
        TAKEOVER,
    ),
    Mutant(
        "members that departed are forgotten at once",
        f"{STATE}/roster.py",
        "return kept + [member for member in removed if member not in kept]",
        "return []",
        TAKEOVER,
    ),
    Mutant(
        "a restarted agent speaks for its earlier life",
        f"{STATE}/gate.py",
        "start.incarnation != gate.member.incarnation:\n        return StartDecision",
        "False:\n        return StartDecision",
        GATE,
    ),
    Mutant(
        "a time-out counts as not run",
        f"{STATE}/ledger.py",
        'index, TaskOutcome.UNKNOWN, reason="it was sent to a worker and not settled"',
        'index, TaskOutcome.NOT_RUN, reason="it was sent to a worker and not settled"',
        ANSWERS,
    ),
    Mutant(
        "an uncertain call to the upstream counts as not sent",
        f"{STATE}/agent.py",
        "if event.outcome is UpstreamOutcome.NOT_SENT:",
        "if event.outcome is not UpstreamOutcome.ANSWERED:",
        ANSWERS,
    ),
    Mutant(
        "an answer of another attempt passes",
        f"{STATE}/flights.py",
        "    if not attempts.is_current(task, incarnation, attempt):\n        # The",
        "    if False:\n        # The",
        ANSWERS,
    ),
    Mutant(
        "an owner that lost its cell still says not run",
        f"{STATE}/ledger.py",
        "    if not confirmed:\n",
        "    if False:\n",
        TAKEOVER,
    ),
    Mutant(
        "an entry says not run of a key that it sent to nobody",
        f"{STATE}/entryview.py",
        "return Outcome.NOT_RUN if minted else Outcome.UNKNOWN",
        "return Outcome.NOT_RUN",
        ANSWERS,
    ),
    Mutant(
        "a submission that the network held back is taken",
        f"{STATE}/submissions.py",
        "return submit.epoch != state.record.epoch or age > state.timing.confirm",
        "return False",
        ANSWERS,
    ),
    Mutant(
        "a copy of a refused submission runs",
        f"{STATE}/submissions.py",
        "return not is_superseded_attempt(tracked, held.sender, held.submit.attempt)",
        "return True",
        ANSWERS,
    ),
    Mutant(
        "an earlier try runs after a later one was refused",
        f"{STATE}/ledger.py",
        "return last is not None and 0 <= last - attempt < ATTEMPTS_PER_INCARNATION",
        "return last == attempt",
        ANSWERS,
    ),
    Mutant(
        "a question that overtakes its submission gets an earlier refusal",
        f"{STATE}/inquiries.py",
        "if tracked is None or _is_ahead(tracked, query, sender):",
        "if tracked is None:",
        ANSWERS,
    ),
    Mutant(
        "a damaged answer reaches the caller",
        f"{STATE}/waiting.py",
        "answer.fingerprint != pending.job.fingerprint or not _is_complete",
        "False and not _is_complete",
        ANSWERS,
    ),
    Mutant(
        "too old a key is taken for a new one",
        f"{STATE}/callers.py",
        "if age > state.timing.retention * 1000 - margin_ms:",
        "if False:",
        ANSWERS,
    ),
    Mutant(
        "a takeover needs no silence of the others",
        f"{STATE}/candidate.py",
        "    if 2 * agreeing <= len(roster):\n        return\n",
        "",
        TAKEOVER,
    ),
    Mutant(
        "a swap whose reply was lost is taken for refused",
        f"{STATE}/candidate.py",
        "    if event.outcome is SwapOutcome.LOST:",
        "    if event.outcome is not SwapOutcome.APPLIED:",
        TAKEOVER,
    ),
]


def try_mutant(mutant: Mutant) -> Tried:
    """Run the mutant's feature in a copy, and say what noticed it."""
    try:
        text = mutant.changed_text()
    except StaleChangeError as error:
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
