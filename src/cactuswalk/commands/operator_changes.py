"""Commands that change objects: apply, label, delete, drain, undrain."""

import uuid

import click
import msgspec

from cactuswalk.commands.operator_client import EntryClient, EntryProblemError, Reply
from cactuswalk.commands.operator_context import (
    OperatorContext,
    format_example,
    handle_errors,
    json_option,
    pass_operator,
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
    "--dry-run",
    is_flag=True,
    help="Validate and show the difference without writing it.",
)
kind_argument = click.argument("kind", type=click.Choice(list(KINDS)))


class ObjectChange:
    """One change of an object that an operator requests.

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


class ChangeSession:
    """Makes the changes of one command, prints them and collects the results."""

    __slots__ = ("client", "dry_run", "as_json", "results")

    def __init__(self, client: EntryClient, dry_run: bool, as_json: bool) -> None:
        self.client = client
        self.dry_run = dry_run
        self.as_json = as_json
        self.results: list[dict[str, object]] = []

    async def apply_change(self, change: ObjectChange) -> None:
        """Read the object, print the difference, and write it."""
        expected = await self._read_revision(change)
        if expected == 0:
            change = convert_to_creation(change)
        preview = await self._send(change, expected, dry_run=True)
        lines = preview.fields["difference"]
        outcome = name_outcome(change.method, expected, bool(lines))
        self._print_change(change.key, "would be " * self.dry_run + outcome, lines)
        revision = preview.fields["revision"]
        if lines and not self.dry_run:
            reply = await self._send(change, expected, dry_run=False)
            revision = reply.fields["revision"]
            self._print_change(change.key, f"{outcome} at revision {revision}", [])
        self.results.append(
            {
                "key": change.key,
                "outcome": outcome,
                "written": bool(lines) and not self.dry_run,
                "revision": revision,
                "difference": lines,
            }
        )

    async def wait(self, seconds: float | None) -> dict[str, object] | None:
        """Wait until the newest revision found or written is in force everywhere."""
        if seconds is None or self.dry_run or not self.results:
            return None
        newest = max(result["revision"] for result in self.results)

        def show_progress(counts: dict[str, object]) -> None:
            if not self.as_json:
                click.echo(
                    f"revision {newest}: in force on {counts['nodes_in_force']} of "
                    f"{counts['nodes']} nodes"
                )

        return await self.client.wait(newest, seconds, show_progress)

    async def _read_revision(self, change: ObjectChange) -> int:
        """Return the object's revision in the key-value service, 0 if absent."""
        try:
            found = await self.client.read(change.path, {"fresh": "1"})
        except EntryProblemError as error:
            if error.code != "not_found" or change.method == "DELETE":
                raise
            return 0
        return found.fields["revision"]

    async def _send(self, change: ObjectChange, expected: int, dry_run: bool) -> Reply:
        return await self.client.change(
            *(change.method, change.path, expected, change.body, change.write_id),
            dry_run=dry_run,
        )

    def _print_change(self, key: str, outcome: str, lines: list[str]) -> None:
        if self.as_json:
            return
        click.echo(f"{key}: {outcome}")
        for line in lines:
            click.echo(f"  {line}")


def name_outcome(method: str, expected: int, different: bool) -> str:
    """Return the name of a change's effect."""
    if not different:
        return "unchanged"
    if method == "DELETE":
        return "deleted"
    return "changed" if expected else "created"


def convert_to_creation(change: ObjectChange) -> ObjectChange:
    """Return the change that creates an object which does not exist yet.

    Workers announce themselves and have no object until an operator sets a label or
    drains them; a missing object of another kind is more likely misspelt.
    """
    if change.method == "PUT":
        return change
    kind, name = change.key.split("/")
    if kind != "worker":
        raise EntryProblemError(
            {
                "status": 404,
                "code": "not_found",
                "detail": f"there is no {change.key}",
                "remedy": "Create it with `cactuswalk apply`.",
            }
        )
    labels = change.body.get("labels", {})
    kept = {label: text for label, text in labels.items() if text is not None}
    body = {"kind": kind, "name": name} | change.body | {"labels": kept}
    return ObjectChange(change.key, "PUT", body, change.write_id)


