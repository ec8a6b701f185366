"""Common parts of the daemons' commands."""

import asyncio
import contextlib
import gc
import os
import signal
import sys
from collections.abc import Callable, Iterator

import uvloop

from cactuswalk.errors import CactuswalkError
from cactuswalk.runtime.signals import STOP_SIGNALS

__all__ = ["make_daemon_command", "fast_imports"]

# Path of the certificate authorities that TLS trusts; aiohttp loads the file while it
# is imported.
AUTHORITIES_VARIABLE = "SSL_CERT_FILE"


def make_daemon_command(
    name: str, help_text: str, make: Callable, variable: str | None = None
) -> Callable[[], None]:
    """Return the command of a daemon.

    :param make: called with the path of the settings; returns the process object.
    :param variable: environment variable with the path of the settings, used if the
        option is not given.
    """

    def run(path: str) -> None:
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
            print(error.show(), file=sys.stderr)
            sys.exit(error.exit_code)
        except OSError as error:
            print(f"Error [host]: {error}", file=sys.stderr)
            sys.exit(1)

    def command() -> None:
        path = _find_settings(sys.argv[1:], variable)
        if path is not None:
            run(path)
            return
        # Not loaded for the usual command line, as a supervisor gives it: after a power
        # failure callers wait until the modules have loaded.
        from cactuswalk.commands.daemonoptions import run_with_options

        run_with_options(name, help_text, run, variable)

    return command


def _find_settings(arguments: list[str], variable: str | None) -> str | None:
    """Return the path of the settings if nothing else has to be parsed or reported."""
    if not arguments and variable:
        path = os.environ.get(variable, "")
    elif len(arguments) == 2 and arguments[0] == "--settings":
        path = arguments[1]
    else:
        return None
    return path if os.path.isfile(path) and os.access(path, os.R_OK) else None


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
