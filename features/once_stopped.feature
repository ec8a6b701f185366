Feature: The running tasks of a failed or cancelled job are stopped at the upstream

  Scenario Outline: A job <ends> while its other tasks run
    A job of many tasks fails early, and the results of its other tasks are not needed.
    If they ran on, the next callers would wait for the slots that they use.
    Given a directed cell whose every slot runs a task
    When the directed job <ends>
    Then its caller is told so within 200 ms, with what ran
    And each upstream was asked to stop what the directed job still ran there
    And a new directed job is answered
    And no promise was broken in the directed run

    Examples:
      | ends         |
      | fails        |
      | is cancelled |

  Scenario: The request to stop is lost
    The network drops the owner's messages at the moment when a job is cancelled. Its
    tasks would run to their own end, and the next callers would wait for them.
    Given a directed cell whose every slot runs a task
    When the directed job is cancelled, and every probe is lost at first
    Then its caller is told so within 200 ms, with what ran
    And within 2 s each upstream was asked to stop what the job still ran
    And no promise was broken in the directed run
