"""The command that validates the settings of daemons before they start."""

import importlib

import click

from cactuswalk.commands.operator_context import (
    format_example,
    handle_errors,
    json_option,
    show_json,
)

__all__ = ["check_settings"]

LOADERS = {
    "entry": "load_entry",
    "agent": "load_agent",
    "dispatch-entry": "load_dispatch_entry",
    "dispatch-agent": "load_dispatch_agent",
}


@click.command(
    name="check-settings",
    epilog=format_example("cactuswalk check-settings entry /etc/cactuswalk/entry.ini"),
)
@click.argument("role", type=click.Choice(list(LOADERS)))
@click.argument("path", type=click.Path())
@json_option
@handle_errors
def check_settings(role, path, as_json):
    """Validate a settings file as the daemon does at start; exit 2 if invalid.

    All mistakes are shown, each with its field, value and remedy. No entry is
    contacted.
    """
    # Imported here, since no other command needs the settings of the daemons.
    settings = importlib.import_module("cactuswalk.settings")
    getattr(settings, LOADERS[role])(path)
    if as_json:
        show_json({"role": role, "path": path, "correct": True})
        return
    click.echo(f"{path}: correct settings of cactuswalk-{role}")
