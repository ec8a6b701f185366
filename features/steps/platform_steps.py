"""Steps for the platform's service: outages, budget, watches and HTTP."""

import asyncio
import contextlib
import random

import msgspec
from behave import given, then, when
from hypothesis import given as drawn, settings, strategies

from cactuswalk.decisions import backoff as backoff_module
from cactuswalk.decisions.backoff import Backoff
from cactuswalk.decisions.callbudget import AGENT_BURST, AGENT_RATE, CallBudget
from cactuswalk.platform import (
    CallFailedError,
    CallRefusedError,
    HttpConnection,
    KeyValueStore,
    LeaseLapsedError,
    open_store,
)
from cactuswalk.state.events import SwapOutcome
from standins.keyvalue import KeyValueService
from standins.keyvalue_virtual import MemoryConnection, VirtualLoop

PROPERTY = {"derandomize": True, "database": None, "deadline": None}


def memory_store(service, name, seed=0, kind=KeyValueStore, count=lambda name: None):
    """A client with an agent's budget and a fixed seed."""
    return kind(
        MemoryConnection(service, name),
        CallBudget(AGENT_RATE, AGENT_BURST),
        asyncio.get_running_loop().time,
        random.Random(seed),
        count,
    )


class World:
    """A loop with one service, a client, and what a scenario has seen."""

    def __init__(self, loop):
        self.loop = loop
        self.tasks = []
        self.hooks = []
        self.counted = []
        self.seen = []
        self.run(self.start())

    async def start(self):
        self.service = KeyValueService()
        self.store = memory_store(self.service, "client", count=self.count)
        self.service.store.put(b"cell", b"first")

    def count(self, name):
        self.counted.append(name)
        if name.startswith("platform.failure."):
            for hook in self.hooks:
                hook()
            self.hooks.clear()

    def run(self, work):
        return self.loop.run_until_complete(work)

    def close(self):
        self.run(self.stop())
        self.loop.close()

    async def stop(self):
        await self.service.stop()
        await self.store.close()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


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


@then("the watch has brought each change once and in order")
def step_each_once(context):
    world = context.world
    world.run(asyncio.sleep(10))
    first, *others = world.seen
    assert first.whole and not any(changes.whole for changes in others)
    brought = [change.mod_revision for news in others for change in news.changes]
    history = [change.revision for change in world.service.store.history]
    assert brought == [number for number in history if number > first.revision]
    assert brought


@then('the watch has brought a whole list without "{key}" last')
def step_whole(context, key):
    context.world.run(asyncio.sleep(10))
    last = context.world.seen[-1]
    assert last.whole
    assert [change.key for change in last.changes] == ["b", "c", "cell"], last
    assert last.revision == context.world.service.store.revision


@then("the watch has been opened again")
def step_reopened(context):
    assert context.world.counted.count("platform.call.watch") >= 2


WATCH_ACTS = strategies.lists(
    strategies.sampled_from(
        ["put a", "put b", "delete a", "cut", "compact", "down", "up", "wait"]
    ),
    max_size=30,
)


@then("no order of faults makes a platform watch miss a change or go back")
def step_watch_property(context):
    @settings(max_examples=150, **PROPERTY)
    @drawn(WATCH_ACTS)
    def property_holds(acts):
        with contextlib.closing(World(VirtualLoop())) as world:
            world.run(play_watch(world, acts))

    property_holds()


async def play_watch(world, acts):
    held, revisions = {}, []

    async def follow():
        async for news in world.store.watch("", 0):
            assert not revisions or news.revision >= revisions[-1], revisions
            revisions.append(news.revision)
            if news.whole:
                held.clear()
            for change in news.changes:
                held[change.key] = (change.value, change.mod_revision)

    following = asyncio.create_task(follow())
    for act in acts:
        act_on(world.service, act)
        await asyncio.sleep(3 if act == "wait" else 0.01)
    world.service.set_faults({"down": False})
    await asyncio.sleep(20)
    if following.done():
        following.result()
    alive = {key: value for key, value in held.items() if value[0] is not None}
    entries = world.service.store.entries.values()
    assert alive == {
        entry.key.decode(): (entry.value, entry.mod_revision) for entry in entries
    }


def act_on(service, act):
    verb, _, key = act.partition(" ")
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


@when("the service lapses the lease")
def step_lapse(context):
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
    assert context.lease.expires == context.sent + 5


@then("the service holds {number:d} lease")
def step_leases(context, number):
    assert len(context.world.service.store.leases) == number


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


@given("the clients don't back off")
def step_no_backoff(context):
    longest = backoff_module.LONGEST_WAIT_SECONDS
    backoff_module.LONGEST_WAIT_SECONDS = backoff_module.FIRST_WAIT_SECONDS

    def restore():
        backoff_module.LONGEST_WAIT_SECONDS = longest

    context.clean_ups.append(restore)


@when("the service is down for {seconds:d} seconds")
def step_outage(context, seconds):
    world = context.world
    world.service.set_faults({"down": True})

    async def outage():
        for index in range(context.number):
            world.tasks.append(asyncio.create_task(context.use(index)))
        # All begin in the same moment, which no back-off can help; the bound is
        # for what they do afterwards.
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


@then("no use of the call budget spends more than it gained")
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
                budget.empty(now)
            assert spent <= 15 + 5 * now + 1e-6

    property_holds()


@then("no run of failures waits longer or shorter than its bounds")
def step_backoff_property(context):
    @settings(max_examples=100, **PROPERTY)
    @drawn(strategies.integers(1, 2000), strategies.integers())
    def property_holds(failures, seed):
        backoff, now, generator = Backoff(), 0.0, random.Random(seed)
        for number in range(1, failures + 1):
            backoff.failed(now, now, generator)
            # One that was under way at the same time is not a second failure.
            backoff.failed(now - 1, now, generator)
            bound = min(
                0.05 * 2 ** min(number, 20), backoff_module.LONGEST_WAIT_SECONDS
            )
            assert bound / 2 - 1e-6 <= backoff.remaining(now) <= bound + 1e-6
            now = backoff.retry_at
        backoff.succeeded()
        assert backoff.remaining(now) == 0

    property_holds()


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


@then("both changes have come")
def step_both(context):
    assert context.world.seen == [b"1", b"2"]


def http_failure(world, url, token="secret", within=5.0):
    async def call():
        connection = HttpConnection([url], "web", token)
        try:
            await connection.call("/v3/kv/range", b'{"key":"eA=="}', within)
        finally:
            await connection.close()

    try:
        world.run(call())
    except (CallFailedError, CallRefusedError) as error:
        return error
    raise AssertionError("the call was answered")


@then("a call to a port where nobody listens is known not to be sent")
def step_http_refused(context):
    async def free_port():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return port

    port = context.world.run(free_port())
    error = http_failure(context.world, f"http://127.0.0.1:{port}")
    assert not error.sent


@then("a call to a frozen service is not known not to be sent")
def step_http_frozen(context):
    context.world.service.set_faults({"frozen": True})
    error = http_failure(context.world, context.world.service.url, within=0.2)
    assert error.sent and error.timed_out
    context.world.service.set_faults({"frozen": False})


@then("a call with a wrong token is refused with a remedy")
def step_http_token(context):
    error = http_failure(context.world, context.world.service.url, token="wrong")
    assert error.code == "platform_call_refused" and error.remedy


@then("the calls by the client are counted exactly")
def step_http_counts(context):
    # Two copies of the swap, two watches, one read by the frozen call; the
    # refused ones never came to be counted.
    report = context.world.service.calls.report()
    assert report["by_client"] == {"web": {"txn": 2, "watch": 2, "range": 1}}, report
