"""Steps for directed failures of submissions and answers."""

import msgspec
from behave import given, then, when

from cactuswalk.messages import Answer, Query, Result, Submit
from cactuswalk.model import Outcome, TaskOutcome, TaskResult, compute_digest
from cactuswalk.state.effects import Send
from cactuswalk.state.events import UpstreamOutcome
from features.support.bag import TICK, WALL_MS
from features.support.directed import (
    AGENTS,
    SETTLE_S,
    cell,
    code,
    copy_submits,
    grow_old,
    isolate,
    others,
    outcome,
    owner_name,
    receive,
    run_full,
    starts_of,
)
from features.support.judge import violations


@given("a directed pair of entries")
def step_entries(context):
    context.bag = cell(AGENTS)
    context.bag.run(1.0)


@when("a directed job of 3 s is submitted, and again by a caller that waits for 1 s")
def step_join(context):
    bag = context.bag
    context.job = bag.job(tasks=3, duration_ms=3000)
    context.handed = bag.submit("entry-0", context.job, 8000)
    bag.run(0.5)
    context.again = bag.submit("entry-0", context.job, 1000)


@then("the second directed caller is told within 1.1 s that the outcome is unknown")
def step_told_in_time(context):
    context.bag.run(1.1)
    assert outcome(context.again) is Outcome.UNKNOWN, context.again.reply
    assert code(context.again) == "timed_out"


@then("the first directed caller gets the upstream's true answer")
def step_first_answered(context):
    context.bag.run(SETTLE_S)
    assert outcome(context.handed) is Outcome.ANSWERED, context.handed.reply
    assert violations(context.bag) == []


@given("a directed submission whose true answer is under way")
def step_under_way(context):
    step_entries(context)
    bag = context.bag
    context.job = bag.job(tasks=3, duration_ms=500)
    context.handed = bag.submit("entry-0", context.job)
    bag.run(0.2)
    assert starts_of(bag, context.job) == 3


def true_answer(context) -> Answer:
    """Return the answer that the owner will give, as its agents will tell it."""
    bag, job = context.bag, context.job
    entry = bag.processes["tcp://entry-0"].state
    bodies = [b"answer to " + task.body for task in job.tasks]
    results = [
        TaskResult(index, TaskOutcome.DONE, 200, body, compute_digest(body))
        for index, body in enumerate(bodies)
    ]
    return whole(
        Answer(
            job.submission,
            max(entry.pending[job.submission].attempts),
            job.fingerprint,
            Outcome.ANSWERED,
            results,
            None,
            b"",
            bag.owner().state.owner.record.epoch,
        )
    )


def whole(answer: Answer) -> Answer:
    """Return an answer whose digest matches its parts, be they right or wrong."""
    parts = [result.digest for result in answer.results]
    return msgspec.structs.replace(
        answer, digest=compute_digest(answer.fingerprint, *parts)
    )


def cut_short(answer: Answer) -> Answer:
    first = answer.results[0]
    answer.results[0] = msgspec.structs.replace(first, body=first.body[:-1])
    return answer


def without_last(answer: Answer) -> Answer:
    return whole(msgspec.structs.replace(answer, results=answer.results[:-1]))


def of_another_job(answer: Answer) -> Answer:
    other = [
        msgspec.structs.replace(one, body=b"other", digest=compute_digest(b"other"))
        for one in answer.results
    ]
    # Its parts fit each other; they don't fit this answer's digest.
    return msgspec.structs.replace(answer, results=other)


DAMAGES = {
    "with a body cut short": cut_short,
    "with the digest of another": lambda answer: msgspec.structs.replace(
        answer, digest=compute_digest(b"another")
    ),
    "without its last task": without_last,
    "with another job's results": of_another_job,
    "with another body's print": lambda answer: whole(
        msgspec.structs.replace(answer, fingerprint=compute_digest(b"another"))
    ),
    "for an attempt that never was": lambda answer: msgspec.structs.replace(
        answer, attempt=answer.attempt + 1
    ),
}


