"""Slopes of real processes: frames between two sockets, memory, calls."""

import asyncio
import time

import psutil

from cactuswalk import messages
from cactuswalk.messages import Cancel
from cactuswalk.runtime.transport import Transport
from tools.capacity import IDLE_AGENTS
from tools.cluster import Cluster, Worker
from tools.processes import free_ports
from tools.series import Point, Series

__all__ = ["process_series"]

FRAMES = (1000, 2000, 4000, 8000)

# Frames under way at one time, well below the socket's bound.
WINDOW = 50

# An idle deployment is watched for this long.
IDLE_S = 10.0

MEGABYTE = 1_000_000


def process_series() -> list[Series]:
    """Return all series of real processes, not measured yet."""
    return [
        Series("frames between two sockets", "frames", FRAMES, frames),
        Series("idle processes by agents", "agents", IDLE_AGENTS, idle_processes),
    ]


def frames(count: int) -> Point:
    """Send so many frames of one message from one socket to another."""
    took_s = asyncio.run(send_frames(count))
    point = Point()
    point.time("processor ms, both ends", took_s * 1000)
    return point


async def send_frames(count: int) -> float:
    """Return the processor time of all threads for the frames."""
    addresses = [f"tcp://127.0.0.1:{port}" for port in free_ports(2)]
    received = asyncio.Semaphore(0)
    receiver = Transport(
        addresses[0], lambda *_: received.release(), _ignore, codec=messages
    )
    sender = Transport(addresses[1], lambda *_: None, _ignore, codec=messages)
    receiver.open()
    sender.open()
    try:
        await first_frame(sender, addresses[0], received)
        began = time.process_time()
        for number in range(count):
            sender.send(addresses[0], Cancel(f"glenmorrow/{number}"), 0.0)
            sender.flush()
            if number >= WINDOW:
                await received.acquire()
        for _ in range(min(count, WINDOW)):
            await received.acquire()
        return time.process_time() - began
    finally:
        sender.close()
        receiver.close()


async def first_frame(sender: Transport, address: str, received) -> None:
    """Send until the first frame arrives: the connection takes a moment."""
    while received.locked():
        sender.send(address, Cancel("first"), 0.0)
        sender.flush()
        await asyncio.sleep(0.05)
    while not received.locked():
        await received.acquire()


def _ignore(name: str, by: int) -> None:
    """Take a counter that nobody looks at."""


def idle_processes(agents: int) -> Point:
    """Start one entry and so many agents, and let them idle."""
    workers = [Worker(f"w{number}", "booking") for number in range(agents)]
    with Cluster(1, workers) as cluster:
        cluster.wait_ready()
        before, began = calls_of(cluster), time.monotonic()
        used = [used_s(cluster, name) for name in names_of(cluster)]
        time.sleep(IDLE_S)
        seconds = time.monotonic() - began
        calls = (calls_of(cluster) - before) / seconds
        used = [
            used_s(cluster, name) - earlier
            for name, earlier in zip(names_of(cluster), used, strict=True)
        ]
        point = Point()
        point.time("entry resident MB", resident_mb(cluster, "entry-1"))
        resident = [resident_mb(cluster, f"agent-{name}") for name in cluster.workers]
        point.time("owner's agent resident MB", max(resident))
        point.time("other agents resident MB", min(resident))
        point.time("entry processor ms/s", used[0] * 1000 / seconds)
        point.time("owner's agent processor ms/s", max(used[1:]) * 1000 / seconds)
        point.time("other agents processor ms/s", min(used[1:]) * 1000 / seconds)
        point.time("key-value calls/s", calls)
        return point


def names_of(cluster: Cluster) -> list[str]:
    """Return the entry's name and the agents'."""
    return ["entry-1", *(f"agent-{name}" for name in cluster.workers)]


def used_s(cluster: Cluster, name: str) -> float:
    """Return the processor time that a process has used."""
    times = psutil.Process(cluster[name].pid).cpu_times()
    return times.user + times.system


def resident_mb(cluster: Cluster, name: str) -> float:
    """Return the resident memory of a process."""
    return psutil.Process(cluster[name].pid).memory_info().rss / MEGABYTE


def calls_of(cluster: Cluster) -> int:
    """Return all calls that the key-value stand-in has counted."""
    return cluster.keyvalue_calls()["total"]
