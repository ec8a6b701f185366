"""The ``cactuswalk-agent`` command."""

from cactuswalk.commands.process import make_daemon_command
from cactuswalk.runtime.agent import AgentProcess
from cactuswalk.settings import load_agent

__all__ = ["main"]

HELP = """Run the agent on the host of one upstream.

The upstream announces itself on the loopback; the agent starts each task that the
cell's owner sends once, and records it. SIGTERM is a planned stop: running tasks are
finished, the cell is handed over if this agent owns it, and the exit status is 0.
All mistakes in the settings are reported at once, with exit status 2.

Example: cactuswalk-agent --settings examples/glenmorrow-agent.ini
"""

main = make_daemon_command(
    "cactuswalk-agent", HELP, lambda path: AgentProcess(load_agent(path))
)

if __name__ == "__main__":
    main()
