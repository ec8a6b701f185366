"""Time limits that prevent a task from running twice at the same time.

The limits form a chain of leases. An entry is responsible for a job; an agent runs the
job's tasks only while it hears from that entry; a worker runs them only while it
hears from its agent. A caller whose connection breaks sends its job again to any
entry, so all runs of the first attempt must have ended before that.
"""

__all__ = [
    "CALL_TIMEOUT_SECONDS",
    "CLOCK_DRIFT",
    "ENTRY_LEASE_SECONDS",
    "HEARD_SECONDS",
    "KEEPALIVE_SECONDS",
    "MARGIN_SECONDS",
    "MAX_READING_AGE_SECONDS",
    "RESEND_SECONDS",
    "RESUME_SECONDS",
    "STOP_MARGIN_SECONDS",
    "UNHEARD_SECONDS",
    "WORKER_LEASE_SECONDS",
    "agent_lapse_seconds",
    "longest_lapse_seconds",
    "orphan_lapse_seconds",
    "worker_lapse_seconds",
]

# Interval of messages between an entry and an agent that runs tasks for it: four in a
# row may be lost before a lease expires.
KEEPALIVE_SECONDS = 0.1

# An agent runs an entry's tasks for this long after the latest of its own stamps that
# the entry has returned. Longer than a pause of a busy Python process (a tenth of
# a second under a processor quota), a third of the time after which a caller sends a
# job again.
ENTRY_LEASE_SECONDS = 0.5

# A worker's lease on all its runs. Renewed with each poll, at most
# POLL_WAIT_SECONDS apart; the platform allows a second at most.
WORKER_LEASE_SECONDS = 0.5

# The longest lease that a worker accepts (given by the platform), in seconds.
MAX_WORKER_LEASE_SECONDS = 1.0

# Fraction by which a worker's clock may run slow (given by the platform). A lease is
# converted to the worker's clock with a reading of that clock, and made shorter by
# this fraction of the time from the reading to the lease's end.
CLOCK_DRIFT = 0.02

# Oldest reading of the worker's clock with which a start is sent: the drift takes
# 0.04 s of the lease, so that three polls still fit in it. Heartbeats bring a reading
# every 1.5 s.
MAX_READING_AGE_SECONDS = 2.0

# A call to a worker on the same host takes 1 to 2 ms, or 10 ms with ten concurrent
# calls. A short task has 0.13 s to spare within its target: in that time a lost call
# has to be noticed, cancelled and repeated on another worker.
CALL_TIMEOUT_SECONDS = 0.03

# A stopping process has answered or ended its remaining work this long before it is
# killed.
STOP_MARGIN_SECONDS = 0.7

# An agent that was not heard for this long gets no new tasks: two reports were lost.
HEARD_SECONDS = 0.5

# An agent counts an entry as disconnected if no message came for this long, several
# keepalives: what the entry sends is lost, even if it still hears the agent.
UNHEARD_SECONDS = 1.0

# Earliest time at which a caller sends a job again after a connection broke that its
# entry had accepted (given by the platform: 1,300 ms).
RESEND_SECONDS = 1.3

# An entry that was paused for longer than its leases at the agents starts no tasks for
# this long. Meanwhile it learns which callers have gone: a disconnection is handled in
# the third turn of the event loop, and a turn handles a bounded number of messages.
RESUME_SECONDS = 0.25

# Covers the timers of two processes, and one late event loop iteration in each.
MARGIN_SECONDS = 0.1


def worker_lapse_seconds() -> float:
    """Return how long a worker may run tasks after a renewal was decided, in seconds.

    The lease ends at the worker within WORKER_LEASE_SECONDS, whatever its clock does
    (``platform.workerclock``); the rest is for its timer.
    """
    return WORKER_LEASE_SECONDS * (1 + CLOCK_DRIFT)


def longest_lapse_seconds() -> float:
    """Return how long a run may go on whose lease isn't known, in seconds.

    A call's lease is converted with one incarnation's clock. If the worker's next
    incarnation carries the call out, only the platform's maximum bounds it.
    """
    return MAX_WORKER_LEASE_SECONDS * (1 + CLOCK_DRIFT)


def orphan_lapse_seconds() -> float:
    """Return how long tasks may run after their entry's last sign of life, in seconds.

    Counted from the latest of the agent's stamps that the entry has returned. The agent
    stops them when the entry's lease expires. However many of these stops are lost,
    it renews the worker's lease no further than one worker lease after that.
    """
    return ENTRY_LEASE_SECONDS + worker_lapse_seconds()


def agent_lapse_seconds() -> float:
    """Return after how many seconds an entry may rerun a silent agent's tasks.

    Counted from the agent's last report, which brought the latest stamp that
    can have been returned: the agent renews the worker's lease while that stamp is
    valid, and may be paused right after a renewal.
    """
    return ENTRY_LEASE_SECONDS + worker_lapse_seconds() + MARGIN_SECONDS
