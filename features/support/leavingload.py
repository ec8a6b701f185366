"""Faults under load: workers that leave, and agents that are restarted in turn."""

import math

__all__ = ["restart_agents", "remove_workers"]

POLL_SECONDS = 0.05
# Between the end of a process and its restart.
RESTART_SECONDS = 0.6
GRACE_SECONDS = 5.3


def restart_agents(fleet, names, at_once, gap_seconds):
    """Stop and restart agents, ``at_once`` of them every ``gap_seconds``."""
    for number, name in enumerate(names):
        after = number // at_once * gap_seconds
        fleet.at(after, lambda name=name: _restart(fleet, name))


def _restart(fleet, name):
    fleet.terminate(name)
    state, kill_at = fleet.states[name], fleet.now + GRACE_SECONDS

    def poll():
        if state.is_idle(fleet.now) or fleet.now >= kill_at:
            fleet.kill(name)
            fleet.at(RESTART_SECONDS, lambda: fleet.start_agent(name))
        else:
            fleet.at(POLL_SECONDS, poll)

    fleet.at(POLL_SECONDS, poll)


def remove_workers(fleet, names, notice_seconds, away_seconds):
    """Have workers leave after a notice, and come back after ``away_seconds``."""
    for name in names:
        worker = fleet.workers[name]
        worker.draining, worker.leaves_in_ms = True, int(notice_seconds * 1000)
        fleet.announce(name)
        fleet.at(notice_seconds, lambda worker=worker: _leave(fleet, worker))
        back_after = notice_seconds + away_seconds
        fleet.at(back_after, lambda worker=worker: _come_back(worker))


def _leave(fleet, worker):
    worker.crash()
    worker.up = False


def _come_back(worker):
    worker.up, worker.draining, worker.leaves_in_ms = True, False, 0
    worker.lease_until = -math.inf
