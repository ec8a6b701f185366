"""Steps for watches and leases of the key-value service."""

import asyncio
import contextlib

import msgspec
from behave import given, then, when
from hypothesis import given as drawn, settings, strategies

from cactuswalk.platform.keyvalue import (
    LeaseLapsedError,
)
from features.platform_world import PROPERTY, World
from standins.keyvalue_virtual import VirtualLoop


@given("a platform watch from the beginning")
def step_watch(context):
    world = context.world

    async def follow():
        async for changes in world.store.watch("", 0):
            world.seen.append(changes)

    async def begin():
        world.tasks.append(asyncio.create_task(follow()))
        await asyncio.sleep(1)

    world.run(begin())


@when('keys "{keys}" are written')
def step_write(context, keys):
    for key in keys.split():
        context.world.service.store.put(key.encode(), b"value")


@when("every watch is cut")
def step_cut(context):
    context.world.run(asyncio.sleep(1))
    context.world.service.cut_watches()


@when('key "{gone}" is deleted and "{new}" written and the history compacted')
def step_compacted(context, gone, new):
    context.world.service.store.delete(gone.encode())
    context.world.service.store.put(new.encode(), b"value")
    context.world.service.store.compact()


@then("the watch has delivered each change once and in order")
def step_each_once(context):
    world = context.world
    world.run(asyncio.sleep(10))
    first, *others = world.seen
    assert first.is_snapshot and not any(changes.is_snapshot for changes in others)
    delivered = [
        change.mod_revision
        for changes_batch in others
        for change in changes_batch.changes
    ]
    history = [change.revision for change in world.service.store.history]
    assert delivered == [number for number in history if number > first.revision]
    assert delivered


@then('the last result of the watch is a snapshot without "{key}"')
def step_snapshot(context, key):
    context.world.run(asyncio.sleep(10))
    last = context.world.seen[-1]
    assert last.is_snapshot
    assert [change.key for change in last.changes] == ["b", "c", "cell"], last
    assert last.revision == context.world.service.store.revision


@then("the watch has been reopened")
def step_reopened(context):
    assert context.world.counted.count("platform.call.watch") >= 2


WATCH_ACTIONS = strategies.lists(
    strategies.sampled_from(
        ["put a", "put b", "delete a", "cut", "compact", "down", "up", "wait"]
    ),
    max_size=30,
)


@then("no sequence of faults makes a platform watch miss a change or go back")
def step_watch_property(context):
    @settings(max_examples=150, **PROPERTY)
    @drawn(WATCH_ACTIONS)
    def property_holds(actions):
        with contextlib.closing(World(VirtualLoop())) as world:
            world.run(run_watch(world, actions))

    property_holds()


async def run_watch(world, actions):
    current, revisions = {}, []

    async def follow():
        async for changes_batch in world.store.watch("", 0):
            assert not revisions or changes_batch.revision >= revisions[-1], revisions
            revisions.append(changes_batch.revision)
            if changes_batch.is_snapshot:
                current.clear()
            for change in changes_batch.changes:
                current[change.key] = (change.value, change.mod_revision)

    following = asyncio.create_task(follow())
    for action in actions:
        apply_action(world.service, action)
        await asyncio.sleep(3 if action == "wait" else 0.01)
    world.service.set_faults({"down": False})
    await asyncio.sleep(20)
    if following.done():
        following.result()
    alive = {key: value for key, value in current.items() if value[0] is not None}
    entries = world.service.store.entries.values()
    assert alive == {
        entry.key.decode(): (entry.value, entry.mod_revision) for entry in entries
    }


def apply_action(service, action):
    verb, _, key = action.partition(" ")
    if verb == "put":
        service.store.put(key.encode(), b"%d" % service.store.revision)
    elif verb == "delete":
        service.store.delete(key.encode())
    elif verb == "cut":
        service.cut_watches()
    elif verb == "compact":
        service.store.compact()
    elif verb in ("down", "up"):
        service.set_faults({"down": verb == "down"})


@given("a platform lease of {seconds:d} seconds")
def step_lease(context, seconds):
    world = context.world

    async def grant():
        world.tasks.append(asyncio.create_task(world.service.expire_leases()))
        return await world.store.grant(seconds)

    context.lease = world.run(grant())


@when("the service revokes the lease")
def step_revoke(context):
    context.world.service.store.revoke(context.lease.identifier)


@then("renewing the lease says that it has lapsed")
def step_lapsed(context):
    try:
        context.world.run(context.world.store.keep_alive(context.lease))
    except LeaseLapsedError as error:
        assert error.code == "platform_lease_lapsed" and error.remedy
    else:
        raise AssertionError("the lease was renewed")


@when("the lease is renewed")
def step_renew(context):
    context.sent = context.world.loop.time()
    context.lease = context.world.run(context.world.store.keep_alive(context.lease))


@then("the holder counts the lease from before the renewal was sent")
def step_counted_from(context):
    assert context.world.loop.time() > context.sent
    assert context.lease.expires_at == context.sent + 5


@then("the service holds {number:d} lease")
def step_leases(context, number):
    assert len(context.world.service.store.leases) == number


@when("the service repeats its whole history to every watch")
def step_repeats(context):
    connection = context.world.store.connection
    stream = connection.stream

    def repeating(path, body, timeout):
        request = msgspec.json.decode(body)
        request["create_request"]["start_revision"] = "1"
        return stream(path, msgspec.json.encode(request), timeout)

    connection.stream = repeating


@then("repeated changes are counted")
def step_repeated(context):
    assert "platform.watch.repeated" in context.world.counted
