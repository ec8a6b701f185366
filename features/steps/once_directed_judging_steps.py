"""Steps that judge the directed failures around a takeover."""

from behave import then

from cactuswalk.model import Outcome
from cactuswalk.state.founding import UNHEARD_EPOCHS
from features.support.directed import (
    outcome,
    serving,
    starts_of,
    stored,
)
from features.support.judge import violations


@then("no promise was broken in the directed run")
def step_no_violation(context):
    assert violations(context.bag) == [], violations(context.bag)


@then("the directed job is told unknown and nothing of it starts again")
def step_unknown(context):
    assert context.again.reply is not None, "no reply"
    told = {str(result.outcome) for result in context.again.reply.results}
    assert "unknown" in told, (outcome(context.again), told)
    assert starts_of(context.bag, context.job) == len(context.job.tasks)


@then("the directed job is answered again and nothing of it starts again")
def step_answered_again(context):
    assert outcome(context.again) is Outcome.ANSWERED, context.again.reply
    assert starts_of(context.bag, context.job) == len(context.job.tasks)


@then('the job at the cut-off entry is not told a "not run" that is untrue')
def step_not_untrue(context):
    told = outcome(context.cut_off)
    assert told in (Outcome.NOT_RUN, Outcome.UNKNOWN), context.cut_off.reply
    assert told is Outcome.UNKNOWN or starts_of(context.bag, context.waiting) == 0


@then("the job at the cut-off entry is told unknown and runs elsewhere once")
def step_cut_off_unknown(context):
    assert outcome(context.cut_off) is Outcome.UNKNOWN, context.cut_off.reply
    assert starts_of(context.bag, context.waiting) == 1


@then("{after:d} ms later it has no standing")
def step_no_standing(context, after):
    state = context.bag.processes[f"tcp://{context.owner}"].state.owner
    assert state.is_confirmed(context.bag.now)
    context.bag.run(after / 1000)
    assert not state.is_confirmed(context.bag.now)


@then("nothing of the directed job has started")
def step_nothing(context):
    assert starts_of(context.bag, context.job) == 0


@then("the directed cell has the epoch and the owner that it had")
def step_same(context):
    record = stored(context.bag)
    assert (record.epoch, record.owner.worker) == (context.epoch, context.owner)


@then("the directed cell has served again under the next epoch")
def step_next_epoch(context):
    assert [one.record.epoch for one in serving(context.bag)] == [context.epoch + 1]
    assert stored(context.bag).epoch == context.epoch + 1


@then(
    "the directed cell has served again under an epoch that its earlier owners can't"
    " have"
)
def step_new_cell_epoch(context):
    epoch = context.epoch + UNHEARD_EPOCHS
    assert [one.record.epoch for one in serving(context.bag)] == [epoch]
    assert stored(context.bag).epoch == epoch


@then("the directed cell has one serving owner that the service names")
def step_one_owner(context):
    owners = serving(context.bag)
    assert len(owners) == 1, [one.member.worker for one in owners]
    assert stored(context.bag).owner == owners[0].member


@then("a new directed job is answered")
def step_new_job(context):
    handed = context.bag.submit("entry-0", context.bag.job(tasks=3, duration_ms=50))
    context.bag.run(5.0)
    assert outcome(handed) is Outcome.ANSWERED, handed.reply


@then("every directed job was answered and the epoch is the same")
def step_all_same(context):
    step_all(context)
    assert context.bag.owner().state.owner.record.epoch == context.epoch


@then("every directed job was answered")
def step_all(context):
    told = [one.reply for one in context.bag.handed.values()]
    assert all(one and one.outcome is Outcome.ANSWERED for one in told), [
        one and (one.outcome, one.refusal) for one in told
    ]


@then("the directed caller of the stopped worker is answered")
def step_stopped_answered(context):
    assert outcome(context.again) is Outcome.ANSWERED, context.again.reply


@then("the directed caller has the answer within {limit:d} ms of virtual time")
def step_soon(context, limit):
    assert outcome(context.again) is Outcome.ANSWERED, context.again.reply
    waited_ms = (context.again.replied_at - context.again.at) * 1000
    assert waited_ms <= limit, f"{waited_ms:.0f} ms"


@then("the directed job is answered and each task ran once")
def step_ran_once(context):
    assert outcome(context.again) is Outcome.ANSWERED, context.again.reply
    assert starts_of(context.bag, context.job) == len(context.job.tasks)
