"""Steps for settings files."""

import configparser
import io
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all, settings as hypothesis_settings, strategies

from cactuswalk.settings import InvalidSettingsError, load_agent, load_entry
from features.edges_support import EXAMPLES, add_clean_up

LOADERS = {"entry": load_entry, "agent": load_agent}


def write_file(context, text):
    directory = tempfile.TemporaryDirectory()
    add_clean_up(context, directory.cleanup)
    path = Path(directory.name) / "settings.ini"
    path.write_text(text, encoding="utf-8")
    return path


def load(context, loader, path):
    context.loaded = context.settings_error = None
    try:
        context.loaded = loader(path)
    except InvalidSettingsError as error:
        context.settings_error = error


@given('the example settings "{file}" of an {kind}')
def step_example(context, file, kind):
    context.path, context.loader = EXAMPLES / file, LOADERS[kind]


@given("settings of an {kind} with these options changed")
def step_changed(context, kind):
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    parser.read(EXAMPLES / f"glenmorrow-{kind}.ini", encoding="utf-8")
    for row in context.table:
        if not parser.has_section(row["section"]):
            parser.add_section(row["section"])
        parser.set(row["section"], row["option"], row["value"])
    text = io.StringIO()
    parser.write(text)
    context.path, context.loader = write_file(context, text.getvalue()), LOADERS[kind]


@when("the settings are loaded")
def step_load(context):
    load(context, context.loader, context.path)


@when("settings are loaded from a missing file")
def step_missing(context):
    load(context, load_entry, EXAMPLES / "no-such-file.ini")


@when('settings are loaded from the text "{text}"')
def step_text(context, text):
    load(context, load_entry, write_file(context, text))


@then('the settings name the data centre "{data_centre}"')
def step_data_centre(context, data_centre):
    assert context.settings_error is None, context.settings_error
    assert context.loaded.data_centre == data_centre, context.loaded


@then("the settings mistakes are")
def step_mistakes(context):
    mistakes = context.settings_error.mistakes
    found = [(mistake.section, mistake.key) for mistake in mistakes]
    assert found == [(row["section"], row["option"]) for row in context.table], found
    for mistake, row in zip(mistakes, context.table, strict=True):
        assert mistake.remedy.startswith(row["remedy"]), mistake
        assert mistake.show() in context.settings_error.show()


@then('the settings error has exit code {code:d} and shows no "{secret}"')
def step_exit_code(context, code, secret):
    assert context.settings_error.exit_code == code
    assert secret not in context.settings_error.show()


@when("Hypothesis generates settings of both kinds")
def step_fuzz(context):
    sections = ["process", "http", "key_value", "limits", "callers", "operators_http"]
    sections += ["curve", "cell", "labels", "retention", "operators", "peers"]
    options = ["host", "port", "address", "endpoints", "name", "bytes", "public_key"]
    options += ["seconds", "tls_key", "ping_period_ms", "confirm_period_ms", "x"]
    value = strategies.one_of(
        strategies.text(max_size=20),
        strategies.sampled_from(
            ["0", "-1", "tcp://[::1]:5", "tcp://:1", "http://[", "²"]
        ),
    )
    lines = strategies.tuples(
        strategies.sampled_from(sections), strategies.sampled_from(options), value
    )
    context.outcomes = []

    @hypothesis_settings(
        max_examples=150, derandomize=True, database=None, deadline=None
    )
    @for_all(strategies.lists(lines, max_size=12))
    def write_and_load(chosen):
        text = "".join(f"[{section}]\n{key} = {v}\n" for section, key, v in chosen)
        path.write_text(text, encoding="utf-8", errors="replace")
        for loader in LOADERS.values():
            load(context, loader, path)
            context.outcomes.append((context.loaded, context.settings_error))

    path = write_file(context, "")
    write_and_load()


@then("each is loaded or refused with a remedy for each mistake")
def step_outcomes(context):
    assert context.outcomes
    for loaded, error in context.outcomes:
        assert loaded is not None or all(m.remedy for m in error.mistakes)
