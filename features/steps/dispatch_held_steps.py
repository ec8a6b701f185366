"""Steps on what an agent looks up of its accepted starts."""

import collections
import math
import random
from unittest import mock

from behave import then, when

from cactuswalk.dispatch import agent, agentprogress
from cactuswalk.dispatch.agentheld import HeldState, HeldTask
from cactuswalk.dispatch.agentleases import latest_stamp, renewal_seconds
from cactuswalk.dispatch.agentstate import AgentState
from cactuswalk.dispatch.bounds import (
    CLOCK_DRIFT,
    WORKER_LEASE_SECONDS,
    orphan_lapse_seconds,
)
from cactuswalk.dispatch.job import TaskKey
from cactuswalk.dispatch.messages import Start
from cactuswalk.dispatch.soundness import pace_from_progress
from features.support.fleetsearch import SearchDay

DAY_SECONDS = 6

reduce = agent.reduce


def reduce_and_walk(state, event, now):
    effects = reduce(state, event, now)
    check_sizes(state)
    check_lookups(state)
    check_renewal(state, now)
    return effects


def check_sizes(state):
    starts = [held.start for held in state.held.values()]
    index = state.index
    assert index.cpu == sum(start.cpu for start in starts)
    assert index.memory_mb == sum(start.memory_mb for start in starts)
    assert index.gpu == sum(start.gpu for start in starts)
    assert index.suspects == sum(start.is_suspect for start in starts)


def check_lookups(state):
    index = state.index
    by_key, by_sequence, sequences = {}, {}, collections.defaultdict(dict)
    by_origin = collections.Counter()
    for handle, held in state.held.items():
        start = held.start
        by_key[start.key] = held
        by_sequence[start.incarnation, start.sequence] = handle
        sequences[held.entry][handle] = start.sequence
        by_origin[held.entry, start.incarnation] += 1
    assert index.by_key == by_key
    assert index.by_sequence == by_sequence
    assert {address: list(held) for address, held in index.sequences.items()} == {
        address: list(held) for address, held in sequences.items()
    }
    assert index.sequences == sequences
    assert index.by_origin == by_origin
    assert index.limited == {
        handle for handle, held in state.held.items() if held.must_end_by < math.inf
    }


def must_end_by(state, held):
    if held.must_end_by < math.inf:
        return held.must_end_by
    return latest_stamp(state, held) / 1000 + orphan_lapse_seconds()


def check_renewal(state, now):
    times = [must_end_by(state, held) for held in state.held.values()]
    left = (min(times, default=math.inf) - now) / (1 + CLOCK_DRIFT)
    expected = max(0.0, min(WORKER_LEASE_SECONDS, left))
    assert abs(renewal_seconds(state, now) - expected) < 1e-9


@when("each event of an agent is followed by a walk over its accepted starts")
def step_walk(context):
    patch = mock.patch.object(agent, "reduce", reduce_and_walk)
    patch.start()
    context.clean_ups = [patch.stop]


@then('days {first:d} to {last:d} of the mix "{mix}" agree with the walk')
def step_days_agree(context, first, last, mix):
    for seed in range(first, last + 1):
        day = SearchDay(seed, mix)
        day.play(DAY_SECONDS)
        assert day.fleet.starts


@when("a0 writes no debug lines")
def step_no_debug(context):
    context.fleet.states["a0"].logs_debug = False


@then("a0 has run {tasks:d} tasks and created no debug lines")
def step_none_created(context, tasks):
    context.fleet.run(1.0)
    assert len(context.fleet.starts) == tasks
    levels = {line.level for _, name, line in context.fleet.lines if name == "a0"}
    assert levels == {"info"}


def random_runs(generator):
    """Return runs of a worker, on most occasions a slow one, and the time."""
    pace = generator.choice([0.8, 1.0, 2.0, 2.4, 3.0, 4.0])
    runs = []
    for number in range(generator.randrange(12)):
        estimate_ms = generator.choice([0, 120, 400, 1800])
        ran = generator.uniform(0.05, 1.0)
        work = 100 * ran * 1000 / (pace * max(1, estimate_ms))
        percent = int(min(99, work * generator.lognormvariate(0, 0.3)))
        start = Start(
            "l",
            "l",
            0,
            number,
            "w",
            TaskKey(f"{number // 2}", 0, number % 2),
            1,
            "",
            1,
            1,
            0,
            estimate_ms,
        )
        held = HeldTask(number, "e0", start, 1, HeldState.RUNNING, 10.0 - ran)
        held.percent = percent
        held.speed = generator.choice([0.0, 0.0, percent / ran])
        runs.append(held)
    return runs


@when("{sets:d} random sets of runs are looked at for a slow worker")
def step_random_sets(context, sets):
    generator = random.Random(1)
    state = AgentState("l1", 7, [], "a0", "d0", 6.0, 5.0)
    context.sets = collections.Counter()
    for _ in range(sets):
        state.health.pace = generator.uniform(0.5, 1.5)
        runs = random_runs(generator)
        tasks = [agentprogress.progress(held, 10.0) for held in runs]
        is_slow = pace_from_progress(tasks) > state.health.slow_pace
        looked_at = agentprogress._is_half_late(state, runs, 10.0)
        context.sets[is_slow, looked_at] += 1


@then("no set that shows a slow worker is passed over")
def step_none_passed_over(context):
    assert context.sets[True, True] > 1000, context.sets
    assert not context.sets[True, False], context.sets


@then("at least half of the other sets are")
def step_others_passed_over(context):
    assert context.sets[False, False] >= context.sets[False, True], context.sets
