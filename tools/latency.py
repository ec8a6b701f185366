"""Measure the path: added latency, requests a second, memory.

One entry and one agent with its upstream stand-in; everything on the loopback.
Writes the tables of docs/measurements/path.md::

    python -m tools.latency
"""

import asyncio
import itertools
import random
import time
from pathlib import Path

import aiohttp
import click
import psutil

from cactuswalk.model import generate_identifier
from tools.cluster import Cluster, Worker, token_of
from tools.tables import ROOT, Histogram, replace_block, table

__all__ = ["main"]

PAGE = ROOT / "docs" / "measurements" / "path.md"

SERVICE = "booking"
TEAM = "labuta"
BODY = b'{"work": "empty", "duration_ms": 0}'

# Pairs of one direct call and one through the path, one after the other.
PAIRS = 1000
WARM_UP = 50

# Upstreams announce themselves twice a second.
SERVED_WITHIN_S = 15.0

# Requests in flight at one time, and how long each level runs.
LEVELS = (1, 4, 16, 64)
LEVEL_S = 4.0

# Resident memory is taken at rest and after so many requests. The first is the
# issue's; a leak of 100 bytes a request would show as 10 MB at the last.
REQUESTS_FOR_MEMORY = (10_000, 20_000, 40_000, 60_000, 80_000, 100_000)
AGENT_BOUND_MB = 64


class Target:
    """Sends empty requests, through the path or straight to the upstream."""

    def __init__(self, session: aiohttp.ClientSession, cluster: Cluster) -> None:
        self.session = session
        self.path = f"{cluster.entry_url(0)}/v1/services/{SERVICE}/requests"
        self.upstream = f"{cluster.urls['upstream-w1']}/tasks"
        self.generator = random.Random(11)
        self.serial = itertools.count()

    async def through_path(self) -> int:
        """Send one empty request through the path; return its status."""
        headers = {
            "Authorization": f"Bearer {token_of(TEAM)}",
            "Content-Type": "application/json",
            "Idempotency-Key": generate_identifier(
                int(time.time() * 1000), self.generator
            ),
        }
        return await self._post(self.path, headers)

    async def direct(self) -> int:
        """Send one empty request to the upstream; return its status."""
        headers = {
            "Cactuswalk-Submission": f"direct-{next(self.serial)}",
            "Cactuswalk-Task": "0",
            "Cactuswalk-Attempt": "1",
        }
        return await self._post(self.upstream, headers)

    async def _post(self, url: str, headers: dict[str, str]) -> int:
        async with self.session.post(url, data=BODY, headers=headers) as response:
            await response.read()
            return response.status


async def until_served(target: Target) -> None:
    """Return once the upstream has announced itself and a request is answered."""
    end = time.monotonic() + SERVED_WITHIN_S
    while await target.through_path() != 200:
        if time.monotonic() > end:
            raise click.ClickException(f"{SERVICE} isn't served")
        await asyncio.sleep(0.1)


async def timed(send, histogram: Histogram) -> None:
    """Send once and record the response time in milliseconds."""
    began = time.perf_counter()
    status = await send()
    if status != 200:
        raise click.ClickException(f"an empty request got status {status}")
    histogram.add((time.perf_counter() - began) * 1000)


async def measure_added(target: Target) -> str:
    """Return the table of response times with and without the path."""
    direct, path = Histogram(), Histogram()
    for _ in range(WARM_UP):
        await timed(target.direct, Histogram())
        await timed(target.through_path, Histogram())
    for _ in range(PAIRS):
        await timed(target.direct, direct)
        await timed(target.through_path, path)
    rows = [
        ["direct", direct.count, direct.at(50), direct.at(99)],
        ["through the path", path.count, path.at(50), path.at(99)],
        [
            "added",
            path.count,
            path.at(50) - direct.at(50),
            path.at(99) - direct.at(99),
        ],
    ]
    return table(["empty request", "requests", "p50 ms", "p99 ms"], rows)


