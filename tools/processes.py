"""Start, freeze, kill and end processes by name, and leave none behind.

For tests and tools only: the product starts no process. Whoever starts one
here ends it here, by its own handle.
"""

import ctypes
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

__all__ = ["LaunchError", "Process", "free_ports", "wait_until"]

ROOT = Path(__file__).resolve().parent.parent

# From <sys/prctl.h>: the kernel sends the child a signal when its parent dies.
PR_SET_PDEATHSIG = 1

# How long a process that was told to stop has to finish what it has in flight.
GRACE_S = 10.0
POLL_S = 0.02


class LaunchError(Exception):
    """A process did not start, did not become ready, or ended by itself."""


def free_ports(count: int) -> list[int]:
    """Return free loopback ports that nobody else is handed meanwhile.

    A port that is bound to 0 and closed again is free for the next process
    that asks, and features that run side by side then steal each other's. A
    finished connection leaves the port in TIME_WAIT instead: for a minute the
    kernel hands it to nobody, but a server that names it can still bind it.
    """
    return [_reserve_port() for _ in range(count)]


def _reserve_port() -> int:
    with socket.socket() as listener, socket.socket() as client:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        client.connect(listener.getsockname())
        accepted, _ = listener.accept()
        # The side that closes first keeps the port in TIME_WAIT.
        accepted.close()
        return listener.getsockname()[1]


def wait_until(condition, timeout_s: float, what: str) -> None:
    """Return once ``condition()`` is true.

    :raises LaunchError: after ``timeout_s``, naming ``what`` was waited for.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise LaunchError(f"{what}: not within {timeout_s} s")
        time.sleep(POLL_S)


def _die_with_parent() -> None:
    """Ask the kernel to end this child if the launcher is killed itself."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process of a deployment, with its log in the given directory.

    :param arguments: after ``python -m``.
    """

    __slots__ = ("arguments", "handle", "log", "name")

    def __init__(self, name: str, arguments: list[str], directory: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = directory / f"{name}.log"
        self.handle: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it, or start it again after it has ended."""
        if self.alive:
            raise LaunchError(f"{self.name} runs already")
        with self.log.open("ab") as log:
            self.handle = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=ROOT,
                env={"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}", "PYTHONHASHSEED": "0"},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Ctrl-C at the terminal goes to the launcher alone, which then
                # ends the others in its own order.
                process_group=0,
                preexec_fn=_die_with_parent,
            )

    @property
    def alive(self) -> bool:
        """Return whether it runs (a frozen process does)."""
        return self.handle is not None and self.handle.poll() is None

    @property
    def pid(self) -> int:
        """Return its process id."""
        return self._running().pid

    @property
    def exit_status(self) -> int | None:
        """Return how it ended, None while it runs."""
        return self.handle.poll() if self.handle else None

    def kill(self) -> None:
        """Kill it at once, as a host's death would."""
        self._running().kill()
        self._running().wait()

    def freeze(self) -> None:
        """Pause it without its knowing."""
        self._running().send_signal(signal.SIGSTOP)

    def unfreeze(self) -> None:
        """Let a frozen process go on."""
        self._running().send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a planned stop and return at once."""
        self._running().terminate()

    def wait(self, timeout_s: float = GRACE_S) -> int:
        """Return the exit status once it has ended.

        :raises LaunchError: if it runs on.
        """
        try:
            return self._running().wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise LaunchError(f"{self.name} runs on after {timeout_s} s") from error

    def end(self) -> None:
        """End it whatever its state; nothing happens if it has ended."""
        if self.alive:
            self.kill()

    def tail(self, lines: int = 15) -> str:
        """Return the end of its log."""
        if not self.log.exists():
            return ""
        text = self.log.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def _running(self) -> subprocess.Popen:
        if self.handle is None:
            raise LaunchError(f"{self.name} was never started")
        return self.handle