def apply_changes(
    operator: OperatorContext,
    changes: list[ObjectChange],
    wait_seconds: float | None,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Make changes in order; the first failure ends the command."""

    async def request(client: EntryClient) -> None:
        session = ChangeSession(client, dry_run, as_json)
        report: dict[str, object] = {"results": session.results}
        try:
            for change in changes:
                await session.apply_change(change)
            report["in_force"] = await session.wait(wait_seconds)
        except CactuswalkError as error:
            print_skipped(session, changes, as_json)
            error.fields = getattr(error, "fields", {}) | report
            raise
        if as_json:
            show_json(report)

    operator.run_with_client(request)


def print_skipped(
    session: ChangeSession, changes: list[ObjectChange], as_json: bool
) -> None:
    """Print the changes that were not attempted, so that none is taken for made."""
    skipped = [change.key for change in changes[len(session.results) + 1 :]]
    if skipped and not as_json:
        click.echo(f"not attempted: {', '.join(skipped)}", err=True)


@click.command(
    epilog=format_example(
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
    help="Identifier of these writes; repeat it to learn the outcome of lost ones.",
)
@wait_option
@dry_run_option
@json_option
@pass_operator
@handle_errors
def apply(operator, source, write_id, wait_seconds, dry_run, as_json):
    """Create or replace objects as a JSON file describes them.

    All objects are validated before the first is written. Each difference is
    shown before it is written. Objects without a difference stay unchanged.
    """
    try:
        text = source.read()
    except OSError as error:
        raise UsageError(f"{source.name}: {error}", "Give a readable file.") from error
    changes = [
        ObjectChange(
            *(object_key(new_object), "PUT", msgspec.to_builtins(new_object)),
            str(uuid.uuid5(write_id or uuid.uuid4(), object_key(new_object))),
        )
        for new_object in read_objects(text)
    ]
    apply_changes(operator, changes, wait_seconds, dry_run, as_json)


@click.command(epilog=format_example("cactuswalk label worker w7 tier=gold trial-"))
@kind_argument
@click.argument("name")
@click.argument("labels", nargs=-1, required=True)
@wait_option
@dry_run_option
@json_option
@pass_operator
@handle_errors
def label(operator, kind, name, labels, wait_seconds, dry_run, as_json):
    """Set labels with LABEL=VALUE and remove them with LABEL-."""
    body = {"labels": dict(read_label(text) for text in labels)}
    change = ObjectChange(f"{kind}/{name}", "PATCH", body, str(uuid.uuid4()))
    apply_changes(operator, [change], wait_seconds, dry_run, as_json)


@click.command(epilog=format_example("cactuswalk delete team trial --dry-run"))
@kind_argument
@click.argument("name")
@wait_option
@dry_run_option
@json_option
@pass_operator
@handle_errors
def delete(operator, kind, name, wait_seconds, dry_run, as_json):
    """Delete an object.

    Deleting a worker's object removes its labels and its drain; the worker itself
    continues to announce itself.
    """
    change = ObjectChange(f"{kind}/{name}", "DELETE", None, str(uuid.uuid4()))
    apply_changes(operator, [change], wait_seconds, dry_run, as_json)


@click.command(epilog=format_example("cactuswalk drain w7 --wait 5"))
@click.argument("worker")
@wait_option
@dry_run_option
@json_option
@pass_operator
@handle_errors
def drain(operator, worker, wait_seconds, dry_run, as_json):
    """Stop sending new tasks to a worker; running tasks finish."""
    set_drained(operator, worker, True, wait_seconds, dry_run, as_json)


@click.command(epilog=format_example("cactuswalk undrain w7 --wait 5"))
@click.argument("worker")
@wait_option
@dry_run_option
@json_option
@pass_operator
@handle_errors
def undrain(operator, worker, wait_seconds, dry_run, as_json):
    """Send tasks to a drained worker again."""
    set_drained(operator, worker, False, wait_seconds, dry_run, as_json)


def set_drained(
    operator: OperatorContext,
    worker: str,
    drained: bool,
    wait_seconds: float | None,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Set whether a worker is drained."""
    body = {"drained": drained}
    change = ObjectChange(f"worker/{worker}", "PATCH", body, str(uuid.uuid4()))
    apply_changes(operator, [change], wait_seconds, dry_run, as_json)


def read_label(text: str) -> tuple[str, str | None]:
    """Parse a label and its value, which is None to remove the label."""
    name, sign, value = text.partition("=")
    if sign:
        return name, value
    if text.endswith("-"):
        return text[:-1], None
    raise UsageError(
        f"{text!r} is not a valid label", "Write LABEL=VALUE, or LABEL- to remove."
    )
