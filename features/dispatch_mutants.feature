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

  Scenario Outline: Days of leaving or unreachable workers fail without a safeguard
    The same days pass with all safeguards (dispatch_gone.feature).
    When <safeguard> is disabled
    Then a task runs twice at once on a day of the mix "<mix>"

    Examples:
      | safeguard                                                   | mix    |
      | waiting for the lease of a worker that refuses connections  | refuse |
      | waiting for the lease of a worker that has said that it leaves | depart |

  Scenario: Without an entry's lease at its agents, a second attempt overlaps the first
    The entry is killed, and its caller sends the job to another one after 1.3 s. The
    first scenario of dispatch_once.feature does the same with the lease.
    When an entry's lease at its agents is disabled
    Then the second attempt at a job whose entry was killed overlaps the first

  Scenario Outline: Without a limit on renewals, a run outlives its lost stops
    dispatch_stops.feature plays the same with the limit.
    When <safeguard> is disabled
    Then a task runs twice at once when <case> and no stop reaches a worker

    Examples:
      | safeguard                                                  | case                |
      | the limit on renewals for runs that are to end             | the entry is killed |
      | the limit on renewals for runs that an entry wants stopped | the caller leaves   |

  Scenario: Without the starts to stop in keepalives, these renew the runs
    When the list of starts to stop in keepalives is disabled
    Then a task runs twice at once when the entry's stop messages are lost, and stops reach workers
  Scenario: Without an allowance for its clock, a worker outlives its lease
    Its clock is 2% slow, and it was idle for a minute. The agent freezes right after a
    start. dispatch_lease.feature does the same with the allowance.
    When the allowance for a worker's clock is disabled
    Then an entry runs a silent agent's task elsewhere while it runs

  Scenario: Without a check of its age, a late report of an earlier incarnation is used
    When the order of an agent's reports is disabled
    Then a late report of an earlier incarnation ends the running tasks
