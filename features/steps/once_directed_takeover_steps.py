"""Steps that cause failures around a takeover."""

from types import SimpleNamespace

import msgspec
from behave import given, then, when

from cactuswalk.errors import CactuswalkError
from cactuswalk.messages import HandOver, Pong, ReplicateRecords
from cactuswalk.model import CellRecord
from cactuswalk.model.cell import Member
from cactuswalk.state import recovery
from cactuswalk.state.effects import SwapKey
from cactuswalk.state.events import KeyRead, KeySwapped, SwapOutcome
from cactuswalk.state.roster import cell_key
from features.support.bag import CELL
from features.support.directed import (
    AGENTS,
    SETTLE_S,
    await_owner,
    cell,
    drop,
    isolate,
    others,
    owner_name,
    run_full,
    stored,
)


def begin(context) -> None:
    context.bag = cell(AGENTS)
    context.bag.run(1.0)
    context.owner = owner_name(context.bag)
    context.epoch = context.bag.owner().state.owner.record.epoch
    context.job = None


def kill_owner(context, resubmit: bool = True) -> None:
    context.bag.kill(owner_name(context.bag))
    if resubmit:
        context.again = context.bag.submit("entry-1", context.job, 8000)


@given("a directed cell without work")
def step_idle(context):
    begin(context)


@given("a directed cell whose every slot runs a task")
def step_full(context):
    begin(context)
    context.job = run_full(context.bag, AGENTS, 4000)


@given("a directed cell that has answered a job on every worker")
def step_answered(context):
    begin(context)
    context.job = run_full(context.bag, AGENTS, 100)
    context.bag.run(1.0)
    assert len({one.worker for one in context.bag.starts()}) == AGENTS


@given("a directed cell whose confirmations take 600 ms")
def step_slow_pongs(context):
    begin(context)
    context.bag.fate = lambda sender, receiver, message: (
        [0.6] if isinstance(message, Pong) else [0.0005]
    )
    context.bag.run(3.0)


@when("its owner is killed and the job is resubmitted at the other entry")
def step_kill(context):
    kill_owner(context)
    context.bag.run(SETTLE_S)


@when("the owner sleeps, and its successor dies before its records have a backup")
def step_two_owners(context):
    bag = context.bag
    drop(bag, ReplicateRecords)
    # It resumes before it is removed from the roster, so that only one host is missing.
    bag.freeze(context.owner, 2.5)
    bag.run(4.0)
    assert not bag.owner().state.owner.backup_ready
    assert bag.owner().name != context.owner
    kill_owner(context)
    bag.run(SETTLE_S)


@when("the owner and a worker without copies are killed at once")
def step_two_hosts(context):
    bag = context.bag
    backup = bag.owner().state.owner.backup.worker
    bag.kill(next(name for name in others(bag) if name != backup))
    kill_owner(context)
    bag.run(SETTLE_S)


def remove_worker(context) -> None:
    bag = context.bag
    backup = bag.owner().state.owner.backup.worker
    name = next(name for name in others(bag) if name != backup)
    bag.kill(name)
    bag.run(6.0)
    assert name not in [one.worker for one in stored(bag).roster]


@when("a worker is removed, the copies of its records are lost, and the owner dies")
def step_departed(context):
    drop(context.bag, ReplicateRecords)
    remove_worker(context)
    kill_owner(context)
    context.bag.run(SETTLE_S)


@when("a worker is removed and the owner dies a while later")
def step_departed_copied(context):
    remove_worker(context)
    kill_owner(context)
    context.bag.run(SETTLE_S)


def isolate_at_hand_over(context) -> None:
    """Cut the owner and entry-0 off just after the hand-over has left."""

    def watch(kind, process, what, delays):
        if kind == "sent" and isinstance(what, HandOver):
            context.bag.watch = None
            isolate(context.bag, [process.name, "entry-0"])
        return delays

    context.bag.watch = watch


