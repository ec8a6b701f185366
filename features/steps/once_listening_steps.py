"""Steps for entries that request reports from cells, run on the reducers."""

from behave import given, then, when

from cactuswalk.messages import CellReport, ConfigurationUpdate, StoredObject
from cactuswalk.model import Outcome, RefusalCode
from cactuswalk.state.entryview import CellView
from cactuswalk.state.events import Received
from features.support.bag import CELL, small_cell

AGENTS = 4
ROUND_TRIP_S = 0.001


def view_of(context) -> CellView:
    return context.bag.processes["tcp://entry-0"].state.cells[CELL]


@given("a cell whose entry has its workers")
def step_cell(context):
    context.bag = small_cell(AGENTS, entries=1, seed=5)
    context.bag.run(1.0)


@given("a cell that an entry with 130 cells has not needed for 4 seconds")
def step_quiet(context):
    step_cell(context)
    entry = context.bag.processes["tcp://entry-0"].state
    for number in range(129):
        # Other cells whose stamp never becomes old.
        other = CellView(f"other-{number}", owner="tcp://other")
        other.stamp_at = float("inf")
        entry.cells[other.cell] = other
    # Waits for the next regular request, so that the following one is far away.
    asked = view_of(context).subscribed_at
    context.bag.run_until(lambda: view_of(context).subscribed_at > asked, 8.0)
    context.bag.run(4.0)
    assert view_of(context).stamp_at < context.bag.now - 3.5


@given("the key-value service is away and the owner dies")
def step_owner_dies(context):
    context.bag.key_value.down = True
    context.bag.kill(context.bag.owner().name)


@when("a new request with 2 seconds left comes to that entry")
def step_request(context):
    job = context.bag.job(duration_ms=50)
    context.handed = context.bag.submit("entry-0", job, 2000, minted=True)
    context.bag.run(3.0)


@then("its caller is told no_owner, not run")
def step_not_run(context):
    reply = context.handed.reply
    assert reply.outcome is Outcome.NOT_RUN, reply
    assert reply.refusal.code is RefusalCode.NO_OWNER, reply


@then("it was answered within a round trip more than its task takes")
def step_at_once(context):
    assert context.handed.reply.outcome is Outcome.ANSWERED
    # Submit and answer, start and result, a witness, and the report request before.
    max_seconds = 0.05 + 4 * ROUND_TRIP_S
    assert context.handed.replied_at - context.handed.at < max_seconds


@when("a request of 600 ms is under way there and the owner dies")
def step_under_way(context):
    job = context.bag.job(duration_ms=600)
    context.bag.submit("entry-0", job, 8000)
    context.bag.run(0.1)
    context.epoch = view_of(context).epoch
    context.bag.kill(context.bag.owner().name)


@then("the entry knows the next owner 3 seconds later")
def step_next_owner(context):
    context.bag.run(3.0)
    assert view_of(context).epoch > context.epoch


@when("a worker joins and the report that says so is lost")
def step_joins(context):
    lost = []

    def fate(sender, receiver, message):
        has_workers = isinstance(message, CellReport) and message.workers is not None
        if has_workers and len(message.workers) > AGENTS and not lost:
            lost.append(message)
            return []
        return [0.0005]

    context.bag.fate = fate
    context.bag.add_agent(f"worker-{AGENTS}")
    assert context.bag.run_until(lambda: lost), "no report listed the worker"


@then("the entry lists it 2 seconds later")
def step_listed(context):
    context.bag.run(2.0)
    assert len(view_of(context).workers) == AGENTS + 1


@when("its nodes put a change of the configuration in force")
def step_change(context):
    stored = StoredObject("team/glenmorrow", 1, b'{"kind":"team","name":"glenmorrow"}')
    update = ConfigurationUpdate(0, 1, [stored])
    owner = context.bag.owner()
    context.bag._at(0.0, owner.address, Received("tcp://entry-9", update))


@then("that entry counts all of them 1 second later")
def step_counted(context):
    context.bag.run(1.0)
    held = context.bag.processes["tcp://entry-0"].state.held[CELL]
    assert [(one.revision, one.nodes) for one in held] == [(1, AGENTS)], held


@when("25 requests come to it in 5 seconds")
def step_requests(context):
    context.bag.submit("entry-0", context.bag.job(duration_ms=50))
    context.bag.run(0.2)
    context.asked = context.bag.sent["Subscribe"]
    for _ in range(25):
        context.bag.submit("entry-0", context.bag.job(duration_ms=50))
        context.bag.run(0.2)


@then("it has asked the cell nothing meanwhile")
def step_nothing_asked(context):
    assert context.bag.sent["Subscribe"] == context.asked
