"""Steps for one service on several cells."""

import asyncio
from collections.abc import Callable

from behave import given, then, when

from cactuswalk.errors import CactuswalkError
from cactuswalk.http.operators_cells import CellRetirement
from cactuswalk.messages import CededSlots
from cactuswalk.model import Outcome
from cactuswalk.model.cell import cell_key
from cactuswalk.model.holding import SLOT_COUNT
from cactuswalk.state.effects import ReadKey, SwapKey
from cactuswalk.state.events import Announced, SwapOutcome
from features.support.bag import CELL, WALL_MS, Process
from features.support.cells import (
    SECOND,
    add_cell,
    held_by,
    overlaps,
    records,
    tell_records,
    two_cells,
)
from features.support.cellscript import CELL_SCRIPTS, play_cells
from features.support.judge import violations
from features.support.runs import run_scripts

ENTRIES = ("entry-0", "entry-1", "entry-2")


@given("two cells of one service and an entry that knows only the first")
def step_two_cells(context):
    context.bag = two_cells()


@when("a host of the first cell starts in the second, and the first is taken over")
def step_changes_cell(context):
    bag = context.bag
    context.owner = bag.owner(SECOND).name
    context.epoch = bag.owner(SECOND).state.owner.record.epoch
    first = bag.owner(CELL)
    roster = first.state.owner.record.roster
    host = next(one.worker for one in roster if one.worker != first.name)
    bag.kill(host)
    bag.add_agent(host, cell=SECOND)
    bag.run(0.5)
    bag.kill(first.name)
    # The third host alone is not a majority: the killed owner returns to the cell.
    bag.add_agent(first.name, cell=CELL)
    bag.run(10.0)
    assert bag.owner(CELL).state.owner.record.epoch > first.state.owner.record.epoch


@then("the second cell has the owner and the epoch that it had")
def step_same_second(context):
    owner = context.bag.owner(SECOND)
    assert owner.name == context.owner
    assert owner.state.owner.record.epoch == context.epoch
    assert violations(context.bag) == []


@when("{count:d} keys are submitted at both entries")
def step_submit_both(context, count):
    for _ in range(count):
        job = context.bag.job()
        context.bag.submit("entry-0", job)
        context.bag.submit("entry-1", job)
        context.bag.run(0.05)
    context.bag.run(8.0)


@when("{count:d} keys are submitted at the entry that knows both and then at the other")
def step_submit_one_after_another(context, count):
    jobs = [context.bag.job() for _ in range(count)]
    for entry in ("entry-1", "entry-0"):
        for job in jobs:
            context.bag.submit(entry, job)
        context.bag.run(8.0)


@then("every submission at either entry is answered and ran once")
def step_ran_once(context):
    found = violations(context.bag)
    assert found == [], found
    outcomes = [handed.reply.outcome for handed in context.bag.handed.values()]
    assert set(outcomes) == {Outcome.ANSWERED}, outcomes


def submit_everywhere(context, count: int = 20, service: str = "routes") -> None:
    """Submit new keys, and the latest ones again, at entries in turn."""
    context.jobs = getattr(context, "jobs", [])
    context.jobs += [context.bag.job(service=service) for _ in range(count)]
    entries = [name for name in ENTRIES if f"tcp://{name}" in context.bag.processes]
    for job in context.jobs[-3 * count :]:
        for entry in entries:
            context.bag.submit(entry, job, 4000)


def start_third_entry(context) -> None:
    """Start an entry that knows only the third cell, and sends everything there."""
    context.bag.add_entry("entry-2", ["cell-3"])
    context.bag.run(2.0)


def at_cession(context, act: Callable[[Process], None]) -> None:
    """Act on the owner that cedes slots next, as its swap takes effect."""
    bag = context.bag

    def watch(kind, process, what, delays):
        owner = getattr(process.state, "owner", None)
        ceding = owner is not None and owner.sharing.cession is not None
        if ceding and kind == "performed" and isinstance(what, SwapKey):
            bag.watch = None
            act(process)
        return delays

    bag.watch = watch


