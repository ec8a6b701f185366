"""Shared helpers of the HTTP features: an event loop, servers and a client."""

import asyncio
import time
from pathlib import Path

import aiohttp
from aiohttp import web

from standins.upstream import Options, StandInUpstream, make_application

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
TIMEOUT_SECONDS = 10


def add_clean_up(context, clean_up):
    if not hasattr(context, "clean_ups"):
        context.clean_ups = []
    context.clean_ups.append(clean_up)


def run(context, coroutine):
    """Run a coroutine in the event loop of the scenario."""
    if not hasattr(context, "edge_loop"):
        context.edge_loop = asyncio.new_event_loop()
        add_clean_up(context, lambda: close_loop(context.edge_loop))
    return context.edge_loop.run_until_complete(
        asyncio.wait_for(coroutine, TIMEOUT_SECONDS)
    )


def close_loop(loop):
    """Cancel the tasks that a failed scenario left pending, and close the loop."""

    async def end_all():
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    loop.run_until_complete(end_all())
    loop.close()


def serve(context, application, **options):
    """Serve an application on a free loopback port; return the port."""

    async def start():
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1, **options
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return runner

    runner = run(context, start())
    add_clean_up(context, lambda: run(context, runner.cleanup()))
    return runner.addresses[0][1]


def serve_stand_in(context, **options):
    """Serve a stand-in upstream in the scenario's loop; return it and its port."""
    upstream = StandInUpstream(Options(name="w1", service="booking", **options))
    return upstream, serve(context, make_application(upstream))


def request(context, method, url, **arguments):
    """Send one request; return status, headers and body."""

    async def send():
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            async with session.request(method, url, **arguments) as response:
                return response.status, response.headers, await response.read()

    return run(context, send())


async def until(condition):
    """Wait until the condition holds, with a timeout."""
    end = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < end, "timed out waiting for a condition"
        await asyncio.sleep(0.005)


def wait_until(context, condition):
    """Run the loop until the condition holds."""
    run(context, until(condition))