def processor_times(cluster: Cluster) -> dict[str, float]:
    """Return the processor seconds that each process has used."""
    used = {
        name: sum(psutil.Process(process.pid).cpu_times()[:2])
        for name, process in cluster.processes.items()
    }
    return used | {"generator": sum(psutil.Process().cpu_times()[:2])}


async def measure_level(target: Target, cluster: Cluster, level: int) -> list[object]:
    """Keep so many requests in flight and return a row of figures."""
    histogram = Histogram()
    end = time.monotonic() + LEVEL_S

    async def keep_sending() -> None:
        while time.monotonic() < end:
            await timed(target.through_path, histogram)

    before, began = processor_times(cluster), time.monotonic()
    await asyncio.gather(*(keep_sending() for _ in range(level)))
    seconds = time.monotonic() - began
    after = processor_times(cluster)
    shares = [
        100 * (after[name] - before[name]) / seconds
        for name in ("entry-1", "agent-w1", "upstream-w1", "generator")
    ]
    rate = histogram.count / seconds
    per_request = [share * 10 / rate for share in shares[:2]]
    row = [level, rate, histogram.at(50), histogram.at(99), *shares, *per_request]
    return [row[0], *(round(value, 2) for value in row[1:])]


async def measure_levels(target: Target, cluster: Cluster) -> str:
    """Return the table of requests a second by requests in flight."""
    rows = [await measure_level(target, cluster, level) for level in LEVELS]
    headers = ["in flight", "requests/s", "p50 ms", "p99 ms"]
    shares = ["entry %", "agent %", "upstream %", "generator %"]
    return table(
        [*headers, *shares, "entry ms/request", "agent ms/request"],
        rows,
    )


def resident_mb(cluster: Cluster) -> dict[str, float]:
    """Return the resident memory of each process, in MB of 10^6 bytes."""
    return {
        name: psutil.Process(process.pid).memory_info().rss / 1e6
        for name, process in cluster.processes.items()
    }


async def measure_memory(
    target: Target, cluster: Cluster, at_rest: dict[str, float], sent: int
) -> str:
    """Send up to each stated number of requests and return the memory table."""
    names = ("entry-1", "agent-w1", "upstream-w1", "keyvalue")
    rows = [[0, "", *(round(at_rest[name], 1) for name in names)]]
    for wanted in REQUESTS_FOR_MEMORY:
        began = time.monotonic()
        await send_until(target, sent, wanted)
        rate = (wanted - sent) / (time.monotonic() - began)
        sent, after = wanted, resident_mb(cluster)
        rows.append([wanted, round(rate), *(round(after[name], 1) for name in names)])
        click.echo(f"memory after {wanted} requests")
    return table(["requests", "requests/s", *(f"{name} MB" for name in names)], rows)


async def send_until(target: Target, sent: int, wanted: int) -> None:
    """Send requests, 16 at a time, until so many have been sent."""
    numbers = iter(range(sent, wanted))
    histogram = Histogram()

    async def keep_sending() -> None:
        for _ in numbers:
            await timed(target.through_path, histogram)

    await asyncio.gather(*(keep_sending() for _ in range(16)))


async def measure(cluster: Cluster, at_rest: dict[str, float]) -> str:
    """Return all tables of the page."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        target = Target(session, cluster)
        await until_served(target)
        click.echo("added latency")
        added = await measure_added(target)
        click.echo("memory")
        memory = await measure_memory(target, cluster, at_rest, PAIRS + WARM_UP)
        click.echo("requests a second")
        levels = await measure_levels(target, cluster)
    return "\n\n".join([added, levels, memory])


@click.command()
@click.option("--page", default=str(PAGE), help="Page whose block is replaced.")
def main(page: str) -> None:
    """Measure the path and write the page's tables."""
    with Cluster(1, [Worker("w1", SERVICE)]) as cluster:
        cluster.wait_ready()
        text = asyncio.run(measure(cluster, resident_mb(cluster)))
    click.echo(text)
    replace_block(Path(page), "path", text)


if __name__ == "__main__":
    main()
