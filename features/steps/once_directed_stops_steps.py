"""Steps for planned stops, directed at what they could cut off."""

from behave import when

from cactuswalk.messages import Leave, Result
from features.support.directed import AGENTS, SETTLE_S, others


@when("a worker is stopped and the last result that it sends is lost")
def step_last_result(context):
    bag = context.bag
    name, lost = others(bag)[0], []

    def fate(sender, receiver, message):
        if isinstance(message, Leave):
            bag.fate = lambda *_: [0.0005]
        if isinstance(message, Result) and sender == f"tcp://{name}":
            lost.append(message)
            return []
        return [0.0005]

    bag.fate = fate
    context.again = bag.submit("entry-0", bag.job(tasks=5, duration_ms=150))
    bag.run(0.02)
    bag.stop(name)
    bag.run(SETTLE_S)
    assert lost, "no result was lost"


@when("each node is stopped and replaced in turn while jobs keep coming")
def step_stop_all(context):
    bag = context.bag
    for number in range(AGENTS):
        name = f"worker-{number}"
        bag.stop(name)
        process = bag.processes[f"tcp://{name}"]
        for _ in range(60):
            if not process.alive:
                break
            job = bag.job(tasks=4, duration_ms=150)
            bag.submit(f"entry-{number % 2}", job, 8000)
            bag.run(0.2)
        assert not process.alive, f"{name} has not stopped"
        bag.add_agent(name)
        bag.run(1.0)
    bag.run(SETTLE_S)


@when("the owner is stopped as planned and a job comes at that moment")
def step_stop_and_submit(context):
    bag = context.bag
    bag.stop(context.owner)
    context.again = bag.submit("entry-1", bag.job(tasks=1, duration_ms=1))
    bag.run(SETTLE_S)


@when("the owner is stopped as a job comes, and its caller comes again later")
def step_witnessed_only(context):
    bag = context.bag
    bag.stop(context.owner)
    context.job = bag.job(tasks=4, duration_ms=50)
    bag.submit("entry-1", context.job)
    # The submission has left it.
    bag.run(0.002)
    bag.kill("entry-1")
    bag.run(2.0)
    assert bag.owner().name != context.owner
    context.again = bag.submit("entry-0", context.job)
    bag.run(SETTLE_S)
