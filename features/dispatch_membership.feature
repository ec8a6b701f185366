Feature: Each process works with a few others, however many there are

  Scenario: An idle process sends as few messages in a large fleet as in a small one
    With messages between every pair of entry and agent, the hosts of a large fleet
    would spend the processor time that callers need on each other.
    Given a fleet of 35 entries in 5 data centres and 160 workers
    When the fleet runs on for 8 seconds
    Then each agent reports to 3 entries, all of them in its data centre
    And each worker is known to 3 entries
    And an agent sends at most 16 messages a second, and an entry at most 66

  Scenario: An agent that starts before its worker finds the entries of its data centre
    After a power cut agents are up before their workers. An entry that took an agent's
    data centre from its worker would send it a list of entries elsewhere, and no other
    list after the agent has confirmed it.
    Given a fleet of 35 entries in 5 data centres and 60 workers
    When the fleet runs on for 3 seconds
    And all agents are started again, 2 seconds before their workers
    And the fleet runs on for 8 seconds
    Then each agent reports to 3 entries, all of them in its data centre

  Scenario: An agent gets a new list if the first was for another data centre
    It has confirmed a list that was chosen for another data centre, and would work with
    entries there until some entry joins or leaves.
    Given a fleet of 35 entries in 5 data centres and 20 workers
    When the fleet runs on for 3 seconds
    And e0 has assumed that a0 is in data centre d3
    And the fleet runs on for 1 seconds
    Then e0 has told a0 of the entries of data centre d0

  Scenario: If a data centre has few entries, its agents also work with some elsewhere
    Given a fleet of 5 entries in 5 data centres and 20 workers
    When the fleet runs on for 4 seconds
    Then each agent reports to 3 entries, 1 of them in its data centre

  Scenario: An entry that no agent has chosen serves its callers
    The one agent of its data centre works with three others.
    Given a fleet of 12 entries in 3 data centres and 3 workers
    When the fleet runs on for 4 seconds
    Then 3 entries have no home agent, and all are ready
    When every data centre gets 0.5 times what its workers can do for 4 seconds
    Then at least 100 of 100 jobs are on time

  Scenario: A data centre that gets more than it can serve overflows to others
    One data centre gets one and a half times what its workers can do, and the two
    others are idle. Without overflow its entries would refuse a third of their callers.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And data centre d0 gets 1.5 times what its workers can do for 5 seconds
    Then at least 95 of 100 jobs are on time
    And workers of other data centres have run some of it

  Scenario: Without capacity requests, a full data centre refuses jobs
    Given a fleet of 15 entries in 3 data centres and 12 workers
    And no entry requests capacity from others
    When the fleet runs on for 6 seconds
    And data centre d0 gets 1.5 times what its workers can do for 5 seconds
    Then fewer than 80 of 100 jobs are on time

  Scenario: If all data centres are full, capacity requests become rare
    Each request costs two messages and finds nothing.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And every data centre gets 2.0 times what its workers can do for 5 seconds
    Then an entry requests capacity at most 8 times a second

  Scenario: Overflow agents are released when they are no longer needed
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And data centre d0 gets 1.5 times what its workers can do for 2 seconds
    And the fleet runs on for 8 seconds
    Then each agent reports to 3 entries, all of them in its data centre

  Scenario: All entries of a data centre are killed, and its workers serve others
    Their callers go to the nearest data centres, which can't do the work of three. If
    no other entry used the workers, these would be idle while callers are refused.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And the entries of data centre d0 are killed
    And the fleet runs on for 3 seconds
    Then every worker is known to 3 living entries or more
    When data centre d1 gets 1.9 times what its workers can do for 4 seconds
    Then at least 95 of 100 jobs are on time

  Scenario: A data centre that has lost all its workers is served elsewhere
    Its entries hear no agent. If they reported that they are not ready, the balancer
    would send them no callers; without agents elsewhere they would refuse all callers.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And the agents of data centre d0 are killed
    And the fleet runs on for 3 seconds
    Then the entries of data centre d0 are ready
    When the entries of data centre d0 get half of what the others' workers can do
    And the fleet runs on for 20 seconds
    Then at least 95 of 100 jobs are on time
    And the entries of data centre d0 are ready

  Scenario: Restarted entries find their home agents again
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the entries of data centre d0 are killed
    And the fleet runs on for 4 seconds
    And the entries of data centre d0 are started again
    And the fleet runs on for 6 seconds
    Then each agent reports to 3 entries, all of them in its data centre

  Scenario: All entries are killed at once while the store is unavailable
    Agents find them again by the lists that the entries had sent.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    And the store lists no entries
    When all entries are killed
    And the fleet runs on for 4 seconds
    And all entries are started again
    And the fleet runs on for 6 seconds
    Then each agent reports to 3 entries, all of them in its data centre

  Scenario: An entry that has gone for good is forgotten everywhere
    Two entries that forget it at different times could advertise it to each other
    forever, and every agent would keep sending to an unused address.
    Given a fleet of 9 entries in 3 data centres and 6 workers
    And only e0 is in the settings of others
    When e4 is killed after 0 seconds
    And the fleet runs on for 50 seconds
    Then no process knows e4

  Scenario Outline: Random days of a fleet in which each process knows a few
    Every kind of fault occurs, alone and combined. Each caller that stays connected
    gets one answer, and no two runs of a task overlap.
    Then random days <first> to <last> of 12 entries in 3 data centres keep every guarantee

    Examples:
      | first | last |
      | 0     | 7    |
      | 8     | 15   |
