"""Steps on outages of all hosts under the users' load."""

import collections
import statistics

from behave import given, then, when

from cactuswalk.dispatch.loadpolicy import LoadPolicy
from features.support.outageload import OutageDay, OutageFleet
from features.support.shiftedload import WaveLoad

# Worth of a late answer, where one on time is worth 1.
LATE_WORTH = 0.2
# Rate of the waves at 1.3 times the workers' capacity.
OVERLOAD_RATE = 2.2
OVERLOAD_SECONDS = 6.0
OVERLOAD_SEEDS = (1, 2)


class Outcome:
    """How the jobs of several outages ended, in total."""

    def __init__(self, days):
        self.days = days
        self.outage = sum((day.outage() for day in days), collections.Counter())
        self.served = sum((day.served() for day in days), collections.Counter())
        self.blind = sum(len(day.fleet.blind_refusals) for day in days)
        self.useful_blind = sum(len(day.useful_blind_refusals()) for day in days)

    def on_time(self):
        return self.outage["on time"] + self.served["on time"]

    def jobs(self):
        return self.outage.total() + self.served.total()

    def show(self, label):
        print(
            f"{label}: in the outage {dict(self.outage)},"
            f" later {dict(self.served)}; refused blindly {self.blind},"
            f" of them {self.useful_blind} that could have been useful"
        )


def earned(ends):
    return ends["on time"] + LATE_WORTH * ends["late"]


@given("outages of {entries:d} entries and {agents:d} agents, with the seeds 1 to 4")
def step_outages(context, entries, agents):
    context.make_day = lambda seed, serves_late: OutageDay(
        seed, LoadPolicy(serves_late=serves_late), entries, agents
    )


def play(context, **faults):
    outcomes = []
    for serves_late in (True, False):
        days = [context.make_day(seed, serves_late) for seed in range(1, 5)]
        for day in days:
            day.play(**faults)
        outcomes.append(Outcome(days))
        outcomes[-1].show("with" if serves_late else "without")
    context.outcome, context.without = outcomes


@when("they are played with late jobs served, and without, and nothing else fails")
def step_play(context):
    play(context)


@when(
    "they are played with late jobs served, and without, and the store is down for"
    " {seconds:g} seconds"
)
def step_store_down(context, seconds):
    play(context, store_down=seconds)


@when(
    "they are played with late jobs served, and without, and a third of the hosts is"
    " back {seconds:g} seconds later"
)
def step_third_late(context, seconds):
    play(context, late_share=1 / 3, late_seconds=seconds)


@when(
    "they are played with late jobs served, and without, and the power fails again"
    " after {seconds:g} seconds"
)
def step_again(context, seconds):
    play(context, again_after=seconds)


@then("with late jobs served, no job that could be useful is refused blindly")
def step_no_blind_refusal(context):
    assert context.outcome.useful_blind == 0, context.outcome.useful_blind


@then("{share:d} of 100 jobs that arrive from 0.3 seconds on are on time")
def step_on_time(context, share):
    served = context.outcome.served
    assert served["on time"] >= share / 100 * served.total(), dict(served)


@then("no fewer jobs are on time than without, to within {noise:d} of 100")
def step_not_fewer(context, noise):
    outcome, without = context.outcome, context.without
    least = without.on_time() - noise / 100 * without.jobs()
    assert outcome.on_time() >= least, (outcome.on_time(), without.on_time())


@then(
    "the jobs that arrive in the outage earn more than without, if any is refused there"
)
def step_earned(context):
    outcome, without = context.outcome, context.without
    worth, worth_without = earned(outcome.outage), earned(without.outage)
    assert worth >= worth_without, (worth, worth_without)
    if without.outage["not_run"]:
        assert worth > worth_without, (worth, worth_without)


@then("no task runs twice at once, and no worker gets more than its capacity")
def step_safe(context):
    for day in context.outcome.days + context.without.days:
        assert not day.fleet.overlaps, day.fleet.overlaps[:3]
        assert not day.fleet.overloads, day.fleet.overloads


