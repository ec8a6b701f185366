"""Steps that compare an owner's cached view of its members with a full check."""

import itertools
from unittest import mock

from behave import given, then, when

from cactuswalk.messages import Ping, Pong
from cactuswalk.state import placing
from cactuswalk.state.owner import Phase
from features.support.bag import small_cell
from features.support.directed import run_full

AGENTS = 6


def has_counted_quorum(state, now) -> bool:
    """Tell whether more than half of each roster confirms an owner."""
    confirmed = {
        key
        for key, peer in state.peers.items()
        if now - peer.confirmed_at <= state.timing.confirm
    }
    return all(
        2 * sum(member.incarnation in confirmed for member in roster) > len(roster)
        for roster in state.rosters()
    )


def find_usable(state, now) -> list[str]:
    can_start = state.can_start_tasks(now)
    return [
        peer.member.worker
        for peer in state.peers.values()
        if can_start and peer.in_force and placing._is_usable(state, peer, now)
    ]


@given("a cell of 6 that loses half of its pings and pongs")
def step_lossy(context):
    context.bag = bag = small_cell(AGENTS, seed=3)
    context.checks, context.differences, context.verdicts = 0, [], set()

    def fate(sender, receiver, message):
        lost = isinstance(message, Ping | Pong) and bag.generator.random() < 1 / 2
        return [] if lost else [0.0005]

    def compare(kind, process, what, delays):
        state = getattr(process.state, "owner", None)
        if kind != "taken" or state is None or state.phase is not Phase.SERVING:
            return delays
        if not state.deposed:
            context.checks += 1
            standing = has_counted_quorum(state, bag.now)
            context.verdicts.add(standing)
            if state.is_confirmed(bag.now) != standing:
                context.differences.append((bag.now, "standing", standing))
            compare_workers(context, state)
        return delays

    bag.fate, bag.watch = fate, compare


def compare_workers(context, state):
    placing.refresh_workers(state, context.bag.now)
    kept = [peer.member.worker for peer in state.peers.values() if peer.usable]
    found = find_usable(state, context.bag.now)
    if kept != found:
        context.differences.append((context.bag.now, kept, found))


@when("members die, come back and stop for 20 seconds")
def step_turmoil(context):
    bag = context.bag
    for turn in range(10):
        owner = bag.owner().name
        name = next(f"worker-{n}" for n in range(turn % 5, 9) if f"worker-{n}" != owner)
        if turn % 3 == 2:
            bag.stop(name)
        else:
            bag.kill(name)
        bag.run(1.0)
        bag.add_agent(name)
        bag.run(1.0)


@then("at each event the owner's cache equalled a full check")
def step_same(context):
    assert context.checks > 500, context.checks
    assert context.verdicts == {True, False}, "standing was never lost, or never held"
    assert not context.differences, context.differences[:5]


def count_checks(agents: int) -> int:
    bag = small_cell(agents, entries=1)
    with mock.patch.object(placing, "_is_usable", wraps=placing._is_usable) as look:
        bag.run(5.0)
    return look.call_count


@when("idle cells of 8 and 32 are watched for 5 seconds")
def step_watch(context):
    context.counts = count_checks(8), count_checks(32)


@then("the larger one's owner checks members five times as often at most")
def step_linear(context):
    small, large = context.counts
    assert 0 < large <= 5 * small, context.counts


@given("an idle cell in which each second ping to a worker's agent is lost")
def step_every_second(context):
    context.bag = bag = small_cell(AGENTS, seed=4)
    owner = bag.owner().name
    context.worker = next(f"worker-{n}" for n in range(2) if f"worker-{n}" != owner)
    turns = itertools.count()

    def fate(sender, receiver, message):
        aimed = isinstance(message, Ping) and receiver == f"tcp://{context.worker}"
        return [] if aimed and next(turns) % 2 else [0.0005]

    bag.fate = fate


@when("10 seconds have passed")
def step_passed(context):
    peer = context.bag.owner().state.owner.find_peer(context.worker)
    context.usable = []
    for _ in range(200):
        context.bag.run(0.05)
        context.usable.append(peer.usable)


@then("that worker could be given work throughout")
def step_throughout(context):
    assert all(context.usable), context.usable.count(False)


@given("an idle cell of 3")
def step_three(context):
    context.bag = small_cell(3, seed=6)


@when("every slot runs a task for 3 seconds")
def step_all_run(context):
    run_full(context.bag, 3, 3000)
    context.bag.run(3.5)


@then("no start was probed")
def step_no_probes(context):
    assert context.bag.sent.get("Probe", 0) == 0, context.bag.sent
