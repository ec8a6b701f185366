Feature: Each safeguard against concurrent runs of a task is needed

  Scenario Outline: Random days fail without one of the safeguards
    The same days pass with all safeguards (dispatch_once.feature).
    When <safeguard> is disabled
    Then a random day violates a guarantee

    Examples:
      | safeguard                                            |
      | an entry's lease at its agents                       |
      | waiting for a silent agent's leases                  |
      | waiting for a worker's lease                         |
      | stopping the tasks of an entry's earlier incarnation |
      | a stop before an unconfirmed start is abandoned      |
      | stopping the runs of an agent's earlier incarnation  |

  Scenario: Without an entry's lease at its agents, a second attempt overlaps the first
    The entry is killed, and its caller sends the job to another one after 1.3 s. The
    first scenario of dispatch_once.feature does the same with the lease.
    When an entry's lease at its agents is disabled
    Then the second attempt at a job whose entry was killed overlaps the first

  Scenario: Without a check of its age, a late report of an earlier incarnation is used
    When the order of an agent's reports is disabled
    Then a late report of an earlier incarnation ends the running tasks

  Scenario: Without keeping suspected tasks apart, sound jobs are given up
    Tasks that were on a crashed worker together would be on the next one together, and
    be to blame together. With the safeguard the same day has no such job
    (dispatch_crashes.feature).
    When keeping suspected tasks apart is disabled
    Then on day 3 of checks that crash their workers a sound job is answered as failed

  Scenario: Without a bound learnt from refusals, a shrunk worker is sent many starts
    With the safeguard it refuses one (dispatch_capacity.feature).
    Given a fleet of 1 entries and 1 workers
    When learning a smaller capacity is disabled
    And a0's worker shrinks to 6 cores right after a heartbeat
    And 20 jobs of 1 tasks of 0.2 seconds come to e0 within 1 second
    Then its worker has refused at least 50 starts
