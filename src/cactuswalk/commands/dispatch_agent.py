"""The ``cactuswalk-dispatch-agent`` command."""

from cactuswalk.commands.process import daemon_command
from cactuswalk.platform.names import SETTINGS_VARIABLE
from cactuswalk.runtime.dispatchagent import DispatchAgentProcess
from cactuswalk.settings.dispatch import load_dispatch_agent

__all__ = ["main"]

HELP = """Run the agent beside one worker of the platform.

Takes the worker's heartbeats, gives it the tasks that entries send, and runs
each only while its entry is heard. SIGTERM is a planned stop: what runs is
finished. Wrong settings are all reported at once, with exit status 2.

Example: cactuswalk-dispatch-agent --settings examples/dispatch-agent.ini
"""

main = daemon_command(
    "cactuswalk-dispatch-agent",
    HELP,
    lambda path: DispatchAgentProcess(load_dispatch_agent(path)),
    variable=SETTINGS_VARIABLE,
)

if __name__ == "__main__":
    main()
