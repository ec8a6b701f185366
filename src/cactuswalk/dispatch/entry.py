"""The entry's reducer: it answers for jobs and places their tasks.

Nothing on a job's path waits for the platform's store. What runs for a job that
this process answered for ends with it: agents stop the tasks of an entry that
they no longer hear (``bounds``).
"""

from collections.abc import Callable

from cactuswalk.decisions.estimation import DurationEstimate
from cactuswalk.dispatch.agentview import AgentView, Placed
from cactuswalk.dispatch.bounds import (
    PULSE_SECONDS,
    worker_lapse_seconds,
)
from cactuswalk.dispatch.effects import Answer, Effect, Observe, Say, SendMessage
from cactuswalk.dispatch.entryevents import (
    ConfigurationRead,
    EntriesListed,
    EntryEvent,
    JobArrived,
    JobCancelled,
    Received,
    StopRequested,
    Tick,
    WaiterLeft,
)
from cactuswalk.dispatch.job import JobVerdict
from cactuswalk.dispatch.jobstate import JobState, TaskState, make_tasks
from cactuswalk.dispatch.messages import (
    ConfigurationAsk,
    Ended,
    EntryPulse,
    Pulse,
    Report,
    Start,
    Stop,
    TaskEnd,
)
from cactuswalk.dispatch.ordering import (
    LATE_FACTOR,
    SPARE_PART,
    Fate,
    chain_seconds,
    fate,
    retry_after,
    serving_order,
)
from cactuswalk.dispatch.placement import Chooser, can_ever_run, relative_paces
from cactuswalk.dispatch.routing import Queues

__all__ = ["EntryState"]

# A start that the agent has not reported is sent again, under the same sequence.
SEND_AGAIN_SECONDS = 0.15

# Agents that run nothing for this entry hear from it this often, so that they
# know of it, and of the other entries.
IDLE_PULSE_SECONDS = 0.4

# Entries tell each other of their configuration this often; a version is then
# known everywhere a second after one of them has read it.
ENTRY_PULSE_SECONDS = 0.3

# Entries that are neither listed nor heard for this long are forgotten.
FORGET_ENTRY_SECONDS = 20.0

# Agents that were silent for this long, with nothing placed there, are forgotten.
FORGET_AGENT_SECONDS = 10.0

# An entry that hears no agent for this long can serve nobody: several reports.
READY_HEARD_SECONDS = 1.0

# A stopping process answers what is left this long before it is killed.
STOP_MARGIN_SECONDS = 0.7


