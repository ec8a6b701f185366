"""Steps on workers that leave, refuse connections or have another incarnation."""

import asyncio
import time

import msgspec
from aiohttp import web
from behave import then, when

from cactuswalk.dispatch.agentevents import Announced, PollAnswered, StartVerdict
from cactuswalk.dispatch.effects import PollWorker, StartTask
from cactuswalk.dispatch.job import TaskKey
from cactuswalk.platform.worker import WorkerClient
from features.steps.dispatch_twice_steps import find_busy_worker
from features.support.fleet import JOB
from features.support.fleetsearch import play_days
from features.support.fleetworker import CallFaults

DAY_SECONDS = 12


@then('days {first:d} to {last:d} of the mix "{mix}" keep every guarantee')
def step_days_of_mix(context, first, last, mix):
    play_days(first, last, mix, DAY_SECONDS)


@then("no task has run twice")
def step_once(context):
    tasks = [key for _, key, _, _ in context.fleet.starts]
    assert len(tasks) == len(set(tasks)), context.fleet.starts


@when(
    "after {after:g} seconds a worker that runs a task crashes for {seconds:g} seconds"
)
def step_crash(context, after, seconds):
    context.fleet.run(after)
    worker = find_busy_worker(context)
    context.crashed_at, context.crashed = context.fleet.now, worker.name
    worker.crash_for(seconds, True)


@then("its tasks have run again within {seconds:g} seconds")
def step_again_soon(context, seconds):
    starts = context.fleet.starts
    lost = {key for at, key, _, name in starts if name == context.crashed}
    again = [at for at, key, _, _ in starts if key in lost and at > context.crashed_at]
    assert again, "no task ran again"
    assert max(again) <= context.crashed_at + seconds, (context.crashed_at, again)
    assert not context.fleet.overlaps


@when(
    "after {after:g} seconds a heartbeat of a dead incarnation of a worker that runs a"
    " task comes, and {later:g} seconds later its answer to a poll of {before:g}"
    " seconds before"
)
def step_late_answer(context, after, later, before):
    fleet = context.fleet
    fleet.run(after)
    worker = find_busy_worker(context)
    dead = f"{worker.name}-dead"
    heartbeat = msgspec.structs.replace(worker.announcement(), identifier=dead)
    fleet.deliver(worker.name, Announced(heartbeat))
    answer = PollAnswered(dead, fleet.now - before, [], [])
    fleet.at(later, lambda: fleet.deliver(worker.name, answer))


@when(
    "after {after:g} seconds the agent that runs a task restarts, and takes a dead"
    " incarnation for its worker"
)
def step_restart_with_dead(context, after):
    fleet = context.fleet
    fleet.run(after)
    worker = context.worker = find_busy_worker(context)
    fleet.kill(worker.name)
    fleet.start_agent(worker.name)
    worker.call_faults[PollWorker] = CallFaults(lost_share=1.0)
    dead = f"{worker.name}-dead"
    heartbeat = msgspec.structs.replace(worker.announcement(), identifier=dead)
    fleet.deliver(worker.name, Announced(heartbeat))


@when(
    "the worker announces itself {after:g} seconds later, and its answers to polls are"
    " lost"
)
def step_announce(context, after):
    context.fleet.run(after)
    worker = context.worker
    worker.call_faults[PollWorker] = CallFaults(unconfirmed_share=1.0)
    context.fleet.announce(worker.name)


@when("connections to all workers but one are refused")
def step_refuse_all_but_one(context):
    for worker in list(context.fleet.workers.values())[1:]:
        worker.refuses = True


@then("the job is completed at {entry:w} within {seconds:g} seconds")
def step_completed_within(context, entry, seconds):
    waiter = context.waiters[entry]
    assert context.fleet.verdict(waiter) == "completed"
    took = context.fleet.took(waiter)
    assert took <= seconds, took


async def call_worker(address):
    client = WorkerClient(address, time.monotonic)
    start = StartTask("expected", 1, TaskKey(JOB, 0, 0), 1, "spec", 1, 0.5)
    try:
        return await client.start(start), await client.poll(
            PollWorker("expected", 1, 0, 0, 0.5)
        )
    finally:
        await client.close()


async def call_closed_port():
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return await call_worker(f"127.0.0.1:{port}")


async def call_other_incarnation():
    async def answer(_):
        return web.json_response({}, status=421)

    app = web.Application()
    app.router.add_post("/{path:.*}", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    try:
        return await call_worker(f"127.0.0.1:{port}")
    finally:
        await runner.cleanup()


@when("a worker's client calls an address where nobody listens")
def step_call_nobody(context):
    context.start, context.poll = asyncio.run(call_closed_port())


@when("a worker's client calls an address where another incarnation answers")
def step_call_other(context):
    context.start, context.poll = asyncio.run(call_other_incarnation())


@then("the start is unreached, and the poll is refused and doesn't say gone")
def step_refused(context):
    assert context.start.verdict is StartVerdict.UNREACHED
    assert context.poll.refused
    assert not context.poll.gone


@then("the start and the poll both say gone")
def step_gone(context):
    assert context.start.verdict is StartVerdict.GONE
    assert context.poll.gone
    assert not context.poll.refused
