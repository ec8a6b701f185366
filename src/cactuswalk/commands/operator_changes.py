"""Commands that change objects: apply, label, delete, drain, undrain."""

import uuid

import click
import msgspec

from cactuswalk.commands.operator_client import EntryClient, EntryProblemError, Reply
from cactuswalk.commands.operator_context import (
    OperatorContext,
    example,
    json_option,
    pass_operator,
    reports_errors,
    show_json,
    wait_option,
)
from cactuswalk.errors import CactuswalkError, UsageError
from cactuswalk.model.configuration import (
    KINDS,
    object_key,
    read_objects,
)

__all__ = ["apply", "delete", "drain", "label", "undrain"]

dry_run_option = click.option(
    "--dry-run", is_flag=True, help="Check and show the difference; write nothing."
)
kind_argument = click.argument("kind", type=click.Choice(list(KINDS)))


class Wanted:
    """One change that an operator asks for.

    :param method: PUT with an object, PATCH with fields, or DELETE.
    """

    __slots__ = ("key", "method", "body", "write_id")

    def __init__(self, key: str, method: str, body: object, write_id: str) -> None:
        self.key = key
        self.method = method
        self.body = body
        self.write_id = write_id

    @property
    def path(self) -> str:
        """Return the path of the object."""
        return f"/operator/objects/{self.key}"


class Run:
    """The changes of one command: shows each, makes it, collects what came."""

    __slots__ = ("client", "dry_run", "as_json", "results")

    def __init__(self, client: EntryClient, dry_run: bool, as_json: bool) -> None:
        self.client = client
        self.dry_run = dry_run
        self.as_json = as_json
        self.results: list[dict[str, object]] = []

    async def make(self, wanted: Wanted) -> None:
        """Read the object, show what would change, and change it."""
        expected = await self._revision(wanted)
        if expected == 0:
            wanted = as_new(wanted)
        shown = await self._send(wanted, expected, dry_run=True)
        lines = shown.fields["difference"]
        outcome = outcome_of(wanted.method, expected, bool(lines))
        self._say(wanted.key, "would be " * self.dry_run + outcome, lines)
        revision = shown.fields["revision"]
        if lines and not self.dry_run:
            made = await self._send(wanted, expected, dry_run=False)
            revision = made.fields["revision"]
            self._say(wanted.key, f"{outcome} at revision {revision}", [])
        self.results.append(
            {
                "key": wanted.key,
                "outcome": outcome,
                "written": bool(lines) and not self.dry_run,
                "revision": revision,
                "difference": lines,
            }
        )

    async def wait(self, seconds: float | None) -> dict[str, object] | None:
        """Wait until all that was found or written is in force everywhere."""
        if seconds is None or self.dry_run or not self.results:
            return None
        newest = max(one["revision"] for one in self.results)

        def tell(counts: dict[str, object]) -> None:
            if not self.as_json:
                click.echo(
                    f"revision {newest}: in force on {counts['nodes_in_force']} of "
                    f"{counts['nodes']} nodes"
                )

        return await self.client.wait(newest, seconds, tell)

    async def _revision(self, wanted: Wanted) -> int:
        """Return the object's revision in the service, 0 if there is none."""
        try:
            found = await self.client.read(wanted.path, {"fresh": "1"})
        except EntryProblemError as error:
            if error.code != "not_found" or wanted.method == "DELETE":
                raise
            return 0
        return found.fields["revision"]

    async def _send(self, wanted: Wanted, expected: int, dry_run: bool) -> Reply:
        return await self.client.change(
            *(wanted.method, wanted.path, expected, wanted.body, wanted.write_id),
            dry_run=dry_run,
        )

    def _say(self, key: str, outcome: str, lines: list[str]) -> None:
        if self.as_json:
            return
        click.echo(f"{key}: {outcome}")
        for line in lines:
            click.echo(f"  {line}")


def outcome_of(method: str, expected: int, different: bool) -> str:
    """Return the word for what a change does."""
    if not different:
        return "unchanged"
    if method == "DELETE":
        return "deleted"
    return "changed" if expected else "created"


def as_new(wanted: Wanted) -> Wanted:
    """Return the change that creates what there is no object of yet.

    Workers announce themselves and need no object until operators say
    something of them; anything else that is missing is more likely misspelt.
    """
    if wanted.method == "PUT":
        return wanted
    kind, name = wanted.key.split("/")
    if kind != "worker":
        raise EntryProblemError(
            {
                "status": 404,
                "code": "not_found",
                "detail": f"there is no {wanted.key}",
                "remedy": "Create it with `cactuswalk apply`.",
            }
        )
    labels = wanted.body.get("labels", {})
    kept = {label: text for label, text in labels.items() if text is not None}
    body = {"kind": kind, "name": name} | wanted.body | {"labels": kept}
    return Wanted(wanted.key, "PUT", body, wanted.write_id)


