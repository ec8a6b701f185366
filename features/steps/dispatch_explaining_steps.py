"""Steps on logs and on the commands that read logs and settings."""

import os
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from cactuswalk.commands.operator import operator_group
from cactuswalk.runtime.logs import open_logs
from cactuswalk.settings import LogSettings
from cactuswalk.state.effects import Part
from features.steps.process_dispatch_steps import JOB_IDENTIFIER

LINE = "x" * 200


def run_trace(context, job):
    directory = context.deployment.directory
    names = ["entry-0", "entry-1", "agent-0", "agent-1"]
    options = [part for name in names for part in ("--log", f"{directory}/{name}.log")]
    return CliRunner().invoke(operator_group, ["trace", job, *options])


@then("cactuswalk trace prints the lost runs and the answer in order")
def step_trace(context):
    time.sleep(0.3)
    result = run_trace(context, JOB_IDENTIFIER)
    assert result.exit_code == 0, result.output
    lines = result.output.splitlines()
    assert "entry: a job is answered" in lines[-1], result.output
    assert "verdict=completed" in lines[-1]
    reruns = [line for line in lines if "entry: a task runs again" in line]
    lost = [line for line in reruns if " end=lost " in line]
    killed = f" agent=tcp://{context.deployment.worker_host(0)}:"
    assert lost and all(killed in line for line in lost), result.output
    # A start call without an answer ends like this at any agent, on a busy machine.
    never_began = " end=stopped reason=never began "
    others = [line for line in reruns if line not in lost]
    assert all(never_began in line for line in others), result.output
    assert [line[:12] for line in lines] == sorted(line[:12] for line in lines)


@then("cactuswalk trace finds no line of an unknown job")
def step_trace_nothing(context):
    result = run_trace(context, "ffffffffffffffff")
    assert result.exit_code == 3, result.output
    assert "Remedy" in result.output


@given("a log that is written into a pipe without a reader")
def step_pipe(context):
    context.reading, writing = os.pipe()
    settings = LogSettings("info", f"/dev/fd/{writing}")
    context.log = open_logs(settings, "e1")
    context.clean_ups = [context.log.close]
    context.longest = 0.0


def say(context, sentence):
    began = time.monotonic()
    context.log.say(Part.ENTRY, sentence, {"text": LINE})
    context.longest = max(context.longest, time.monotonic() - began)


@when("{count:d} lines are written")
def step_lines(context, count):
    for _ in range(count):
        say(context, "a line")


@then("no write has blocked")
def step_no_wait(context):
    assert context.longest < 0.5, context.longest
    assert context.log.dropped_lines > 0


@when("the pipe is read again and another line is written")
def step_read(context):
    context.text = os.read(context.reading, 1 << 20).decode()
    say(context, "another line")
    say(context, "one more line")


@then("the log says how many lines were dropped")
def step_left_out(context):
    text = os.read(context.reading, 1 << 20).decode()
    assert "process: log lines were dropped" in text, text[-500:]


@given("settings of a dispatch entry without a store and with a wrong address")
def step_settings(context):
    handle, name = tempfile.mkstemp(suffix=".ini")
    os.close(handle)
    context.settings = Path(name)
    context.clean_ups = [context.settings.unlink]
    text = Path("examples/dispatch-entry.ini").read_text(encoding="utf-8")
    text = text.replace("[store]\naddress = 10.200.1.7:8169\n", "")
    context.settings.write_text(
        text.replace("address = 10.1.0.13:8161", "address = nowhere"), encoding="utf-8"
    )


@then("cactuswalk check-settings names both mistakes and exits with 2")
def step_check_settings(context):
    arguments = ["check-settings", "dispatch-entry"]
    result = CliRunner().invoke(operator_group, [*arguments, str(context.settings)])
    assert result.exit_code == 2, result.output
    assert "[store] address: is missing" in result.output, result.output
    assert "[callers] address = nowhere: is not an address" in result.output
    example = CliRunner().invoke(
        operator_group, [*arguments, "examples/dispatch-entry.ini"]
    )
    assert example.exit_code == 0, example.output
