"""Measure acceptance to force on the last node, with real processes.

    python -m tools.in_force_processes --workers 11 --changes 30
    python -m tools.in_force_processes --workers 30 --changes 30 --outage

The end is when every entry reports the change in force on all nodes, so the
nodes' reports are a part of the figure: it is what an operator can know.
"""

import asyncio
import time
import uuid

import click
import numpy

from cactuswalk.commands.operator_client import EntryClient
from features.process_faults_load import MAX_WAIT_S, small_cluster
from tools.cluster import OPERATOR, Cluster, token_of
from tools.tables import table

__all__ = ["main", "time_change"]

POLL_S = 0.002
# Changes come at any moment between two pings.
PAUSE_S = 0.13


async def is_everywhere(client: EntryClient, revision: int, nodes: int) -> bool:
    """Return whether all entries know a revision to be in force on all nodes."""
    query = {"revision": str(revision)}
    replies = [
        one.fields for one in await client.read_each("/operator/in-force", query)
    ]
    return all(
        one["entry_in_force"] and one["nodes_in_force"] == one["nodes"] == nodes
        for one in replies
    )


async def time_change(client, cluster: Cluster, number: int, outage: bool) -> float:
    """Make one change and return the time from its acceptance to its force."""
    name = f"w{number}"
    body = {"kind": "worker", "name": name, "labels": {"round": str(number)}}
    path = f"/operator/objects/worker/{name}"
    reply = await client.change("PUT", path, 0, body, str(uuid.uuid4()))
    accepted = time.monotonic()
    if outage:
        await asyncio.to_thread(cluster.set_keyvalue_faults, down=True)
    revision, nodes = reply.fields["revision"], len(cluster.workers)
    while not await is_everywhere(client, revision, nodes):
        if time.monotonic() > accepted + MAX_WAIT_S:
            raise click.ClickException(f"revision {revision} is not in force")
        await asyncio.sleep(POLL_S)
    took = time.monotonic() - accepted
    if outage:
        await asyncio.to_thread(cluster.clear_keyvalue_faults)
        await asyncio.sleep(1.0)
    await asyncio.sleep(PAUSE_S)
    return took


async def measure(cluster: Cluster, changes: int, outage: bool) -> list[float]:
    """Return the times of a number of changes."""
    entries = [cluster.operator_url(number) for number in range(2)]
    async with EntryClient(entries, token_of(OPERATOR)) as client:
        # Numbers past the workers': the objects are new, the workers need not be.
        return [
            await time_change(client, cluster, 1000 + number, outage)
            for number in range(changes)
        ]


@click.command()
@click.option("--workers", default=11, show_default=True)
@click.option("--changes", default=30, show_default=True)
@click.option("--outage", is_flag=True, help="The service goes down after each.")
def main(workers: int, changes: int, outage: bool) -> None:
    """Print p50, p99 and max over the changes."""
    with small_cluster(workers) as cluster:
        cluster.wait_ready(timeout_s=2 * MAX_WAIT_S)
        times = numpy.array(asyncio.run(measure(cluster, changes, outage)))
    figures = [f"{numpy.percentile(times, part):.3f}" for part in (50, 99, 100)]
    row = [workers, changes, "yes" if outage else "no", *figures]
    headers = ["agents", "changes", "outage", "p50 s", "p99 s", "max s"]
    click.echo(table(headers, [row]))


if __name__ == "__main__":
    main()
