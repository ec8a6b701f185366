Feature: A worker's capacity shrinks and grows while it runs

  Scenario: A worker that has shrunk is not sent start after start
    Its next heartbeat shows the smaller capacity; until then each start that exceeds it
    is refused, and sent again within milliseconds.
    Given a fleet of 1 entries and 1 workers
    When a0's worker shrinks to 6 cores right after a heartbeat
    And 20 jobs of 1 tasks of 0.2 seconds come to e0 within 1 second
    Then its worker has refused at most 1 starts
    And at least 8 of the jobs are completed

  Scenario: The capacity is used again as soon as a heartbeat shows it
    Given a fleet of 1 entries and 1 workers
    When a0's worker shrinks to 6 cores right after a heartbeat
    And 20 jobs of 1 tasks of 0.2 seconds come to e0 within 1 second
    And a0's worker grows to 32 cores and sends a heartbeat
    And 8 jobs of 1 tasks of 0.2 seconds come to e0 within 0.01 second
    Then its worker has refused at most 1 starts
    And the last 8 jobs are completed

  Scenario: A worker shrinks below what it runs
    Its free capacity is negative, which is no reason to stop its tasks.
    Given a fleet of 1 entries and 1 workers
    When a job of 8 tasks of 1 seconds comes to e0
    And a0's worker shrinks to 6 cores and sends a heartbeat
    And 1 jobs of 1 tasks of 0.2 seconds come to e0 within 0.3 second
    Then a0 has started fewer than 9 tasks
    And a refused job is told to come back in 1 to 10 seconds
    And the job is completed at e0

  Scenario: A worker shrinks until it runs two fifths more than its capacity
    Its free fraction of -0.4 makes its cost infinite, which ended the entry.
    Given a fleet of 1 entries and 1 workers
    When a job of 7 tasks of 1 seconds comes to e0
    And a0's worker shrinks to 15 cores and sends a heartbeat
    And 1 jobs of 1 tasks of 0.2 seconds come to e0 within 0.3 second
    Then a0 has started fewer than 8 tasks
    And a refused job is told to come back in 1 to 10 seconds
    And the job is completed at e0

  Scenario: Waiting jobs that fit no worker any more are refused at once
    The caller could send them elsewhere, or later; waiting can't bring capacity.
    Given a fleet of 1 entries and 1 workers
    When a job of 8 tasks of 1 seconds comes to e0
    And a job of 1 task of 12 cores and 2 seconds waits at e0
    And a0's worker shrinks to 6 cores and sends a heartbeat
    Then the waiting job is refused as not run within 0.05 seconds
    And a refused job is told to come back in 1 to 10 seconds

  Scenario: A worker over its capacity takes nothing from what others have free
    One worker runs 24 cores more than it has left, another has 30 cores free.
    Given an entry that knows workers with -24 and 30 cores free, and 30 cores waiting
    Then its queue is 1 second long

  Scenario Outline: A worker has less memory, or fewer accelerators, than it announced
    What its refusal shows must keep away the tasks that need much of it, and no others.
    Given a fleet of 1 entries and 1 workers with 4 accelerators
    When a0's worker shrinks to <left> right after a heartbeat
    And large jobs of <large> and small ones of 3 cores come to e0 for 1 second
    Then its worker has refused at most 1 starts
    And at least 20 small jobs were completed within 0.3 seconds

    Examples: too little for any large job, or for more than one
      | left            | large                              |
      | 4 GB of memory  | 1 cores, 8 GB and 0 accelerators   |
      | 10 GB of memory | 1 cores, 8 GB and 0 accelerators   |
      | 0 accelerators  | 1 cores, 1 GB and 1 accelerators   |
      | 1 accelerators  | 1 cores, 1 GB and 1 accelerators   |
      | 4 GB of memory  | 12 cores, 8 GB and 0 accelerators  |
      | 10 cores        | 12 cores, 32 GB and 0 accelerators |
