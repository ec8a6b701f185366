"""The ``cactuswalk-entry`` command."""

from cactuswalk.commands.process import make_daemon_command
from cactuswalk.runtime.entry import EntryProcess
from cactuswalk.settings import load_entry

__all__ = ["main"]

HELP = """Run an entry, which serves callers and operators over HTTP.

GET /ready answers 200 while the entry can serve and 503 otherwise, for the
balancer. SIGTERM is a planned stop: /ready answers 503, requests in flight are
finished, and the exit status is 0. All mistakes in the settings are reported at
once, with exit status 2.

Example: cactuswalk-entry --settings examples/glenmorrow-entry.ini
"""

main = make_daemon_command(
    "cactuswalk-entry", HELP, lambda path: EntryProcess(load_entry(path))
)

if __name__ == "__main__":
    main()
