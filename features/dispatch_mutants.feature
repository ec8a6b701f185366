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

  Scenario: If the runs of a dead entry go on, a second attempt overlaps the first
    The entry is killed and started again, and its caller sends the job to another one
    after 1.3 s. Neither its lease nor the message of its next incarnation ends the runs.
    When stopping the tasks of an entry's earlier incarnation is disabled
    Then the second attempt overlaps the first although the entry has started again

  Scenario: Without a check of its age, a late report of an earlier incarnation is used
    When the order of an agent's reports is disabled
    Then a late report of an earlier incarnation ends the running tasks

  Scenario: Without a returned stamp, a late report of any incarnation is taken for newer
    When the proof that an agent's other incarnation is alive is disabled
    Then a day of reboots and late messages has an overlap

  Scenario: Without a returned stamp, an entry that is gone stops the running one's tasks
    When the proof that an entry's other incarnation is alive is disabled
    Then a late message of an entry that is gone stops the running one's tasks

  Scenario: Without a wait after a pause, a caller's second attempt overlaps the first
    When the wait after a pause is disabled
    Then an entry that resumes runs a task that runs elsewhere
