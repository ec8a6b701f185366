"""The ``cactuswalk-dispatch-agent`` command."""

from cactuswalk.commands.process import daemon_command, lean_loading
from cactuswalk.platform.names import SETTINGS_VARIABLE
from cactuswalk.runtime.listening import listen

__all__ = ["main"]

HELP = """Run the agent beside one worker of the platform.

Takes the worker's heartbeats, gives it the tasks that entries send, and runs
each only while its entry is heard. SIGTERM is a planned stop: what runs is
finished. Wrong settings are all reported at once, with exit status 2.

Example: cactuswalk-dispatch-agent --settings examples/dispatch-agent.ini
"""


def _make(path: str) -> object:
    from cactuswalk.settings.dispatch import load_dispatch_agent

    settings = load_dispatch_agent(path)
    # A worker whose heartbeat finds nobody pauses twice as long each time, and would
    # be heard long after its agent has come. A connection that waits for what loads
    # meanwhile is answered as soon as that is done.
    listener = listen(settings.announcements)

    with lean_loading():
        from cactuswalk.runtime.dispatchagent import DispatchAgentProcess

    return DispatchAgentProcess(settings, listener)


main = daemon_command(
    "cactuswalk-dispatch-agent",
    HELP,
    _make,
    variable=SETTINGS_VARIABLE,
)

if __name__ == "__main__":
    main()
