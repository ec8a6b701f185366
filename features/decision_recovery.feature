Feature: After a full outage, late answers that are still useful are served

  Scenario Outline: Late jobs are kept only until the queue of an outage is served
    In the usual overload refusals keep the queue short as well. Late jobs would then
    hold their callers, and take the capacity of jobs that can be on time.
    Given an entry that <workers>, with a queue of <queue> seconds
    Then it <keeps> jobs that can't be on time any more

    Examples:
      | workers                                      | queue | keeps        |
      | has known no open worker                     | 5     | keeps        |
      | has known workers for 0.1 seconds            | 5     | keeps        |
      | has known workers for 0.5 seconds            | 0.2   | keeps        |
      | has known workers for 0.5 seconds            | 0.4   | doesn't keep |
      | has known workers for 2.1 seconds            | 0.2   | doesn't keep |
      | has served its first queue after 0.4 seconds | 0.2   | doesn't keep |

  Scenario: The workers of an outage are discovered over 0.3 s
    The first worker takes the whole queue at once. If that ended the recovery, jobs
    that come before the next worker is known would be refused.
    Given an entry that has known workers for 0.1 seconds, with a queue of 0 seconds
    When no job waits 0.2 seconds after the first worker was known
    Then the recovery goes on
    When no job waits 0.31 seconds after the first worker was known
    Then the recovery has ended

  Scenario Outline: A late job waits for as long as its answer can be useful
    The job is expected to take 0.4 s and is due after 0.7 s; its answer is worth
    something until 2.1 s, if its caller waits.
    Given a job of 0.4 seconds whose caller waits for <wait> seconds
    When an entry that <keeps> late jobs decides about it after <after> seconds
    Then the job has to <action>

    Examples:
      | wait | keeps        | after | action |
      | 5    | keeps        | 0.29  | wait   |
      | 5    | keeps        | 1.69  | wait   |
      | 5    | keeps        | 1.71  | refuse |
      | 1.5  | keeps        | 1.07  | wait   |
      | 1.5  | keeps        | 1.09  | refuse |
      | 5    | doesn't keep | 0.11  | wait   |
      | 5    | doesn't keep | 0.31  | refuse |

  Scenario: Jobs that can be on time come first
    A late job of the most urgent priority is worth a fifth of one that is on time.
    Given late jobs of the priorities 0 and 2, and jobs of the priorities 1 and 2 on time
    Then the order of their priorities is "1 2 0 2"
    But without the setting it is "0 1 2 2"

  Scenario: Late jobs leave the reserved share of each worker free
    Two workers with 16 cores, of which 5 and 3 are free, leave 1.6 free each: three
    tasks of a core fit on the first and one on the second.
    Given free capacity of 5000 and 3000 on workers with 16000
    Then 4 tasks of 1000 fit beside their reserved shares

  Scenario Outline: No worker is known for longer than a job can be on time
    A check of 0.4 s is due after 0.7 s. The agents are up after <up> s.
    Given a fleet of 1 entries and 2 workers that serves late jobs: <setting>
    When all processes are killed, and e0 is started again
    And a job of 4 tasks of 0.4 seconds comes to e0
    And the agents are started <up> seconds later
    And the fleet runs on for 3 seconds
    Then e0 has <end> the job

    Examples:
      | setting | up  | end       |
      | on      | 0.5 | completed |
      | on      | 1.0 | completed |
      | on      | 2.0 | refused   |
      | off     | 0.5 | refused   |

  Scenario: Operators see that late jobs were served and when that ended
    Given a fleet of 1 entries and 2 workers that serves late jobs: on
    When all processes are killed, and e0 is started again
    And a job of 4 tasks of 0.4 seconds comes to e0
    And the agents are started 0.5 seconds later
    And the fleet runs on for 3 seconds
    Then e0 has counted 1 late start, and logged twice that it keeps no late jobs any more

  Scenario: A caller that leaves too soon is refused at once
    If the job were admitted, it would take capacity for nothing. Its caller would learn
    only at its limit that it has no answer.
    Given a fleet of 1 entries and 2 workers that serves late jobs: on
    When all processes are killed, and e0 is started again
    And a job of 4 tasks of 0.4 seconds comes to e0 from a caller that waits for 0.3 seconds
    Then the job is refused as not run at e0 within 0.01 seconds

  Scenario: A full worker is discovered by an entry that starts alone
    Its workers run other entries' tasks. To hold late jobs for longer than the workers
    are discovered would only delay their refusal.
    Given a fleet of 2 entries and 2 workers that serves late jobs: on
    When e0 keeps all workers full, and e1 is killed and started again
    And a job of 4 tasks of 0.4 seconds comes to e1
    And the fleet runs on for 0.45 seconds
    Then the job is refused as not run at e1
