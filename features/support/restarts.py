"""Workers that restart under their names, and late messages of their earlier lives."""

import msgspec

from cactuswalk.dispatch.agentevents import Announced
from features.support.fleetscript import RandomDay
from features.support.fleetworker import CallFaults

__all__ = ["RestartDay", "announce_late", "report_born", "restart_before"]


def report_born(fleet):
    """Have all workers report the time of their start from now on."""
    for worker in fleet.workers.values():
        worker.report_born()
        fleet.announce(worker.name)
    fleet.run(0.1)


def restart_before(worker, call, then=lambda: None):
    """Have a worker restart right before it carries out its next call.

    :param call: "start", "stop" or "renew", the part of a poll that takes effect.
    :param then: called once the worker has restarted.
    """

    def restart(*arguments):
        delattr(worker, call)
        worker.crash()
        then()
        return getattr(worker, call)(*arguments)

    setattr(worker, call, restart)


def announce_late(fleet, worker, heartbeat):
    """Deliver a heartbeat that was held up."""
    fleet.deliver(worker.name, Announced(msgspec.structs.replace(heartbeat)))


class RestartDay(RandomDay):
    """Workers restart all the time; their calls, answers and messages are lost or late.

    :ivar restarts: number of restarts.
    """

    def __init__(self, seed):
        super().__init__(seed, 2, 5)
        report_born(self.fleet)
        self.fault_names = RESTART_FAULTS
        self.fault_gap, self.job_gap = 0.3, 0.07
        self.heartbeats = []
        self.restarts = 0

    def any_worker(self):
        worker = self.fleet.workers[self.any_agent()]
        self.heartbeats.append((worker, worker.announcement()))
        return worker

    def restart_at_once(self):
        self.restarts += 1
        self.any_worker().crash()

    def restart_before_call(self):
        self.restarts += 1
        worker = self.any_worker()
        call = self.generator.choice(("start", "start", "stop", "renew"))
        if call not in vars(worker):
            restart_before(worker, call)

    def restart_unheard(self):
        """Restart before a start; of what follows only the heartbeat is heard."""
        self.restarts += 1
        worker = self.any_worker()

        def then():
            self.lose_calls_of(worker, 1.0)
            self.fleet.at(0.005, lambda: self.fleet.announce(worker.name))

        if "start" not in vars(worker):
            restart_before(worker, "start", then)

    def restart_after_a_while(self):
        worker = self.any_worker()
        if worker.up:
            self.restarts += 1
            refuses = self.generator.random() < 0.5
            worker.crash_for(self.generator.uniform(0.01, 1.0), refuses)

    def restart_smaller(self):
        worker = self.any_worker()
        self.restarts += 1
        worker.resize(cpu=self.generator.choice((6_000, 16_000, 32_000)))
        worker.crash()

    def announce_late(self):
        worker, heartbeat = self.generator.choice(self.heartbeats or [(None, None)])
        if worker is not None:
            announce_late(self.fleet, worker, heartbeat)

    def depart_late(self):
        self.fleet.announce_departure(self.any_worker().name)

    def lose_answers(self):
        worker = self.any_worker()
        worker.unconfirmed_share = 0.4
        span = self.generator.uniform(0.1, 0.6)
        self.fleet.at(span, lambda: setattr(worker, "unconfirmed_share", 0.0))

    def lose_all_calls(self):
        self.lose_calls_of(self.any_worker(), 0.3)

    def lose_calls_of(self, worker, share):
        faults = worker.call_faults
        for kind in faults:
            faults[kind] = CallFaults(lost_share=share)
        span = self.generator.uniform(0.1, 0.6)
        self.fleet.at(
            span, lambda: faults.update({kind: CallFaults() for kind in faults})
        )

    def heal(self):
        super().heal()
        for worker in self.fleet.workers.values():
            worker.unconfirmed_share = 0.0
            faults = worker.call_faults
            faults.update({kind: CallFaults() for kind in faults})


RESTART_FAULTS = (
    "restart_at_once",
    "restart_before_call",
    "restart_unheard",
    "restart_after_a_while",
    "restart_smaller",
    "announce_late",
    "announce_late",
    "depart_late",
    "lose_answers",
    "lose_all_calls",
    "cut_worker",
    "kill_agent",
    "freeze_agent",
)
