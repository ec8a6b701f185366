"""Steps for the bounds of what is kept, on the reducers."""

from behave import given, then, when

from cactuswalk.model import Outcome, RefusalCode
from cactuswalk.state.answered import ANSWERED_OVERHEAD_BYTES, unpack
from cactuswalk.state.answers import find_submission
from cactuswalk.state.retention import RECORD_BYTES
from features.support.bag import small_cell
from features.support.judge import violations

ROOM = 20
# Less than a packed answer of one task here, so that there is no more room.
PACKED_BYTES = 150


@given("a settled cell with room for {room:d} kept answers")
def step_small_ledger(context, room):
    context.bag = small_cell(3, seed=5)
    owner = context.bag.owner().state.owner
    owner.maximum_bytes = room * (ANSWERED_OVERHEAD_BYTES + PACKED_BYTES)


@given("a settled cell with room for 20 records on each agent")
def step_small_books(context):
    context.bag = small_cell(3, seed=5)
    for process in context.bag.processes.values():
        if hasattr(process.state, "agent"):
            process.state.agent.gate.records.maximum_bytes = ROOM * RECORD_BYTES


@when("{count:d} requests of 120 ms are answered")
def step_many(context, count):
    context.handed = []
    for _ in range(count):
        job = context.bag.job(duration_ms=120)
        context.handed.append(context.bag.submit("entry-0", job))
        context.bag.run(0.05)
    context.bag.run(1.0)
    outcomes = {handed.reply.outcome for handed in context.handed}
    assert outcomes == {Outcome.ANSWERED}, outcomes


@then("the owner keeps no more than it has room for, but for the last ten seconds")
def step_bounded(context):
    owner = context.bag.owner().state.owner
    # Room is made when an answer is given, the last one a second ago.
    young = [one for one in owner.kept if one.tracked_at > context.bag.now - 11.1]
    assert len(owner.answered) == len(owner.kept)
    assert not owner.ledger
    assert len(owner.kept) <= max(ROOM, len(young)), (len(owner.kept), len(young))
    assert owner.kept_bytes == sum(one.kept_bytes for one in owner.kept)
    assert all(len(one.packed) > PACKED_BYTES for one in owner.kept)
    bodies = [len(unpack(one).answer.results[0].body) for one in owner.kept]
    assert owner.body_bytes == sum(bodies) <= owner.maximum_bytes


@when("the first of those requests is submitted again through the other entry")
def step_again_first(context):
    submit_again(context, context.handed[0])


@when("the last of those requests is submitted again through the other entry")
def step_again_last(context):
    submit_again(context, context.handed[-1])


@when("one from the middle is submitted again through the other entry")
def step_again_middle(context):
    submit_again(context, context.handed[-60])


@when("the first of those that ran elsewhere is submitted again")
def step_again_elsewhere(context):
    workers = {one.submission: one.worker for one in context.bag.starts()}
    ran_elsewhere = [
        handed
        for handed in context.handed
        if workers[handed.job.submission] != context.dead
    ]
    submit_again(context, ran_elsewhere[0])


def submit_again(context, handed) -> None:
    context.first = handed
    context.again = context.bag.submit("entry-1", context.first.job)
    context.bag.run(2.0)


def own_starts(context) -> int:
    name = context.first.job.submission
    return sum(began.submission == name for began in context.bag.starts())


@then("it is told that it is too old to know, and it has started once")
def step_too_old(context):
    reply = context.again.reply
    assert reply.outcome is Outcome.UNKNOWN, reply
    assert reply.refusal.code is RefusalCode.TOO_OLD, reply
    assert own_starts(context) == 1
    assert violations(context.bag) == []


@then("it gets its kept answer, and it has started once")
def step_kept(context):
    assert context.again.reply.outcome is Outcome.ANSWERED, context.again.reply
    assert context.again.reply.results == context.first.reply.results
    assert own_starts(context) == 1


@then("it is told that its answer is no longer kept, and it has started once")
def step_not_kept(context):
    reply = context.again.reply
    assert reply.outcome is Outcome.FAILED, reply
    assert "no longer kept" in reply.refusal.message
    assert own_starts(context) == 1


@when("a job of 3 tasks is answered and submitted again through the other entry")
def step_job_again(context):
    handed = context.bag.submit("entry-0", context.bag.job(tasks=3, duration_ms=120))
    context.bag.run(1.0)
    submit_again(context, handed)


@then("both entries get the same whole answer, and the owner knows both")
def step_both(context):
    first, again = context.first.reply, context.again.reply
    assert first.outcome is again.outcome is Outcome.ANSWERED, (first, again)
    assert len(first.results) == 3 and first.results == again.results, again
    tracked = find_submission(
        context.bag.owner().state.owner, context.first.job.submission
    )
    assert set(tracked.waiters) == {"tcp://entry-0", "tcp://entry-1"}, tracked
    assert tracked.answer.results == first.results, tracked.answer
    assert own_starts(context) == 3


@then("a new request is answered")
def step_new(context):
    handed = context.bag.submit("entry-1", context.bag.job(duration_ms=1))
    context.bag.run(2.0)
    assert handed.reply.outcome is Outcome.ANSWERED, handed.reply


@then("no agent keeps more records than it has room for")
def step_books(context):
    for process in context.bag.processes.values():
        if hasattr(process.state, "agent"):
            book = process.state.agent.gate.records
            assert book.count <= ROOM, book.count
            assert book.bytes <= book.maximum_bytes
            assert len(book.bodies) <= ROOM


@when("the owner of that cell dies and another takes over")
def step_takeover(context):
    bag = context.bag
    epoch = bag.owner().state.owner.record.epoch
    context.dead = bag.owner().name
    bag.kill(context.dead)
    assert bag.run_until(
        lambda: (
            bag.owner() is not None
            and bag.owner().state.owner.record.epoch > epoch
            and bag.owner().state.owner.phase.name == "SERVING"
        )
    )
    # New keys are told from old ones by their birth, clocks allowed for.
    bag.run(4.0)


@when("a request is answered with more bytes than fit into the records")
def step_large(context):
    for process in context.bag.processes.values():
        if hasattr(process.state, "agent"):
            process.state.agent.gate.records.maximum_bytes = RECORD_BYTES + 10
    context.large = context.bag.submit("entry-0", context.bag.job(duration_ms=1))
    context.bag.run(1.0)


@then("its caller gets all of them")
def step_all(context):
    reply = context.large.reply
    assert reply.outcome is Outcome.ANSWERED, reply
    assert len(reply.results[0].body) > 10
    assert violations(context.bag) == []


@when("a request is refused as not run since all slots are taken")
def step_refused(context):
    bag = context.bag
    for _ in range(4):
        bag.submit("entry-0", bag.job(tasks=6, duration_ms=6000), 20_000)
    bag.run(0.2)
    context.first = bag.submit("entry-0", bag.job(duration_ms=50), 500)
    bag.run(1.0)
    assert context.first.reply.outcome is Outcome.NOT_RUN, context.first.reply


@when("what is as old as that request is forgotten, and slots are free")
def step_forgotten(context):
    context.bag.run(8.0)
    context.bag.owner().state.owner.known_since = context.bag.now


@when("that request is submitted again with its key")
def step_with_its_key(context):
    submit_again(context, context.first)


@then("it is answered and has started once")
def step_answered_once(context):
    assert context.again.reply.outcome is Outcome.ANSWERED, context.again.reply
    assert own_starts(context) == 1
    assert violations(context.bag) == []
