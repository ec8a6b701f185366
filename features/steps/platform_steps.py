"""Steps for the key-value service: its faults, and the client over HTTP."""

import asyncio
import contextlib
import socket

import msgspec
from behave import given, then, when

from cactuswalk.platform.keyvalue import (
    CallFailedError,
    CallRefusedError,
    HttpConnection,
    ValueTooLargeError,
    open_store,
)
from cactuswalk.platform.protocol import MAX_VALUE_BYTES
from cactuswalk.state.events import SwapOutcome
from features.platform_world import World
from standins.keyvalue_virtual import VirtualLoop


@given("a platform service in virtual time")
def step_virtual(context):
    context.world = World(VirtualLoop())
    context.clean_ups = [context.world.close]


@given("the service is down")
@when("the service is down for a while")
def step_down(context):
    context.world.service.set_faults({"down": True})
    context.world.run(asyncio.sleep(1))


@when("the service freezes")
def step_freezes(context):
    context.world.service.set_faults({"frozen": True})


@given("the service takes {milliseconds:d} ms for each call")
def step_slow(context, milliseconds):
    context.world.service.set_faults({"slow_ms": milliseconds})


@when("the service is back")
def step_back(context):
    context.world.service.set_faults({"down": False, "frozen": False})


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.world.run(asyncio.sleep(seconds))


@given("a platform service over HTTP")
def step_http(context):
    context.world = world = World(asyncio.new_event_loop())
    context.clean_ups = [world.close]
    world.service.token = "secret"
    world.run(world.service.start())
    world.store = open_store(
        [world.service.url], "web", 1000, 1000, token="secret", count=world.count
    )


@when("the reply of a swap over HTTP is lost")
def step_http_swap(context):
    world = context.world
    world.service.set_faults({"lose_reply": 1})
    context.write_id, context.value = "http-1", msgspec.json.encode(["http-1"])
    context.swapped = world.run(
        world.store.swap("cell", 2, context.value, context.write_id)
    )
    context.journal = world.service.store.history


@when("a watch over HTTP is cut between two changes")
def step_http_watch(context):
    world = context.world

    async def follow():
        world.service.store.put(b"x", b"1")
        async for changes in world.store.watch("x", 3):
            world.seen += [change.value for change in changes.changes]
            if len(world.seen) == 2:
                return
            world.service.cut_watches()
            world.service.store.put(b"x", b"2")

    world.run(asyncio.wait_for(follow(), 30))


@then("both changes have been received")
def step_both(context):
    assert context.world.seen == [b"1", b"2"]


def http_failure(world, url, token="secret", timeout=5.0):
    async def call():
        connection = HttpConnection([url], "web", token)
        try:
            await connection.call("/v3/kv/range", b'{"key":"eA=="}', timeout)
        finally:
            await connection.close()

    try:
        world.run(call())
    except (CallFailedError, CallRefusedError) as error:
        return error
    raise AssertionError("the call was answered")


@contextlib.contextmanager
def url_without_listener():
    """Yield an address that is bound, so that it stays free, but has no listener."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{taken.getsockname()[1]}"


@then("a call to a port without a listener is known not to be sent")
def step_http_refused(context):
    with url_without_listener() as url:
        error = http_failure(context.world, url)
    assert not error.sent


@then("with two endpoints the second is used while the first has no listener")
def step_http_endpoints(context):
    world = context.world

    async def read(first):
        urls = [first, world.service.url]
        store = open_store(urls, "two", 1000, 1000, token="secret")
        try:
            return await store.read("cell")
        finally:
            await store.close()

    with url_without_listener() as url:
        assert world.run(read(url)).known


@then("a value of a megabyte is read back and watched, and no larger one is sent")
def step_http_megabyte(context):
    world = context.world
    value = b'"large-1"'.ljust(MAX_VALUE_BYTES)

    async def follow():
        reported = await world.store.swap("large", 0, value, "large-1")
        assert reported.outcome is SwapOutcome.APPLIED
        assert (await world.store.read("large")).value == value
        return (await anext(world.store.watch("large", reported.revision - 1))).changes

    changes = world.run(asyncio.wait_for(follow(), 30))
    assert [change.value for change in changes] == [value]
    try:
        world.run(world.store.swap("large", 0, value + b" ", "large-1"))
    except ValueTooLargeError as error:
        assert error.remedy
    else:
        raise AssertionError("the value was sent")


@then("a call to a frozen service is not known not to be sent")
def step_http_frozen(context):
    context.world.service.set_faults({"frozen": True})
    error = http_failure(context.world, context.world.service.url, timeout=0.2)
    assert error.sent and error.timed_out
    context.world.service.set_faults({"frozen": False})


@then("a call with a wrong token is refused with a remedy")
def step_http_token(context):
    error = http_failure(context.world, context.world.service.url, token="wrong")
    assert error.code == "platform_call_refused" and error.remedy


@then("the calls by the client are counted exactly")
def step_http_counts(context):
    # Two copies of the swap, two watches, and the read of the frozen service. Calls
    # that were refused are not counted.
    report = context.world.service.calls.report()
    assert report["by_client"] == {"web": {"txn": 2, "watch": 2, "range": 1}}, report
