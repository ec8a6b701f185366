"""Measure the phases of a start of all processes of a small deployment.

All entries, agents and workers are killed and started at the same time, with the
store's stand-in up, while a caller tries to have a job answered. Prints the median
time of each phase by role, in milliseconds since each process's start, and the time
from the start of all processes until the first job is answered::

    PYTHONPATH=src:. python -m tools.startup --rounds 5 --half-core

With ``--half-core`` agents run for half of the time only, in turns of 10 ms, as with
a processor quota of half a core.
"""

import argparse
import json
import statistics
import threading
import time

from tools.deployment import Deployment
from tools.processes import Process, wait_until

ENTRIES = 2
WORKERS = 3
TURN_SECONDS = 0.01
MAX_ANSWER_SECONDS = 20.0
LINE = "has reached a phase of its start"


class HalfCore(threading.Thread):
    """Has processes run in every second turn only, until it is stopped."""

    def __init__(self, processes: list[Process]) -> None:
        super().__init__(daemon=True)
        self.processes = processes
        self.stopped = threading.Event()

    def run(self) -> None:
        """Freeze and unfreeze the processes in turns."""
        while not self.stopped.is_set():
            for process in self.processes:
                process.freeze()
            time.sleep(TURN_SECONDS)
            for process in self.processes:
                process.unfreeze()
            time.sleep(TURN_SECONDS)

    def end(self) -> None:
        """Have the processes run freely again."""
        self.stopped.set()
        self.join()


def read_phases(process: Process, offset: int) -> dict[str, float]:
    """Return the phases in a process's log after an offset, in seconds."""
    text = process.log.read_bytes()[offset:].decode()
    lines = [json.loads(line) for line in text.splitlines() if LINE in line]
    return {line["phase"]: line["seconds"] for line in lines}


def play_round(
    deployment: Deployment, half_core: bool, store_fault: str
) -> tuple[dict, float]:
    """Restart all processes; return the phases by process, and the first answer."""
    names = [name for name in deployment.processes if name != "store"]
    processes = [deployment[name] for name in names]
    for process in processes:
        process.kill()
    deployment.set_store_fault(store_fault)
    offsets = {process.name: process.log.stat().st_size for process in processes}
    began = time.monotonic()
    for process in processes:
        process.start()
    agents = [process for process in processes if process.name.startswith("agent")]
    turns = HalfCore(agents)
    if half_core:
        turns.start()
    answered = _wait_for_answer(deployment, began)
    if half_core:
        turns.end()
    wait_until(
        lambda: all(
            "first open worker" in read_phases(agent, offsets[agent.name])
            for agent in agents
        ),
        MAX_ANSWER_SECONDS,
        "the agents' workers",
    )
    phases = {
        process.name: read_phases(process, offsets[process.name])
        for process in processes
        if not process.name.startswith("worker")
    }
    return phases, answered


def _wait_for_answer(deployment: Deployment, began: float) -> float:
    """Return after how many seconds a job was first answered as completed."""
    while time.monotonic() - began < MAX_ANSWER_SECONDS:
        try:
            status, body, _ = deployment.submit(0, 1, 1)
        except OSError:
            status, body = 0, {}
        if status == 200 and body.get("state") == "completed":
            return time.monotonic() - began
        time.sleep(0.005)
    return float("inf")


def main() -> None:
    """Run the rounds and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--half-core", action="store_true")
    parser.add_argument("--store-fault", default="")
    arguments = parser.parse_args()
    times: dict[tuple[str, str], list[float]] = {}
    answers = []
    with Deployment(ENTRIES, WORKERS) as deployment:
        deployment.wait_ready()
        for _ in range(arguments.rounds):
            phases, answered = play_round(
                deployment, arguments.half_core, arguments.store_fault
            )
            deployment.set_store_fault("")
            answers.append(answered)
            for name, reached in phases.items():
                for phase, seconds in reached.items():
                    role = name.partition("-")[0]
                    times.setdefault((role, phase), []).append(seconds)
    for (role, phase), seconds in times.items():
        middle = 1000 * statistics.median(seconds)
        print(f"{role:6} {phase:18} {middle:6.0f} ms  ({len(seconds)} starts)")
    print(f"first answer {1000 * statistics.median(answers):.0f} ms after all starts")


if __name__ == "__main__":
    main()
