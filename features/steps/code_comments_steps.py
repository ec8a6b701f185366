"""Steps for the check of comments for measurements."""

import ast
import io
import re
import tokenize
from pathlib import Path

from behave import then, when

SOURCES = Path(__file__).resolve().parent.parent.parent / "src"

MEASUREMENT = re.compile(
    r"virtual clock|\bfixture|\bbench|\bmeasured (with|on|at)|tracemalloc|medians? of"
    r"|\b(was|were) seen|times the (usual )?load|, for 0\.\d",
    re.IGNORECASE,
)


def extract_comments(text):
    """Return the comments and docstrings of a source text, each as one line.

    Comments on consecutive lines are joined, so that a phrase may span lines.
    """
    found = []
    last_line = -1
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type != tokenize.COMMENT:
            continue
        words = token.string.lstrip("# ")
        if token.start[0] == last_line + 1:
            found[-1] += " " + words
        else:
            found.append(words)
        last_line = token.start[0]
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, (ast.Module, ast.ClassDef, ast.FunctionDef)):
            found.append(" ".join((ast.get_docstring(node) or "").split()))
    return found


@when("the comments and docstrings under src are read")
def step_read(context):
    context.found = [
        (path.name, comment)
        for path in sorted(SOURCES.rglob("*.py"))
        for comment in extract_comments(path.read_text(encoding="utf-8"))
    ]
    assert len(context.found) > 1000


@when('a comment says "{words}"')
def step_example(context, words):
    context.found = [
        ("example", comment) for comment in extract_comments(f"# {words}\nx = 1")
    ]


def find_measurements(context):
    return [row for row in context.found if MEASUREMENT.search(row[1])]


@then("none mentions a benchmark, a fixture or a measurement")
def step_none(context):
    assert not find_measurements(context), find_measurements(context)


@then("it is detected")
def step_detected(context):
    assert len(find_measurements(context)) == 1
