"""Measure how long a cell is without an owner, with real processes.

    python -m tools.takeover --runs 5

A request is sent each 20 ms or so through both entries in turn; a gap is the
time from the signal to the first answer to a request that was sent after it.
"""

import time

import click

from features.process_faults_load import find_owner, send_request, small_cluster
from tools.cluster import Cluster
from tools.rolling import wait_served
from tools.tables import table

__all__ = ["gap_of", "main"]


def gap_of(cluster: Cluster, how: str) -> float:
    """End the owner's agent, and return the time to the next answer.

    :param how: ``kill`` or ``terminate``.
    """
    agent = cluster[f"agent-{find_owner(cluster)}"]
    began = time.monotonic()
    if how == "kill":
        agent.kill()
    else:
        agent.terminate()
        agent.wait()
    while send_request(cluster).outcome != "answered":
        pass
    return time.monotonic() - began


def run_once(how: str, workers: int) -> float:
    """Measure one end of an owner in a deployment of its own."""
    with small_cluster(workers) as cluster:
        cluster.wait_ready()
        wait_served(cluster)
        # The owner's records are copied to another host within a second or two.
        time.sleep(2)
        return gap_of(cluster, how)


@click.command()
@click.option("--runs", default=5, show_default=True)
@click.option("--workers", default=5, show_default=True)
def main(runs: int, workers: int) -> None:
    """Print the gap after an owner's death and after its planned stop."""
    rows = []
    for how in ("kill", "terminate"):
        gaps = sorted(run_once(how, workers) for _ in range(runs))
        figures = [f"{gaps[len(gaps) // 2]:.2f}", f"{gaps[-1]:.2f}"]
        rows.append([how, runs, *figures])
    click.echo(table(["owner's end", "runs", "p50 s", "max s"], rows))


if __name__ == "__main__":
    main()
