"""A job at the entry that answers for it."""

import msgspec

from cactuswalk.dispatch.job import JobRequest, Step, TaskKey
from cactuswalk.dispatch.routing import Queue

__all__ = ["JobState", "TaskState"]


class TaskState(msgspec.Struct, eq=False):
    """One task.

    :param place: address of the agent that has it; empty while it waits.
    :param last_place: address of the agent that had it last.
    :param failures: runs that ended as failed.
    :param runs: number of its latest run.
    :param placed_at: when its latest start was sent.
    :param held_seconds: from then until its end was heard.
    :param ran_ms: of that, how long it ran as its agent saw it.
    :param avoid: agents where it failed or was lost.
    """

    job: "JobState"
    key: TaskKey
    step: Step
    agent_address: str = ""
    last_agent_address: str = ""
    sequence: int = 0
    done: bool = False
    failures: int = 0
    runs: int = 0
    placed_at: float = 0.0
    outstanding_seconds: float = 0.0
    ran_ms: int = 0
    avoided_agents: set[str] = msgspec.field(default_factory=set)


class JobState(msgspec.Struct, eq=False):
    """One job, from its arrival to its answer.

    :param waiters: callers' connections that wait for the answer.
    :param expected: seconds that its longest chain of tasks is expected to run.
    :param latest_start: when it should have started to be on time.
    :param on_time_by: until then it is of full use to its caller.
    :param give_up_at: then its caller waits no more.
    :param longest_ms: by step, the run time of its longest task so far.
    :param sent: starts that were sent and have not ended.
    :param ran: a task of it has run, or may have.
    :param first_start_at: when the first of its starts was sent.
    """

    request: JobRequest
    queue: Queue
    waiters: list[int]
    arrived_at: float
    expected_seconds: float
    latest_start_at: float
    due_at: float
    give_up_at: float
    tasks: list[TaskState] = msgspec.field(default_factory=list)
    waiting: list[TaskState] = msgspec.field(default_factory=list)
    remaining: list[int] = msgspec.field(default_factory=list)
    longest_ms: list[int] = msgspec.field(default_factory=list)
    opened_steps: set[int] = msgspec.field(default_factory=set)
    pending_starts: int = 0
    may_have_run: bool = False
    first_start_at: float = 0.0
    last_task: TaskState | None = None
    lost_runs: int = 0
    declined_runs: int = 0

    @property
    def has_started(self) -> bool:
        """Whether a task of it may have run, or may be about to."""
        return self.may_have_run or self.pending_starts > 0

    def release_ready_steps(self) -> None:
        """Let the tasks wait for a place whose earlier steps are all done."""
        for number, step in enumerate(self.request.steps):
            if number in self.opened_steps:
                continue
            if any(self.remaining[earlier] for earlier in step.after):
                continue
            self.opened_steps.add(number)
            self.waiting.extend(task for task in self.tasks if task.key.step == number)


def make_tasks(job: JobState) -> None:
    """Give a new job its tasks, and open the steps that need no other."""
    identifier = job.request.identifier
    for number, step in enumerate(job.request.steps):
        job.remaining.append(step.count)
        job.longest_ms.append(0)
        job.tasks.extend(
            TaskState(job, TaskKey(identifier, number, index), step)
            for index in range(step.count)
        )
    job.release_ready_steps()
