"""The time limits by which no task ever runs twice at once, and their sum.

Three leases follow one another. An entry answers for a job; an agent runs the
job's tasks only while it hears from that entry; a worker runs them only while it
hears from its agent. A caller whose connection breaks sends its job again to any
entry, so everything that ran for the first try has to have ended before that.
"""

__all__ = [
    "CALL_TIMEOUT_SECONDS",
    "CLOCK_DRIFT",
    "ENTRY_LEASE_SECONDS",
    "HEARD_SECONDS",
    "MARGIN_SECONDS",
    "PULSE_SECONDS",
    "RESEND_SECONDS",
    "STOP_MARGIN_SECONDS",
    "STOP_SECONDS",
    "UNHEARD_SECONDS",
    "WORKER_LEASE_SECONDS",
    "agent_lapse_seconds",
    "orphan_lapse_seconds",
    "worker_lapse_seconds",
]

# How often an entry and an agent that share work speak to each other: four in a
# row may be lost before a lease ends.
PULSE_SECONDS = 0.1

# An agent runs an entry's tasks this long after the last of its own stamps that
# the entry has returned. Longer than a pause of a busy Python process (a tenth of
# a second where processor time is a quota), a third of the time after which a
# caller sends a job again.
ENTRY_LEASE_SECONDS = 0.5

# A worker's lease on all that it runs. Renewed with each look at it, at most
# every LOOK_WAIT_SECONDS; the platform allows a second at most.
WORKER_LEASE_SECONDS = 0.5

# A worker's clock may run this much slow (platform's figure).
CLOCK_DRIFT = 0.02

# How long a worker takes to stop a task (platform's figure).
STOP_SECONDS = 0.05

# A call of a worker on the same host takes 1 to 2 ms, 10 when ten come at once. A
# short task has 0.13 s to spare within its aim: a call that is lost has to be
# noticed, forbidden and made elsewhere within that.
CALL_TIMEOUT_SECONDS = 0.03

# A stopping process has answered, or ended, what is left this long before it is
# killed.
STOP_MARGIN_SECONDS = 0.7

# An agent that was not heard for this long gets nothing new: two reports were lost.
HEARD_SECONDS = 0.5

# An entry that was not heard for this long doesn't reach the agent: several pulses.
# What it sends there would be lost, though it hears the agent well.
UNHEARD_SECONDS = 1.0

# The soonest a caller sends a job again after its connection broke (platform's
# figure, 1,300 ms).
RESEND_SECONDS = 1.3

# Two processes' timers and one late turn of the loop each.
MARGIN_SECONDS = 0.1


def worker_lapse_seconds() -> float:
    """Return how long after a renewal was sent a worker may run on, in seconds."""
    return WORKER_LEASE_SECONDS * (1 + CLOCK_DRIFT)


def orphan_lapse_seconds() -> float:
    """Return how long tasks may outlive the entry that answers for them.

    The agent stops them when the entry's lease ends; where the agent has gone as
    well, the worker's lease ends them sooner.
    """
    stopped = ENTRY_LEASE_SECONDS + CALL_TIMEOUT_SECONDS + STOP_SECONDS
    return max(stopped, worker_lapse_seconds())


def agent_lapse_seconds() -> float:
    """Return when an entry may run a silent agent's tasks elsewhere.

    Counted from the agent's last report, which brought the youngest stamp that
    can have been returned: the agent renews the worker's lease for as long as
    that stamp is fresh, and may be paused then.
    """
    return ENTRY_LEASE_SECONDS + worker_lapse_seconds() + MARGIN_SECONDS
