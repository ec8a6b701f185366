"""Run both users' work on a small deployment, and judge it.

The judge stands outside the product: the upstreams' own records say what was
started. The exit status is 0 only if every answer was whole, every task of an
answered submission started exactly once, no task started twice, and nothing
that was refused with "not run" had started.
"""

import asyncio
import sys
import time

import click

from cactuswalk.model import format_submission_name
from tools.cluster import Cluster, Worker
from tools.load import Sent, kind_table, send_plan, show_progress
from tools.workloads import GLENMORROW, LABUTA, Arrival, Kind, Plan, plan

__all__ = ["demo_plan", "faults_of", "main", "workers_of_both"]

SEED = 7

# Load lasts this long; starting, the last answers and the planned stop take
# some ten seconds more, which keeps the whole within a minute.
LOAD_S = 25.0
PEAK_PER_S = 14.0
MOST_ARRIVALS = 600

# The issue: tasks of 50 ms to 1 s.
LONGEST_MS = 1000

WORKERS_A_SERVICE = 3
ENTRIES = 2

# Names of the users' depots and branches, see docs/glossary.md.
SITES = {
    GLENMORROW[0]: ("inverness", "dingwall", "aviemore"),
    LABUTA[0]: ("brasov", "sibiu", "cluj"),
}


def workers_of_both() -> list[Worker]:
    """Return three workers for each user's service, one at each site."""
    return [
        Worker(f"{site}-1", service, data_centre=site)
        for service, sites in SITES.items()
        for site in sites
    ]


def demo_plan() -> Plan:
    """Return a compressed day that has a job of 1 and one of 140 tasks."""
    planned = plan(SEED, LOAD_S, PEAK_PER_S, MOST_ARRIVALS, longest_ms=LONGEST_MS)
    jobs = Kind("route-rebuild", *GLENMORROW, 0.0, False, True, 30000)
    smallest = Arrival(0.0, jobs, [50])
    largest = Arrival(0.0, jobs, [50 + 2 * index for index in range(140)])
    planned.arrivals[:0] = [smallest, largest]
    return planned


def faults_of(
    sent: list[Sent],
    starts: dict[tuple[str, int], int],
    repeatable: frozenset[str] = frozenset(),
) -> list[str]:
    """Return a sentence for everything that the records prove wrong.

    :param repeatable: submissions that may start again: requests that their
        callers declared idempotent, while workers fail.
    """
    faults = [
        f"{task[0]} task {task[1]} started {count} times"
        for task, count in starts.items()
        if count > 1 and task[0] not in repeatable
    ]
    for one in sent:
        faults.extend(faults_of_one(one, starts))
    return faults


def faults_of_one(one: Sent, starts: dict[tuple[str, int], int]) -> list[str]:
    """Return what is wrong with one arrival."""
    name = format_submission_name(one.arrival.kind.team, one.key)
    tasks = range(len(one.arrival.durations_ms))
    started = [index for index in tasks if (name, index) in starts]
    found = [f"{name}: {one.fault}"] if one.fault else []
    if one.outcome == "answered" and len(started) != len(tasks):
        found.append(f"{name}: answered with {len(started)} of {len(tasks)} starts")
    if one.outcome == "not_run" and started:
        found.append(f"{name}: refused as not run, but tasks {started} started")
    return found


def calls_by_key(sent: list[Sent], starts: dict[tuple[str, int], int]) -> dict:
    """Return the upstream calls of each submission, by its key."""
    calls = dict.fromkeys((one.key for one in sent), 0)
    for (submission, _), count in starts.items():
        key = submission.rpartition("/")[2]
        calls[key] = calls.get(key, 0) + count
    return calls


def run_demo(cluster: Cluster, planned: Plan) -> int:
    """Run the load on a ready deployment, print it, return the exit status."""
    entries = [cluster.entry_url(number) for number in range(ENTRIES)]
    sent, empty_s = asyncio.run(send_plan(planned, entries, show_progress))
    statuses = cluster.stop()
    starts = cluster.starts()
    click.echo(f"empty round trip {empty_s * 1000:.2f} ms\n")
    click.echo(kind_table(sent, empty_s, calls_by_key(sent, starts)))
    faults = faults_of(sent, starts)
    faults += [
        f"{name} ended its planned stop with status {status}\n{cluster[name].tail(5)}"
        for name, status in statuses.items()
        if status != 0 and name != "keyvalue"
    ]
    for fault in faults:
        click.echo(f"FAULT {fault}")
    click.echo(f"\n{sum(starts.values())} starts recorded, {len(faults)} faults")
    return 1 if faults else 0


def main() -> int:
    """Run the demo and return the exit status."""
    began = time.monotonic()
    planned = demo_plan()
    click.echo(
        f"Starting {ENTRIES} entries, {2 * WORKERS_A_SERVICE} agents with their "
        "upstreams, and the key-value service"
    )
    with Cluster(ENTRIES, workers_of_both()) as cluster:
        cluster.wait_ready()
        click.echo(
            f"Ready after {time.monotonic() - began:.1f} s; sending "
            f"{len(planned.arrivals)} requests and jobs, {planned.tasks} tasks"
        )
        status = run_demo(cluster, planned)
    click.echo(f"Done in {time.monotonic() - began:.1f} s, nothing left running")
    return status


if __name__ == "__main__":
    sys.exit(main())
