"""Steps for the gate of an agent."""

from behave import given, then, when

from cactuswalk.errors import CactuswalkError
from cactuswalk.messages import Record, Start
from cactuswalk.model import Member, TaskOutcome, TaskResult, TaskSpec, TaskState
from cactuswalk.state.gate import (
    Gate,
    accept_epoch,
    check_start,
    record_decline,
    record_start,
)
from cactuswalk.state.retention import RECORD_BYTES, RecordStore

NOW = 50.0
OWNER = Member("worker-1", "owner-incarnation", "tcp://worker-1")
SELF = Member("worker-2", "this-incarnation", "tcp://worker-2")


def make_start(**changes) -> Start:
    fields = {
        "cell": "cell",
        "epoch": 3,
        "incarnation": SELF.incarnation,
        "stamp": int(NOW * 1000),
        "submission": "team/key",
        "fingerprint": b"f",
        "index": 0,
        "total": 1,
        "attempt": 10,
        "service": "routes",
        "task": TaskSpec(b""),
        "remaining_ms": 5000,
        "idempotent": False,
    }
    return Start(**(fields | changes))


@given("a gate of two slots that has confirmed epoch 3")
def step_gate(context):
    records = RecordStore(600.0, 100 * RECORD_BYTES)
    context.gate = Gate(SELF, records, 1.0, slots=2)
    assert accept_epoch(context.gate, 3, OWNER)


def offer(context, start: Start, now: float = NOW):
    context.start = start
    context.decision = check_start(context.gate, start, now)
    if context.decision.is_allowed:
        record_start(context.gate, start, now)
    elif not context.decision.is_duplicate:
        record_decline(context.gate, start, now)
    return context.decision


def end(context, index: int = 0) -> None:
    gate = context.gate
    del gate.running[("team/key", index)]
    record = gate.records.get("team/key", index)
    result = TaskResult(index, TaskOutcome.DONE, 200, b"body")
    gate.records.put(
        Record(
            *("team/key", index, 1, b"f", record.attempt, TaskState.DONE),
            *(SELF.worker, SELF.incarnation, result),
        ),
        NOW,
    )


@when("it is offered a start of epoch {epoch:d}")
def step_epoch(context, epoch):
    offer(context, make_start(epoch=epoch))


@when("it is offered a start with a stamp that is {age:d} ms old")
def step_stamp(context, age):
    offer(context, make_start(stamp=int(NOW * 1000) - age, attempt=2000 - age))


@when("it is offered a start with {left:d} ms left and a stamp that is {age:d} ms old")
def step_deadline(context, left, age):
    stamp = int(NOW * 1000) - age
    offer(context, make_start(stamp=stamp, remaining_ms=left))


@when("it is offered a start for another incarnation")
def step_other_incarnation(context):
    offer(context, make_start(incarnation="earlier-incarnation"))


@then("the start is declined")
def step_declined(context):
    assert not context.decision.is_allowed and not context.decision.is_duplicate
    assert context.decision.reason


@then("the start is allowed")
def step_passes(context):
    assert context.decision.is_allowed, context.decision


@then("the start is declined and leaves no record")
def step_no_record(context):
    step_declined(context)
    assert context.gate.records.count == 0


@when("it is offered the same start twice")
def step_twice(context):
    assert offer(context, make_start()).is_allowed
    context.second = offer(context, make_start())


@then("the second is a duplicate, also after the task has ended")
def step_duplicate(context):
    assert context.second.is_duplicate and not context.second.is_allowed
    end(context)
    again = offer(context, make_start())
    assert again.is_duplicate and not again.is_allowed


def fill_slots(context) -> None:
    assert offer(context, make_start(index=1, total=3)).is_allowed
    assert offer(context, make_start(index=2, total=3)).is_allowed
    assert not offer(context, make_start(total=3)).is_allowed
    end(context, 1)


@when("a start is declined since the slots are taken, and a copy comes later")
def step_copy(context):
    fill_slots(context)
    offer(context, make_start(total=3), NOW + 0.5)


@then("the copy is declined")
def step_copy_declined(context):
    assert not context.decision.is_allowed and not context.decision.is_duplicate


@when("a start is declined since the slots are taken, and a later attempt comes")
def step_later(context):
    fill_slots(context)
    offer(context, make_start(total=3, attempt=11), NOW + 0.5)


@then("the later attempt is allowed")
def step_later_passes(context):
    assert context.decision.is_allowed


@when("a task has ended and a later attempt of it comes")
def step_ended(context):
    assert offer(context, make_start()).is_allowed
    end(context)
    offer(context, make_start(attempt=11))


@when("an idempotent request has ended and a later attempt of it comes")
def step_idempotent(context):
    offer(context, make_start(attempt=12, idempotent=True))


@then("it is not started")
def step_not_started(context):
    assert not context.decision.is_allowed


@then("it is started")
def step_started(context):
    assert context.decision.is_allowed


@when("the records are full and a start comes")
def step_full(context):
    context.gate.records.maximum_bytes = RECORD_BYTES
    assert offer(context, make_start(index=1, total=2)).is_allowed
    offer(context, make_start(total=2))


@when("more answers are recorded than there is space for")
def step_many(context):
    context.book = RecordStore(600.0, 20 * RECORD_BYTES)
    for index in range(12):
        result = TaskResult(index, TaskOutcome.DONE, 200, b"x" * RECORD_BYTES)
        record = Record(
            *("team/key", index, 12, b"f", 1, TaskState.DONE, "w", "life", result)
        )
        context.book.put(record, NOW + index)


@then("the oldest bodies are gone and every start is still known")
def step_bounded(context):
    book = context.book
    assert book.bytes <= book.maximum_bytes
    records = [book.get("team/key", index) for index in range(12)]
    assert all(record is not None for record in records)
    assert records[0].result.body == b"" and records[-1].result.body
    assert records[0].result.outcome is TaskOutcome.FAILED
    assert "no longer kept" in records[0].result.reason


@when("{count:d} requests are recorded in a book with space for {space:d}")
def step_evicted(context, count, space):
    context.book = RecordStore(600.0, space * RECORD_BYTES)
    for number in range(count):
        result = TaskResult(0, TaskOutcome.DONE, 200)
        record = Record(
            *(f"team/{number}", 0, 1, b"f", 1, TaskState.DONE, "w", "life", result)
        )
        context.book.put(record, NOW + number / 700)


@then("the book holds no more than {most:d} names")
def step_names(context, most):
    book = context.book
    assert len(book.by_submission) == 20, len(book.by_submission)
    assert len(book.expiries) <= most, len(book.expiries)


@when("the retention window has passed for all of them")
def step_all_passed(context):
    context.book.expire(NOW + 5000 / 700 + 600.0)


@when("the retention window has passed")
def step_passed(context):
    context.book.expire(NOW + 12 + 600.0)


@then("nothing is kept")
def step_nothing(context):
    book = context.book
    assert (book.count, book.bytes, book.by_submission) == (0, 0, {})
    assert not book.expiries


@when("another agent claims the epoch in force")
def step_claim(context):
    try:
        accept_epoch(context.gate, 3, Member("worker-9", "other", "tcp://worker-9"))
    except CactuswalkError as error:
        context.error = error


@then('the agent stops with the code "{code}"')
def step_stops(context, code):
    assert context.error.code == code
    assert context.error.remedy
