"""Common parts of the daemons' commands."""

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

__all__ = ["make_daemon_command", "fast_imports"]

# Path of the certificate authorities that TLS trusts; aiohttp loads the file while it
# is imported.
AUTHORITIES_VARIABLE = "SSL_CERT_FILE"


def make_daemon_command(
    name: str, help_text: str, make: Callable, variable: str | None = None
) -> click.Command:
    """Return the command of a daemon.

    :param make: called with the path of the settings; returns the process object.
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
        try:
            process = make(path)
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(process.run())
                # Ignored from here on: a second signal from a supervisor would kill a
                # process that has finished all its work, which looks like a failed
                # stop.
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
def fast_imports() -> Iterator[None]:
    """Import a process's modules without garbage collection and TLS authorities.

    For daemons that use plain HTTP only: no code that is loaded here, or later, has to
    trust an authority. After a power failure, callers wait for these imports.
    """
    os.environ[AUTHORITIES_VARIABLE] = os.devnull
    gc.disable()
    try:
        yield
    finally:
        # The imported objects stay until exit, so collections can skip them.
        gc.freeze()
        gc.enable()