class EntryState:
    """All that one entry knows.

    :param address: this entry's, for messages.
    :param life: names this life of the process.
    :param seeds: addresses of other entries from the settings.
    :param far_factor: by which a task takes longer away from its data's rack.
    :param grace_seconds: between the request to stop and a kill.
    """

    def __init__(
        self,
        address: str,
        life: str,
        data_centre: str,
        seeds: list[str],
        far_factor: float,
        grace_seconds: float,
    ) -> None:
        self.address = address
        self.life = life
        self.data_centre = data_centre
        self.seeds = [seed for seed in seeds if seed != address]
        self.far_factor = far_factor
        self.grace_seconds = grace_seconds
        self.queues: Queues | None = None
        self.jobs: dict[str, JobState] = {}
        self.views: dict[str, AgentView] = {}
        self.entries: dict[str, float] = dict.fromkeys(self.seeds, 0.0)
        self.listed: set[str] = set()
        self.versions: dict[str, int] = {}
        self.estimates: dict[str, DurationEstimate] = {}
        self.next_sequence = 1
        self.stop_at = 0.0
        self.place_wanted = False
        self.pulsed_at: dict[str, float] = {}
        self.entries_pulsed_at = 0.0
        self.effects: list[Effect] = []
        self.handlers: dict[type, Callable] = {
            JobArrived: self._job_arrived,
            WaiterLeft: self._waiter_left,
            JobCancelled: self._job_cancelled,
            Received: self._received,
            ConfigurationRead: self._configuration_read,
            EntriesListed: self._entries_listed,
            StopRequested: self._stop_requested,
            Tick: self._tick,
        }

    def reduce(self, event: EntryEvent, now: float) -> list[Effect]:
        """Take an event, and return what is to be done."""
        self.handlers[type(event)](event, now)
        if self.place_wanted:
            self.place_wanted = False
            self._place(now)
        effects, self.effects = self.effects, []
        return effects

    def is_ready(self, now: float) -> bool:
        """Return whether new callers should come to this entry."""
        if self.queues is None or self.stop_at:
            return False
        return any(
            now - view.heard_at < READY_HEARD_SECONDS for view in self.views.values()
        )

    def queued_jobs(self, name: str) -> int:
        """Return how many jobs of a queue wait here and have not started."""
        return sum(
            job.queue.name == name and not job.started for job in self.jobs.values()
        )

    # Jobs.

    def _job_arrived(self, event: JobArrived, now: float) -> None:
        known = self.jobs.get(event.request.identifier)
        if known is not None:
            known.waiters.append(event.waiter)
            known.give_up_at = max(known.give_up_at, now + event.wait_seconds)
            return
        job = self._make_job(event, now)
        if self.stop_at and now + job.expected > self.stop_at - STOP_MARGIN_SECONDS:
            self._refuse_waiters(job, "this entry is about to stop")
            return
        views = list(self.views.values())
        if not all(
            can_ever_run(views, step, event.queue.service)
            for step in event.request.steps
        ):
            self._refuse_waiters(job, "no worker is large enough for a task")
            return
        self.jobs[job.request.identifier] = job
        make_tasks(job)
        self._observe("jobs", event.queue.name)
        self.place_wanted = True

    def _make_job(self, event: JobArrived, now: float) -> JobState:
        queue = event.queue
        estimate = self.estimates.setdefault(queue.name, DurationEstimate())
        seconds = [estimate.predict(step.estimate_ms) for step in event.request.steps]
        expected = chain_seconds(event.request, seconds)
        aim = queue.stretch * expected + queue.allowance_ms / 1000
        return JobState(
            event.request,
            queue,
            [event.waiter],
            now,
            expected,
            now + (aim - expected) * SPARE_PART,
            now + aim,
            now + aim * LATE_FACTOR,
            now + event.wait_seconds,
        )

    def _waiter_left(self, event: WaiterLeft, now: float) -> None:
        job = self.jobs.get(event.job)
        if job is None or event.waiter not in job.waiters:
            return
        job.waiters.remove(event.waiter)
        if not job.waiters:
            self._say("the caller has left", job=event.job, waited=now - job.arrived_at)
            self._drop(job, now)

    def _job_cancelled(self, event: JobCancelled, now: float) -> None:
        job = self.jobs.get(event.job)
        if job is None:
            return
        verdict = JobVerdict.UNFINISHED if job.started else JobVerdict.NOT_RUN
        self._answer(job, verdict, "cancelled", now)

    def _answer(
        self, job: JobState, verdict: JobVerdict, reason: str, now: float
    ) -> None:
        pause = 0.0
        if verdict is not JobVerdict.COMPLETED:
            pause = retry_after(self._queued_seconds())
        for waiter in job.waiters:
            self.effects.append(Answer(waiter, verdict, reason, pause))
        self._observe("answers", f"{job.queue.name} {verdict.value}")
        self._observe("job_seconds", job.queue.name, now - job.arrived_at)
        self._say(
            "a job is answered",
            job=job.request.identifier,
            queue=job.queue.name,
            verdict=verdict.value,
            reason=reason,
            tasks=len(job.tasks),
            took=round(now - job.arrived_at, 4),
            first_start=round((job.first_start_at or now) - job.arrived_at, 4),
            expected=round(job.expected, 4),
            aim=round(job.on_time_by - job.arrived_at, 4),
            lost=job.lost_runs,
            declined=job.declined_runs,
            **_last_task(job),
            version=self.queues.version if self.queues else 0,
        )
        self._drop(job, now)

    def _refuse_waiters(self, job: JobState, reason: str) -> None:
        self._say("refuses a job", job=job.request.identifier, reason=reason)
        for waiter in job.waiters:
            self.effects.append(Answer(waiter, JobVerdict.NOT_RUN, reason, 1.0))

    def _drop(self, job: JobState, now: float) -> None:
        """Forget a job, and have stopped what still runs for it."""
        del self.jobs[job.request.identifier]
        job.waiting.clear()
        for task in job.tasks:
            if task.place:
                view = self.views[task.place]
                placed = view.placed[task.sequence]
                placed.task = None
                self._send_stop(view, placed, now)
        self.place_wanted = True

    def _send_stop(self, view: AgentView, placed: Placed, now: float) -> None:
        placed.stop_sent_at = now
        self._send(view.address, Stop(self.life, placed.start.sequence))

    def _queued_seconds(self) -> float:
        """Return what waits for room, in seconds of all workers' time."""
        capacity = sum(view.report.free_cpu for view in self.views.values())
        capacity += sum(
            placed.start.cpu
            for view in self.views.values()
            for placed in view.placed.values()
        )
        waiting = sum(
            task.step.cpu * job.expected
            for job in self.jobs.values()
            for task in job.waiting
        )
        return waiting / capacity if capacity > 0 else MOST_QUEUED_SECONDS

    # Placing.

    def _place(self, now: float) -> None:
        waiting = [job for job in self.jobs.values() if job.waiting]
        if not waiting:
            return
        heard = [
            view
            for view in self.views.values()
            if view.report.worker and now - view.heard_at < READY_HEARD_SECONDS
        ]
        paces = relative_paces(heard)
        views = [view for view in heard if view.is_open(now)]
        chooser = Chooser(views, paces, self.data_centre, self.far_factor)
        for job in serving_order(waiting):
            self._place_job(job, chooser, now)

    def _place_job(self, job: JobState, chooser: Chooser, now: float) -> None:
        left = []
        for number, task in enumerate(job.waiting):
            view = chooser.choose(task, job.queue.service)
            if view is None:
                left.append(task)
                if not task.avoid:
                    # Tasks of a step are alike: where one doesn't fit, none does.
                    left.extend(job.waiting[number + 1 :])
                    break
                continue
            self._start(task, view, now)
        job.waiting = left

    def _start(self, task: TaskState, view: AgentView, now: float) -> None:
        job = task.job
        task.runs += 1
        task.place = view.address
        task.placed_at = now
        task.sequence = self.next_sequence
        self.next_sequence += 1
        job.sent += 1
        if not job.first_start_at:
            job.first_start_at = now
            self._observe("first_start_seconds", job.queue.name, now - job.arrived_at)
        start = Start(
            self.life,
            view.report.life,
            view.report.stamp,
            task.sequence,
            view.report.worker,
            task.key,
            task.runs,
            job.request.spec,
            task.step.cpu,
            task.step.memory_mb,
            task.step.gpu,
            task.step.estimate_ms,
        )
        view.add(Placed(start, task, now, now))
        self._send(view.address, start)

    # Messages.

    def _received(self, event: Received, now: float) -> None:
        message = event.message
        if isinstance(message, Report):
            self._take_report(event.sender, message, now)
        elif isinstance(message, Ended):
            self._take_end(event.sender, message, now)
        elif isinstance(message, EntryPulse):
            self._take_entry_pulse(event.sender, message, now)

    def _take_report(self, sender: str, report: Report, now: float) -> None:
        view = self.views.get(sender)
        if view is None:
            view = self.views[sender] = AgentView(sender, report, now)
            self._say("meets an agent", agent=sender, worker=report.worker)
            self._pulse(view, now)
        if report.life in view.past_lives:
            return
        if report.life != view.report.life:
            self._agent_restarted(view, now)
        elif report.stamp < view.report.stamp:
            return
        if report.open != view.report.open or report.trial != view.report.trial:
            self._say(
                "a worker's standing changes",
                agent=sender,
                worker=report.worker,
                open=report.open,
                trial=report.trial,
                pace=report.pace,
            )
        view.take(report, now)
        if report.entry_life == self.life:
            self._reconcile(view, now)
        self.place_wanted = True

    def _agent_restarted(self, view: AgentView, now: float) -> None:
        """Reckon with an agent's new life: the old one's runs lapse soon."""
        self._say("an agent has started anew", agent=view.address)
        for placed in view.placed.values():
            placed.gone_at = placed.gone_at or now + worker_lapse_seconds()
        view.past_lives.add(view.report.life)
        view.noted.clear()

    def _reconcile(self, view: AgentView, now: float) -> None:
        """Find starts that never arrived: later ones have, and it holds nothing."""
        held = set(view.report.held)
        for sequence, placed in list(view.placed.items()):
            if placed.start.agent_life != view.report.life:
                continue
            if sequence <= view.report.seen and sequence not in held:
                self._finish(view, placed, TaskEnd.LOST, 0, "never arrived", now)
            elif view.never_arrives(placed):
                self._finish(view, placed, TaskEnd.DECLINED, 0, "never arrived", now)

    def _take_end(self, sender: str, ended: Ended, now: float) -> None:
        view = self.views.get(sender)
        if view is None or ended.entry_life != self.life:
            return
        view.noted.append(ended.sequence)
        placed = view.placed.get(ended.sequence)
        if placed is None:
            return
        if placed.task is not None:
            placed.task.runs = max(placed.task.runs, ended.run)
        self._finish(view, placed, ended.end, ended.ran_ms, ended.reason, now)

    def _finish(
        self,
        view: AgentView,
        placed: Placed,
        end: TaskEnd,
        ran_ms: int,
        reason: str,
        now: float,
    ) -> None:
        """Take note that a start has ended, and see to its task."""
        del view.placed[placed.start.sequence]
        self.place_wanted = True
        task = placed.task
        if task is None:
            return
        task.place = ""
        job = task.job
        job.sent -= 1
        if end is not TaskEnd.DECLINED:
            job.ran = True
        if end is TaskEnd.DONE:
            self._task_done(task, ran_ms, now)
            return
        if end is TaskEnd.DECLINED:
            view.pass_over(now)
            job.declined_runs += 1
        else:
            task.avoid.add(view.address)
            job.lost_runs += 1
            self._say(
                "a task runs again",
                job=job.request.identifier,
                step=task.key.step,
                index=task.key.index,
                agent=view.address,
                end=end.name.lower(),
                reason=reason,
                failures=task.failures,
                heard_ago=round(now - view.heard_at, 3),
            )
        if end is TaskEnd.FAILED:
            task.failures += 1
            if task.failures >= job.queue.attempts:
                self._answer(job, JobVerdict.FAILED, "a task has failed", now)
                return
        job.waiting.append(task)

    def _task_done(self, task: TaskState, ran_ms: int, now: float) -> None:
        job = task.job
        task.done = True
        task.held_seconds = now - task.placed_at
        task.ran_ms = ran_ms
        job.last_task = task
        job.longest_ms[task.key.step] = max(job.longest_ms[task.key.step], ran_ms)
        job.remaining[task.key.step] -= 1
        if job.remaining[task.key.step]:
            return
        # The last of a step's tasks decides when its job is done, so that is what
        # the estimate of a job's run time learns from.
        longest = max(1, job.longest_ms[task.key.step]) / 1000
        self.estimates[job.queue.name].observe(task.step.estimate_ms, longest)
        if any(job.remaining):
            job.open_steps()
            return
        self._answer(job, JobVerdict.COMPLETED, "", now)

    def _take_entry_pulse(self, sender: str, pulse: EntryPulse, now: float) -> None:
        self._meet_entry(sender, now)
        for address in pulse.entries:
            self._meet_entry(address, now, heard=False)
        self.versions[sender] = pulse.version
        own = self.queues.version if self.queues else 0
        if pulse.version > own:
            self._send(sender, ConfigurationAsk(own))

    def _meet_entry(self, address: str, now: float, heard: bool = True) -> None:
        if address == self.address:
            return
        if address not in self.entries:
            self._say("meets an entry", entry=address)
            self.entries[address] = now
        elif heard:
            self.entries[address] = now

    def _configuration_read(self, event: ConfigurationRead, now: float) -> None:
        own = self.queues.version if self.queues else 0
        if event.queues.version <= own:
            return
        self._say("a configuration is in force", version=event.queues.version, was=own)
        self.queues = event.queues
        self._pulse_entries(now)

    def _entries_listed(self, event: EntriesListed, now: float) -> None:
        self.listed = set(event.addresses) - {self.address}
        for address in self.listed:
            self._meet_entry(address, now, heard=False)

    def _stop_requested(self, _: StopRequested, now: float) -> None:
        if not self.stop_at:
            self.stop_at = now + self.grace_seconds
            self._say("is to stop", jobs=len(self.jobs))

    # Time.

    def _tick(self, _: Tick, now: float) -> None:
        self._judge_jobs(now)
        self._expire_placed(now)
        self._pulse_agents(now)
        if now - self.entries_pulsed_at >= ENTRY_PULSE_SECONDS:
            self._pulse_entries(now)
        self._forget(now)
        self.place_wanted = True

    def _judge_jobs(self, now: float) -> None:
        for job in list(self.jobs.values()):
            verdict = fate(job, now)
            if self.stop_at and now > self.stop_at - STOP_MARGIN_SECONDS:
                verdict = Fate.GIVE_UP if job.started else Fate.REFUSE
            if verdict is Fate.REFUSE:
                self._answer(job, JobVerdict.NOT_RUN, "no room in time", now)
            elif verdict is Fate.GIVE_UP:
                self._answer(job, JobVerdict.UNFINISHED, "out of time", now)

    def _expire_placed(self, now: float) -> None:
        for view in self.views.values():
            silent = now - view.heard_at > SEND_AGAIN_SECONDS
            for placed in list(view.placed.values()):
                gone_at = placed.gone_at
                if silent:
                    gone_at = gone_at or view.silent_gone_at()
                if gone_at and now >= gone_at:
                    self._finish(
                        view, placed, TaskEnd.LOST, 0, "its leases have passed", now
                    )
                elif not silent:
                    self._send_again(view, placed, now)

    def _send_again(self, view: AgentView, placed: Placed, now: float) -> None:
        if placed.task is None:
            if now - placed.stop_sent_at > SEND_AGAIN_SECONDS:
                self._send_stop(view, placed, now)
            return
        if placed.start.agent_life != view.report.life:
            return
        unseen = placed.start.sequence > view.report.seen
        if unseen and view.report.hears and now - placed.sent_at > SEND_AGAIN_SECONDS:
            placed.sent_at = now
            placed.start.stamp = view.report.stamp
            self._send(view.address, placed.start)

    def _pulse_agents(self, now: float) -> None:
        for view in self.views.values():
            period = PULSE_SECONDS if view.placed or view.noted else IDLE_PULSE_SECONDS
            if now - self.pulsed_at.get(view.address, 0.0) >= period - 0.001:
                self._pulse(view, now)

    def _pulse(self, view: AgentView, now: float) -> None:
        self.pulsed_at[view.address] = now
        noted, view.noted = view.noted, []
        known = [self.address, *self.entries]
        pulse = Pulse(
            self.life,
            view.report.life,
            view.report.stamp,
            self.data_centre,
            noted,
            known,
        )
        self._send(view.address, pulse)

    def _pulse_entries(self, now: float) -> None:
        self.entries_pulsed_at = now
        version = self.queues.version if self.queues else 0
        for address in self.entries:
            known = [other for other in self.entries if other != address]
            self._send(address, EntryPulse(self.life, version, known))

    def _forget(self, now: float) -> None:
        for address, heard_at in list(self.entries.items()):
            kept = address in self.listed or address in self.seeds
            if not kept and now - heard_at > FORGET_ENTRY_SECONDS:
                self._say("forgets a silent entry", entry=address)
                del self.entries[address]
        for address, view in list(self.views.items()):
            if not view.placed and now - view.heard_at > FORGET_AGENT_SECONDS:
                self._say("forgets a silent agent", agent=address)
                del self.views[address]

    def _send(self, address: str, message) -> None:
        self.effects.append(SendMessage(address, message))

    def _say(self, sentence: str, **fields: object) -> None:
        self.effects.append(Say(sentence, fields))

    def _observe(
        self, name: str, label: str = "", seconds: float | None = None
    ) -> None:
        self.effects.append(Observe(name, label, seconds))


def _last_task(job: JobState) -> dict[str, object]:
    """Return where the time of a job's last task went, for its log line."""
    task = job.last_task
    if task is None:
        return {}
    return {
        "last_placed": round(task.placed_at - job.arrived_at, 4),
        "last_held": round(task.held_seconds, 4),
        "last_ran": task.ran_ms / 1000,
        "last_run": task.runs,
        "last_estimate": task.step.estimate_ms / 1000,
    }


# What is told to callers as the queue's length where no worker is known.
MOST_QUEUED_SECONDS = 5.0
