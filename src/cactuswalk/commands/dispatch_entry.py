"""The ``cactuswalk-dispatch-entry`` command."""

from cactuswalk.commands.process import daemon_command, lean_loading
from cactuswalk.platform.names import SETTINGS_VARIABLE
from cactuswalk.runtime.listening import listen

__all__ = ["main"]

HELP = """Run an entry on the platform.

Takes jobs over HTTP, places their tasks on workers through the agents beside
them, and answers when a job has ended. SIGTERM is a planned stop: what was taken
is finished. Wrong settings are all reported at once, with exit status 2.

Example: cactuswalk-dispatch-entry --settings examples/dispatch-entry.ini
"""


def _make(path: str) -> object:
    from cactuswalk.settings.dispatch import load_dispatch_entry

    settings = load_dispatch_entry(path)
    # The balancer asks once a second. A question that comes while this loads is
    # answered when it is done, not refused for another second.
    listener = listen(settings.readiness)

    with lean_loading():
        from cactuswalk.runtime.dispatchentry import DispatchEntryProcess

    return DispatchEntryProcess(settings, listener)


main = daemon_command(
    "cactuswalk-dispatch-entry",
    HELP,
    _make,
    variable=SETTINGS_VARIABLE,
)

if __name__ == "__main__":
    main()
