"""The command that changes cells: retire."""

import urllib.parse

import click

from cactuswalk.commands.operator_client import EntryClient
from cactuswalk.commands.operator_context import (
    example,
    json_option,
    pass_operator,
    reports_errors,
    show_json,
)

__all__ = ["retire"]


@click.command(epilog=example("cactuswalk retire north --to south --hosts-are-off"))
@click.argument("cell")
@click.option("--to", required=True, metavar="CELL", help="Cell that takes its share.")
@click.option(
    "--hosts-are-off",
    is_flag=True,
    help="Your word that no host of the cell runs, nor will again.",
)
@json_option
@pass_operator
@reports_errors
def retire(operator, cell, to, hosts_are_off, as_json):
    """Give the share of a cell whose hosts are gone for good to another cell.

    Its callers' keys of before are told unknown; nothing of them runs again.
    """
    path = f"/operator/cells/{urllib.parse.quote(cell, safe='')}/retire"
    query = {"to": to, "hosts_are_off": "1" if hosts_are_off else "0"}

    async def talk(client: EntryClient) -> dict:
        return (await client.act(path, query)).fields

    found = operator.converse(talk)
    if as_json:
        show_json(found)
        return
    done = "retired" if found["written"] else "was retired before"
    click.echo(f"{cell}: {done}; new keys go to {found['to']}")
