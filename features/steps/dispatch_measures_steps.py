"""Steps on the tools that measure the benefit of decision mechanisms."""

import json
import shutil
import tempfile
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from tools import ablation, where_lost
from tools.sourcechange import ROOT


@then("each mechanism can be removed from the source that it names")
def step_all_removable(context):
    for mechanism in ablation.MECHANISMS:
        with tempfile.TemporaryDirectory() as name:
            copied = Path(name) / mechanism.path
            copied.parent.mkdir(parents=True)
            shutil.copy(ROOT / mechanism.path, copied)
            mechanism.apply(Path(name))
            text = copied.read_text()
        assert text != (ROOT / mechanism.path).read_text(), mechanism.name
        compile(text, mechanism.path, "exec")


@when('the ablation is asked for a copy without "{name}"')
def step_copy(context, name):
    context.result = CliRunner().invoke(ablation.main, ["--copy", name, "nowhere"])


@then('it ends with status {status:d} and names "{text}"')
def step_status(context, status, text):
    assert context.result.exit_code == status, context.result
    assert text in context.result.output, context.result.output


@given(
    "a log of a late answer after a lost run, one that ran longer than expected and a"
    " refusal"
)
def step_log(context):
    answered = {
        "message": "entry: a job is answered",
        "timestamp": 1.0,
        "queue": "checks",
        "verdict": "completed",
        "aim": 0.7,
        "expected": 0.4,
        "last_ran": 0.4,
    }
    lines = [
        answered | {"took": 1.2, "lost": 1, "last_run": 2},
        answered | {"took": 0.9, "last_ran": 0.8},
        answered
        | {"verdict": "not_run", "reason": "no capacity in time", "workers": 0},
    ]
    texts = [f"   4.5000 front-1 {json.dumps(line)}" for line in lines]
    context.directory = tempfile.TemporaryDirectory()
    context.clean_ups = [context.directory.cleanup]
    context.log = Path(context.directory.name) / "day.log"
    context.log.write_text("\n".join(["a line of another kind", *texts]))


@when("the losses of the log are listed")
def step_losses(context):
    context.result = CliRunner().invoke(where_lost.main, [str(context.log)])
    assert context.result.exit_code == 0, context.result.output


@then('"{line}" is among the lines')
def step_line(context, line):
    assert line in context.result.output.splitlines(), context.result.output
