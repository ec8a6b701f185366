"""Start, freeze, kill and end child processes by name.

For tests and tools only: cactuswalk itself starts no processes. A process is ended
only by the ``Process`` that started it.
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

# Time limit for a process to finish its work in flight after SIGTERM.
MAX_STOP_S = 10.0
POLL_INTERVAL_S = 0.02


class LaunchError(Exception):
    """A process did not start, did not become ready, or ended by itself."""


def free_ports(count: int) -> list[int]:
    """Return free loopback ports that the kernel gives to no other process meanwhile.

    A port found by binding to 0 and closing the socket may be given to the next
    process that asks, so that features running in parallel get the same ports. A
    finished connection leaves the port in TIME_WAIT instead: for a minute the kernel
    doesn't choose it for others, but a server can still bind it by its number.
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


def wait_until(condition, timeout_s: float, description: str) -> None:
    """Return once ``condition()`` is true.

    :param description: what the caller waits for, for the error message.
    :raises LaunchError: if the condition is not true within ``timeout_s``.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise LaunchError(f"{description}: timed out after {timeout_s} s")
        time.sleep(POLL_INTERVAL_S)


def _die_with_parent() -> None:
    """Have the kernel kill this child process if the launcher ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process of a deployment, which logs to a file in ``directory``.

    :param arguments: module and arguments, after ``python -m``.
    """

    __slots__ = ("arguments", "handle", "log", "name")

    def __init__(self, name: str, arguments: list[str], directory: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = directory / f"{name}.log"
        self.handle: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, or restart it after it has ended."""
        if self.alive:
            raise LaunchError(f"{self.name} is already running")
        with self.log.open("ab") as log:
            self.handle = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=ROOT,
                env={"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}", "PYTHONHASHSEED": "0"},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Ctrl-C at the terminal then reaches only the launcher, which ends
                # the others in its own order.
                process_group=0,
                preexec_fn=_die_with_parent,
            )

    @property
    def alive(self) -> bool:
        """Return whether the process is running, frozen or not."""
        return self.handle is not None and self.handle.poll() is None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._running().pid

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, None while the process is running."""
        return self.handle.poll() if self.handle else None

    def kill(self) -> None:
        """Send SIGKILL, which simulates a host failure, and wait for the end."""
        self._running().kill()
        self._running().wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP, which it can't detect."""
        self._running().send_signal(signal.SIGSTOP)

    def unfreeze(self) -> None:
        """Resume a frozen process."""
        self._running().send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM for a planned stop and return at once."""
        self._running().terminate()

    def wait(self, timeout_s: float = MAX_STOP_S) -> int:
        """Wait for the process to end and return its exit status.

        :raises LaunchError: if it is still running after ``timeout_s``.
        """
        try:
            return self._running().wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise LaunchError(
                f"{self.name} is still running after {timeout_s} s"
            ) from error

    def end(self) -> None:
        """Kill the process unless it has ended."""
        if self.alive:
            self.kill()

    def tail(self, lines: int = 15) -> str:
        """Return the last lines of the process's log."""
        if not self.log.exists():
            return ""
        text = self.log.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def _running(self) -> subprocess.Popen:
        if self.handle is None:
            raise LaunchError(f"{self.name} was never started")
        return self.handle
