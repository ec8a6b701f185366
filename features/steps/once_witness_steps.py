"""Steps for starts on the owner's host, run on the reducers."""

from behave import given, then, when

from cactuswalk.messages import Witnessed
from cactuswalk.model import Outcome
from features.support.bag import small_cell
from features.support.judge import violations


@given("a settled cell whose owner has a witness")
def step_cell(context):
    context.bag = small_cell(4, seed=3)
    state = context.bag.owner().state.owner
    context.owner = state.member.worker
    context.witness = state.backup.worker
    context.handed = []


@when("the service goes away and the witness dies")
def step_dies(context):
    context.bag.key_value.down = True
    context.bag.kill(context.witness)


@when("every confirmation of a witness is lost for half a second")
def step_lost(context):
    bag = context.bag
    until, fate = bag.now + 0.5, bag.fate

    def lose(sender, receiver, message):
        if isinstance(message, Witnessed) and bag.now < until:
            return []
        return fate(sender, receiver, message)

    bag.fate = lose


def submit(context, count):
    for _ in range(count):
        job = context.bag.job(duration_ms=50)
        context.handed.append(context.bag.submit("entry-0", job, 8000))


@when("24 requests of 50 ms are submitted at once and 24 more a second later")
def step_submit(context):
    submit(context, 24)
    context.bag.run(1.5)
    submit(context, 24)
    context.bag.run(8.0)


@then("all of them are answered within a second and started once")
def step_answered(context):
    for handed in context.handed:
        # A task that was sent to the witness when it died is answered as unknown.
        if handed.reply.outcome is Outcome.UNKNOWN:
            assert ran_on(context, handed) in ([], [context.witness]), handed.reply
            continue
        assert handed.reply.outcome is Outcome.ANSWERED, handed.reply
        assert handed.replied_at - handed.at < 1.0, handed.replied_at - handed.at
    answered = [one.reply.outcome is Outcome.ANSWERED for one in context.handed]
    assert sum(answered) >= 36, sum(answered)
    assert violations(context.bag) == []


def ran_on(context, handed) -> list[str]:
    name = handed.job.submission
    return [one.worker for one in context.bag.starts() if one.submission == name]


@when("some seconds pass and 24 more requests are submitted")
def step_more(context):
    context.bag.run(4.0)
    context.handed = []
    submit(context, 24)
    context.bag.run(2.0)


@then("some of them run on the owner's host again")
def step_beside(context):
    workers = [ran_on(context, handed) for handed in context.handed]
    assert [context.owner] in workers, workers
    assert violations(context.bag) == []
