"""Steps for links that are cut one way around an owner."""

from behave import then, when

from cactuswalk.model import Outcome
from features.support.directed import outcome, owner_name, stored

REQUEST_EVERY_S = 0.5


def submit_for(bag, seconds):
    """Submit short requests at each entry in turn, half with callers' keys."""
    handed = []
    for number in range(int(seconds / REQUEST_EVERY_S)):
        job = bag.job(duration_ms=50)
        minted = number % 4 < 2
        handed.append(bag.submit(f"entry-{number % 2}", job, minted=minted))
        bag.run(REQUEST_EVERY_S)
    return handed


@when("the owner hears nobody for {seconds:d} s and requests come all the while")
def step_deaf(context, seconds):
    bag = context.bag
    context.epoch = stored(bag).epoch
    bag.deafen(owner_name(bag))
    context.handed = submit_for(bag, seconds)
    bag.cut.clear()
    bag.run(8.0)


@then("all of them are answered, and the next epoch is in force")
def step_all_answered(context):
    assert {outcome(one) for one in context.handed} == {Outcome.ANSWERED}
    assert stored(context.bag).epoch == context.epoch + 1


@when("the owner hears nobody for {seconds:d} s and the service is down")
def step_deaf_outage(context, seconds):
    bag = context.bag
    context.owner = owner_name(bag)
    bag.key_value.down = True
    bag.deafen(context.owner)
    bag.run(seconds)
    bag.cut.clear()


@then("the same owner answers again within {seconds:d} s of the mend")
def step_same_owner(context, seconds):
    bag = context.bag
    bag.run(seconds)
    handed = submit_for(bag, 2.0)
    bag.run(2.0)
    assert {outcome(one) for one in handed} == {Outcome.ANSWERED}
    assert owner_name(bag) == context.owner


@when(
    "the owner hears nobody for {seconds:d} s and the service is down for the "
    "first {down:d} s"
)
def step_deaf_late(context, seconds, down):
    bag = context.bag
    bag.key_value.down = True
    bag.deafen(owner_name(bag))
    bag.run(down)
    bag.key_value.down = False
    bag.run(seconds - down - 4.0)
    context.handed = submit_for(bag, 4.0)


@then("the requests of the last 4 s are answered before the mend")
def step_answered_before(context):
    context.bag.run(1.0)
    assert {outcome(one) for one in context.handed} == {Outcome.ANSWERED}
