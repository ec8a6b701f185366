"""Slopes of a cell: its owner, its agents and the entries that it reports to."""

import statistics
import sys

from cactuswalk.messages import Record
from cactuswalk.model import Outcome, TaskOutcome, TaskResult, TaskState, compute_digest
from cactuswalk.state.answers import give_answer
from cactuswalk.state.entryview import CellView, EntryState
from cactuswalk.state.events import Tick
from cactuswalk.state.ledger import Placement, Stage, Task, TrackedJob, end_task
from cactuswalk.state.node import Node
from cactuswalk.state.retention import RecordStore
from features.support.bag import is_settled
from tools.metered import (
    MeteredBag,
    allocated_by,
    metered_cell,
    processor_seconds,
)
from tools.series import Point, Series, median_time

__all__ = ["cell_series"]

# Virtual seconds of an idle cell: forty ping periods.
IDLE_S = 10.0
# Ten questions of an entry that knows the cells of a region at the target.
SLOW_IDLE_S = 52.0
CELLS_OF_A_REGION = 130
# Two of the slowest questions.
WARM_UP_S = 12.0
# Parts of it whose processor times give a median.
SLICES = 10

# What a stop lookup answers: some hundred bytes of JSON.
ANSWER_BODY = b'{"stop": "Dingwall High Street", "bus": 17, "due": "08:12"}' * 2

# Task time in the request path's runs, in milliseconds; the brief's shortest.
TASK_MS = 50

# The brief's target.
LARGEST_JOB = 140

PEERS = (4, 8, 16, 32, 64)
ENTRIES = (1, 2, 4, 8)
STARTS = (100, 200, 400, 800)
JOB_SIZES = (1, 20, 70, 140)
RECORDS = (1000, 2000, 4000, 8000)
SUBMISSIONS = (500, 1000, 2000, 4000)
TASKS_KEPT = (1400, 2800, 5600, 11200)
TAKEOVER_RECORDS = (200, 400, 800, 1600)
RESTARTS = (1, 2, 3, 4)


def cell_series() -> list[Series]:
    """Return all series of a cell, not measured yet."""
    return [
        Series("control of a cell by its agents", "agents", PEERS, idle_by_peers),
        Series("control of a cell by entries", "entries", ENTRIES, idle_by_entries),
        Series(
            "control of a cell by entries of 130 cells",
            "entries",
            ENTRIES,
            idle_by_entries_of_a_region,
        ),
        Series("request path by starts", "starts", STARTS, path_by_starts),
        Series("request path by job size", "tasks", JOB_SIZES, path_by_job_size),
        Series("an agent by its records", "records", RECORDS, agent_by_records),
        Series("an owner by answers kept", "answers", SUBMISSIONS, owner_by_answers),
        Series("an owner by tasks of jobs kept", "tasks", TASKS_KEPT, owner_by_tasks),
        Series("an owner by open jobs", "open", SUBMISSIONS, owner_by_open),
        Series("takeover by records", "records", TAKEOVER_RECORDS, takeover),
        Series("takeover by agents", "agents", PEERS, takeover_by_peers),
        Series("agents replaced in a cell", "replaced", RESTARTS, replace_agents),
        Series("a cell started whole", "agents", PEERS, start_whole),
        Series("an outage of the service", "agents", PEERS, outage),
    ]


def idle_by_peers(agents: int) -> Point:
    """Measure an idle cell of so many agents, with two entries."""
    bag = metered_cell(agents)
    return idle(bag)


def idle_by_entries(entries: int) -> Point:
    """Measure an idle cell of eight agents with so many entries."""
    return idle(metered_cell(8, entries))


def idle_by_entries_of_a_region(entries: int) -> Point:
    """Measure an idle cell of eight agents whose entries know 130 cells each."""
    bag = metered_cell(8, entries)
    for process in bag.processes.values():
        if isinstance(process.state, EntryState):
            for number in range(CELLS_OF_A_REGION - 1):
                add_quiet_cell(process.state, f"other-{number}")
    return idle(bag, SLOW_IDLE_S)


def add_quiet_cell(entry: EntryState, name: str) -> None:
    """Have an entry know one more cell, which it has always just heard from."""
    entry.cells[name] = CellView(name, owner="tcp://other", stamp_at=float("inf"))


