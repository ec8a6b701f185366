"""Steps on what the store holds that can't be read."""

import asyncio
import base64
import time
import types

import msgspec
from aiohttp import web
from aiohttp.test_utils import RawTestServer
from behave import given, then, when

from cactuswalk.dispatch import messages
from cactuswalk.dispatch.entryevents import EntriesListed, EvacuationsRead
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.messages import ConfigurationRequest
from cactuswalk.platform.metadata import ItemChange, MetadataStore
from cactuswalk.platform.names import CONFIGURATION_KEY, EVACUATIONS_PREFIX
from cactuswalk.runtime.dispatchentry import DispatchEntryProcess
from cactuswalk.runtime.storewatch import ENTRIES_PREFIX, PrefixUpdate
from cactuswalk.runtime.transport import Transport
from features.steps.transport_steps import free_address

# The machine that runs the tests may be busy.
TIMEOUT_SECONDS = 10.0
# More than Python's limit of recursion.
DEPTH = 100_000

GOOD = Member("tcp://127.0.0.1:5", "d0")
MALFORMED_MEMBERS = [
    b"",
    b"garbage",
    b"\xff\xfe",
    b"[" * DEPTH,
    b'["tcp://127.0.0.1:5", "d0", ' + b"[" * DEPTH,
    b"{}",
    b"[]",
    b"[5, 6]",
    b'["tcp://127.0.0.1:5"]',
    b"null",
]


def text_of(value):
    return base64.b64encode(value).decode()


@given("a store with keys of entries that can't be read, and one that can")
def step_store(context):
    values = [text_of(value) for value in MALFORMED_MEMBERS]
    # Not base64.
    values += ["A", "=", "\u00e9"]
    values.insert(4, text_of(msgspec.json.encode(GOOD)))
    context.items = [
        (f"{ENTRIES_PREFIX}e{number}", value) for number, value in enumerate(values)
    ]
    context.prefix, context.apply = ENTRIES_PREFIX, DispatchEntryProcess._apply_entries


@given("a store with a configuration that can't be read, and an evacuation")
def step_store_configuration(context):
    context.items = [
        (CONFIGURATION_KEY, text_of(b'{"version": 1, "x": ' + b"[" * DEPTH)),
        (f"{EVACUATIONS_PREFIX}d1", "A"),
    ]
    context.prefix = "op/"
    context.apply = DispatchEntryProcess._apply_operators_update


@when("an entry lists its keys")
def step_list(context):
    rows = [{"key": key, "revision": 3, "value": value} for key, value in context.items]

    async def answer(_):
        return web.json_response({"as_of": 9, "items": rows})

    async def main():
        async with RawTestServer(answer) as server:
            store = MetadataStore(f"{server.host}:{server.port}")
            try:
                return await store.list(context.prefix)
            finally:
                await store.close()

    revision, items = asyncio.run(main())
    changes = [ItemChange(item.key, item.value, item.revision) for item in items]
    context.said, context.events = [], []
    entry = types.SimpleNamespace(
        members={},
        evacuated=set(),
        runtime=types.SimpleNamespace(
            say=lambda sentence, **fields: context.said.append((sentence, fields))
        ),
        registration=types.SimpleNamespace(rewrite_if_missing=lambda keys: None),
        application=types.SimpleNamespace(feed=context.events.append),
        _apply_configuration=lambda value: DispatchEntryProcess._apply_configuration(
            entry, value
        ),
        _apply_evacuations=lambda update: DispatchEntryProcess._apply_evacuations(
            entry, update
        ),
    )
    context.apply(entry, PrefixUpdate(revision, changes, True))


@then("it knows the one entry alone, and has logged each of the others")
def step_one_entry(context):
    assert context.events == [EntriesListed([GOOD])], context.events
    assert len(context.said) == len(context.items) - 1, context.said


@then("it has logged the configuration, and applied the evacuation")
def step_configuration(context):
    assert len(context.said) == 1 and "configuration" in context.said[0][0]
    (event,) = context.events
    assert isinstance(event, EvacuationsRead)
    assert event.evacuations.data_centres == ("d1",), event


@when("messages are sent to addresses that are none, and to one that is")
def step_send(context):
    context.received, context.counts = [], []

    async def main():
        arrived = asyncio.Event()

        def receive(_, message):
            context.received.append(message)
            arrived.set()

        sender = Transport(
            free_address(),
            print,
            lambda *count: context.counts.append(count),
            codec=messages,
        )
        receiver = Transport(
            free_address(),
            receive,
            lambda *_: None,
            codec=messages,
        )
        sender.open()
        receiver.open()
        try:
            for address in ("garbage", "", "tcp://", "tcp://x", receiver.address):
                sender.send(address, ConfigurationRequest(1), time.monotonic())
            sender.flush()
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await arrived.wait()
        finally:
            sender.close()
            receiver.close()

    asyncio.run(main())


@then("the last one has arrived")
def step_arrived(context):
    assert len(context.received) == 1
    assert context.counts.count(("transport.unusable_address", 1)) == 4
