"""Steps for logs and metrics."""

import json
import logging
import math
import socket
import tempfile
import uuid
from pathlib import Path

from behave import given, then, when

from cactuswalk.errors import SettingsError
from cactuswalk.runtime.eliotlines import EliotLines
from cactuswalk.runtime.loglines import JsonLines
from cactuswalk.runtime.logs import open_logs
from cactuswalk.runtime.metrics import make_metrics
from cactuswalk.settings import LogSettings, StatsdSettings
from cactuswalk.state.effects import Log, Part
from features.edges_support import add_clean_up, run, until


@given('a log file of the process "{process}" at level "{level}"')
def step_log(context, process, level):
    directory = tempfile.TemporaryDirectory()
    add_clean_up(context, directory.cleanup)
    context.log_path = Path(directory.name) / "log"
    context.logs = open_logs(LogSettings(level, str(context.log_path)), process)
    add_clean_up(context, context.logs.close)


@given('a log file of the dispatch process "{process}" at level "{level}"')
def step_dispatch_log(context, process, level):
    directory = tempfile.TemporaryDirectory()
    add_clean_up(context, directory.cleanup)
    context.log_path = Path(directory.name) / "log"
    settings = LogSettings(level, str(context.log_path))
    context.logs = open_logs(settings, process, JsonLines())
    add_clean_up(context, context.logs.close)


@when(
    "{count:d} decisions are logged, eliot encodes the lines that follow, and {more:d}"
    " more are logged"
)
def step_changed_encoder(context, count, more):
    async def say():
        log_numbered_lines(context, count)
        context.logs.encode_with(EliotLines())
        log_numbered_lines(context, more)
        await until(lambda: len(read_lines(context)) == count + more)

    run(context, say())


@then("the log file has {count:d} lines of the same fields, numbered in order")
def step_same_fields(context, count):
    lines = [json.loads(line) for line in read_lines(context)]
    assert len(lines) == count, lines
    assert all(line.keys() == lines[0].keys() for line in lines), lines
    identifiers = [line["task_uuid"] for line in lines]
    assert identifiers == sorted(identifiers) and len(set(identifiers)) == count


@when("a line with text that is not Unicode is logged")
def step_not_unicode(context):
    context.logs.say(Part.ENTRY, "refuses a job", {"job": "\udc80"})


@then("its task's identifier is a UUID of version 4")
def step_uuid(context):
    assert uuid.UUID(context.line["task_uuid"]).version == 4, context.line


@when("a decision of the owner is logged with fields that are hard to encode")
def step_write(context):
    sentence = "task 0 of vets/a starts on w7: most free slots"
    fields = {
        "among": ["w7", "w9"],
        "level": 3,
        "task_uuid": "mine",
        "fingerprint": b"\x01\xff",
        "large": 1 << 80,
        "pressure": math.nan,
        "odd": {1: {2}, "who": Part.OWNER},
    }
    context.logs.write(Log(Part.OWNER, sentence, fields))


@when('a library warns that "{text}"')
def step_library(context, text):
    logging.getLogger("aiohttp.server").warning(text)
    logging.getLogger("aiohttp.server").info("not this")


@then('the log file has one line whose message is "{message}"')
def step_line(context, message):
    (line,) = context.log_path.read_text(encoding="utf-8").splitlines()
    context.line = json.loads(line)
    assert context.line["message"] == message, line


@then("the log line keeps the process, the part, the level and every field")
def step_fields(context):
    wanted = {
        "process": "dingwall-5",
        "part": "owner",
        "level": "info",
        "level_": 3,
        "task_uuid_": "mine",
        "among": ["w7", "w9"],
        "fingerprint": "01ff",
        "large": str(1 << 80),
        "odd": {"1": [2], "who": "owner"},
    }
    assert wanted.items() <= context.line.items(), context.line


def log_numbered_lines(context, count):
    for number in range(count):
        context.logs.say(Part.OWNER, f"line {number}")


def read_lines(context):
    return context.log_path.read_text(encoding="utf-8").splitlines()


@when("{count:d} decisions are logged in one iteration of a loop that keeps running")
def step_one_iteration(context, count):
    async def say():
        log_numbered_lines(context, count)
        context.lines_after_iteration = read_lines(context)
        await until(lambda: len(read_lines(context)) == count)

    run(context, say())


