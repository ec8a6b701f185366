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
  Scenario: If the runs of a dead entry go on, a second attempt overlaps the first
    The entry is killed and started again, and its caller sends the job to another one
    after 1.3 s. Neither its lease nor the message of its next incarnation ends the runs.
    When stopping the tasks of an entry's earlier incarnation is disabled
    Then the second attempt overlaps the first although the entry has started again

  Scenario: Without waiting for a task's earlier start, a returning job overlaps itself
    When waiting for a task's earlier start is disabled
    Then a task runs twice at once when the caller leaves and returns at once, and stops reach workers

  Scenario: Without a check of its age, a late report of an earlier incarnation is used
    When the order of an agent's reports is disabled
    Then a late report of an earlier incarnation ends the running tasks

  Scenario: Without a returned stamp, a late report of any incarnation is taken for newer
    When the proof that an agent's other incarnation is alive is disabled
    Then a day of reboots and late messages has an overlap

  Scenario: Without a returned stamp, an entry that is gone stops the running one's tasks
    When the proof that an entry's other incarnation is alive is disabled
    Then a late message of an entry that is gone stops the running one's tasks

  Scenario: Without a wait after a pause, a request from a socket's buffer is run
    When the wait after a pause is disabled
    Then an entry that resumes runs a task that runs elsewhere

  Scenario: Without noticing a pause, an entry runs jobs that came before it again
    When noticing a pause is disabled
    Then an entry that resumes runs a task whose caller's leaving is known late

  Scenario Outline: Without <safeguard>, an entry that was cut off runs tasks beside others
    The first scenarios of dispatch_isolated.feature play the same with the safeguard.
    When <safeguard> is disabled
    Then a task runs twice at once when an entry was cut off for <seconds> seconds, <way>

    Examples:
      | safeguard                                        | seconds | way                  |
      | watching how many agents an entry hears          | 1.1     | both ways            |
      | watching whether agents hear their entry         | 1.1     | from it              |
      | withholding starts that were sent before the end | 0.9     | from it              |
      | giving up jobs at agents that are cut off too    | 1.1     | with its data centre |

  Scenario: Without lists of jobs, a second attempt overlaps one whose caller has gone
    dispatch_attempts.feature plays the same with the lists.
    When listing jobs to other entries is disabled
    Then a task runs twice at once when a caller's leaving is never known

  Scenario: Without a wait after a cut, a request from a socket's buffer is run
    When the wait after a cut is disabled
    Then a task runs twice at once when its request comes out of a buffer after a cut

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
