Feature: Tasks that need much of a worker

  Scenario: A large task is not passed for ever by small ones
    A nightly-sized plan needs most of a worker's memory in the morning rush. Small
    checks take each piece of memory that comes free, and the plan would wait until
    its deadline though it is first in the queue.
    Given a sizing scheduler with 2 workers of 8 slots and 1000 MB
    When tasks of 150 MB come all the time and one of 800 MB after 1 second
    Then the sizing scheduler starts the large task within 5 seconds
    And small tasks went on meanwhile

  Scenario: Declared memory is corrected by late usage reports
    Callers declare 500 MB and use 100. Believed, a worker of 1000 MB runs two of
    them while six slots stand idle; those who declare too little would fill it
    beyond its memory.
    Given a sizing scheduler with 1 workers of 8 slots and 1000 MB
    When tasks of 500 MB come all the time, and reports say that each uses 100
    Then the sizing scheduler runs 8 of them at a time
    When reports say that each uses 2000
    Then the sizing scheduler runs 1 of them at a time
