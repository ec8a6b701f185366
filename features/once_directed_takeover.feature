Feature: Directed failures around a takeover
  Each scenario brings one failure about on purpose, on the real reducers and a
  virtual clock. Callers' replies and the upstreams' records are the judges.

  Scenario: The owner dies with a task beside itself
    A host carries the owner and a worker. It dies while a booking runs there, and
    the order dies with the record. A caller who comes back would find the booking
    made a second time by the new owner.
    Given a directed cell whose every slot runs a task
    When its owner is killed and the job is resubmitted at the other entry
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: A successor serves nobody before it has fenced more than half
    The old owner may be confirmed by members that the successor has not reached.
    Owners that hear nobody fall silent, which hides the fault in a run; the rule is
    asked by itself.
    Then a successor of five members that has fenced two may not serve, however late
    And one that has fenced three may, once the old owner's word is old

  Scenario: A new owner dies before its own records are backed up
    An owner sleeps and is replaced; its successor's host dies soon after. What had
    run there was known to nobody else yet. A caller who comes back would find it
    run again.
    Given a directed cell whose every slot runs a task
    When the owner sleeps, and its successor dies before its records have a backup
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: The owner and a worker die at the same moment
    A rack loses power. The worker's records are gone and so is the owner's
    knowledge of them. A caller would notice a guess where only unknown is true.
    Given a directed cell whose every slot runs a task
    When the owner and a worker without copies are killed at once
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: A worker that was removed, then its owner, and copies are lost
    A worker answers and dies. It is taken off the roster while the copies of what
    the owner knows of it never arrive. Then the owner dies. A caller who repeats
    the answered booking would find it made a second time.
    Given a directed cell that has answered a job on every worker
    When a worker is removed, the copies of its records are lost, and the owner dies
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: The records of a removed worker were copied in time
    The same, but the copies arrive. The caller who repeats its booking gets the
    kept answer, though both hosts that knew it are gone.
    Given a directed cell that has answered a job on every worker
    When a worker is removed and the owner dies a while later
    Then the directed job is answered again and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: The old owner says "not run" while the new one runs the task
    An owner that stops hands its cell over and is cut off with one entry at that
    moment. A caller's deadline passes there. The same job runs at the new owner, to
    which another entry sent it. A caller would be told "not run" of a seat it has.
    Given a directed cell without work
    When the owner hands over, is cut off with an entry, and a job waits at both
    Then the job at the cut-off entry is not told a "not run" that is untrue
    And no promise was broken in the directed run

  Scenario: A successor that has long served nobody meets the old owner's agents
    An owner hands its cell over, but the successor is cut off until the old owner
    is, with one entry. The agents that confirmed the old owner a moment ago now
    hear the new one. A caller would be told "not run" of a seat it has.
    Given a directed cell without work
    When a successor is alone for a while, then the old owner is, and a job waits
    Then the job at the cut-off entry is not told a "not run" that is untrue
    And no promise was broken in the directed run

  Scenario: An owner that lost its cell meets a deadline
    An owner is cut off with one entry and a minority. The others take the cell
    over and start the job for the caller, who came again. The old owner can't
    know. "Not run" would be untrue.
    Given a directed cell without work
    When the owner is cut off with an entry while a job waits there and elsewhere
    Then the job at the cut-off entry is told unknown and runs elsewhere once
    And no promise was broken in the directed run

  Scenario: A delayed answer to a ping
    The network holds the agents' confirmations back. They arrive after the agents
    have stopped hearing their owner. An owner that counted from their arrival
    would serve on after another has begun, and both would start a task.
    Given a directed cell whose confirmations take 600 ms
    When what the directed owner sends is lost from now on
    Then 1050 ms later it has no standing

  Scenario: An owner with a minority, and the service down
    The owner is cut off with one worker while the key-value service is away. It
    can't tell whether the others go on without it. Callers are refused or wait;
    nothing may start.
    Given a directed cell without work
    When the service is down, the owner has a minority, and a job is submitted
    Then nothing of the directed job has started
    And no promise was broken in the directed run

  Scenario: One agent behind a one-way cut
    One worker hears nothing from its owner; all others do. A caller would notice
    a takeover that nobody needed, again and again.
    Given a directed cell without work
    When one worker stops hearing the owner for ten seconds
    Then the directed cell has the epoch and the owner that it had

  Scenario: An owner that hears nobody
    A link is cut one way: the owner's pings arrive, and nothing reaches it. It has
    no standing, so it starts nothing; but nobody misses it, and it takes all others
    for lost. Callers would be refused for as long as the cut lasts.
    Given a directed cell without work
    When the owner hears nobody for 10 s and requests come all the while
    Then all of them are answered, and the next epoch is in force
    And no promise was broken in the directed run

  Scenario: An owner that hears nobody while the service is away
    The same cut in an outage of the service, so that nobody can take the cell
    over. Once the cut is mended the owner goes on by itself.
    Given a directed cell without work
    When the owner hears nobody for 10 s and the service is down
    Then the same owner answers again within 4 s of the mend
    And no promise was broken in the directed run

  Scenario: An owner that hears nobody, and the service comes back late
    The same cut, and nobody can take the cell over for six seconds. Meanwhile the
    owner takes all others for lost; had it written that when the service came back,
    the others could not take the cell over, and callers would wait for the mend.
    Given a directed cell without work
    When the owner hears nobody for 18 s and the service is down for the first 6 s
    Then the requests of the last 4 s are answered before the mend

  Scenario: A takeover whose reply was lost
    The swap to the next epoch is written, the reply is lost. A candidate that took
    it for refused would leave the cell to an owner that doesn't know of it. Callers
    would wait for a second takeover.
    Given a directed cell whose every slot runs a task
    When the owner is killed and the reply to the takeover's swap is lost
    Then the directed cell has served again under the next epoch
    And no promise was broken in the directed run

  Scenario: A takeover's swap that is written late
    The service answers nothing in time. It writes the swap three seconds later,
    after its writer has asked for the record and found the old one. Callers would
    notice two owners, or none.
    Given a directed cell whose every slot runs a task
    When the owner is killed and the takeover's swap is written three seconds late
    Then the directed cell has served again under the next epoch
    And no promise was broken in the directed run

  Scenario: A takeover's confirmation comes after the next takeover
    The service answers one candidate so late that another has taken the cell by
    then. The late one must not act on it, and must not stop for it either: a
    caller would notice the loss of its worker and its records.
    Given a directed cell whose every slot runs a task
    When the owner is killed and the first swap's reply comes five seconds late
    Then the directed cell has one serving owner that the service names
    And every directed agent but the dead owner is a member

  Scenario: The service goes back to an earlier record
    Somebody restores the service from an old copy, and the owner dies. Its members
    have seen later epochs. They must not go on under an epoch that has been.
    Given a directed cell that has been taken over twice
    When the service goes back to its first record and the owner is killed
    Then a directed member stops with "invariant_violated" before it writes

  Scenario: A candidate dies between its swap and its fence
    The service names a new owner which died before anybody heard of it. Without
    care the cell has no owner for ever and every caller is refused.
    Given a directed cell whose every slot runs a task
    When the owner is killed and its successor right after the swap
    Then the directed cell has one serving owner that the service names
    And no promise was broken in the directed run

  Scenario: Owners die one after another
    Each new owner is killed when the cell has settled under it, until two of five
    members are left. A caller would notice a second start.
    Given a directed cell whose every slot runs a task
    When each of three owners in a row is killed once it serves
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: All agents of a cell are restarted at once
    A roll-out goes wrong and every process of the cell is replaced at the same
    moment. No record is left. An old key can only be told unknown; a new one runs.
    Given a directed cell that has answered a job on every worker
    When all its agents are restarted at once and the cell has an owner again
    Then the directed job is told unknown and nothing of it starts again
    And a new directed job is answered
    And no promise was broken in the directed run

  Scenario: The service is away for an hour
    The key-value service is down for an hour. The owner's cell goes on; nobody is
    taken over. A caller should notice nothing.
    Given a directed cell without work
    When the service is down for an hour and a job is submitted each minute
    Then every directed job was answered and the epoch is the same
    And no promise was broken in the directed run

  Scenario: The service loses its data
    The service comes back empty. The owner writes its record anew at the next
    change of the roster. A caller should notice nothing.
    Given a directed cell without work
    When the service loses its data and a worker dies and comes back later
    Then a new directed job is answered
    And the directed cell has one serving owner that the service names
    And no promise was broken in the directed run

  Scenario: The last result of a worker that stops is lost
    A worker is stopped as planned. It finishes its task, and the result is lost on
    the way. Taken off at once, it could not be asked again; its caller would be
    told unknown because of a planned stop.
    Given a directed cell without work
    When a worker is stopped and the last result that it sends is lost
    Then the directed caller of the stopped worker is answered
    And no promise was broken in the directed run

  Scenario: A job comes at the moment of a planned stop
    The owner is stopped as planned when a job is on its way to it. If its entry had
    to find the new owner by the silence of the old one, the caller would wait for
    a second because of a planned stop.
    Given a directed cell without work
    When the owner is stopped as planned and a job comes at that moment
    Then the directed caller has the answer within 300 ms of virtual time
    And no promise was broken in the directed run

  Scenario: A witness's record of a start that was never sent
    A stopping owner has had a record witnessed of a task that it did not start any
    more. Its entry dies as well, and the caller comes again through another. It
    would be told unknown of a task that nobody has run.
    Given a directed cell without work
    When the owner is stopped as a job comes, and its caller comes again later
    Then the directed job is answered and each task ran once
    And no promise was broken in the directed run

  Scenario: Every node is stopped in turn under load
    Operators replace the hosts one by one while callers go on. Nobody should
    notice: nothing is cut off, nothing is refused.
    Given a directed cell without work
    When each node is stopped and replaced in turn while jobs keep coming
    Then every directed job was answered
    And no promise was broken in the directed run
