Feature: Real processes, and workers that crash or change their capacity

  Scenario Outline: A job whose task crashes its workers is given up
    The sound job beside it loses its runs on the crashed workers, and runs them again.
    Given a deployment of 2 entries and 4 workers
    When a job of 8 tasks of 1200 ms is in progress at entry 0
    And a job whose task crashes its workers, which are down for <down> ms, is submitted
    Then it is answered with 200 and the state failed
    And the workers' records show <least> to <most> runs of it
    And entry 0 has logged "gives up a task that crashes its workers"
    And the job in progress is answered with 200 and the state completed
    And the workers' records show no overlapping runs of a task

    Examples: Ways to be down
      | down | least | most |
      | 0    | 2     | 3    |
      | 1500 | 2     | 3    |

  Scenario: A worker that doesn't guard its capacity shrinks and grows
    A start must not bring it over what its heartbeats say.
    Given a deployment of 1 entries and 1 workers
    When its worker doesn't guard its capacity, which shrinks to 2 cores
    And a job of 6 tasks of 300 ms is submitted to entry 0
    Then it is answered with 200 and the state completed
    And the worker's record shows 2 runs at a time at most
    When its worker's capacity grows to 8 cores
    And a job of 6 tasks of 300 ms is submitted to entry 0
    Then it is answered with 200 and the state completed
    And the worker's record shows 6 runs at a time at most