def idle(bag: MeteredBag, seconds: float = IDLE_S) -> Point:
    """Let a cell idle and return what each role sent and received.

    The last roster and list of workers are on their way when a cell has just
    settled; they are not what idling costs.
    """
    bag.run(WARM_UP_S)
    bag.reset()
    owner, agents = bag.owner_meter(), bag.agent_meters()
    entries = bag.entry_meters()
    owner_ms, agent_ms = [], []
    for _ in range(SLICES):
        before = owner.processor_s, sum(one.processor_s for one in agents)
        bag.run(seconds / SLICES)
        per_s = 1000 * SLICES / seconds
        owner_ms.append((owner.processor_s - before[0]) * per_s)
        agents_s = sum(one.processor_s for one in agents) - before[1]
        agent_ms.append(agents_s * per_s / len(agents))
    point = Point()
    point.count("owner messages/s", owner.control.messages / seconds)
    point.count("owner bytes/s", owner.control.bytes / seconds)
    point.count("agent bytes/s", max(one.control.bytes for one in agents) / seconds)
    point.count("entry bytes/s", max(one.control.bytes for one in entries) / seconds)
    calls = sum(meter.keyvalue_calls for meter in bag.meters.values())
    point.count("key-value calls/s", calls / seconds)
    point.time("owner processor ms/s", statistics.median(owner_ms))
    point.time("agent processor ms/s", statistics.median(agent_ms))
    return point


def path_by_starts(starts: int) -> Point:
    """Run so many single requests through a cell of four, one each 10 ms."""
    return run_jobs(starts, 1)


def path_by_job_size(tasks: int) -> Point:
    """Run eight jobs of so many tasks through a cell of four."""
    return run_jobs(8, tasks)


def run_jobs(jobs: int, tasks: int) -> Point:
    """Run jobs one after the other and return the request path's cost."""
    bag = metered_cell(4, 1)
    gap_s = 0.01 + tasks / 32 * 2 * TASK_MS / 1000
    for _ in range(jobs):
        job = bag.job(tasks=tasks, duration_ms=TASK_MS)
        bag.submit("entry-0", job, remaining_ms=30_000, minted=True)
        bag.run(gap_s)
    bag.run(2.0)
    answered = bag.outcomes[Outcome.ANSWERED]
    if answered != jobs:
        raise RuntimeError(f"{answered} of {jobs} jobs were answered")
    requests = [meter.requests for meter in bag.meters.values()]
    point = Point()
    # Every message is counted where it is sent and where it is received.
    point.count("messages", sum(one.messages for one in requests) / 2)
    point.count("bytes", sum(one.bytes for one in requests) / 2)
    total = jobs * tasks
    point.count("messages/task", sum(one.messages for one in requests) / 2 / total)
    owner, entry = bag.owner_meter(), bag.entry_meters()[0]
    agents = sum(one.processor_s for one in bag.agent_meters())
    point.time("owner ms", owner.processor_s * 1000)
    point.time("agents ms", agents * 1000)
    point.time("entry ms", entry.processor_s * 1000)
    return point


def agent_by_records(records: int) -> Point:
    """Fill an agent's book with ended tasks, and look at what it costs."""
    point = Point()
    point.time("book bytes", allocated_by(lambda: book_of(records)))
    book = book_of(records)
    point.time("all() ms", median_time(book.all))
    point.time("expire ms", processor_seconds(lambda: book.expire(1e9)) * 1000)
    return point


def book_of(records: int) -> RecordStore:
    """Return a book with so many ended tasks of single requests."""
    book = RecordStore(600.0, 1 << 30)
    for number in range(records):
        book.put(record_of(number, "life-1"), 0.0)
    return book


def record_of(number: int, incarnation: str) -> Record:
    """Return the record of an ended request, with a body of its own."""
    key = f"0193{number:032x}"
    body = ANSWER_BODY + str(number).encode()
    result = TaskResult(0, TaskOutcome.DONE, 200, body, compute_digest(body))
    named = {
        "submission": f"glenmorrow/{key}",
        "index": 0,
        "total": 1,
        "fingerprint": compute_digest(body),
        "attempt": number,
        "state": TaskState.DONE,
        "worker": "inverness-1",
        "result": result,
    }
    if "incarnation" in Record.__struct_fields__:
        named["incarnation"] = incarnation
    return Record(**named)


def owner_by_answers(answers: int) -> Point:
    """Have an owner keep so many answers of single requests."""
    bag = metered_cell(4, 1)
    point = Point()
    point.time("ledger bytes", allocated_by(lambda: keep_answers(bag, answers)))
    point.time("tick ms", tick_time(bag))
    return point


def owner_by_tasks(tasks: int) -> Point:
    """Have an owner keep the answers of jobs of 140 with so many tasks."""
    bag = metered_cell(4, 1)
    point = Point()
    jobs = tasks // LARGEST_JOB
    point.time(
        "ledger bytes", allocated_by(lambda: keep_answers(bag, jobs, LARGEST_JOB))
    )
    return point


