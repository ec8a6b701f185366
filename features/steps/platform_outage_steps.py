"""Steps for outages, the call budget and back-off."""

import asyncio
import random

from behave import given, then, when
from hypothesis import given as drawn, settings, strategies

from cactuswalk.decisions import backoff as backoff_module
from cactuswalk.decisions.backoff import Backoff
from cactuswalk.decisions.callbudget import CallBudget
from cactuswalk.state.events import SwapOutcome
from features.platform_world import PROPERTY, memory_store


@given("{number:d} platform clients with reads, a write and a watch")
def step_clients(context, number):
    world = context.world
    context.answers, context.watching = [], set()

    async def use(index):
        store = memory_store(world.service, f"client-{index}", index)

        async def follow():
            async for _ in store.watch(f"cell-{index}", 0):
                context.watching.add(index)

        async def write():
            value, outcome = b'"write-%d"' % index, SwapOutcome.UNKNOWN
            while outcome is SwapOutcome.UNKNOWN:
                swapped = await store.swap(f"cell-{index}", 0, value, f"write-{index}")
                outcome = swapped.outcome
            context.answers.append(outcome)

        async def read():
            while not (await store.read(f"cell-{index}")).known:
                pass
            context.answers.append("read")

        await asyncio.gather(follow(), write(), read(), read(), read())

    context.use, context.number = use, number


@given("the clients do not back off")
def step_no_backoff(context):
    longest = backoff_module.MAX_WAIT_SECONDS
    backoff_module.MAX_WAIT_SECONDS = backoff_module.INITIAL_WAIT_SECONDS

    def restore():
        backoff_module.MAX_WAIT_SECONDS = longest

    context.clean_ups.append(restore)


@given("one platform client with {number:d} pending reads while the service is down")
def step_waiting_reads(context, number):
    world = context.world
    world.service.set_faults({"down": True})

    async def read():
        while not (await world.store.read("cell")).known:
            pass

    async def wait():
        world.tasks += [asyncio.create_task(read()) for _ in range(number)]
        await asyncio.sleep(60)

    world.run(wait())


@when("the service is down for {seconds:d} seconds")
def step_outage(context, seconds):
    world = context.world
    world.service.set_faults({"down": True})

    async def outage():
        for index in range(context.number):
            world.tasks.append(asyncio.create_task(context.use(index)))
        # All start at the same time, which back-off can't prevent; the bound is
        # for the calls after that.
        await asyncio.sleep(10)
        world.service.calls.clear()
        await asyncio.sleep(seconds - 10)

    world.run(outage())


@when("the service is back and {seconds:d} seconds pass")
def step_return(context, seconds):
    context.world.service.calls.clear()
    context.world.service.set_faults({"down": False})
    context.world.run(asyncio.sleep(seconds))


@then("no second of the outage saw more than {number:d} calls")
@then("no second since saw more than {number:d} calls")
def step_peak(context, number):
    peak = context.world.service.calls.report()["peak_per_second"]
    assert 0 < peak <= number, peak


@then("some second of the outage saw more than {number:d} calls")
def step_peak_above(context, number):
    assert context.world.service.calls.report()["peak_per_second"] > number


@then("all platform clients have their answers and watches")
def step_all_answered(context):
    assert len(context.watching) == context.number
    assert context.answers.count(SwapOutcome.APPLIED) == context.number
    assert context.answers.count("read") == 3 * context.number
    assert context.world.service.calls.waiting == context.number


@when("one platform client reads without pause for {seconds:d} seconds")
def step_greedy(context, seconds):
    async def read_on():
        while True:
            await context.world.store.read("cell")

    async def greed():
        readers = [asyncio.create_task(read_on()) for _ in range(5)]
        await asyncio.sleep(seconds)
        for reader in readers:
            reader.cancel()

    context.world.run(greed())


@then("the service has seen at most {number:d} calls")
def step_at_most(context, number):
    total = context.world.service.calls.report()["total"]
    assert number / 2 < total <= number, total


@then("no sequence of calls spends more than the call budget has gained")
def step_budget_property(context):
    pauses = strategies.floats(0, 10)
    costs = strategies.sampled_from([1, 5])

    @settings(max_examples=200, **PROPERTY)
    @drawn(strategies.lists(strategies.tuples(pauses, costs, strategies.booleans())))
    def property_holds(uses):
        budget, now, spent = CallBudget(5.0, 15.0), 0.0, 0
        for pause, cost, failed in uses:
            now += pause
            if budget.remaining(cost, now) == 0:
                budget.spend(cost, now)
                spent += cost
            if failed:
                budget.shrink(now)
            assert spent <= 15 + 5 * now + 1e-6

    property_holds()


@then("no sequence of failures leads to a wait outside its bounds")
def step_backoff_property(context):
    @settings(max_examples=100, **PROPERTY)
    @drawn(strategies.integers(1, 2000), strategies.integers())
    def property_holds(failures, seed):
        backoff, now, generator = Backoff(), 0.0, random.Random(seed)
        for number in range(1, failures + 1):
            backoff.record_failure(now, now, generator)
            # A failure of a concurrent call does not count as a second one.
            backoff.record_failure(now - 1, now, generator)
            bound = min(0.05 * 2 ** min(number, 20), backoff_module.MAX_WAIT_SECONDS)
            assert bound / 2 - 1e-6 <= backoff.remaining(now) <= bound + 1e-6
            now = backoff.retry_at
        backoff.record_success()
        assert backoff.remaining(now) == 0

    property_holds()
