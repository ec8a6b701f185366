"""The options of the daemons' commands, parsed with click."""

from collections.abc import Callable

import click

import cactuswalk

__all__ = ["run_with_options"]


def run_with_options(
    name: str, help_text: str, run: Callable[[str], None], variable: str | None
) -> None:
    """Parse the options and call ``run`` with the path of the settings.

    :param variable: environment variable with the path of the settings, used if the
        option is not given.
    """

    @click.command(name, help=help_text)
    @click.version_option(cactuswalk.__version__, prog_name=name)
    @click.option(
        "--settings",
        "path",
        required=True,
        envvar=variable,
        type=click.Path(exists=True, dir_okay=False),
        help="The INI file with this process's settings.",
    )
    def command(path: str) -> None:
        run(path)

    command()
