"""Steps for the operators' command, run through its command line."""

import pathlib
import shlex
import socket
import subprocess
import sys
import tempfile

import msgspec
from behave import given, then, when
from click.testing import CliRunner

from cactuswalk.commands.operator import operator_group
from cactuswalk.model import CellRecord, Holding, Member
from cactuswalk.model.cell import cell_key
from features.operators_server import TOKEN, OperatorsServer

ROOT = pathlib.Path(__file__).resolve().parents[2]


@given("an operators' interface over a fake service")
def step_server(context):
    context.server = OperatorsServer()
    context.clean_ups = [context.server.stop]


@given("cells north and south in the fake service")
def step_cells(context):
    for cell in ("north", "south"):
        owner = Member(f"{cell}-1", "a", f"tcp://{cell}")
        record = CellRecord(cell, 1, owner, [owner], [], "write", identity=cell)
        record.holdings = [Holding("routes", 0, 9, 0)] if cell == "north" else []
        context.server.service.put(cell_key(cell), msgspec.json.encode(record))


def run_command(context, arguments, stdin=None, **environment):
    """Run the command; None removes an environment variable."""
    defaults = {
        "CACTUSWALK_ENDPOINT": context.server.endpoint,
        "CACTUSWALK_TOKEN": TOKEN,
        "CACTUSWALK_SETTINGS": None,
    }
    context.result = CliRunner().invoke(
        operator_group, arguments, input=stdin, env=defaults | environment
    )


@when("an operator applies '{text}' with \"{options}\"")
def step_apply_with(context, text, options):
    run_command(context, ["apply", "-f", "-", *shlex.split(options)], text)


@when("an operator applies '{text}'")
def step_apply(context, text):
    run_command(context, ["apply", "-f", "-"], text)


@when('an operator runs "{line}"')
def step_run(context, line):
    run_command(context, shlex.split(line))


@when('an operator without a valid token runs "{line}"')
def step_run_without(context, line):
    run_command(context, shlex.split(line), CACTUSWALK_TOKEN="guessed")


@when('an operator runs "{line}" against a port without a listener')
def step_run_nobody(context, line):
    with socket.socket() as bound:
        # Bound but not listening, so that no other process can take the port.
        bound.bind(("127.0.0.1", 0))
        port = bound.getsockname()[1]
        endpoint = f"http://127.0.0.1:{port}"
        run_command(context, shlex.split(line), CACTUSWALK_ENDPOINT=endpoint)


def run_with_settings(context, line, fields):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "operator.ini"
        path.write_text("[operator]\n" + fields, encoding="utf-8")
        run_command(
            context,
            ["--settings", str(path), *shlex.split(line)],
            CACTUSWALK_ENDPOINT=None,
            CACTUSWALK_TOKEN=None,
        )


@when('an operator runs "{line}" with an INI file that names endpoint and token')
def step_run_ini(context, line):
    fields = f"endpoint = {context.server.endpoint}\ntoken = {TOKEN}\n"
    run_with_settings(context, line, fields)


@when('an operator runs "{line}" with an INI file that has an unknown field')
def step_run_bad_ini(context, line):
    run_with_settings(context, line, "colour = red\n")


@when("an operator checks the settings of an agent that have mistakes")
def step_check_settings(context):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "agent.ini"
        path.write_text("[process]\nworker =\n", encoding="utf-8")
        run_command(context, ["check-settings", "agent", str(path)])


# Runs as the installed command, whose name the completion variable contains.
COMMAND = (
    "import sys; sys.argv = ['cactuswalk']; "
    "from cactuswalk.commands.operator import main; main()"
)


def run_completion(context, instruction, **environment):
    done = subprocess.run(
        [sys.executable, "-c", COMMAND],
        env={"PYTHONPATH": str(ROOT / "src"), "_CACTUSWALK_COMPLETE": instruction}
        | environment,
        capture_output=True,
        text=True,
        check=False,
    )
    context.completion = done.stdout.splitlines()


@when("a shell asks for the completion script of the operators' command")
def step_completion_script(context):
    # zsh, since click prints no script for bash if bash is missing or too old.
    run_completion(context, "zsh_source")


@when('a shell completes "{words}"')
def step_complete(context, words):
    last = str(len(words.split()) - 1)
    run_completion(context, "bash_complete", COMP_WORDS=words, COMP_CWORD=last)


@then('the completion has the line "{line}"')
def step_completion(context, line):
    assert line in context.completion, context.completion


@then('the operators\' command ends with {code:d} and prints "{text}"')
def step_ends(context, code, text):
    result = context.result
    assert result.exit_code == code, (result.exit_code, result.output)
    assert text in result.output, result.output


@then('the operators\' command prints "{text}"')
def step_prints(context, text):
    assert text in context.result.output, context.result.output


@then("the fake service holds {count:d} operators' writes")
def step_writes(context, count):
    assert len(context.server.service.log) == count, context.server.service.log


@when("the fake service becomes unavailable")
def step_service_unavailable(context):
    context.server.service.unavailable = True


@when("the fake service loses the next request of an operator")
def step_lose_request(context):
    context.server.service.lose_request = True


@when("the operators' interface loses the next reply to a change")
def step_lose_http(context):
    context.server.lose_http_replies = 1


@when("the operators' interface knows a node that receives nothing")
def step_isolated_node(context):
    context.server.states = [(0, ())]


@then("each operators' command has a page and an example in its help")
def step_pages(context):
    for name in operator_group.commands:
        page = ROOT / "docs" / "operations" / "commands" / f"{name}.md"
        assert page.exists(), page
        run_command(context, [name, "--help"])
        assert f"cactuswalk {name}" in context.result.output, context.result.output
