"""The state of a job at the entry that is responsible for it."""

import msgspec

from cactuswalk.decisions.prospects import Prospect
from cactuswalk.dispatch.crashes import CrashRecord
from cactuswalk.dispatch.job import JobRequest, Step, TaskKey
from cactuswalk.dispatch.routing import Queue

__all__ = ["JobState", "TaskState"]


class TaskState(msgspec.Struct, eq=False):
    """One task.

    :param agent_address: of the agent that has it; empty while it waits.
    :param last_agent_address: of the agent that had it last.
    :param sequence: of its latest start.
    :param failures: number of runs that failed.
    :param runs: number of its latest run.
    :param placed_at: when its latest start was sent.
    :param outstanding_seconds: from then until its end was received.
    :param ran_ms: the part of that in which it ran, as its agent observed it.
    :param avoided_agents: addresses of agents where it failed, was stopped or lost.
    :param crashed: the crashes of workers under it.
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
    crashed: CrashRecord = msgspec.field(default_factory=CrashRecord)


class JobState(msgspec.Struct, eq=False):
    """One job, from its arrival to its answer.

    :param waiters: until when each caller waits for the answer, by its connection.
    :param expected_seconds: expected run time of its longest chain of steps.
    :param latest_start_at: until when it may wait to be started.
    :param due_at: until when its answer is on time.
    :param waiting: tasks that wait for a worker.
    :param remaining: by step, the number of tasks that are not done.
    :param longest_ms: by step, the run time of its longest task so far.
    :param opened_steps: steps whose tasks have been released for placement.
    :param pending_starts: number of starts that were sent and have not ended.
    :param may_have_run: a task has run, or may have.
    :param first_start_at: when the first of its starts was sent; 0 before.
    :param earlier_entry: address of an entry that may still run an earlier attempt at
        it; empty for none.
    :param is_late: it could not be on time any more when it had not started.
    :param prospect: what was predicted when it arrived; None for nothing.
    """

    request: JobRequest
    queue: Queue
    waiters: dict[int, float]
    arrived_at: float
    expected_seconds: float
    latest_start_at: float
    due_at: float
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
    earlier_entry: str = ""
    is_late: bool = False
    prospect: Prospect | None = None

    @property
    def give_up_at(self) -> float:
        """When the last of its callers stops waiting."""
        return max(self.waiters.values())

    @property
    def has_started(self) -> bool:
        """Whether a task may have run or may be about to."""
        return self.may_have_run or self.pending_starts > 0

    def release_ready_steps(self) -> None:
        """Queue the tasks of steps whose earlier steps are all done."""
        for number, step in enumerate(self.request.steps):
            if number in self.opened_steps:
                continue
            if any(self.remaining[earlier] for earlier in step.after):
                continue
            self.opened_steps.add(number)
            self.waiting.extend(task for task in self.tasks if task.key.step == number)


def make_tasks(job: JobState) -> None:
    """Create the tasks of a new job and release the steps without dependencies."""
    identifier = job.request.identifier
    for number, step in enumerate(job.request.steps):
        job.remaining.append(step.count)
        job.longest_ms.append(0)
        job.tasks.extend(
            TaskState(job, TaskKey(identifier, number, index), step)
            for index in range(step.count)
        )
    job.release_ready_steps()
