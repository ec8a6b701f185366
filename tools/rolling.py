"""Replace every process of a small deployment under load, some times over.

    python -m tools.rolling --rounds 2

The load's callers go through a balancer that asks ``/ready`` and never send
twice, so that whatever a replacement cuts off or refuses stands in the table.
"""

import collections
import sys
import time

import click

from features.process_faults_load import (
    MAX_WAIT_S,
    Load,
    find_faults,
    find_owner,
    send_request,
    small_cluster,
)
from tools.cluster import Cluster
from tools.processes import wait_until
from tools.tables import table

__all__ = ["Replaced", "main", "refusals_of", "replace", "roll"]

# A rolling upgrade goes on to the next host once this one is known to work.
SETTLED_S = 1.0


class Replaced:
    """One planned stop: who, its exit status, and how long it took."""

    __slots__ = ("name", "status", "stop_s", "was_owner")

    def __init__(self, name: str, status: int, stop_s: float, was_owner: bool):
        self.name = name
        self.status = status
        self.stop_s = stop_s
        self.was_owner = was_owner


def replace(cluster: Cluster, name: str, twice: bool = False) -> Replaced:
    """Ask a process to stop, wait for its end, and start it again.

    :param twice: ask a second time while it stops.
    """
    was_owner = name == f"agent-{find_owner(cluster)}"
    began = time.monotonic()
    cluster[name].terminate()
    if twice:
        time.sleep(0.2)
        cluster[name].terminate()
    status = cluster[name].wait(MAX_WAIT_S)
    stop_s = time.monotonic() - began
    cluster.restart(name)
    return Replaced(name, status, stop_s, was_owner)


def wait_back(cluster: Cluster, name: str) -> None:
    """Return once a replaced process serves again."""
    if name in cluster.urls and not name.startswith(("upstream", "keyvalue")):
        cluster.wait_ready(name, timeout_s=MAX_WAIT_S)
    time.sleep(SETTLED_S)


def all_names(cluster: Cluster) -> list[str]:
    """Return each entry, and each upstream and then its agent."""
    names = list(cluster.entry_names)
    for worker in cluster.workers:
        names += [f"upstream-{worker}", f"agent-{worker}"]
    return names


def roll(cluster: Cluster, names: list[str] | None = None) -> list[Replaced]:
    """Replace these, or all, in turn."""
    done = []
    for name in names or all_names(cluster):
        done.append(replace(cluster, name))
        wait_back(cluster, name)
    return done


def refusals_of(sent: list) -> dict[str, int]:
    """Return how many weren't answered, by code."""
    refused = [one.code or one.fault for one in sent if one.outcome != "answered"]
    return dict(collections.Counter(refused))


def wait_served(cluster: Cluster) -> None:
    """Return once each entry answers."""
    for entry in range(len(cluster.entry_names)):
        wait_until(
            lambda entry=entry: send_request(cluster, entry).outcome == "answered",
            MAX_WAIT_S,
            f"an answer through entry {entry + 1}",
        )


@click.command()
@click.option("--rounds", default=2, show_default=True)
@click.option("--workers", default=5, show_default=True)
def main(rounds: int, workers: int) -> None:
    """Replace every process of a deployment, under load, and judge it."""
    with small_cluster(workers) as cluster:
        cluster.wait_ready()
        wait_served(cluster)
        load = Load(cluster, balanced=True)
        load.start()
        load.wait_answered(15)
        done = [one for _ in range(rounds) for one in roll(cluster)]
        sent = load.finish()
        found = find_faults(sent, cluster)
    rows = []
    for kind in ("entry", "agent", "upstream"):
        of_kind = [one for one in done if one.name.startswith(kind)]
        statuses = sorted({one.status for one in of_kind})
        longest = max(one.stop_s for one in of_kind)
        owners = sum(one.was_owner for one in of_kind)
        rows.append([kind, len(of_kind), owners, statuses, f"{longest:.2f}"])
    click.echo(table(["process", "stops", "owner's", "statuses", "longest s"], rows))
    refused = refusals_of(sent)
    click.echo(
        f"{len(sent)} sent, {load.disconnects} cut off, refused: {refused or 'none'}"
    )
    for fault in found:
        click.echo(f"FAULT {fault}")
    wrong = found or refused or load.disconnects or any(one.status for one in done)
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