@when("an answer to it arrives at its entry {damage}")
def step_damage(context, damage):
    answer = DAMAGES[damage](true_answer(context))
    deliver(context, answer)


@when('a "not run" of an earlier epoch arrives at its entry')
def step_deposed(context):
    answer = true_answer(context)
    deliver(
        context,
        msgspec.structs.replace(
            answer, outcome=Outcome.NOT_RUN, results=[], epoch=answer.epoch - 1
        ),
    )


def submit_to_full_cell(context):
    """Submit a job whose deadline passes before a slot is free."""
    bag = context.bag
    run_full(bag, AGENTS, 600, entry="entry-1")
    context.job = bag.job(tasks=1, duration_ms=500)
    return bag.submit("entry-0", context.job, 200)


@when("a refused job is tried again and the first try's question is answered late")
def step_earlier_question(context):
    bag = context.bag
    first = submit_to_full_cell(context)
    # Only as far as the entry: the owner may refuse it with its first word.
    bag.run(0.0)
    entry = bag.processes["tcp://entry-0"]
    attempt = max(entry.state.pending[context.job.submission].attempts)
    bag.run(1.0)
    assert outcome(first) is Outcome.NOT_RUN, first.reply
    query = Query(context.job.submission, "", attempt)
    effects = receive(bag, bag.owner(), entry.address, query)
    late = next(one.message for one in effects if isinstance(one, Send))
    context.handed = bag.submit("entry-0", context.job)
    bag.run(0.2)
    assert starts_of(bag, context.job) == 1
    receive(bag, entry, bag.owner().address, late)


@when("a refused job is tried again and the question overtakes the submission")
def step_overtaking_question(context):
    bag = context.bag
    first = submit_to_full_cell(context)
    bag.run(1.0)
    assert outcome(first) is Outcome.NOT_RUN, first.reply
    bag.fate = lambda sender, receiver, message: (
        [0.7] if isinstance(message, Submit) else [0.0005]
    )
    context.handed = bag.submit("entry-1", context.job)
    bag.run(0.1)
    entry = bag.processes["tcp://entry-1"]
    attempt = max(entry.state.pending[context.job.submission].attempts)
    query = Query(context.job.submission, "", attempt)
    effects = receive(bag, bag.owner(), entry.address, query)
    assert any(isinstance(one, Send) for one in effects)
    bag.run(0.2)


def deliver(context, answer: Answer) -> None:
    bag = context.bag
    receive(bag, bag.processes["tcp://entry-0"], bag.owner().address, answer)


@then("the directed caller gets nothing of it, but the whole answer later")
def step_whole_later(context):
    assert context.handed.reply is None, context.handed.reply
    context.bag.run(3.0)
    assert outcome(context.handed) is Outcome.ANSWERED, context.handed.reply
    assert violations(context.bag) == []


@when("a job is submitted whose key was born {age:d} s ago")
def step_old(context, age):
    bag = context.bag
    grow_old(bag)
    created_ms = int(WALL_MS + (bag.now - age) * 1000)
    context.job = bag.job(created_ms=created_ms)
    context.handed = bag.submit("entry-0", context.job)
    bag.run(SETTLE_S)


@then('the directed caller is refused with "{expected}" and nothing starts')
def step_refused(context, expected):
    assert code(context.handed) == expected, context.handed.reply
    assert outcome(context.handed) is Outcome.UNKNOWN
    assert starts_of(context.bag, context.job) == 0


@when("a key is reused for another body, before and after a takeover")
def step_reused(context):
    bag = context.bag
    job = bag.job(tasks=2, duration_ms=400)
    bag.submit("entry-0", job)
    bag.run(0.1)
    reused = msgspec.structs.replace(job, fingerprint=compute_digest(b"another"))
    context.reuses = [bag.submit("entry-0", reused), bag.submit("entry-1", reused)]
    bag.run(2.0)
    context.reuses.append(bag.submit("entry-1", reused))
    bag.run(1.0)
    assert all(one.reply for one in context.reuses), "a reuse was taken for a repeat"
    bag.kill(owner_name(bag))
    bag.run(4.0)
    context.reuses.append(bag.submit("entry-1", reused))
    bag.run(SETTLE_S)


