"""Steps for swaps whose replies are lost, and for races of them."""

import asyncio
import contextlib

import msgspec
from behave import given, then, when
from hypothesis import Phase, given as drawn, settings, strategies

from cactuswalk.platform import KeyValueStore, WriteIdMissingError, settling
from cactuswalk.platform.settling import Verdict, contains
from cactuswalk.state.events import KeySwapped, SwapOutcome
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
    context.world.hooks.append(lambda: store.put(b"cell", b"other"))


@given("the service goes down as soon as a call fails")
def step_goes_down(context):
    service = context.world.service
    context.world.hooks.append(lambda: service.set_faults({"down": True}))


@given("the service compacts its history as soon as a call fails")
def step_compacts(context):
    context.world.hooks.append(context.world.service.store.compact)


@when("a platform client swaps the key")
@when("the client asks again for the same swap")
def step_swap(context):
    world = context.world
    context.write_id, context.value = "node-1", msgspec.json.encode(["node-1"])
    context.swapped = world.run(
        world.store.swap("cell", 2, context.value, context.write_id)
    )


@when("the writes held back arrive")
def step_release(context):
    assert context.world.service.release() > 0


@then("the swap is told as {outcome}")
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


@then('a value of write "{other}" does not name write "{write_id}"')
def step_names(context, other, write_id):
    for encode in (msgspec.json.encode, msgspec.msgpack.encode):
        assert contains(encode({"write_id": other}), other)
        assert not contains(encode({"write_id": other}), write_id)


@then("a value without its write id is refused before it is sent")
def step_missing(context):
    with contextlib.closing(World(VirtualLoop())) as world:
        try:
            world.run(world.store.swap("cell", 2, b"value", "node-1"))
        except WriteIdMissingError as error:
            assert error.remedy
        else:
            raise AssertionError("it was sent")
        assert world.service.calls.report()["total"] == 0


@when("the service is restored from an earlier state")
def step_restored(context):
    context.world.service.store.revision = 1


@then("a read by the same client is not known")
def step_not_known(context):
    assert not context.world.run(context.world.store.read("cell")).known


@then('the client\'s problem has the code "{code}"')
def step_problem(context, code):
    assert context.world.store.problem.code == code
    assert context.world.store.problem.remedy


# One act of a race: who, what, on which of two keys.
ACTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                *("swap", "swap", "swap", "create", "wait", "long wait"),
                *("lose_reply", "lose_request", "hold", "hold"),
                *("slow", "quick", "down", "up", "frozen", "release", "compact"),
            ]
        ),
        strategies.integers(0, 2),
    ),
    max_size=25,
)


