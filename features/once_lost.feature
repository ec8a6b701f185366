Feature: What must last is lost: the service's data, or half of a cell

  Scenario: The service loses its data, and new agents and a new entry start
    Somebody restarts the key-value service without its data. The owner knows nothing
    of it. A new agent would take its cell for new and own a second one, and a caller
    who repeats an answered booking at a new entry would find it made again.
    Given a directed cell that has answered a job on every worker
    When the service loses its data, and agents and an entry are started
    And the directed job is submitted again at the new entry
    Then the directed job is answered again and nothing of it starts again
    And the directed cell has the epoch and the owner that it had
    And the new agents are members of the directed cell
    And no promise was broken in the directed run

  Scenario: The service loses its data, and all who knew it refuse it
    The same, but the service's revisions begin anew, so that every process that has
    seen the earlier ones takes it for away: the owner can't write its record again.
    New agents can't join it then. They must not begin a cell beside it.
    Given a directed cell that has answered a job on every worker
    When the service begins anew and is refused by all, and agents are started
    And the directed job is submitted again at the other entry
    Then the directed job is answered again and nothing of it starts again
    And the directed cell has no owner but the one that it had
    And no promise was broken in the directed run

  Scenario: The service loses its data, and the owner dies
    The record that names the owner and the members is gone when it is needed. The
    members must go on under a later epoch, or all that they know of what has run
    would go with them.
    Given a directed cell that has answered a job on every worker
    When the service loses its data and the owner is killed
    And the directed job is submitted again at the other entry
    Then the directed job is told unknown and nothing of it starts again
    And the directed cell has served again under the next epoch
    And a new directed job is answered
    And no promise was broken in the directed run

  Scenario: The service loses its data, and all agents are replaced
    Nobody is left who knows what has run; only an entry remembers that the cell has
    been. A caller who repeats a booking would find it made a second time.
    Given a directed cell that has answered a job on every worker
    When the service loses its data and all agents are replaced
    And the directed job is submitted again at the other entry
    Then the directed job is told that it is too old, and nothing of it starts again
    And the directed cell has served again under an epoch that its earlier owners can't have
    And a new directed job is answered
    And no promise was broken in the directed run

  Scenario: The service loses its data, and everything is replaced
    The platform is built anew from nothing. To every process the cell is a new one.
    A caller who still has a key of before would find its booking made a second time.
    Given a directed cell that has answered a job on every worker
    When the service loses its data, and all agents and entries are replaced
    And the directed job is submitted again at the new entry
    Then the directed job is told that it is too old, and nothing of it starts again
    And no promise was broken in the directed run

  Scenario: An old record comes back while the owner lives
    The service is restored from a copy of before. The owner finds it at the next
    change of its roster, and must not take itself for deposed: its members hold to
    its epoch, and would refuse whoever else came.
    Given a directed cell that has been taken over twice
    When the service goes back to its first record and a member dies
    Then the directed cell has one serving owner that the service names
    And the epoch of the directed cell has not gone back
    And a new directed job is answered

  Scenario: Half of a cell is lost for good, its owner among it
    A rack with three of five hosts burns. The two that are left can't know that the
    others are gone, and start nothing. A caller who came then would wait for its
    whole deadline, though nobody is there to serve it.
    Given a directed cell without work
    When three of five hosts are lost with the owner, for 8 s
    Then callers who come now are told at once that there is no owner, and when to return
    And of these only the ones whose keys are new are told "not run"
    When one lost host is replaced under its name and address
    Then a new directed job is answered
    And no promise was broken in the directed run

  Scenario: Half of a cell is lost for good, and its owner is left
    The same, but the owner lives and the service answers: it takes the silent ones
    off the roster and goes on. Callers notice some seconds of waiting, and are told
    unknown of what was at the lost hosts.
    Given a directed cell without work
    When three of five hosts are lost without the owner, for 8 s
    Then a new directed job is answered
    And the directed cell has the epoch and the owner that it had
    And no promise was broken in the directed run

  Scenario: An entry is not ready while its only cell has just begun
    A deployment is started for the first time, and its balancer sends at once. The
    bookings of the first three seconds, with callers' own keys, would be refused as
    too old to know, since a new cell can't tell them from keys of before.
    Given a directed cell whose agents have all just been started
    Then its entry is not ready before callers' own keys are taken, and is then

  Scenario: Random orders of lost data, frozen owners and replaced processes
    The owner may be frozen or cut off at each moment between the loss and a new agent's
    first message, while the service is away or loses replies. A cell that is begun anew
    beside what is left of the old one would run a booking twice.
    Then no promise is broken in 60 random orders of lost data
    And none in orders 1353, 1461, 1508, 2277 and 2929, in which cells were begun anew
    And owners were frozen, replaced and cut off in them, and cells were taken over
