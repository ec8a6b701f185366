"""Steps for swaps whose replies are lost, and for concurrent swaps."""

import contextlib

import msgspec
from behave import given, then, when
from hypothesis import Phase, given as drawn, settings, strategies

from cactuswalk.platform import store as store_module
from cactuswalk.platform.keyvalue import (
    KeyValueStore,
    WriteIdMissingError,
)
from cactuswalk.platform.swapoutcome import contains_write_id
from features.platform_race import ACTIONS, FAULTY_CLIENTS, run_race
from features.platform_world import PROPERTY, World, memory_store
from standins.keyvalue_virtual import VirtualLoop


@given("the service loses the replies of the next {number:d} writes")
def step_lose_reply(context, number):
    context.world.service.set_faults({"lose_reply": number})


@given("the service loses the next {number:d} writes")
def step_lose_request(context, number):
    context.world.service.set_faults({"lose_request": number})


@given("the service holds back the next {number:d} writes")
def step_hold(context, number):
    context.world.service.set_faults({"hold": number})


@given("another writer replaces the value as soon as a call fails")
def step_other(context):
    store = context.world.service.store
    context.world.failure_hooks.append(lambda: store.put(b"cell", b"other"))


@given("the service goes down as soon as a call fails")
def step_goes_down(context):
    service = context.world.service
    context.world.failure_hooks.append(lambda: service.set_faults({"down": True}))


@given("the service compacts its history as soon as a call fails")
def step_compacts(context):
    context.world.failure_hooks.append(context.world.service.store.compact)


@when("a platform client swaps the key")
@when("the client repeats the swap")
def step_swap(context):
    world = context.world
    context.write_id, context.value = "node-1", msgspec.json.encode(["node-1"])
    context.swapped = world.run(
        world.store.swap("cell", 2, context.value, context.write_id)
    )


@when("the writes held back arrive")
def step_release(context):
    assert context.world.service.release() > 0


@then("the swap is reported as {outcome}")
def step_outcome(context, outcome):
    assert context.swapped.outcome == outcome, context.swapped


def times_written(world, value):
    entries = [change.entry for change in world.service.store.history]
    return sum(entry is not None and entry.value == value for entry in entries)


@then("the write is in the history exactly once")
def step_once(context):
    assert times_written(context.world, context.value) == 1


@then("the write is not in the history")
def step_never(context):
    assert times_written(context.world, context.value) == 0


@then('a value of write "{other}" does not contain write id "{write_id}"')
def step_names(context, other, write_id):
    for encode in (msgspec.json.encode, msgspec.msgpack.encode):
        assert contains_write_id(encode({"write_id": other}), other)
        assert not contains_write_id(encode({"write_id": other}), write_id)


@then("a value without its write id is refused before it is sent")
def step_missing(context):
    with contextlib.closing(World(VirtualLoop())) as world:
        try:
            world.run(world.store.swap("cell", 2, b"value", "node-1"))
        except WriteIdMissingError as error:
            assert error.remedy
        else:
            raise AssertionError("the value was sent")
        assert world.service.calls.report()["total"] == 0


@when("the service is restored from an earlier state")
def step_restored(context):
    context.world.service.store.revision = 1


@then("a read by the same client has no known result")
def step_not_known(context):
    assert not context.world.run(context.world.store.read("cell")).known


@then('the client\'s last error has the code "{code}"')
def step_problem(context, code):
    assert context.world.store.last_error.code == code
    assert context.world.store.last_error.remedy


RACES = strategies.lists(
    strategies.tuples(strategies.sampled_from(ACTIONS), strategies.integers(0, 2)),
    max_size=25,
)


def run_races(kind, examples, **more):
    @settings(max_examples=examples, **PROPERTY, **more)
    @drawn(RACES)
    def property_holds(actions):
        run_race(kind, actions)

    property_holds()


@then("no race of swaps contradicts the outcomes reported to its clients")
def step_races(context):
    run_races(KeyValueStore, 300)


@then("no race does so with clients that remember only one swap in doubt")
def step_races_forgetting(context):
    limit, store_module.MAX_IN_DOUBT_SWAPS = store_module.MAX_IN_DOUBT_SWAPS, 1
    try:
        run_races(KeyValueStore, 200)
    finally:
        store_module.MAX_IN_DOUBT_SWAPS = limit


@when("the client is replaced and the next one repeats the swap")
def step_next_run(context):
    world = context.world

    async def run_next():
        store = memory_store(world.service, "next run")
        return await store.resolve_swap("cell", 2, context.value, context.write_id)

    context.swapped = world.run(run_next())


@then("the race detects a client that {fault}")
def step_mutant(context, fault):
    try:
        # The first contradiction is enough, so shrinking is left out.
        run_races(FAULTY_CLIENTS[fault], 2000, phases=[Phase.generate])
    except AssertionError:
        return
    raise RuntimeError("no race has detected the faulty client")