@then('each directed reuse is refused with "{expected}" and starts nothing')
def step_each_refused(context, expected):
    assert [code(one) for one in context.reuses] == [expected] * 4
    assert len(context.bag.starts()) == 2
    assert violations(context.bag) == []


@when("a job that has run is submitted at an entry without a view of any cell")
def step_blind(context):
    bag = context.bag
    context.job = bag.job(tasks=1, duration_ms=50)
    bag.submit("entry-0", context.job)
    bag.run(1.0)
    assert starts_of(bag, context.job) == 1
    bag.key_value.down = True
    bag.add_entry("entry-2")
    bag.run(0.2)
    context.handed = bag.submit("entry-2", context.job, 2000)
    bag.run(SETTLE_S)


@then('the directed caller is told unknown with "{expected}"')
def step_unknown_with(context, expected):
    assert (outcome(context.handed), code(context.handed)) == (
        Outcome.UNKNOWN,
        expected,
    )


@when("the owner and the service are gone for {seconds:d} s and a request comes")
def step_ownerless(context, seconds):
    bag = context.bag
    bag.key_value.down = True
    bag.kill(owner_name(bag))
    bag.run(seconds)
    context.handed = bag.submit("entry-0", bag.job(), minted=True)
    bag.run(SETTLE_S)


@then('the directed caller is told "{told}" with "{expected}" within {span:d} ms')
def step_told_within(context, told, expected, span):
    handed = context.handed
    assert (str(outcome(handed)), code(handed)) == (told, expected)
    assert handed.reply.refusal.retry_after_ms > 0
    # Virtual time.
    assert handed.replied_at - handed.at <= span / 1000


@then("a request is answered once the service is back")
def step_answered_back(context):
    bag = context.bag
    bag.key_value.down = False
    bag.run(SETTLE_S)
    handed = bag.submit("entry-0", bag.job(), minted=True)
    bag.run(SETTLE_S)
    assert outcome(handed) is Outcome.ANSWERED, handed.reply


def keep_submit(context, remaining_ms: int) -> Submit:
    """Submit a job whose message is lost; return the message."""
    bag, kept = context.bag, []

    def lose(sender, receiver, message):
        if isinstance(message, Submit):
            kept.append(message)
            return []
        return [0.0005]

    bag.fate = lose
    context.job = bag.job(tasks=1, duration_ms=50)
    context.handed = bag.submit("entry-0", context.job, remaining_ms)
    bag.run(TICK)
    bag.fate = lambda *_: [0.0005]
    return kept[0]


@when("a submission reaches its owner {late:d} ms late, after its deadline")
def step_late(context, late):
    submit = keep_submit(context, 400)
    context.bag.run(late / 1000 - TICK)
    assert outcome(context.handed) is Outcome.UNKNOWN
    receive(context.bag, context.bag.owner(), "tcp://entry-0", submit)


@when("a young submission that names another epoch reaches the owner")
def step_other_epoch(context):
    submit = keep_submit(context, 400)
    other = msgspec.structs.replace(submit, epoch=submit.epoch - 1)
    receive(context.bag, context.bag.owner(), "tcp://entry-0", other)
    # The entry is told, and must not send it again here.
    context.bag.cut_off("entry-0")


@when("a later try is refused before the earlier one reaches the owner")
def step_earlier_after(context):
    submit = keep_submit(context, 5000)
    fields = {"attempt": submit.attempt + 1, "remaining_ms": 1}
    later = msgspec.structs.replace(submit, **fields)
    owner = context.bag.owner()
    effects = receive(context.bag, owner, "tcp://entry-0", later)
    answers = [one.message for one in effects if isinstance(one, Send)]
    assert any(getattr(one, "outcome", "") is Outcome.NOT_RUN for one in answers)
    receive(context.bag, owner, "tcp://entry-0", submit)
    # The entry has not heard of the refusal, and must not send it again here.
    context.bag.cut_off("entry-0")


