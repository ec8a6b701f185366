Feature: The gate of an agent
  Tasks start at a worker only through its agent's gate. Each scenario sends the gate
  a start that must not be executed, whatever the network or the sender did.

  Background:
    Given a gate of two slots that has confirmed epoch 3

  Scenario: A start of a deposed owner
    A replaced owner resumes and sends its old decisions. A seat check would run twice
    if the new owner has started it too.
    When it is offered a start of epoch 2
    Then the start is declined

  Scenario: A start of an epoch that the agent has not confirmed
    A start can't carry a stamp of an epoch for which this agent has never answered a
    ping; a start that does is the result of a fault.
    When it is offered a start of epoch 4
    Then the start is declined

  Scenario: A start that the network delayed
    A start arrives long after it was sent. Meanwhile its owner was deposed or has
    ended the task, and the caller has its answer.
    When it is offered a start with a stamp that is 1001 ms old
    Then the start is declined
    When it is offered a start with a stamp that is 999 ms old
    Then the start is allowed

  Scenario: A start whose deadline has passed on the way
    The caller has its final answer, so a booking must not be made any more.
    When it is offered a start with 400 ms left and a stamp that is 400 ms old
    Then the start is declined

  Scenario: A start for an earlier incarnation of the agent
    A restarted agent has no record of what ran, while the owner relied on the records
    of the earlier incarnation when it sent the start.
    When it is offered a start for another incarnation
    Then the start is declined and leaves no record

  Scenario: A repeated start
    The network delivers a start twice. The second must not start the task, and must
    not be declined either: the owner would place the task elsewhere.
    When it is offered the same start twice
    Then the second is a duplicate, also after the task has ended

  Scenario: A copy of a declined start
    A start is declined while all slots are in use, and its task is placed elsewhere.
    A copy of the start arrives when a slot is free again.
    When a start is declined since the slots are taken, and a copy comes later
    Then the copy is declined

  Scenario: A later attempt after a decline
    A task that was declined here has not run, so a later attempt may start.
    When a start is declined since the slots are taken, and a later attempt comes
    Then the later attempt is allowed

  Scenario: A later attempt after a run
    A fault elsewhere places a task again that has run here. It may run again only if
    its caller declared it idempotent.
    When a task has ended and a later attempt of it comes
    Then it is not started
    When an idempotent request has ended and a later attempt of it comes
    Then it is started

  Scenario: The records are full
    A start without a record could be executed twice. Bodies are dropped to free
    space, records are not.
    When the records are full and a start comes
    Then the start is declined

  Scenario: Records are bounded in bytes and time
    Memory must not grow without limit. The result of a dropped body says that the
    task ran and that its answer is no longer kept.
    When more answers are recorded than there is space for
    Then the oldest bodies are gone and every start is still known
    When the retention window has passed
    Then nothing is kept

  Scenario: Records evicted for lack of space leave nothing behind
    Load pattern: a worker answers hundreds of requests a second, far more than the
    record book can hold for ten minutes. If their names were kept that long, the
    agent would grow until it is killed for lack of memory.
    When 5000 requests are recorded in a book with space for 20
    Then the book holds no more than 140 names
    When the retention window has passed for all of them
    Then nothing is kept

  Scenario: One epoch with two owners
    The key-value service has lost a write, or its data was changed by hand. If the
    agent went on, two owners could start the same task.
    When another agent claims the epoch in force
    Then the agent stops with the code "invariant_violated"
