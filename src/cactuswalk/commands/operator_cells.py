"""The command that changes cells: retire."""

import urllib.parse

import click

from cactuswalk.commands.operator_client import EntryClient
from cactuswalk.commands.operator_context import (
    format_example,
    handle_errors,
    json_option,
    pass_operator,
    show_json,
)

__all__ = ["retire"]


@click.command(
    epilog=format_example("cactuswalk retire north --to south --hosts-are-off")
)
@click.argument("cell")
@click.option(
    "--to", required=True, metavar="CELL", help="Cell that takes over its slots."
)
@click.option(
    "--hosts-are-off",
    is_flag=True,
    help="Confirm that no host of the cell runs, or ever will again.",
)
@json_option
@pass_operator
@handle_errors
def retire(operator, cell, to, hosts_are_off, as_json):
    """Transfer the slots of a cell whose hosts are permanently gone to another.

    Submissions made to it earlier get the outcome unknown; none of them runs again.
    """
    path = f"/operator/cells/{urllib.parse.quote(cell, safe='')}/retire"
    query = {"to": to, "hosts_are_off": "1" if hosts_are_off else "0"}

    async def request(client: EntryClient) -> dict:
        return (await client.post(path, query)).fields

    found = operator.run_with_client(request)
    if as_json:
        show_json(found)
        return
    done = "retired" if found["written"] else "was retired before"
    click.echo(f"{cell}: {done}; new keys go to {found['to']}")
