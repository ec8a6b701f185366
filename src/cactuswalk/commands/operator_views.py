"""Read-only commands: get, describe, history, explain, status, wait."""

import datetime

import click

from cactuswalk.commands.operator_client import EntryClient, EntryProblemError
from cactuswalk.commands.operator_context import (
    format_example,
    handle_errors,
    json_option,
    pass_operator,
    show_json,
    show_table,
)
from cactuswalk.errors import UsageError
from cactuswalk.model.configuration import KINDS

__all__ = ["describe", "explain", "get", "history", "status", "wait"]

kind_argument = click.argument("kind", type=click.Choice(list(KINDS)))


@click.command(epilog=format_example("cactuswalk get worker -l 'tier=gold,!trial'"))
@click.argument("kind", type=click.Choice(list(KINDS)), required=False)
@click.argument("name", required=False)
@click.option("-l", "--selector", default="", help="Only objects with these labels.")
@json_option
@pass_operator
@handle_errors
def get(operator, kind, name, selector, as_json):
    """Show objects: all, those of a kind, or one.

    They are read from the entry's own copy, even while the key-value service is
    unavailable.
    """

    async def request(client: EntryClient) -> list[dict]:
        if name:
            found = await client.read(f"/operator/objects/{kind}/{name}")
            return [found.fields]
        query = {"selector": selector} | ({"kind": kind} if kind else {})
        return (await client.read("/operator/objects", query)).fields["objects"]

    found = operator.run_with_client(request)
    if as_json:
        show_json(found)
        return
    headings = ("KIND", "NAME", "REVISION", "LABELS", "FIELDS")
    show_table(headings, (make_row(item) for item in found))


@click.command(epilog=format_example("cactuswalk describe worker w7"))
@kind_argument
@click.argument("name")
@json_option
@pass_operator
@handle_errors
def describe(operator, kind, name, as_json):
    """Show one object in full, with its last change if that is available."""
    path = f"/operator/objects/{kind}/{name}"

    async def request(client: EntryClient) -> dict:
        found = (await client.read(path)).fields
        try:
            past = await client.read(f"{path}/history")
            found["last_change"] = past.fields["history"][0]
        except EntryProblemError as error:
            found["last_change"] = None
            found["last_change_unknown"] = error.message
        return found

    found = operator.run_with_client(request)
    if as_json:
        show_json(found)
        return
    for field, value in sorted(found["object"].items()):
        shown = format_labels(value) if field == "labels" else value
        click.echo(f"{field}: {shown}")
    click.echo(f"revision: {found['revision']}")
    last = found["last_change"]
    text = format_change(last) if last else f"unknown: {found['last_change_unknown']}"
    click.echo(f"last change: {text}")


@click.command(epilog=format_example("cactuswalk history worker w7"))
@kind_argument
@click.argument("name")
@json_option
@pass_operator
@handle_errors
def history(operator, kind, name, as_json):
    """Show who changed an object, when and how: its last 20 changes.

    The history is stored in the key-value service, which has to be available.
    """

    async def request(client: EntryClient) -> dict:
        return (await client.read(f"/operator/objects/{kind}/{name}/history")).fields

    found = operator.run_with_client(request)
    if as_json:
        show_json(found)
        return
    for change in found["history"]:
        click.echo(format_change(change))
        for line in change["difference"]:
            click.echo(f"  {line}")


