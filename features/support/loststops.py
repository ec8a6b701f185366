"""Jobs whose first runs should be stopped while stops are lost on their way."""

from cactuswalk.dispatch.bounds import RESEND_SECONDS
from cactuswalk.dispatch.effects import StopTask
from cactuswalk.dispatch.messages import Stop
from features.support.fleet import JOB, Fleet
from features.support.fleetworker import CallFaults

__all__ = ["CASES", "LostStops"]

TASKS = 8
TASK_SECONDS = 1.8
FAULT_AFTER_SECONDS = 0.3
RESTART_SECONDS = 0.3


class LostStops:
    """A job at e0 that something ends, so that its caller submits it again at e1.

    :param share: of the stop calls to all workers that is lost.
    """

    def __init__(self, seed, share=1.0):
        self.fleet = Fleet(2, 4, seed)
        for worker in self.fleet.workers.values():
            worker.call_faults[StopTask] = CallFaults(lost_share=share)
        self.waiter = self.submit("e0")
        self.fleet.run(FAULT_AFTER_SECONDS)

    def play(self, case):
        """Have the first runs end for a reason, and submit the job again."""
        CASES[case](self)
        self.fleet.run(9.0)
        return self.fleet

    def submit(self, entry):
        return self.fleet.submit(entry, JOB, TASKS, seconds=TASK_SECONDS, wait=10.0)

    def submit_again(self):
        self.fleet.run(RESEND_SECONDS)
        self.submit("e1")

    def kill(self):
        self.fleet.kill("e0")
        self.submit_again()

    def freeze(self):
        """The host of the entry is paused; its caller's connection breaks."""
        self.fleet.freeze("e0", 3.0)
        self.leave()

    def cut(self):
        """Two agents' reports are lost: the entry runs their tasks elsewhere."""
        self.fleet.cuts |= {("a0", "e0"), ("a1", "e0")}

    def leave(self):
        self.fleet.leave("e0", self.waiter)
        self.submit_again()

    def return_at_once(self):
        """The caller leaves, and submits the job again to the same entry."""
        self.fleet.leave("e0", self.waiter)
        self.submit("e0")

    def restart(self):
        self.fleet.kill("e0")
        self.fleet.run(RESTART_SECONDS)
        self.fleet.start_entry("e0", "d0")
        self.fleet.run(RESEND_SECONDS - RESTART_SECONDS)
        self.submit("e1")

    def lose_messages(self):
        """The entry's stop messages are lost, while its keepalives arrive."""
        self.fleet.dropped_messages = (Stop,)
        self.leave()


CASES = {
    "the entry is killed": LostStops.kill,
    "the entry freezes": LostStops.freeze,
    "the agents' reports are lost": LostStops.cut,
    "the caller leaves": LostStops.leave,
    "the caller leaves and returns at once": LostStops.return_at_once,
    "the entry restarts": LostStops.restart,
    "the entry's stop messages are lost": LostStops.lose_messages,
}
