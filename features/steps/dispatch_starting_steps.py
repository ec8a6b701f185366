"""Steps on the startup of a process."""

import subprocess
import sys

from behave import given, then

from cactuswalk.runtime.listening import ListenError, listen
from cactuswalk.settings.dispatch import Endpoint

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
