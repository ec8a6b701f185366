Feature: Tasks that need a large part of a worker's memory

  Scenario: A large task is not overtaken by small ones without end
    A task needs most of a worker's memory during a peak. Small tasks take each piece
    of memory that comes free, so the large one would wait until its deadline
    although it is first in the queue.
    Given a sizing scheduler with 2 workers of 8 slots and 1000 MB
    When tasks of 150 MB come all the time and one of 800 MB after 1 second
    Then the sizing scheduler starts the large task within 5 seconds
    And small tasks were started meanwhile

  Scenario: Declared memory is corrected by late usage reports
    Callers declare 500 MB and use 100. By the declared memory a worker of 1000 MB
    would run two of these tasks while six slots are idle; tasks that declare too
    little would exceed its memory.
    Given a sizing scheduler with 1 workers of 8 slots and 1000 MB
    When tasks of 500 MB come all the time, and reports say that each uses 100
    Then the sizing scheduler runs 8 of them at a time
    When reports say that each uses 2000
    Then the sizing scheduler runs 1 of them at a time
