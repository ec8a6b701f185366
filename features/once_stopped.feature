Feature: What a failed or cancelled job still runs is stopped at the upstream

  Scenario Outline: A job <ends> while its other tasks run
    A job of many tasks is lost early, and what else it runs is of no use to anybody.
    Were it left to run, the next callers would wait for slots that are busy with it.
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

  Scenario: The wish to stop is lost on the way
    The network drops what the owner sends at the moment when a job fails. Its tasks
    would run to their own end, and the next callers wait for them.
    Given a directed cell whose every slot runs a task
    When the directed job is cancelled, and every probe is lost at first
    Then its caller is told so within 200 ms, with what ran
    And within 2 s each upstream was asked to stop what the job still ran
    And no promise was broken in the directed run
