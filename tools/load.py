"""Send a plan of arrivals to entries, and account for every answer.

Open loop: each arrival is sent at its own time whether or not earlier ones are
answered, and its response time counts from the time it was meant to be sent. A
run is bounded by its plan in count and time, and by each kind's deadline.

    python -m tools.load --entry http://127.0.0.1:8080 --seed 7 --seconds 20
"""

import asyncio
import hashlib
import json
import random
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
import click
import msgspec

from cactuswalk.model import generate_identifier
from tools.cluster import token_of
from tools.measures import Measures
from tools.tables import table
from tools.workloads import KINDS, Arrival, Plan, plan

__all__ = ["Sent", "empty_round_trip", "kind_table", "send_plan"]

# An answer that is later than its deadline by this much was lost: the entry has
# to answer at the deadline itself.
PATIENCE_S = 5.0

# Upstreams announce themselves twice a second.
SERVED_WITHIN_S = 15.0

# Empty requests whose median is the empty round trip of a run.
EMPTY_REQUESTS = 25


class Sent(msgspec.Struct):
    """One arrival, and what its caller received.

    :param outcome: ``answered``, or the refusal's ``not_run``, ``failed`` or
        ``unknown``; ``lost`` where no answer came at all.
    :param code: of the refusal.
    :param response_s: from the intended sending to the last byte.
    :param fault: what is wrong with the answer; empty for a whole one.
    """

    arrival: Arrival
    key: str
    outcome: str
    code: str
    response_s: float
    fault: str = ""


class Caller:
    """Sends for the callers of one run, over the entries in turn."""

    def __init__(self, session: aiohttp.ClientSession, entries: list[str], seed: int):
        self.session = session
        self.entries = entries
        self.generator = random.Random(seed)
        self.turn = 0

    def next_entry(self) -> str:
        """Return the next entry, as the platform's balancer would."""
        self.turn += 1
        return self.entries[self.turn % len(self.entries)]

    async def send(self, arrival: Arrival, intended: float) -> Sent:
        """Send an arrival and return what came of it.

        :param intended: on the monotonic clock.
        """
        key = generate_identifier(int(time.time() * 1000), self.generator)
        works = [work_of(key, index) for index in range(len(arrival.durations_ms))]
        what = "jobs" if arrival.kind.job else "requests"
        address = f"{self.next_entry()}/v1/services/{arrival.kind.service}/{what}"
        status, body, lost = 0, b"", ""
        try:
            async with self.session.post(
                address,
                data=body_of(arrival, works),
                headers=headers_of(arrival, key),
                timeout=aiohttp.ClientTimeout(
                    total=arrival.kind.deadline_ms / 1000 + PATIENCE_S
                ),
            ) as response:
                status, body = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            lost = f"no answer: {type(error).__name__}"
        sent = Sent(arrival, key, "lost", "", time.monotonic() - intended, lost)
        if not lost:
            judge(sent, status, body, works)
        return sent


def work_of(key: str, index: int) -> str:
    """Return what marks a task, so that its answer can be told from others."""
    return f"{key}/{index}"


def task_body(work: str, duration_ms: int) -> dict:
    """Return what the upstream stand-in is asked to do."""
    return {"work": work, "duration_ms": duration_ms}


def body_of(arrival: Arrival, works: list[str]) -> bytes:
    """Return the body of a request, or of a job with all its tasks."""
    bodies = [
        task_body(work, duration)
        for work, duration in zip(works, arrival.durations_ms, strict=True)
    ]
    if not arrival.kind.job:
        return json.dumps(bodies[0]).encode()
    return json.dumps({"tasks": [{"body": body} for body in bodies]}).encode()


def headers_of(arrival: Arrival, key: str) -> dict[str, str]:
    """Return the headers of an arrival."""
    headers = {
        "Authorization": f"Bearer {token_of(arrival.kind.team)}",
        "Content-Type": "application/json",
        "Idempotency-Key": f'"{key}"',
        "Cactuswalk-Deadline-Ms": str(arrival.kind.deadline_ms),
    }
    if arrival.kind.idempotent:
        headers["Cactuswalk-Idempotent"] = "?1"
    return headers