@then("nothing of the late directed job starts")
def step_nothing_late(context):
    context.bag.run(SETTLE_S)
    assert starts_of(context.bag, context.job) == 0
    assert violations(context.bag) == []


@when("a job is refused for want of a slot and its submission is repeated")
def step_copy(context):
    bag = context.bag
    run_full(bag, AGENTS, 600)
    copy_submits(bag, 0.8)
    context.job = bag.job(tasks=1, duration_ms=50)
    context.handed = bag.submit("entry-1", context.job, 200)
    bag.run(SETTLE_S)


@then('the directed caller is told "{expected}" and nothing of it starts later')
def step_told(context, expected):
    assert outcome(context.handed) == expected, context.handed.reply
    assert starts_of(context.bag, context.job) == 0
    assert violations(context.bag) == []


@when("every upstream's calls break off without an answer")
def step_break_off(context):
    bag = context.bag
    for upstream in bag.upstreams.values():
        upstream.outcome = UpstreamOutcome.UNCERTAIN
    context.job = bag.job(tasks=3, duration_ms=50)
    context.handed = bag.submit("entry-0", context.job)
    bag.run(SETTLE_S)


@then("the directed caller is told unknown and each task was called once")
def step_called_once(context):
    assert outcome(context.handed) is Outcome.UNKNOWN, context.handed.reply
    assert starts_of(context.bag, context.job) == 3
    assert violations(context.bag) == []


@when("one upstream refuses every connection")
def step_refuses(context):
    bag = context.bag
    context.refusing = others(bag)[0]
    bag.upstreams[context.refusing].outcome = UpstreamOutcome.NOT_SENT
    context.job = bag.job(tasks=10, duration_ms=50)
    context.handed = bag.submit("entry-0", context.job)
    bag.run(SETTLE_S)


@then("the directed caller is answered and nothing ran at that upstream")
def step_elsewhere(context):
    assert outcome(context.handed) is Outcome.ANSWERED, context.handed.reply
    assert context.bag.upstreams[context.refusing].starts == []
    assert violations(context.bag) == []


@when("a worker is cut off with a task and the deadline passes")
def step_silent(context):
    bag = context.bag
    context.job = bag.job(tasks=2, duration_ms=4000)
    context.handed = bag.submit("entry-0", context.job, 2000)
    bag.run(0.2)
    names = [one.worker for one in bag.starts() if one.worker != owner_name(bag)]
    isolate(bag, names[:1])
    bag.run(SETTLE_S)


@then("the directed caller is told unknown")
def step_unknown(context):
    assert outcome(context.handed) is Outcome.UNKNOWN, context.handed.reply
    assert violations(context.bag) == []


@when("a result under another attempt arrives at the owner while the task runs")
def step_other_attempt(context):
    bag = context.bag
    context.job = bag.job(tasks=1, duration_ms=500)
    context.handed = bag.submit("entry-0", context.job)
    bag.run(0.2)
    state = bag.owner().state.owner
    place = state.ledger[context.job.submission].tasks[0].placement
    for attempt in (place.attempt - 1, place.attempt + 1):
        body = b"an answer to something else"
        wrong = TaskResult(0, TaskOutcome.DONE, 200, body, compute_digest(body))
        result = Result(
            *(state.cell, place.incarnation, context.job.submission),
            *(0, attempt, wrong, 5),
        )
        receive(bag, bag.owner(), f"tcp://{place.worker}", result)
    bag.run(3.0)


@then("the directed caller gets the upstream's true answer")
def step_true(context):
    assert outcome(context.handed) is Outcome.ANSWERED, context.handed.reply
    assert violations(context.bag) == []
