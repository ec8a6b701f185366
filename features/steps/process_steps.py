"""Steps for the launcher of processes and the plans of arrivals."""

import contextlib
import os
import shutil
import signal
import socket
import subprocess
import sys

from behave import given, then, when

from cactuswalk.settings import load_agent, load_entry
from tools.cluster import Cluster, Worker
from tools.processes import ROOT, free_ports, wait_until
from tools.workloads import plan

# Long enough for a busy machine to start Python.
MAX_WAIT_S = 30.0

LAUNCHER = """
import sys, time
from tools.cluster import Cluster
with Cluster(entries=0, workers=[]) as cluster:
    print(cluster["keyvalue"].pid, cluster.directory, flush=True)
    time.sleep(600)
"""


def add_clean_up(context, clean_up):
    context.clean_ups = [*getattr(context, "clean_ups", []), clean_up]


def has_ended(pid):
    """Return whether a process has exited, even if it is not reaped yet."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            return file.read().rpartition(")")[2].split()[0] == "Z"
    except FileNotFoundError:
        return True


@given("a launcher laid out for two entries and three workers")
def step_laid_out(context):
    workers = [Worker(f"w{number}", "booking") for number in range(3)]
    context.cluster = Cluster(entries=2, workers=workers)
    add_clean_up(context, context.cluster.close)


@then("the product's checker takes each of its settings files")
def step_settings(context):
    paths = sorted(context.cluster.directory.glob("*.ini"))
    assert len(paths) == 5, paths
    for path in paths:
        load = load_entry if path.name.startswith("entry") else load_agent
        load(path)


@given("the launcher has reserved {count:d} ports")
def step_reserved(context, count):
    context.ports = free_ports(count)
    assert len(set(context.ports)) == count


@when("{count:d} sockets ask the system for any free port")
def step_others(context, count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for other in sockets:
            other.bind(("127.0.0.1", 0))
        context.others = {other.getsockname()[1] for other in sockets}


@then("none of them gets a port that the launcher reserved")
def step_not_shared(context):
    assert not context.others & set(context.ports)


@then("a server can listen at each port that the launcher reserved")
def step_listen(context):
    for port in context.ports:
        with socket.create_server(("127.0.0.1", port)):
            pass


@given("a launched key-value stand-in that is frozen")
def step_frozen(context):
    context.cluster = Cluster(entries=0, workers=[])
    add_clean_up(context, context.cluster.close)


@when("the launcher's block is left by an error")
def step_error(context):
    with contextlib.suppress(ZeroDivisionError), context.cluster as cluster:
        context.pid = cluster["keyvalue"].pid
        cluster["keyvalue"].freeze()
        raise ZeroDivisionError


@then("no process of the launcher is left")
def step_none_left(context):
    assert has_ended(context.pid)
    assert not context.cluster.directory.exists()


@given("a launcher in a process of its own with a key-value stand-in")
def step_own_process(context):
    context.launcher = subprocess.Popen(
        [sys.executable, "-c", LAUNCHER], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    add_clean_up(context, context.launcher.stdout.close)
    add_clean_up(context, context.launcher.wait)
    add_clean_up(context, context.launcher.kill)
    pid, directory = context.launcher.stdout.readline().split()
    context.pid = int(pid)
    add_clean_up(context, lambda: shutil.rmtree(directory, ignore_errors=True))


@when("that launcher is killed at once")
def step_kill_launcher(context):
    os.kill(context.launcher.pid, signal.SIGKILL)


@then("its key-value stand-in ends by itself")
def step_ends(context):
    wait_until(lambda: has_ended(context.pid), MAX_WAIT_S, "the stand-in's end")


@given("two load plans with seed {seed:d} and one with seed {other:d}")
def step_plans(context, seed, other):
    context.plans = [plan(number, 20.0, 30.0, 500) for number in (seed, seed, other)]


@then("the plans with seed {seed:d} are equal and differ from the other")
def step_equal(context, seed):
    first, second, third = context.plans
    assert first == second
    assert first.arrivals != third.arrivals


@then("each load plan keeps its bounds of time, count, task time and job size")
def step_bounds(context):
    for planned in context.plans:
        assert 0 < len(planned.arrivals) <= 500
        times = [arrival.at_s for arrival in planned.arrivals]
        assert times == sorted(times)
        assert times[-1] < 20.0
        for arrival in planned.arrivals:
            assert 1 <= len(arrival.durations_ms) <= 140
            assert len(arrival.durations_ms) == 1 or arrival.kind.job
            assert all(50 <= duration <= 4000 for duration in arrival.durations_ms)
