"""Steps for operators' changes through the real key-value client."""

import asyncio
import itertools

from behave import given, then, when

from cactuswalk.errors import CactuswalkError
from cactuswalk.http.operators_changes import ChangeRequest, ChangeWriter
from cactuswalk.http.operators_errors import ConflictError
from cactuswalk.http.operators_store import ConfigurationKeys, follow_configuration
from cactuswalk.model.configuration import WorkerEntry
from cactuswalk.state.configuration import ConfigurationSync, Replica
from features.platform_world import memory_store
from standins.keyvalue import KeyValueService
from standins.keyvalue_virtual import VirtualLoop


class Entry:
    """An entry's replica with its own client and watch."""

    def __init__(self, service, name, seed):
        self.store = memory_store(service, name, seed)
        self.keys = ConfigurationKeys(self.store)
        self.replica = Replica()
        self.sync = ConfigurationSync(self.replica)
        self.changes = ChangeWriter(self.keys, self.replica, self.publish)
        self.published = asyncio.Event()
        self.following = asyncio.create_task(
            follow_configuration(self.keys, self.publish)
        )

    def publish(self, update):
        self.sync.on_update("", update, 0.0)
        if update.objects:
            self.published.set()

    async def change(self, who, number, expected=0):
        """Request a change of w1; return the accepted change or the error."""
        after = WorkerEntry(name="w1", labels={"who": who})
        request = ChangeRequest(
            *("worker/w1", expected, f"write-{who}-{number}", who, 0, "replace"),
            lambda before: after,
        )
        try:
            return await self.changes.apply(request)
        except CactuswalkError as error:
            return error


class Deployment:
    """A key-value service in virtual time and two entries."""

    def __init__(self):
        self.loop = VirtualLoop()
        self.numbers = itertools.count(1)
        self.run(self.start())

    async def start(self):
        self.service = KeyValueService()
        # Other components write to the service too, which increments its revision.
        self.service.store.put(b"cells/north", b"{}")
        self.entries = [
            Entry(self.service, name, seed) for seed, name in enumerate("ab")
        ]
        await asyncio.sleep(1)

    def run(self, work):
        return self.loop.run_until_complete(work)

    def close(self):
        self.run(self.stop())
        self.loop.close()

    async def stop(self):
        await self.service.stop()
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)


@given("two configuration entries on a service in virtual time")
def step_site(context):
    context.deployment = Deployment()
    context.clean_ups = [context.deployment.close]


@when("ana changes worker w1 at the first configuration entry")
def step_change(context):
    async def work():
        context.won = await context.deployment.entries[0].change("ana", 1)
        await asyncio.sleep(1)

    context.deployment.run(work())


@when("the service loses the reply to ana's change and ion changes w1 meanwhile")
def step_lost_then_next(context):
    deployment = context.deployment

    async def work():
        first, second = deployment.entries
        deployment.service.set_faults({"lose_reply": 1})
        ana = asyncio.create_task(first.change("ana", 1))
        await second.published.wait()
        revision = second.replica.revision
        context.won = await second.change("ion", 1, revision)
        context.lost = await ana
        await asyncio.sleep(5)

    deployment.run(work())


@when("ana and ion change w1 at once and the service loses 2 replies")
def step_both_lost(context):
    deployment = context.deployment

    async def work():
        first, second = deployment.entries
        deployment.service.set_faults({"lose_reply": 2})
        context.both = await asyncio.gather(
            first.change("ana", 1), second.change("ion", 1)
        )
        await asyncio.sleep(5)

    deployment.run(work())


@when("ana changes worker w1 while the service is down for a minute")
def step_down(context):
    deployment = context.deployment

    async def work():
        deployment.service.set_faults({"down": True})
        context.lost = await deployment.entries[0].change("ana", 1)
        await asyncio.sleep(60)
        deployment.service.set_faults({"down": False})
        await asyncio.sleep(60)

    deployment.run(work())


@when("the service is down for a minute and ana changes w1 just after")
def step_after(context):
    deployment = context.deployment

    async def work():
        deployment.service.set_faults({"down": True})
        await asyncio.sleep(60)
        deployment.service.set_faults({"down": False})
        context.won = await deployment.entries[0].change("ana", 1)
        await asyncio.sleep(60)

    deployment.run(work())


@then("both configuration entries hold ana's change at its revision")
@then("both configuration entries hold ion's change at its revision")
@then("both configuration entries hold the winner's change at its revision")
def step_hold(context):
    won = context.won
    assert getattr(won, "written", False), won
    for entry in context.deployment.entries:
        stored = entry.replica.objects["worker/w1"]
        assert stored.revision == won.revision, (stored, won)
        assert entry.replica.get("worker", "w1") == won.object
        assert entry.replica.revision == won.revision
        assert not entry.replica.ahead


@then("ana's change is accepted at a lower revision than ion's")
def step_lower(context):
    lost = context.lost
    assert getattr(lost, "written", False), lost
    assert lost.revision < context.won.revision, (lost, context.won)


@then("one change was accepted and the other operator told of the conflict")
def step_one_won(context):
    won = [result for result in context.both if getattr(result, "written", False)]
    lost = [result for result in context.both if isinstance(result, ConflictError)]
    assert (len(won), len(lost)) == (1, 1), context.both
    context.won = won[0]
    assert lost[0].who == won[0].object.labels["who"]
    assert lost[0].revision == won[0].revision


@then('ana is told "{code}" and the change never appears')
def step_told(context, code):
    assert context.lost.code == code, context.lost
    for entry in context.deployment.entries:
        assert entry.replica.objects == {}