@given(
    "an outage of {entries:d} entries and {agents:d} agents in which the store stays"
    " down"
)
def step_store_stays_down(context, entries, agents):
    policy = LoadPolicy(serves_late=True)
    context.fleet = OutageFleet(1, policy, entries, agents)
    context.fleet.cut_power()
    context.fleet.run(1.0)
    context.fleet.store_back_at = context.fleet.now + 60.0
    context.fleet.start_all()


@when("{seconds:g} seconds have passed since the power is back")
def step_passed(context, seconds):
    context.fleet.run(seconds)


@then("each entry knows an open worker, and each worker is open at an entry")
def step_found(context):
    fleet = context.fleet
    known = {
        name: {
            address
            for address, view in fleet.states[name].views.items()
            if view.is_open(fleet.clock(name))
        }
        for name in fleet.entry_names
    }
    assert all(known.values()), known
    assert set().union(*known.values()) == set(fleet.workers), known


@given(
    "a load of 1.3 times the capacity on {entries:d} entries and {agents:d} agents,"
    " without an outage"
)
def step_overload(context, entries, agents):
    context.pairs = []
    for seed in OVERLOAD_SEEDS:
        loads = []
        for serves_late in (True, False):
            policy = LoadPolicy(serves_late=serves_late)
            fleet = OutageFleet(seed, policy, entries, agents)
            loads.append(WaveLoad(fleet, OVERLOAD_RATE, OVERLOAD_SECONDS, seed))
        context.pairs.append(loads)


@then("each job ends as it does without the setting, and at the same time")
def step_same(context):
    for loads in context.pairs:
        for load in loads:
            load.fleet.run(OVERLOAD_SECONDS + 8.0)
        ends = [
            {
                waiter: (at, answer.verdict)
                for waiter, (at, answer) in load.fleet.answers.items()
            }
            for load in loads
        ]
        verdicts = collections.Counter(verdict for _, verdict in ends[0].values())
        print(dict(verdicts))
        assert len(verdicts) > 1, verdicts
        assert ends[0] == ends[1]


@when("one entry restarts after {seconds:g} seconds, in both")
def step_restart_alone(context, seconds):
    context.restarted_after = seconds
    for loads in context.pairs:
        for load in loads:
            fleet = load.fleet
            fleet.run(seconds)
            fleet.kill("e0")
            fleet.run(0.5)
            fleet.start_entry("e0", fleet.states["e0"].data_centre)
            load.restarted_at = fleet.now
            load.restarted_waiters = record_arrivals(fleet, "e0")
            fleet.run(OVERLOAD_SECONDS + 8.0)


def record_arrivals(fleet, entry):
    """Return a list that gets the waiters of the jobs that come to an entry."""
    waiters = []
    submit = fleet.submit

    def record(name, *arguments, **options):
        waiter = submit(name, *arguments, **options)
        if name == entry:
            waiters.append(waiter)
        return waiter

    fleet.submit = record
    return waiters


def restarted(context, index):
    """Return the numbers on time and of all jobs, and the waits for refusals."""
    on_time = jobs = 0
    waits = []
    for loads in context.pairs:
        fleet = loads[index].fleet
        for waiter in loads[index].restarted_waiters:
            jobs += 1
            on_time += fleet.is_on_time(waiter)
            if fleet.verdict(waiter) == "not_run":
                waits.append(fleet.took(waiter))
    print(f"{on_time} of {jobs} on time, {len(waits)} refused")
    return on_time, jobs, waits


@then(
    "no fewer of its jobs are on time than without the setting, to within {noise:d} of"
    " 100"
)
def step_restarted_on_time(context, noise):
    (on_time, jobs, context.waits), (least, _, context.waits_without) = (
        restarted(context, index) for index in range(2)
    )
    assert on_time >= least - noise / 100 * jobs, (on_time, least, jobs)


@then(
    "half of its refusals come within {seconds:g} seconds of the time they take without"
)
def step_refused_as_soon(context, seconds):
    waits = [
        statistics.median(waits) for waits in (context.waits, context.waits_without)
    ]
    print(f"median wait for a refusal {waits[0]:.3f} and {waits[1]:.3f} s")
    assert waits[0] <= waits[1] + seconds, waits
