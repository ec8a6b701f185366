"""Steps for directed failures at an agent, and of its records."""

from behave import given, then, when

from cactuswalk.messages import Probe, Start
from cactuswalk.state.effects import CallUpstream
from cactuswalk.state.timing import Timing
from features.support.bag import small_cell
from features.support.directed import (
    AGENTS,
    SETTLE_S,
    SLOTS,
    cell,
    others,
    owner_name,
    receive,
    run_full,
    starts_of,
)
from features.support.judge import violations


@given("a directed agent with one slot that is {state}")
def step_agent(context, state):
    context.bag = cell(AGENTS)
    context.bag.run(1.0)
    bag = context.bag
    context.agent = bag.processes[f"tcp://{others(bag)[0]}"]
    context.agent.state.agent.gate.slots = 1
    context.calls = 0
    if state == "taken":
        offer(context, "team/first", 1000)


def offer(context, submission: str, attempt: int) -> None:
    """Hand the agent a start as its owner in force would send it."""
    agent = context.agent.state.agent
    gate = agent.gate
    start = Start(
        *(agent.cell, gate.epoch, gate.member.incarnation),
        *(int(context.bag.now * 1000), submission, b"print", 0, 1, attempt),
        *("routes", context.bag.job().tasks[0], 5000, False),
    )
    context.start = start
    deliver_start(context, start)


def deliver_start(context, start: Start) -> None:
    bag = context.bag
    effects = receive(bag, context.agent, bag.owner().address, start)
    context.calls += sum(isinstance(one, CallUpstream) for one in effects)


@when("a start is declined there, the slot becomes free, and a copy comes")
def step_declined(context):
    offer(context, "team/second", 1001)
    assert context.calls == 1
    context.bag.run(0.3)
    assert not context.agent.state.agent.gate.running
    deliver_start(context, context.start)


@when("a probe for a start comes, and then the start")
def step_probe(context):
    agent = context.agent.state.agent
    gate = agent.gate
    probe = Probe(
        *(agent.cell, gate.epoch, gate.member.incarnation),
        *("team/late", 0, 1002, False),
    )
    receive(context.bag, context.agent, context.bag.owner().address, probe)
    offer(context, "team/late", 1002)


@then("the directed agent calls its upstream {times}")
def step_calls(context, times):
    assert context.calls == {"never": 0, "once in all": 1}[times]


@given("a directed cell that has answered two jobs on every worker")
def step_two_jobs(context):
    context.bag = cell(AGENTS)
    context.bag.run(1.0)
    context.jobs = []
    for _ in range(2):
        context.jobs.append(run_full(context.bag, AGENTS, 100))
        context.bag.run(1.0)


@when("a worker is frozen, the owner dies, and each job is repeated in turn")
def step_rejoin(context):
    bag = context.bag
    backup = bag.owner().state.owner.backup.worker
    context.frozen = next(name for name in others(bag) if name != backup)
    bag.freeze(context.frozen, 4.0)
    bag.kill(owner_name(bag))
    first = bag.submit("entry-1", context.jobs[0], 8000)
    bag.run(3.6)
    assert first.reply is not None
    bag.run(2.0)
    context.again = [first, bag.submit("entry-1", context.jobs[1], 8000)]
    bag.run(SETTLE_S)


@then("the first directed job is unknown there and the second is known")
def step_known(context):
    told = []
    for handed, job in zip(context.again, context.jobs, strict=True):
        assert starts_of(context.bag, job) == AGENTS * SLOTS
        indexes = [
            one.index
            for one in context.bag.upstreams[context.frozen].starts
            if one.submission == job.submission
        ]
        told.append({str(handed.reply.results[index].outcome) for index in indexes})
    assert told == [{"unknown"}, {"done"}], told
    assert violations(context.bag) == []


@given("a directed cell that keeps records for six seconds")
def step_short(context):
    context.window = 6.0
    context.bag = small_cell(3, timing=Timing(retention=context.window))
    context.bag.run(1.0)


def kept(bag) -> dict[str, int]:
    """Return how much each part of the live processes keeps."""
    sizes = dict.fromkeys(("pending", "records", "copies"), 0)
    for process in bag.processes.values():
        if process.name.startswith("entry"):
            sizes["pending"] += len(process.state.pending)
        elif process.alive:
            sizes["records"] += process.state.agent.gate.records.count
            sizes["copies"] += process.state.agent.copies.count
    owner = bag.owner().state.owner
    for name in ("ledger", "answered", "open", "kept", "cancelled", "held"):
        sizes[name] = len(getattr(owner, name))
    sizes["recovered"] = owner.recovered.count
    sizes["flights"] = sum(len(peer.placements) for peer in owner.peers.values())
    return sizes


@when("jobs and cancels come for three windows")
def step_windows(context):
    bag = context.bag
    context.sizes = []
    for window in range(3):
        for number in range(int(context.window / 0.1)):
            job = bag.job(tasks=2, duration_ms=50)
            bag.submit(f"entry-{number % 2}", job, 2000)
            if number % 5 == 0:
                bag.cancel("entry-0", bag.job())
            bag.run(0.1)
        if window == 0:
            name = owner_name(bag)
            bag.kill(name)
            bag.run(4.0)
            bag.add_agent(name)
        else:
            context.sizes.append(kept(bag))


@then("the directed cell keeps no more after the third than after the second")
def step_bounded(context):
    second, third = context.sizes
    grown = {
        name: (second[name], third[name])
        for name in third
        if third[name] > 1.1 * second[name] + 5
    }
    assert not grown, grown
    assert third["answered"] > 0 and third["records"] > 0, third
    assert violations(context.bag) == []
