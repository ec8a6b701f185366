"""The ``cactuswalk-dispatch-entry`` command."""

from cactuswalk.commands.process import fast_imports, make_daemon_command
from cactuswalk.platform.names import SETTINGS_VARIABLE
from cactuswalk.runtime.listening import listen
from cactuswalk.runtime.startclock import StartClock

__all__ = ["main"]

HELP = """Run an entry on the platform.

Receives jobs over HTTP, places their tasks on workers through the agents on their
hosts, and answers when a job has ended. SIGTERM is a planned stop: accepted jobs are
finished. All mistakes in the settings are reported at once, with exit status 2.

Example: cactuswalk-dispatch-entry --settings examples/dispatch-entry.ini
"""


def _make(path: str) -> object:
    clock = StartClock()
    clock.reach("process")
    from cactuswalk.settings.dispatch import load_dispatch_entry

    settings = load_dispatch_entry(path)
    clock.reach("settings")
    # Listens before the imports: the balancer checks once a second, and a check that
    # is accepted now is answered after the imports instead of a second later.
    listener = listen(settings.readiness)

    with fast_imports():
        from cactuswalk.runtime.dispatchentry import DispatchEntryProcess

    clock.reach("modules")
    return DispatchEntryProcess(settings, listener, clock)


main = make_daemon_command(
    "cactuswalk-dispatch-entry",
    HELP,
    _make,
    variable=SETTINGS_VARIABLE,
)

if __name__ == "__main__":
    main()
