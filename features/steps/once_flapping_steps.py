"""Steps for workers that die, freeze and come back over and over."""

from behave import given, then, when

from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.model import Announcement, Capacity, Job, Outcome, TaskSpec
from features.support.directed import others, outcome
from features.support.judge import violations

# 12 bookings of 280 ms in each tenth of a second are 34 of the cell's 40 slots.
EVERY_S = 0.1
BOOKINGS = 12
BOOKING_MS = 280
DEADLINE_MS = 5000

LIFE_S = 4.0
AWAY_S = 1.0


def load(context, seconds: float) -> None:
    """Send bookings at an even pace."""
    bag = context.bag
    end = bag.now + seconds
    while bag.now < end:
        for _ in range(BOOKINGS):
            job = bag.job(duration_ms=BOOKING_MS)
            bag.submit("entry-0", job, DEADLINE_MS, minted=True)
        bag.run(EVERY_S)


@when("a worker dies every five seconds, {times} times, under a full load of bookings")
def step_flap(context, times):
    bag = context.bag
    context.away = others(bag)[-1]
    for _ in range({"two": 2, "eight": 8}[times]):
        load(context, LIFE_S)
        bag.kill(context.away)
        load(context, AWAY_S)
        bag.add_agent(context.away)


@when(
    "a worker is frozen for {seconds:d} s, three times, under a full load of bookings"
)
def step_freeze(context, seconds):
    context.away = others(context.bag)[-1]
    for _ in range(3):
        load(context, LIFE_S)
        context.bag.freeze(context.away, seconds)
        load(context, seconds)


def of_outcome(context, told: Outcome) -> int:
    return sum(outcome(one) is told for one in context.bag.handed.values())


@then("at most {most:d} of the callers were told unknown")
def step_unknown(context, most):
    context.bag.run(2 * DEADLINE_MS / 1000)
    unknown = of_outcome(context, Outcome.UNKNOWN)
    assert unknown <= most, f"{unknown} of {len(context.bag.handed)}"


@then('the other callers were answered, or told "not run" of what did not run')
def step_others(context):
    context.bag.run(2 * DEADLINE_MS / 1000)
    told = {outcome(one) for one in context.bag.handed.values()}
    assert told <= {Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN}, told
    answered = of_outcome(context, Outcome.ANSWERED)
    assert answered >= 0.9 * len(context.bag.handed), answered
    assert violations(context.bag) == []


@then("the worker that was away gets work again within {seconds:d} s")
def step_works(context, seconds):
    since = context.bag.now
    load(context, seconds)
    starts = [one for one in context.bag.starts() if one.at > since]
    assert any(one.worker == context.away for one in starts), len(starts)


@given("a scheduler with {count:d} workers that have each died three times")
def step_scheduler(context, count):
    context.scheduler = Scheduler()
    context.workers = [
        Announcement(f"w{number}", "routes", "dc", "rack", {}, Capacity(8))
        for number in range(count)
    ]
    for announcement in context.workers:
        context.scheduler.set_worker(announcement, True, 0.0)
    for announcement in context.workers:
        for _ in range(3):
            context.scheduler.record_worker_death(announcement.worker, 0.0)
        context.scheduler.remove_worker(announcement.worker, 0.0)


@when("all of them are back")
def step_back(context):
    for announcement in context.workers:
        context.scheduler.set_worker(announcement, True, 1.0)


@then("at most {most:d} of them are held back")
def step_held(context, most):
    job = Job("team/key", b"", "routes", "team", [TaskSpec(b"")])
    found = context.scheduler.explain(job, 1.0)
    away = [one for one in found if "ejected" in one.verdict]
    assert 0 < len(away) <= most, [one.verdict for one in found]
