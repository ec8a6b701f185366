Feature: A task that crashes its workers is given up

  Scenario Outline: A task crashes each worker that starts it
    A run that was lost with its worker is started on the next one without a limit, so
    one such job takes down worker after worker while its caller waits.
    Given a fleet of 2 entries and 8 workers
    When a job of 4 tasks whose first crashes its workers, which are then <down>, comes to e0
    Then it has crashed at most 3 workers
    And the job is answered as failed within <most> seconds
    And no task has run twice at once

    Examples: Ways to be down
      | down     | most |
      | refusing | 1.2  |
      | silent   | 3    |

  Scenario: The caller of such a task comes back to another entry
    The first entry dies after two crashes, and the second one knows nothing of them.
    Given a fleet of 2 entries and 8 workers
    When a job of 4 tasks whose first crashes its workers, which are then refusing, comes to e0
    And e0 is killed once 2 workers have crashed
    And the caller sends it to e1 1.3 seconds later
    Then it was started at most 2 times after three workers had crashed

  Scenario: Two entries die on such a task, one after the other
    Its workers are silent when they crash, so that each entry starts it three times. If
    nothing outlived an entry, nine workers would go down for one job.
    Given a fleet of 4 entries and 16 workers
    When a job of 4 tasks whose first crashes its workers, which are then silent, comes to e0
    And e0 is killed once 3 workers have crashed
    And the caller sends it to e1, which is killed with its third crash or after 6 seconds
    And the caller sends it to e2 1.3 seconds later
    Then it was started at most 3 times after three workers had crashed

  Scenario: Two suspected tasks never share a worker
    A worker crashes under two tasks. If they ran together again and crashed the next
    worker, nothing would tell which of them is to blame.
    Given a fleet of 1 entries and 1 workers
    When a job of 2 tasks of 0.4 seconds comes to e0
    And a0 crashes after 0.1 seconds and is down for 0.2 seconds
    Then the second runs follow one another
    And the log of e0 says twice that a suspected task is done
    And the job is completed at e0

  Scenario Outline: An end that is no crash gives up no task
    A run that is lost in another way says nothing about its task. If it counted, a
    sound job would be answered as failed after some such ends.
    Given a fleet of 1 entries and 2 workers
    When a job of 1 tasks of 0.5 seconds comes to e0
    And 3 times, when it runs, <ending>
    Then no task is suspected
    And the job is completed at e0

    Examples: Endings
      | ending                            |
      | its worker leaves                 |
      | its draining worker is gone       |
      | its agent restarts                |
      | its agent and worker lose power   |

  Scenario: Workers that are cut off, and come back, have not crashed
    A silent worker may have crashed. If one that is heard again still counted, a sound
    job would be answered as failed after three cuts.
    Given a fleet of 1 entries and 2 workers
    When a job of 1 tasks of 0.5 seconds comes to e0
    And 3 times, when it runs, its worker is cut off
    Then the job is completed at e0

  Scenario Outline: Tasks that crash their workers come beside the users' load
    Several such jobs come within seconds, and any task on a crashed worker may be to
    blame. A sound job must lose nothing but the time of a rerun.
    When one <kind> job in twenty crashes its workers for 3 seconds, on day <seed>
    Then no job has crashed more than 3 workers
    And no sound job was answered as failed
    And every caller was answered, and no task ran twice at once

    Examples: Kinds
      | kind     | seed |
      | lookups  | 1    |
      | rebuilds | 3    |
      | checks   | 3    |
