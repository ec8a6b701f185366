"""Options, output and error handling shared by the operators' commands."""

import configparser
import functools
import json
import sys
from collections.abc import Callable, Iterable

import click

from cactuswalk.commands.operator_client import EntryClient, run
from cactuswalk.errors import CactuswalkError, UsageError

__all__ = [
    "OperatorContext",
    "format_example",
    "json_option",
    "pass_operator",
    "read_settings",
    "handle_errors",
    "show_json",
    "show_table",
    "wait_option",
]

SECTION = "operator"
FIELDS = ("endpoint", "token", "certificate")


class OperatorContext:
    """Addresses of the entries, and the credentials for them."""

    __slots__ = ("endpoints", "token", "certificate")

    def __init__(self, endpoints: list[str], token: str, certificate: str) -> None:
        self.endpoints = endpoints
        self.token = token
        self.certificate = certificate

    def client(self) -> EntryClient:
        """Return a client.

        :raises UsageError: if no entry or token is configured.
        """
        if not self.endpoints:
            raise UsageError(
                "no entry is configured",
                "Give --endpoint http://IP:PORT, CACTUSWALK_ENDPOINT, or 'endpoint' "
                f"under [{SECTION}] in the file of --settings.",
            )
        if not self.token:
            raise UsageError(
                "no token is configured",
                f"Set CACTUSWALK_TOKEN, or 'token' under [{SECTION}] in the file of "
                "--settings.",
            )
        return EntryClient(self.endpoints, self.token, self.certificate)

    def run_with_client(self, request: Callable) -> object:
        """Run ``request(client)`` with an open client and return its result."""

        async def open_and_request() -> object:
            async with self.client() as client:
                return await request(client)

        return run(open_and_request())


pass_operator = click.make_pass_decorator(OperatorContext)

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON for scripts."
)

wait_option = click.option(
    "--wait",
    "wait_seconds",
    type=click.FloatRange(min=0),
    metavar="SECONDS",
    help="Wait until the change is in force on every node; exit 8 if it takes longer.",
)


def format_example(*lines: str) -> str:
    """Return an example for the end of a command's help, which click does not wrap."""
    return "\n".join(("\b", "Example:", *(f"  {line}" for line in lines)))


def read_settings(path: str | None) -> dict[str, str]:
    """Return the fields of [operator] in an INI file.

    :raises UsageError: for a file that can't be read or has other fields.
    """
    if path is None:
        return {}
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as stream:
            parser.read_file(stream)
        fields = dict(parser[SECTION])
    except (OSError, UnicodeDecodeError, configparser.Error, KeyError) as error:
        raise UsageError(
            f"the settings {path} can't be read: {error}",
            f"Write an INI file with [{SECTION}] and {', '.join(FIELDS)}.",
        ) from error
    unknown = sorted(fields.keys() - set(FIELDS))
    if unknown:
        raise UsageError(
            f"{path}: [{SECTION}] {unknown[0]} = {fields[unknown[0]]} is unknown",
            f"Remove it; there are {', '.join(FIELDS)}.",
        )
    return fields


def handle_errors(command: Callable) -> Callable:
    """Make a command end with an error's message, remedy and exit status."""

    @functools.wraps(command)
    def wrapped(*arguments: object, **options: object) -> object:
        try:
            return command(*arguments, **options)
        except CactuswalkError as error:
            if options.get("as_json"):
                show_json({"error": error_fields(error)})
            click.echo(error.show(), err=True)
            sys.exit(error.exit_code)

    return wrapped


def error_fields(error: CactuswalkError) -> dict[str, object]:
    """Return the fields of an error in JSON output."""
    fields = {"code": error.code, "message": error.message, "remedy": error.remedy}
    return fields | getattr(error, "fields", {})


def show_json(value: object) -> None:
    """Print a value as JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True, ensure_ascii=False))


def show_table(headings: tuple[str, ...], rows: Iterable[tuple]) -> None:
    """Print a table with aligned columns."""
    lines = [headings, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())