@when("a cession's reply is lost, and keys come before and after it is known")
def step_reply_lost(context):
    bag = context.bag

    def go_away(process):
        bag.key_value.down = True

    swap = bag.key_value.swap

    def lose_cessions(effect):
        done = swap(effect)
        ceding = bag.watch is not None and b'"cell-3"' in effect.value
        if ceding and effect.key != cell_key("cell-3"):
            done.outcome = SwapOutcome.UNKNOWN
        return done

    bag.key_value.swap = lose_cessions
    at_cession(context, go_away)
    for number in range(3):
        bag.add_agent(f"cell-3-{number}", cell="cell-3")
    assert bag.run_until(lambda: bag.watch is None), "nothing was ceded"
    # Until the start time of the ceded keys has passed.
    bag.run(5.0)
    submit_everywhere(context)
    bag.run(2.0)
    bag.key_value.down = False
    bag.run(6.0)
    start_third_entry(context)
    submit_everywhere(context)
    bag.run(20.0)


@when("each message of a cession is repeated 20 s later, and a third cell asks")
def step_word_again(context):
    bag = context.bag
    bag.fate = lambda sender, receiver, message: (
        [0.0005, 20.0] if isinstance(message, CededSlots) else [0.0005]
    )
    for cell in ("cell-3", "cell-4"):
        add_cell(bag, cell)
    for _ in range(4):
        bag.run(8.0)
        submit_everywhere(context)
    bag.run(20.0)


@when("the owner of a ceding cell dies as its swap takes effect")
def step_ceding_dies(context):
    at_cession(context, lambda process: context.bag.kill(process.name))
    add_cell(context.bag, "cell-3")
    assert context.bag.watch is None, "nothing was ceded"
    for _ in range(4):
        submit_everywhere(context)
        context.bag.run(10.0)


@when("a third cell asks for its share")
def step_third_asks(context):
    context.cessions = []

    def note(process):
        owner = process.state.owner
        now_ms = context.bag.now * 1000 + WALL_MS
        margin_ms = owner.timing.clock_margin * 1000
        context.cessions.append((owner.sharing.cession.from_ms, now_ms, margin_ms))

    at_cession(context, note)
    add_cell(context.bag, "cell-3")


@then("the ceded keys are born later than the clock furthest ahead says now")
def step_unborn(context):
    assert context.cessions, "nothing was ceded"
    for from_ms, now_ms, margin_ms in context.cessions:
        assert from_ms > now_ms + margin_ms, (from_ms, now_ms, margin_ms)


@when("a cell whose clock is a minute behind is asked for its share")
def step_clock_behind(context):
    bag = context.bag
    add_cell(bag, "cell-3", wall_ms=WALL_MS - 60_000)
    bag.run(10.0)
    add_cell(bag, "cell-4", agents=6)
    for _ in range(3):
        submit_everywhere(context)
        bag.run(10.0)
    assert any(
        one.ceded_by == "cell-3" for record in records(bag) for one in record.holdings
    ), "the cell whose clock is behind has ceded nothing"


@when("both cells begin a new service at once and replies are lost")
def step_new_service(context):
    bag = context.bag
    context.service = "stays"
    bag.key_value.lose_replies = 4
    for cell in (CELL, SECOND):
        bag.add_agent(f"{cell}-new", service="stays", cell=cell)
    for _ in range(3):
        bag.run(5.0)
        submit_everywhere(context, service="stays")
    bag.run(20.0)


@when("both cells' owners are replaced, a third cell asks, and every key comes again")
def step_owners_die(context):
    bag = context.bag
    submit_everywhere(context)
    # Longer than the records that a new owner collects reach back.
    bag.run(3 * bag.timing.lookback)
    for cell in (CELL, SECOND):
        bag.kill(bag.owner(cell).name)
    bag.run(6.0)
    add_cell(bag, "cell-3")
    start_third_entry(context)
    for _ in range(2):
        submit_everywhere(context)
        bag.run(10.0)


@when("the workers of the first cell withdraw for 20 s")
def step_withdraw(context):
    bag = context.bag
    for process in list(bag.processes.values()):
        if getattr(process.state, "cell", "") == CELL:
            bag._at(0.0, process.address, Announced(None))
    bag.run(20.0)


@then("the second cell holds all new keys and answers them at either entry")
def step_second_holds(context):
    assert held_by(context.bag, SECOND) == SLOT_COUNT
    before = len(context.bag.handed)
    submit_everywhere(context)
    context.bag.run(6.0)
    handed = list(context.bag.handed.values())[before:]
    assert {one.reply.outcome for one in handed} == {Outcome.ANSWERED}


@then("no submission ran twice and no key falls to two cells")
def step_no_overlap(context):
    found = violations(context.bag) + overlaps(context.bag)
    assert found == [], found