@click.command(
    epilog=format_example(
        "cactuswalk explain routes --selector 'rack in (r1, r2)' --memory 512"
    )
)
@click.argument("service")
@click.option(
    "--selector", default="", help="Selector of the job, as its caller gives it."
)
@click.option("--template", default="", help="Name of a job template.")
@click.option("--team", default="", help="Team whose quota applies.")
@click.option("--memory", "memory_mb", type=click.IntRange(min=0), default=0)
@click.option("--accelerators", type=click.IntRange(min=0), default=0)
@json_option
@pass_operator
@handle_errors
def explain(operator, service, as_json, **fields):
    """Show which workers a job could run on now, and the reasons against others.

    The answer is computed by the code that places jobs.
    """
    query = {"service": service}
    query |= {name: str(value) for name, value in fields.items() if value}

    async def request(client: EntryClient) -> dict:
        return (await client.read("/operator/explain", query)).fields

    found = operator.run_with_client(request)
    if as_json:
        show_json(found)
        return
    rows = (
        (verdict["worker"], "yes" if verdict["fits"] else "no", verdict["verdict"])
        for verdict in found["workers"]
    )
    show_table(("WORKER", "FITS", "WHY"), rows)
    if found.get("summary"):
        click.echo(found["summary"])


@click.command(epilog=format_example("cactuswalk status --json"))
@json_option
@pass_operator
@handle_errors
def status(operator, as_json):
    """Show the state of an entry: configuration, cells, key-value service."""

    async def request(client: EntryClient) -> dict:
        return (await client.read("/operator/status")).fields

    found = operator.run_with_client(request)
    if as_json:
        show_json(found)
        return
    show_nested(found, "")


@click.command(epilog=format_example("cactuswalk wait 4711 --timeout 5"))
@click.argument("revision", type=click.IntRange(min=1))
@click.option(
    "--timeout",
    type=click.FloatRange(min=0),
    default=5.0,
    show_default=True,
    metavar="SECONDS",
)
@json_option
@pass_operator
@handle_errors
def wait(operator, revision, timeout, as_json):
    """Wait until a revision is in force on every node; exit 8 if it is not.

    Each entry given with --endpoint is asked; give all of them to include every
    entry as well as the node of every worker.
    """

    def show_progress(counts: dict) -> None:
        if not as_json:
            click.echo(
                f"revision {revision}: in force on {counts['nodes_in_force']} of "
                f"{counts['nodes']} nodes, {counts['entries_in_force']} of "
                f"{counts['entries']} entries asked"
            )

    async def request(client: EntryClient) -> dict:
        return await client.wait(revision, timeout, show_progress)

    found = operator.run_with_client(request)
    if as_json:
        show_json(found)


def show_nested(value: object, indent: str) -> None:
    """Print mappings and lists as indented lines."""
    if isinstance(value, dict):
        for name, item in value.items():
            show_field(name, item, indent)
        return
    for item in value:
        if isinstance(item, dict):
            cells = ", ".join(f"{name}={text}" for name, text in item.items())
            click.echo(f"{indent}{cells}")
        else:
            click.echo(f"{indent}{item}")


def show_field(name: str, value: object, indent: str) -> None:
    """Print one field, with nested values indented below it."""
    if isinstance(value, (dict, list)) and value:
        click.echo(f"{indent}{name}:")
        show_nested(value, indent + "  ")
        return
    empty = "none" if isinstance(value, (dict, list)) else value
    click.echo(f"{indent}{name}: {empty}")


def make_row(found: dict) -> tuple[str, ...]:
    """Return the table row of an object."""
    fields = dict(found["object"])
    kind, name, labels = fields.pop("kind"), fields.pop("name"), fields.pop("labels")
    rest = " ".join(f"{field}={value}" for field, value in sorted(fields.items()))
    return kind, name, str(found["revision"]), format_labels(labels), rest


def format_labels(labels: dict[str, str]) -> str:
    """Return labels in the form of a selector."""
    return ",".join(f"{name}={text}" for name, text in sorted(labels.items())) or "-"


def format_change(change: dict) -> str:
    """Return a line with the revision, time, author and action of a change."""
    try:
        moment = datetime.datetime.fromtimestamp(change["at_ms"] / 1000, datetime.UTC)
    except (OverflowError, ValueError, OSError) as error:
        raise UsageError(
            f"the change carries the time {change['at_ms']}", "Set the entry's clock."
        ) from error
    when = moment.strftime("%Y-%m-%d %H:%M:%S UTC")
    return f"{change['revision']}  {when}  {change['who']}  {change['action']}"