def keep_answers(bag: MeteredBag, answers: int, tasks: int = 1) -> None:
    """Put answered submissions into the owner's ledger, as the path does."""
    state = bag.owner().state.owner
    # The slope is wanted, not the bound that a ledger is kept within.
    state.maximum_bytes = sys.maxsize
    for _ in range(answers):
        job = bag.job(tasks=tasks, duration_ms=TASK_MS)
        tracked = TrackedJob(job, bag.now + 5, [Task() for _ in job.tasks], bag.now)
        tracked.waiters["tcp://entry-0"] = 1
        state.ledger[job.submission] = tracked
        for index, task in enumerate(tracked.tasks):
            task.stage = Stage.SENT
            task.placement = Placement(
                "worker-1", "life", index + 1000, index + 1000, bag.now
            )
            body = ANSWER_BODY + job.tasks[index].body
            result = TaskResult(
                index, TaskOutcome.DONE, 200, body, compute_digest(body)
            )
            end_task(tracked, result)
        give_answer(state, tracked, None, bag.now)
        state.effects.clear()


def owner_by_open(jobs: int) -> Point:
    """Have an owner hold so many requests that wait for a slot."""
    bag = metered_cell(4, 1)
    point = Point()
    for _ in range(jobs):
        job = bag.job(duration_ms=600_000)
        bag.submit("entry-0", job, remaining_ms=3_600_000, minted=True)
    bag.run(0.5)
    held = sum(bag.owner().state.owner.scheduler.count_queued().values())
    point.count("queued", held)
    point.time("tick ms", tick_time(bag))
    return point


def tick_time(bag: MeteredBag) -> float:
    """Return the processor time of one tick of the owner's process."""
    process = bag.owner()

    def tick() -> None:
        process.handle(Tick(), bag.now)

    return median_time(tick)


def takeover(records: int) -> Point:
    """Kill an owner whose four agents hold so many records together."""
    return take_over(5, records)


def takeover_by_peers(agents: int) -> Point:
    """Kill an owner of so many agents, with 200 records together."""
    return take_over(agents, 200)


def take_over(agents: int, records: int) -> Point:
    """Kill an owner and run until another serves."""
    bag = metered_cell(agents, 1)
    old = bag.owner()
    others = [
        process
        for process in bag.processes.values()
        if isinstance(process.state, Node) and process is not old
    ]
    for number in range(records):
        process = others[number % len(others)]
        life = process.state.agent.gate.member.incarnation
        process.state.agent.gate.records.put(record_of(number, life), bag.now)
    bag.kill(old.name)
    bag.reset()
    died = bag.now
    if not bag.run_until(lambda: serves_again(bag, old)):
        raise RuntimeError("nobody took the cell over")
    point = Point()
    handed = bag.by_kind.get("Fenced")
    point.count("records' bytes", handed.bytes if handed else 0)
    control = sum(meter.control.messages for meter in bag.meters.values())
    point.count("control messages", control / 2)
    calls = sum(meter.keyvalue_calls for meter in bag.meters.values())
    point.count("key-value calls", calls)
    point.count("virtual s until served", round(bag.now - died, 2))
    point.time("new owner ms", bag.owner_meter().processor_s * 1000)
    return point


def serves_again(bag: MeteredBag, old) -> bool:
    """Tell whether another owner serves and may start tasks."""
    owner = bag.owner()
    return (
        owner is not None
        and owner is not old
        and owner.state.owner.can_start_tasks(bag.now)
    )


def replace_agents(replaced: int) -> Point:
    """Kill and restart so many agents of a cell of eight, one a time."""
    bag = metered_cell(8, 1)
    owner = bag.owner().name
    names = [f"worker-{number}" for number in range(8)]
    for name in [name for name in names if name != owner][:replaced]:
        bag.kill(name)
        bag.add_agent(name)
        bag.run(5.0)
    point = Point()
    calls = sum(meter.keyvalue_calls for meter in bag.meters.values())
    point.count("key-value calls", calls)
    return point


def start_whole(agents: int) -> Point:
    """Start all agents of a cell at one moment, as after a power cut."""
    bag = MeteredBag()
    bag.add_entry("entry-0")
    for number in range(agents):
        bag.add_agent(f"worker-{number}")
    began = bag.now
    if not bag.run_until(lambda: is_settled(bag, agents), 60.0):
        raise RuntimeError(f"a cell of {agents} did not settle")
    point = Point()
    calls = sum(meter.keyvalue_calls for meter in bag.meters.values())
    point.count("key-value calls", calls)
    control = sum(meter.control.messages for meter in bag.meters.values())
    point.count("control messages", control / 2)
    point.count("virtual s until served", round(bag.now - began, 2))
    return point


def outage(agents: int) -> Point:
    """Take the key-value service away, and then the owner too."""
    bag = metered_cell(agents, 1)
    bag.key_value.down = True
    bag.run(IDLE_S)
    point = Point()
    calls = sum(meter.keyvalue_calls for meter in bag.meters.values())
    point.count("calls tried/s", calls / IDLE_S)
    bag.kill(bag.owner().name)
    bag.reset()
    bag.run(IDLE_S)
    calls = sum(meter.keyvalue_calls for meter in bag.meters.values())
    point.count("calls tried/s without an owner", calls / IDLE_S)
    return point
