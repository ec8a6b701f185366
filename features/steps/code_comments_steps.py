"""Steps on what comments may tell."""

import ast
import io
import re
import tokenize
from pathlib import Path

from behave import then, when

SOURCES = Path(__file__).resolve().parent.parent.parent / "src"

STORY = re.compile(
    r"virtual clock|\bfixture|\bbench|\bmeasured (with|on|at)|tracemalloc|medians? of"
    r"|\b(was|were) seen|times the (usual )?load|, for 0\.\d",
    re.IGNORECASE,
)


def comments(text):
    """Return the comments and docstrings of a source text, each as one line.

    Comments that follow each other are one, so that a phrase may cross their lines.
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
        for comment in comments(path.read_text(encoding="utf-8"))
    ]
    assert len(context.found) > 1000


@when('a comment says "{words}"')
def step_planted(context, words):
    context.found = [("planted", comment) for comment in comments(f"# {words}\nx = 1")]


def stories(context):
    return [row for row in context.found if STORY.search(row[1])]


@then("none names a benchmark, a fixture, or what was measured")
def step_none(context):
    assert not stories(context), stories(context)


@then("it is noticed")
def step_noticed(context):
    assert len(stories(context)) == 1
