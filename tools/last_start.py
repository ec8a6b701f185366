"""Measure how long a worker that is gone still gets work, with real processes.

    python -m tools.last_start --rounds 5

Under an even load a fault befalls one worker, which is not the owner's. The
owner's log tells when it placed the last task there, the agent's log when it
last passed a start on, and the upstream's own record when it last began a task;
all clocks are one machine's. Then the worker is mended, has to get work again,
and the next round begins. Each fault has a deployment of its own.
"""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import click

from features.process_faults_load import (
    MAX_WAIT_S,
    Load,
    find_faults,
    find_idempotent_submissions,
    find_owner,
)
from tools.cluster import OPERATOR, Cluster, Worker, token_of
from tools.processes import ROOT, wait_until
from tools.rolling import wait_served
from tools.tables import table
from tools.workloads import LABUTA

__all__ = ["FAULTS", "LastStart", "Scene", "main", "measure"]

# Above every span that decides here (the goal is two seconds), so that a late
# start can't hide behind the end of the watch.
WATCH_S = 6.0

# Few enough slots that a worker which is let back on trial is needed: it has to
# earn its slots before the next round. One that is frozen gets at most its free
# slots, so that only many of them show when its announcement expires.
SLOTS = 2

# A worker that has just been mended is watched until it has had so many starts.
STARTS_TO_BE_BACK = 5


class Scene:
    """A running cell under load, and the worker that the faults befall."""

    __slots__ = ("cluster", "worker")

    def __init__(self, cluster: Cluster, worker: str) -> None:
        self.cluster = cluster
        self.worker = worker

    def agent(self):
        """Return the worker's agent."""
        return self.cluster[f"agent-{self.worker}"]

    def upstream(self):
        """Return the worker's upstream."""
        return self.cluster[f"upstream-{self.worker}"]

    def operate(self, *words: str) -> None:
        """Run the operators' command."""
        command = [sys.executable, "-m", "cactuswalk.commands.operator"]
        command += ["--endpoint", self.cluster.operator_url(0)]
        command += ["--token", token_of(OPERATOR), *words]
        environment = {"PYTHONPATH": f"{ROOT / 'src'}"}
        subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            stdout=subprocess.DEVNULL,
            check=True,
        )

    def withdraw(self) -> None:
        """Have the upstream stop as planned: it withdraws, finishes, and exits."""
        self.upstream().terminate()

    def kill_host(self) -> None:
        """Kill the agent and its upstream in one moment."""
        self.agent().kill()
        self.upstream().kill()

    def restart_upstream(self) -> None:
        """Start the upstream again once it has ended."""
        self.upstream().wait(MAX_WAIT_S)
        self.upstream().start()

    def restart_host(self) -> None:
        """Start the agent and its upstream again."""
        self.agent().start()
        self.upstream().start()

    def thaw_agent(self) -> None:
        """Let the agent go on."""
        self.agent().unfreeze()

    def drain(self) -> None:
        """Drain the worker by the operators' command."""
        self.operate("drain", self.worker)

    def undrain(self) -> None:
        """Put the worker back."""
        self.operate("undrain", self.worker)


FAULTS: dict[str, tuple[Callable[[Scene], None], Callable[[Scene], None]]] = {
    "upstream killed": (lambda scene: scene.upstream().kill(), Scene.restart_upstream),
    "upstream frozen": (
        lambda scene: scene.upstream().freeze(),
        lambda scene: scene.upstream().unfreeze(),
    ),
    "upstream withdraws": (Scene.withdraw, Scene.restart_upstream),
    "agent killed": (
        lambda scene: scene.agent().kill(),
        lambda scene: scene.agent().start(),
    ),
    "agent frozen": (lambda scene: scene.agent().freeze(), Scene.thaw_agent),
    "host killed": (Scene.kill_host, Scene.restart_host),
    "drained": (Scene.drain, Scene.undrain),
}


class LastStart:
    """How long after a fault work was still given, in seconds.

    Each is 0 if there was none after the fault.
    """

    __slots__ = ("began", "passed", "placed")

    def __init__(self, placed: float, passed: float, began: float) -> None:
        self.placed = placed
        self.passed = passed
        self.began = began