def judge(sent: Sent, status: int, body: bytes, works: list[str]) -> None:
    """Fill in the outcome, and what is wrong with an answer."""
    try:
        said = json.loads(body)
    except ValueError:
        sent.fault = f"status {status} without JSON"
        return
    if status >= 400:
        sent.outcome = said.get("outcome", "lost")
        sent.code = said.get("code", "")
        sent.fault = "" if sent.code else f"status {status} without a code"
        return
    sent.outcome = "answered"
    sent.fault = wrong_answer(sent, said, works)


def wrong_answer(sent: Sent, said: dict, works: list[str]) -> str:
    """Return what is missing or another's in an answer, empty for neither."""
    answers = answers_of(said) if sent.arrival.kind.job else [said]
    if len(answers) != len(works):
        return f"{len(answers)} answers to {len(works)} tasks"
    for index, (answer, work) in enumerate(zip(answers, works, strict=True)):
        if answer.get("work") != work or answer.get("index") != index:
            return f"task {index} was answered with {answer}"
        duration = sent.arrival.durations_ms[index]
        asked = json.dumps(task_body(work, duration)).encode()
        if answer.get("digest") not in digests_of(asked):
            return f"task {index}: the upstream saw another body"
    return ""


def digests_of(body: bytes) -> set[str]:
    """Return digests of a body as it was sent, and as compact JSON."""
    compact = json.dumps(json.loads(body), separators=(",", ":")).encode()
    return {hashlib.sha256(form).hexdigest() for form in (body, compact)}


def answers_of(said: dict) -> list[dict]:
    """Return the upstream's answers to the tasks of a job, in order."""
    return [result.get("body") or {} for result in said.get("results", [])]


async def until_served(caller: Caller) -> None:
    """Return once every entry has had an empty request of each service answered.

    A ready entry may not have heard of the upstreams yet, which announce
    themselves a moment after their agents have started. It is asked with keys of
    the caller's, for what may not run twice: a cell that has just begun takes them
    for keys of before, and refuses them for three seconds.
    """
    end = time.monotonic() + SERVED_WITHIN_S
    once = [kind for kind in KINDS if not (kind.idempotent or kind.job)]
    services = {kind.service: kind for kind in once}
    for kind in services.values():
        for _ in caller.entries:
            sent = await caller.send(empty_arrival(kind), time.monotonic())
            while sent.outcome != "answered":
                if time.monotonic() > end:
                    raise click.ClickException(f"{kind.service} isn't served: {sent}")
                await asyncio.sleep(0.1)
                caller.turn -= 1
                sent = await caller.send(empty_arrival(kind), time.monotonic())


