Feature: A job is admitted if there will be capacity for all of its tasks in time

  Each load is played with several seeds, with the setting off and on. The fleet has six
  entries in three data centres and eighteen workers; three entries use each worker.

  Scenario Outline: <load> times the room
    Callers who are refused after a third of a second have lost the time in which they
    could have gone elsewhere. Jobs that are admitted and refused later lose more.
    When <load> times the room is asked for, with the setting off and on
    Then half of the refused jobs are answered within 30 ms
    And what is served is worth no less than with the setting off
    And no refused job has run, and no worker got more than its capacity

    Examples:
      | load |
      | 1.3  |
      | 1.6  |

  Scenario: The entries refuse alike
    Whether a caller is served must not depend on the entry that it has come to. With
    fewer seeds an entry has too few jobs to tell.
    When 1.3 times the room is asked for with 8 seeds, with the setting on
    Then the entries' refused shares are within 1.5 times of each other

  Scenario: A burst of the least urgent kind
    When a burst of rebuilds is played, with the setting off and on
    Then half of the refused jobs are answered within 30 ms
    And no refused job has run, and no worker got more than its capacity

  Scenario: A third of the workers is evacuated
    The drain rate that was learnt before is too high then, and what other data centres
    have free is all that is left to the entries of the evacuated one.
    When a third of the workers is evacuated, with the setting off and on
    Then half of the refused jobs are answered within 30 ms
    And what is served is worth no less than with the setting off
    And no refused job has run, and no worker got more than its capacity

  Scenario: Below the room nobody is refused who would have been served
    A prediction that is wrong for a moment must not cost a caller its answer.
    When 0.8 times the room is asked for, with the setting off and on
    Then no job is refused at its arrival that is on time with the setting off
    And what is served is worth no less than with the setting off

  Scenario: An overload has ended
    The rate that was learnt in it is wrong for a second at most.
    When 1.6 times the room is followed by half of it, with the setting on
    Then of the jobs that come a second later none is refused

  Scenario: The entries' statuses are lost
    Each entry then predicts from its own backlog.
    When all statuses are lost at 1.3 times the room, with the setting on
    Then half of the refused jobs are answered within 30 ms
    And no refused job has run, and no worker got more than its capacity

  Scenario: The platform's store is down
    Nothing on a job's path waits for it.
    When the store is down at 1.3 times the room, with the setting on
    Then half of the refused jobs are answered within 30 ms
    And no refused job has run, and no worker got more than its capacity

  Scenario: An entry that has just started refuses nothing by prediction
    It knows no drain rate. Its workers are full of what its earlier run has started.
    Given 2 entries that share 2 full workers, with the setting on
    When e0 is killed and started again
    And 0.1 seconds later 10 jobs come to e0
    Then none of them is refused at once

  Scenario: A neighbour crashes while jobs wait there
    Its backlog counts for another second, and then no more.
    Given 2 entries that share 2 full workers, with the setting on
    Then e0 counts what waits at e1
    When e1 crashes and 1.1 seconds pass
    Then e0 counts nothing at its neighbours

  Scenario: A job that may still run elsewhere is not refused as not run
    Its caller's connection to e1 has broken, and it comes back to e0, where a new job
    is refused at once.
    Given 2 entries that share 2 full workers, with the setting on
    When a job that runs at e1 and a new one come to e0
    Then only the new one is refused at once

  Scenario: A status of the previous version says nothing of a backlog
    When a status without the backlog is decoded
    Then its backlog is empty
