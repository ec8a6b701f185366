"""Steps on what an agent looks up of its accepted starts."""

import collections
import math
from unittest import mock

from behave import then, when

from cactuswalk.dispatch import agent
from cactuswalk.dispatch.agentleases import latest_stamp, renewal_seconds
from cactuswalk.dispatch.bounds import (
    CLOCK_DRIFT,
    WORKER_LEASE_SECONDS,
    orphan_lapse_seconds,
)
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
