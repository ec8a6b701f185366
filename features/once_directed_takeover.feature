Feature: Directed failures around a takeover
  Each scenario causes one failure, on the real reducers and a virtual clock. The
  checks use the callers' replies and the upstreams' records.

  Scenario: The owner dies with a task on its own host
    A host runs the owner and a worker. It dies while a booking runs there, and the
    owner's state is lost together with the record. If the caller resubmitted, the new
    owner would make the booking a second time.
    Given a directed cell whose every slot runs a task
    When its owner is killed and the job is resubmitted at the other entry
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: A successor does not serve before it has fenced more than half
    The old owner may be confirmed by members that the successor has not reached.
    Owners that hear nobody stop pinging, which would hide the fault in a run, so the
    rule is tested by itself.
    Then a successor of five members that has fenced two may not serve, however late
    And one that has fenced three may, once the old owner's word is old

  Scenario: A new owner dies before its own records are backed up
    An owner is paused and replaced; its successor's host dies soon after, before
    another host has the records of what ran there. Resubmitted tasks would run again.
    Given a directed cell whose every slot runs a task
    When the owner sleeps, and its successor dies before its records have a backup
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: The owner and a worker die at the same moment
    A rack loses power. The worker's records are lost, and so is the owner's state of
    them. The only true answer is unknown.
    Given a directed cell whose every slot runs a task
    When the owner and a worker without copies are killed at once
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: A worker that was removed, then its owner, and copies are lost
    A worker answers and dies. It is removed from the roster, but the copies of its
    records that the owner sends are lost. Then the owner dies. An answered booking
    that is resubmitted would be made a second time.
    Given a directed cell that has answered a job on every worker
    When a worker is removed, the copies of its records are lost, and the owner dies
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: The records of a removed worker were copied in time
    The copies arrive. A caller that resubmits its booking gets the stored answer,
    although both hosts that had it are gone.
    Given a directed cell that has answered a job on every worker
    When a worker is removed and the owner dies a while later
    Then the directed job is answered again and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: The old owner says "not run" while the new one runs the task
    A stopping owner hands its cell over and is cut off together with one entry. A
    caller's deadline passes there, while the same job runs at the new owner, to which
    another entry sent it. The caller would be told "not run" although it ran.
    Given a directed cell without work
    When the owner hands over, is cut off with an entry, and a job waits at both
    Then the job at the cut-off entry is not told a "not run" that is untrue
    And no promise was broken in the directed run

  Scenario: An isolated successor reaches the old owner's agents late
    An owner hands its cell over, but the successor is cut off until the old owner is
    cut off together with one entry. The agents that just confirmed the old owner now
    hear the new one. A caller would be told "not run" although its job ran.
    Given a directed cell without work
    When a successor is alone for a while, then the old owner is, and a job waits
    Then the job at the cut-off entry is not told a "not run" that is untrue
    And no promise was broken in the directed run

  Scenario: A deadline passes at an owner that lost its cell
    An owner is cut off with one entry. The other members take the cell over and start
    the job after the caller resubmitted it. The old owner can't know, so it must not
    answer "not run".
    Given a directed cell without work
    When the owner is cut off with an entry while a job waits there and elsewhere
    Then the job at the cut-off entry is told unknown and runs elsewhere once
    And no promise was broken in the directed run

  Scenario: A delayed answer to a ping
    The network delays the agents' confirmations until the agents no longer hear their
    owner. An owner that counted from the arrival would still serve after another has
    begun, and both would start a task.
    Given a directed cell whose confirmations take 600 ms
    When what the directed owner sends is lost from now on
    Then 1050 ms later it has no standing

  Scenario: An owner with a minority, and the service down
    The owner is cut off with one worker while the key-value service is down. It can't
    tell whether the others continue without it. Nothing may start.
    Given a directed cell without work
    When the service is down, the owner has a minority, and a job is submitted
    Then nothing of the directed job has started
    And no promise was broken in the directed run

  Scenario: One agent behind a one-way cut
    One worker does not hear the owner; all others do. Without the majority rule it
    would cause needless takeovers again and again.
    Given a directed cell without work
    When one worker stops hearing the owner for ten seconds
    Then the directed cell has the epoch and the owner that it had

  Scenario: An owner that hears nobody
    A link is cut one way: the owner's pings arrive, but it receives nothing. It may
    not start tasks, yet the members still hear it and don't take the cell over.
    Callers would be refused for as long as the cut lasts.
    Given a directed cell without work
    When the owner hears nobody for 10 s and requests come all the while
    Then all of them are answered, and the next epoch is in force
    And no promise was broken in the directed run

  Scenario: An owner that hears nobody while the service is away
    The link is cut one way during an outage of the service, so that nobody can take
    the cell over. The owner must recover by itself once the link is repaired.
    Given a directed cell without work
    When the owner hears nobody for 10 s and the service is down
    Then the same owner answers again within 4 s of the mend
    And no promise was broken in the directed run

  Scenario: An owner that hears nobody, and the service comes back late
    The link is cut one way, and nobody can take the cell over for six seconds. If the
    owner removed all silent members from the roster when the service returns, they
    could not take the cell over, and callers would wait for the repair of the link.
    Given a directed cell without work
    When the owner hears nobody for 18 s and the service is down for the first 6 s
    Then the requests of the last 4 s are answered before the mend

  Scenario: A takeover whose reply was lost
    The swap to the next epoch is applied, but its reply is lost. If the candidate took
    it for refused, the record would name an owner that doesn't act as one, and
    callers would wait for a second takeover.
    Given a directed cell whose every slot runs a task
    When the owner is killed and the reply to the takeover's swap is lost
    Then the directed cell has served again under the next epoch
    And no promise was broken in the directed run

  Scenario: A takeover's swap that is written late
    The service does not answer in time. It applies the swap three seconds later, after
    the candidate has read the record back and found the old one. The cell could end
    up with two owners or none.
    Given a directed cell whose every slot runs a task
    When the owner is killed and the takeover's swap is written three seconds late
    Then the directed cell has served again under the next epoch
    And no promise was broken in the directed run

  Scenario: A takeover's confirmation comes after the next takeover
    The service answers one candidate so late that another has taken the cell over by
    then. The late candidate must not act on the reply, and must not stop because of
    it either, since its worker and its records would be lost.
    Given a directed cell whose every slot runs a task
    When the owner is killed and the first swap's reply comes five seconds late
    Then the directed cell has one serving owner that the service names
    And every directed agent but the dead owner is a member

  Scenario: The service is restored to an earlier record
    The service is restored from an old backup, and the owner dies. Its members have
    seen later epochs and must not reuse an earlier one.
    Given a directed cell that has been taken over twice
    When the service is restored to its first record and the owner is killed
    Then a directed member stops with "invariant_violated" before it writes

  Scenario: A candidate dies between its swap and its fence
    The record names a new owner that died before any member heard of it. The members
    must take the cell over again, or it would have no owner permanently.
    Given a directed cell whose every slot runs a task
    When the owner is killed and its successor right after the swap
    Then the directed cell has one serving owner that the service names
    And no promise was broken in the directed run

  Scenario: Owners die one after another
    Each new owner is killed once the cell has settled, until two of five members are
    left. No task may start a second time.
    Given a directed cell whose every slot runs a task
    When each of three owners in a row is killed once it serves
    Then the directed job is told unknown and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: All agents of a cell are restarted at once
    A faulty roll-out replaces every process of the cell at the same moment, and no
    record is left. An old key must be answered as unknown; a new one runs.
    Given a directed cell that has answered a job on every worker
    When all its agents are restarted at once and the cell has an owner again
    Then the directed job is told unknown and nothing of it starts again
    And a new directed job is answered
    And no promise was broken in the directed run

  Scenario: The service is away for an hour
    The cell must keep its owner and continue to serve.
    Given a directed cell without work
    When the service is down for an hour and a job is submitted each minute
    Then every directed job was answered and the epoch is the same
    And no promise was broken in the directed run

  Scenario: The service loses its data
    The service returns without data. The owner writes its record again at the next
    change of the roster, without an effect on callers.
    Given a directed cell without work
    When the service loses its data and a worker dies and comes back later
    Then a new directed job is answered
    And the directed cell has one serving owner that the service names
    And no promise was broken in the directed run

  Scenario: The last result of a worker that stops is lost
    A worker is stopped as planned. It finishes its task, but the result is lost. If it
    were removed from the roster at once, it could not be probed, and its caller would
    be told unknown because of a planned stop.
    Given a directed cell without work
    When a worker is stopped and the last result that it sends is lost
    Then the directed caller of the stopped worker is answered
    And no promise was broken in the directed run

  Scenario: A job comes at the moment of a planned stop
    The owner is stopped as planned while a job is in transit to it. If the entry
    searched for the new owner only after the old one became silent, the caller would
    wait for a second because of a planned stop.
    Given a directed cell without work
    When the owner is stopped as planned and a job comes at that moment
    Then the directed caller has the answer within 300 ms of virtual time
    And no promise was broken in the directed run

  Scenario: A witness's record of a start that was never sent
    A witness has the record of a task that a stopping owner no longer started. The
    entry dies as well, and the caller resubmits through another. It would be told
    unknown although nobody ran the task.
    Given a directed cell without work
    When the owner is stopped as a job comes, and its caller comes again later
    Then the directed job is answered and each task ran once
    And no promise was broken in the directed run

  Scenario: Every node is stopped in turn under load
    Operators replace the hosts one by one under load. No job may be cut off or
    refused.
    Given a directed cell without work
    When each node is stopped and replaced in turn while jobs keep coming
    Then every directed job was answered
    And no promise was broken in the directed run
