Feature: The gate beside a worker
  Nothing starts at a worker but through its agent's gate. Each scenario gives the
  gate a start that must not pass, whatever the network or its sender did.

  Background:
    Given a gate of two slots that has confirmed epoch 3

  Scenario: A start of a deposed owner
    An owner that was replaced wakes and sends what it had decided. A caller would
    notice the seat check that the new owner has done as well.
    When it is offered a start of epoch 2
    Then the start is declined

  Scenario: A start of an epoch that the agent has not confirmed
    A start can't carry a stamp of an epoch that this agent has never answered a
    ping of; a start that claims to comes from a fault.
    When it is offered a start of epoch 4
    Then the start is declined

  Scenario: A start that the network held back
    A start arrives long after it was sent. Its owner has been deposed or has given
    the task up since, and a caller was told so.
    When it is offered a start with a stamp that is 1001 ms old
    Then the start is declined
    When it is offered a start with a stamp that is 999 ms old
    Then the start passes

  Scenario: A start whose deadline has passed on the way
    The caller has its final answer; a booking that is made now would surprise it.
    When it is offered a start with 400 ms left and a stamp that is 400 ms old
    Then the start is declined

  Scenario: A start for an earlier life of the agent
    The agent was restarted and has forgotten what ran. The owner counted on the
    earlier life's records when it sent the start.
    When it is offered a start for another life
    Then the start is declined and leaves no record

  Scenario: A repeated start
    The network delivers a start twice. The second must not start anything, and
    must not be declined either: the owner would place the task elsewhere.
    When it is offered the same start twice
    Then the second is a repeat, also after the task has ended

  Scenario: A copy of a declined start
    All slots are taken, the start is declined and its task is placed elsewhere. A
    copy of the start arrives when a slot is free again.
    When a start is declined since the slots are taken, and a copy comes later
    Then the copy is declined

  Scenario: A later attempt after a decline
    The task comes back to this worker. It has not run, so it may.
    When a start is declined since the slots are taken, and a later attempt comes
    Then the later attempt passes

  Scenario: A later attempt after a run
    A fault elsewhere places a task again that has run here. Only what its caller
    declared idempotent may run again.
    When a task has ended and a later attempt of it comes
    Then it is not started
    When an idempotent request has ended and a later attempt of it comes
    Then it is started

  Scenario: The records are full
    A start that can't be recorded could start twice. Bodies are dropped to make
    room, records are not.
    When the records are full and a start comes
    Then the start is declined

  Scenario: Records are bounded in bytes and time
    Memory must not grow in a long run. A dropped body is told as such: the task
    ran, its answer is no longer kept.
    When more answers are recorded than there is room for
    Then the oldest bodies are gone and every start is still known
    When the retention window has passed
    Then nothing is kept

  Scenario: Nothing stays behind of records that were forgotten for want of room
    A worker answers hundreds of requests a second, far more than its room for
    records holds for ten minutes. Were their names kept until then, the agent
    would grow by the hour and be killed in the middle of the day.
    When 5000 requests are recorded in a book with room for 20
    Then the book holds no more than 140 names
    When the retention window has passed for all of them
    Then nothing is kept

  Scenario: One epoch with two owners
    The key-value service has lost a write, or somebody changed its data by hand.
    Serving on would let two owners start the same task.
    When another agent claims the epoch in force
    Then the agent stops with the code "invariant_violated"
