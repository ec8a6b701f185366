"""The ``cactuswalk-dispatch-agent`` command."""

from cactuswalk.commands.process import fast_imports, make_daemon_command
from cactuswalk.platform.names import SETTINGS_VARIABLE
from cactuswalk.runtime.listening import listen
from cactuswalk.runtime.startclock import StartClock

__all__ = ["main"]

HELP = """Run the agent beside one worker of the platform.

Receives the worker's heartbeats and runs the tasks that entries send on it, each
only while the agent hears its entry. SIGTERM is a planned stop: running tasks are
finished. All mistakes in the settings are reported at once, with exit status 2.

Example: cactuswalk-dispatch-agent --settings examples/dispatch-agent.ini
"""


def _make(path: str) -> object:
    clock = StartClock()
    clock.reach("process")
    from cactuswalk.settings.dispatch import load_dispatch_agent

    settings = load_dispatch_agent(path)
    clock.reach("settings")
    # Listens before the imports: a worker whose heartbeat is refused doubles its delay
    # each time and would be found long after the agent has started. A connection that
    # is accepted now is answered as soon as the imports are done.
    listener = listen(settings.announcements)

    with fast_imports():
        from cactuswalk.runtime.dispatchagent import DispatchAgentProcess

    clock.reach("modules")
    return DispatchAgentProcess(settings, listener, clock)


main = make_daemon_command(
    "cactuswalk-dispatch-agent",
    HELP,
    _make,
    variable=SETTINGS_VARIABLE,
)

if __name__ == "__main__":
    main()
