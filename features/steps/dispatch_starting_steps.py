"""Steps on what a process does before it serves."""

import subprocess
import sys

from behave import given, then

from cactuswalk.runtime.listening import ListenError, listen
from cactuswalk.settings.dispatch import Endpoint

LOADED = "import sys, {module}; print('{needless}' in sys.modules)"

LISTENS = """
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


@then('the process of "{module}" loads without "{needless}"')
def step_loads(context, module, needless):
    assert run(LOADED.format(module=module, needless=needless)) == "False"


@then('"{command}" with "{settings}" listens before aiohttp is loaded')
def step_listens(context, command, settings):
    said = run(LISTENS.format(command=command, settings=settings))
    assert said.splitlines()[-1] == "[False] True", said


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
