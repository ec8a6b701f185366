"""What the daemons' commands share."""

import asyncio
import contextlib
import gc
import os
import signal
import sys
from collections.abc import Callable, Iterator

import click
import uvloop

import cactuswalk
from cactuswalk.errors import CactuswalkError
from cactuswalk.runtime.signals import STOP_SIGNALS

__all__ = ["daemon_command", "lean_loading"]

# Names the file of the authorities that TLS trusts; aiohttp reads it while it is
# imported.
AUTHORITIES_VARIABLE = "SSL_CERT_FILE"


def daemon_command(
    name: str, help_text: str, make: Callable, variable: str | None = None
) -> click.Command:
    """Return the command of a daemon.

    :param make: given the path of the settings, returns the process object.
    :param variable: of the environment, which names the settings if the option
        doesn't.
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
        try:
            process = make(path)
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(process.run())
                # A supervisor that asks again would kill a process that has
                # finished everything, and see a failed stop.
                for number in STOP_SIGNALS:
                    signal.signal(number, signal.SIG_IGN)
        except CactuswalkError as error:
            click.echo(error.show(), err=True)
            sys.exit(error.exit_code)
        except OSError as error:
            click.echo(f"Error [host]: {error}", err=True)
            sys.exit(1)

    return command


@contextlib.contextmanager
def lean_loading() -> Iterator[None]:
    """Import a process's modules without what it never needs.

    For daemons that speak plain HTTP alone: nothing that is loaded here, or after,
    trusts an authority. After a power cut callers wait for exactly this.
    """
    os.environ[AUTHORITIES_VARIABLE] = os.devnull
    gc.disable()
    try:
        yield
    finally:
        # What was loaded stays for good, and need not be looked through again.
        gc.freeze()
        gc.enable()