@then("every slot of the service is held once for new keys")
def step_all_held(context):
    service = getattr(context, "service", "routes")
    cells = [record.cell for record in records(context.bag)]
    held = {cell: held_by(context.bag, cell, service) for cell in cells}
    assert sum(held.values()) == SLOT_COUNT and all(held.values()), held


@given("{count:d} scripts of cells that are added and removed, from seed {number:d}")
def step_cell_scripts(context, count, number):
    context.script_count, context.script_seed = count, number


@when("each is run on the reducers of several cells")
def step_play_cells(context):
    context.played, context.overlaps = 0, []

    def tell(played):
        context.played += 1
        context.overlaps += played.overlaps

    run_scripts(
        CELL_SCRIPTS, play_cells, context.script_seed, context.script_count, tell
    )


@then("no guarantee was violated, and no key was ever held by two cells")
def step_none_broken(context):
    assert context.played >= context.script_count
    assert context.overlaps == [], context.overlaps[:3]


@when("the service goes away, an owner dies, and requests with and without keys come")
def step_lost_owner(context):
    bag = context.bag
    tell_records(bag, "entry-1")
    bag.key_value.down = True
    bag.kill(bag.owner(SECOND).name)
    bag.run(3.0)
    context.minted, context.own = [], []
    for _ in range(40):
        context.minted.append(bag.submit("entry-1", bag.job(), 4000, minted=True))
        context.own.append(bag.submit("entry-1", bag.job(), 4000))
    bag.run(8.0)


@then(
    "all without keys are answered, and those with keys of the lost cell are told "
    "unknown at once"
)
def step_lost_owner_told(context):
    minted = {one.reply.outcome for one in context.minted}
    assert minted == {Outcome.ANSWERED}, minted
    refused = [one for one in context.own if one.reply.refusal]
    assert 0 < len(refused) < len(context.own), len(refused)
    for one in refused:
        assert one.reply.outcome is Outcome.UNKNOWN
        assert one.reply.refusal.retry_after_ms
        assert one.replied_at - one.at < 0.1, one.replied_at - one.at


class BagStore:
    """The bag's key-value service, as the operators' interface calls it."""

    def __init__(self, bag):
        self.fake = bag.key_value

    async def read(self, key):
        return self.fake.read(ReadKey(key))

    async def swap(self, key, expected, value, write_id):
        return self.fake.swap(SwapKey(key, expected, value, write_id))


def run_refused(asked) -> str:
    """Run a call that should be refused, and return the error code."""
    try:
        asyncio.run(asked)
    except CactuswalkError as error:
        return error.code
    return "not refused"


@when("keys are answered, the second cell is permanently lost, and it is retired")
def step_retire(context):
    bag = context.bag
    submit_everywhere(context)
    bag.run(6.0)
    for process in bag.processes.values():
        if getattr(process.state, "cell", "") == SECOND:
            process.alive = False
    bag.run(6.0)
    context.before = [
        job
        for job in context.jobs
        if any(
            one.submission == job.submission and one.worker.startswith(f"{SECOND}-")
            for one in bag.starts()
        )
    ]
    retirement = CellRetirement(
        BagStore(bag), lambda cell: False, lambda: int(WALL_MS + bag.now * 1000)
    )
    refused = run_refused(retirement.retire(SECOND, CELL, False))
    assert refused == "usage", refused
    done = [asyncio.run(retirement.retire(SECOND, CELL, True)) for _ in range(2)]
    assert [one["written"] for one in done] == [True, False]
    retirement.is_heard = lambda cell: True
    assert run_refused(retirement.retire(SECOND, CELL, True)) == "cell_alive"
    tell_records(bag, "entry-1")
    bag.run(10.0)


@then("the first cell holds all new keys and answers them at either entry")
def step_first_holds(context):
    assert held_by(context.bag, CELL) == SLOT_COUNT
    handed = [
        context.bag.submit(entry, context.bag.job(), 4000)
        for _ in range(20)
        for entry in ("entry-0", "entry-1")
    ]
    context.bag.run(6.0)
    assert {one.reply.outcome for one in handed} == {Outcome.ANSWERED}


@then("the lost cell's earlier keys are answered as unknown when they are resubmitted")
def step_lost_keys(context):
    assert context.before
    handed = [
        context.bag.submit(entry, job, 4000)
        for job in context.before
        for entry in ("entry-0", "entry-1")
    ]
    context.bag.run(8.0)
    assert {one.reply.outcome for one in handed} == {Outcome.UNKNOWN}
