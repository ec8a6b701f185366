Feature: What an agent looks up of its accepted starts agrees with a walk over them

  Scenario Outline: On random days
    After each event of an agent its sums, lookups and the length of the worker's next
    lease are compared with a walk over all accepted starts.
    When each event of an agent is followed by a walk over its accepted starts
    Then days 0 to 3 of the mix "<mix>" agree with the walk

    Examples:
      | mix      |
      | calls    |
      | crashing |
      | restarts |
      | paused   |
      | depart   |
      | all      |

  Scenario: Debug lines are created only if they are written
    Given a fleet of 1 entries and 1 workers
    When a0 writes no debug lines
    And a job of 2 tasks of 0.2 seconds comes to e0
    Then a0 has run 2 tasks and created no debug lines

  Scenario: A slow worker is never passed over when few of its runs are late
    The runs' progress is looked at in full only if half of them are late.
    When 20000 random sets of runs are looked at for a slow worker
    Then no set that shows a slow worker is passed over
    And at least half of the other sets are
