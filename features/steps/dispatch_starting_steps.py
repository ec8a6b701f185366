"""Steps on the startup of a process."""

import asyncio
import subprocess
import sys
import time
from unittest import mock

from behave import given, then, when

from cactuswalk.dispatch.effects import Observe, Say
from cactuswalk.dispatch.job import JobVerdict
from cactuswalk.dispatch.reducerstate import ReducerState
from cactuswalk.platform.callers import CallerHandler, JobResult
from cactuswalk.runtime.dispatchentry import DispatchEntryProcess
from cactuswalk.runtime.listening import ListenError, listen
from cactuswalk.runtime.startclock import (
    choose_start,
    read_boottime,
    read_process_start,
)
from cactuswalk.settings.dispatch import Endpoint, load_dispatch_entry

IMPORT_SCRIPT = "import sys, {module}; print('{unneeded}' in sys.modules)"

LISTEN_SCRIPT = """
import sys
from cactuswalk.commands import {command}
seen = []
{command}.listen = lambda address: seen.append("aiohttp" in sys.modules)
{command}._make("{settings}")
print(seen, "aiohttp" in sys.modules)
"""


def run(code):
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.strip()


@then('the process of "{module}" loads without "{unneeded}"')
def step_loads(context, module, unneeded):
    assert run(IMPORT_SCRIPT.format(module=module, unneeded=unneeded)) == "False"


@then('"{command}" with "{settings}" listens before aiohttp is loaded')
def step_listens(context, command, settings):
    output = run(LISTEN_SCRIPT.format(command=command, settings=settings))
    assert output.splitlines()[-1] == "[False] True", output


@given("a socket that listens")
def step_listener(context):
    context.listener = listen(Endpoint("127.0.0.1", 0))


@then("another one can't listen there, and the error names the remedy")
def step_taken(context):
    port = context.listener.getsockname()[1]
    try:
        listen(Endpoint("127.0.0.1", port)).close()
    except ListenError as error:
        assert error.remedy and str(port) in error.message
    else:
        raise AssertionError("both listen at one address")
    finally:
        context.listener.close()


JOB_BODY = b'{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":9,"mem_mb":1}]}'
ROUTE = b'{"name":"q","host":"h","path_prefix":"/q/","service":"s"}'
CONFIGURATION = b'{"version":1,"routes":[' + ROUTE + b"]}"


class WaitingRequest:
    """A caller's request for a job, with the attributes that the handler reads."""

    method = "POST"
    path = "/q/00000000000000aa"
    content_length = None

    def __init__(self):
        self.headers = {"Host": "h"}
        self.transport = mock.Mock()
        self.transport.is_closing.return_value = False

    async def read(self):
        return JOB_BODY


@given("an entry without a configuration")
def step_unconfigured(context):
    context.submitted = []

    async def submit(queue, request, wait_seconds):
        context.submitted.append((queue.name, request.identifier))
        return JobResult(JobVerdict.COMPLETED, "", 0.0)

    context.submit = submit


async def answer(context, configured_after):
    settings = load_dispatch_entry("examples/dispatch-entry.ini")
    process = DispatchEntryProcess(settings)
    process.submit = context.submit
    # Its messages have no open sockets to go to.
    process.state.entries.clear()
    if configured_after is not None:
        asyncio.get_running_loop().call_later(
            configured_after, process._apply_configuration, CONFIGURATION
        )
    asked_at = time.monotonic()
    with mock.patch("cactuswalk.platform.callers._has_gone", return_value=False):
        context.response = await CallerHandler(process).handle(WaitingRequest())
    context.took = time.monotonic() - asked_at


@when("a job comes, and the configuration {seconds:g} seconds later")
def step_configured_later(context, seconds):
    asyncio.run(answer(context, seconds))


@when("a job comes, and no configuration")
def step_never_configured(context):
    asyncio.run(answer(context, None))


@then("the job is submitted")
def step_submitted(context):
    assert context.submitted == [("q", "00000000000000aa")], context.response.body
    assert context.response.status == 200


@then("the job is refused with status {status:d} within {seconds:g} seconds")
def step_refused_in_time(context, status, seconds):
    assert not context.submitted
    assert context.response.status == status, context.response.status
    assert context.took < seconds, context.took


@given("an entry whose process started {seconds:g} seconds before its reducer")
def step_started(context, seconds):
    context.state = ReducerState()
    context.state.started_at = 100.0 - seconds


@when("it hears of its first agent after {seconds:g} seconds, and of another one")
def step_first_agent(context, seconds):
    context.state.reach_phase("first agent", 100.0 + seconds)
    context.state.reach_phase("first agent", 101.0)


@then('the phase "{phase}" is logged and measured once, at {seconds:g} seconds')
def step_phase(context, phase, seconds):
    line, measured = context.state.take_effects()
    assert isinstance(line, Say) and line.fields == {
        "phase": phase,
        "seconds": seconds,
    }, line
    assert measured == Observe("startup_seconds", phase, seconds), measured


@then("a process whose start is not measured logs no phases")
def step_not_measured(context):
    state = ReducerState()
    state.reach_phase("first agent", 1.0)
    assert not state.take_effects()


@then("the start of this process is not later than now and not before the host's")
def step_process_start(context):
    assert 0 <= read_process_start() <= read_boottime() + 0.01


@then("a start told as {told:f} at {now:f} is taken for {taken:f}")
def step_told_start(context, told, now, taken):
    assert choose_start(told, now) == taken
