"""Measure what the key-value client costs, and how an outage looks to the service.

    python -m tools.measure_platform calls
    python -m tools.measure_platform outage --clients 280 --seconds 600

``calls`` starts the stand-in as a process of its own and measures over HTTP.
``outage`` runs in virtual time: its seconds are the clients', not the machine's.
"""

import asyncio
import contextlib
import pathlib
import random
import subprocess
import sys
import tempfile
import time

import click
import msgspec

from cactuswalk.decisions import backoff
from cactuswalk.decisions.callbudget import AGENT_BURST, AGENT_RATE, CallBudget
from cactuswalk.model import CellRecord
from cactuswalk.platform.keyvalue import KeyValueStore, open_store
from cactuswalk.state.events import SwapOutcome
from standins.keyvalue import KeyValueService
from standins.keyvalue_virtual import MemoryConnection, VirtualLoop
from tools.cluster import Cluster, Worker

__all__ = ["main"]

START_SECONDS = 10.0


@click.group()
def main() -> None:
    """Measure the client of the platform's service."""


@contextlib.contextmanager
def standin_process():
    """Run the stand-in and yield its address."""
    with tempfile.TemporaryDirectory() as directory:
        port_file = pathlib.Path(directory) / "port"
        command = [sys.executable, "-m", "standins.keyvalue", "--port-file"]
        process = subprocess.Popen([*command, str(port_file)])
        try:
            end = time.monotonic() + START_SECONDS
            while not port_file.exists():
                if time.monotonic() > end:
                    raise RuntimeError("the stand-in did not start")
                time.sleep(0.05)
            yield f"http://127.0.0.1:{port_file.read_text().strip()}"
        finally:
            process.terminate()
            process.wait()


@main.command()
@click.option("--number", default=2000, show_default=True, help="Calls of each kind.")
def calls(number: int) -> None:
    """Time and processor time of reads and swaps, one after the other."""
    with standin_process() as url:
        asyncio.run(time_calls(url, number))


async def time_calls(url: str, number: int) -> None:
    """Print a line for reads and one for swaps."""
    store = open_store([url], "measure", 1e9, 1e9)
    value = b'{"write_id":"%020d","rest":"' + b"x" * 1000 + b'"}'

    async def read(index: int) -> None:
        await store.read("cell")

    async def swap(index: int) -> None:
        nonlocal revision
        written = await store.swap("cell", revision, value % index, f"{index:020d}")
        assert written.outcome is SwapOutcome.APPLIED
        revision = written.revision

    revision = 0
    for name, call in (("swap", swap), ("read", read)):
        took = []
        spent = time.process_time()
        for index in range(number):
            began = time.perf_counter()
            await call(index)
            took.append((time.perf_counter() - began) * 1000)
        spent = (time.process_time() - spent) * 1e6 / number
        took.sort()
        click.echo(
            f"{name}: {number} calls, p50 {took[number // 2]:.2f} ms,"
            f" p99 {took[number * 99 // 100]:.2f} ms, client {spent:.0f} us a call"
        )
    await store.close()


@main.command()
@click.option("--clients", default=280, show_default=True)
@click.option("--seconds", default=600.0, show_default=True, help="Of outage.")
@click.option("--full-jitter", is_flag=True, help="Draw waits from 0 up, to compare.")
def outage(clients: int, seconds: float, full_jitter: bool) -> None:
    """Calls that the service sees while it is down, and when it returns."""
    if full_jitter:
        backoff.draw_wait_seconds = full_jitter_wait
    loop = VirtualLoop()
    loop.run_until_complete(play_outage(loop, clients, seconds))


def full_jitter_wait(failures: int, generator: random.Random) -> float:
    """Return a wait from the whole bound, as the design's other candidate."""
    bound = backoff.INITIAL_WAIT_SECONDS * 2 ** min(failures, 16)
    return generator.uniform(0, min(bound, backoff.MAX_WAIT_SECONDS))