@when("the owner hands over, is cut off with an entry, and a job waits at both")
def step_hand_over(context):
    bag = context.bag
    isolate_at_hand_over(context)
    bag.stop(context.owner)
    assert bag.run_until(lambda: bag.watch is None, 2.0)
    bag.add_entry("entry-2")
    isolate(bag, [context.owner, "entry-0"])
    context.waiting = bag.job(tasks=1, duration_ms=50, request=False)
    context.cut_off = bag.submit("entry-0", context.waiting, 600)
    # An entry reads the current owner as soon as it starts.
    bag.run(0.2)
    bag.submit("entry-2", context.waiting, 8000)
    bag.run(SETTLE_S)


@when("a successor is alone for a while, then the old owner is, and a job waits")
def step_alone(context):
    bag = context.bag
    context.successor = ""

    def watch(kind, process, what, delays):
        if kind == "taken" and isinstance(what, HandOver):
            bag.watch = None
            context.successor = process.name
            isolate(bag, [process.name])
        return delays

    bag.watch = watch
    bag.stop(context.owner)
    assert bag.run_until(lambda: bool(context.successor), 2.0)
    bag.add_entry("entry-2")
    # Keys created 3 s after the successor began to serve are new to it.
    bag.run(4.3)
    bag.cut.clear()
    isolate(bag, [context.owner, "entry-0"])
    context.waiting = bag.job(tasks=1, duration_ms=50, request=False)
    context.cut_off = bag.submit("entry-0", context.waiting, 700)
    bag.submit("entry-2", context.waiting, 8000)
    bag.run(SETTLE_S)


@when("the owner is cut off with an entry while a job waits there and elsewhere")
def step_cut_off(context):
    bag = context.bag
    isolate(bag, [context.owner, "entry-0"])
    # Its standing has ended; it learns later that it was removed.
    bag.run(1.1)
    context.waiting = bag.job(tasks=1, duration_ms=50, request=False)
    context.cut_off = bag.submit("entry-0", context.waiting, 1500)
    bag.submit("entry-1", context.waiting, 9000)
    bag.run(1.7)
    assert bag.processes[f"tcp://{context.owner}"].state.owner is not None
    bag.run(SETTLE_S)


@when("what the directed owner sends is lost from now on")
def step_lose_sent(context):
    context.bag.cut_off(context.owner, both=False)


@when("the service is down, the owner has a minority, and a job is submitted")
def step_minority(context):
    bag = context.bag
    bag.key_value.down = True
    isolate(bag, [context.owner, "entry-0", others(bag)[0]])
    bag.run(1.1)
    context.job = bag.job(tasks=3, duration_ms=50)
    bag.submit("entry-0", context.job, 3000)
    bag.run(SETTLE_S)


@when("one worker stops hearing the owner for ten seconds")
def step_one_way(context):
    bag = context.bag
    bag.cut.add((f"tcp://{context.owner}", f"tcp://{others(bag)[-1]}"))
    bag.run(10.0)


@when("the owner is killed and the reply to the takeover's swap is lost")
def step_lost_reply(context):
    context.bag.key_value.lose_replies = 1
    kill_owner(context)
    context.bag.run(SETTLE_S)


@when("the owner is killed and the takeover's swap is written three seconds late")
def step_late_swap(context):
    bag, service = context.bag, context.bag.key_value
    swap, held = service.swap, []

    def hold(effect: SwapKey) -> KeySwapped:
        held.append(effect)
        return KeySwapped(effect.key, effect.write_id, SwapOutcome.UNKNOWN, 0)

    service.swap = hold
    kill_owner(context)
    assert bag.run_until(lambda: bool(held), 5.0)
    bag.run(3.0)
    service.swap = swap
    assert swap(held[0]).outcome is SwapOutcome.APPLIED
    bag.run(SETTLE_S)


@when("the owner is killed and the first swap's reply comes five seconds late")
def step_late_reply(context):
    bag, perform, slow = context.bag, context.bag._perform, []

    def delayed(process, effect) -> None:
        """Delay the service's replies to the process that swaps first."""
        if isinstance(effect, SwapKey) and not slow:
            slow.append(process)
        bag.key_value.delay = 5.0 if process in slow else 0.003
        perform(process, effect)

    bag._perform = delayed
    kill_owner(context)
    bag.run(2 * SETTLE_S)
    assert stored(bag).owner.worker != slow[0].name, "it was not overtaken"