class Race:
    """Three clients that swap one key, and the record of what they were told."""

    def __init__(self, world, kind):
        self.world = world
        self.clients = [
            memory_store(world.service, f"client-{number}", number, kind)
            for number in range(3)
        ]
        self.swaps = {}
        self.told = {}
        self.written = []
        self.seen = world.service.store.revision
        self.tasks = []
        world.service.store.listeners.add(self.note)

    def note(self):
        store = self.world.service.store
        for change in store.history:
            if change.revision > self.seen:
                self.written.append((change.revision, change.entry.value))
        self.seen = store.revision

    async def play(self, acts):
        for act, number in acts:
            self.act(act, number)
            await asyncio.sleep({"wait": 0.3, "long wait": 25}.get(act, 0.001))
        compacted = any(act == "compact" for act, _ in acts)
        self.world.service.set_faults(
            {"down": False, "frozen": False, "slow_ms": 0}
            | {"lose_reply": 0, "lose_request": 0, "hold": 0}
        )
        await asyncio.gather(*self.tasks)
        self.check()
        self.world.service.release()
        self.check()
        for write_id, (client, arguments) in self.swaps.items():
            if self.told[write_id].outcome is SwapOutcome.UNKNOWN:
                self.told[write_id] = await client.swap(*arguments)
                known = self.told[write_id].outcome is not SwapOutcome.UNKNOWN
                assert known or compacted, write_id
        await asyncio.sleep(60)
        self.check()

    def act(self, act, number):
        service = self.world.service
        if act in ("swap", "create"):
            task = self.swap(number, "new" if act == "create" else "cell")
            self.tasks.append(asyncio.create_task(task))
        elif act in ("lose_reply", "lose_request", "hold"):
            service.set_faults({act: number})
        elif act in ("slow", "quick"):
            service.set_faults({"slow_ms": 2500 if act == "slow" else 0})
        elif act in ("down", "up"):
            service.set_faults({"down": act == "down"})
        elif act == "frozen":
            service.set_faults({"frozen": number > 0})
        elif act == "release":
            service.release()
        elif act == "compact":
            service.store.compact()

    async def swap(self, number, key):
        client = self.clients[number]
        held = await client.read(key)
        if not held.known:
            return
        write_id = f"write-{len(self.swaps)}"
        value = msgspec.json.encode({"write_id": write_id})
        arguments = (key, held.revision, value, write_id)
        self.swaps[write_id] = (client, arguments)
        self.told[write_id] = await client.swap(*arguments)

    def check(self):
        for write_id, told in self.told.items():
            value = self.swaps[write_id][1][2]
            revisions = [number for number, wrote in self.written if wrote == value]
            if told.outcome is SwapOutcome.APPLIED:
                assert revisions == [told.revision], (told, revisions)
            elif told.outcome is SwapOutcome.LOST:
                assert revisions == [], (told, revisions)
            else:
                assert len(revisions) <= 1, (told, revisions)


def run_races(kind, examples, **more):
    @settings(max_examples=examples, **PROPERTY, **more)
    @drawn(ACTS)
    def property_holds(acts):
        with contextlib.closing(World(VirtualLoop())) as world:

            async def race():
                await Race(world, kind).play(acts)

            world.run(race())

    property_holds()


@then("no race of swaps contradicts what its clients were told")
def step_races(context):
    run_races(KeyValueStore, 300)


class TimeoutIsRefusal(KeyValueStore):
    """Says "lost" where it knows nothing."""

    async def swap(self, key, expected, value, write_id):
        told = await super().swap(key, expected, value, write_id)
        if told.outcome is SwapOutcome.UNKNOWN:
            return KeySwapped(key, write_id, SwapOutcome.LOST, 0)
        return told


class ReadsBackOnce(KeyValueStore):
    """Sends once, and after a failure believes what it reads."""

    async def _settle(self, key, expected, value, write_id):
        self.patience, patience = 0.001, self.patience
        try:
            verdict = await super()._settle(key, expected, value, write_id)
        finally:
            self.patience = patience
        if verdict is not None:
            return verdict
        held = await self.read(key)
        if not held.known:
            return None
        if contains(held.value or b"", write_id):
            return Verdict(SwapOutcome.APPLIED, held.revision)
        return Verdict(SwapOutcome.LOST, held.revision)


class NoHistory(KeyValueStore):
    """Takes another's value for the proof that its own was never there."""

    async def _search(self, reply, write_id, start, deadline):
        return settling.judge(reply, write_id, False)


class Forgetful(KeyValueStore):
    """Takes a swap that is asked again for a new one."""

    def _remember(self, write_id):
        self.unsettled.clear()
        return super()._remember(write_id)

    async def _settle(self, key, expected, value, write_id):
        self.unsettled.clear()
        return await super()._settle(key, expected, value, write_id)


GUESSES = {
    "takes a time-out for a refusal": TimeoutIsRefusal,
    "reads back once and believes it": ReadsBackOnce,
    "doesn't look at the history": NoHistory,
    "forgets what it left unsettled": Forgetful,
}


@then("the race finds a client that {guess}")
def step_mutant(context, guess):
    try:
        # The first contradiction is enough: it need not be made shorter.
        run_races(GUESSES[guess], 2000, phases=[Phase.generate])
    except AssertionError:
        return
    raise RuntimeError("no race told this client from an honest one")
