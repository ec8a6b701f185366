Feature: Directed failures of submissions and answers
  Late, damaged and repeated messages between entries, owners and agents, and keys
  that can't be trusted, each brought about on purpose on the real reducers.

  Scenario Outline: A damaged answer
    An answer arrives <damage>. A caller would show a depot the route of another
    school, or half of its own.
    Given a directed submission whose true answer is under way
    When an answer to it arrives at its entry <damage>
    Then the directed caller gets nothing of it, but the whole answer later

    Examples:
      | damage                        |
      | with a body cut short         |
      | with the digest of another    |
      | without its last task         |
      | with another job's results    |
      | with another body's print     |
      | for an attempt that never was |

  Scenario: A deposed owner's "not run" that comes late
    An owner refused a job and was replaced. Its word is held back until the new
    owner has started the job. A caller would be told "not run" of a seat it has.
    Given a directed submission whose true answer is under way
    When a "not run" of an earlier epoch arrives at its entry
    Then the directed caller gets nothing of it, but the whole answer later

  Scenario: An answer that an earlier try asked for
    An entry asks after a job that is then refused. The caller tries again and it
    runs. The reply to the question was held back by the network, and says "not
    run". A caller would be told so of a seat that is being booked.
    Given a directed pair of entries
    When a refused job is tried again and the first try's question is answered late
    Then the directed caller gets nothing of it, but the whole answer later

  Scenario: A question that overtakes its submission
    A job was refused, and its caller tries again through another entry. That entry's
    submission is held back on the way, and its question where the job stands comes
    first. Told of the earlier refusal, the caller believes that nothing runs, and
    the submission comes and takes the seat.
    Given a directed pair of entries
    When a refused job is tried again and the question overtakes the submission
    Then the directed caller gets nothing of it, but the whole answer later

  Scenario Outline: A key whose birth lies outside the records' window
    A caller comes back with a key that is <age> s old. Nobody can know what became
    of it. Run now, it might be the second time.
    Given a directed pair of entries
    When a job is submitted whose key was born <age> s ago
    Then the directed caller is refused with "too_old_to_know" and nothing starts

    Examples:
      | age |
      | 599 |
      | 700 |
      | -30 |

  Scenario: A key reused with another body
    A caller's program uses one key for two bookings. The answer to one would pass
    for the answer to the other.
    Given a directed pair of entries
    When a key is reused for another body, before and after a takeover
    Then each directed reuse is refused with "key_reused" and starts nothing

  Scenario: A known key at an entry that knows nobody
    A caller comes back through an entry that has just been started while the
    service is down. The job has run through the other entry. "Not run" is untrue.
    Given a directed pair of entries
    When a job that has run is submitted at an entry without a view of any cell
    Then the directed caller is told unknown with "no_owner"

  Scenario: A cell that has had no owner for long
    An owner dies while the service is down, so that nobody can take its cell over.
    Each request that comes then would wait for six seconds in vain, and its caller
    with it, though it could have been told at once.
    Given a directed pair of entries
    When the owner and the service are gone for 8 s and a request comes
    Then the directed caller is told "not_run" with "no_owner" within 10 ms
    And a request is answered once the service is back

  Scenario: A submission that the network held back
    A submission reaches its owner after its entry gave it up and told its caller
    so. A booking that is made now would surprise the caller.
    Given a directed pair of entries
    When a submission reaches its owner 1500 ms late, after its deadline
    Then nothing of the late directed job starts

  Scenario: A submission of another epoch
    A submission that was meant for an earlier epoch's owner reaches this one. What
    was said of it under that epoch is not known here.
    Given a directed pair of entries
    When a young submission that names another epoch reaches the owner
    Then nothing of the late directed job starts

  Scenario: An earlier try that comes after a later one was refused
    An entry hears nothing of its submission and sends it again. The second message
    is first to come, and refused; its caller is told that nothing runs. The first
    comes a moment later, still young, and must not take the seat.
    Given a directed pair of entries
    When a later try is refused before the earlier one reaches the owner
    Then nothing of the late directed job starts

  Scenario: A copy of a refused submission
    All slots are taken and a job's short deadline passes. Its caller is told that
    nothing ran. The network delivers its submission a second time when slots are
    free again.
    Given a directed pair of entries
    When a job is refused for want of a slot and its submission is repeated
    Then the directed caller is told "not_run" and nothing of it starts later

  Scenario: A call to the upstream that broke off
    The connection to the upstream breaks after the request was sent. It may have
    booked the seat. Sent again, it might book two.
    Given a directed pair of entries
    When every upstream's calls break off without an answer
    Then the directed caller is told unknown and each task was called once

  Scenario: A call to the upstream that was never sent
    One upstream refuses connections. Nothing of the request has left, and another
    worker can do it. The caller should notice nothing.
    Given a directed pair of entries
    When one upstream refuses every connection
    Then the directed caller is answered and nothing ran at that upstream

  Scenario: A worker that goes silent with a task
    A worker is cut off with a task that outlasts the caller's deadline. It may yet
    be done there. "Not run" is untrue.
    Given a directed pair of entries
    When a worker is cut off with a task and the deadline passes
    Then the directed caller is told unknown

  Scenario: A result of another attempt
    A task's result arrives under the number of another attempt, by a fault or from
    an earlier epoch. The caller would get an answer that isn't its own.
    Given a directed pair of entries
    When a result under another attempt arrives at the owner while the task runs
    Then the directed caller gets the upstream's true answer

  Scenario: A caller joins a submission whose first caller waits longer
    It sends its key again to the same entry. It must be answered in its own time, though
    the submission goes on for the other.
    Given a directed pair of entries
    When a directed job of 3 s is submitted, and again by a caller that waits for 1 s
    Then the second directed caller is told within 1.1 s that the outcome is unknown
    And the first directed caller gets the upstream's true answer

  Scenario: A copy of a start that its agent declined
    An agent's slots are taken, so it declines a start. The network delivers the
    start again when a slot is free. The owner has placed the task elsewhere.
    Given a directed agent with one slot that is taken
    When a start is declined there, the slot becomes free, and a copy comes
    Then the directed agent calls its upstream once in all

  Scenario: A start that arrives after its probe
    The owner asks after a start that seems lost, hears that it never came and
    places the task elsewhere. Then the start arrives after all.
    Given a directed agent with one slot that is free
    When a probe for a start comes, and then the start
    Then the directed agent calls its upstream never

  Scenario: A member comes back with records that the new owner lacks
    A worker is frozen while the owner dies. The new owner begins without its
    records, and says unknown where it must. The worker wakes and hands them out.
    Given a directed cell that has answered two jobs on every worker
    When a worker is frozen, the owner dies, and each job is repeated in turn
    Then the first directed job is unknown there and the second is known

  Scenario: Memory in a long run
    Jobs, cancels and takeovers go on for longer than records are kept. A process
    that kept more and more would be ended by its host, with all that it knew.
    Given a directed cell that keeps records for six seconds
    When jobs and cancels come for three windows
    Then the directed cell keeps no more after the third than after the second
