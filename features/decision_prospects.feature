Feature: When there is expected to be capacity for all tasks of a job

  Scenario: A job that fits needs no history
    The first job of an idle entry must not be refused for lack of observations.
    Given an entry that has placed nothing yet
    When a job of 4000 finds 4000 free
    Then its predicted wait is 0 seconds

  Scenario: Without history nothing is predicted
    An entry that has just started, or whose jobs have not waited lately, can't tell how
    fast its backlog drains. A guess would refuse jobs that have time.
    Given an entry that has placed nothing yet
    When a job of 4000 stands behind 8000
    Then nothing is predicted

  Scenario: The wait follows from the backlog and its drain rate
    Given an entry whose 9000 waiting have been served at 30000 per second for 2 seconds
    When a job of 3000 stands behind 9000
    Then its predicted wait is 0.4 seconds
    And it can't be admitted if it may wait for 0.3 seconds
    And it can be admitted if it may wait for 0.5 seconds

  Scenario: The neighbours' backlog counts, and so do the workers that it gets
    Entries of a data centre share workers. If one took only its own backlog into account,
    an entry with a short queue would promise capacity that its neighbours get.
    Given an entry whose 9000 waiting have been served at 30000 per second for 2 seconds
    And 27000 have been waiting at its neighbours meanwhile
    When a job of 3000 stands behind 9000 and its neighbours' 27000
    Then its predicted wait is 0.325 seconds

  Scenario: The neighbours' statuses are lost
    Their backlog counts as none, and the entry's own rate then tells what it gets.
    Given an entry whose 9000 waiting have been served at 30000 per second for 2 seconds
    And 27000 have been waiting at its neighbours meanwhile
    When their statuses are lost for 2 seconds
    And a job of 3000 stands behind 9000
    Then its predicted wait is between 0.36 and 0.41 seconds

  Scenario: The load changes
    A rate that is learnt before a change is wrong after it, for a second at most.
    Given an entry whose 9000 waiting have been served at 30000 per second for 2 seconds
    When 9000 waiting are served at 10000 per second for 1 second
    And a job of 3000 stands behind 9000
    Then its predicted wait is between 0.8 and 1.2 seconds

  Scenario: The jobs have stopped waiting
    Given an entry whose 9000 waiting have been served at 30000 per second for 2 seconds
    When nothing waits for 2 seconds
    And a job of 4000 stands behind 8000
    Then nothing is predicted

  Scenario: Tasks that found free capacity tell nothing about the rate
    Otherwise an hour of free capacity would count as a fast drain.
    Given an entry whose 9000 waiting have been served at 30000 per second for 2 seconds
    When nothing waits for 0.1 seconds while 90000 are placed
    And a job of 3000 stands behind 9000
    Then its predicted wait is between 0.35 and 0.45 seconds

  Scenario: Admitted jobs have not started in time
    The next ones are admitted only if they have more time.
    Given an entry whose 9000 waiting have been served at 30000 per second for 2 seconds
    When 10 admitted jobs have missed their start
    And a job of 3000 stands behind 9000
    Then it can't be admitted if it may wait for 0.8 seconds

  Scenario: Refused callers come back over the time that the queue needs
    If all of them were told the same delay, they would fill the queue again together.
    When 400 refused callers are told to come back while the queue needs 2.5 seconds
    Then they come back in each of the seconds 1 to 4, at most 130 in one
    And a caller who is refused twice is told the same
