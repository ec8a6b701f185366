"""Steps for the loss of the service's data and of half of a cell."""

from behave import given, then, when

from cactuswalk.model import Outcome
from cactuswalk.state.readiness import unready_reasons
from features.steps.once_directed_takeover_steps import kill_owner
from features.support.bag import Bag
from features.support.directed import (
    AGENTS,
    SETTLE_S,
    code,
    others,
    outcome,
    owner_name,
    serving,
    starts_of,
    stored,
)
from features.support.lostdata import LostData

NEW_AGENTS = 4


def lose_data(context) -> None:
    context.bag.key_value.values.clear()
    context.entry = "entry-1"


def start_agents(bag) -> None:
    # Each looks again after a pause of its own.
    for number in range(NEW_AGENTS):
        bag.add_agent(f"worker-new-{number}")
    bag.run(SETTLE_S)


def replace_agents(bag) -> None:
    for number in range(AGENTS):
        bag.kill(f"worker-{number}")
    bag.run(1.0)
    for number in range(AGENTS):
        bag.add_agent(f"worker-{number}")


def add_entry(context) -> None:
    context.entry = "entry-new"
    context.bag.add_entry(context.entry)


@when("the service loses its data, and agents and an entry are started")
def step_lose(context):
    lose_data(context)
    add_entry(context)
    start_agents(context.bag)


@when("the service begins anew and is refused by all, and agents are started")
def step_refused(context):
    lose_data(context)
    context.bag.key_value.refused_by = set(context.bag.processes)
    start_agents(context.bag)


@when("the service loses its data and the owner is killed")
def step_lose_owner(context):
    lose_data(context)
    kill_owner(context, resubmit=False)
    context.bag.run(SETTLE_S)


@when("the service loses its data and all agents are replaced")
def step_lose_agents(context):
    lose_data(context)
    replace_agents(context.bag)
    context.bag.run(SETTLE_S)


@when("the service loses its data, and all agents and entries are replaced")
def step_lose_all(context):
    lose_data(context)
    for name in ("entry-0", "entry-1"):
        context.bag.kill(name)
    add_entry(context)
    replace_agents(context.bag)
    context.bag.run(SETTLE_S)


@when("the directed job is submitted again at the {which} entry")
def step_again(context, which):
    context.again = context.bag.submit(context.entry, context.job, 8000)
    context.bag.run(SETTLE_S)


@when("the service goes back to its first record and a member dies")
def step_back(context):
    bag = context.bag
    context.epoch = bag.owner().state.owner.record.epoch
    bag.key_value.values.update(context.first)
    bag.kill(others(bag)[0])
    bag.run(2 * SETTLE_S)


@when("three of five hosts are lost {how} the owner, for {seconds:d} s")
def step_half(context, how, seconds):
    bag = context.bag
    lost = others(bag)[:3]
    if how == "with":
        lost[0] = owner_name(bag)
    for name in lost:
        bag.kill(name)
    context.lost = lost
    bag.run(2.0)
    context.early = bag.submit("entry-0", bag.job(), 20_000, minted=True)
    bag.run(seconds - 2.0)


@when("one lost host is replaced under its name and address")
def step_replace(context):
    context.bag.add_agent(context.lost[0])
    context.bag.run(SETTLE_S)


@then(
    "callers who come now are told at once that there is no owner, and when to return"
)
def step_told(context):
    bag = context.bag
    context.minted = bag.submit("entry-0", bag.job(), 8000, minted=True)
    context.own = bag.submit("entry-1", bag.job(), 8000)
    bag.run(0.2)
    for handed in (context.early, context.minted, context.own):
        assert handed.reply is not None, "held back"
        assert code(handed) == "no_owner", handed.reply
        assert handed.reply.refusal.retry_after_ms


@then('of these only the ones whose keys are new are told "not run"')
def step_outcomes(context):
    assert outcome(context.minted) is Outcome.NOT_RUN
    assert outcome(context.own) is Outcome.UNKNOWN


@then("the directed job is told that it is too old, and nothing of it starts again")
def step_too_old(context):
    told = (outcome(context.again), code(context.again))
    assert told == (Outcome.UNKNOWN, "too_old_to_know"), context.again.reply
    assert starts_of(context.bag, context.job) == len(context.job.tasks)


@then("the new agents are members of the directed cell")
def step_member(context):
    workers = {member.worker for member in stored(context.bag).roster}
    assert workers >= {f"worker-new-{number}" for number in range(NEW_AGENTS)}


@then("the directed cell has no owner but the one that it had")
def step_only_owner(context):
    owners = [(one.member.worker, one.record.epoch) for one in serving(context.bag)]
    assert owners == [(context.owner, context.epoch)], owners


@then("the epoch of the directed cell has not gone back")
def step_epoch(context):
    assert stored(context.bag).epoch >= context.epoch


@given("a directed cell whose agents have all just been started")
def step_just_started(context):
    context.bag = bag = Bag()
    bag.add_entry("entry-0")
    for number in range(3):
        bag.add_agent(f"worker-{number}")


@then("its entry is not ready before callers' own keys are taken, and is then")
def step_ready_late(context):
    bag = context.bag
    entry = bag.processes["tcp://entry-0"].state
    told = set()

    def ready():
        reasons = unready_reasons(entry, bag.now)
        told.update(reason.split(";")[0] for reason in reasons)
        return not reasons

    assert bag.run_until(ready, 15.0), told
    assert "each cell has just begun" in told, told
    handed = bag.submit("entry-0", bag.job())
    bag.run(2.0)
    assert outcome(handed) is Outcome.ANSWERED, handed.reply


@then("no promise is broken in {count:d} random orders of lost data")
def step_random_orders(context, count):
    context.orders = [play_order(seed) for seed in range(1, count + 1)]


@then(
    "none in orders {first:d}, {second:d}, {third:d}, {fourth:d} and {fifth:d}, in"
    " which cells were begun anew"
)
def step_chosen_orders(context, **seeds):
    context.orders += [play_order(seed) for seed in seeds.values()]


def play_order(seed):
    order = LostData(seed)
    order.play()
    found = order.find_violations()
    assert not found, f"seed {seed}: {found}, {order.faults}"
    return order


@then("owners were frozen, replaced and cut off in them, and cells were taken over")
def step_orders_covered(context):
    kinds = {name for order in context.orders for _, name in order.faults}
    assert {"freeze_owner", "replace_owner", "isolate_owner"} <= kinds, kinds
    lines = [line for order in context.orders for _, _, line in order.bag.logs]
    serves = sum(line.sentence == "serves" for line in lines)
    assert serves > len(context.orders), serves