@given("a directed cell that has been taken over twice")
def step_taken_twice(context):
    begin(context)
    context.first = dict(context.bag.key_value.values)
    for _ in range(2):
        kill_owner(context, resubmit=False)
        await_owner(context.bag)
        context.bag.run(5.0)


@when("the service is restored to its first record and the owner is killed")
def step_gone_back(context):
    bag = context.bag
    record = msgspec.json.decode(context.first[cell_key(CELL)][0], type=CellRecord)
    # The candidates look for the epoch whose owner they no longer hear.
    old = msgspec.structs.replace(
        record, epoch=bag.owner().state.owner.record.epoch - 1
    )
    candidate = bag.processes[f"tcp://{others(bag)[0]}"]
    bag.kill(owner_name(bag))
    context.swaps = []
    bag.key_value.swap = lambda effect: context.swaps.append(effect)
    candidate.state.candidate.wanted_epoch = old.epoch
    event = KeyRead(cell_key(CELL), True, msgspec.json.encode(old), 1)
    try:
        candidate.handle(event, bag.now)
    except CactuswalkError as error:
        context.error = error


@then('a directed member stops with "{expected}" before it writes')
def step_stops(context, expected):
    assert (context.error.code, context.swaps) == (expected, [])


@then("every directed agent but the dead owner is a member")
def step_members(context):
    roster = {one.worker for one in stored(context.bag).roster}
    live = {f"worker-{number}" for number in range(AGENTS)} - {context.owner}
    assert roster == live, roster


@when("the owner is killed and its successor right after the swap")
def step_dead_candidate(context):
    bag = context.bag
    kill_owner(context)
    assert bag.run_until(lambda: stored(bag).epoch > context.epoch, 5.0)
    bag.kill(stored(bag).owner.worker)
    bag.run(2 * SETTLE_S)


@when("each of three owners in a row is killed once it serves")
def step_owners(context):
    bag = context.bag
    for _ in range(2):
        kill_owner(context, resubmit=False)
        await_owner(bag)
        bag.run(5.0)
    kill_owner(context)
    bag.run(SETTLE_S)


@when("all its agents are restarted at once and the cell has an owner again")
def step_restart_all(context):
    bag = context.bag
    for number in range(AGENTS):
        bag.kill(f"worker-{number}")
        bag.add_agent(f"worker-{number}")
    await_owner(bag)
    bag.run(3.0)
    context.again = bag.submit("entry-1", context.job, 8000)
    bag.run(SETTLE_S)


@when("the service is down for an hour and a job is submitted each minute")
def step_hour(context):
    context.bag.key_value.down = True
    for _ in range(60):
        job = context.bag.job(tasks=2, duration_ms=50)
        context.bag.submit("entry-1", job)
        context.bag.run(60.0)


@when("the service loses its data and a worker dies and comes back later")
def step_data_lost(context):
    bag = context.bag
    bag.key_value.values.clear()
    name = others(bag)[0]
    bag.kill(name)
    bag.run(SETTLE_S)
    bag.add_agent(name)
    bag.run(SETTLE_S)


def can_serve(fenced, now):
    """Tell whether a successor that fenced some of five members can serve."""
    roster = [Member(f"w{n}", f"i{n}", f"tcp://h{n}") for n in range(5)]
    state = SimpleNamespace(
        earlier=SimpleNamespace(roster=roster, owner=roster[4], backed_up=False),
        replaced=set(),
        peers={
            member.incarnation: SimpleNamespace(fenced=number < fenced)
            for number, member in enumerate(roster)
        },
        old_owner_until=10.0,
        fenced_at=0.0,
        timing=SimpleNamespace(confirm=1.0),
    )
    return recovery._can_serve(state, now)


@then("a successor of five members that has fenced two may not serve, however late")
def step_two_of_five(context):
    assert not any(can_serve(2, now) for now in (9.0, 11.0, 1000.0))


@then("one that has fenced three may, once the old owner's word is old")
def step_three_of_five(context):
    assert not can_serve(3, 9.0)
    assert can_serve(3, 1000.0)
