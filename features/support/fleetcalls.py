"""Calls of simulated agents to their workers, over connections with faults."""

from cactuswalk.dispatch.agentevents import (
    PollAnswered,
    PollFailed,
    StartAnswered,
    StartVerdict,
    StopAnswered,
)
from cactuswalk.dispatch.bounds import CALL_TIMEOUT_SECONDS
from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from cactuswalk.platform.workerclock import (
    ClockReading,
    convert_to_worker_ms,
    is_fresh,
    take_later,
)
from features.support.fleetworker import CALL_SECONDS

__all__ = ["WorkerCalls"]

LATEST_SEND_SECONDS = 0.25


class WorkerCalls:
    """Carries the agents' calls, with the lateness and losses of each worker.

    :ivar readings: the last reading of a worker's clock, by the agent's incarnation
        and the worker's identifier.
    :ivar late_sends: agents whose calls are sent up to LATEST_SEND_SECONDS after they
        were decided, in any order.
    :ivar pauses: seconds for which an agent freezes between the decision on its next
        start and the call, by agent.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.readings = {}
        self.pauses = {}
        self.late_sends = set()

    def call(self, name, state, effect):
        if isinstance(effect, StartTask) and name in self.pauses:
            seconds = self.pauses.pop(name)
            self.fleet.freeze(name, seconds)
            self.fleet.at(seconds, lambda: self.send_if_same(name, state, effect))
            return
        if name in self.late_sends:
            delay = self.fleet.generator.uniform(0.0, LATEST_SEND_SECONDS)
            self.fleet.at(delay, lambda: self.send_if_same(name, state, effect))
            return
        self.send(name, state, effect)

    def send_if_same(self, name, state, effect):
        if self.fleet.states.get(name) is state and name not in self.fleet.dead:
            self.send(name, state, effect)

    def send(self, name, state, effect):
        fleet = self.fleet
        worker = fleet.workers[name]
        sent_at = fleet.now
        if isinstance(effect, StartTask) and not self.can_send(name, state, effect):
            event = StartAnswered(effect.worker, effect.handle, StartVerdict.LATE)
            fleet.at(CALL_SECONDS, lambda: fleet.deliver_if_same(name, state, event))
            return
        deadline = self.convert_deadline(state, effect)
        faults = worker.call_faults[type(effect)]
        share = max(worker.unanswered_share, faults.lost_share)
        lost = worker.generator.random() < share or isinstance(
            effect, worker.dropped_calls
        )
        if worker.refuses:
            event = make_refused(effect)
            fleet.at(CALL_SECONDS, lambda: fleet.deliver_if_same(name, state, event))
            return
        if not worker.up or worker.cut or lost:
            late = faults.late or worker.late
            if worker.up and lost and late:
                fleet.at(
                    late, lambda: self.execute_late(worker, effect, sent_at, deadline)
                )
            wait = getattr(effect, "wait_ms", 0) / 1000
            fleet.at(
                CALL_TIMEOUT_SECONDS + wait,
                lambda: fleet.deliver_if_same(name, state, make_unanswered(effect)),
            )
            return
        fleet.at(
            CALL_SECONDS / 2,
            lambda: self.arrive(name, state, worker, effect, sent_at, deadline),
        )

    def record_clock(self, name, identifier, clock_ms):
        """Record a worker's clock, as an answer or a heartbeat has told it."""
        if name in self.fleet.dead:
            return
        key = self.fleet.states[name].incarnation, identifier
        now = self.fleet.clock(name)
        reading = ClockReading(clock_ms, now)
        self.readings[key] = take_later(self.readings.get(key), reading, now)

    def can_send(self, name, state, start):
        """Return whether a start's lease has not passed and can be converted.

        The platform's client polls a worker whose clock it has not read lately.
        """
        key = state.incarnation, start.worker
        now = self.fleet.clock(name)
        worker = self.fleet.workers[name]
        if not is_fresh(self.readings.get(key), now):
            if not worker.up or worker.cut or worker.identifier != start.worker:
                return False
            self.record_clock(
                name, start.worker, int(worker.clock(self.fleet.now) * 1000)
            )
        return now < start.lease_until

    def convert_deadline(self, state, effect):
        """Return the end of a call's lease on the worker's clock, 0 for no lease."""
        until = getattr(effect, "lease_until", 0.0)
        reading = self.readings.get((state.incarnation, effect.worker))
        if not until or reading is None:
            return 0.0
        return convert_to_worker_ms(reading, until) / 1000

    def execute_late(self, worker, effect, sent_at, deadline):
        if worker.up:
            self.carry_out(worker, effect, sent_at, deadline)

    def arrive(self, name, state, worker, effect, sent_at, deadline):
        fleet = self.fleet
        event = self.carry_out(worker, effect, sent_at, deadline)
        if event is not None:
            faults = worker.call_faults[type(effect)]
            share = max(worker.unconfirmed_share, faults.unconfirmed_share)
            if worker.generator.random() < share:
                event, after = make_unanswered(effect), CALL_TIMEOUT_SECONDS
                fleet.at(after, lambda: fleet.deliver_if_same(name, state, event))
                return
            self.answer(name, state, worker, effect, event)
            return
        ends_at = fleet.now + effect.wait_ms / 1000
        born = worker.born
        self.wait_for_end(name, state, worker, effect, sent_at, ends_at, born)

    def answer(self, name, state, worker, effect, event):
        """Deliver a worker's answer, with which its clock is measured."""
        clock_ms = int(worker.clock(self.fleet.now) * 1000)
        identifier = worker.identifier
        if worker.is_called_by(effect) and not isinstance(effect, PollWorker):
            # Only answers to polls tell which incarnation has sent them.
            identifier = effect.worker

        def deliver():
            if worker.is_called_by(effect):
                self.record_clock(name, identifier, clock_ms)
            self.fleet.deliver_if_same(name, state, event)

        self.fleet.at(CALL_SECONDS / 2, deliver)

    def carry_out(self, worker, effect, sent_at, deadline):
        now = self.fleet.now
        if not worker.up:
            return make_unanswered(effect)
        if isinstance(effect, StartTask):
            verdict = worker.start(effect, deadline, now)
            return StartAnswered(effect.worker, effect.handle, verdict)
        if isinstance(effect, StopTask):
            return StopAnswered(effect.worker, effect.handle, worker.stop(effect, now))
        if not worker.is_called_by(effect):
            return PollFailed(effect.worker, False, True, effect.is_check)
        if effect.token < worker.token:
            return PollFailed(effect.worker, True, False, effect.is_check)
        worker.token = effect.token
        worker.renew(effect, deadline, now)
        if effect.wait_ms and not worker.ended:
            return None
        return self.make_poll_answer(worker, effect, sent_at)

    def make_poll_answer(self, worker, effect, sent_at):
        if effect.worker != worker.identifier:
            other = worker.identifier
            return PollFailed(
                effect.worker,
                False,
                False,
                effect.is_check,
                answered_by=other,
                sent_at=sent_at,
            )
        running, ended = worker.rows(self.fleet.now)
        return PollAnswered(
            effect.worker,
            sent_at + self.fleet.clock_offsets.get(worker.name, 0.0),
            running,
            ended,
            effect.acknowledged,
            effect.is_check,
        )

    def wait_for_end(self, name, state, worker, effect, sent_at, ends_at, born):
        fleet = self.fleet
        worker.advance(fleet.now)
        gone = not worker.is_called_by(effect) and worker.up
        broken = worker.cut or not worker.up or worker.born != born
        if gone or broken or worker.ended or fleet.now >= ends_at:
            event = PollFailed(effect.worker, False, gone, effect.is_check)
            if not gone and not broken:
                event = self.make_poll_answer(worker, effect, sent_at)
            self.answer(name, state, worker, effect, event)
            return
        ends = [run.ends_at for run in worker.runs.values()]
        step = min([0.01, ends_at - fleet.now, *(end - fleet.now for end in ends)])
        fleet.at(
            max(step, 0.0002),
            lambda: self.wait_for_end(
                name, state, worker, effect, sent_at, ends_at, born
            ),
        )


def make_unanswered(effect):
    if isinstance(effect, StartTask):
        return StartAnswered(effect.worker, effect.handle, StartVerdict.UNKNOWN)
    if isinstance(effect, StopTask):
        return StopAnswered(effect.worker, effect.handle, False)
    return PollFailed(effect.worker, False, False, effect.is_check)


def make_refused(effect):
    """Return what the platform's client makes of a refused connection."""
    if isinstance(effect, StartTask):
        return StartAnswered(effect.worker, effect.handle, StartVerdict.UNREACHED)
    if isinstance(effect, StopTask):
        return StopAnswered(effect.worker, effect.handle, False)
    return PollFailed(effect.worker, False, False, effect.is_check, True)