def make_all(
    operator: OperatorContext,
    changes: list[Wanted],
    wait_seconds: float | None,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Make changes in order; the first that fails ends the command."""

    async def talk(client: EntryClient) -> None:
        session = Run(client, dry_run, as_json)
        report: dict[str, object] = {"results": session.results}
        try:
            for wanted in changes:
                await session.make(wanted)
            report["in_force"] = await session.wait(wait_seconds)
        except CactuswalkError as error:
            tell_rest(session, changes, as_json)
            error.fields = getattr(error, "fields", {}) | report
            raise
        if as_json:
            show_json(report)

    operator.converse(talk)


def tell_rest(session: Run, changes: list[Wanted], as_json: bool) -> None:
    """Name the changes that were not come to, so that none is taken for made."""
    rest = [wanted.key for wanted in changes[len(session.results) + 1 :]]
    if rest and not as_json:
        click.echo(f"not come to: {', '.join(rest)}", err=True)


@click.command(
    epilog=example(
        'echo \'{"kind": "team", "name": "rebuild", "weight": 3}\' |',
        "    cactuswalk apply -f - --wait 5",
    )
)
@click.option(
    *("-f", "--file", "source"),
    type=click.File("rb"),
    required=True,
    help="JSON file with one object or a list of them; - for standard input.",
)
@click.option(
    "--write-id",
    type=click.UUID,
    help="Names these writes; repeat it to find out what became of lost ones.",
)
@wait_option
@dry_run_option
@json_option
@pass_operator
@reports_errors
def apply(operator, source, write_id, wait_seconds, dry_run, as_json):
    """Create or replace objects as a JSON file describes them.

    All objects are checked before the first is written. Each difference is
    shown before it is made. Objects that are equal already are left alone.
    """
    try:
        text = source.read()
    except OSError as error:
        raise UsageError(f"{source.name}: {error}", "Give a readable file.") from error
    changes = [
        Wanted(
            *(object_key(one), "PUT", msgspec.to_builtins(one)),
            str(uuid.uuid5(write_id or uuid.uuid4(), object_key(one))),
        )
        for one in read_objects(text)
    ]
    make_all(operator, changes, wait_seconds, dry_run, as_json)


@click.command(epilog=example("cactuswalk label worker w7 tier=gold trial-"))
@kind_argument
@click.argument("name")
@click.argument("labels", nargs=-1, required=True)
@wait_option
@dry_run_option
@json_option
@pass_operator
@reports_errors
def label(operator, kind, name, labels, wait_seconds, dry_run, as_json):
    """Set labels with LABEL=VALUE and remove them with LABEL-."""
    body = {"labels": dict(read_label(text) for text in labels)}
    wanted = Wanted(f"{kind}/{name}", "PATCH", body, str(uuid.uuid4()))
    make_all(operator, [wanted], wait_seconds, dry_run, as_json)


@click.command(epilog=example("cactuswalk delete team trial --dry-run"))
@kind_argument
@click.argument("name")
@wait_option
@dry_run_option
@json_option
@pass_operator
@reports_errors
def delete(operator, kind, name, wait_seconds, dry_run, as_json):
    """Delete an object.

    A deleted worker object takes its labels and its drain with it; the worker
    itself goes on announcing itself.
    """
    wanted = Wanted(f"{kind}/{name}", "DELETE", None, str(uuid.uuid4()))
    make_all(operator, [wanted], wait_seconds, dry_run, as_json)


@click.command(epilog=example("cactuswalk drain w7 --wait 5"))
@click.argument("worker")
@wait_option
@dry_run_option
@json_option
@pass_operator
@reports_errors
def drain(operator, worker, wait_seconds, dry_run, as_json):
    """Give a worker no new work; what runs there ends by itself."""
    set_drained(operator, worker, True, wait_seconds, dry_run, as_json)


@click.command(epilog=example("cactuswalk undrain w7 --wait 5"))
@click.argument("worker")
@wait_option
@dry_run_option
@json_option
@pass_operator
@reports_errors
def undrain(operator, worker, wait_seconds, dry_run, as_json):
    """Give a drained worker work again."""
    set_drained(operator, worker, False, wait_seconds, dry_run, as_json)


def set_drained(
    operator: OperatorContext,
    worker: str,
    drained: bool,
    wait_seconds: float | None,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Drain a worker, or give it work again."""
    body = {"drained": drained}
    wanted = Wanted(f"worker/{worker}", "PATCH", body, str(uuid.uuid4()))
    make_all(operator, [wanted], wait_seconds, dry_run, as_json)


def read_label(text: str) -> tuple[str, str | None]:
    """Return a label and its value, None to remove it."""
    name, sign, value = text.partition("=")
    if sign:
        return name, value
    if text.endswith("-"):
        return text[:-1], None
    raise UsageError(f"{text!r} is no label", "Write LABEL=VALUE, or LABEL- to remove.")