@when("{count:d} decisions are logged in a loop that closes the log at once")
def step_say_and_close(context, count):
    async def say():
        log_numbered_lines(context, count)
        context.logs.close()

    run(context, say())


@when("{count:d} decisions and an error are logged in one iteration of a loop")
def step_error_in_iteration(context, count):
    async def say():
        log_numbered_lines(context, count)
        context.logs.say(Part.PROCESS, f"line {count}", level="error")
        context.lines_after_iteration = read_lines(context)

    run(context, say())
    assert len(context.lines_after_iteration) == count + 1, (
        context.lines_after_iteration
    )


@when("{count:d} decisions are logged in one iteration of a loop")
def step_burst(context, count):
    async def say():
        log_numbered_lines(context, count)
        context.unwritten = count - len(read_lines(context))

    run(context, say())


@when(
    'a decision among "{one}" and "{two}" is logged and the list emptied before writing'
)
def step_emptied(context, one, two):
    async def say():
        among = [one, two]
        context.logs.say(Part.OWNER, "chosen", {"among": among})
        among.clear()
        context.logs.close()

    run(context, say())


@then("the file was empty at the end of that iteration")
def step_empty(context):
    assert context.lines_after_iteration == [], context.lines_after_iteration


@then(
    "the log file has the lines {first:d} to {last:d} in order, "
    "each with a task_uuid of its own"
)
def step_in_order(context, first, last):
    lines = [json.loads(line) for line in read_lines(context)]
    numbers = [int(line["message"].rpartition(" ")[2]) for line in lines]
    assert numbers == list(range(first, last + 1)), lines
    assert len({line["task_uuid"] for line in lines}) == len(lines), lines


@then("no more than {most:d} lines waited")
def step_waited(context, most):
    assert context.unwritten <= most, context.unwritten


@then('the line names "{one}" and "{two}"')
def step_names(context, one, two):
    (line,) = read_lines(context)
    assert json.loads(line)["among"] == [one, two], line


@when("a log file is opened in a missing directory")
def step_no_directory(context):
    try:
        open_logs(LogSettings("info", "no-such-directory/log"), "w")
    except SettingsError as error:
        context.log_error = error


@then("the log is refused with exit code 2 and a remedy")
def step_log_refused(context):
    assert context.log_error.exit_code == 2
    assert context.log_error.remedy


@given("a statsd server and metrics that go to it")
def step_statsd(context):
    context.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.statsd.bind(("127.0.0.1", 0))
    context.statsd.settimeout(5)
    add_clean_up(context, context.statsd.close)
    make_statsd_metrics(context, context.statsd.getsockname()[1])


@given("metrics that go to an unavailable statsd server")
def step_statsd_away(context):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind(("127.0.0.1", 0))
        port = bound.getsockname()[1]
    make_statsd_metrics(context, port)


@given("metrics without settings")
def step_no_metrics(context):
    context.metrics = make_metrics(None)


def make_statsd_metrics(context, port):
    context.metrics = make_metrics(StatsdSettings("127.0.0.1", port, "glenmorrow"))
    add_clean_up(context, context.metrics.close)


@when("{starts:d} starts are counted, a gauge set twice and {timings:d} timings taken")
def step_count(context, starts, timings):
    for _ in range(starts):
        context.metrics.count("agent.starts")
    context.metrics.gauge("owner.queued", 3)
    context.metrics.gauge("owner.queued", 5)
    for _ in range(timings):
        context.metrics.timing("upstream.call", 12)
    context.metrics.flush()
    context.sent = timings + 2


@when("a start is counted in a loop that keeps running")
def step_count_in_loop(context):
    async def count():
        context.metrics.count("agent.starts")
        await until(lambda: context.metrics.timer is None)

    run(context, count())
    context.sent = 1


@then("the statsd server gets, in packets of at most {size:d} bytes")
def step_packets(context, size):
    wanted = {row["line"].strip() for row in context.table}
    lines = []
    while not wanted <= set(lines):
        packet = context.statsd.recv(65_536)
        assert len(packet) <= size, len(packet)
        lines += packet.decode().split("\n")
    assert len(lines) == context.sent, lines


@then("no exception is raised, nor by further metrics")
def step_again(context):
    step_count(context, 1, 1)
    context.metrics.close()
