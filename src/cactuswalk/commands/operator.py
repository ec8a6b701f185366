"""The ``cactuswalk`` command for operators."""

import click

from cactuswalk import __version__
from cactuswalk.commands import operator_changes, operator_views
from cactuswalk.commands.operator_cells import retire
from cactuswalk.commands.operator_context import (
    OperatorContext,
    handle_errors,
    read_settings,
)
from cactuswalk.commands.operator_settings import check_settings
from cactuswalk.commands.operator_trace import trace

__all__ = ["main", "operator_group"]


@click.group(
    name="cactuswalk",
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="Exit status: 0 success, 1 internal error, 2 invalid input, 3 not found, "
    "4 conflict with another change, 5 not written, 6 outcome unknown, 7 no valid "
    "token, 8 not in force in time, 9 no entry reached.",
)
@click.option(
    "--endpoint",
    "endpoints",
    multiple=True,
    envvar="CACTUSWALK_ENDPOINT",
    metavar="URL",
    help="Operators' address of an entry; repeat it for more entries.",
)
@click.option(
    "--token",
    envvar="CACTUSWALK_TOKEN",
    metavar="TOKEN",
    help="Better set as CACTUSWALK_TOKEN, since other users can read command lines.",
)
@click.option(
    "--settings",
    envvar="CACTUSWALK_SETTINGS",
    type=click.Path(),
    metavar="FILE",
    help="INI file with endpoint, token and certificate under [operator].",
)
@click.version_option(__version__, prog_name="cactuswalk")
@click.pass_context
@handle_errors
def operator_group(context, endpoints, token, settings):
    """Manage Cactuswalk: services, workers, job templates and teams, by labels.

    Options override environment variables, which override the file of
    --settings.
    """
    fields = read_settings(settings)
    named = list(endpoints) or fields.get("endpoint", "").split()
    context.obj = OperatorContext(
        named, token or fields.get("token", ""), fields.get("certificate", "")
    )


for command in (
    operator_changes.apply,
    operator_changes.delete,
    operator_changes.drain,
    operator_changes.label,
    operator_changes.undrain,
    retire,
    operator_views.describe,
    operator_views.explain,
    operator_views.get,
    operator_views.history,
    operator_views.status,
    operator_views.wait,
    check_settings,
    trace,
):
    operator_group.add_command(command)


def main() -> None:
    """Run the command."""
    operator_group()


if __name__ == "__main__":
    main()
