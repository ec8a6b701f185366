Feature: Each process works with a few others, whatever their number

  Scenario: At rest a process exchanges as little in a large fleet as in a small one
    With a message for each pair of entry and agent, the hosts of a large fleet spend
    on each other what callers need, though nobody asks them for anything.
    Given a fleet of 35 entries in 5 data centres and 160 workers
    When the fleet runs on for 8 seconds
    Then each agent reports to 7 entries, all of them in its data centre
    And each worker is known to 7 entries
    And an agent sends at most 40 messages a second, and an entry at most 110

  Scenario: An agent that starts before its worker finds the entries of its data centre
    After a power cut agents are up before their workers are. An entry that took the
    data centre of an agent from its worker would tell it of entries elsewhere. It would
    leave it at that, since the agent has confirmed the list.
    Given a fleet of 35 entries in 5 data centres and 20 workers
    When the fleet runs on for 3 seconds
    And all agents are started again, 2 seconds before their workers
    And the fleet runs on for 8 seconds
    Then each agent reports to 7 entries, all of them in its data centre

  Scenario: An agent whose data centre was taken for another one is told anew
    It has confirmed a list that was chosen for another data centre, and would work with
    entries there until one comes or goes.
    Given a fleet of 35 entries in 5 data centres and 20 workers
    When the fleet runs on for 3 seconds
    And e0 has taken the data centre of a0 for d3
    And the fleet runs on for 1 seconds
    Then e0 has told a0 of the entries of data centre d0

  Scenario: Where a data centre has few entries, agents work with some elsewhere
    Given a fleet of 10 entries in 5 data centres and 20 workers
    When the fleet runs on for 4 seconds
    Then each agent reports to 8 entries, 2 of them in its data centre

  Scenario: A data centre that gets more than it can serve overflows to others
    Callers of one data centre come with half as much again as its workers can do.
    Those of the two others stand idle. The entries there know of no room, and would
    refuse a third of their callers.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And data centre d0 gets 1.5 times what its workers can do for 5 seconds
    Then at least 95 of 100 jobs are on time
    And workers of other data centres have run some of it

  Scenario: Without asking others, a full data centre refuses what could be served
    Given a fleet of 15 entries in 3 data centres and 12 workers
    And no entry asks others for room
    When the fleet runs on for 6 seconds
    And data centre d0 gets 1.5 times what its workers can do for 5 seconds
    Then fewer than 80 of 100 jobs are on time

  Scenario: Where everybody is full, questions for room become rare
    Each question costs two messages and helps nobody.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And every data centre gets 2.0 times what its workers can do for 5 seconds
    Then an entry asks for room at most 8 times a second

  Scenario: Agents elsewhere are let go of when their room isn't needed any more
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And data centre d0 gets 1.5 times what its workers can do for 2 seconds
    And the fleet runs on for 8 seconds
    Then each agent reports to 5 entries, all of them in its data centre

  Scenario: The entries of a data centre all die, and its workers serve others
    Their callers go to the nearest data centres, which can't do the work of three.
    Workers that nobody knows stand idle while callers are refused.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And the entries of data centre d0 are killed
    And the fleet runs on for 3 seconds
    Then every worker is known to 4 living entries or more
    When data centre d1 gets 1.9 times what its workers can do for 4 seconds
    Then at least 95 of 100 jobs are on time

  Scenario: A data centre that has lost all its workers is served elsewhere
    Its entries hear no agent any more. Told as not ready, they would be given no callers
    by the balancer; without any agent, refuse those who come.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And the agents of data centre d0 are killed
    And the fleet runs on for 3 seconds
    Then the entries of data centre d0 are ready
    When the entries of data centre d0 get half of what the others' workers can do
    And the fleet runs on for 20 seconds
    Then at least 95 of 100 jobs are on time
    And the entries of data centre d0 are ready

  Scenario: Entries that come back meet their own agents again
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the entries of data centre d0 are killed
    And the fleet runs on for 4 seconds
    And the entries of data centre d0 are started again
    And the fleet runs on for 6 seconds
    Then each agent reports to 5 entries, all of them in its data centre

  Scenario: Every entry dies at once, while the store is away
    Agents know the way back from what the entries had told them.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    And the store lists nobody
    When all entries are killed
    And the fleet runs on for 4 seconds
    And all entries are started again
    And the fleet runs on for 6 seconds
    Then each agent reports to 5 entries, all of them in its data centre

  Scenario: An entry that is gone for good is forgotten everywhere
    Two entries that forget it at different moments would tell each other of it for
    ever, and every agent would go on calling at an address where nobody is.
    Given a fleet of 9 entries in 3 data centres and 6 workers
    And only e0 is in the settings of others
    When e4 is killed after 0 seconds
    And the fleet runs on for 50 seconds
    Then nobody knows e4 any more

  Scenario Outline: Random days of a fleet in which each process knows a few
    Everything that can fail fails by turns, in series and together. Each caller who
    stays gets one answer, and no two runs of a task overlap.
    Then random days <first> to <last> of 12 entries in 3 data centres keep every promise

    Examples:
      | first | last |
      | 0     | 7    |
      | 8     | 15   |