def moments(path: Path, sentence: str, worker: str) -> list[float]:
    """Return when a process has logged a sentence about a worker."""
    found = []
    for line in path.read_text(encoding="utf-8").splitlines():
        # The last line may be half written.
        if f'"message":"{sentence}"' in line and line.endswith("}"):
            fields = json.loads(line)
            if fields["worker"] == worker:
                found.append(fields["timestamp"])
    return found


def last_after(at: float, found: list[float]) -> float:
    """Return how long after a moment the last of others is, 0 if none is."""
    return max(0.0, max(found, default=at) - at)


def placed(scene: Scene) -> list[float]:
    """Return when owners have placed tasks on the worker, in any epoch."""
    cluster = scene.cluster
    logs = [cluster[f"agent-{name}"].log for name in cluster.workers]
    sentence = "owner: placed a task"
    return [at for log in logs for at in moments(log, sentence, scene.worker)]


def began(scene: Scene) -> list[float]:
    """Return when tasks have begun on the worker, by its upstream's record."""
    records = scene.cluster.records()
    of_worker = [one for one in records if one["worker"] == scene.worker]
    return [one["at"] for one in of_worker if one["event"] == "start"]


def measure(scene: Scene, fault: str) -> LastStart:
    """Bring one fault about, and watch what is still started."""
    befall, _ = FAULTS[fault]
    at = time.time()
    befall(scene)
    time.sleep(WATCH_S)
    log = scene.agent().log
    return LastStart(
        last_after(at, placed(scene)),
        last_after(at, moments(log, "agent: started a task", scene.worker)),
        last_after(at, began(scene)),
    )


def mend(scene: Scene, fault: str) -> None:
    """Mend a fault, and return once the worker gets work again."""
    mended_at = time.time()
    FAULTS[fault][1](scene)
    wait_until(
        lambda: sum(one > mended_at for one in began(scene)) >= STARTS_TO_BE_BACK,
        MAX_WAIT_S,
        f"work on {scene.worker} after '{fault}'",
    )


def measure_rounds(rounds: int, members: list[Worker], fault: str) -> list[LastStart]:
    """Return what came of each round; end with 1 if a promise was broken."""
    with Cluster(2, members) as cluster:
        cluster.wait_ready()
        wait_served(cluster)
        worker = [name for name in cluster.workers if name != find_owner(cluster)][-1]
        scene = Scene(cluster, worker)
        load = Load(cluster)
        load.start()
        load.wait_answered(50)
        found = [measure(scene, fault)]
        while len(found) < rounds:
            mend(scene, fault)
            found.append(measure(scene, fault))
        sent = load.finish()
        wrong = find_faults(sent, cluster, find_idempotent_submissions(sent))
    for one in wrong:
        click.echo(f"FAULT {one}", err=True)
    if wrong:
        sys.exit(1)
    return found


def row_of(fault: str, found: list[LastStart]) -> list[object]:
    """Return the table's row of one fault: p50 and greatest of each figure."""
    row: list[object] = [fault, len(found)]
    for kind in ("placed", "passed", "began"):
        seconds = sorted(getattr(one, kind) for one in found)
        row += [f"{seconds[len(seconds) // 2]:.2f}", f"{seconds[-1]:.2f}"]
    return row


HEADERS = [
    *("fault", "rounds", "owner placed, p50 s", "max s"),
    *("agent passed on, p50 s", "max s", "upstream began, p50 s", "max s"),
]


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option("--workers", default=4, show_default=True)
@click.option("--slots", default=SLOTS, show_default=True)
@click.option("--fault", "faults", multiple=True, type=click.Choice(list(FAULTS)))
def main(rounds: int, workers: int, slots: int, faults: tuple[str, ...]) -> None:
    """Print how long after each fault the worker still got work."""
    names = [f"w{number}" for number in range(1, workers + 1)]
    members = [Worker(name, LABUTA[0], slots=slots) for name in names]
    rows = []
    for fault in faults or FAULTS:
        rows.append(row_of(fault, measure_rounds(rounds, members, fault)))
        click.echo(rows[-1], err=True)
    click.echo(table(HEADERS, rows))


if __name__ == "__main__":
    main()