async def empty_round_trip(caller: Caller, arrival: Arrival) -> float:
    """Return the median response time of a request that takes no time."""
    times = []
    for _ in range(EMPTY_REQUESTS):
        sent = await caller.send(arrival, time.monotonic())
        if sent.outcome != "answered":
            raise click.ClickException(f"an empty request got {sent}")
        times.append(sent.response_s)
    return sorted(times)[len(times) // 2]


def empty_arrival(kind) -> Arrival:
    """Return a request that takes no time."""
    return Arrival(0.0, kind, [0])


async def send_plan(
    planned: Plan,
    entries: list[str],
    progress: Callable[[int, int, int], None] = lambda *_: None,
) -> tuple[list[Sent], float]:
    """Send a whole plan; return what came of it, and the empty round trip.

    :param progress: told of sent, finished and planned arrivals, each second.
    """
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = Caller(session, entries, planned.seed)
        await until_served(caller)
        empty_s = await empty_round_trip(caller, empty_arrival(KINDS[0]))
        began = time.monotonic()
        tasks: list[asyncio.Task[Sent]] = []
        reporter = asyncio.create_task(report(tasks, planned, progress))
        for arrival in planned.arrivals:
            intended = began + arrival.at_s
            await asyncio.sleep(max(0.0, intended - time.monotonic()))
            tasks.append(asyncio.create_task(caller.send(arrival, intended)))
        sent = list(await asyncio.gather(*tasks))
        reporter.cancel()
        progress(len(sent), len(sent), len(sent))
        return sent, empty_s


async def report(tasks: list[asyncio.Task], planned: Plan, progress) -> None:
    """Tell of the progress, once a second."""
    while True:
        await asyncio.sleep(1)
        finished = sum(task.done() for task in tasks)
        progress(len(tasks), finished, len(planned.arrivals))


def kind_table(
    sent: list[Sent], empty_s: float, calls: dict[str, int] | None = None
) -> str:
    """Return a table with a row for each kind, and one for all.

    :param calls: upstream calls of each submission, from the upstreams' own
        records; waste counts those that no answer came of.
    """
    rows = []
    for kind in KINDS:
        of_kind = [one for one in sent if one.arrival.kind.name == kind.name]
        rows.append(row_of(kind.name, of_kind, empty_s, calls))
    rows.append(row_of("all", sent, empty_s, calls))
    headers = ["kind", "sent", "tasks", "answered", "refused", "other"]
    return table(
        [*headers, "slowdown p50", "slowdown p99", "wasted calls per answer"], rows
    )


def row_of(name: str, sent: list[Sent], empty_s: float, calls) -> list[object]:
    """Return the row of one kind."""
    measures = Measures(empty_s)
    for one in sent:
        count_outcome(measures, one, calls)
    figures = measures.report(1, 1.0)
    tasks = sum(len(one.arrival.durations_ms) for one in sent)
    waste: object = figures.waste if calls is not None else "not known"
    return [
        *(name, len(sent), tasks, figures.answered),
        *(codes_of(sent, "not_run"), codes_of(sent, "failed", "unknown", "lost")),
        *(figures.job_p50, figures.job_p99, waste),
    ]


def count_outcome(measures: Measures, one: Sent, calls) -> None:
    """Add one arrival to the measures."""
    tasks = len(one.arrival.durations_ms)
    made = 0 if calls is None else calls.get(one.key, 0)
    if one.outcome == "answered":
        own = [duration / 1000 for duration in one.arrival.durations_ms]
        measures.answer(one.response_s, own)
        measures.waste(calls=max(0, made - tasks))
        return
    measures.waste(calls=made)
    if one.outcome == "not_run":
        measures.refuse(one.response_s)
    else:
        measures.fail()


def codes_of(sent: list[Sent], *outcomes: str) -> str:
    """Return how many had one of these outcomes, by code."""
    counted: dict[str, int] = {}
    for one in sent:
        if one.outcome in outcomes:
            code = one.code or one.fault
            counted[code] = counted.get(code, 0) + 1
    each = ", ".join(f"{code} {count}" for code, count in sorted(counted.items()))
    total = sum(counted.values())
    return f"{total} ({each})" if total else "0"


def show_progress(sent: int, finished: int, planned: int) -> None:
    """Print one line of progress."""
    click.echo(f"  sent {sent} of {planned}, finished {finished}")


@click.command()
@click.option("--entry", "entries", multiple=True, required=True, help="Base URL.")
@click.option("--seed", default=7, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Length of the day.")
@click.option("--peak", default=20.0, show_default=True, help="Arrivals a second.")
@click.option("--most", default=5000, show_default=True, help="Bound on arrivals.")
@click.option("--plot", default="", help="Write slowdowns as a PNG here.")
def main(entries, seed, seconds, peak, most, plot) -> None:
    """Send one compressed day of both users' traffic to running entries."""
    planned = plan(seed, seconds, peak, most)
    click.echo(
        f"{len(planned.arrivals)} arrivals, {planned.tasks} tasks, "
        f"{planned.work_s:.0f} slot seconds, seed {seed}"
    )
    sent, empty_s = asyncio.run(send_plan(planned, list(entries), show_progress))
    click.echo(f"empty round trip {empty_s * 1000:.2f} ms")
    click.echo(kind_table(sent, empty_s))
    if plot:
        from tools.plots import plot_slowdowns

        plot_slowdowns(sent, empty_s, Path(plot))


if __name__ == "__main__":
    main()