async def play_outage(loop: VirtualLoop, clients: int, seconds: float) -> None:
    """Let every client want three reads, a swap and a watch all the while."""
    service = KeyValueService()
    service.set_faults({"down": True})
    answered: list[float] = []
    tasks = [
        asyncio.create_task(want(service, loop, index, answered))
        for index in range(clients)
    ]
    await asyncio.sleep(10)
    service.calls.clear()
    await asyncio.sleep(seconds - 10)
    report = service.calls.report()
    click.echo(
        f"down for {seconds:.0f} s: {report['total'] / (seconds - 10):.1f} calls a"
        f" second, peak {report['peak_per_second']}, {clients} clients"
    )
    service.calls.clear()
    returned = loop.time()
    service.set_faults({"down": False})
    await asyncio.sleep(30)
    took = sorted(when - returned for when in answered)
    click.echo(
        f"after the return: peak {service.calls.report()['peak_per_second']} calls"
        f" in a second, {len(took)} of {4 * clients} answers,"
        f" p50 {took[len(took) // 2]:.2f} s, last {took[-1]:.2f} s,"
        f" {service.calls.waiting} watches"
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def want(
    service: KeyValueService, loop: VirtualLoop, index: int, answered: list[float]
) -> None:
    """Use the service as one process of a cell does."""
    store = KeyValueStore(
        MemoryConnection(service, f"cell-{index}"),
        CallBudget(AGENT_RATE, AGENT_BURST),
        loop.time,
        random.Random(index),
        lambda name: None,
    )
    key, write_id = f"cell-{index}", f"write-{index}"

    async def follow() -> None:
        async for _ in store.watch(key, 0):
            pass

    async def read() -> None:
        while not (await store.read(key)).known:
            pass
        answered.append(loop.time())

    async def swap() -> None:
        value = b'"%s"' % write_id.encode()
        while True:
            told = await store.swap(key, 0, value, write_id)
            if told.outcome is not SwapOutcome.UNKNOWN:
                break
        answered.append(loop.time())

    await asyncio.gather(follow(), swap(), read(), read(), read())


@main.command()
@click.option("--agents", default=6, show_default=True)
def roles(agents: int) -> None:
    """Calls by each role of a real deployment, as the service counts them."""
    workers = [Worker(f"w{number}", "booking") for number in range(1, agents + 1)]
    with Cluster(entries=2, workers=workers) as cluster:
        cluster.wait_ready()
        print_calls("started", cluster)
        watched(cluster, "idle for 20 s", 20)
        cluster.set_keyvalue_faults(down=True)
        watched(cluster, "down for 30 s", 30)
        cluster.clear_keyvalue_faults()
        watched(cluster, "back for 10 s", 10)
        owner = owner_of(cluster)
        cluster[f"agent-{owner}"].kill()
        watched(cluster, f"10 s from the death of owner {owner}", 10)
        owner = owner_of(cluster)
        click.echo(f"the owner is now {owner}")
        cluster.set_keyvalue_faults(down=True)
        cluster[f"agent-{owner}"].kill()
        watched(cluster, f"30 s down, owner {owner} dies at once", 30)
        cluster.clear_keyvalue_faults()
        watched(cluster, "back for 10 s", 10)
        click.echo(f"the owner is now {owner_of(cluster)}")


def watched(cluster: Cluster, title: str, seconds: float) -> None:
    """Let time pass and print the calls of that time."""
    before = cluster.keyvalue_calls()["by_client"]
    time.sleep(seconds)
    print_calls(title, cluster, before)


def print_calls(title: str, cluster: Cluster, before: dict | None = None) -> None:
    """Print what each client has called since ``before``."""
    report = cluster.keyvalue_calls()
    click.echo(f"{title} ({report['waiting_watches']} watches wait):")
    for client, kinds in sorted(report["by_client"].items()):
        earlier = (before or {}).get(client, {})
        new = {kind: n - earlier.get(kind, 0) for kind, n in kinds.items()}
        text = ", ".join(f"{kind} {n}" for kind, n in sorted(new.items()) if n)
        if text:
            click.echo(f"  {client}: {text}")


def owner_of(cluster: Cluster) -> str:
    """Return the worker whose agent owns the one cell, from the service."""

    async def read() -> CellRecord:
        store = open_store([cluster.urls["keyvalue"]], "measure", 100, 100)
        _, listed = await store.list("/cactuswalk/cells/")
        await store.close()
        return msgspec.json.decode(listed[0].value, type=CellRecord)

    return asyncio.run(read()).owner.worker


if __name__ == "__main__":
    main()
